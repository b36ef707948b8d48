//! Estimate of one target's token gaps, and the silence timeout derived from it.
//!
//! Every token of every stream updates the estimate of its target. A stream that is silent for
//! longer than the timeout has its target probed, before the generation resumes elsewhere.

use std::time::Duration;

use tokio::time::Instant;

/// Lower bound of the silence timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Upper bound of the silence timeout, so that a lost target is replaced before callers time out.
const MAX_TIMEOUT: Duration = Duration::from_millis(800);

/// Divisor of the weight of a new gap in the moving averages.
const SMOOTHING: f64 = 32.0;

/// Minimum timeout in mean gaps.
const MEAN_FACTOR: f64 = 8.0;

/// Minimum timeout in mean deviations above the mean gap.
const DEVIATION_FACTOR: f64 = 10.0;

/// Minimum timeout as a multiple of the longest recent gap.
const PEAK_FACTOR: f64 = 1.5;

/// Half-life of the longest recent gap.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(60);

/// Moving statistics of one target's token gaps, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct GapEstimator {
    mean: f64,
    deviation: f64,
    peak: f64,
    last_update: Option<Instant>,
}

impl GapEstimator {
    /// Adds the time between two tokens of one stream.
    pub fn observe(&mut self, gap: Duration, now: Instant) {
        let elapsed = self
            .last_update
            .replace(now)
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let gap = gap.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = gap;
        }
        self.deviation += ((gap - self.mean).abs() - self.deviation) / SMOOTHING;
        self.mean += (gap - self.mean) / SMOOTHING;
        let half_lives = elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        self.peak = gap.max(self.peak * (-half_lives).exp2());
    }

    /// Maximum silence of a stream before its target is suspected.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let from_mean = self.mean * MEAN_FACTOR;
        let from_deviation = self.mean + self.deviation * DEVIATION_FACTOR;
        let from_peak = self.peak * PEAK_FACTOR;
        Duration::from_secs_f64(from_mean.max(from_deviation).max(from_peak))
            .clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
