//! Minimum age of claims, without a clock shared between instances.
//!
//! One platform object holds the revisions of its own past writes. An instance may add one only
//! after it has seen the object unchanged for a full interval of its own monotonic time. Any two
//! adjacent revisions are therefore at least one interval apart, independent of wall clocks.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Maximum number of stored revisions.
pub const MAX_WATERMARKS: usize = 256;

/// The stored revisions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermarks {
    revs: Vec<u64>,
}

impl Watermarks {
    /// Returns the next value of the object, whose current revision is `rev`.
    #[must_use]
    pub fn next(&self, rev: u64) -> Self {
        let skip = (self.revs.len() + 1).saturating_sub(MAX_WATERMARKS);
        let kept = self.revs.iter().skip(skip).copied();
        Self {
            revs: kept.chain([rev]).collect(),
        }
    }

    /// Returns the highest revision at or below which every object has been unchanged for at least
    /// `intervals`.
    #[must_use]
    pub fn horizon(&self, intervals: usize) -> Option<u64> {
        let index = self.revs.len().checked_sub(intervals)?;
        self.revs.get(index).copied()
    }
}

/// Measures for how long one instance has seen the watermarks unchanged.
#[derive(Clone, Debug, Default)]
pub struct ChangeTimer {
    last_seen: Option<(u64, Instant)>,
}

impl ChangeTimer {
    /// Records the object's revision (0: absent). Returns whether this instance may add a
    /// watermark.
    pub fn is_due(&mut self, rev: u64, now: Instant, interval: Duration) -> bool {
        match self.last_seen {
            Some((last_seen, since)) if last_seen == rev => rev == 0 || now - since >= interval,
            _ => {
                self.last_seen = Some((rev, now));
                rev == 0
            }
        }
    }
}
