//! Division of a service's capacity among instances, from what they tell each other.
//!
//! Each instance tells every account's demand. From the same messages each computes the same fair
//! allocation by account, and takes the part of it that its own callers ask for.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::book::Promise;

/// Part of an even share that an instance keeps without any demand.
const FLOOR: f64 = 0.1;

/// Least part of its weight that an account keeps at an instance.
const FRACTION_MIN: f64 = 0.05;

/// Age at which a peer's usage says nothing any more.
const USAGE_LIFE: Duration = Duration::from_secs(3);

/// One account's use of a service at one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Account.
    pub account: SmolStr,
    /// Its weight.
    pub weight: u32,
    /// Requests that run.
    pub running: u32,
    /// Slots that its requests would use if they could.
    pub demand: f64,
}

/// One instance's use of a service. It replaces earlier ones of the same instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Service.
    pub service: SmolStr,
    /// Number of the process's life.
    pub epoch: u64,
    /// Number of the message within the epoch.
    pub seq: u64,
    /// Use by account.
    pub accounts: Vec<AccountUse>,
    /// Promises of the last seconds.
    pub promises: Vec<Promise>,
}

/// What an instance may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split {
    /// Part of the service's capacity.
    pub part: f64,
    /// Part of each account's weight; accounts without demand elsewhere are left out.
    pub fractions: IndexMap<SmolStr, f64>,
    /// Fair slots for each unit of weight, over all instances; infinite while there are enough.
    pub level: f64,
}

/// The newest usage of each peer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    heard: IndexMap<SmolStr, Heard>,
}

#[derive(Debug)]
struct Heard {
    at: Instant,
    epoch: u64,
    seq: u64,
    accounts: IndexMap<SmolStr, AccountUse>,
}

impl Peers {
    /// Takes a peer's usage unless a newer one was taken before.
    pub(crate) fn merge(&mut self, origin: &str, usage: &Usage, now: Instant) {
        let newest = (usage.epoch, usage.seq);
        let old = self.heard.get(origin);
        if old.is_some_and(|old| (old.epoch, old.seq) > newest) {
            return;
        }
        let accounts = usage.accounts.iter();
        let heard = Heard {
            at: now,
            epoch: usage.epoch,
            seq: usage.seq,
            accounts: accounts.map(|a| (a.account.clone(), a.clone())).collect(),
        };
        self.heard.insert(origin.into(), heard);
    }

    /// Forgets peers that went silent.
    pub(crate) fn forget(&mut self, now: Instant) {
        self.heard.retain(|_, heard| heard.at + USAGE_LIFE > now);
    }

    /// Requests of an account that run at the peers.
    pub(crate) fn running(&self, account: &SmolStr) -> u32 {
        let uses = self.heard.values().filter_map(|h| h.accounts.get(account));
        uses.map(|a| a.running).sum()
    }

    /// Divides `slots` among this instance, with the uses `own`, and its peers.
    pub(crate) fn split(&self, own: &[AccountUse], slots: f64, members: usize) -> Split {
        let peers: Vec<Vec<_>> = self
            .heard
            .values()
            .map(|heard| heard.accounts.values().collect())
            .collect();
        split(own, &peers, slots, members)
    }
}

/// Divides `slots` among an instance with the uses `own` and its `peers`.
///
/// `members` counts all instances on the list. Fair allocation by account is max-min by weight
/// over the accounts' whole demand; each instance gets the part that its callers ask for.
#[must_use]
pub fn split(own: &[AccountUse], peers: &[Vec<&AccountUse>], slots: f64, members: usize) -> Split {
    let mut whole: IndexMap<&SmolStr, (f64, f64)> = IndexMap::new();
    for used in own.iter().chain(peers.iter().flatten().copied()) {
        let (weight, demand) = whole.entry(&used.account).or_default();
        *weight = weight.max(f64::from(used.weight.max(1)));
        *demand += used.demand;
    }
    let level = level(whole.values().copied().collect(), slots);
    let wanted = |used: &AccountUse| match whole.get(&used.account) {
        Some((weight, demand)) if *demand > 0.0 => {
            demand.min(weight * level) * used.demand / demand
        }
        _ => 0.0,
    };
    let own_want = own.iter().map(wanted).sum();
    let wants: Vec<f64> = peers
        .iter()
        .map(|uses| uses.iter().copied().map(wanted).sum())
        .collect();
    let fractions = own.iter().filter_map(|used| {
        let (_, demand) = whole.get(&used.account)?;
        let fraction = used.demand / demand;
        (fraction < 1.0).then(|| (used.account.clone(), fraction.max(FRACTION_MIN)))
    });
    Split {
        part: part(own_want, &wants, members),
        fractions: fractions.collect(),
        level,
    }
}

/// An instance's part of the capacity, `0.0..=1.0`.
///
/// `own` and `heard` are the slots wanted by this instance and by the peers heard of lately;
/// `members` counts all instances on the list, this one included. A silent instance may still use
/// the targets, so it keeps an even share; the rest is divided by want, with a floor.
#[must_use]
pub fn part(own: f64, heard: &[f64], members: usize) -> f64 {
    let present = heard.len() + 1;
    let members = members.max(present) as f64;
    let present = present as f64;
    let pool = present / members;
    let floor = FLOOR * pool / present;
    let all: f64 = own + heard.iter().sum::<f64>();
    match all > 0.0 {
        true => floor + (pool - floor * present) * own / all,
        false => pool / present,
    }
}

/// Allocation for each unit of weight, such that allocations up to the demands fill `slots`.
fn level(mut accounts: Vec<(f64, f64)>, slots: f64) -> f64 {
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
