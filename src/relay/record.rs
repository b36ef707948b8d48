//! Decision log: one line for each decision about a request or about the state of a target. The
//! rate is limited; suppressed lines are counted, and the next line carries their number.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};

use super::priority::Priority;
use crate::routing::Work;
use crate::telemetry::LineRate;

/// Average rate limit: ten lines for each request of the usual load.
const LINES_PER_SECOND: f64 = 150.0;

/// Lines that may be written in a burst.
const BURST_LINES: f64 = 600.0;

/// Rate-limited writer of decisions.
#[derive(Clone, Debug)]
pub(crate) struct DecisionLog {
    pub(crate) log: Logger,
    rate: Arc<LineRate>,
}

/// Outcome of a request and the decisions behind it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome<'a> {
    pub(crate) id: &'a str,
    pub(crate) route: &'a str,
    pub(crate) service: &'a str,
    /// Version of the rules in force when the request was accepted.
    pub(crate) rules: u64,
    /// Target of the last attempt.
    pub(crate) target: &'a str,
    pub(crate) attempts: u32,
    /// Response status; zero if the connection was aborted.
    pub(crate) status: u16,
    pub(crate) reason: &'a str,
    /// Time since the request arrived.
    pub(crate) elapsed: Duration,
}

/// Where a stream's run starts, with the estimated work at that engine including the run itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) id: &'a str,
    /// Engine that runs the request.
    pub(crate) target: &'a str,
    /// Engine that receives the copy.
    pub(crate) backup: &'a str,
    /// Source of the run: `prompt` or `copy`.
    pub(crate) from: &'a str,
    /// Event after which it resumes.
    pub(crate) last: u64,
    pub(crate) priority: Priority,
    pub(crate) work: Work,
}

/// An attempt that brought no complete answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedAttempt<'a> {
    pub(crate) id: &'a str,
    pub(crate) route: &'a str,
    pub(crate) account: &'a str,
    pub(crate) target: &'a str,
    pub(crate) reason: &'a str,
    /// Parts of the prompt, as the caller states them.
    pub(crate) parts: &'a str,
    /// Time since the last event, or since the attempt began.
    pub(crate) elapsed: Duration,
    /// Time since the head of the answer; `None` if there was none.
    pub(crate) begun: Option<Duration>,
    /// Events of this attempt.
    pub(crate) events: u64,
    /// Time since the target last showed life, to any request or probe.
    pub(crate) alive: Option<Duration>,
}

impl DecisionLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            rate: Arc::new(LineRate::new(LINES_PER_SECOND, BURST_LINES)),
        }
    }

    fn admit(&self) -> Option<u64> {
        self.rate.admit()
    }

    /// Whether a line about a suspect may be written.
    pub(crate) fn admits_suspect(&self) -> bool {
        self.admit().is_some()
    }

    /// Logs the final response to a request.
    pub(crate) fn answered(&self, outcome: &Outcome<'_>) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        info!(self.log, "request: answered";
            "id" => outcome.id, "route" => outcome.route, "service" => outcome.service,
            "rules" => outcome.rules, "target" => outcome.target,
            "attempts" => outcome.attempts, "status" => outcome.status, "why" => outcome.reason,
            "ms" => outcome.elapsed.as_millis() as u64, "left_out" => suppressed);
    }

    /// Logs where a stream's run starts.
    pub(crate) fn placed(&self, placed: &Placement<'_>) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        info!(self.log, "stream: placed";
            "id" => placed.id, "target" => placed.target, "backup" => placed.backup,
            "from" => placed.from, "last" => placed.last,
            "priority" => placed.priority.level(),
            "queued" => placed.work.prompt, "runs" => placed.work.runs,
            "memory" => placed.work.memory, "left_out" => suppressed);
    }

    /// Logs a failed attempt.
    pub(crate) fn attempt_failed(&self, failed: &FailedAttempt<'_>) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        let millis = |d: Option<Duration>| d.map_or(-1, |d| d.as_millis() as i64);
        let (begun, alive) = (millis(failed.begun), millis(failed.alive));
        info!(self.log, "request: attempt lost";
            "id" => failed.id, "target" => failed.target, "why" => failed.reason,
            "ms" => failed.elapsed.as_millis() as u64, "begun_ms" => begun,
            "alive_ms" => alive, "events" => failed.events, "route" => failed.route, "account" => failed.account,
            "parts" => failed.parts, "left_out" => suppressed);
    }

    /// Logs that a run stays at its silent target, and why it was not moved.
    pub(crate) fn silence_awaited(&self, attempt: &FailedAttempt<'_>) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        let alive = attempt.alive.map_or(-1, |d| d.as_millis() as i64);
        info!(self.log, "request: waits for a silent target";
            "id" => attempt.id, "target" => attempt.target, "why" => attempt.reason,
            "ms" => attempt.elapsed.as_millis() as u64, "alive_ms" => alive,
            "route" => attempt.route, "left_out" => suppressed);
    }

    /// Logs that a target's silence may be this instance's own.
    pub(crate) fn silence_doubted(&self, target: &str, limit: Duration, waited: Duration) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        info!(self.log, "target: silent, asked again as others were late too";
            "target" => target, "limit_ms" => limit.as_millis() as u64,
            "probe_ms" => waited.as_millis() as u64, "left_out" => suppressed);
    }

    /// Logs that a target answered a probe late, as did all others.
    pub(crate) fn answered_late(&self, target: &str, limit: Duration, waited: Duration) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        info!(self.log, "target: answered a probe late, as did others";
            "target" => target, "limit_ms" => limit.as_millis() as u64,
            "probe_ms" => waited.as_millis() as u64, "left_out" => suppressed);
    }

    /// Logs that a target could not be probed.
    pub(crate) fn probe_unsent(&self, target: &str, error: &io::Error) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        warn!(self.log, "target: could not be probed";
            "target" => target, "error" => %error, "left_out" => suppressed);
    }

    /// Logs that a target was found dead.
    pub(crate) fn target_dead(&self, target: &str, reason: &str, after: Duration) {
        let Some(suppressed) = self.admit() else {
            return;
        };
        warn!(self.log, "target: found dead";
            "target" => target, "why" => reason,
            "probe_ms" => after.as_millis() as u64, "left_out" => suppressed);
    }
}

/// Counts a request that was placed at a target, or refused because none takes it in time.
pub(crate) fn count_placement(priority: Priority, result: &'static str) {
    metrics::counter!(
        "endivefork_placements_total",
        "priority" => priority.level().to_string(), "result" => result
    )
    .increment(1);
}

/// Counts a run that was given up at a target that no probe found dead.
pub(crate) fn count_abandoned(reason: &'static str) {
    metrics::counter!("endivefork_runs_abandoned_total", "reason" => reason).increment(1);
}
