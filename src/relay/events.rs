//! Splits a target's byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event. A target that sends more without an event boundary is faulty.
const EVENT_MAX_BYTES: usize = 16 * 1024;

/// One event, byte for byte as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Event id, if it has a number as one.
    pub(crate) id: Option<u64>,
    /// Raw bytes including the blank line that ends the event.
    pub(crate) bytes: Bytes,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds received bytes. Returns `false` if the event exceeds the maximum size.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_MAX_BYTES
    }

    /// Returns the next complete event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let start = self.scanned.saturating_sub(1);
        let found = self.buffer[start..].windows(2).position(|w| w == b"\n\n");
        let Some(at) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(start + at + 2).freeze();
        let id = id(&bytes);
        Some(Event { id, bytes })
    }

    /// Returns what follows the last complete event.
    pub(crate) fn remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let text = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
