//! Updates of the queue's capacity, and the exchange of usage messages with peers.

use std::time::Instant;

use super::FairQueue;
use crate::admission::request::Grant;
use crate::admission::share::{AccountUsage, Usage};

/// Demand in slots below which an account is left out of usage messages.
const DEMAND_MIN: f64 = 0.01;

/// Maximum number of accounts in a usage message.
const USAGE_ACCOUNTS_MAX: usize = 2_048;

/// Factor by which an account may exceed its fair number of slots while slots are scarce.
const FAIR_FACTOR: f64 = 1.25;

/// Additional slots above that, for accounts whose fair number is small.
const FAIR_EXTRA_SLOTS: f64 = 1.0;

impl FairQueue {
    /// Sets the number of slots of all available targets and the number of instances in the member
    /// list.
    pub fn set_capacity(&mut self, slots: u32, members: usize, now: Instant) -> Vec<Grant> {
        self.capacity = Some(f64::from(slots));
        self.peers.expire(now);
        let local = self.account_usages(now);
        let allocation = self.peers.allocate(&local, f64::from(slots), members);
        self.share = allocation.share;
        for usage in &local {
            let Some(key) = self.flows.find(&usage.account) else {
                continue;
            };
            let fraction = allocation.fractions.get(&usage.account);
            let remote_running = self.peers.running(&usage.account);
            let flow = &mut self.flows[key];
            flow.fraction = fraction.copied().unwrap_or(1.0);
            let fair = f64::from(flow.weight) * flow.fraction * allocation.level;
            flow.running_max = fair * FAIR_FACTOR + FAIR_EXTRA_SLOTS;
            flow.remote_running = remote_running;
            self.update_flow(key);
        }
        self.dispatch(now)
    }

    /// Returns the usage message for peers.
    pub fn usage(&mut self, service: &str, epoch: u64, now: Instant) -> Usage {
        self.usage_seq += 1;
        let mut accounts = self.account_usages(now);
        if accounts.len() > USAGE_ACCOUNTS_MAX {
            accounts.sort_by(|a, b| b.demand.total_cmp(&a.demand));
            accounts.truncate(USAGE_ACCOUNTS_MAX);
        }
        Usage {
            service: service.into(),
            epoch,
            seq: self.usage_seq,
            accounts,
            reservations: self.reservations.recent(now),
        }
    }

    /// Applies a peer's usage. Messages older than the latest one don't change the usage.
    pub fn merge(&mut self, origin: &str, usage: &Usage, now: Instant) {
        self.reservations.merge(&usage.reservations, now);
        self.peers.merge(origin, usage, now);
    }

    /// Usage of the accounts with demand.
    fn account_usages(&self, now: Instant) -> Vec<AccountUsage> {
        let unit_hold = self.throughput.unit_hold();
        let flows = self.flows.iter();
        let usages = flows.map(|flow| AccountUsage {
            account: flow.account.clone(),
            weight: flow.weight,
            running: flow.running,
            demand: f64::from(flow.running)
                .max(flow.offered.rate(self.throughput.window(), now) * unit_hold),
        });
        usages.filter(|usage| usage.demand > DEMAND_MIN).collect()
    }
}
