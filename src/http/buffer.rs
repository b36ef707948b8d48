//! Buffers for bodies. The memory of a long one goes back to the system as soon as it is dropped:
//! an allocator keeps it for some time, and a next burst of bodies would add to it.

use bytes::{Bytes, BytesMut};
use memmap2::MmapMut;

/// Capacity in bytes above which a buffer is a mapping of its own.
const MIN_MAPPED: usize = 16 * 1024;

/// A buffer of a fixed capacity.
#[derive(Debug)]
pub(super) enum Buffer {
    Heap(BytesMut),
    Mapped(Mapped),
}

/// Anonymous memory of which the first bytes are in use.
#[derive(Debug)]
pub(super) struct Mapped {
    memory: MmapMut,
    used: usize,
}

impl AsRef<[u8]> for Mapped {
    fn as_ref(&self) -> &[u8] {
        &self.memory[..self.used]
    }
}

impl Buffer {
    pub(super) fn with_capacity(capacity: usize) -> Self {
        let mapped = (capacity > MIN_MAPPED).then(|| MmapMut::map_anon(capacity));
        match mapped {
            Some(Ok(memory)) => Self::Mapped(Mapped { memory, used: 0 }),
            // Without another mapping, the allocator may still have memory.
            Some(Err(_)) | None => Self::Heap(BytesMut::with_capacity(capacity)),
        }
    }

    /// Replaces this buffer by one of `capacity` bytes with the same content.
    pub(super) fn grow(&mut self, capacity: usize) {
        let mut grown = Self::with_capacity(capacity);
        grown.extend_from_slice(self.content());
        *self = grown;
    }

    /// Appends `data`, for which there must be capacity.
    pub(super) fn extend_from_slice(&mut self, data: &[u8]) {
        match self {
            Self::Heap(bytes) => bytes.extend_from_slice(data),
            Self::Mapped(Mapped { memory, used }) => {
                memory[*used..*used + data.len()].copy_from_slice(data);
                *used += data.len();
            }
        }
    }

    pub(super) fn freeze(self) -> Bytes {
        match self {
            Self::Heap(bytes) => bytes.freeze(),
            Self::Mapped(mapped) => Bytes::from_owner(mapped),
        }
    }

    fn content(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(mapped) => mapped.as_ref(),
        }
    }
}
