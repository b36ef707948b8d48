//! The load of one target: its own reports, peers' counts, and the estimate made from both.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Width of a bucket of the in-flight history.
const BUCKET: Duration = Duration::from_millis(125);

/// Number of buckets kept: 8 s of history.
const BUCKETS: usize = 64;

/// Age from which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Age from which a peer's count is ignored.
const PEER_COUNT_TTL: Duration = Duration::from_secs(3);

/// Slots assumed for a target that has not reported any.
const DEFAULT_SLOTS: u32 = 64;

/// Weight of one measured hold time in the moving mean.
const HOLD_TIME_WEIGHT: f64 = 1.0 / 32.0;

/// A target's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub queued: u32,
    /// Requests that can run at once; 0 when unknown.
    pub slots: u32,
    /// Age of the figures when they were received.
    pub age: Duration,
    /// Whether the target reported that it is leaving.
    pub leaving: bool,
}

/// Resources that a generation needs at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens to prefill before the first output token.
    pub prompt: u32,
    /// Tokens in memory at its end: prompt and output.
    pub memory: u32,
    /// 1 for a run, which generates tokens at the engine; 0 for a copy of its memory.
    pub runs: u32,
}

impl Work {
    pub(crate) fn add(&mut self, other: Self) {
        self.prompt += other.prompt;
        self.memory += other.memory;
        self.runs += other.runs;
    }

    pub(crate) fn remove(&mut self, other: Self) {
        self.prompt = self.prompt.saturating_sub(other.prompt);
        self.memory = self.memory.saturating_sub(other.memory);
        self.runs = self.runs.saturating_sub(other.runs);
    }
}

/// Everything known about one target's load.
#[derive(Debug)]
pub(crate) struct Load {
    inflight: u32,
    work: Work,
    slots: u32,
    history: History,
    report: Option<Sample>,
    peer_counts: Vec<PeerCount>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    total: u32,
    at: Instant,
}

#[derive(Debug)]
struct PeerCount {
    origin: SmolStr,
    count: u32,
    work: Work,
    at: Instant,
}

impl Load {
    pub(crate) fn new(base: Instant) -> Self {
        Self {
            inflight: 0,
            work: Work::default(),
            slots: DEFAULT_SLOTS,
            history: History::new(base),
            report: None,
            peer_counts: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, work: Work, now: Instant) {
        self.inflight += 1;
        self.work.add(work);
        self.history.record(now, self.inflight);
    }

    /// A run starts on the engine that holds its copy.
    pub(crate) fn start_run(&mut self) {
        self.work.runs += 1;
    }

    /// Removes the tokens of a prompt that was prefilled or no longer needs prefill.
    pub(crate) fn prefill_done(&mut self, tokens: u32) {
        self.work.prompt = self.work.prompt.saturating_sub(tokens);
    }

    pub(crate) fn end(&mut self, work: Work, now: Instant) {
        self.inflight = self.inflight.saturating_sub(1);
        self.work.remove(work);
        self.history.record(now, self.inflight);
    }

    /// Work of this instance's requests.
    pub(crate) fn own_work(&self) -> Work {
        self.work
    }

    /// Work of the requests of this instance and of all peers with a fresh count.
    pub(crate) fn work(&self, now: Instant) -> Work {
        let fresh = self
            .peer_counts
            .iter()
            .filter(|c| c.at + PEER_COUNT_TTL > now);
        let mut sum = self.work;
        fresh.for_each(|c| sum.add(c.work));
        sum
    }

    pub(crate) fn inflight(&self) -> u32 {
        self.inflight
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        if slots > 0 {
            self.slots = slots;
        }
    }

    /// Applies a report, unless it is older than the last one.
    pub(crate) fn apply_report(&mut self, report: LoadReport, now: Instant) {
        let at = now.checked_sub(report.age).unwrap_or(now);
        if self.report.is_some_and(|old| old.at > at) {
            return;
        }
        if report.slots > 0 {
            self.slots = report.slots;
        }
        let total = report.running + report.queued;
        self.report = Some(Sample { total, at });
    }

    pub(crate) fn set_peer_count(&mut self, origin: &str, count: u32, work: Work, now: Instant) {
        self.peer_counts
            .retain(|c| c.origin != origin && c.at + PEER_COUNT_TTL > now);
        if count > 0 {
            self.peer_counts.push(PeerCount {
                origin: origin.into(),
                count,
                work,
                at: now,
            });
        }
    }

    /// Estimated number of requests that run or wait at the target.
    ///
    /// The last report is corrected by the requests that this instance started and ended since the
    /// report was sampled. The sum of all instances' own counts is a lower bound.
    pub(crate) fn estimate(&self, now: Instant) -> u32 {
        let peers: u32 = self
            .peer_counts
            .iter()
            .filter(|c| c.at + PEER_COUNT_TTL > now)
            .map(|c| c.count)
            .sum();
        let counted = self.inflight + peers;
        match self.report {
            Some(sample) if sample.at + REPORT_TTL > now => {
                let before = self.history.at(sample.at);
                let corrected = (sample.total + self.inflight).saturating_sub(before);
                corrected.max(counted)
            }
            _ => counted,
        }
    }

    /// The load of the last report, without any correction.
    pub(crate) fn reported(&self) -> u32 {
        self.report.map_or(0, |sample| sample.total)
    }
}

/// In-flight counts of the last seconds, one per bucket of time.
#[derive(Debug)]
struct History {
    base: Instant,
    last: u64,
    counts: [u32; BUCKETS],
}

impl History {
    fn new(base: Instant) -> Self {
        Self {
            base,
            last: 0,
            counts: [0; BUCKETS],
        }
    }

    fn bucket(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.base);
        (since.as_micros() / BUCKET.as_micros()) as u64
    }

    fn record(&mut self, now: Instant, count: u32) {
        let bucket = self.bucket(now).max(self.last);
        let previous = self.counts[index(self.last)];
        let gap = (bucket - self.last).min(BUCKETS as u64);
        for back in 0..gap {
            self.counts[index(bucket - back)] = previous;
        }
        self.last = bucket;
        self.counts[index(bucket)] = count;
    }

    fn at(&self, at: Instant) -> u32 {
        let oldest = (self.last + 1).saturating_sub(BUCKETS as u64);
        let bucket = self.bucket(at).clamp(oldest, self.last);
        self.counts[index(bucket)]
    }
}

fn index(bucket: u64) -> usize {
    (bucket % BUCKETS as u64) as usize
}

/// Moving mean of the time that a request of a pool holds its slot.
#[derive(Debug, Default)]
pub(crate) struct HoldTime(AtomicU64);

impl HoldTime {
    /// Mean in seconds; none before the first measurement.
    pub(crate) fn mean(&self) -> Option<f64> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            bits => Some(f64::from_bits(bits)),
        }
    }

    /// Records one measured time. When two calls race, one sample is lost.
    pub(crate) fn record(&self, held: Duration) {
        let held = held.as_secs_f64().max(f64::MIN_POSITIVE);
        let old = self.mean().unwrap_or(held);
        let new = old + (held - old) * HOLD_TIME_WEIGHT;
        self.0.store(new.to_bits(), Ordering::Relaxed);
    }
}
