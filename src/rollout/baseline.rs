//! The baseline: failure rates and latencies of the old version, from which the limits for the new
//! version are derived.

use super::evidence::Cell;
use super::histogram::{BUCKETS, Histogram, count_above};

/// Half-life of the long window in seconds.
const LONG_HALF_LIFE_S: f64 = 120.0;

/// Half-life of the short window in seconds. It follows a short degradation that affects both
/// versions, so that the new version is not blamed for it.
const SHORT_HALF_LIFE_S: f64 = 4.0;

/// Weight of observations below which a window is not used.
const MIN_WEIGHT: f64 = 40.0;

/// Buckets between the old version's quantile and the limit for slow responses: a factor of 1.3.
const SLOW_MARGIN: f64 = 1.5;

/// Prior of the failure rate: its weight in requests and its rate. The weight also applies to other
/// rates.
const RATE_PRIOR: (f64, f64) = (100.0, 0.004);

/// Factor by which a rate may exceed that of the old version.
const RATE_TOLERANCE: f64 = 1.5;

/// Added to the tolerated failure rate.
const FAILURE_FLOOR: f64 = 0.003;

/// Added to the tolerated rate of slow responses.
const SLOW_FLOOR: f64 = 0.03;

/// Added to the tolerated rate of target losses per request.
const LOSS_FLOOR: f64 = 0.01;

/// Quantile of the old version's latencies that the new version is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Quantile {
    /// Detects a version of which a few responses are very slow.
    P95,
    /// Detects a version that is slower throughout. Needs about half as many responses as
    /// [`Self::P95`], since nearly half of the responses of such a version stay below that limit.
    P75,
}

impl Quantile {
    pub(crate) const ALL: [Self; 2] = [Self::P95, Self::P75];

    /// Fraction of the old version's latencies that lie above the quantile.
    fn tail_fraction(self) -> f64 {
        match self {
            Self::P95 => 0.05,
            Self::P75 => 0.25,
        }
    }
}

/// Behaviour of the old version in one scope, recently and since the start of the move.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    long: Window,
    short: Window,
    overall: Window,
}

/// Limit above which responses count as slow, and how often they are tolerated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowLimit {
    /// Fractional bucket index above which durations count as slow. A limit rounded to whole
    /// buckets would jump by a bucket on a small change of the old version's tail, and so change
    /// the verdict on unchanged evidence.
    pub edge: f64,
    /// Tolerated fraction of slow responses.
    pub null: f64,
}

impl Baseline {
    pub(crate) fn new() -> Self {
        Self {
            long: Window::new(LONG_HALF_LIFE_S),
            short: Window::new(SHORT_HALF_LIFE_S),
            overall: Window::new(f64::INFINITY),
        }
    }

    /// Adds counts of the old version at `now`, in seconds since the start of the evaluation.
    pub(crate) fn add(&mut self, now: f64, cell: &Cell) {
        for window in [&mut self.long, &mut self.short, &mut self.overall] {
            window.add(now, cell);
        }
    }

    /// Failure rate since the start of the evaluation.
    pub(crate) fn failure_rate(&self, now: f64) -> f64 {
        self.overall.failed.rate(now, RATE_PRIOR)
    }

    /// Tolerated failure rate. `prior` is the rate assumed while this scope has few observations.
    pub(crate) fn failure_null(&self, now: f64, prior: f64) -> f64 {
        let rate = |w: &Window| w.failed.rate(now, (RATE_PRIOR.0, prior));
        let worst = rate(&self.long).max(rate(&self.short));
        (RATE_TOLERANCE * worst + FAILURE_FLOOR).min(0.9)
    }

    /// Tolerated rate of target losses per request.
    pub(crate) fn loss_null(&self, now: f64) -> f64 {
        let rate = self.overall.lost.rate(now, (RATE_PRIOR.0, 0.0));
        (2.0 * RATE_TOLERANCE * rate + LOSS_FLOOR).min(0.9)
    }

    /// Limit for the time to the first token; `None` while there are too few observations.
    pub(crate) fn first_token_limit(&self, now: f64, quantile: Quantile) -> Option<SlowLimit> {
        self.limit(now, quantile, |w| &w.first_token)
    }

    /// Limit for the time between tokens; `None` while there are too few observations.
    pub(crate) fn token_gap_limit(&self, now: f64, quantile: Quantile) -> Option<SlowLimit> {
        self.limit(now, quantile, |w| &w.token_gap)
    }

    fn limit(
        &self,
        now: f64,
        quantile: Quantile,
        select: impl Fn(&Window) -> &DecayedHistogram,
    ) -> Option<SlowLimit> {
        let (long, short, overall) = (
            select(&self.long),
            select(&self.short),
            select(&self.overall),
        );
        let basis = [long, overall]
            .into_iter()
            .find(|t| t.weight(now) >= MIN_WEIGHT)?;
        let edge = basis.quantile_edge(quantile.tail_fraction()) + SLOW_MARGIN;
        let mut rate = basis.rate_above(edge);
        if short.weight(now) >= MIN_WEIGHT / 4.0 {
            rate = rate.max(short.rate_above(edge));
        }
        let null = (RATE_TOLERANCE * rate + SLOW_FLOOR).min(0.9);
        Some(SlowLimit { edge, null })
    }
}

/// Outcomes of the old version, exponentially decayed.
#[derive(Clone, Debug)]
struct Window {
    failed: DecayedRate,
    lost: DecayedRate,
    first_token: DecayedHistogram,
    token_gap: DecayedHistogram,
}

impl Window {
    fn new(half_life: f64) -> Self {
        Self {
            failed: DecayedRate::new(half_life),
            lost: DecayedRate::new(half_life),
            first_token: DecayedHistogram::new(half_life),
            token_gap: DecayedHistogram::new(half_life),
        }
    }

    fn add(&mut self, now: f64, cell: &Cell) {
        let ended = cell.answered + cell.failed;
        self.failed.add(now, ended, cell.failed);
        self.lost
            .add(now, ended + cell.targets_lost, cell.targets_lost);
        self.first_token.add(now, &cell.first_token);
        self.token_gap.add(now, &cell.token_gap);
    }
}

/// Rate of bad observations, whose weight halves with every half-life.
#[derive(Clone, Debug)]
struct DecayedRate {
    decay: Decay,
    total: f64,
    bad: f64,
}

impl DecayedRate {
    fn new(half_life: f64) -> Self {
        Self {
            decay: Decay::new(half_life),
            total: 0.0,
            bad: 0.0,
        }
    }

    fn add(&mut self, now: f64, total: u64, bad: u64) {
        let factor = self.decay.advance(now);
        self.total = self.total * factor + total as f64;
        self.bad = self.bad * factor + bad as f64;
    }

    fn rate(&self, now: f64, (weight, rate): (f64, f64)) -> f64 {
        let factor = self.decay.factor(now);
        (self.bad * factor + weight * rate) / (self.total * factor + weight)
    }
}

/// Histogram of durations, whose weight halves with every half-life.
#[derive(Clone, Debug)]
struct DecayedHistogram {
    decay: Decay,
    counts: [f64; BUCKETS],
    total: f64,
}

impl DecayedHistogram {
    fn new(half_life: f64) -> Self {
        Self {
            decay: Decay::new(half_life),
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }

    fn add(&mut self, now: f64, more: &Histogram) {
        if more.counts().is_empty() {
            return;
        }
        let factor = self.decay.advance(now);
        for count in &mut self.counts {
            *count *= factor;
        }
        for (count, n) in self.counts.iter_mut().zip(more.counts()) {
            *count += *n as f64;
        }
        self.total = self.total * factor + more.total() as f64;
    }

    fn weight(&self, now: f64) -> f64 {
        self.total * self.decay.factor(now)
    }

    /// Fractional bucket index above which the given fraction of the durations lies.
    fn quantile_edge(&self, fraction: f64) -> f64 {
        let mut above = self.total;
        let tail = fraction * self.total;
        let find_edge = |(i, n): (usize, &f64)| {
            let before = above;
            above -= n;
            (above <= tail && *n > 0.0).then(|| i as f64 + ((before - tail) / n).clamp(0.0, 1.0))
        };
        let mut buckets = self.counts.iter().enumerate();
        buckets.find_map(find_edge).unwrap_or(BUCKETS as f64)
    }

    fn rate_above(&self, edge: f64) -> f64 {
        count_above(self.counts.iter().copied(), edge) / self.total.max(1e-9)
    }
}

/// Exponential decay of a weight.
#[derive(Clone, Debug)]
struct Decay {
    half_life: f64,
    last: f64,
}

impl Decay {
    fn new(half_life: f64) -> Self {
        Self {
            half_life,
            last: 0.0,
        }
    }

    /// Factor by which the weight has fallen since the last update.
    fn factor(&self, now: f64) -> f64 {
        (-(now - self.last).max(0.0) / self.half_life).exp2()
    }

    /// As [`Self::factor`]; makes `now` the time of the last update.
    fn advance(&mut self, now: f64) -> f64 {
        let factor = self.factor(now);
        self.last = self.last.max(now);
        factor
    }
}
