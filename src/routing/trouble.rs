//! Failure domains in which several targets were lost at once: the others there are doubted until
//! they show life, since what took some often took all.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::ident::TargetKey;

/// Losses within this time are taken for one event.
const TOGETHER: Duration = Duration::from_secs(1);

/// How long the others are doubted after the last loss: a crashed target is back, as a new one,
/// after little more than a second.
const DOUBT: Duration = Duration::from_millis(1500);

/// Different targets whose loss makes an event of the domain.
const SEVERAL: usize = 2;

/// Recent losses by failure domain.
#[derive(Debug, Default)]
pub(crate) struct Troubles {
    losses: IndexMap<SmolStr, Vec<(TargetKey, Instant)>>,
}

impl Troubles {
    /// A target was lost.
    pub(crate) fn lost(&mut self, domain: &SmolStr, key: TargetKey, now: Instant) {
        let losses = self.losses.entry(domain.clone()).or_default();
        losses.retain(|(k, at)| *k != key && now.saturating_duration_since(*at) < DOUBT);
        losses.push((key, now));
    }

    /// Since when a domain is in trouble, if it is.
    pub(crate) fn since(&self, domain: &str, now: Instant) -> Option<Instant> {
        let losses = self.losses.get(domain)?;
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < DOUBT;
        let last = losses.iter().map(|(_, at)| *at).max().filter(fresh)?;
        let together = losses.iter().map(|(_, at)| *at);
        let together = together.filter(|at| last.saturating_duration_since(*at) < TOGETHER);
        let (count, first) = together.fold((0, last), |(n, first), at| (n + 1, first.min(at)));
        (count >= SEVERAL).then_some(first)
    }
}
