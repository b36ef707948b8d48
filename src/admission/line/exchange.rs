//! What the line learns from the fleet and from other instances, and what it tells them.

use std::time::Instant;

use super::Line;
use crate::admission::ask::Grant;
use crate::admission::share::{AccountUse, Usage};

/// Slots below which an account's demand is left out.
const DEMAND_MIN: f64 = 0.01;

/// Most accounts in one usage message.
const USAGE_ACCOUNTS: usize = 2_048;

/// How far above its fair slots an account may run while slots are scarce.
const FAIR_FACTOR: f64 = 1.25;

/// Slots above that, for accounts with few.
const FAIR_EXTRA: f64 = 1.0;

impl Line {
    /// Takes the slots of all fit targets and the number of instances on the list.
    pub fn supply(&mut self, slots: u32, members: usize, now: Instant) -> Vec<Grant> {
        self.supply = Some(f64::from(slots));
        self.peers.forget(now);
        let own = self.uses(now);
        let split = self.peers.split(&own, f64::from(slots), members);
        self.part = split.part;
        for used in &own {
            let Some(key) = self.flows.find(&used.account) else {
                continue;
            };
            let fraction = split.fractions.get(&used.account);
            let remote = self.peers.running(&used.account);
            let flow = &mut self.flows[key];
            flow.fraction = fraction.copied().unwrap_or(1.0);
            let fair = f64::from(flow.weight) * flow.fraction * split.level;
            flow.fair_max = fair * FAIR_FACTOR + FAIR_EXTRA;
            flow.remote = remote;
            self.settle(key);
        }
        self.dispatch(now)
    }

    /// What this instance tells its peers.
    pub fn usage(&mut self, service: &str, epoch: u64, now: Instant) -> Usage {
        self.told += 1;
        let mut accounts = self.uses(now);
        if accounts.len() > USAGE_ACCOUNTS {
            accounts.sort_by(|a, b| b.demand.total_cmp(&a.demand));
            accounts.truncate(USAGE_ACCOUNTS);
        }
        Usage {
            service: service.into(),
            epoch,
            seq: self.told,
            accounts,
            promises: self.book.recent(now),
        }
    }

    /// Takes a peer's usage. Older messages than the newest one change nothing.
    pub fn merge(&mut self, origin: &str, usage: &Usage, now: Instant) {
        self.book.merge(&usage.promises, now);
        self.peers.merge(origin, usage, now);
    }

    /// Use by account, of those that ask for something.
    fn uses(&self, now: Instant) -> Vec<AccountUse> {
        let hold = self.drain.hold();
        let flows = self.flows.iter();
        let uses = flows.map(|flow| AccountUse {
            account: flow.account.clone(),
            weight: flow.weight,
            running: flow.running,
            demand: f64::from(flow.running).max(flow.offered.rate(self.drain.window(), now) * hold),
        });
        uses.filter(|used| used.demand > DEMAND_MIN).collect()
    }
}
