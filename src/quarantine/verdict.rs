//! Quarantines in force, and the trials that end them.
//!
//! When a quarantine is over, one request at a time may run. Each that crashes its target renews the
//! quarantine for twice as long; enough that survive lift it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{PartKey, to_millis};

/// Maximum length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(3600);

/// Time after which a trial without a result has failed to tell anything.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Trials that must survive before a quarantine is lifted. A part that crashes only some of its
/// targets would often pass a single one.
const TRIALS_PASSED: u32 = 3;

/// Quarantines kept; the one that ends first is dropped.
const VERDICTS_MAX: usize = 32;

/// Time after the end of a quarantine for which it still doubles the next one.
const MEMORY: Duration = Duration::from_secs(3600);

/// A quarantine, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VerdictReport {
    pub(super) parts: Vec<PartKey>,
    pub(super) version: u32,
    pub(super) rounds: u32,
    pub(super) passed: u32,
    pub(super) lifted: bool,
    pub(super) left_ms: u32,
}

/// A quarantine of requests that hold all of some parts.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    pub(super) parts: Vec<PartKey>,
    /// Counts the changes. Of two versions the higher one holds.
    version: u32,
    pub(super) rounds: u32,
    passed: u32,
    lifted: bool,
    pub(super) until: Instant,
}

impl Verdict {
    fn covers(&self, parts: &[PartKey]) -> bool {
        self.parts.iter().all(|p| parts.contains(p))
    }

    fn length(&self, first: Duration) -> Duration {
        let factor = 1_u32.checked_shl(self.rounds - 1).unwrap_or(u32::MAX);
        first.saturating_mul(factor).min(MAX_QUARANTINE)
    }

    fn renew(&mut self, first: Duration, now: Instant) {
        self.version += 1;
        self.rounds += 1;
        self.passed = 0;
        self.lifted = false;
        self.until = now + self.length(first);
    }
}

/// How a request stands to the quarantines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    Free,
    /// Quarantined for this long.
    Refused(Duration),
    /// The quarantine is over, and a trial may begin.
    Trial,
}

/// Quarantines known to one instance.
#[derive(Debug)]
pub(super) struct Verdicts {
    first: Duration,
    /// How long after the end of a quarantine this instance may begin a trial.
    pub(super) turn: Duration,
    all: Vec<Verdict>,
}

impl Verdicts {
    pub(super) fn new(first: Duration) -> Self {
        Self {
            first,
            turn: Duration::ZERO,
            all: Vec::new(),
        }
    }

    /// Quarantines requests with all of `parts`. Returns whether that is new.
    pub(super) fn add(&mut self, parts: &[PartKey], now: Instant) -> bool {
        let is_covered = |v: &Verdict| !v.lifted && v.covers(parts);
        if self.all.iter().any(is_covered) {
            return false;
        }
        let known = self.all.iter_mut().find(|v| v.parts == parts);
        match known {
            Some(lifted) => lifted.renew(self.first, now),
            None => self.insert(Verdict {
                parts: parts.to_vec(),
                version: 1,
                rounds: 1,
                passed: 0,
                lifted: false,
                until: now + self.first,
            }),
        }
        // Broader quarantines replace narrower ones.
        self.all.retain(|v| {
            v.lifted || v.parts.len() <= parts.len() || !parts.iter().all(|p| v.parts.contains(p))
        });
        true
    }

    fn insert(&mut self, verdict: Verdict) {
        self.all.push(verdict);
        if self.all.len() > VERDICTS_MAX {
            let ends = self.all.iter().enumerate().min_by_key(|(_, v)| v.until);
            let first = ends.map_or(0, |(n, _)| n);
            self.all.remove(first);
        }
    }

    pub(super) fn standing(&self, parts: &[PartKey], now: Instant) -> Standing {
        let mut standing = Standing::Free;
        for verdict in self.all.iter().filter(|v| !v.lifted && v.covers(parts)) {
            if now < verdict.until + self.turn {
                return Standing::Refused(verdict.until + self.turn - now);
            }
            standing = Standing::Trial;
        }
        standing
    }

    /// Begins a trial of the quarantines that cover a request.
    pub(super) fn begin_trial(&mut self, parts: &[PartKey], now: Instant) {
        for verdict in self.all.iter_mut().filter(|v| !v.lifted && v.covers(parts)) {
            verdict.version += 1;
            verdict.until = now + TRIAL_TIMEOUT;
        }
    }

    /// A request crashed its target at `at`. Renews the quarantines that it was a trial of.
    pub(super) fn record_crash(&mut self, parts: &[PartKey], at: Instant, trial: bool) {
        for verdict in self.all.iter_mut().filter(|v| !v.lifted && v.covers(parts)) {
            if trial || at >= verdict.until {
                verdict.renew(self.first, at);
            }
        }
    }

    /// A trial survived. Returns the parts of the quarantines that are lifted by it.
    pub(super) fn pass_trial(&mut self, parts: &[PartKey], now: Instant) -> Vec<PartKey> {
        let mut cleared = Vec::new();
        for verdict in self.all.iter_mut().filter(|v| !v.lifted && v.covers(parts)) {
            verdict.version += 1;
            verdict.passed += 1;
            verdict.until = now;
            if verdict.passed >= TRIALS_PASSED {
                verdict.lifted = true;
                cleared.extend(&verdict.parts);
            }
        }
        cleared
    }

    /// Lifts the quarantines of requests that hold just `parts`.
    pub(super) fn lift(&mut self, parts: &[PartKey], now: Instant) {
        for verdict in self.all.iter_mut().filter(|v| v.covers(parts)) {
            if now >= verdict.until {
                verdict.version += 1;
                verdict.lifted = true;
            }
        }
    }

    /// Whether a request is covered by a quarantine in force or by one that is over.
    pub(super) fn is_covered(&self, parts: &[PartKey]) -> bool {
        self.all.iter().any(|v| !v.lifted && v.covers(parts))
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.all
            .retain(|v| now.saturating_duration_since(v.until) < MEMORY);
    }

    /// Quarantines in force.
    pub(super) fn count(&self, now: Instant) -> usize {
        self.all
            .iter()
            .filter(|v| !v.lifted && v.until > now)
            .count()
    }

    pub(super) fn reports(&self, now: Instant) -> impl Iterator<Item = VerdictReport> {
        self.all.iter().map(move |v| VerdictReport {
            parts: v.parts.clone(),
            version: v.version,
            rounds: v.rounds,
            passed: v.passed,
            lifted: v.lifted,
            left_ms: to_millis(v.until.saturating_duration_since(now)),
        })
    }

    /// Applies another instance's quarantine. Returns its parts if requests are refused by it that
    /// were not before.
    pub(super) fn learn(&mut self, report: VerdictReport, now: Instant) -> Option<Vec<PartKey>> {
        let until = now + Duration::from_millis(report.left_ms.into());
        let known = self.all.iter_mut().find(|v| v.parts == report.parts);
        let learned = Verdict {
            parts: report.parts,
            version: report.version,
            rounds: report.rounds.max(1),
            passed: report.passed,
            lifted: report.lifted,
            until,
        };
        match known {
            Some(known) if known.version < learned.version => {
                *known = learned;
                None
            }
            Some(_) => None,
            None => {
                let parts = (!learned.lifted).then(|| learned.parts.clone());
                self.insert(learned);
                parts
            }
        }
    }
}
