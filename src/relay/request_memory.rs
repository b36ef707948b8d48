//! Memory for open requests. Each holds its connections, its state and its body until it has ended,
//! so many together would exceed the memory of the instance. What else fills the process (idle
//! connections, other instances' load, fragments) leaves less for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the instance's memory that open requests may fill.
const USABLE_SHARE: f64 = 0.4;

/// Share of the instance's memory up to which the process may grow by new requests. The rest is for
/// those that are refused, and for bytes that were received and not read.
const FILLED_SHARE: f64 = 0.85;

/// Share that open requests may fill whatever else fills the process, as memory that was freed may
/// stay with it.
const MIN_SHARE: f64 = 0.1;

/// Bytes of a request without its body: the buffers of two connections, tasks and state.
const REQUEST_BYTES: usize = 150 * 1024;

/// Bytes accounted for two bytes of a body, which is copied while it grows.
const BODY_WEIGHT: usize = 3;

/// Counts the bytes of all open requests.
#[derive(Debug)]
pub(crate) struct RequestMemory {
    /// Memory of the instance; `None` if it is not limited.
    memory: Option<usize>,
    limit: usize,
    used: AtomicUsize,
    /// Bytes up to which requests may reserve by the last look at the process.
    ceiling: AtomicUsize,
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
            memory,
            limit: usable.unwrap_or(usize::MAX),
            used: AtomicUsize::new(0),
            ceiling: AtomicUsize::new(usize::MAX),
        })
    }

    /// Whether open requests fill enough of the memory for a look at the process to matter.
    pub(crate) fn needs_look(&self) -> bool {
        self.memory
            .is_some_and(|bytes| self.used() as f64 > bytes as f64 * MIN_SHARE / 2.0)
    }

    /// Limits what requests may reserve from now on, as the process fills `resident` bytes.
    pub(crate) fn observe(&self, resident: usize) {
        let Some(memory) = self.memory.map(|bytes| bytes as f64) else {
            return;
        };
        let left = ((memory * FILLED_SHARE) as usize).saturating_sub(resident);
        let ceiling = self.used().saturating_add(left);
        let floor = (memory * MIN_SHARE) as usize;
        self.ceiling.store(ceiling.max(floor), Ordering::Relaxed);
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
        let limit = self.memory.limit;
        let limit = limit.min(self.memory.ceiling.load(Ordering::Relaxed));
        let is_left = before.saturating_add(wanted) <= limit;
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
