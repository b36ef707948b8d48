//! Where an instance gets its configuration from: the platform, or peers that read it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::store::{Entry, Held, Store, Summary};
use crate::peer::on_duty;

/// Instances of a failure domain that watch the platform for the others.
const WATCHERS: usize = 2;

/// Age of the peers' knowledge from which an instance reads the platform itself.
const SILENCE: Duration = Duration::from_millis(2500);

/// What an instance tells its peers of its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// What it holds.
    pub summary: Summary,
    /// Whether nothing is missing in it.
    pub complete: bool,
    /// Milliseconds since the platform was read, by it or by one that told it; none when it does
    /// not know.
    pub age_ms: Option<u64>,
}

/// A message on configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// What the sender holds.
    Note(Note),
    /// News that the sender learnt itself.
    Push(Note, Vec<Entry>),
    /// Asks for what the sender lacks.
    Pull(Vec<Held>),
    /// Asks for the platform's instance list.
    List,
}

/// The answer to a [`Message`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Reply {
    /// What the answering instance holds.
    pub note: Note,
    /// What the asking instance lacks.
    pub entries: Vec<Entry>,
    /// The instance list as JSON text.
    pub list: Option<String>,
}

/// Decides who reads the platform, and keeps what peers have said.
#[derive(Debug, Default)]
pub struct Feed {
    read: Option<Instant>,
    told: Option<Instant>,
    peers: IndexMap<SmolStr, Summary>,
    known: IndexMap<(SmolStr, SmolStr), u64>,
}

impl Feed {
    /// Whether `me` is one of its domain's watchers. `alive` are its peers in that domain.
    #[must_use]
    pub fn is_watcher<'a>(me: &'a str, domain: &str, alive: impl Iterator<Item = &'a str>) -> bool {
        on_duty("config watch", domain, alive.chain([me]), WATCHERS).contains(&me)
    }

    /// Whether an instance that is no watcher must read by itself.
    #[must_use]
    pub fn is_starved(&self, now: Instant) -> bool {
        self.told
            .is_none_or(|told| now.saturating_duration_since(told) > SILENCE)
    }

    /// The platform answered this instance.
    pub fn read(&mut self, now: Instant) {
        self.read = Some(now);
    }

    /// A peer told what it holds.
    pub fn hear(&mut self, from: &str, note: Note, now: Instant) {
        self.peers.insert(from.into(), note.summary);
        let age = note.age_ms.map(Duration::from_millis);
        self.told = self.told.max(age.and_then(|age| now.checked_sub(age)));
    }

    /// What to tell peers.
    #[must_use]
    pub fn note(&self, store: &Store, now: Instant) -> Note {
        let read = self.read.max(self.told);
        let age = read.map(|read| now.saturating_duration_since(read));
        Note {
            summary: store.summary(),
            complete: store.complete(),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }

    /// Highest revision in force at a peer, as it last said.
    #[must_use]
    pub fn rev_of(&self, peer: &str) -> Option<u64> {
        self.peers.get(peer).map(|summary| summary.rev)
    }

    /// Marks objects that peers need not be told of.
    pub fn mark_known(&mut self, entries: &[Entry]) {
        for entry in entries {
            let id = (entry.kind.clone(), entry.name.clone());
            let rev = self.known.entry(id).or_default();
            *rev = entry.rev.max(*rev);
        }
    }

    /// The objects that peers need not be told of.
    #[must_use]
    pub fn known(&self) -> Vec<Held> {
        let held = |((kind, name), rev): (&(SmolStr, SmolStr), &u64)| Held {
            kind: kind.clone(),
            name: name.clone(),
            rev: *rev,
        };
        self.known.iter().map(held).collect()
    }
}
