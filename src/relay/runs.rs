//! Which runs there are and where their copies lie, so that a caller who lost this instance, or
//! its connection, goes on at any other without the prompt being read again.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::dialect::Copied;

/// How long a run is remembered: longer than any lasts.
const MEMORY: Duration = Duration::from_secs(60);

/// How long a run stays among those that are stored: most have ended by then.
const STORED: Duration = Duration::from_secs(20);

/// Most runs remembered.
const RUNS_MAX: usize = 20_000;

/// A run's copy, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Note {
    /// Digest of the request's content: its path, account, prompt and body.
    pub(crate) digest: u128,
    /// Name of the engine that holds the copy; none when the run has no copy.
    pub(crate) engine: Option<SmolStr>,
    /// How the copy is asked for.
    pub(crate) copied: Option<Copied>,
}

/// Runs of all instances.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    known: IndexMap<u128, (Note, Instant)>,
    news: Vec<Note>,
    /// Runs of this failure domain.
    near: IndexSet<u128>,
    changed: bool,
}

impl Runs {
    /// Notes a run of this instance, to be told to others.
    pub(crate) fn note(&mut self, note: Note, now: Instant) {
        self.news.push(note.clone());
        self.hear(note, true, now);
    }

    /// Takes another instance's note; `near` when that is of this failure domain.
    pub(crate) fn hear(&mut self, note: Note, near: bool, now: Instant) {
        if near {
            self.near.insert(note.digest);
            self.changed = true;
        }
        let full = self.known.len() >= RUNS_MAX;
        let oldest = full.then(|| self.known.shift_remove_index(0)).flatten();
        if let Some((digest, _)) = oldest {
            self.near.swap_remove(&digest);
        }
        self.known.shift_remove(&note.digest);
        self.known.insert(note.digest, (note, now));
    }

    /// A run of this instance has ended.
    pub(crate) fn ended(&mut self, digest: u128) {
        self.known.shift_remove(&digest);
        self.changed |= self.near.swap_remove(&digest);
    }

    /// Where the copy of a run of this content lies. It can be used once.
    pub(crate) fn take(&mut self, digest: u128, now: Instant) -> Option<(SmolStr, Copied)> {
        let (note, at) = self.known.shift_remove(&digest)?;
        let fresh = now.saturating_duration_since(at) < MEMORY;
        Some((note.engine?, note.copied?)).filter(|_| fresh)
    }

    /// All runs, for an instance that starts.
    pub(crate) fn all(&self) -> Vec<Note> {
        self.known.values().map(|(note, _)| note.clone()).collect()
    }

    /// Runs of this failure domain, to be stored. `None` when nothing has changed since the last
    /// call.
    pub(crate) fn take_changed(&mut self, now: Instant) -> Option<Vec<Note>> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let near = &self.near;
        let fresh = |at: Instant| now.saturating_duration_since(at) < STORED;
        let mine = self.known.values();
        let mine = mine.filter(|(note, at)| near.contains(&note.digest) && fresh(*at));
        let mine = mine.filter(|(note, _)| note.copied.is_some());
        Some(mine.map(|(note, _)| note.clone()).collect())
    }

    /// Whether there is anything that others have not been told.
    pub(crate) fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// What others have not been told.
    pub(crate) fn news(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.news)
    }
}
