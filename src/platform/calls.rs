//! Counts the API calls that one instance makes, because the platform rate-limits and bills them.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Operations that are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    Read,
    Write,
    Delete,
    List,
    Watch,
    Instances,
}

impl Op {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Instances => "instances",
        }
    }
}

/// Counters of the calls made since start.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    deletes: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    instances: AtomicU64,
}

/// A snapshot of [`Calls`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Objects read.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Deletions.
    pub deletes: u64,
    /// List pages read.
    pub lists: u64,
    /// Watch calls; a long poll counts once.
    pub watches: u64,
    /// Reads of the instance list.
    pub instances: u64,
}

impl Counts {
    /// Calls of every kind.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.mutations() + self.reads + self.lists + self.watches + self.instances
    }

    /// Calls that count against the write rate limit.
    #[must_use]
    pub fn mutations(&self) -> u64 {
        self.writes + self.deletes
    }
}

impl Calls {
    /// Takes a snapshot.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let load = |op| self.counter(op).load(Ordering::Relaxed);
        Counts {
            reads: load(Op::Read),
            writes: load(Op::Write),
            deletes: load(Op::Delete),
            lists: load(Op::List),
            watches: load(Op::Watch),
            instances: load(Op::Instances),
        }
    }

    pub(crate) fn add(&self, op: Op) {
        self.counter(op).fetch_add(1, Ordering::Relaxed);
    }

    fn counter(&self, op: Op) -> &AtomicU64 {
        match op {
            Op::Read => &self.reads,
            Op::Write => &self.writes,
            Op::Delete => &self.deletes,
            Op::List => &self.lists,
            Op::Watch => &self.watches,
            Op::Instances => &self.instances,
        }
    }
}
