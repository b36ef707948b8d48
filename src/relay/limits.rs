//! Rate limits that targets state for the requests of all instances together. Pure state, without
//! I/O.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ident::TargetKey;
use crate::routing::ProbeTarget;

/// Time for which a target's answers must have stated no limit before the limit is lifted: an
/// answer that leaves it out need not take it back.
const LIFT_DELAY: Duration = Duration::from_secs(1);

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// `None` if it is no rate: negative, not finite, or too large to matter.
    #[must_use]
    pub fn per_second(requests: f64) -> Option<Self> {
        let thousandths = (requests * 1_000.0).round();
        let is_rate = (0.0..=f64::from(u32::MAX)).contains(&thousandths);
        is_rate.then_some(Self(thousandths as u32))
    }

    /// Requests per second.
    pub(crate) fn as_f64(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// What a request to a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// First attempt of a caller's request.
    First,
    /// Further attempt of a caller's request.
    Retry,
    /// Continues a stream.
    Resume,
    /// Health check or load report.
    Probe,
    /// Copies a run to another engine.
    Copy,
}

impl Purpose {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::Probe => "probe",
            Self::Copy => "copy",
        }
    }
}

/// Change of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitChange {
    Stated(Rate),
    Lifted,
}

/// The limit of one target.
#[derive(Debug)]
struct TargetLimit {
    rate: Rate,
    /// Since when its answers state no limit.
    unstated: Option<Instant>,
    /// Requests sent since the last summary.
    sent: u32,
}

/// The limits known to one instance.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    targets: IndexMap<TargetKey, TargetLimit>,
}

impl Limits {
    /// Applies what an answer of a target states.
    pub(crate) fn observe(
        &mut self,
        target: &ProbeTarget,
        stated: Option<Rate>,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.targets.get_mut(&target.key);
        match (stated, known) {
            (Some(rate), Some(known)) => {
                known.unstated = None;
                let old = std::mem::replace(&mut known.rate, rate);
                (old != rate).then_some(LimitChange::Stated(rate))
            }
            (Some(rate), None) => {
                let new = TargetLimit {
                    rate,
                    unstated: None,
                    sent: 0,
                };
                self.targets.insert(target.key, new);
                Some(LimitChange::Stated(rate))
            }
            (None, Some(known)) => {
                let since = *known.unstated.get_or_insert(now);
                let is_lifted = now.saturating_duration_since(since) >= LIFT_DELAY;
                is_lifted.then(|| {
                    self.targets.swap_remove(&target.key);
                    LimitChange::Lifted
                })
            }
            (None, None) => None,
        }
    }

    /// Counts a request to a target. Returns whether the target has a limit.
    pub(crate) fn record_sent(&mut self, key: TargetKey) -> bool {
        let known = self.targets.get_mut(&key);
        known.map(|t| t.sent += 1).is_some()
    }

    /// Requests sent to each limited target since the last call.
    pub(crate) fn take_sent(&mut self) -> Vec<(TargetKey, Rate, u32)> {
        let targets = self.targets.iter_mut();
        let sent = targets.map(|(key, t)| (*key, t.rate, std::mem::take(&mut t.sent)));
        sent.filter(|(_, _, sent)| *sent > 0).collect()
    }
}
