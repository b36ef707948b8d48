//! A silent run whose successor is being opened. It goes on if the successor does not run.

use std::time::Duration;

use smol_str::SmolStr;

use super::{Stream, Upstream};
use crate::relay::copies::{CopyTask, RunCopy};
use crate::relay::stall::Loss;

/// Time for a successor to decline before the silent run is ended: less than the 400 ms for which
/// two targets may work on the same stream.
pub(super) const DECLINE_WAIT: Duration = Duration::from_millis(200);

/// Why a run goes on that was to be moved.
const NOT_TAKEN: &str = "the next target did not take it";

/// A run that is about to be moved, with what belongs to it.
#[derive(Debug)]
pub(super) struct SilentRun {
    upstream: Upstream,
    copy_task: Option<CopyTask>,
    backup: Option<RunCopy>,
    avoid_domains: Vec<SmolStr>,
    declined: u32,
    target: SmolStr,
    trial: bool,
}

impl SilentRun {
    /// Ends the run at its target.
    pub(super) fn end(&mut self) {
        self.upstream.connection = None;
    }
}

impl Stream {
    /// Sets the current run aside until its successor, which is secured, has begun.
    pub(super) fn set_aside(&mut self) {
        let Some(upstream) = self.upstream.take() else {
            return;
        };
        let copy_task = self.copy_task.take();
        self.copy = copy_task.as_ref().and_then(CopyTask::take);
        self.gap_start = upstream
            .timeouts
            .has_started()
            .then_some(upstream.progress.last_seen);
        self.excluded.push(upstream.lease.key);
        let domain = upstream.lease.domain();
        self.silent = Some(SilentRun {
            copy_task,
            backup: self.backup.take(),
            avoid_domains: std::mem::replace(&mut self.avoid_domains, vec![domain]),
            declined: self.declined,
            target: self.target.clone(),
            trial: self.trial,
            upstream,
        });
    }

    /// Records the loss of the run that was set aside.
    pub(super) fn drop_silent(&mut self) {
        if let Some(SilentRun {
            upstream, trial, ..
        }) = self.silent.take()
        {
            let trial = std::mem::replace(&mut self.trial, trial);
            self.record_loss(&upstream.lease, Loss::Stalled, upstream.progress);
            self.trial = trial;
        }
    }

    /// Goes on with the run that was set aside, unless it was ended. Returns whether it does.
    pub(super) fn restore_silent(&mut self) -> bool {
        let is_open = |s: &mut SilentRun| s.upstream.connection.is_some();
        let Some(silent) = self.silent.take_if(is_open) else {
            self.drop_silent();
            return false;
        };
        let mut upstream = silent.upstream;
        metrics::counter!("endivefork_silences_awaited_total", "reason" => NOT_TAKEN).increment(1);
        let name = upstream.lease.name();
        let elapsed = upstream.progress.last_seen.elapsed();
        let waiting = self.request.failed_attempt(&name, NOT_TAKEN, elapsed);
        self.relay.decisions.silence_awaited(&waiting);
        self.excluded.retain(|key| *key != upstream.lease.key);
        // Otherwise it would be moved again at once.
        upstream.wait_start = None;
        self.upstream = Some(upstream);
        self.copy_task = silent.copy_task;
        self.backup = silent.backup;
        self.copy = None;
        self.gap_start = None;
        self.avoid_domains = silent.avoid_domains;
        self.declined = silent.declined;
        self.target = silent.target;
        self.trial = silent.trial;
        true
    }
}
