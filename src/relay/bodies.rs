//! Answers that are held whole before they are passed on: bounded by themselves and together, as
//! targets in trouble may send bytes without end.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt as _;

/// Largest answer that is held whole, in bytes.
const ANSWER_MAX: usize = 3 << 20;

/// Bytes of all answers that are held at a time.
const HELD_MAX: usize = 3 << 20;

/// Bytes of a block in which answers are held.
const BLOCK: usize = 8 * 1024;

/// Why an answer could not be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldError {
    /// It broke off.
    Broken,
    /// It is larger than the bound of one answer.
    TooLarge,
    /// All answers that are held are larger than their bound together.
    Full,
}

impl HoldError {
    pub(crate) fn why(self) -> &'static str {
        match self {
            Self::Broken => "answer broke off",
            Self::TooLarge => "answer of over 3 MiB",
            Self::Full => "answers of over 3 MiB held at once",
        }
    }
}

/// Counts the bytes that are held.
#[derive(Debug, Default)]
pub(crate) struct Bodies(AtomicUsize);

/// The part of one answer; given back when dropped.
struct Part<'a> {
    all: &'a Bodies,
    bytes: usize,
}

impl Part<'_> {
    fn take(&mut self, bytes: usize) -> Result<(), HoldError> {
        if self.bytes + bytes > ANSWER_MAX {
            return Err(HoldError::TooLarge);
        }
        let before = self.all.0.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        match before + bytes > HELD_MAX {
            true => Err(HoldError::Full),
            false => Ok(()),
        }
    }
}

impl Drop for Part<'_> {
    fn drop(&mut self) {
        self.all.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Bodies {
    /// Reads a whole body.
    pub(crate) async fn collect<B>(&self, mut body: B) -> Result<Bytes, HoldError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut part = Part {
            all: self,
            bytes: 0,
        };
        let mut blocks: Vec<Vec<u8>> = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| HoldError::Broken)?.into_data() else {
                continue;
            };
            part.take(data.len())?;
            if blocks.is_empty() && body.is_end_stream() {
                return Ok(data);
            }
            append(&mut blocks, &data);
        }
        Ok(blocks.concat().into())
    }
}

/// Adds bytes in blocks of one size: an answer that grows is never moved, and what is given back
/// fits the next one.
fn append(blocks: &mut Vec<Vec<u8>>, mut data: &[u8]) {
    while !data.is_empty() {
        let room = blocks.last().map_or(0, |b| BLOCK - b.len());
        if room == 0 {
            blocks.push(Vec::with_capacity(BLOCK));
            continue;
        }
        let (now, later) = data.split_at(room.min(data.len()));
        if let Some(block) = blocks.last_mut() {
            block.extend_from_slice(now);
        }
        data = later;
    }
}
