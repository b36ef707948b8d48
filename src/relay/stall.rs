//! Detects stalled upstreams. While a target sends nothing, it is probed, asked for the run's
//! progress and finally, once another target is certain to take the run, abandoned. Otherwise the
//! wait goes on until the request's deadline or until the target is found dead.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::progress::{Progress, query_progress};
use super::quarantine::QUARANTINED;
use super::record::FailedAttempt;
use super::relay::Relay;
use super::stall_timeouts::StallTimeouts;
use super::successor::Mover;
use crate::quarantine::PartKey;
use crate::routing::Lease;

/// Time allowed for reading data that is already in the socket before a stall is declared: this
/// process may itself have been delayed.
const READ_GRACE: Duration = Duration::from_millis(3);

/// Time for the events of a run to arrive although its engine reports that they were sent, or that
/// the run is not there: the connection may be behind.
const DELIVERY_GRACE: Duration = Duration::from_secs(1);

/// Interval at which a run that could not be moved is considered again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why an upstream run ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    Dead,
    Stalled,
    Broken(&'static str),
    DeadlineExceeded,
    /// Requests like it were quarantined before it began.
    Quarantined,
}

impl Loss {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Dead => "engine found dead",
            Self::Stalled => "engine silent",
            Self::Broken(reason) => reason,
            Self::DeadlineExceeded => "no time left",
            Self::Quarantined => QUARANTINED,
        }
    }
}

/// Waits on a target and detects when it stalls.
pub(crate) struct StallDetector<'a> {
    pub(crate) relay: &'a Arc<Relay>,
    pub(crate) id: &'a str,
    /// Parts of the request that may crash a target.
    pub(crate) parts: &'a [PartKey],
    pub(crate) lease: &'a Lease,
    pub(crate) timeouts: &'a StallTimeouts,
    /// Looks for the next run's place before this one is given up.
    pub(crate) mover: Mover<'a>,
    /// Start of the wait for the next sign of progress.
    pub(crate) wait_start: Instant,
    pub(crate) deadline: Instant,
}

impl StallDetector<'_> {
    /// Drives `task` for as long as the target is alive and its silence is accounted for.
    pub(crate) async fn watch<T>(&self, task: impl Future<Output = T>) -> Result<T, Loss> {
        tokio::pin!(task);
        let lost = self.lease.lost();
        tokio::pin!(lost);
        let quarantined = self.relay.quarantined.notified();
        tokio::pin!(quarantined);
        let since = self.wait_start;
        let timeouts = self.timeouts;
        let mut probe_at = since + timeouts.probe_after();
        let mut query_at = (!timeouts.has_started()).then(|| since + timeouts.query_after());
        let has_copy = self.mover.copy.is_some_and(|c| c.has_copy(self.relay));
        let mut move_at = since + timeouts.abandon_after(has_copy);
        let mut is_reported_lost = false;
        let mut is_held = false;
        loop {
            let next = probe_at.min(move_at).min(self.deadline);
            let wake = query_at.map_or(next, |at| at.min(next));
            tokio::select! {
                biased;
                done = task.as_mut() => return Ok(done),
                () = lost.as_mut() => {
                    // A target that refuses new connections may still serve those it has.
                    if !timeouts.has_started() || since.elapsed() >= timeouts.probe_after() {
                        return Err(Loss::Dead);
                    }
                    lost.set(self.lease.lost());
                    continue;
                }
                () = quarantined.as_mut(), if !timeouts.has_started() => {
                    if self.relay.quarantine_left(self.parts).is_some() {
                        return Err(Loss::Quarantined);
                    }
                    quarantined.set(self.relay.quarantined.notified());
                    continue;
                }
                () = sleep_until(wake) => {}
            }
            if let Ok(done) = timeout(READ_GRACE, task.as_mut()).await {
                return Ok(done);
            }
            let now = Instant::now();
            if now >= self.deadline {
                return Err(Loss::DeadlineExceeded);
            }
            if query_at.is_some_and(|at| now >= at) {
                let query = query_progress(self.relay, self.lease, self.id);
                let progress = tokio::select! {
                    biased;
                    done = task.as_mut() => return Ok(done),
                    () = lost.as_mut() => return Err(Loss::Dead),
                    progress = query => progress,
                };
                match progress {
                    Progress::Prefilling => {
                        move_at = Instant::now() + 2 * timeouts.query_interval();
                        is_reported_lost = false;
                    }
                    Progress::Produced | Progress::Unknown if !is_reported_lost => {
                        move_at = move_at.min(Instant::now() + DELIVERY_GRACE);
                        is_reported_lost = true;
                    }
                    Progress::Produced | Progress::Unknown | Progress::NoReport => {}
                }
                query_at = Some(Instant::now() + timeouts.query_interval());
            }
            if now >= move_at {
                let secured = self.mover.secure(self.lease, now - since);
                let secured = tokio::select! {
                    biased;
                    done = task.as_mut() => return Ok(done),
                    () = lost.as_mut() => return Err(Loss::Dead),
                    secured = timeout_at(self.deadline, secured) => secured,
                };
                let moved = secured.unwrap_or(Err("no time left"));
                match (moved, timeout(READ_GRACE, task.as_mut()).await) {
                    (_, Ok(done)) => {
                        self.mover.found.lock().take();
                        return Ok(done);
                    }
                    (Ok(()), Err(_)) => return Err(Loss::Stalled),
                    (Err(reason), Err(_)) if !is_held => {
                        self.log_held(reason, now - since);
                        is_held = true;
                    }
                    (Err(_), Err(_)) => {}
                }
                move_at = Instant::now() + RECHECK_INTERVAL;
            }
            if now >= probe_at {
                self.relay.probe(self.lease);
                probe_at = now + timeouts.probe_after();
            }
        }
    }

    /// Logs why a run stays at its silent target.
    fn log_held(&self, reason: &'static str, elapsed: Duration) {
        metrics::counter!("endivefork_silences_awaited_total", "reason" => reason).increment(1);
        self.relay.decisions.silence_awaited(&FailedAttempt {
            alive: self.relay.alive_age(self.lease),
            ..self
                .mover
                .request
                .failed_attempt(&self.lease.name(), reason, elapsed)
        });
    }
}
