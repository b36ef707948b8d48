//! Parameters, limits and time source of an attempt.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::Record;

/// Limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Writes `sent` directly, without writing `claimed` first.
    pub direct: bool,
    /// Time for which another attempt's claim must be seen unchanged before it is taken over.
    pub takeover: Duration,
    /// Initial interval between polls of another attempt's claim.
    pub poll: Duration,
    /// Maximum time between the start of the update to `sent` and the first byte sent to the
    /// service.
    pub window: Duration,
    /// Maximum number of status calls after the service's response was lost.
    pub checks: u32,
    /// Time before the first status call for another attempt's claim, and between status calls for
    /// the attempt's own.
    pub pause: Duration,
}

impl Default for Limits {
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

/// Current time by both clocks. Decisions depend on monotonic time only; wall time is used as a
/// hint for how long to wait.
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

/// Parameters of an attempt.
#[derive(Clone, Debug)]
pub struct Params {
    /// The record to write; each write sets its stage and time.
    pub record: Record,
    /// Maximum response time of the service.
    pub timeout: Duration,
    /// Time by which the caller must have a response.
    pub deadline: Instant,
    /// Whether an earlier attempt at this instance may have run the action.
    pub known_sent: bool,
}

/// A claim object as returned by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// Its revision.
    pub rev: u64,
    /// Its value.
    pub record: Record,
}
