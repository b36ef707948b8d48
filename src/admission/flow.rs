//! One account's requests at one service.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::meter::Meter;

/// Time after which an account without requests is forgotten.
pub(crate) const IDLE: Duration = Duration::from_secs(60);

/// Flows looked at for idleness at a time.
const SWEEP: usize = 2;

/// Fixed-point scale of virtual time.
const SCALE: u64 = 1 << 10;

/// Place of a flow in a line's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct FlowKey(pub(crate) u32);

/// Order of waiting requests within a flow: promised returns, then priority, deadline, arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) fresh: bool,
    pub(crate) priority: Reverse<i64>,
    pub(crate) deadline: Instant,
    pub(crate) seq: u64,
}

/// One account's requests at one service.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) account: SmolStr,
    pub(crate) weight: u32,
    /// Part of its weight that counts at this instance.
    pub(crate) fraction: f64,
    /// Most slots while slots are scarce.
    pub(crate) fair_max: f64,
    pub(crate) concurrency: u32,
    pub(crate) running: u32,
    /// Its weight as counted among the active flows; 0 while it is not.
    pub(crate) weighed: u64,
    pub(crate) remote: u32,
    pub(crate) queue: BTreeMap<Rank, u64>,
    pub(crate) queued: u64,
    /// Virtual time at which its last request ends.
    pub(crate) finish: u64,
    /// Virtual start of its next request while it waits.
    pub(crate) tag: u64,
    /// Cost a second that asked.
    pub(crate) offered: Meter,
    /// Cost a second that came back as promised.
    pub(crate) returned: Meter,
    /// Time up to which promises use the account's share.
    pub(crate) promised: Instant,
    pub(crate) used: Instant,
}

impl Flow {
    pub(crate) fn new(account: &str, now: Instant) -> Self {
        Self {
            account: account.into(),
            weight: 1,
            fraction: 1.0,
            fair_max: f64::INFINITY,
            concurrency: u32::MAX,
            running: 0,
            weighed: 0,
            remote: 0,
            queue: BTreeMap::new(),
            queued: 0,
            finish: 0,
            tag: 0,
            offered: Meter::default(),
            returned: Meter::default(),
            promised: now,
            used: now,
        }
    }

    /// Whether a request may start as far as the account's own limits go.
    pub(crate) fn free(&self) -> bool {
        let own = self.running + self.remote < self.concurrency;
        self.running == 0 || own && f64::from(self.running) < self.fair_max
    }

    pub(crate) fn active(&self) -> bool {
        self.running > 0 || !self.queue.is_empty()
    }

    pub(crate) fn idle(&self, now: Instant) -> bool {
        !self.active() && self.used + IDLE < now
    }

    /// Its weight at this instance, in fixed point.
    pub(crate) fn share(&self) -> u64 {
        let share = f64::from(self.weight) * self.fraction * SCALE as f64;
        (share as u64).max(1)
    }

    /// Virtual length of `cost` for this account.
    pub(crate) fn span(&self, cost: u64) -> u64 {
        span(cost, self.share())
    }

    /// Cost that this account may start in a virtual length: the inverse of [`Self::span`].
    pub(crate) fn cost_of(&self, span: u64) -> f64 {
        span as f64 * self.share() as f64 / (SCALE * SCALE) as f64
    }

    /// Cost of waiting requests that go before `rank`.
    pub(crate) fn ahead(&self, rank: &Rank) -> u64 {
        match self.queue.last_key_value() {
            Some((last, _)) if last < rank => self.queued,
            _ => self.queue.range(..rank).map(|(_, cost)| cost).sum(),
        }
    }

    /// Counts a request of `cost` as started at virtual time `start`.
    pub(crate) fn start(&mut self, cost: u64, start: u64) {
        self.finish = start + self.span(cost);
        self.running += 1;
    }
}

/// Virtual length of `cost` at `share`.
pub(crate) fn span(cost: u64, share: u64) -> u64 {
    cost * SCALE * SCALE / share
}

/// The flows of one line.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    flows: Vec<Option<Flow>>,
    free: Vec<FlowKey>,
    names: IndexMap<SmolStr, FlowKey>,
    sweep_at: usize,
}

impl Flows {
    /// Finds the account's flow or makes one.
    pub(crate) fn enter(&mut self, account: &SmolStr, now: Instant) -> FlowKey {
        if let Some(key) = self.find(account) {
            return key;
        }
        let key = self.free.pop().unwrap_or_else(|| {
            self.flows.push(None);
            FlowKey(self.flows.len() as u32 - 1)
        });
        self.names.insert(account.clone(), key);
        self.flows[key.0 as usize] = Some(Flow::new(account, now));
        key
    }

    pub(crate) fn find(&self, account: &SmolStr) -> Option<FlowKey> {
        self.names.get(account).copied()
    }

    pub(crate) fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.flows.get_mut(key.0 as usize)?.as_mut()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Flow> {
        self.flows.iter().flatten()
    }

    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    /// Forgets idle accounts, a few at a time.
    pub(crate) fn sweep(&mut self, now: Instant) {
        for _ in 0..SWEEP.min(self.flows.len()) {
            let at = self.sweep_at % self.flows.len();
            self.sweep_at = at + 1;
            match &self.flows[at] {
                Some(flow) if flow.idle(now) => {
                    self.names.swap_remove(&flow.account);
                    self.flows[at] = None;
                    self.free.push(FlowKey(at as u32));
                }
                _ => {}
            }
        }
    }
}

/// A key of a running or waiting request always finds its flow: only idle ones are forgotten.
impl Index<FlowKey> for Flows {
    type Output = Flow;

    fn index(&self, key: FlowKey) -> &Flow {
        self.flows[key.0 as usize].as_ref().expect("a flow in use")
    }
}

impl IndexMut<FlowKey> for Flows {
    fn index_mut(&mut self, key: FlowKey) -> &mut Flow {
        self.flows[key.0 as usize].as_mut().expect("a flow in use")
    }
}
