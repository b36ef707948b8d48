//! Memory for open requests. Each holds its connections, its state and its body until it has ended,
//! so many together would exceed the memory of the instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the instance's memory that open requests may fill.
const USABLE_SHARE: f64 = 0.4;

/// Bytes of a request without its body: the buffers of two connections, tasks and state.
const REQUEST_BYTES: usize = 100 * 1024;

/// Bytes accounted for two bytes of a body, which is copied while it grows.
const BODY_WEIGHT: usize = 3;

/// Counts the bytes of all open requests.
#[derive(Debug)]
pub(crate) struct RequestMemory {
    limit: usize,
    used: AtomicUsize,
}

/// Memory reserved for one request; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<RequestMemory>,
    held: usize,
}

impl RequestMemory {
    /// The memory of an instance of `memory` bytes, if that is limited.
    pub(crate) fn new(memory: Option<usize>) -> Arc<Self> {
        let usable = memory.map(|bytes| (bytes as f64 * USABLE_SHARE) as usize);
        Arc::new(Self {
            limit: usable.unwrap_or(usize::MAX),
            used: AtomicUsize::new(0),
        })
    }

    /// Bytes that are reserved.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A reservation of nothing.
    pub(crate) fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            memory: Arc::clone(self),
            held: 0,
        }
    }
}

impl Reservation {
    /// Reserves memory for a request with a body of `bytes` in all. Returns `false`, and reserves
    /// none, if it is not left.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let wanted = REQUEST_BYTES.saturating_add(bytes.saturating_mul(BODY_WEIGHT) / 2);
        self.release();
        let before = self.memory.used.fetch_add(wanted, Ordering::Relaxed);
        self.held = wanted;
        let is_left = before.saturating_add(wanted) <= self.memory.limit;
        if !is_left {
            self.release();
        }
        is_left
    }

    fn release(&mut self) {
        let held = std::mem::take(&mut self.held);
        self.memory.used.fetch_sub(held, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
