//! A move of traffic, as the platform keeps it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ident::RequestKey;

/// Shares of requests that a move passes through.
pub const SHARES: [f64; 7] = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 0.9];

/// How far a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The share grows step by step.
    Advancing,
    /// The largest share is reached; the old version stays as the control group.
    Watching,
    /// All requests are on the new version.
    Done,
    /// All requests are back on the old version.
    Withdrawn,
}

impl Phase {
    /// Whether the move has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Withdrawn)
    }
}

/// A move of a service's traffic from one version to another. Kept under the service's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Names this move; a later move of the same service has another id.
    pub id: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Old version.
    pub from: SmolStr,
    /// New version.
    pub to: SmolStr,
    /// Unix milliseconds at which it began.
    pub start: u64,
    /// Unix milliseconds by which it must be done.
    pub finish_by: u64,
    /// Largest share of requests before it is done, in `0.0..=1.0`.
    pub max_share: f64,
    /// How far it is.
    pub phase: Phase,
    /// Index into [`SHARES`].
    pub step: u32,
    /// Unix milliseconds of the last change of phase or step.
    pub changed: u64,
    /// Why it is in this phase.
    pub reason: SmolStr,
    /// Names the write that stored this value, to recognise it after a lost answer.
    pub nonce: SmolStr,
}

impl Move {
    /// A move at its first step.
    #[must_use]
    pub fn new(
        id: &str,
        service: &str,
        from: &str,
        to: &str,
        start: u64,
        finish_by: u64,
        max_share: f64,
    ) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            from: from.into(),
            to: to.into(),
            start,
            finish_by,
            max_share,
            phase: Phase::Advancing,
            step: 0,
            changed: start,
            reason: "started".into(),
            nonce: id.into(),
        }
    }

    /// Share of requests on the new version, in `0.0..=1.0`.
    #[must_use]
    pub fn share(&self) -> f64 {
        match self.phase {
            Phase::Done => 1.0,
            Phase::Withdrawn => 0.0,
            Phase::Advancing | Phase::Watching => {
                let step = (self.step as usize).min(SHARES.len() - 1);
                SHARES[step].min(self.max_share)
            }
        }
    }

    /// The version that serves `key`. The same key never goes back from new to old while the
    /// share grows.
    #[must_use]
    pub fn version_for(&self, key: RequestKey) -> &SmolStr {
        if key.fraction() < self.share() {
            &self.to
        } else {
            &self.from
        }
    }

    /// Whether `self` may follow `old` in the platform: an ended move never runs again, a step
    /// never falls.
    #[must_use]
    pub fn may_follow(&self, old: &Self) -> bool {
        match (old.phase, self.phase) {
            _ if self.id != old.id => old.phase.is_final(),
            (Phase::Done | Phase::Withdrawn, next) => next == old.phase,
            (Phase::Watching, Phase::Advancing) => false,
            _ => self.step >= old.step,
        }
    }
}
