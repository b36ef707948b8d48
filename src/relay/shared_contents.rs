//! Contents that several runs may share, marked on the platform. A run is marked before its caller
//! gets an event if its instance knows of another run with the same content, or if another instance
//! may not know of this one. So of two runs with the same content, the later to be published leaves
//! a mark, and a copy is used only if the platform shows none when the caller is back.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::sync::{Mutex, Notify, watch};
use tokio::time::{sleep, timeout};

use super::relay::Relay;
use super::runs::RUN_TTL;
use crate::platform::{Error, Expect, is_restored};

/// Kind of the stored objects; each instance that has marked a content has one.
const OBJECT_KIND: &str = "endivefork-shared";

/// Maximum number of marks of one instance. With more, all contents count as marked.
pub(super) const MARKS_MAX: usize = 2_000;

/// How long a mark waits to be written with others.
const BATCH_WINDOW: Duration = Duration::from_millis(10);

/// Pause after a first failed write; it doubles with each further failure, as each call is billed.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest pause after failed writes.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Maximum time for reading the marks: a fraction of the time in which a prompt is read again.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Marks of one instance, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Marks {
    /// Digests as hexadecimal text, since JSON numbers can't hold 128 bits.
    contents: IndexSet<String>,
    /// Whether all contents count as marked.
    #[serde(default)]
    all: bool,
}

impl Marks {
    pub(super) fn has(&self, digest: u128) -> bool {
        self.all || self.contents.contains(&text(digest))
    }
}

fn text(digest: u128) -> String {
    format!("{digest:032x}")
}

/// The marks that this instance writes.
#[derive(Debug, Default)]
pub(crate) struct OwnMarks {
    /// Digest, as text, and end of each mark.
    contents: IndexMap<String, Instant>,
    /// Until when all contents count as marked.
    crowded: Option<Instant>,
    /// Number of the last change.
    version: u64,
}

impl OwnMarks {
    /// Adds a mark or prolongs it. Returns the number of the change that holds it.
    pub(super) fn add(&mut self, digest: u128, now: Instant) -> u64 {
        let is_new = self.contents.insert(text(digest), now + RUN_TTL).is_none();
        if self.contents.len() > MARKS_MAX {
            self.contents.shift_remove_index(0);
            self.crowded = Some(now + RUN_TTL);
        }
        self.version += u64::from(is_new);
        self.version
    }

    /// Takes over what an earlier process of this instance has marked.
    pub(super) fn inherit(&mut self, marks: Marks, now: Instant) {
        for content in marks.contents {
            self.contents.entry(content).or_insert(now + RUN_TTL);
        }
        if marks.all {
            self.crowded = Some(now + RUN_TTL);
        }
    }

    /// The marks that have not expired.
    pub(super) fn current(&mut self, now: Instant) -> Marks {
        self.contents.retain(|_, until| now < *until);
        self.crowded = self.crowded.filter(|until| now < *until);
        Marks {
            contents: self.contents.keys().cloned().collect(),
            all: self.crowded.is_some(),
        }
    }

    fn is_empty(&self) -> bool {
        self.contents.is_empty() && self.crowded.is_none()
    }
}

/// Contents that several runs may share.
#[derive(Debug, Default)]
pub(crate) struct SharedContents {
    own: parking_lot::Mutex<OwnMarks>,
    /// Notified when there is something to write.
    added: Notify,
    /// Number of the last change that is stored.
    stored: watch::Sender<u64>,
    /// When the last read of all marks began, and what it found.
    read: Mutex<Option<(Instant, Vec<Marks>)>>,
}

impl Relay {
    /// Marks a content, and waits until the mark is stored, for `patience` at most. Returns whether
    /// it is; if not, it is stored later.
    pub(crate) async fn mark_shared(&self, digest: u128, patience: Duration) -> bool {
        let shared = &self.shared_contents;
        let version = shared.own.lock().add(digest, Instant::now());
        shared.added.notify_one();
        metrics::counter!("endivefork_contents_marked_total").increment(1);
        let mut stored = shared.stored.subscribe();
        let wait = stored.wait_for(|stored| *stored >= version);
        matches!(timeout(patience, wait).await, Ok(Ok(_)))
    }

    /// Whether a content is marked, by the platform's present state; `None` if it can't be read in
    /// time.
    pub(crate) async fn is_marked(&self, digest: u128) -> Option<bool> {
        let asked = Instant::now();
        let is_marked = async {
            let mut read = self.shared_contents.read.lock().await;
            if read.as_ref().is_none_or(|(begun, _)| *begun < asked) {
                *read = Some((Instant::now(), self.read_marks().await?));
            }
            let (_, marks) = read.as_ref()?;
            Some(marks.iter().any(|marks| marks.has(digest)))
        };
        timeout(READ_TIMEOUT, is_marked).await.ok().flatten()
    }

    async fn read_marks(&self) -> Option<Vec<Marks>> {
        let client = self.platform.with_timeout(READ_TIMEOUT);
        let list = client.list(OBJECT_KIND, "").await;
        let list = list.inspect_err(|e| {
            info!(self.decisions.log, "copy: could not read the shared contents"; "error" => %e);
        });
        let list = list.ok()?;
        if !list.unreadable.is_empty() {
            return None;
        }
        let marks = list.items.iter().map(|object| {
            let read = object.decode::<Marks>();
            let id = (OBJECT_KIND, object.name.as_str(), object.rev);
            read.inspect_err(|e| self.report_entry(id, &object.value, &e.to_string()))
                .ok()
        });
        marks.collect()
    }

    /// Writes the marks of this instance whenever one is added, and removes them once all have
    /// expired. Runs until the process ends.
    pub(crate) async fn store_marks(self: std::sync::Arc<Self>) {
        let shared = &self.shared_contents;
        let mut expect = Expect::Absent;
        loop {
            let era = self.platform.era();
            let is_stored = matches!(expect, Expect::Rev(_));
            tokio::select! {
                () = shared.added.notified() => {}
                () = self.platform.restored(era) => expect = Expect::Absent,
                () = sleep(RUN_TTL), if is_stored => {}
            }
            sleep(BATCH_WINDOW).await;
            let begun = Instant::now();
            let (mut failures, mut pause) = (0, RETRY_MIN);
            while !self.write_marks(&mut expect, failures == 0).await {
                if is_restored(era, self.platform.era()) {
                    expect = Expect::Absent;
                }
                failures += 1;
                sleep(pause).await;
                pause = (pause * 2).min(RETRY_MAX);
            }
            if failures > 1 {
                info!(self.decisions.log, "run: shared contents stored after failures";
                    "failures" => failures, "after_ms" => begun.elapsed().as_millis() as u64);
            }
        }
    }

    /// Returns whether the marks are stored as they are now. A failure is logged if `logs` is set.
    async fn write_marks(&self, expect: &mut Expect, logs: bool) -> bool {
        let shared = &self.shared_contents;
        let name = &self.settings.instance.name;
        let (marks, version, is_empty) = {
            let mut own = shared.own.lock();
            (own.current(Instant::now()), own.version, own.is_empty())
        };
        let written = match *expect {
            Expect::Absent if is_empty => return true,
            Expect::Rev(rev) if is_empty => self.platform.delete(OBJECT_KIND, name, rev).await,
            _ => self.platform.put(OBJECT_KIND, name, &marks, *expect).await,
        };
        match written {
            Ok(rev) => {
                *expect = if is_empty {
                    Expect::Absent
                } else {
                    Expect::Rev(rev)
                };
                shared.stored.send_replace(version);
                true
            }
            Err(Error::Conflict(Some(present))) => {
                let marks = present.decode::<Marks>().unwrap_or_else(|_| Marks {
                    all: true,
                    ..Marks::default()
                });
                shared.own.lock().inherit(marks, Instant::now());
                *expect = Expect::Rev(present.rev);
                false
            }
            Err(Error::Conflict(None)) => {
                *expect = Expect::Absent;
                false
            }
            Err(e) => {
                if logs {
                    warn!(self.decisions.log, "run: could not store shared contents"; "error" => %e);
                }
                false
            }
        }
    }
}
