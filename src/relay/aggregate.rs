//! Load of all instances, as summed by the aggregator of one failure domain. Pure state, without
//! I/O.
//!
//! In a fleet of hundreds of instances, sending load reports from each instance to every other
//! costs more than serving the requests. Instead, an instance reports to one aggregator, which
//! replies with the sums over all other instances that have changed since the instance's last
//! report.

use std::hash::Hash;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::retries::Usage;
use crate::routing::{Departure, InflightCount, PeerReport, Work};

/// Lifetime of a report or summary that is not replaced.
const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// How long the zero sum of an idle target is kept, so that instances which still hold its old load
/// receive the change.
const IDLE_TTL: Duration = Duration::from_secs(10);

/// Load reported by one instance, or summed over the instances of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadSummary {
    pub(crate) report: PeerReport,
    pub(crate) usage: Vec<Usage>,
    /// Number of instances included.
    pub(crate) members: u32,
    /// Number of those whose usage covers a whole window.
    pub(crate) settled: u32,
}

/// Sender of a summary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Origin {
    /// An instance that reports to this aggregator.
    Member(SmolStr),
    /// Another aggregator.
    Aggregator(SmolStr),
}

/// Version of one aggregator's sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Version {
    /// Random, drawn when the aggregator starts.
    epoch: u64,
    number: u64,
}

/// Changes in the load of all other instances, sent in reply to a report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct LoadDelta {
    version: Version,
    /// Whether this is the full state: targets that are not listed have no load.
    full: bool,
    /// Targets whose load has changed; a count of 0 means that the target has become idle.
    counts: Vec<InflightCount>,
    dead: Vec<SmolStr>,
    leaving: Vec<Departure>,
    pub(crate) usage: Vec<Usage>,
    /// Number of reporting instances in the fleet.
    pub(crate) members: u32,
    /// Number of those whose usage covers a whole window.
    pub(crate) settled: u32,
}

#[derive(Clone, Copy, Debug)]
struct Sum {
    count: u32,
    work: Work,
    /// Version number of the last change.
    changed: u64,
    updated: Instant,
}

/// Latest reports and summaries, and their sums by target.
#[derive(Debug)]
pub(crate) struct Aggregate {
    version: Version,
    /// Highest version number among the sums that were dropped. Instances with an older version get
    /// the full state.
    compacted: u64,
    summaries: IndexMap<Origin, (LoadSummary, Instant)>,
    sums: IndexMap<SmolStr, Sum>,
}

impl Aggregate {
    pub(crate) fn new(epoch: u64) -> Self {
        Self {
            version: Version { epoch, number: 0 },
            compacted: 0,
            summaries: IndexMap::new(),
            sums: IndexMap::new(),
        }
    }

    /// Replaces the earlier summary of the same origin.
    pub(crate) fn update(&mut self, origin: Origin, summary: LoadSummary, now: Instant) {
        self.replace(origin, Some(summary), now);
    }

    /// Drops expired reports and summaries, and zero sums past their lifetime.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= REPORT_TTL;
        let summaries = self.summaries.iter();
        let expired: Vec<_> = summaries
            .filter(|(_, (_, at))| is_expired(*at))
            .map(|(origin, _)| origin.clone())
            .collect();
        for origin in expired {
            self.replace(origin, None, now);
        }
        let compacted = &mut self.compacted;
        self.sums.retain(|_, sum| {
            let age = now.saturating_duration_since(sum.updated);
            let keep = sum.count > 0 || sum.work != Work::default() || age < IDLE_TTL;
            if !keep {
                *compacted = (*compacted).max(sum.changed);
            }
            keep
        });
    }

    /// Number of instances that report to this aggregator.
    pub(crate) fn members(&self) -> usize {
        self.summaries
            .keys()
            .filter(|origin| is_member(origin))
            .count()
    }

    /// Whether instances other than `me` report to this aggregator.
    pub(crate) fn has_reporters(&self, me: &str) -> bool {
        let is_other = |origin: &Origin| matches!(origin, Origin::Member(name) if name != me);
        self.summaries.keys().any(is_other)
    }

    /// Sums the reports of this aggregator's instances, for other aggregators.
    pub(crate) fn summary(&self) -> LoadSummary {
        let mut counts: IndexMap<SmolStr, InflightCount> = IndexMap::new();
        let mut summary = LoadSummary::default();
        let members = self
            .summaries
            .iter()
            .filter(|(origin, _)| is_member(origin));
        let summaries: Vec<_> = members.map(|(_, (summary, _))| summary).collect();
        for count in summaries.iter().flat_map(|s| &s.report.counts) {
            let sum = counts
                .entry(count.target.clone())
                .or_insert_with(|| InflightCount {
                    target: count.target.clone(),
                    count: 0,
                    work: Work::default(),
                });
            sum.count += count.count;
            sum.work.add(count.work);
        }
        summary.report = PeerReport {
            counts: counts.into_values().collect(),
            dead: union(summaries.iter().flat_map(|s| &s.report.dead)),
            leaving: union(summaries.iter().flat_map(|s| &s.report.leaving)),
        };
        summary.usage = total_usage(summaries.iter().copied());
        summary.members = summaries.iter().map(|s| s.members).sum();
        summary.settled = summaries.iter().map(|s| s.settled).sum();
        summary
    }

    /// Changes since the version `known` in the load of all instances but `instance`.
    pub(crate) fn delta(&self, instance: &str, known: Version) -> LoadDelta {
        let full = known.epoch != self.version.epoch || known.number < self.compacted;
        let own_origin = Origin::Member(instance.into());
        let own_load = self
            .summaries
            .get(&own_origin)
            .map(|(summary, _)| &summary.report.counts);
        let own_load = |target: &str| own_load?.iter().find(|c| c.target == target);
        let changed = self.sums.iter();
        let changed = changed.filter(|(_, sum)| full || sum.changed > known.number);
        let others = || {
            let others = self
                .summaries
                .iter()
                .filter(|(origin, _)| **origin != own_origin);
            others.map(|(_, (summary, _))| &summary.report)
        };
        let summaries = || self.summaries.values().map(|(summary, _)| summary);
        LoadDelta {
            version: self.version,
            full,
            counts: changed
                .map(|(target, sum)| sum.without(target, own_load(target)))
                .collect(),
            dead: union(others().flat_map(|r| &r.dead)),
            leaving: union(others().flat_map(|r| &r.leaving)),
            usage: total_usage(summaries()),
            members: summaries().map(|s| s.members).sum(),
            settled: summaries().map(|s| s.settled).sum(),
        }
    }

    fn replace(&mut self, origin: Origin, summary: Option<LoadSummary>, now: Instant) {
        let new = summary.as_ref().map(|s| s.report.counts.clone());
        let old = match summary {
            Some(summary) => self.summaries.insert(origin, (summary, now)),
            None => self.summaries.swap_remove(&origin),
        };
        let old = old
            .map(|(summary, _)| summary.report.counts)
            .unwrap_or_default();
        let new = new.unwrap_or_default();
        if old == new {
            return;
        }
        self.version.number += 1;
        for count in &old {
            self.sum(&count.target, now).subtract(count);
        }
        for count in &new {
            self.sum(&count.target, now).add(count);
        }
    }

    fn sum(&mut self, target: &SmolStr, now: Instant) -> &mut Sum {
        let sum = self.sums.entry(target.clone()).or_insert(Sum {
            count: 0,
            work: Work::default(),
            changed: 0,
            updated: now,
        });
        sum.changed = self.version.number;
        sum.updated = now;
        sum
    }
}

impl Sum {
    fn add(&mut self, count: &InflightCount) {
        self.count += count.count;
        self.work.add(count.work);
    }

    fn subtract(&mut self, count: &InflightCount) {
        self.count = self.count.saturating_sub(count.count);
        self.work.remove(count.work);
    }

    fn without(mut self, target: &SmolStr, own_load: Option<&InflightCount>) -> InflightCount {
        if let Some(own_load) = own_load {
            self.subtract(own_load);
        }
        InflightCount {
            target: target.clone(),
            count: self.count,
            work: self.work,
        }
    }
}

/// An instance's copy of the load of all others, kept up to date from deltas.
#[derive(Debug, Default)]
pub(crate) struct LoadReplica {
    version: Version,
    counts: IndexMap<SmolStr, InflightCount>,
}

impl LoadReplica {
    /// Version of the last delta applied.
    pub(crate) fn version(&self) -> Version {
        self.version
    }

    /// Applies a delta and returns the resulting load of all other instances.
    pub(crate) fn apply(&mut self, delta: LoadDelta) -> PeerReport {
        if delta.full {
            self.counts.clear();
        }
        self.version = delta.version;
        for count in delta.counts {
            match count.count > 0 || count.work != Work::default() {
                true => self.counts.insert(count.target.clone(), count),
                false => self.counts.swap_remove(&count.target),
            };
        }
        PeerReport {
            counts: self.counts.values().cloned().collect(),
            dead: delta.dead,
            leaving: delta.leaving,
        }
    }
}

fn is_member(origin: &Origin) -> bool {
    matches!(origin, Origin::Member(_))
}

fn union<'a, T: Clone + Eq + Hash + 'a>(all: impl Iterator<Item = &'a T>) -> Vec<T> {
    let distinct: IndexSet<_> = all.collect();
    distinct.into_iter().cloned().collect()
}

fn total_usage<'a>(summaries: impl Iterator<Item = &'a LoadSummary>) -> Vec<Usage> {
    let mut sums: IndexMap<SmolStr, Usage> = IndexMap::new();
    for usage in summaries.flat_map(|s| &s.usage) {
        let sum = sums.entry(usage.service.clone()).or_insert_with(|| Usage {
            service: usage.service.clone(),
            requests: 0,
            retries: 0,
        });
        sum.requests += usage.requests;
        sum.retries += usage.retries;
    }
    sums.into_values().collect()
}
