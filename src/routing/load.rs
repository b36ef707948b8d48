//! What is known of one target's load, and the estimate made from it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Width of a bucket of the in-flight history.
const BUCKET: Duration = Duration::from_millis(125);

/// Buckets kept: 8 s of history.
const BUCKETS: usize = 64;

/// Age at which a report says nothing any more.
const REPORT_LIFE: Duration = Duration::from_secs(10);

/// Age at which a peer's count says nothing any more.
const COUNT_LIFE: Duration = Duration::from_secs(3);

/// Slots assumed of a target that has not reported any.
const DEFAULT_SLOTS: u32 = 64;

/// Weight of one measured hold time in the mean.
const HOLD_WEIGHT: f64 = 1.0 / 32.0;

/// A target's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can run at once; 0 when unknown.
    pub slots: u32,
    /// Age of the figures when they were received.
    pub age: Duration,
    /// The target's own word that it is leaving.
    pub leaving: bool,
}

/// What a generation asks of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens to read before the first token.
    pub prompt: u32,
    /// Tokens of memory at its end: prompt and output.
    pub memory: u32,
    /// Whether it makes tokens there: 1 for a run, 0 for a copy of its memory.
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

/// All that is known of one target's load.
#[derive(Debug)]
pub(crate) struct Load {
    inflight: u32,
    work: Work,
    slots: u32,
    past: Past,
    report: Option<Sample>,
    counts: Vec<PeerCount>,
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
            past: Past::new(base),
            report: None,
            counts: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, work: Work, now: Instant) {
        self.inflight += 1;
        self.work.add(work);
        self.past.set(now, self.inflight);
    }

    /// A run begins where its copy was.
    pub(crate) fn start_run(&mut self) {
        self.work.runs += 1;
    }

    /// A request's prompt was read, or is no longer to be read.
    pub(crate) fn prompt_read(&mut self, tokens: u32) {
        self.work.prompt = self.work.prompt.saturating_sub(tokens);
    }

    pub(crate) fn end(&mut self, work: Work, now: Instant) {
        self.inflight = self.inflight.saturating_sub(1);
        self.work.remove(work);
        self.past.set(now, self.inflight);
    }

    /// Work of this instance's requests.
    pub(crate) fn own_work(&self) -> Work {
        self.work
    }

    /// Work of all instances' requests, as far as they told of it lately.
    pub(crate) fn work(&self, now: Instant) -> Work {
        let fresh = self.counts.iter().filter(|c| c.at + COUNT_LIFE > now);
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

    /// Takes a report; one older than the last is ignored.
    pub(crate) fn report(&mut self, report: Report, now: Instant) {
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

    pub(crate) fn peer_count(&mut self, origin: &str, count: u32, work: Work, now: Instant) {
        self.counts
            .retain(|c| c.origin != origin && c.at + COUNT_LIFE > now);
        if count > 0 {
            self.counts.push(PeerCount {
                origin: origin.into(),
                count,
                work,
                at: now,
            });
        }
    }

    /// Requests thought to run or wait at the target.
    ///
    /// The report is corrected by what this instance started and ended since its figures were
    /// taken; the sum of the instances' own counts is a lower bound.
    pub(crate) fn estimate(&self, now: Instant) -> u32 {
        let peers: u32 = self
            .counts
            .iter()
            .filter(|c| c.at + COUNT_LIFE > now)
            .map(|c| c.count)
            .sum();
        let counted = self.inflight + peers;
        match self.report {
            Some(sample) if sample.at + REPORT_LIFE > now => {
                let before = self.past.at(sample.at);
                let corrected = (sample.total + self.inflight).saturating_sub(before);
                corrected.max(counted)
            }
            _ => counted,
        }
    }

    /// The last report as it stands, without any correction.
    pub(crate) fn reported(&self) -> u32 {
        self.report.map_or(0, |sample| sample.total)
    }
}

/// In-flight counts of the last seconds, one for each bucket of time.
#[derive(Debug)]
struct Past {
    base: Instant,
    last: u64,
    counts: [u32; BUCKETS],
}

impl Past {
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

    fn set(&mut self, now: Instant, count: u32) {
        let bucket = self.bucket(now).max(self.last);
        let held = self.counts[index(self.last)];
        let gap = (bucket - self.last).min(BUCKETS as u64);
        for back in 0..gap {
            self.counts[index(bucket - back)] = held;
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

/// Mean time that a request of a pool holds its slot.
#[derive(Debug, Default)]
pub(crate) struct Hold(AtomicU64);

impl Hold {
    /// Mean in seconds, once something was measured.
    pub(crate) fn mean(&self) -> Option<f64> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            bits => Some(f64::from_bits(bits)),
        }
    }

    /// Takes one measured time. A lost race costs one sample.
    pub(crate) fn learn(&self, held: Duration) {
        let held = held.as_secs_f64().max(f64::MIN_POSITIVE);
        let old = self.mean().unwrap_or(held);
        let new = old + (held - old) * HOLD_WEIGHT;
        self.0.store(new.to_bits(), Ordering::Relaxed);
    }
}
