//! Cuts a target's byte stream into whole server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a target that sends more without a boundary is broken.
const EVENT_MAX: usize = 16 * 1024;

/// A whole event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its number, if it has one.
    pub(crate) id: Option<u64>,
    /// Its bytes with the blank line that ends it.
    pub(crate) bytes: Bytes,
}

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    held: BytesMut,
    seen: usize,
}

impl Splitter {
    /// Adds bytes; `false` when an event grows too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.held.extend_from_slice(bytes);
        self.held.len() <= EVENT_MAX
    }

    /// The next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let from = self.seen.saturating_sub(1);
        let found = self.held[from..].windows(2).position(|w| w == b"\n\n");
        let Some(at) = found else {
            self.seen = self.held.len();
            return None;
        };
        self.seen = 0;
        let bytes = self.held.split_to(from + at + 2).freeze();
        let id = id(&bytes);
        Some(Event { id, bytes })
    }

    /// What came after the last whole event.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.seen = 0;
        self.held.split().freeze()
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let text = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
