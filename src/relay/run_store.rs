//! Stores the runs of each failure domain and the quarantines on the platform, so that callers can
//! resume from copies, and deadly requests stay refused, even after the loss of all instances at
//! once. A stale run costs one request that its engine refuses.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use slog::{info, warn};
use tokio::time::sleep;

use super::relay::Relay;
use super::run_location::RunLocation;
use crate::platform::{Error, Expect, is_restored};
use crate::quarantine::StoredQuarantine;

/// Kind of the stored objects; each instance that writes has one.
const OBJECT_KIND: &str = "endivefork-runs";

/// Time between two writes, which are billed. Runs that began after the last write, a fifth of
/// those in progress, have their prompts read again if all instances are lost.
const WRITE_PERIOD: Duration = Duration::from_millis(1200);

/// Pause after a first failed attempt to write again what the platform has lost; it doubles with each
/// further failure, up to [`WRITE_PERIOD`].
const REWRITE_PAUSE: Duration = Duration::from_millis(200);

/// How long a run that shares its content waits to be stored in one write with others.
const SHARED_WINDOW: Duration = Duration::from_millis(100);

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Stored {
    /// Each a [`StoredRun`], if it can be read.
    runs: Vec<Value>,
    /// Each a [`StoredQuarantine`], if it can be read.
    #[serde(default)]
    quarantines: Vec<Value>,
    /// Time of the write, in milliseconds since the Unix epoch.
    #[serde(default)]
    written_ms: u64,
}

/// A run's location with its digest as text, since JSON numbers can't hold 128 bits.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRun {
    digest: String,
    #[serde(rename = "note")]
    location: RunLocation,
}

impl Stored {
    pub(super) fn of(locations: Vec<RunLocation>, quarantines: &[StoredQuarantine]) -> Self {
        let runs = locations.into_iter().map(|location| {
            json!(StoredRun {
                digest: format!("{:032x}", location.digest),
                location: RunLocation {
                    digest: 0,
                    ..location
                },
            })
        });
        Self {
            runs: runs.collect(),
            quarantines: quarantines.iter().map(|q| json!(q)).collect(),
            written_ms: unix_millis(),
        }
    }

    /// The location of each run, or why it can't be read.
    pub(super) fn locations(self) -> impl Iterator<Item = Result<RunLocation, String>> {
        self.runs.into_iter().map(|run| {
            let stored = StoredRun::deserialize(run).map_err(|e| e.to_string())?;
            let digest = u128::from_str_radix(&stored.digest, 16).map_err(|e| e.to_string())?;
            Ok(RunLocation {
                digest,
                ..stored.location
            })
        })
    }
}

/// Milliseconds since the Unix epoch; 0 before it.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}

impl Relay {
    /// Loads the runs and quarantines stored by all instances, then stores those of this failure
    /// domain while this instance is its writer.
    pub(crate) async fn store_runs(self: Arc<Self>) {
        self.wait_for_peers().await;
        let mut expect = None;
        let mut quarantines = Vec::new();
        let shared = self.runs.lock().shared();
        let mut era = self.platform.era();
        // What was written is lost when the platform returns from a copy, and so is the condition
        // of the next write.
        let mut is_lost = false;
        let mut wait = WRITE_PERIOD;
        loop {
            let latest = self.platform.era();
            if is_restored(era, latest) {
                (expect, is_lost, wait) = (None, true, Duration::ZERO);
            }
            era = latest;
            // In a large fleet only candidates for aggregator need what is stored.
            if expect.is_none() && (!self.peers.is_tiered() || self.is_candidate()) {
                expect = self.read_stored().await;
            }
            tokio::select! {
                () = sleep(wait) => {}
                () = self.platform.restored(era) => continue,
                () = self.quarantined.notified() => {}
                // Stored at once, as the copy of neither run may be used if all instances are lost.
                () = shared.notified() => sleep(SHARED_WINDOW).await,
            }
            let waited = std::mem::replace(&mut wait, WRITE_PERIOD);
            if !self.is_run_writer() {
                continue;
            }
            let now = Instant::now();
            let current = self.suspects.lock().stored(now);
            let is_same = |(a, b): (&StoredQuarantine, &StoredQuarantine)| a.is_same(b);
            let is_stored =
                current.len() == quarantines.len() && current.iter().zip(&quarantines).all(is_same);
            let changed = self.runs.lock().take_changed(now, !is_stored || is_lost);
            let Some(runs) = changed else { continue };
            let stored = Stored::of(runs, &current);
            let (next, is_written) = self.write(&stored, expect.unwrap_or(Expect::Absent)).await;
            expect = Some(next);
            match is_written {
                true => (quarantines, is_lost) = (current, false),
                false => self.runs.lock().set_unstored(),
            }
            if is_lost {
                wait = (waited * 2).clamp(REWRITE_PAUSE, WRITE_PERIOD);
            }
        }
    }

    /// Reads what all instances have stored. Returns the expected state of this instance's own
    /// object for the next write; `None` if the platform can't be read.
    async fn read_stored(&self) -> Option<Expect> {
        let name = &self.settings.instance.name;
        let list = match self.list_kind(OBJECT_KIND).await {
            Ok(list) => list,
            Err(e) => {
                warn!(self.decisions.log, "runs: could not list stored runs"; "error" => %e);
                return None;
            }
        };
        let own = list.items.iter().find(|o| o.name == *name);
        let expect = own.map_or(Expect::Absent, |o| Expect::Rev(o.rev));
        let now = Instant::now();
        let mut count = 0;
        for object in &list.items {
            let id = (OBJECT_KIND, object.name.as_str(), object.rev);
            let stored: Stored = match object.decode() {
                Ok(stored) => stored,
                Err(e) => {
                    self.report_entry(id, &object.value, &e.to_string());
                    continue;
                }
            };
            self.recall_quarantines(&stored, now);
            let mut runs = self.runs.lock();
            stored.locations().for_each(|read| match read {
                Ok(location) => {
                    count += 1;
                    runs.recall(location, now);
                }
                Err(e) => self.report_entry(id, &object.value, &e),
            });
        }
        self.runs.lock().set_stored();
        self.judge_suspects(now);
        info!(self.decisions.log, "runs: loaded from the platform"; "runs" => count);
        Some(expect)
    }

    fn recall_quarantines(&self, stored: &Stored, now: Instant) {
        let age = Duration::from_millis(unix_millis().saturating_sub(stored.written_ms));
        let mut suspects = self.suspects.lock();
        for value in &stored.quarantines {
            let read = StoredQuarantine::deserialize(value);
            let is_readable = read.is_ok_and(|q| suspects.recall(&q, age, now));
            if !is_readable {
                warn!(self.decisions.log, "quarantine: could not read a stored one";
                    "entry" => %value);
            }
        }
    }

    /// Writes this instance's object. Returns its expected state for the next write, and whether
    /// this one was accepted.
    async fn write(&self, stored: &Stored, expect: Expect) -> (Expect, bool) {
        let name = &self.settings.instance.name;
        match self.platform.put(OBJECT_KIND, name, stored, expect).await {
            Ok(rev) => (Expect::Rev(rev), true),
            Err(Error::Conflict(Some(present))) => (Expect::Rev(present.rev), false),
            Err(Error::Conflict(None)) => (Expect::Absent, false),
            Err(e) => {
                warn!(self.decisions.log, "runs: could not store runs"; "error" => %e);
                (expect, false)
            }
        }
    }
}
