//! Answers at once while the platform does not: only a few new actions find out whether it is back.

use std::time::{Duration, Instant};

/// Failed calls in a row after which the platform counts as down.
const FAILURES: u32 = 3;

/// Time between two new actions that are let through to a platform that is down.
const PROBE: Duration = Duration::from_millis(250);

/// What the latest calls of the platform tell.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    failures: u32,
    probe: Instant,
}

impl Breaker {
    /// A platform that is up.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            probe: now,
        }
    }

    /// Admits one new action.
    ///
    /// # Errors
    /// The time after which coming back may help.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        match () {
            () if self.failures < FAILURES => Ok(()),
            () if now < self.probe => Err(self.probe - now),
            () => {
                self.probe = now + PROBE;
                Ok(())
            }
        }
    }

    /// Takes in whether the platform answered a call.
    pub fn record(&mut self, answered: bool, now: Instant) {
        match answered {
            true => self.failures = 0,
            false => {
                self.failures = self.failures.saturating_add(1);
                if self.failures == FAILURES {
                    self.probe = now + PROBE;
                }
            }
        }
    }
}
