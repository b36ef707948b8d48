//! One account's requests at one service.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::meter::Meter;

/// Time after which an account without requests is removed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of flows checked for idleness by one sweep.
const SWEEP_BATCH: usize = 2;

/// Fixed-point scale of virtual time.
const VIRTUAL_SCALE: u64 = 1 << 10;

/// Index of a flow in [`Flows`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct FlowKey(pub(crate) u32);

/// Order of waiting requests within a flow: reserved retries first, then by priority, deadline and
/// arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) unreserved: bool,
    pub(crate) priority: Reverse<i64>,
    pub(crate) deadline: Instant,
    pub(crate) seq: u64,
}

/// One account's requests at one service.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) account: SmolStr,
    pub(crate) weight: u32,
    /// Fraction of the account's weight that counts at this instance.
    pub(crate) fraction: f64,
    /// Maximum number of running requests while slots are scarce.
    pub(crate) running_max: f64,
    pub(crate) concurrency: u32,
    pub(crate) running: u32,
    /// Weight included in the queue's sum over active flows; 0 while the flow is inactive.
    pub(crate) counted_weight: u64,
    pub(crate) remote_running: u32,
    pub(crate) waiting: BTreeMap<Rank, u64>,
    pub(crate) waiting_cost: u64,
    /// Virtual finish time of the request that was started last.
    pub(crate) finish_tag: u64,
    /// Virtual start time of the next waiting request.
    pub(crate) start_tag: u64,
    /// Offered load, in cost per second.
    pub(crate) offered: Meter,
    /// Load of reserved retries, in cost per second.
    pub(crate) retried: Meter,
    /// Time up to which the account's share is reserved for retries.
    pub(crate) reserved_until: Instant,
    pub(crate) last_used: Instant,
}

impl Flow {
    pub(crate) fn new(account: &str, now: Instant) -> Self {
        Self {
            account: account.into(),
            weight: 1,
            fraction: 1.0,
            running_max: f64::INFINITY,
            concurrency: u32::MAX,
            running: 0,
            counted_weight: 0,
            remote_running: 0,
            waiting: BTreeMap::new(),
            waiting_cost: 0,
            finish_tag: 0,
            start_tag: 0,
            offered: Meter::default(),
            retried: Meter::default(),
            reserved_until: now,
            last_used: now,
        }
    }

    /// Whether the account's own limits allow another request to start.
    pub(crate) fn may_start(&self) -> bool {
        let below_limit = self.running + self.remote_running < self.concurrency;
        self.running == 0 || below_limit && f64::from(self.running) < self.running_max
    }

    pub(crate) fn active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }

    pub(crate) fn idle(&self, now: Instant) -> bool {
        !self.active() && self.last_used + IDLE_TIMEOUT < now
    }

    /// The account's weight at this instance, in fixed point.
    pub(crate) fn scaled_weight(&self) -> u64 {
        let scaled = f64::from(self.weight) * self.fraction * VIRTUAL_SCALE as f64;
        (scaled as u64).max(1)
    }

    /// Virtual time that `cost` takes at this account's weight.
    pub(crate) fn span(&self, cost: u64) -> u64 {
        span(cost, self.scaled_weight())
    }

    /// Cost that this account may start within a virtual time: the inverse of [`Self::span`].
    pub(crate) fn cost_of(&self, span: u64) -> f64 {
        span as f64 * self.scaled_weight() as f64 / (VIRTUAL_SCALE * VIRTUAL_SCALE) as f64
    }

    /// Total cost of the waiting requests that precede `rank`.
    pub(crate) fn cost_ahead(&self, rank: &Rank) -> u64 {
        match self.waiting.last_key_value() {
            Some((last, _)) if last < rank => self.waiting_cost,
            _ => self.waiting.range(..rank).map(|(_, cost)| cost).sum(),
        }
    }

    /// Counts a request of `cost` as started at virtual time `start`.
    pub(crate) fn start(&mut self, cost: u64, start: u64) {
        self.finish_tag = start + self.span(cost);
        self.running += 1;
    }
}

/// Virtual time that `cost` takes at `weight`.
pub(crate) fn span(cost: u64, weight: u64) -> u64 {
    cost * VIRTUAL_SCALE * VIRTUAL_SCALE / weight
}

/// The flows of one service.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    flows: Vec<Option<Flow>>,
    vacant: Vec<FlowKey>,
    by_account: IndexMap<SmolStr, FlowKey>,
    next_sweep: usize,
}

impl Flows {
    /// Returns the account's flow; creates it if there is none.
    pub(crate) fn find_or_insert(&mut self, account: &SmolStr, now: Instant) -> FlowKey {
        if let Some(key) = self.find(account) {
            return key;
        }
        let key = self.vacant.pop().unwrap_or_else(|| {
            self.flows.push(None);
            FlowKey(self.flows.len() as u32 - 1)
        });
        self.by_account.insert(account.clone(), key);
        self.flows[key.0 as usize] = Some(Flow::new(account, now));
        key
    }

    pub(crate) fn find(&self, account: &SmolStr) -> Option<FlowKey> {
        self.by_account.get(account).copied()
    }

    pub(crate) fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.flows.get_mut(key.0 as usize)?.as_mut()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Flow> {
        self.flows.iter().flatten()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_account.len()
    }

    /// Removes idle accounts, a few at a time.
    pub(crate) fn sweep(&mut self, now: Instant) {
        for _ in 0..SWEEP_BATCH.min(self.flows.len()) {
            let index = self.next_sweep % self.flows.len();
            self.next_sweep = index + 1;
            match &self.flows[index] {
                Some(flow) if flow.idle(now) => {
                    self.by_account.swap_remove(&flow.account);
                    self.flows[index] = None;
                    self.vacant.push(FlowKey(index as u32));
                }
                _ => {}
            }
        }
    }
}

/// The key of a running or waiting request is always valid, as only idle flows are removed.
impl Index<FlowKey> for Flows {
    type Output = Flow;

    fn index(&self, key: FlowKey) -> &Flow {
        self.flows[key.0 as usize]
            .as_ref()
            .expect("a flow with running or waiting requests is never removed")
    }
}

impl IndexMut<FlowKey> for Flows {
    fn index_mut(&mut self, key: FlowKey) -> &mut Flow {
        self.flows[key.0 as usize]
            .as_mut()
            .expect("a flow with running or waiting requests is never removed")
    }
}
