//! Stores the runs of each failure domain on the platform, so that callers can resume from copies
//! even after the loss of all instances at once. A stale entry costs one request that its engine
//! refuses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use slog::{info, warn};
use tokio::time::sleep;

use super::relay::Relay;
use super::runs::RunLocation;
use crate::platform::{Error, Expect};

/// Kind of the stored objects; each instance that writes has one.
const OBJECT_KIND: &str = "endivefork-runs";

/// Time between two writes, which are billed. Runs that began after the last write, a fifth of
/// those in progress, have their prompts read again if all instances are lost.
const WRITE_PERIOD: Duration = Duration::from_millis(1200);

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Stored {
    /// Each a [`StoredRun`], if it can be read.
    runs: Vec<Value>,
}

/// A run's location with its digest as text, since JSON numbers can't hold 128 bits.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRun {
    digest: String,
    #[serde(rename = "note")]
    location: RunLocation,
}

impl Stored {
    pub(super) fn of(locations: Vec<RunLocation>) -> Self {
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

impl Relay {
    /// Loads the runs stored by all instances, then stores those of this failure domain while this
    /// instance is its writer.
    pub(crate) async fn store_runs(self: Arc<Self>) {
        self.wait_for_peers().await;
        // In a large fleet only candidates for aggregator need the stored runs.
        let mut expect = match self.peers.is_tiered() && !self.is_candidate() {
            true => Expect::Absent,
            false => self.read_runs().await,
        };
        loop {
            sleep(WRITE_PERIOD).await;
            if !self.is_run_writer() {
                continue;
            }
            let runs = self.runs.lock().take_changed(Instant::now());
            let Some(runs) = runs else { continue };
            expect = self.write_runs(&Stored::of(runs), expect).await;
        }
    }

    /// Reads the stored runs of all instances. Returns the expected state of this instance's own
    /// object for the next write.
    async fn read_runs(&self) -> Expect {
        let name = &self.settings.instance.name;
        let list = match self.platform.list(OBJECT_KIND, "").await {
            Ok(list) => list,
            Err(e) => {
                warn!(self.decisions.log, "runs: could not list stored runs"; "error" => %e);
                return Expect::Absent;
            }
        };
        let own = list.items.iter().find(|o| o.name == *name);
        let expect = own.map_or(Expect::Absent, |o| Expect::Rev(o.rev));
        let now = Instant::now();
        let mut count = 0;
        for object in &list.items {
            let id = (OBJECT_KIND, object.name.as_str(), object.rev);
            match object.decode::<Stored>() {
                Ok(stored) => {
                    let mut runs = self.runs.lock();
                    stored.locations().for_each(|read| match read {
                        Ok(location) => {
                            count += 1;
                            runs.insert(location, false, now);
                        }
                        Err(e) => self.report_entry(id, &object.value, &e),
                    });
                }
                Err(e) => self.report_entry(id, &object.value, &e.to_string()),
            }
        }
        info!(self.decisions.log, "runs: loaded from the platform"; "runs" => count);
        expect
    }

    async fn write_runs(&self, stored: &Stored, expect: Expect) -> Expect {
        let name = &self.settings.instance.name;
        match self.platform.put(OBJECT_KIND, name, stored, expect).await {
            Ok(rev) => Expect::Rev(rev),
            Err(Error::Conflict(Some(present))) => Expect::Rev(present.rev),
            Err(Error::Conflict(None)) => Expect::Absent,
            Err(e) => {
                warn!(self.decisions.log, "runs: could not store runs"; "error" => %e);
                expect
            }
        }
    }
}
