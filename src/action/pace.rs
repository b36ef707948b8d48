//! Holds back new actions while the platform's write rate is used up, so that those that hold a
//! claim already can finish.

use std::time::{Duration, Instant};

/// What is left of the rate after the platform refused a write for rate.
const DECREASE: f64 = 0.7;

/// Shortest time between two decreases: refusals of one moment count once.
const DECREASE_PAUSE: Duration = Duration::from_millis(500);

/// Growth of the rate in a second, in proportion and at least.
const INCREASE: f64 = 0.2;
const INCREASE_MIN: f64 = 0.5;

/// Lowest rate, in actions a second.
const RATE_MIN: f64 = 1.0;

/// Time after the last refusal for which the rate is limited.
const MEMORY: Duration = Duration::from_secs(30);

/// Time over which the rate of admitted actions is measured.
const SPAN: Duration = Duration::from_secs(1);

/// Least weight of the measured rate.
const WEIGHT_MIN: f64 = 0.05;

/// Time for which unused admissions are saved up.
const BURST: f64 = 0.2;

/// Additive increase and multiplicative decrease of the rate of new actions.
#[derive(Clone, Debug)]
pub struct Pace {
    limit: Option<Limit>,
    admitted: f64,
    weight: f64,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: f64,
    tokens: f64,
    refused: Instant,
}

impl Pace {
    /// No limit.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            limit: None,
            admitted: 0.0,
            weight: 0.0,
            at: now,
        }
    }

    /// Whether the platform has refused writes for rate lately.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Admits one new action.
    ///
    /// # Errors
    /// The time after which coming back may help.
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
        self.admitted += 1.0 / SPAN.as_secs_f64();
        Ok(())
    }

    /// Takes in that the platform refused a write for rate.
    pub fn refuse(&mut self, now: Instant) {
        self.advance(now);
        match &mut self.limit {
            Some(limit) if now - limit.refused < DECREASE_PAUSE => {}
            Some(limit) => {
                limit.rate = (limit.rate * DECREASE).max(RATE_MIN);
                limit.refused = now;
            }
            None => {
                self.limit = Some(Limit {
                    rate: (self.measured() * DECREASE).max(RATE_MIN),
                    tokens: 0.0,
                    refused: now,
                });
            }
        }
    }

    /// Admitted actions a second, by an average that is not biased while it is young.
    fn measured(&self) -> f64 {
        self.admitted / self.weight.max(WEIGHT_MIN)
    }

    /// Forgets old admissions and lets the rate grow.
    fn advance(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let decay = (-time / SPAN.as_secs_f64()).exp();
        self.admitted *= decay;
        self.weight = 1.0 - (1.0 - self.weight) * decay;
        let Some(limit) = &mut self.limit else {
            return;
        };
        limit.rate += time * (limit.rate * INCREASE).max(INCREASE_MIN);
        let most = (limit.rate * BURST).max(1.0);
        limit.tokens = (limit.tokens + time * limit.rate).min(most);
        if now.saturating_duration_since(limit.refused) > MEMORY {
            self.limit = None;
        }
    }
}
