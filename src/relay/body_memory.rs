//! Memory for the bodies of requests. A body is held until its request has ended, as another attempt
//! may need it, so many long ones together would exceed the memory of the instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the instance's memory that bodies may fill.
const USABLE_SHARE: f64 = 1.0 / 3.0;

/// Size in bytes up to which a body is not accounted: the limit on connections bounds these.
const SMALL_BODY: usize = 16 * 1024;

/// Counts the bytes of all bodies.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    limit: usize,
    used: AtomicUsize,
}

/// Memory reserved for one body; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    /// The memory of an instance of `memory` bytes, if that is limited.
    pub(crate) fn new(memory: Option<usize>) -> Arc<Self> {
        let usable = memory.map(|bytes| (bytes as f64 * USABLE_SHARE) as usize);
        Arc::new(Self {
            limit: usable.unwrap_or(usize::MAX),
            used: AtomicUsize::new(0),
        })
    }

    /// A reservation of nothing.
    pub(crate) fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            memory: Arc::clone(self),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Reserves `bytes` in all. Returns `false`, and reserves none, if they are not left.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let used = &self.memory.used;
        used.fetch_sub(accounted(self.bytes), Ordering::Relaxed);
        let before = used.fetch_add(accounted(bytes), Ordering::Relaxed);
        let sum = before.saturating_add(accounted(bytes));
        let is_left = accounted(bytes) == 0 || sum <= self.memory.limit;
        self.bytes = bytes;
        if !is_left {
            used.fetch_sub(accounted(bytes), Ordering::Relaxed);
            self.bytes = 0;
        }
        is_left
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Bytes that count for a body.
fn accounted(bytes: usize) -> usize {
    match bytes {
        0..=SMALL_BODY => 0,
        bytes => bytes,
    }
}
