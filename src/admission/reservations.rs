//! Reservations behind `Retry-After`: which refused requests may retry, and when.
//!
//! A request that retries at its reserved time goes ahead of its account's other waiting requests.
//! Reservations are sent to peers, so that a client may retry at any instance.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ident::RequestKey;

/// How far before its reserved time a retry is accepted.
const EARLY_TOLERANCE: Duration = Duration::from_millis(100);

/// How long after its reserved time a retry is accepted. `Retry-After` is rounded up to whole
/// seconds.
const LATE_TOLERANCE: Duration = Duration::from_secs(6);

/// Maximum number of reservations stored.
const RESERVATIONS_MAX: usize = 65_536;

/// How long a new reservation is included in usage messages to peers.
const GOSSIP_PERIOD: Duration = Duration::from_secs(3);

/// A retry reserved for a refused request, as sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The refused request.
    pub request: RequestKey,
    /// Milliseconds until the request may retry.
    pub due_ms: u64,
}

/// A request's arrival compared with its reserved time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTiming {
    /// The request has no reservation, or it has expired.
    Unreserved,
    /// The request arrived too early by the given time.
    Early(Duration),
    /// The request arrived in time.
    Due,
}

/// Reservations made by this instance and by its peers.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    due: HashMap<RequestKey, Instant>,
    by_due: BTreeSet<(Instant, RequestKey)>,
    recent: VecDeque<(Instant, RequestKey, Instant)>,
}

impl Reservations {
    /// Adds a reservation; returns false if the maximum number is reached.
    pub(crate) fn add(&mut self, request: RequestKey, due: Instant, now: Instant) -> bool {
        if !self.insert(request, due, now) {
            return false;
        }
        self.recent.push_back((now, request, due));
        true
    }

    /// Adds the reservations of a peer. An existing reservation of the same request takes
    /// precedence.
    pub(crate) fn merge(&mut self, reservations: &[Reservation], now: Instant) {
        for reservation in reservations {
            if !self.due.contains_key(&reservation.request) {
                let due = now + Duration::from_millis(reservation.due_ms);
                self.insert(reservation.request, due, now);
            }
        }
    }

    /// Compares `now` with the reserved time of `request`; removes the reservation unless the
    /// request is too early.
    pub(crate) fn check(&mut self, request: RequestKey, now: Instant) -> RetryTiming {
        let Some(due) = self.due.get(&request).copied() else {
            return RetryTiming::Unreserved;
        };
        match due.checked_duration_since(now) {
            Some(left) if left > EARLY_TOLERANCE => RetryTiming::Early(left),
            _ => {
                self.remove(request, due);
                match due + LATE_TOLERANCE >= now {
                    true => RetryTiming::Due,
                    false => RetryTiming::Unreserved,
                }
            }
        }
    }

    /// Reservations added within [`GOSSIP_PERIOD`], to be sent to peers.
    pub(crate) fn recent(&mut self, now: Instant) -> Vec<Reservation> {
        self.recent
            .retain(|(added, _, _)| *added + GOSSIP_PERIOD > now);
        self.recent
            .iter()
            .map(|(_, request, due)| Reservation {
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
        if self.due.len() >= RESERVATIONS_MAX {
            return false;
        }
        self.due.insert(request, due);
        self.by_due.insert((due, request));
        true
    }

    fn remove(&mut self, request: RequestKey, due: Instant) {
        self.due.remove(&request);
        self.by_due.remove(&(due, request));
    }

    fn expire(&mut self, now: Instant) {
        while let Some((due, request)) = self.by_due.first().copied() {
            if due + LATE_TOLERANCE >= now {
                break;
            }
            self.remove(request, due);
        }
        while self
            .recent
            .front()
            .is_some_and(|t| t.0 + GOSSIP_PERIOD <= now)
        {
            self.recent.pop_front();
        }
    }
}
