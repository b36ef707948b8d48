//! Requests that may crash the targets that run them.
//!
//! When a target crashes, every request that ran on it becomes a suspect. A request without a token
//! from that target is a strong suspect, because it had only just started there. A request is
//! quarantined after two crashes if it was a strong suspect in the latest one, and either in two of
//! them or without another strong suspect on the same target. After a first quarantine, one more
//! crash as a strong suspect is enough.
//!
//! Generations check it before each attempt. Instances report the crashes they observe to all
//! peers.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

/// Crashes of different targets after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Reports about one target within this time count as the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// How long a crash counts against a request that ran on the target.
const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// Maximum length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(3600);

/// How long a suspect's target is reserved for it.
const RESERVATION_TERM: Duration = Duration::from_secs(2);

/// Maximum suspects in memory.
const MAX_SUSPECTS: usize = 10_000;

/// Message to peers: a target crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the request's service and prompt.
    pub digest: u128,
    /// Name of the target.
    pub target: SmolStr,
    /// Whether the request had no token from the target yet.
    pub strong: bool,
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It is not a suspect.
    Clear,
    /// It may have crashed a target and must not share one with other suspects.
    Suspect,
    /// It must not run for this long.
    Quarantined(Duration),
}

#[derive(Clone, Debug)]
struct CrashRecord {
    target: SmolStr,
    strong: bool,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    crashes: Vec<CrashRecord>,
    quarantines: u32,
    until: Option<Instant>,
}

/// Requests suspected by this instance and its peers.
#[derive(Debug)]
pub struct Suspects {
    first_quarantine: Duration,
    records: IndexMap<u128, SuspectRecord>,
    reservations: IndexMap<SmolStr, (u128, Instant)>,
}

impl Suspects {
    /// Creates an empty set. `first_quarantine` is the length of a request's first quarantine; each
    /// further one doubles it.
    #[must_use]
    pub fn new(first_quarantine: Duration) -> Self {
        Self {
            first_quarantine,
            records: IndexMap::new(),
            reservations: IndexMap::new(),
        }
    }

    /// Records the crash of a target that ran a request.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) {
        self.evict_oldest();
        let record = self.records.entry(crash.digest).or_default();
        record
            .crashes
            .retain(|c| now.saturating_duration_since(c.at) < CRASH_RETENTION);
        let same = |c: &&mut CrashRecord| {
            c.target == crash.target && now.saturating_duration_since(c.at) < SAME_CRASH_WINDOW
        };
        match record.crashes.iter_mut().find(same) {
            Some(known) => known.strong |= crash.strong,
            None => record.crashes.push(CrashRecord {
                target: crash.target.clone(),
                strong: crash.strong,
                at: now,
            }),
        }
        if self.must_quarantine(crash.digest) {
            self.quarantine(crash.digest, now);
        }
    }

    /// Returns how a request may be run.
    pub fn status(&mut self, digest: u128, now: Instant) -> SuspectStatus {
        let Some(record) = self.records.get_mut(&digest) else {
            return SuspectStatus::Clear;
        };
        if let Some(until) = record.until {
            if until > now {
                return SuspectStatus::Quarantined(until - now);
            }
            record.until = None;
            record.crashes.clear();
        }
        let recent =
            |c: &CrashRecord| c.strong && now.saturating_duration_since(c.at) < CRASH_RETENTION;
        match record.quarantines > 0 || record.crashes.iter().any(recent) {
            true => SuspectStatus::Suspect,
            false => SuspectStatus::Clear,
        }
    }

    /// Clears a request that has generated enough tokens on one target.
    pub fn clear(&mut self, digest: u128) {
        if self.records.get(&digest).is_some_and(|c| c.until.is_none()) {
            self.records.swap_remove(&digest);
        }
        self.reservations.retain(|_, (owner, _)| *owner != digest);
    }

    /// Reserves a target for a suspect.
    pub fn isolate(&mut self, digest: u128, target: &SmolStr, now: Instant) {
        self.reservations
            .insert(target.clone(), (digest, now + RESERVATION_TERM));
    }

    /// Targets reserved for other suspects, which `digest` must not use.
    pub fn reserved(&mut self, digest: u128, now: Instant) -> Vec<SmolStr> {
        self.reservations.retain(|_, (_, until)| *until > now);
        let others = self
            .reservations
            .iter()
            .filter(|(_, (owner, _))| *owner != digest);
        others.map(|(target, _)| target.clone()).collect()
    }

    fn must_quarantine(&self, digest: u128) -> bool {
        let record = &self.records[&digest];
        let Some(last) = record.crashes.last() else {
            return false;
        };
        if record.until.is_some() || !last.strong {
            return false;
        }
        let strong = record.crashes.iter().filter(|c| c.strong).count();
        let enough = strong >= QUARANTINE_CRASHES || record.quarantines > 0;
        enough
            || (record.crashes.len() >= QUARANTINE_CRASHES && !self.has_other_suspect(digest, last))
    }

    /// Whether another strong suspect ran on the target when it crashed.
    fn has_other_suspect(&self, digest: u128, crash: &CrashRecord) -> bool {
        let same = |c: &CrashRecord| {
            c.strong && c.target == crash.target && distance(c.at, crash.at) < SAME_CRASH_WINDOW
        };
        let mut others = self.records.iter().filter(|(owner, _)| **owner != digest);
        others.any(|(_, record)| record.crashes.iter().any(same))
    }

    fn quarantine(&mut self, digest: u128, now: Instant) {
        let record = self
            .records
            .get_mut(&digest)
            .expect("the request has a record");
        let factor = 1_u32.checked_shl(record.quarantines).unwrap_or(u32::MAX);
        record.until = Some(
            now + self
                .first_quarantine
                .saturating_mul(factor)
                .min(MAX_QUARANTINE),
        );
        record.quarantines += 1;
        metrics::counter!("endivefork_generation_quarantines_total").increment(1);
    }

    fn evict_oldest(&mut self) {
        if self.records.len() >= MAX_SUSPECTS {
            self.records.shift_remove_index(0);
        }
    }
}

fn distance(a: Instant, b: Instant) -> Duration {
    match a > b {
        true => a - b,
        false => b - a,
    }
}
