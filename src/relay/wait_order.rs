//! Order in which the requests to one service that wait for a target are served. Pure state, without
//! I/O.
//!
//! More urgent requests go first, those of one priority in their order of arrival. A priority whose
//! requests are placed much less often than those of all priorities is owed a turn and goes before
//! the others, so that none starves. A request that has begun rises with its wait, because it cannot
//! be refused any more.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::priority::{LEVEL_COUNT, Priority};

/// A priority is owed a turn while its share of placed requests is below this part of the share of
/// all. None may fall below a quarter; the rest covers what one instance can't see of the others.
const SHARE_MIN: f64 = 0.4;

/// Time in which the weight of an old outcome falls to a third, so that the shares are those of the
/// present load.
const OUTCOME_LIFE: Duration = Duration::from_secs(10);

/// Wait in which a request that has begun rises by one level.
const AGEING_STEP: Duration = Duration::from_secs(1);

/// A request as it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) priority: Priority,
    /// When it began to wait.
    pub(crate) since: Instant,
    /// Whether events of its stream have been sent to the caller.
    pub(crate) has_begun: bool,
}

/// Weighted numbers of requests that left the line.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    placed: f64,
    /// Refused, or gone without a target.
    unplaced: f64,
}

impl Outcomes {
    /// Share that was placed; `None` if none has left.
    fn share(self) -> Option<f64> {
        let all = self.placed + self.unplaced;
        (all > 0.0).then(|| self.placed / all)
    }
}

/// The requests that wait, and how those before them fared.
#[derive(Debug, Default)]
pub(crate) struct WaitOrder {
    /// By number of arrival.
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
    /// By level.
    outcomes: [Outcomes; LEVEL_COUNT],
    updated: Option<Instant>,
}

impl WaitOrder {
    /// Number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request, and returns its number.
    pub(crate) fn enter(&mut self, request: Waiting) -> u64 {
        self.next += 1;
        self.waiting.insert(self.next, request);
        self.next
    }

    /// Removes a request, which was placed or not.
    pub(crate) fn leave(&mut self, number: u64, is_placed: bool, now: Instant) {
        if let Some(request) = self.waiting.remove(&number) {
            self.record(request.priority, is_placed, now);
        }
    }

    /// Records the outcome of a request that is not in line.
    pub(crate) fn record(&mut self, priority: Priority, is_placed: bool, now: Instant) {
        let last = self.updated.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(last).as_secs_f64();
        let weight = (-age / OUTCOME_LIFE.as_secs_f64()).exp();
        for outcomes in &mut self.outcomes {
            outcomes.placed *= weight;
            outcomes.unplaced *= weight;
        }
        let outcomes = &mut self.outcomes[usize::from(priority.level())];
        match is_placed {
            true => outcomes.placed += 1.0,
            false => outcomes.unplaced += 1.0,
        }
    }

    /// The request that is to be placed next.
    pub(crate) fn first(&self, now: Instant) -> Option<u64> {
        let turn = self.turns(now);
        let order = self.waiting.iter().map(|(n, request)| (turn(request), *n));
        order.min().map(|(_, number)| number)
    }

    /// The request that is to be placed last.
    pub(crate) fn last(&self, now: Instant) -> Option<u64> {
        let turn = self.turns(now);
        let order = self.waiting.iter().map(|(n, request)| (turn(request), *n));
        order.max().map(|(_, number)| number)
    }

    /// Number of requests before one that would arrive now.
    pub(crate) fn ahead(&self, request: &Waiting, now: Instant) -> usize {
        let turn = self.turns(now);
        let own = turn(request);
        self.waiting.values().filter(|w| turn(w) <= own).count()
    }

    /// Number of requests before one that waits.
    pub(crate) fn ahead_of(&self, number: u64, now: Instant) -> usize {
        let turn = self.turns(now);
        let Some(own) = self.waiting.get(&number).map(|w| (turn(w), number)) else {
            return 0;
        };
        let order = self.waiting.iter().map(|(n, request)| (turn(request), *n));
        order.filter(|other| *other < own).count()
    }

    /// Returns the turn of a request: 0 if its priority is owed one, otherwise its level and one.
    fn turns(&self, now: Instant) -> impl Fn(&Waiting) -> u8 {
        let owed = self.owed();
        let others = self.waiting.values().filter(|w| !w.has_begun);
        let top = others.map(|w| w.priority.level()).min().unwrap_or(0);
        move |request| {
            let level = request.priority.level();
            let wait = now.saturating_duration_since(request.since);
            let steps = (wait.as_secs() / AGEING_STEP.as_secs()).min(u64::from(level));
            match request.has_begun {
                _ if owed[usize::from(level)] => 0,
                // Risen to the level of the most urgent requests, it goes before those that came later.
                true => 1 + (level - steps as u8).max(top.min(level)),
                false => 1 + level,
            }
        }
    }

    /// Whether each level is owed a turn.
    fn owed(&self) -> [bool; LEVEL_COUNT] {
        let mut all = Outcomes::default();
        for outcomes in &self.outcomes {
            all.placed += outcomes.placed;
            all.unplaced += outcomes.unplaced;
        }
        let least = SHARE_MIN * all.share().unwrap_or_default();
        self.outcomes
            .map(|outcomes| outcomes.share().is_some_and(|share| share < least))
    }
}
