//! Age of claims without a clock that instances would have to share.
//!
//! One object holds the revisions of its own past writes. An instance may add to it only after it
//! has seen the object unchanged for a whole interval of its own monotonic time, so that any two
//! neighbouring revisions are at least an interval apart, whatever wall clocks say.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Most revisions kept.
pub const MARKS: usize = 256;

/// The stored revisions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    revs: Vec<u64>,
}

impl Marks {
    /// The object that follows when it now has revision `rev`.
    #[must_use]
    pub fn next(&self, rev: u64) -> Self {
        let skip = (self.revs.len() + 1).saturating_sub(MARKS);
        let kept = self.revs.iter().skip(skip).copied();
        Self {
            revs: kept.chain([rev]).collect(),
        }
    }

    /// Objects of this revision or a lower one have been unchanged for `intervals` at least.
    #[must_use]
    pub fn horizon(&self, intervals: usize) -> Option<u64> {
        let index = self.revs.len().checked_sub(intervals)?;
        self.revs.get(index).copied()
    }
}

/// What one instance has seen of the marks.
#[derive(Clone, Debug, Default)]
pub struct Watcher {
    seen: Option<(u64, Instant)>,
}

impl Watcher {
    /// Takes in the object's revision (0: absent). True when this instance may add a mark.
    pub fn is_due(&mut self, rev: u64, now: Instant, interval: Duration) -> bool {
        match self.seen {
            Some((seen, since)) if seen == rev => rev == 0 || now - since >= interval,
            _ => {
                self.seen = Some((rev, now));
                rev == 0
            }
        }
    }
}
