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

impl Event {
    /// Whether it has no fields, as a keep-alive.
    pub(crate) fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|b| matches!(b, b'\r' | b'\n'));
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }
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
        // A blank line may have begun in what was scanned.
        let start = self.scanned.saturating_sub(2);
        let Some(end) = blank_line_end(&self.buffer[start..]) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(start + end).freeze();
        let id = id(&bytes);
        Some(Event { id, bytes })
    }

    /// Whether an event has begun and is not complete.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.buffer.iter().any(|b| !matches!(b, b'\r' | b'\n'))
    }
}

/// Where the first blank line ends. Lines end with LF or CR LF.
fn blank_line_end(bytes: &[u8]) -> Option<usize> {
    let mut line_ends = (0..bytes.len()).filter(|at| bytes[*at] == b'\n');
    line_ends.find_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let text = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
