//! Division of a service's capacity among instances.
//!
//! Each instance sends its demand by account to its peers. From these messages every instance
//! computes the same fair allocation by account, and takes the share that its own callers ask for.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::reservations::Reservation;

/// Fraction of an even share that an instance keeps without any demand.
const SHARE_FLOOR: f64 = 0.1;

/// Minimum fraction of its weight that an account keeps at an instance.
const FRACTION_MIN: f64 = 0.05;

/// Age at which a peer's usage expires.
const USAGE_TTL: Duration = Duration::from_secs(3);

/// One account's usage of a service at one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Client account.
    pub account: SmolStr,
    /// The account's weight.
    pub weight: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of slots that the account's requests would use without limits.
    pub demand: f64,
}

/// One instance's usage of a service. It replaces earlier messages of the same instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Service.
    pub service: SmolStr,
    /// Epoch of the process: it differs after each restart.
    pub epoch: u64,
    /// Sequence number of the message within the epoch.
    pub seq: u64,
    /// Usage by account.
    pub accounts: Vec<AccountUsage>,
    /// Recent reservations of retries.
    pub reservations: Vec<Reservation>,
}

/// Allocation of a service's capacity to one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocation {
    /// This instance's share of the capacity, `0.0..=1.0`.
    pub share: f64,
    /// Fraction of each account's weight that counts here; accounts without demand elsewhere are
    /// left out.
    pub fractions: IndexMap<SmolStr, f64>,
    /// Fair number of slots for each unit of weight, over all instances; infinite while there are
    /// enough.
    pub level: f64,
}

/// The latest usage of each peer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    usages: IndexMap<SmolStr, PeerUsage>,
}

#[derive(Debug)]
struct PeerUsage {
    at: Instant,
    epoch: u64,
    seq: u64,
    accounts: IndexMap<SmolStr, AccountUsage>,
}

impl Peers {
    /// Stores a peer's usage unless a newer one is present.
    pub(crate) fn merge(&mut self, origin: &str, usage: &Usage, now: Instant) {
        let version = (usage.epoch, usage.seq);
        let previous = self.usages.get(origin);
        if previous.is_some_and(|previous| (previous.epoch, previous.seq) > version) {
            return;
        }
        let accounts = usage.accounts.iter();
        let received = PeerUsage {
            at: now,
            epoch: usage.epoch,
            seq: usage.seq,
            accounts: accounts.map(|a| (a.account.clone(), a.clone())).collect(),
        };
        self.usages.insert(origin.into(), received);
    }

    /// Removes peers whose usage has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.usages
            .retain(|_, received| received.at + USAGE_TTL > now);
    }

    /// Number of the account's requests that run at the peers.
    pub(crate) fn running(&self, account: &SmolStr) -> u32 {
        let usages = self.usages.values().filter_map(|p| p.accounts.get(account));
        usages.map(|a| a.running).sum()
    }

    /// Computes this instance's allocation of `slots` from its own usage, `local`, and that of its
    /// peers.
    pub(crate) fn allocate(
        &self,
        local: &[AccountUsage],
        slots: f64,
        members: usize,
    ) -> Allocation {
        let peers: Vec<Vec<_>> = self
            .usages
            .values()
            .map(|received| received.accounts.values().collect())
            .collect();
        allocate(local, &peers, slots, members)
    }
}

/// Computes an instance's allocation of `slots` from its own usage, `local`, and that of its
/// `peers`.
///
/// `members` is the number of instances in the member list. Slots are allocated to accounts by
/// weighted max-min fairness over their total demand; each instance gets the share that its callers
/// ask for.
#[must_use]
pub fn allocate(
    local: &[AccountUsage],
    peers: &[Vec<&AccountUsage>],
    slots: f64,
    members: usize,
) -> Allocation {
    let mut totals: IndexMap<&SmolStr, (f64, f64)> = IndexMap::new();
    for usage in local.iter().chain(peers.iter().flatten().copied()) {
        let (weight, demand) = totals.entry(&usage.account).or_default();
        *weight = weight.max(f64::from(usage.weight.max(1)));
        *demand += usage.demand;
    }
    let level = water_level(totals.values().copied().collect(), slots);
    let allotted = |usage: &AccountUsage| match totals.get(&usage.account) {
        Some((weight, demand)) if *demand > 0.0 => {
            demand.min(weight * level) * usage.demand / demand
        }
        _ => 0.0,
    };
    let local_slots = local.iter().map(allotted).sum();
    let peer_slots: Vec<f64> = peers
        .iter()
        .map(|usages| usages.iter().copied().map(allotted).sum())
        .collect();
    let fractions = local.iter().filter_map(|usage| {
        let (_, demand) = totals.get(&usage.account)?;
        let fraction = usage.demand / demand;
        (fraction < 1.0).then(|| (usage.account.clone(), fraction.max(FRACTION_MIN)))
    });
    Allocation {
        share: capacity_share(local_slots, &peer_slots, members),
        fractions: fractions.collect(),
        level,
    }
}

/// Returns an instance's share of the capacity, `0.0..=1.0`.
///
/// `local` and `peers` are the slots allotted to this instance and to each peer with recent usage;
/// `members` is the number of instances in the member list, this one included. An instance without
/// recent usage may still send requests to the targets, so an even share is left to it; the rest is
/// divided in proportion to the allotted slots, with a minimum.
#[must_use]
pub fn capacity_share(local: f64, peers: &[f64], members: usize) -> f64 {
    let reporting = peers.len() + 1;
    let members = members.max(reporting) as f64;
    let reporting = reporting as f64;
    let pool = reporting / members;
    let floor = SHARE_FLOOR * pool / reporting;
    let total: f64 = local + peers.iter().sum::<f64>();
    match total > 0.0 {
        true => floor + (pool - floor * reporting) * local / total,
        false => pool / reporting,
    }
}

/// Returns the slots for each unit of weight at which the allocations, limited by the demands, fill
/// `slots`.
fn water_level(mut accounts: Vec<(f64, f64)>, slots: f64) -> f64 {
    accounts.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let mut weights: f64 = accounts.iter().map(|a| a.0).sum();
    let mut left = slots;
    for (weight, demand) in accounts {
        let level = left / weights;
        if demand / weight > level {
            return level;
        }
        left -= demand;
        weights -= weight;
    }
    f64::INFINITY
}
