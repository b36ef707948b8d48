//! One log line for each decision that touches a request or changes what the instance believes.
//! Their number is bounded: what is beyond is counted, and the next line tells how many.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use slog::{Logger, info, warn};

use crate::routing::Work;

/// Lines a second that an instance writes on average: ten for each request of its usual load.
const RATE: f64 = 150.0;

/// Lines that may come at once.
const BURST: f64 = 600.0;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    at: Instant,
    left_out: u64,
}

/// Writes decisions.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) log: Logger,
    bucket: Arc<Mutex<Bucket>>,
}

/// What became of a request, and what decided it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome<'a> {
    /// Id of the request.
    pub(crate) id: &'a str,
    /// Name of the route.
    pub(crate) route: &'a str,
    /// Service that was chosen.
    pub(crate) service: &'a str,
    /// Version of the rules that decided.
    pub(crate) rules: u64,
    /// Target of the last attempt.
    pub(crate) target: &'a str,
    /// Attempts made.
    pub(crate) attempts: u32,
    /// Status of the answer.
    pub(crate) status: u16,
    /// Why.
    pub(crate) why: &'a str,
    /// Time since the request arrived.
    pub(crate) took: Duration,
}

/// Where a run of a stream begins, and the work thought to be there, its own included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed<'a> {
    /// Id of the request.
    pub(crate) id: &'a str,
    /// Engine that runs.
    pub(crate) target: &'a str,
    /// Engine that gets a copy.
    pub(crate) backup: &'a str,
    /// What it begins from: the prompt or a copy.
    pub(crate) from: &'a str,
    /// Event after which it goes on.
    pub(crate) last: u64,
    /// Work at the engine.
    pub(crate) work: Work,
}

impl Record {
    pub(crate) fn new(log: Logger) -> Self {
        let bucket = Bucket {
            tokens: BURST,
            at: Instant::now(),
            left_out: 0,
        };
        Self {
            log,
            bucket: Arc::new(Mutex::new(bucket)),
        }
    }

    /// Lines left out since the last one that was written; none when this one is left out too.
    fn admit(&self) -> Option<u64> {
        let mut bucket = self.bucket.lock();
        let now = Instant::now();
        let gained = now.saturating_duration_since(bucket.at).as_secs_f64() * RATE;
        bucket.at = now;
        bucket.tokens = (bucket.tokens + gained).min(BURST);
        if bucket.tokens < 1.0 {
            bucket.left_out += 1;
            metrics::counter!("endivefork_log_lines_left_out_total").increment(1);
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.left_out))
    }

    /// A request got its final answer.
    pub(crate) fn answered(&self, outcome: &Outcome<'_>) {
        let Some(left_out) = self.admit() else { return };
        info!(self.log, "request: answered";
            "id" => outcome.id, "route" => outcome.route, "service" => outcome.service,
            "rules" => outcome.rules, "target" => outcome.target,
            "attempts" => outcome.attempts, "status" => outcome.status, "why" => outcome.why,
            "ms" => outcome.took.as_millis() as u64, "left_out" => left_out);
    }

    /// A stream was placed.
    pub(crate) fn placed(&self, placed: &Placed<'_>) {
        let Some(left_out) = self.admit() else { return };
        info!(self.log, "stream: placed";
            "id" => placed.id, "target" => placed.target, "backup" => placed.backup,
            "from" => placed.from, "last" => placed.last,
            "queued" => placed.work.prompt, "runs" => placed.work.runs,
            "memory" => placed.work.memory, "left_out" => left_out);
    }

    /// An attempt failed.
    pub(crate) fn attempt_lost(&self, id: &str, target: &str, why: &str, after: Duration) {
        let Some(left_out) = self.admit() else { return };
        info!(self.log, "request: attempt lost";
            "id" => id, "target" => target, "why" => why,
            "ms" => after.as_millis() as u64, "left_out" => left_out);
    }

    /// A target was found dead.
    pub(crate) fn lost_target(&self, target: &str, why: &str, after: Duration) {
        let Some(left_out) = self.admit() else { return };
        warn!(self.log, "target: found dead";
            "target" => target, "why" => why,
            "probe_ms" => after.as_millis() as u64, "left_out" => left_out);
    }
}
