//! Objects with their past, so that lagging reads can be shown.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::Value;

/// How long past values are kept for lagging reads.
const PAST: Duration = Duration::from_secs(60);

/// An object as it is shown.
#[derive(Clone, Debug, Serialize)]
pub struct Shown {
    pub kind: String,
    pub name: String,
    pub rev: u64,
    pub value: Value,
}

/// A change as a watch shows it.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    pub kind: String,
    pub name: String,
    pub rev: u64,
    pub value: Option<Value>,
    #[serde(skip)]
    at: Instant,
}

#[derive(Debug)]
struct Past {
    at: Instant,
    rev: u64,
    value: Option<Value>,
}

/// All objects under one revision counter.
#[derive(Debug, Default)]
pub struct Store {
    rev: u64,
    kinds: BTreeMap<String, BTreeMap<String, Vec<Past>>>,
    changes: VecDeque<Change>,
    dropped: u64,
    history: usize,
}

impl Store {
    pub fn new(history: usize) -> Self {
        Self {
            history,
            ..Self::default()
        }
    }

    /// The latest revision at `at`.
    pub fn rev(&self, at: Instant) -> u64 {
        let latest = self.changes.iter().rev().find(|c| c.at <= at);
        latest.map_or(self.dropped, |c| c.rev)
    }

    /// The object as it was at `at`.
    pub fn get(&self, kind: &str, name: &str, at: Instant) -> Option<Shown> {
        let pasts = self.kinds.get(kind)?.get(name)?;
        shown(kind, name, pasts, at)
    }

    /// Objects of a kind as they were at `at`, by name.
    pub fn list(
        &self,
        kind: &str,
        prefix: &str,
        after: &str,
        limit: usize,
        at: Instant,
    ) -> Vec<Shown> {
        let Some(names) = self.kinds.get(kind) else {
            return Vec::new();
        };
        names
            .range(prefix.max(after).to_owned()..)
            .take_while(|(name, _)| name.starts_with(prefix))
            .filter(|(name, _)| name.as_str() > after)
            .filter_map(|(name, pasts)| shown(kind, name, pasts, at))
            .take(limit)
            .collect()
    }

    /// Writes or, without a value, deletes when the object has revision `if_rev` (0: absent).
    /// Otherwise returns the present object.
    pub fn change(
        &mut self,
        kind: &str,
        name: &str,
        value: Option<Value>,
        if_rev: u64,
        now: Instant,
    ) -> Result<u64, Option<Box<Shown>>> {
        let present = self.get(kind, name, now);
        if present.as_ref().map_or(0, |o| o.rev) != if_rev {
            return Err(present.map(Box::new));
        }
        self.rev += 1;
        self.remember(kind, name, value, now);
        Ok(self.rev)
    }

    /// Changes of a kind after `from`; none when `from` is too old.
    pub fn since(&self, kind: &str, from: u64) -> Option<Vec<Change>> {
        if from < self.dropped {
            return None;
        }
        let newer = self.changes.iter().filter(|c| c.rev > from);
        Some(newer.filter(|c| c.kind == kind).cloned().collect())
    }

    fn remember(&mut self, kind: &str, name: &str, value: Option<Value>, now: Instant) {
        let rev = self.rev;
        self.changes.push_back(Change {
            kind: kind.into(),
            name: name.into(),
            rev,
            value: value.clone(),
            at: now,
        });
        while self.changes.len() > self.history {
            let oldest = self.changes.pop_front();
            self.dropped = oldest.map_or(self.dropped, |c| c.rev);
        }
        let names = self.kinds.entry(kind.into()).or_default();
        let pasts = names.entry(name.into()).or_default();
        let recent = pasts
            .iter()
            .rposition(|p| now.duration_since(p.at) > PAST)
            .unwrap_or(0);
        pasts.drain(..recent);
        pasts.push(Past {
            at: now,
            rev,
            value,
        });
    }
}

fn shown(kind: &str, name: &str, pasts: &[Past], at: Instant) -> Option<Shown> {
    let past = pasts.iter().rev().find(|p| p.at <= at)?;
    Some(Shown {
        kind: kind.into(),
        name: name.into(),
        rev: past.rev,
        value: past.value.clone()?,
    })
}
