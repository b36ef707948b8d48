//! Failure domains in which several targets were lost at about the same time.
//!
//! The other targets of such a domain are suspected until they show life, since a fault that takes
//! down some of them often takes down all.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::ident::TargetKey;

/// Losses within this time count as one outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(1);

/// How long an outage lasts after its last loss: a crashed target is back, as a new one, after
/// little more than a second.
const OUTAGE_TTL: Duration = Duration::from_millis(1500);

/// Number of different targets whose loss makes an outage of the domain.
const OUTAGE_MIN_TARGETS: usize = 2;

/// Recent losses of targets by failure domain.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    losses: IndexMap<SmolStr, Vec<(TargetKey, Instant)>>,
}

impl Outages {
    /// Records the loss of a target.
    pub(crate) fn record_loss(&mut self, domain: &SmolStr, key: TargetKey, now: Instant) {
        let losses = self.losses.entry(domain.clone()).or_default();
        losses.retain(|(k, at)| *k != key && now.saturating_duration_since(*at) < OUTAGE_TTL);
        losses.push((key, now));
    }

    /// Start of the current outage of a domain, if there is one.
    pub(crate) fn outage_start(&self, domain: &str, now: Instant) -> Option<Instant> {
        let losses = self.losses.get(domain)?;
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < OUTAGE_TTL;
        let last = losses.iter().map(|(_, at)| *at).max().filter(fresh)?;
        let grouped = losses.iter().map(|(_, at)| *at);
        let grouped = grouped.filter(|at| last.saturating_duration_since(*at) < OUTAGE_WINDOW);
        let (count, first) = grouped.fold((0, last), |(n, first), at| (n + 1, first.min(at)));
        (count >= OUTAGE_MIN_TARGETS).then_some(first)
    }
}
