//! Entry of a stream's run in the directory of runs.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::relay::copies::RunCopy;
use crate::relay::relay::Relay;
use crate::relay::run_location::RunKey;

/// Maximum time that the first event waits until other instances know of the run. In a large fleet
/// an aggregator tells them four times a second.
const TELL_TIMEOUT: Duration = Duration::from_millis(400);

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

    /// Waits until the other instances know of the run, and keeps it there: with its first event
    /// the caller can come back for it.
    pub(super) async fn publish(&mut self) {
        if self.is_recorded && !self.is_resumable && !self.relay.is_alone() {
            let told = self.relay.runs.lock().told();
            let wait = async {
                loop {
                    let changed = told.notified();
                    tokio::pin!(changed);
                    changed.as_mut().enable();
                    if self.relay.runs.lock().is_told(self.run.id) {
                        return;
                    }
                    changed.await;
                }
            };
            if timeout(TELL_TIMEOUT, wait).await.is_err() {
                metrics::counter!("endivefork_runs_untold_total").increment(1);
            }
        }
        self.is_resumable = true;
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
        runs.forget_untold(self.run.id);
    }
}
