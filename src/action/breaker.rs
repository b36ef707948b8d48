//! Circuit breaker for the platform: while it does not respond, new actions are refused
//! immediately, except for a few that probe whether it has recovered.

use std::time::{Duration, Instant};

/// Consecutive failed calls after which the breaker opens.
const FAILURE_THRESHOLD: u32 = 3;

/// Time between two new actions that are admitted as probes while the breaker is open.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Circuit breaker driven by the results of platform calls.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreaker {
    failures: u32,
    next_probe: Instant,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            next_probe: now,
        }
    }

    /// Admits one new action.
    ///
    /// # Errors
    /// The time after which a retry may be admitted.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        match () {
            () if self.failures < FAILURE_THRESHOLD => Ok(()),
            () if now < self.next_probe => Err(self.next_probe - now),
            () => {
                self.next_probe = now + PROBE_INTERVAL;
                Ok(())
            }
        }
    }

    /// Records whether the platform responded to a call.
    pub fn record(&mut self, answered: bool, now: Instant) {
        match answered {
            true => self.failures = 0,
            false => {
                self.failures = self.failures.saturating_add(1);
                if self.failures == FAILURE_THRESHOLD {
                    self.next_probe = now + PROBE_INTERVAL;
                }
            }
        }
    }
}
