//! Leases for sending orders to targets: one holder for each service, recorded in an object on the
//! platform.
//!
//! Clocks of different machines are never compared. For a challenger a lease has expired once its
//! own clock has passed a full term without a new revision; for the holder, a term after it sent
//! the last successful renewal. The object's revision is the fencing number.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Time after which a lease expires without renewal.
pub const TERM: Duration = Duration::from_secs(8);

/// Time between renewals.
const RENEWAL: Duration = Duration::from_secs(2);

/// Timeout of an order.
pub const ORDER_LIMIT: Duration = Duration::from_secs(3);

/// Value of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseObject {
    /// Instance that holds it.
    pub holder: SmolStr,
    /// Identifies the write, so that its writer recognises it after a lost answer.
    pub nonce: SmolStr,
}

/// Next action of the holder or a challenger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the object.
    Read,
    /// Write the object, expecting this revision; 0 when it does not exist.
    Write(u64),
    /// Nothing.
    Wait,
}

#[derive(Clone, Debug)]
struct Observed {
    rev: u64,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Held {
    rev: u64,
    sent: Instant,
    acquired: Instant,
    /// Whether orders of a previous holder may still be in flight.
    has_predecessor: bool,
}

/// State of one service's lease as one instance sees it.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    seen: Option<Observed>,
    held: Option<Held>,
    last_read: Option<Instant>,
}

impl Lease {
    /// Nothing is known about the lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Next action at `now`. Also drops a held lease that has expired.
    pub fn step(&mut self, now: Instant) -> Step {
        self.expire(now);
        match (&self.held, &self.seen) {
            (Some(held), _) if now >= held.sent + RENEWAL => Step::Write(held.rev),
            (Some(_), _) => Step::Wait,
            (None, Some(seen)) if seen.rev == 0 || now >= seen.since + TERM => {
                Step::Write(seen.rev)
            }
            (None, _) if self.last_read.is_none_or(|read| now >= read + RENEWAL) => Step::Read,
            (None, _) => Step::Wait,
        }
    }

    /// Records the object's revision as read, or as returned with a conflict; 0 when it does not
    /// exist. `own_write` is the time at which this instance sent its last write, if the object
    /// holds the nonce of that write.
    pub fn observe(&mut self, rev: u64, own_write: Option<Instant>, now: Instant) {
        self.last_read = Some(now);
        match (own_write, &self.held) {
            (Some(sent), _) => return self.written(rev, sent, now),
            (None, Some(held)) if held.rev != rev => self.held = None,
            _ => {}
        }
        if self.seen.as_ref().is_none_or(|seen| seen.rev < rev) || rev == 0 {
            self.seen = Some(Observed { rev, since: now });
        }
    }

    /// Records that a write sent at `sent` succeeded as revision `rev`.
    pub fn written(&mut self, rev: u64, sent: Instant, now: Instant) {
        let acquired = self.held.as_ref().map_or(now, |held| held.acquired);
        let has_predecessor = match (&self.held, &self.seen) {
            (Some(held), _) => held.has_predecessor,
            (None, seen) => seen.as_ref().is_some_and(|seen| seen.rev > 0),
        };
        self.seen = Some(Observed { rev, since: now });
        self.held = Some(Held {
            rev,
            sent,
            acquired,
            has_predecessor,
        });
    }

    /// Drops the lease: a target has seen a higher fencing number, so another instance holds it.
    pub fn refused(&mut self) {
        self.held = None;
        self.last_read = None;
    }

    /// The fencing number for an order sent at `now`; `None` while none may be sent. Call it right
    /// before each send. When targets do not check the number (`checked` is false), a new holder
    /// waits until the last order of its predecessor has ended.
    #[must_use]
    pub fn fence(&self, now: Instant, checked: bool) -> Option<u64> {
        let held = self.held.as_ref()?;
        let valid = now + ORDER_LIMIT < held.sent + TERM;
        let settled = checked || !held.has_predecessor || now >= held.acquired + ORDER_LIMIT;
        (valid && settled).then_some(held.rev)
    }

    fn expire(&mut self, now: Instant) {
        if self.held.as_ref().is_some_and(|h| now >= h.sent + TERM) {
            self.refused();
            self.seen = None;
        }
    }
}
