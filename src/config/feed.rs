//! Decides where an instance gets its configuration from: the platform, or peers that read it.
//!
//! A few instances of each failure domain watch the platform and push changes to the others, so
//! that the platform's load does not grow with the number of instances. Not on the path of a
//! request.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::store::{Entry, ObjectRevision, Store, Summary};
use crate::peer::elected;

/// Instances per failure domain that watch the platform on behalf of the others.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Age of the peers' last known platform read after which an instance reads the platform itself.
const MAX_PEER_READ_AGE: Duration = Duration::from_millis(2500);

/// The state of an instance's configuration, as it is sent to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Summary of its objects.
    pub summary: Summary,
    /// Whether every kind of object has been listed completely.
    pub complete: bool,
    /// Milliseconds since the platform was last read, by the sender or by a peer that reported to
    /// it; `None` when unknown.
    pub age_ms: Option<u64>,
}

/// A configuration message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// The state of the sender's configuration.
    Report(ConfigReport),
    /// Changes that the sender read from the platform itself.
    Push(ConfigReport, Vec<Entry>),
    /// Requests the objects that are newer than those the sender has.
    Pull(Vec<ObjectRevision>),
    /// Requests the platform's instance list.
    List,
}

/// The answer to a [`Message`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Reply {
    /// The state of the answering instance's configuration.
    pub report: ConfigReport,
    /// Objects that the requesting instance lacks.
    pub entries: Vec<Entry>,
    /// The instance list as JSON text.
    pub list: Option<String>,
}

/// Decides which instances read the platform, and stores the peers' last reports.
#[derive(Debug, Default)]
pub struct Feed {
    own_read: Option<Instant>,
    peer_read: Option<Instant>,
    peers: IndexMap<SmolStr, Summary>,
    known: IndexMap<(SmolStr, SmolStr), u64>,
}

impl Feed {
    /// Whether `me` is one of its domain's watchers. `alive` lists its live peers in that domain.
    #[must_use]
    pub fn is_watcher<'a>(me: &'a str, domain: &str, alive: impl Iterator<Item = &'a str>) -> bool {
        elected(
            "config watch",
            domain,
            alive.chain([me]),
            WATCHERS_PER_DOMAIN,
        )
        .contains(&me)
    }

    /// Whether an instance that is not a watcher must read the platform itself, because no peer
    /// has reported a recent read.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.peer_read
            .is_none_or(|read| now.saturating_duration_since(read) > MAX_PEER_READ_AGE)
    }

    /// Records a read of the platform that shows its state as of `at`.
    pub fn read(&mut self, at: Instant) {
        self.own_read = self.own_read.max(Some(at));
    }

    /// Records a peer's report.
    pub fn record_report(&mut self, from: &str, report: ConfigReport, now: Instant) {
        self.peers.insert(from.into(), report.summary);
        let age = report.age_ms.map(Duration::from_millis);
        self.peer_read = self.peer_read.max(age.and_then(|age| now.checked_sub(age)));
    }

    /// The report to send to peers.
    #[must_use]
    pub fn report(&self, store: &Store, now: Instant) -> ConfigReport {
        let read = self.own_read.max(self.peer_read);
        let age = read.map(|read| now.saturating_duration_since(read));
        ConfigReport {
            summary: store.summary(),
            complete: store.complete(),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }

    /// Highest revision in force at a peer, according to its last report.
    #[must_use]
    pub fn rev_of(&self, peer: &str) -> Option<u64> {
        self.peers.get(peer).map(|summary| summary.rev)
    }

    /// Marks objects that need not be sent to peers.
    pub fn mark_known(&mut self, entries: &[Entry]) {
        for entry in entries {
            let id = (entry.kind.clone(), entry.name.clone());
            let rev = self.known.entry(id).or_default();
            *rev = entry.rev.max(*rev);
        }
    }

    /// The objects that need not be sent to peers.
    #[must_use]
    pub fn known(&self) -> Vec<ObjectRevision> {
        let held = |((kind, name), rev): (&(SmolStr, SmolStr), &u64)| ObjectRevision {
            kind: kind.clone(),
            name: name.clone(),
            rev: *rev,
        };
        self.known.iter().map(held).collect()
    }
}
