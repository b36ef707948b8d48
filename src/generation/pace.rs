//! The usual time between tokens of one target, and the limit after which silence is suspect.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest limit.
const SHORTEST: Duration = Duration::from_millis(300);

/// Longest limit, so that a lost target is replaced within the callers' patience.
const LONGEST: Duration = Duration::from_millis(800);

/// Weight of a new gap in the mean, as a divisor.
const SMOOTHING: f64 = 32.0;

/// The limit is at least this many mean gaps.
const MEANS: f64 = 8.0;

/// The limit is at least the mean and this many mean deviations.
const DEVIATIONS: f64 = 10.0;

/// The limit is at least this many times the longest recent gap.
const PEAKS: f64 = 1.5;

/// Time after which the longest gap counts half.
const PEAK_HALF: Duration = Duration::from_secs(60);

/// Token gaps of one target, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    mean: f64,
    deviation: f64,
    peak: f64,
    heard: Option<Instant>,
}

impl Pace {
    /// Takes the time between two tokens of one stream into account.
    pub fn observe(&mut self, gap: Duration, now: Instant) {
        let since = self
            .heard
            .replace(now)
            .map_or(Duration::ZERO, |heard| now.saturating_duration_since(heard));
        let gap = gap.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = gap;
        }
        self.deviation += ((gap - self.mean).abs() - self.deviation) / SMOOTHING;
        self.mean += (gap - self.mean) / SMOOTHING;
        let halves = since.as_secs_f64() / PEAK_HALF.as_secs_f64();
        self.peak = gap.max(self.peak * (-halves).exp2());
    }

    /// How long a stream of this target may be silent before it is suspected.
    #[must_use]
    pub fn limit(&self) -> Duration {
        let usual = self.mean * MEANS;
        let varying = self.mean + self.deviation * DEVIATIONS;
        let longest = self.peak * PEAKS;
        Duration::from_secs_f64(usual.max(varying).max(longest)).clamp(SHORTEST, LONGEST)
    }
}
