//! What the old version does now: the rates that the new one is held against.

use super::evidence::Cell;
use super::histogram::{BUCKETS, Histogram, tail};

/// Half-life of the long window in seconds.
const LONG_S: f64 = 120.0;

/// Half-life of the short window in seconds; it follows a trouble that both versions share.
const SHORT_S: f64 = 4.0;

/// Observations below which a window says nothing.
const ENOUGH: f64 = 40.0;

/// Buckets between the old version's quantile and what counts as slow: a factor of 1.3.
const MARGIN: f64 = 1.5;

/// Weight and rate of failures assumed before anything is known.
const PRIOR: (f64, f64) = (100.0, 0.004);

/// A rate may be this many times the old version's.
const TOLERANCE: f64 = 1.5;

/// Added to the tolerated rate of failures.
const FAILURE_FLOOR: f64 = 0.003;

/// Added to the tolerated rate of slow answers.
const SLOW_FLOOR: f64 = 0.03;

/// Added to the tolerated rate of deaths for each request.
const DEATH_FLOOR: f64 = 0.01;

/// Which of the old version's durations the slowness of a new one is told by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Cut {
    /// The slowest twentieth: shows answers of which a few are very slow.
    Tail,
    /// The slowest quarter: shows a version that is slower throughout in about half as many
    /// answers as the tail, which nearly half of its answers stay below.
    Quarter,
}

impl Cut {
    pub(crate) const ALL: [Self; 2] = [Self::Tail, Self::Quarter];

    /// Fraction of the old version's durations that lie above.
    fn above(self) -> f64 {
        match self {
            Self::Tail => 0.05,
            Self::Quarter => 0.25,
        }
    }
}

/// The old version's recent and whole behaviour in one scope.
#[derive(Clone, Debug)]
pub(crate) struct Reference {
    long: Window,
    short: Window,
    whole: Window,
}

/// What counts as slow, and how often that is tolerated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowLimit {
    /// Bucket from which durations count as slow; of the bucket it falls in, a part does. A whole
    /// bucket would change sides with every small change of the old version's tail, and with it
    /// the verdict on evidence that has not changed.
    pub edge: f64,
    /// Tolerated fraction.
    pub null: f64,
}

impl Reference {
    pub(crate) fn new() -> Self {
        Self {
            long: Window::new(LONG_S),
            short: Window::new(SHORT_S),
            whole: Window::new(f64::INFINITY),
        }
    }

    /// Adds what the old version did, at `now` seconds.
    pub(crate) fn add(&mut self, now: f64, cell: &Cell) {
        for window in [&mut self.long, &mut self.short, &mut self.whole] {
            window.add(now, cell);
        }
    }

    /// Rate of failures since the beginning.
    pub(crate) fn failure_rate(&self, now: f64) -> f64 {
        self.whole.failed.rate(now, PRIOR)
    }

    /// Tolerated rate of failures. `usual` is the rate assumed where little is known here.
    pub(crate) fn failure_null(&self, now: f64, usual: f64) -> f64 {
        let rate = |w: &Window| w.failed.rate(now, (PRIOR.0, usual));
        let worst = rate(&self.long).max(rate(&self.short));
        (TOLERANCE * worst + FAILURE_FLOOR).min(0.9)
    }

    /// Tolerated rate of target deaths for each request.
    pub(crate) fn death_null(&self, now: f64) -> f64 {
        let rate = self.whole.died.rate(now, (PRIOR.0, 0.0));
        (2.0 * TOLERANCE * rate + DEATH_FLOOR).min(0.9)
    }

    /// Limit for the time to the first token; `None` while too little is known.
    pub(crate) fn first_limit(&self, now: f64, cut: Cut) -> Option<SlowLimit> {
        self.limit(now, cut, |w| &w.first)
    }

    /// Limit for the time between tokens; `None` while too little is known.
    pub(crate) fn gap_limit(&self, now: f64, cut: Cut) -> Option<SlowLimit> {
        self.limit(now, cut, |w| &w.gap)
    }

    fn limit(&self, now: f64, cut: Cut, part: impl Fn(&Window) -> &Tally) -> Option<SlowLimit> {
        let (long, short, whole) = (part(&self.long), part(&self.short), part(&self.whole));
        let base = [long, whole]
            .into_iter()
            .find(|t| t.weight(now) >= ENOUGH)?;
        let edge = base.edge(cut.above()) + MARGIN;
        let mut rate = base.above(edge);
        if short.weight(now) >= ENOUGH / 4.0 {
            rate = rate.max(short.above(edge));
        }
        let null = (TOLERANCE * rate + SLOW_FLOOR).min(0.9);
        Some(SlowLimit { edge, null })
    }
}

#[derive(Clone, Debug)]
struct Window {
    failed: Ratio,
    died: Ratio,
    first: Tally,
    gap: Tally,
}

impl Window {
    fn new(half_life: f64) -> Self {
        Self {
            failed: Ratio::new(half_life),
            died: Ratio::new(half_life),
            first: Tally::new(half_life),
            gap: Tally::new(half_life),
        }
    }

    fn add(&mut self, now: f64, cell: &Cell) {
        let ended = cell.answered + cell.failed;
        self.failed.add(now, ended, cell.failed);
        self.died.add(now, ended + cell.deaths, cell.deaths);
        self.first.add(now, &cell.first);
        self.gap.add(now, &cell.gap);
    }
}

/// Counts whose old entries lose weight by half with every half-life.
#[derive(Clone, Debug)]
struct Ratio {
    decay: Decay,
    all: f64,
    bad: f64,
}

impl Ratio {
    fn new(half_life: f64) -> Self {
        Self {
            decay: Decay::new(half_life),
            all: 0.0,
            bad: 0.0,
        }
    }

    fn add(&mut self, now: f64, all: u64, bad: u64) {
        let fade = self.decay.fade(now);
        self.all = self.all * fade + all as f64;
        self.bad = self.bad * fade + bad as f64;
    }

    fn rate(&self, now: f64, (weight, rate): (f64, f64)) -> f64 {
        let fade = self.decay.pending(now);
        (self.bad * fade + weight * rate) / (self.all * fade + weight)
    }
}

#[derive(Clone, Debug)]
struct Tally {
    decay: Decay,
    counts: [f64; BUCKETS],
    total: f64,
}

impl Tally {
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
        let fade = self.decay.fade(now);
        for count in &mut self.counts {
            *count *= fade;
        }
        for (count, n) in self.counts.iter_mut().zip(more.counts()) {
            *count += *n as f64;
        }
        self.total = self.total * fade + more.total() as f64;
    }

    fn weight(&self, now: f64) -> f64 {
        self.total * self.decay.pending(now)
    }

    /// The bucket, with its part, above which `part` of the durations are.
    fn edge(&self, part: f64) -> f64 {
        let mut above = self.total;
        let tail = part * self.total;
        let crossed = |(i, n): (usize, &f64)| {
            let before = above;
            above -= n;
            (above <= tail && *n > 0.0).then(|| i as f64 + ((before - tail) / n).clamp(0.0, 1.0))
        };
        let mut buckets = self.counts.iter().enumerate();
        buckets.find_map(crossed).unwrap_or(BUCKETS as f64)
    }

    fn above(&self, edge: f64) -> f64 {
        tail(self.counts.iter().copied(), edge) / self.total.max(1e-9)
    }
}

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

    fn pending(&self, now: f64) -> f64 {
        (-(now - self.last).max(0.0) / self.half_life).exp2()
    }

    fn fade(&mut self, now: f64) -> f64 {
        let fade = self.pending(now);
        self.last = self.last.max(now);
        fade
    }
}
