//! Directory of runs in progress and the engines that hold copies of them. A caller that lost its
//! instance or its connection resumes at any other instance without the prompt being read again.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::dialect::CopyRef;

/// How long a run is kept: longer than any run lasts.
const RUN_TTL: Duration = Duration::from_secs(60);

/// How long a run is stored on the platform: most runs have ended by then.
const STORE_TTL: Duration = Duration::from_secs(20);

/// Maximum number of runs kept.
const RUNS_MAX: usize = 20_000;

/// Location of a run's copy, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunLocation {
    /// Digest of the request's content, and of what runs it.
    pub(crate) digest: u128,
    /// Engine that holds the copy; `None` when the run has no copy.
    pub(crate) engine: Option<SmolStr>,
    /// Address and handle by which the copy is requested.
    pub(crate) copied: Option<CopyRef>,
}

/// Known runs of all instances.
#[derive(Debug, Default)]
pub(crate) struct RunDirectory {
    runs: IndexMap<u128, (RunLocation, Instant)>,
    unsent: Vec<RunLocation>,
    /// Runs of this failure domain.
    local: IndexSet<u128>,
    changed: bool,
}

impl RunDirectory {
    /// Records a run of this instance, and queues it for the other instances.
    pub(crate) fn record(&mut self, location: RunLocation, now: Instant) {
        self.unsent.push(location.clone());
        self.insert(location, true, now);
    }

    /// Records another instance's run; `local` when that instance is in this failure domain.
    pub(crate) fn insert(&mut self, location: RunLocation, local: bool, now: Instant) {
        if local {
            self.local.insert(location.digest);
            self.changed = true;
        }
        let is_full = self.runs.len() >= RUNS_MAX;
        let oldest = is_full.then(|| self.runs.shift_remove_index(0)).flatten();
        if let Some((digest, _)) = oldest {
            self.local.swap_remove(&digest);
        }
        self.runs.shift_remove(&location.digest);
        self.runs.insert(location.digest, (location, now));
    }

    /// Records a stored run unless a location of it is known, which is newer.
    pub(crate) fn recall(&mut self, location: RunLocation, now: Instant) {
        if !self.runs.contains_key(&location.digest) {
            self.insert(location, false, now);
        }
    }

    /// Removes a run of this instance that has ended.
    pub(crate) fn remove(&mut self, digest: u128) {
        self.runs.shift_remove(&digest);
        self.changed |= self.local.swap_remove(&digest);
    }

    /// Removes and returns the location of a run's copy, which can be used once.
    pub(crate) fn take(&mut self, digest: u128, now: Instant) -> Option<(SmolStr, CopyRef)> {
        let (location, at) = self.runs.shift_remove(&digest)?;
        let is_fresh = now.saturating_duration_since(at) < RUN_TTL;
        Some((location.engine?, location.copied?)).filter(|_| is_fresh)
    }

    /// All runs, for an instance that has just started.
    pub(crate) fn all(&self) -> Vec<RunLocation> {
        self.runs
            .values()
            .map(|(location, _)| location.clone())
            .collect()
    }

    /// Runs of this failure domain, to be stored. `None` when nothing has changed since the last
    /// call, unless they are wanted `anyway`.
    pub(crate) fn take_changed(&mut self, now: Instant, anyway: bool) -> Option<Vec<RunLocation>> {
        if !std::mem::take(&mut self.changed) && !anyway {
            return None;
        }
        let local = &self.local;
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < STORE_TTL;
        let own = self.runs.values();
        let own = own.filter(|(location, at)| local.contains(&location.digest) && is_fresh(*at));
        let own = own.filter(|(location, _)| location.copied.is_some());
        Some(own.map(|(location, _)| location.clone()).collect())
    }

    /// Whether there are runs that were not sent to other instances.
    pub(crate) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Takes the runs that were not sent to other instances.
    pub(crate) fn take_unsent(&mut self) -> Vec<RunLocation> {
        std::mem::take(&mut self.unsent)
    }
}
