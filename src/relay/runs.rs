//! Directory of runs and the engines that hold copies of them. A caller that lost its instance or
//! its connection resumes at any other instance without the prompt being read again.
//!
//! A returning caller brings only the content of its request, which it may share with other runs.
//! A copy is used if its run is the only one with that content. So each run is recorded before its
//! caller gets an event, and stays known for as long as its caller may come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::Notify;

use super::equal_runs::EqualRuns;
use super::run_location::{RunId, RunKey, RunLocation};

/// How long a run is kept: longer than any run lasts.
pub(crate) const RUN_TTL: Duration = Duration::from_secs(60);

/// How long a run is stored on the platform: most runs have ended by then.
const STORE_TTL: Duration = Duration::from_secs(20);

/// Maximum number of different contents of which runs are kept.
const CONTENTS_MAX: usize = 20_000;

/// Maximum number of runs kept with the same content.
const EQUALS_MAX: usize = 8;

/// Which instance relays a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// This one.
    Own,
    /// Another one of this failure domain.
    Domain,
    /// One of another failure domain, or one that is not known.
    Other,
}

#[derive(Debug)]
struct Known {
    location: RunLocation,
    at: Instant,
    origin: Origin,
}

impl Known {
    fn is_local(&self) -> bool {
        self.origin != Origin::Other
    }
}

/// Runs with the same content, the oldest first.
#[derive(Debug, Default)]
struct Equals {
    known: Vec<Known>,
    /// Until when a run that is no longer kept counts as one of them.
    crowded: Option<Instant>,
}

impl Equals {
    fn expire(&mut self, now: Instant) {
        self.known.retain(|k| is_younger(k.at, RUN_TTL, now));
        self.crowded = self.crowded.filter(|until| now < *until);
    }

    fn is_shared(&self) -> bool {
        self.known.len() > 1 || self.crowded.is_some()
    }
}

fn is_younger(at: Instant, age: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < age
}

/// How far the other instances have been told of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Telling {
    /// Some have not acknowledged it yet.
    Pending,
    /// Some can't be told.
    Failed,
    /// All know of it.
    Done,
}

/// From where the runs of other instances that began before this one are known.
#[derive(Clone, Copy, Debug, Default)]
struct Sources {
    /// Those that all instances stored.
    stored: bool,
    /// Those that a peer knew.
    fetched: bool,
    /// Those that a peer knew to which none was missing.
    whole: bool,
}

/// Known runs of all instances.
#[derive(Debug, Default)]
pub(crate) struct RunDirectory {
    contents: IndexMap<u128, Equals>,
    unsent: Vec<RunLocation>,
    /// Recorded runs that the other instances may not know yet.
    untold: IndexMap<RunId, Telling>,
    /// Notified when [`Self::untold`] changes.
    told: Arc<Notify>,
    /// Runs of this instance whose callers are being served.
    streaming: IndexSet<RunId>,
    /// Until when runs that are no longer kept may share any content.
    crowded: Option<Instant>,
    /// Notified when a second run with the same content becomes known.
    shared: Arc<Notify>,
    changed: bool,
    sources: Sources,
}

impl RunDirectory {
    /// Records a run of this instance, and queues it for the other instances.
    pub(crate) fn record(&mut self, location: RunLocation, now: Instant) {
        let equals = self.contents.get(&location.digest);
        let mut known = equals.into_iter().flat_map(|e| &e.known);
        if known.any(|k| k.location == location) {
            return;
        }
        self.unsent.push(location.clone());
        self.untold.insert(location.id, Telling::Pending);
        self.streaming.insert(location.id);
        self.place(location, Origin::Own, now);
    }

    /// Records another instance's run; `is_local` when that instance is in this failure domain.
    pub(crate) fn insert(&mut self, location: RunLocation, is_local: bool, now: Instant) {
        let origin = match is_local {
            true => Origin::Domain,
            false => Origin::Other,
        };
        self.place(location, origin, now);
    }

    fn place(&mut self, location: RunLocation, origin: Origin, now: Instant) {
        self.changed |= origin != Origin::Other;
        let digest = location.digest;
        let mut equals = self.contents.shift_remove(&digest).unwrap_or_default();
        equals.expire(now);
        let was_shared = equals.is_shared();
        let is_followed = |k: &Known| k.location.follows == Some(location.id);
        let is_outdated = equals.known.iter().any(is_followed);
        let is_replaced =
            |k: &Known| k.location.id == location.id || location.follows == Some(k.location.id);
        equals.known.retain(|k| !is_replaced(k));
        if !location.withdrawn && !is_outdated {
            equals.known.push(Known {
                location,
                at: now,
                origin,
            });
        }
        if equals.known.len() > EQUALS_MAX {
            let oldest = equals.known.remove(0);
            equals.crowded = equals.crowded.max(Some(oldest.at + RUN_TTL));
        }
        if !was_shared && equals.is_shared() {
            self.changed = true;
            self.shared.notify_one();
        }
        if equals.known.is_empty() && equals.crowded.is_none() {
            return;
        }
        if self.contents.len() >= CONTENTS_MAX {
            let (_, forgotten) = self.contents.shift_remove_index(0).unzip();
            let forgotten = forgotten.and_then(|f: Equals| f.known.last().map(|k| k.at + RUN_TTL));
            self.crowded = self.crowded.max(forgotten);
        }
        self.contents.insert(digest, equals);
    }

    /// Records a run that was stored, or known to a peer, unless a location of it is known, which is
    /// newer. The copy of one without an id is not used, as another run may have been stored in its
    /// place.
    pub(crate) fn recall(&mut self, location: RunLocation, now: Instant) {
        let equals = self.contents.get(&location.digest);
        let mut known = equals.into_iter().flat_map(|e| &e.known);
        let location = match location.id {
            RunId::UNKNOWN => location.stripped(),
            _ => location,
        };
        if !known.any(|k| k.location.id == location.id) {
            self.insert(location, false, now);
        }
    }

    /// Removes the copy of a run of this instance that has ended. The run stays known, as its
    /// caller may not have got the last events.
    pub(crate) fn end(&mut self, key: RunKey) {
        self.changed |= self.drop_copy(key.digest, key.id);
    }

    /// Withdraws a run of this instance whose caller got no event.
    pub(crate) fn withdraw(&mut self, key: RunKey, now: Instant) {
        let withdrawn = RunLocation {
            withdrawn: true,
            ..RunLocation::without_copy(key)
        };
        self.unsent.push(withdrawn.clone());
        self.place(withdrawn, Origin::Own, now);
    }

    /// Removes the copy of a run, which can be used once.
    pub(crate) fn take(&mut self, digest: u128, id: RunId) {
        self.drop_copy(digest, id);
    }

    /// Removes the copy of a run. Returns whether it is one of this failure domain.
    fn drop_copy(&mut self, digest: u128, id: RunId) -> bool {
        let equals = self.contents.get_mut(&digest);
        let mut known = equals.into_iter().flat_map(|e| &mut e.known);
        let Some(run) = known.find(|k| k.location.id == id) else {
            return false;
        };
        run.location = run.location.stripped();
        run.is_local()
    }

    /// What is known of the runs with one content. `is_alone` when there is no other instance.
    pub(crate) fn equals(&self, digest: u128, is_alone: bool, now: Instant) -> EqualRuns {
        let equals = self.contents.get(&digest);
        let crowded = equals.and_then(|e| e.crowded);
        let known = equals.into_iter().flat_map(|e| &e.known);
        let fresh = known.filter(|k| is_younger(k.at, RUN_TTL, now));
        EqualRuns {
            runs: fresh.map(|k| k.location.clone()).collect(),
            is_crowded: crowded.max(self.crowded).is_some_and(|until| now < until),
            is_whole: self.is_whole(is_alone),
        }
    }

    /// Whether the runs that began before this instance did are known.
    pub(crate) fn is_whole(&self, is_alone: bool) -> bool {
        let Sources {
            stored,
            fetched,
            whole,
        } = self.sources;
        whole || stored && (fetched || is_alone)
    }

    /// Records that all stored runs were read.
    pub(crate) fn set_stored(&mut self) {
        self.sources.stored = true;
    }

    /// Records that the runs that a peer knows were read, and whether none was missing to it.
    pub(crate) fn set_fetched(&mut self, is_whole: bool) {
        self.sources.fetched = true;
        self.sources.whole |= is_whole;
    }

    /// Records that runs of other instances are no longer reported to this one.
    pub(crate) fn set_unreported(&mut self) {
        self.sources.fetched = false;
        self.sources.whole = false;
    }

    /// All runs, for an instance that has just started.
    pub(crate) fn all(&self, now: Instant) -> Vec<RunLocation> {
        let known = self.contents.values().flat_map(|e| &e.known);
        let fresh = known.filter(|k| is_younger(k.at, RUN_TTL, now));
        fresh.map(|k| k.location.clone()).collect()
    }

    /// All runs of this instance, for another one that may have none of them.
    pub(crate) fn own(&self, now: Instant) -> Vec<RunLocation> {
        let known = self.contents.values().flat_map(|e| &e.known);
        let own = known.filter(|k| k.origin == Origin::Own && is_younger(k.at, RUN_TTL, now));
        own.map(|k| k.location.clone()).collect()
    }

    /// Runs of this failure domain, to be stored: those with a copy and, without theirs, those that
    /// share their content. `None` when nothing has changed since the last call, unless they are
    /// wanted `anyway`.
    pub(crate) fn take_changed(&mut self, now: Instant, anyway: bool) -> Option<Vec<RunLocation>> {
        if !std::mem::take(&mut self.changed) && !anyway {
            return None;
        }
        let mut stored = Vec::new();
        for equals in self.contents.values_mut() {
            equals.expire(now);
            let is_shared = equals.is_shared();
            let own = equals.known.iter();
            let own = own.filter(|k| k.is_local() && is_younger(k.at, STORE_TTL, now));
            stored.extend(own.filter_map(|k| match is_shared {
                true => Some(k.location.stripped()),
                false => k.location.copied.is_some().then(|| k.location.clone()),
            }));
        }
        Some(stored)
    }

    /// Records that the runs of the last [`Self::take_changed`] may not be stored.
    pub(crate) fn set_unstored(&mut self) {
        self.changed = true;
    }

    /// Whether there are runs that were not sent to other instances.
    pub(crate) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Takes the runs that were not sent to other instances.
    pub(crate) fn take_unsent(&mut self) -> Vec<RunLocation> {
        std::mem::take(&mut self.unsent)
    }

    /// Records that the other instances know of these runs.
    pub(crate) fn set_told(&mut self, runs: &[RunLocation]) {
        self.set_telling(runs, true);
    }

    /// Records whether the other instances know of these runs, or some could not be told.
    pub(crate) fn set_telling(&mut self, runs: &[RunLocation], are_told: bool) {
        for run in runs {
            match are_told {
                true => {
                    self.untold.swap_remove(&run.id);
                }
                false => {
                    let telling = self.untold.entry(run.id);
                    telling.and_modify(|telling| *telling = Telling::Failed);
                }
            }
        }
        if !runs.is_empty() {
            self.told.notify_waiters();
        }
    }

    /// Records that a stream of this instance is gone, with its caller.
    pub(crate) fn end_streaming(&mut self, id: RunId) {
        self.untold.swap_remove(&id);
        self.streaming.swap_remove(&id);
    }

    /// Whether this instance serves the caller of a run.
    pub(crate) fn is_streaming(&self, id: RunId) -> bool {
        self.streaming.contains(&id)
    }

    /// How far the other instances know of a run.
    pub(crate) fn telling(&self, id: RunId) -> Telling {
        self.untold.get(&id).copied().unwrap_or(Telling::Done)
    }

    /// Other known runs with the contents of these, without their copies.
    pub(crate) fn equal_to(&self, runs: &[RunLocation], now: Instant) -> Vec<RunLocation> {
        let others = runs.iter().flat_map(|run| {
            let equals = self.contents.get(&run.digest);
            let known = equals.into_iter().flat_map(|e| &e.known);
            let is_other = |k: &&Known| k.location.id != run.id;
            let others = known.filter(move |k| is_other(k) && is_younger(k.at, RUN_TTL, now));
            others.map(|k| k.location.stripped())
        });
        others.collect()
    }

    /// Whether several runs with this content are known, or may be.
    pub(crate) fn is_shared(&self, digest: u128, now: Instant) -> bool {
        let equals = self.contents.get(&digest);
        let crowded = equals.and_then(|e| e.crowded).max(self.crowded);
        let known = equals.into_iter().flat_map(|e| &e.known);
        let fresh = known.filter(|k| is_younger(k.at, RUN_TTL, now));
        fresh.count() > 1 || crowded.is_some_and(|until| now < until)
    }

    /// Notified when [`Self::telling`] changes for some run.
    pub(crate) fn told(&self) -> Arc<Notify> {
        Arc::clone(&self.told)
    }

    /// Notified when a second run with the same content becomes known.
    pub(crate) fn shared(&self) -> Arc<Notify> {
        Arc::clone(&self.shared)
    }
}
