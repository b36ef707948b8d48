//! A bounded prefix cache with late events.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt in one block.
const BLOCK: usize = 64;

/// Prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;

/// Events kept for readers.
const EVENTS: usize = 4096;

/// One published change.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Sequence number.
    pub seq: u64,
    /// `add` or `evict`.
    pub op: &'static str,
    /// Digest of the prefix up to the block's end.
    pub prefix: String,
    #[serde(skip)]
    at: Instant,
}

/// Blocks in order of use.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: IndexMap<u64, ()>,
    events: Vec<Event>,
    seq: u64,
    capacity: usize,
    gap: u64,
}

impl Cache {
    /// An empty cache of `capacity` blocks that loses every `gap`-th event.
    pub fn new(capacity: usize, gap: u64) -> Self {
        Self {
            capacity,
            gap,
            ..Self::default()
        }
    }

    /// Uses `prompt` and returns how many of its tokens were not cached.
    pub fn touch(&mut self, prompt: &str) -> u64 {
        let mut hash = 0;
        let mut missed = 0;
        for block in prompt.as_bytes().chunks(BLOCK) {
            hash = xxh3_64_with_seed(block, hash);
            if self.blocks.shift_remove(&hash).is_none() {
                missed += BLOCK_TOKENS;
                self.publish("add", hash);
            }
            self.blocks.insert(hash, ());
        }
        while self.blocks.len() > self.capacity {
            let (old, ()) = self.blocks.shift_remove_index(0).expect("not empty");
            self.publish("evict", old);
        }
        missed
    }

    /// Next sequence number and the events from `from` on that are older than `lag`.
    pub fn events(&self, from: u64, lag: Duration) -> (u64, Vec<Event>) {
        let events: Vec<_> = self
            .events
            .iter()
            .filter(|e| e.seq >= from && e.at.elapsed() >= lag)
            .cloned()
            .collect();
        (events.last().map_or(from, |e| e.seq + 1), events)
    }

    fn publish(&mut self, op: &'static str, hash: u64) {
        self.seq += 1;
        if self.gap > 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() >= EVENTS {
            self.events.drain(..EVENTS / 2);
        }
        self.events.push(Event {
            seq: self.seq,
            op,
            prefix: format!("{hash:016x}"),
            at: Instant::now(),
        });
    }
}
