//! Run locations that peers of a small fleet have missed, sent with the next message to each.

use std::time::Instant;

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::run_location::RunLocation;
use super::runs::RUN_TTL;

/// Maximum number of run locations kept for a peer.
const MISSED_MAX: usize = 4_000;

#[derive(Debug)]
struct Missed {
    /// When the peer was last a recipient.
    seen: Instant,
    runs: Vec<RunLocation>,
}

impl Missed {
    fn extend(&mut self, runs: &[RunLocation]) {
        self.runs.extend_from_slice(runs);
        let excess = self.runs.len().saturating_sub(MISSED_MAX);
        self.runs.drain(..excess);
    }
}

/// Run locations that each peer has missed.
#[derive(Debug, Default)]
pub(crate) struct MissedRuns {
    peers: IndexMap<SmolStr, Missed>,
}

impl MissedRuns {
    /// Takes what each of the `recipients` of `runs` has missed before: for a new one, all of this
    /// instance's `own` runs. Recent recipients that are not among them miss these runs.
    pub(crate) fn take(
        &mut self,
        recipients: &[SmolStr],
        runs: &[RunLocation],
        own: impl Fn() -> Vec<RunLocation>,
        now: Instant,
    ) -> Vec<Vec<RunLocation>> {
        self.peers
            .retain(|_, m| now.saturating_duration_since(m.seen) < RUN_TTL);
        for (name, missed) in &mut self.peers {
            if !recipients.contains(name) {
                missed.extend(runs);
            }
        }
        let taken = recipients.iter().map(|name| {
            let missed = self.peers.entry(name.clone()).or_insert_with(|| Missed {
                seen: now,
                runs: own(),
            });
            missed.seen = now;
            std::mem::take(&mut missed.runs)
        });
        taken.collect()
    }

    /// Keeps runs that a peer did not receive.
    pub(crate) fn put_back(&mut self, name: &str, runs: &[RunLocation]) {
        if let Some(missed) = self.peers.get_mut(name) {
            missed.extend(runs);
        }
    }
}
