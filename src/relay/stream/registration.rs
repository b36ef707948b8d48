//! Entry of a stream's run in the directory of runs.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::timeout;

use crate::relay::copies::RunCopy;
use crate::relay::relay::Relay;
use crate::relay::run_location::RunKey;
use crate::relay::runs::Telling;

/// Maximum time that the first event waits until other instances know of the run. In a large fleet
/// an aggregator tells them four times a second.
const TELL_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time that it waits then until its content is marked, unless another run is known to have
/// the same: an instance that is cut off from all goes on serving.
const MARK_TIMEOUT: Duration = Duration::from_millis(400);

/// A stream's run in the directory, withdrawn when it is dropped before the caller may come back
/// for it.
#[derive(Debug)]
pub(super) struct Registration {
    relay: Arc<Relay>,
    pub(super) run: RunKey,
    /// Whether the service's engines keep copies, so that the run is recorded.
    has_copies: bool,
    is_recorded: bool,
    /// Whether the caller may come back for the run.
    is_resumable: bool,
}

impl Registration {
    pub(super) fn new(relay: &Arc<Relay>, run: RunKey, has_copies: bool, is_resumed: bool) -> Self {
        Self {
            relay: Arc::clone(relay),
            run,
            has_copies,
            is_recorded: false,
            is_resumable: is_resumed,
        }
    }

    /// Records the run as an attempt begins whose copy is to be at `backup`.
    pub(super) fn record(&mut self, backup: Option<&RunCopy>) {
        if self.has_copies {
            self.is_recorded = true;
            self.relay.record_run(self.run, backup);
            self.relay.gossip_wakeup.notify_one();
        }
    }

    /// Makes the run known, and keeps it known: with its first event the caller can come back for
    /// it. If not all other instances are told, or if another run has the same content, the content
    /// is marked as shared first. Returns whether the caller may get the event; `left` is the time
    /// until the request's deadline.
    pub(super) async fn publish(&mut self, left: Duration) -> bool {
        if self.is_recorded && !self.is_resumable {
            let is_told = self.is_told().await;
            let relay = &self.relay;
            let now = std::time::Instant::now();
            let is_shared = relay.runs.lock().is_shared(self.run.digest, now);
            let patience = match is_shared {
                true => left,
                false => MARK_TIMEOUT.min(left),
            };
            let needs_mark = !is_told || is_shared;
            if needs_mark && !relay.mark_shared(self.run.digest, patience).await {
                metrics::counter!("endivefork_runs_unmarked_total").increment(1);
                warn!(relay.decisions.log, "run: content not marked in time";
                    "content" => format!("{:08x}", self.run.digest as u32),
                    "shared" => is_shared, "others" => relay.peers.others());
                if is_shared {
                    return false;
                }
            }
        }
        self.is_resumable = true;
        true
    }

    /// Waits until all other instances know of the run. Returns whether they do.
    async fn is_told(&self) -> bool {
        let relay = &self.relay;
        // Others tell a leaving instance of no more runs.
        if relay.is_alone() || relay.peers.is_leaving() {
            return !relay.peers.is_leaving();
        }
        let told = relay.runs.lock().told();
        let wait = async {
            loop {
                let changed = told.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                match relay.runs.lock().telling(self.run.id) {
                    Telling::Pending => {}
                    telling => return telling == Telling::Done,
                }
                changed.await;
            }
        };
        let is_told = timeout(TELL_TIMEOUT, wait).await.unwrap_or(false);
        if !is_told {
            metrics::counter!("endivefork_runs_untold_total").increment(1);
            info!(relay.decisions.log, "run: not all others could be told";
                "content" => format!("{:08x}", self.run.digest as u32),
                "others" => relay.peers.others());
        }
        is_told && (relay.peers.is_tiered() || relay.reaches_fleet())
    }

    /// Records that the caller was sent the whole stream.
    pub(super) fn end(&self) {
        self.relay.runs.lock().end(self.run);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut runs = self.relay.runs.lock();
        if self.is_recorded && !self.is_resumable {
            runs.withdraw(self.run, std::time::Instant::now());
        }
        runs.end_streaming(self.run.id);
    }
}
