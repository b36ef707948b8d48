//! A move of traffic between versions, as stored by the platform.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ident::RequestKey;

/// Shares of requests on the new version, one for each step of a move.
pub const SHARES: [f64; 7] = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 0.9];

/// Phase of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The share of the new version grows step by step.
    Advancing,
    /// The largest share is reached; the rest stays on the old version as the control group.
    Watching,
    /// All requests are on the new version.
    Done,
    /// Rolled back: all requests are on the old version again.
    Withdrawn,
}

impl Phase {
    /// Whether the move has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Withdrawn)
    }
}

/// A move of a service's traffic from one version to another, stored under the service's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Identifies this move among all moves of the service.
    pub id: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Old version.
    pub from: SmolStr,
    /// New version.
    pub to: SmolStr,
    /// Unix milliseconds at which it started.
    pub start: u64,
    /// Deadline in Unix milliseconds.
    pub finish_by: u64,
    /// Largest share of requests on the new version before the move is done, in `0.0..=1.0`.
    pub max_share: f64,
    /// Current phase.
    pub phase: Phase,
    /// Index into [`SHARES`].
    pub step: u32,
    /// Unix milliseconds of the last change of phase or step.
    pub changed: u64,
    /// Reason for the last change of phase or step.
    pub reason: SmolStr,
    /// Identifies the write that stored this value, to recognise it after a lost response.
    pub nonce: SmolStr,
}

impl Move {
    /// A move at its first step, with the given start and deadline in Unix milliseconds.
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

    /// The version that serves `key`. While the share grows, a key never changes from the new
    /// version back to the old one.
    #[must_use]
    pub fn version_for(&self, key: RequestKey) -> &SmolStr {
        if key.fraction() < self.share() {
            &self.to
        } else {
            &self.from
        }
    }

    /// Whether `self` may replace `old` on the platform: an ended move never restarts, and the step
    /// never decreases.
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
