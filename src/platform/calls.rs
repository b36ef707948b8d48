//! Counts of the calls that one instance makes, since the platform limits and bills them.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Kinds of calls that are counted apart.
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

/// Running counts.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    deletes: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    instances: AtomicU64,
}

/// The counts at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Objects read.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Deletions.
    pub deletes: u64,
    /// Pages of lists.
    pub lists: u64,
    /// Watches; one that waits counts once.
    pub watches: u64,
    /// Readings of the instance list.
    pub instances: u64,
}

impl Counts {
    /// All calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.mutations() + self.reads + self.lists + self.watches + self.instances
    }

    /// Calls that count against the write rate.
    #[must_use]
    pub fn mutations(&self) -> u64 {
        self.writes + self.deletes
    }
}

impl Calls {
    /// The counts now.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let load = |op| self.cell(op).load(Ordering::Relaxed);
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
        self.cell(op).fetch_add(1, Ordering::Relaxed);
    }

    fn cell(&self, op: Op) -> &AtomicU64 {
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
