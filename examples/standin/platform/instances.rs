//! The instance list, which lags.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

/// Entries by name, each with its past.
#[derive(Debug, Default)]
pub struct Instances {
    rev: u64,
    entries: BTreeMap<String, Vec<Past>>,
}

#[derive(Debug)]
struct Past {
    at: Instant,
    rev: u64,
    entry: Option<Value>,
}

impl Instances {
    /// Sets or, without one, removes the entry of that name.
    pub fn set(&mut self, name: &str, entry: Option<Value>, now: Instant) {
        self.rev += 1;
        let past = Past {
            at: now,
            rev: self.rev,
            entry,
        };
        self.entries.entry(name.into()).or_default().push(past);
    }

    /// Revision and entries as they were at `at`.
    pub fn list(&self, at: Instant) -> (u64, Vec<Value>) {
        let seen = |pasts: &Vec<Past>| pasts.iter().rposition(|p| p.at <= at);
        let latest = self
            .entries
            .values()
            .filter_map(|pasts| seen(pasts).map(|i| &pasts[i]));
        let rev = latest.clone().map(|p| p.rev).max().unwrap_or(0);
        (rev, latest.filter_map(|p| p.entry.clone()).collect())
    }
}
