//! Keeps the runs of each failure domain in the platform's store, so that callers go on from copies even when
//! every instance was lost at once. A stale entry costs one refusal by an engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::sleep;

use super::relay::Relay;
use super::runs::Note;
use crate::platform::{Error, Expect};

/// Kind of the objects, one for each instance that has written.
const KIND: &str = "endivefork-runs";

/// Time between two writes, which are billed. Runs that began since the last one are read again
/// after the loss of all instances: a fifth of those in progress.
const PERIOD: Duration = Duration::from_millis(1200);

#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    runs: Vec<StoredNote>,
}

/// A note with its digest as text, since JSON numbers do not hold it.
#[derive(Debug, Serialize, Deserialize)]
struct StoredNote {
    digest: String,
    note: Note,
}

impl Stored {
    fn of(notes: Vec<Note>) -> Self {
        let runs = notes.into_iter().map(|note| StoredNote {
            digest: format!("{:032x}", note.digest),
            note: Note { digest: 0, ..note },
        });
        Self {
            runs: runs.collect(),
        }
    }

    fn notes(self) -> impl Iterator<Item = Note> {
        self.runs.into_iter().filter_map(|stored| {
            let digest = u128::from_str_radix(&stored.digest, 16).ok()?;
            Some(Note {
                digest,
                ..stored.note
            })
        })
    }
}

impl Relay {
    /// Takes the runs that all instances had, and then stores those of its failure domain while that
    /// is its duty.
    pub(crate) async fn keep_ledger(self: Arc<Self>) {
        self.meet().await;
        // In a large fleet only those that may come on duty need the runs of before.
        let mut expect = match self.peers.is_tiered() && !self.is_candidate() {
            true => Expect::Absent,
            false => self.read_ledger().await,
        };
        loop {
            sleep(PERIOD).await;
            if !self.is_writer() {
                continue;
            }
            let notes = self.runs.lock().take_changed(Instant::now());
            let Some(notes) = notes else { continue };
            expect = self.write_ledger(&Stored::of(notes), expect).await;
        }
    }

    /// Reads all ledgers once. Returns what this instance's own is written over.
    async fn read_ledger(&self) -> Expect {
        let name = &self.settings.instance.name;
        let list = match self.platform.list(KIND, "").await {
            Ok(list) => list,
            Err(e) => {
                warn!(self.record.log, "runs: could not read those of before"; "error" => %e);
                return Expect::Absent;
            }
        };
        let own = list.items.iter().find(|o| o.name == *name);
        let expect = own.map_or(Expect::Absent, |o| Expect::Rev(o.rev));
        let now = Instant::now();
        let mut count = 0;
        for object in &list.items {
            match object.decode::<Stored>() {
                Ok(stored) => {
                    let mut runs = self.runs.lock();
                    stored.notes().for_each(|note| {
                        count += 1;
                        runs.hear(note, false, now);
                    });
                }
                Err(e) => warn!(self.record.log, "runs: could not read a ledger";
                    "name" => object.name.as_str(), "error" => %e),
            }
        }
        info!(self.record.log, "runs: taken from the platform"; "runs" => count);
        expect
    }

    async fn write_ledger(&self, stored: &Stored, expect: Expect) -> Expect {
        let name = &self.settings.instance.name;
        match self.platform.put(KIND, name, stored, expect).await {
            Ok(rev) => Expect::Rev(rev),
            Err(Error::Conflict(Some(present))) => Expect::Rev(present.rev),
            Err(Error::Conflict(None)) => Expect::Absent,
            Err(e) => {
                warn!(self.record.log, "runs: could not be stored"; "error" => %e);
                expect
            }
        }
    }
}
