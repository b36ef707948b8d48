//! Which parts the evidence shows to be deadly.
//!
//! A part is weighed by a likelihood ratio: how much better a part that crashes targets explains
//! what happened to its runs than targets that crash for reasons of their own. Crashes of other
//! targets at the same time, on which the part had not begun, make the latter more likely.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::evidence::{CrashRecord, Evidence, LOOKBACK, distance};
use super::{BEGIN_WINDOW, PartKey, Phase};

/// Crashes of other targets within this time of a crash point to another cause.
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// Time within which targets of a domain that is lost are found dead, if they refuse connections.
const LOSS_WINDOW: Duration = Duration::from_millis(100);

/// Time over which the rate of other crashes is taken.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Probability that a request which has just begun sees its target crash for another reason.
const CHANCE_BEGUN: f64 = 0.05;

/// The same for a request that waits, which it does for longer. A deadly one may crash its target
/// before anything of its answer arrives, so five such crashes must be enough.
const CHANCE_WAITING: f64 = 0.15;

/// Time for which a request waits for its first event.
const WAITING_TIME: Duration = Duration::from_secs(2);

/// Probabilities with which a deadly part may crash a target.
const DEADLY_CHANCES: [f64; 3] = [0.3, 0.6, 0.95];

/// Crashes from which a part explains what happened to the other requests at the same targets.
const EXPLAINING_MIN: usize = 3;

/// Weight by which two parts are told apart: less than one survival.
const WEIGHT_MARGIN: f64 = 0.3;

/// A part and the strength of the evidence against it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Culprit {
    /// Parts that the evidence does not tell apart. Requests with all of them are deadly.
    pub(super) parts: Vec<PartKey>,
    pub(super) crashes: usize,
    pub(super) survivals: usize,
}

/// What happened to the runs of a part.
#[derive(Clone, Debug, Default)]
struct PartStats {
    incidents: IndexSet<u32>,
    /// Time of the first crash.
    first: Option<Instant>,
    survivals: usize,
    /// Parts of one of its requests.
    request: Option<Vec<PartKey>>,
    /// Whether different requests hold the part.
    is_shared: bool,
}

impl PartStats {
    /// Whether it crashed at least two targets, and survived less often than `other`.
    fn is_worse_than(&self, other: &Self) -> bool {
        let (own, others) = (self.incidents.len(), other.incidents.len());
        own > 1 && self.survivals * others < other.survivals * own
    }
}

impl Evidence {
    /// Parts that the evidence shows to be deadly, the strongest first. With `settled` only
    /// confirmed crashes before that time count.
    pub(super) fn culprits(&self, settled: Option<Instant>, now: Instant) -> Vec<Culprit> {
        let counts = |c: &&CrashRecord| match settled {
            Some(settled) => c.confirmed && c.at <= settled,
            None => true,
        };
        let mut crashes: Vec<_> = self.crashes.iter().filter(counts).collect();
        let mut unexplained: Vec<_> = self.crashes.iter().collect();
        let mut culprits = Vec::new();
        while let Some((culprit, explained)) = self.strongest(&crashes, &unexplained, now) {
            crashes.retain(|c| !explained.contains(&c.incident));
            unexplained.retain(|c| !explained.contains(&c.incident));
            culprits.push(culprit);
        }
        culprits
    }

    /// The strongest culprit, and the incidents that it explains.
    fn strongest(
        &self,
        crashes: &[&CrashRecord],
        unexplained: &[&CrashRecord],
        now: Instant,
    ) -> Option<(Culprit, IndexSet<u32>)> {
        let stats = self.stats(crashes);
        let repeated = stats.iter().filter(|(_, s)| s.incidents.len() > 1);
        let weighed = repeated.filter_map(|(part, _)| {
            let (weight, incidents) = self.weigh(*part, crashes, unexplained, &stats, now)?;
            Some((*part, weight, incidents))
        });
        let weighed: Vec<_> = weighed.collect();
        let (part, weight, incidents) = weighed.iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        if *weight < self.threshold {
            return None;
        }
        // What all of its requests have in common, unless survivals tell it apart.
        let hit = crashes
            .iter()
            .filter(|c| incidents.contains(&c.incident) && c.crash.parts.contains(part));
        let hit: Vec<_> = hit.map(|c| &c.crash.parts).collect();
        let in_common = |other: &PartKey| {
            let as_strong = weighed
                .iter()
                .any(|(p, w, _)| p == other && *w >= weight - WEIGHT_MARGIN);
            as_strong && hit.iter().all(|parts| parts.contains(other))
        };
        let mut common: Vec<_> = hit.first()?.iter().copied().filter(in_common).collect();
        common.sort_unstable();
        let culprit = Culprit {
            parts: common,
            crashes: incidents.len(),
            survivals: stats.get(part)?.survivals,
        };
        Some((culprit, incidents.clone()))
    }

    fn stats(&self, crashes: &[&CrashRecord]) -> IndexMap<PartKey, PartStats> {
        let mut stats: IndexMap<PartKey, PartStats> = IndexMap::new();
        for record in crashes {
            let counts = |p: &&PartKey| self.cleared.get(*p).is_none_or(|at| *at < record.at);
            for part in record.crash.parts.iter().filter(counts) {
                let part = stats.entry(*part).or_default();
                part.incidents.insert(record.incident);
                part.first = Some(part.first.map_or(record.at, |first| first.min(record.at)));
                let is_other = |r: &Vec<PartKey>| *r != record.crash.parts;
                part.is_shared |= part.request.as_ref().is_some_and(is_other);
                part.request
                    .get_or_insert_with(|| record.crash.parts.clone());
            }
        }
        for (part, stats) in &mut stats {
            let survivals = stats.first.map(|at| self.survivals_since(*part, at));
            stats.survivals = survivals.unwrap_or_default();
        }
        stats
    }

    /// Logarithm of the likelihood ratio of a part, and the incidents that count against it.
    fn weigh(
        &self,
        part: PartKey,
        crashes: &[&CrashRecord],
        unexplained: &[&CrashRecord],
        stats: &IndexMap<PartKey, PartStats>,
        now: Instant,
    ) -> Option<(f64, IndexSet<u32>)> {
        let own_stats = stats.get(&part)?;
        // Another part that several requests share, and that survived less often.
        let explains = |other: &PartKey| {
            stats
                .get(other)
                .is_some_and(|o| o.is_shared && o.is_worse_than(own_stats))
        };
        let counts = |c: &&&CrashRecord| {
            c.crash.parts.contains(&part)
                && own_stats.incidents.contains(&c.incident)
                && !c.crash.parts.iter().any(explains)
        };
        let explained = self.explained_incidents(own_stats, crashes, stats);
        let own: Vec<_> = crashes
            .iter()
            .filter(counts)
            .filter(|c| !explained.contains(&c.incident))
            .collect();
        let begun = crashes.iter().filter(|c| c.crash.phase == Phase::Began);
        let begun: IndexSet<_> = begun.map(|c| c.incident).collect();
        let others = unexplained
            .iter()
            .filter(|c| !own_stats.incidents.contains(&c.incident));
        let others: IndexMap<_, _> = others.map(|c| (c.incident, c.at)).collect();
        let (begun_by_rate, waiting_by_rate) = (
            self.chance_by_rate(&others, BEGIN_WINDOW, now),
            self.chance_by_rate(&others, WAITING_TIME, now),
        );
        let mut chances: IndexMap<u32, f64> = IndexMap::new();
        let mut last_wait: Option<Instant> = None;
        let burst = match own_stats.survivals {
            0 => LOSS_WINDOW,
            _ => BURST_WINDOW,
        };
        for record in &own {
            let (chance, rate) = match record.crash.phase {
                Phase::Began => (CHANCE_BEGUN, begun_by_rate),
                // Requests with a common part wait at most of the targets that are lost together.
                Phase::Waiting if last_wait.is_some_and(|at| distance(at, record.at) < burst) => {
                    continue;
                }
                // A request that had just begun there explains the crash better.
                Phase::Running if begun.contains(&record.incident) => continue,
                Phase::Running => (CHANCE_BEGUN, begun_by_rate),
                Phase::Waiting => {
                    last_wait = Some(record.at);
                    (CHANCE_WAITING, waiting_by_rate)
                }
            };
            let near = others
                .values()
                .filter(|at| distance(**at, record.at) < BURST_WINDOW);
            let share = near.count() as f64 / self.targets as f64;
            let chance = chance.max(share).max(rate);
            let known = chances.entry(record.incident).or_insert(chance);
            *known = known.min(chance);
        }
        let survivals = own_stats.survivals as f64;
        let ratio = |deadly: f64| {
            let crashed = chances
                .values()
                .map(|chance| (deadly / chance).ln().max(0.0));
            let survived = ((1.0 - CHANCE_BEGUN) / (1.0 - deadly)).ln();
            crashed.sum::<f64>() - survivals * survived
        };
        let weight = DEADLY_CHANCES
            .into_iter()
            .map(ratio)
            .fold(f64::MIN, f64::max);
        Some((weight, chances.into_keys().collect()))
    }

    /// Incidents that hit a request with another part, which several requests share, was in many
    /// crashes and survived less often than the one with `own` statistics.
    fn explained_incidents(
        &self,
        own: &PartStats,
        crashes: &[&CrashRecord],
        stats: &IndexMap<PartKey, PartStats>,
    ) -> IndexSet<u32> {
        let explains = |part: &PartKey| {
            let other = stats.get(part).filter(|o| o.is_shared);
            other.is_some_and(|o| {
                let crashes = o.incidents.len();
                let is_frequent = crashes >= EXPLAINING_MIN && 2 * crashes >= own.incidents.len();
                is_frequent && o.is_worse_than(own)
            })
        };
        let explaining = crashes
            .iter()
            .filter(|c| c.crash.parts.iter().any(explains));
        explaining.map(|c| c.incident).collect()
    }

    /// Survivals of a part since shortly before its first crash.
    fn survivals_since(&self, part: PartKey, first: Instant) -> usize {
        let since = first.checked_sub(LOOKBACK).unwrap_or(first);
        let survivals = self.survivals.get(&part).into_iter().flatten();
        survivals.filter(|s| s.at >= since).count()
    }

    /// Probability that a request sees its target crash within `time`, by the rate of other crashes.
    fn chance_by_rate(&self, others: &IndexMap<u32, Instant>, time: Duration, now: Instant) -> f64 {
        let recent = others
            .values()
            .filter(|at| now.saturating_duration_since(**at) < RATE_WINDOW);
        let share = time.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        recent.count() as f64 / self.targets as f64 * share
    }
}
