//! Finds the copy from which a returning caller's run goes on.

use std::time::{Duration, Instant};

use slog::info;
use tokio::time::sleep;

use super::copies::RunCopy;
use super::equal_runs::EqualRuns;
use super::relay::Relay;
use super::run_location::RunId;
use crate::peer::Reach;

/// Maximum time that a resumed request waits until the runs of before the start are known.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which it looks whether they are.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);

impl Relay {
    /// Finds the copy of the only run with this content, of whatever instance. `None` if there are
    /// or may be several: the caller may have come back for another. What this instance knows does
    /// not show that there is no other run; that the platform has no mark does.
    pub(crate) async fn find_copy(&self, digest: u128) -> Option<(RunId, RunCopy)> {
        let equals = self.settled_runs(digest).await;
        self.log_lookup(digest, &equals);
        let found = equals.only()?;
        if self.peers.is_split() || !self.has_ended(found.id).await {
            return None;
        }
        let is_marked = self.is_marked(digest).await;
        if is_marked != Some(false) {
            info!(self.decisions.log, "copy: not used, as other runs may have the same content";
                "content" => format!("{:08x}", digest as u32), "marked" => is_marked);
            return None;
        }
        self.runs.lock().take(digest, found.id);
        let now = Instant::now();
        let key = self.router.key_named(&found.engine)?;
        let lease = self
            .router
            .claim(key, &self.settings.instance.region, now)?;
        Some((found.id, RunCopy::new(lease, found.copied)))
    }

    /// Whether this instance serves no caller of a run. It may notice a little late that one has gone.
    async fn has_ended(&self, id: RunId) -> bool {
        let until = Instant::now() + SETTLE_TIMEOUT;
        while self.runs.lock().is_streaming(id) {
            if Instant::now() >= until {
                return false;
            }
            sleep(SETTLE_INTERVAL).await;
        }
        true
    }

    /// Logs from what knowledge it is decided whether a returning caller's run goes on from a copy.
    fn log_lookup(&self, digest: u128, equals: &EqualRuns) {
        let reaches = self.peers.view().into_iter().map(|m| m.reach);
        info!(self.decisions.log, "copy: looked up for a returning caller";
            "content" => format!("{:08x}", digest as u32), "known" => equals.runs.len(),
            "with_copy" => equals.runs.iter().filter(|r| r.copied.is_some()).count(),
            "whole" => equals.is_whole, "crowded" => equals.is_crowded,
            "split" => self.peers.is_split(), "alone" => self.is_alone(),
            "others" => self.peers.others(), "unmet" => self.unmet_instances(),
            "reached" => reaches.filter(|reach| *reach == Reach::Alive).count(),
            "age_ms" => self.age().as_millis() as u64);
    }

    /// The known runs with this content. Callers come back in the moment in which an instance is
    /// ready again, when it is still reading the runs of before; a prompt takes longer to read.
    async fn settled_runs(&self, digest: u128) -> EqualRuns {
        let until = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let equals = self.equal_runs(digest).await;
            if equals.is_whole || Instant::now() >= until {
                return equals;
            }
            sleep(SETTLE_INTERVAL).await;
        }
    }
}
