//! Durations in logarithmic buckets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Buckets for each doubling of the duration.
pub(crate) const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of buckets: 1 ms to about 17 minutes.
pub(crate) const BUCKETS: usize = 80;

/// Counts of durations by bucket; trailing empty buckets are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram {
    counts: Vec<u64>,
}

impl Histogram {
    pub(crate) fn record(&mut self, duration: Duration) {
        let bucket = bucket(duration);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] += 1;
    }

    /// Counts by bucket. A peer's histogram may be longer than [`BUCKETS`]; the excess is ignored.
    pub(crate) fn counts(&self) -> &[u64] {
        &self.counts[..self.counts.len().min(BUCKETS)]
    }

    /// Adds all counts of `other`.
    pub(crate) fn add(&mut self, other: &Self) {
        if self.counts.len() < other.counts().len() {
            self.counts.resize(other.counts().len(), 0);
        }
        for (sum, n) in self.counts.iter_mut().zip(other.counts()) {
            *sum += n;
        }
    }

    /// Counts added since `before`, an earlier state of the same histogram.
    pub(crate) fn since(&self, before: &Self) -> Self {
        let old = |i: usize| before.counts.get(i).copied().unwrap_or(0);
        let counts = self.counts().iter().enumerate();
        Self {
            counts: counts.map(|(i, n)| n.saturating_sub(old(i))).collect(),
        }
    }

    /// Number of durations recorded.
    pub(crate) fn total(&self) -> u64 {
        self.counts().iter().sum()
    }

    /// Number of durations above `edge`, a fractional bucket index; see [`count_above`].
    pub(crate) fn count_above(&self, edge: f64) -> f64 {
        count_above(self.counts().iter().map(|n| *n as f64), edge)
    }
}

/// Sum of the bucket counts above `edge`, a fractional bucket index. Durations are taken as spread
/// evenly within a bucket.
pub(crate) fn count_above(counts: impl Iterator<Item = f64>, edge: f64) -> f64 {
    let above = |(i, n): (usize, f64)| n * (i as f64 + 1.0 - edge).clamp(0.0, 1.0);
    counts.enumerate().map(above).sum()
}

fn bucket(duration: Duration) -> usize {
    let ms = (duration.as_secs_f64() * 1e3).max(1.0);
    ((ms.log2() * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}
