//! Quarantines as they are stored on the platform, where they survive the loss of all instances.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::verdict::VerdictReport;
use super::{PartKey, to_millis};

/// A stored quarantine. Keys are text, since JSON numbers may not hold 64 bits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredQuarantine {
    parts: Vec<String>,
    version: u32,
    rounds: u32,
    passed: u32,
    lifted: bool,
    /// Rest of the quarantine when it was stored, in milliseconds.
    left_ms: u32,
}

impl StoredQuarantine {
    pub(super) fn of(report: VerdictReport) -> Self {
        let parts = report.parts.iter();
        Self {
            parts: parts.map(|PartKey(key)| format!("{key:016x}")).collect(),
            version: report.version,
            rounds: report.rounds,
            passed: report.passed,
            lifted: report.lifted,
            left_ms: report.left_ms,
        }
    }

    /// The quarantine `age` after it was stored; `None` if its parts can't be read.
    pub(super) fn report(&self, age: Duration) -> Option<VerdictReport> {
        let parts = self.parts.iter();
        let parts = parts.map(|key| u64::from_str_radix(key, 16).map(PartKey));
        Some(VerdictReport {
            parts: parts.collect::<Result<_, _>>().ok()?,
            version: self.version,
            rounds: self.rounds,
            passed: self.passed,
            lifted: self.lifted,
            left_ms: self.left_ms.saturating_sub(to_millis(age)),
        })
    }

    /// Whether both are the same state of a quarantine, with whatever rest of it.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.version == other.version && self.parts == other.parts
    }
}

impl super::Suspects {
    /// All quarantines, to be stored.
    pub(crate) fn stored(&self, now: Instant) -> Vec<StoredQuarantine> {
        self.verdicts
            .reports(now)
            .map(StoredQuarantine::of)
            .collect()
    }

    /// Applies a quarantine that was stored `age` ago. Returns whether it can be read.
    pub(crate) fn recall(
        &mut self,
        stored: &StoredQuarantine,
        age: Duration,
        now: Instant,
    ) -> bool {
        let report = stored.report(age);
        let is_readable = report.is_some();
        self.learn(
            report.map(super::Report::Verdict).into_iter().collect(),
            now,
        );
        is_readable
    }
}
