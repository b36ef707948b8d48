//! What a try is about, its limits, and the time by which it decides.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::Record;

/// Limits of a try.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Goes to `sent` in one write, without `claimed` before it.
    pub direct: bool,
    /// A claim of another try that has been seen unchanged for so long is taken over.
    pub takeover: Duration,
    /// Time before the first look at a claim that another try holds.
    pub poll: Duration,
    /// Longest time between the update to `sent` and the first byte to the service.
    pub window: Duration,
    /// Times that the status call is made after the service's answer was lost.
    pub checks: u32,
    /// Time before the first and between further status calls.
    pub pause: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            direct: false,
            takeover: Duration::from_millis(1500),
            poll: Duration::from_millis(20),
            window: Duration::from_secs(5),
            checks: 4,
            pause: Duration::from_millis(100),
        }
    }
}

/// The time, by both clocks. Only monotonic time decides; wall time is a hint for waiting.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time.
    pub at: Instant,
    /// Milliseconds since 1970.
    pub wall_ms: u64,
}

impl Now {
    /// Reads both clocks.
    #[must_use]
    pub fn read() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            at: Instant::now(),
            wall_ms: wall.unwrap_or_default().as_millis() as u64,
        }
    }
}

/// What a try is about.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The record to write; its stage and time are set by each write.
    pub record: Record,
    /// Longest answer time of the service.
    pub timeout: Duration,
    /// When the caller must have an answer.
    pub deadline: Instant,
    /// Whether an earlier try at this instance may have run it.
    pub known_sent: bool,
}

/// A claim object as the platform showed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its revision.
    pub rev: u64,
    /// Its value.
    pub record: Record,
}
