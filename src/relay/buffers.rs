//! Buffers for complete response bodies. Each body and their total are bounded, as a faulty target
//! may send without end.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt as _;

/// Maximum size of one buffered body.
const BODY_MAX_BYTES: usize = 3 << 20;

/// Maximum size of all buffered bodies.
const TOTAL_MAX_BYTES: usize = 3 << 20;

/// Size of the blocks that buffers grow by.
const BLOCK_BYTES: usize = 8 * 1024;

/// Why a response body could not be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BufferError {
    /// The connection failed within the body.
    Broken,
    /// The body exceeds its own limit.
    TooLarge,
    /// All buffered bodies together exceed their limit.
    Full,
}

impl BufferError {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Broken => "answer broke off",
            Self::TooLarge => "answer of over 3 MiB",
            Self::Full => "answers of over 3 MiB held at once",
        }
    }
}

/// Counts the bytes in all buffers.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffers(AtomicUsize);

/// Bytes accounted to one response; released on drop.
struct Allocation<'a> {
    buffers: &'a ResponseBuffers,
    bytes: usize,
}

impl Allocation<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), BufferError> {
        if self.bytes + bytes > BODY_MAX_BYTES {
            return Err(BufferError::TooLarge);
        }
        let before = self.buffers.0.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        match before + bytes > TOTAL_MAX_BYTES {
            true => Err(BufferError::Full),
            false => Ok(()),
        }
    }
}

impl Drop for Allocation<'_> {
    fn drop(&mut self) {
        self.buffers.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl ResponseBuffers {
    /// Reads a complete body.
    pub(crate) async fn collect<B>(&self, mut body: B) -> Result<Bytes, BufferError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut allocation = Allocation {
            buffers: self,
            bytes: 0,
        };
        let mut blocks: Vec<Vec<u8>> = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BufferError::Broken)?.into_data() else {
                continue;
            };
            allocation.grow(data.len())?;
            if blocks.is_empty() && body.is_end_stream() {
                return Ok(data);
            }
            append(&mut blocks, &data);
        }
        Ok(blocks.concat().into())
    }
}

/// Appends data in blocks of a fixed size: a growing buffer is never reallocated, and freed blocks
/// fit the next response.
fn append(blocks: &mut Vec<Vec<u8>>, mut data: &[u8]) {
    while !data.is_empty() {
        let room = blocks.last().map_or(0, |b| BLOCK_BYTES - b.len());
        if room == 0 {
            blocks.push(Vec::with_capacity(BLOCK_BYTES));
            continue;
        }
        let (head, tail) = data.split_at(room.min(data.len()));
        if let Some(block) = blocks.last_mut() {
            block.extend_from_slice(head);
        }
        data = tail;
    }
}
