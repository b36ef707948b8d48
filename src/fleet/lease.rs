//! The right to give orders: one holder for each service, told by a platform object.
//!
//! Nobody compares clocks of two machines. A lease has lapsed for a challenger when it has seen
//! the same revision for the whole term by its own clock; for its holder, a term after it sent
//! the last renewal that took effect. The object's revision is the fencing number.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How long a lease holds without renewal.
pub const TERM: Duration = Duration::from_secs(8);

/// Time between renewals.
const RENEWAL: Duration = Duration::from_secs(2);

/// Longest that an order is on its way.
pub const ORDER_LIMIT: Duration = Duration::from_secs(3);

/// Value of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseObject {
    /// Instance that holds it.
    pub holder: SmolStr,
    /// Names the write, to recognise it after a lost answer.
    pub nonce: SmolStr,
}

/// What the holder or a challenger should do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the object.
    Read,
    /// Write the object over this revision; 0 when it does not exist.
    Write(u64),
    /// Nothing.
    Wait,
}

#[derive(Clone, Debug)]
struct Seen {
    rev: u64,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Held {
    rev: u64,
    sent: Instant,
    taken: Instant,
    /// Whether another instance may still have orders on their way.
    succeeds: bool,
}

/// One instance's part in the lease of one service.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    seen: Option<Seen>,
    held: Option<Held>,
    read: Option<Instant>,
}

impl Lease {
    /// Nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What to do at `now`. A lost lease is noticed here.
    pub fn step(&mut self, now: Instant) -> Step {
        self.lapse(now);
        match (&self.held, &self.seen) {
            (Some(held), _) if now >= held.sent + RENEWAL => Step::Write(held.rev),
            (Some(_), _) => Step::Wait,
            (None, Some(seen)) if seen.rev == 0 || now >= seen.since + TERM => {
                Step::Write(seen.rev)
            }
            (None, _) if self.read.is_none_or(|read| now >= read + RENEWAL) => Step::Read,
            (None, _) => Step::Wait,
        }
    }

    /// The object was read, or came back with a conflict; revision 0 when it does not exist.
    /// `mine` when it holds the nonce of this instance's last write, sent at `sent`.
    pub fn observe(&mut self, rev: u64, mine: Option<Instant>, now: Instant) {
        self.read = Some(now);
        match (mine, &self.held) {
            (Some(sent), _) => return self.written(rev, sent, now),
            (None, Some(held)) if held.rev != rev => self.held = None,
            _ => {}
        }
        if self.seen.as_ref().is_none_or(|seen| seen.rev < rev) || rev == 0 {
            self.seen = Some(Seen { rev, since: now });
        }
    }

    /// A write sent at `sent` took effect as revision `rev`.
    pub fn written(&mut self, rev: u64, sent: Instant, now: Instant) {
        let taken = self.held.as_ref().map_or(now, |held| held.taken);
        let succeeds = match (&self.held, &self.seen) {
            (Some(held), _) => held.succeeds,
            (None, seen) => seen.as_ref().is_some_and(|seen| seen.rev > 0),
        };
        self.seen = Some(Seen { rev, since: now });
        self.held = Some(Held {
            rev,
            sent,
            taken,
            succeeds,
        });
    }

    /// A target has seen a higher fencing number, so another instance holds the lease.
    pub fn refused(&mut self) {
        self.held = None;
        self.read = None;
    }

    /// The fencing number for an order that is sent at `now`; `None` while none may be sent.
    /// Targets that ignore the number get nothing from a successor until the last order of its
    /// predecessor has ended. Asked right before each send.
    #[must_use]
    pub fn fence(&self, now: Instant, checked: bool) -> Option<u64> {
        let held = self.held.as_ref()?;
        let valid = now + ORDER_LIMIT < held.sent + TERM;
        let settled = checked || !held.succeeds || now >= held.taken + ORDER_LIMIT;
        (valid && settled).then_some(held.rev)
    }

    fn lapse(&mut self, now: Instant) {
        if self.held.as_ref().is_some_and(|h| now >= h.sent + TERM) {
            self.refused();
            self.seen = None;
        }
    }
}
