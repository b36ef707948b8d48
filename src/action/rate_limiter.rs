//! Limits the rate of new actions while the platform refuses writes for exceeding its write rate,
//! so that actions that already hold a claim can complete.

use std::time::{Duration, Instant};

/// Factor applied to the rate after the platform refused a write for exceeding its write rate.
const DECREASE: f64 = 0.7;

/// Minimum time between two decreases: refusals in quick succession count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Growth of the rate per second: as a fraction of the rate, and its minimum in actions per second.
const INCREASE: f64 = 0.2;
const MIN_INCREASE: f64 = 0.5;

/// Minimum rate in actions per second.
const MIN_RATE: f64 = 1.0;

/// Time after the last refusal at which the limit is lifted.
const LIMIT_EXPIRY: Duration = Duration::from_secs(30);

/// Time constant of the moving average over admitted actions.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Minimum weight of the average, which bounds the correction of a young one.
const MIN_WEIGHT: f64 = 0.05;

/// Maximum burst, as seconds of the current rate.
const BURST_SECS: f64 = 0.2;

/// Token bucket for new actions whose rate increases over time and decreases
/// multiplicatively when the platform refuses a write.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limit: Option<Limit>,
    admitted: f64,
    weight: f64,
    updated: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: f64,
    tokens: f64,
    last_refusal: Instant,
}

impl RateLimiter {
    /// Creates a limiter that does not limit.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            limit: None,
            admitted: 0.0,
            weight: 0.0,
            updated: now,
        }
    }

    /// Whether the platform has recently refused writes for exceeding its write rate.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Admits one new action.
    ///
    /// # Errors
    /// The time after which a retry may be admitted.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        match &mut self.limit {
            Some(limit) if limit.tokens < 1.0 => {
                let wait = (1.0 - limit.tokens) / limit.rate;
                return Err(Duration::from_secs_f64(wait));
            }
            Some(limit) => limit.tokens -= 1.0,
            None => {}
        }
        self.admitted += 1.0 / AVERAGING_TIME.as_secs_f64();
        Ok(())
    }

    /// Records that the platform refused a write for exceeding its write rate.
    pub fn record_refusal(&mut self, now: Instant) {
        self.advance(now);
        match &mut self.limit {
            Some(limit) if now - limit.last_refusal < DECREASE_INTERVAL => {}
            Some(limit) => {
                limit.rate = (limit.rate * DECREASE).max(MIN_RATE);
                limit.last_refusal = now;
            }
            None => {
                self.limit = Some(Limit {
                    rate: (self.admitted_rate() * DECREASE).max(MIN_RATE),
                    tokens: 0.0,
                    last_refusal: now,
                });
            }
        }
    }

    /// Admitted actions per second: a moving average, corrected for the bias of its start at 0.
    fn admitted_rate(&self) -> f64 {
        self.admitted / self.weight.max(MIN_WEIGHT)
    }

    /// Decays the average and increases the rate by the elapsed time.
    fn advance(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let decay = (-time / AVERAGING_TIME.as_secs_f64()).exp();
        self.admitted *= decay;
        self.weight = 1.0 - (1.0 - self.weight) * decay;
        let Some(limit) = &mut self.limit else {
            return;
        };
        limit.rate += time * (limit.rate * INCREASE).max(MIN_INCREASE);
        let max_tokens = (limit.rate * BURST_SECS).max(1.0);
        limit.tokens = (limit.tokens + time * limit.rate).min(max_tokens);
        if now.saturating_duration_since(limit.last_refusal) > LIMIT_EXPIRY {
            self.limit = None;
        }
    }
}
