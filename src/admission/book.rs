//! The promises behind `Retry-After`: which refused request may come back, and when.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ident::RequestKey;

/// How much too early a return may come.
const EARLY: Duration = Duration::from_millis(100);

/// How much too late a return may come. `Retry-After` is rounded up to whole seconds.
const LATE: Duration = Duration::from_secs(6);

/// Most promises kept.
const PROMISES_MAX: usize = 65_536;

/// How long a promise is repeated to peers.
const TELL: Duration = Duration::from_secs(3);

/// A refused request that may come back, as told to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds until it may come back.
    pub due_ms: u64,
}

/// What a return finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// Nothing was promised, or the promise is over.
    Nothing,
    /// It comes before its time.
    Early(Duration),
    /// It comes in time.
    Due,
}

/// Promises of this instance and its peers.
#[derive(Debug, Default)]
pub(crate) struct Book {
    due: HashMap<RequestKey, Instant>,
    order: BTreeSet<(Instant, RequestKey)>,
    told: VecDeque<(Instant, RequestKey, Instant)>,
}

impl Book {
    /// Notes a promise; false when there is no room.
    pub(crate) fn add(&mut self, request: RequestKey, due: Instant, now: Instant) -> bool {
        if !self.insert(request, due, now) {
            return false;
        }
        self.told.push_back((now, request, due));
        true
    }

    /// Takes the promises of a peer. The first promise of a request stands.
    pub(crate) fn merge(&mut self, promises: &[Promise], now: Instant) {
        for promise in promises {
            if !self.due.contains_key(&promise.request) {
                let due = now + Duration::from_millis(promise.due_ms);
                self.insert(promise.request, due, now);
            }
        }
    }

    /// Finds the promise of `request`; one that is due is used up.
    pub(crate) fn find(&mut self, request: RequestKey, now: Instant) -> Found {
        let Some(due) = self.due.get(&request).copied() else {
            return Found::Nothing;
        };
        match due.checked_duration_since(now) {
            Some(left) if left > EARLY => Found::Early(left),
            _ => {
                self.remove(request, due);
                match due + LATE >= now {
                    true => Found::Due,
                    false => Found::Nothing,
                }
            }
        }
    }

    /// The promises of the last seconds, for peers.
    pub(crate) fn recent(&mut self, now: Instant) -> Vec<Promise> {
        self.told.retain(|(made, _, _)| *made + TELL > now);
        self.told
            .iter()
            .map(|(_, request, due)| Promise {
                request: *request,
                due_ms: due.saturating_duration_since(now).as_millis() as u64,
            })
            .collect()
    }

    fn insert(&mut self, request: RequestKey, due: Instant, now: Instant) -> bool {
        self.expire(now);
        if let Some(old) = self.due.get(&request).copied() {
            self.remove(request, old);
        }
        if self.due.len() >= PROMISES_MAX {
            return false;
        }
        self.due.insert(request, due);
        self.order.insert((due, request));
        true
    }

    fn remove(&mut self, request: RequestKey, due: Instant) {
        self.due.remove(&request);
        self.order.remove(&(due, request));
    }

    fn expire(&mut self, now: Instant) {
        while let Some((due, request)) = self.order.first().copied() {
            if due + LATE >= now {
                break;
            }
            self.remove(request, due);
        }
        while self.told.front().is_some_and(|t| t.0 + TELL <= now) {
            self.told.pop_front();
        }
    }
}
