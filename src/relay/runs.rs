//! Which runs there are and where their copies lie, so that a caller who lost this instance, or
//! its connection, goes on at any other without the prompt being read again.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::dialect::Copied;

/// How long a run is remembered: longer than any lasts.
const MEMORY: Duration = Duration::from_secs(60);

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
}

impl Runs {
    /// Notes a run of this instance, to be told to others.
    pub(crate) fn note(&mut self, note: Note, now: Instant) {
        self.news.push(note.clone());
        self.hear(note, now);
    }

    /// Takes another instance's note.
    pub(crate) fn hear(&mut self, note: Note, now: Instant) {
        if self.known.len() >= RUNS_MAX {
            self.known.shift_remove_index(0);
        }
        self.known.shift_remove(&note.digest);
        self.known.insert(note.digest, (note, now));
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

    /// What others have not been told.
    pub(crate) fn news(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.news)
    }
}
