//! The load of all instances as an aggregator of one failure domain knows it: an aggregate without
//! input or output. The load this answers: in a fleet of hundreds, words from each instance to all
//! others cost more than the requests that they are about. There an instance reports to one
//! aggregator, which answers with the sums of all others as far as they have changed.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::retries::Usage;
use crate::routing::{InflightCount, PeerReport, Work};

/// How long a report or a summary counts unless it is replaced.
const PART_LIFE: Duration = Duration::from_millis(2_500);

/// How long the sum of a target without load is kept for those that have not been told.
const ZERO_LIFE: Duration = Duration::from_secs(10);

/// What one instance reports, or the sum of what a failure domain's instances do.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Part {
    pub(crate) word: PeerReport,
    pub(crate) usage: Vec<Usage>,
    /// Instances that it speaks for.
    pub(crate) members: u32,
}

/// Whom a part is of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Origin {
    /// An instance that reports here.
    Member(SmolStr),
    /// Another aggregator.
    Aggregator(SmolStr),
}

/// State of one aggregator's sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Version {
    /// Drawn at the aggregator's start.
    epoch: u64,
    number: u64,
}

/// What an instance is told of all others.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct View {
    version: Version,
    /// Whether targets that are not named have no load.
    whole: bool,
    /// Targets whose load has changed; those without load have a count of 0.
    counts: Vec<InflightCount>,
    dead: Vec<SmolStr>,
    leaving: Vec<SmolStr>,
    pub(crate) usage: Vec<Usage>,
    /// Instances of the whole fleet that report.
    pub(crate) members: u32,
}

#[derive(Clone, Copy, Debug)]
struct Sum {
    count: u32,
    work: Work,
    /// Number of the version in which it changed.
    changed: u64,
    at: Instant,
}

/// Reports and summaries, and their sums by target.
#[derive(Debug)]
pub(crate) struct Aggregate {
    version: Version,
    /// Number of the newest version of which changes were forgotten.
    forgotten: u64,
    parts: IndexMap<Origin, (Part, Instant)>,
    sums: IndexMap<SmolStr, Sum>,
}

impl Aggregate {
    pub(crate) fn new(epoch: u64) -> Self {
        Self {
            version: Version { epoch, number: 0 },
            forgotten: 0,
            parts: IndexMap::new(),
            sums: IndexMap::new(),
        }
    }

    /// Takes a part in place of the earlier one of the same origin.
    pub(crate) fn take(&mut self, origin: Origin, part: Part, now: Instant) {
        self.replace(origin, Some(part), now);
    }

    /// Drops parts that were not replaced in time, and sums that are no longer of use.
    pub(crate) fn expire(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= PART_LIFE;
        let parts = self.parts.iter();
        let late: Vec<_> = parts
            .filter(|(_, (_, at))| old(*at))
            .map(|(origin, _)| origin.clone())
            .collect();
        for origin in late {
            self.replace(origin, None, now);
        }
        let forgotten = &mut self.forgotten;
        self.sums.retain(|_, sum| {
            let age = now.saturating_duration_since(sum.at);
            let kept = sum.count > 0 || sum.work != Work::default() || age < ZERO_LIFE;
            if !kept {
                *forgotten = (*forgotten).max(sum.changed);
            }
            kept
        });
    }

    /// Instances that report here.
    pub(crate) fn members(&self) -> usize {
        self.parts.keys().filter(|origin| is_member(origin)).count()
    }

    /// Whether instances other than `me` report here.
    pub(crate) fn is_used(&self, me: &str) -> bool {
        let other = |origin: &Origin| matches!(origin, Origin::Member(name) if name != me);
        self.parts.keys().any(other)
    }

    /// The sum of all that report here, for other aggregators.
    pub(crate) fn summary(&self) -> Part {
        let mut counts: IndexMap<SmolStr, InflightCount> = IndexMap::new();
        let mut summary = Part::default();
        let members = self.parts.iter().filter(|(origin, _)| is_member(origin));
        let parts: Vec<_> = members.map(|(_, (part, _))| part).collect();
        for count in parts.iter().flat_map(|p| &p.word.counts) {
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
        summary.word = PeerReport {
            counts: counts.into_values().collect(),
            dead: union(parts.iter().flat_map(|p| &p.word.dead)),
            leaving: union(parts.iter().flat_map(|p| &p.word.leaving)),
        };
        summary.usage = total(parts.iter().copied());
        summary.members = parts.iter().map(|p| p.members).sum();
        summary
    }

    /// What `reader`, which knows the version `have`, is told: the load of all but itself.
    pub(crate) fn view(&self, reader: &str, have: Version) -> View {
        let whole = have.epoch != self.version.epoch || have.number < self.forgotten;
        let own = Origin::Member(reader.into());
        let mine = self.parts.get(&own).map(|(part, _)| &part.word.counts);
        let mine = |target: &str| mine?.iter().find(|c| c.target == target);
        let changed = self.sums.iter();
        let changed = changed.filter(|(_, sum)| whole || sum.changed > have.number);
        let others = || {
            let others = self.parts.iter().filter(|(origin, _)| **origin != own);
            others.map(|(_, (part, _))| &part.word)
        };
        let parts = || self.parts.values().map(|(part, _)| part);
        View {
            version: self.version,
            whole,
            counts: changed
                .map(|(target, sum)| sum.without(target, mine(target)))
                .collect(),
            dead: union(others().flat_map(|w| &w.dead)),
            leaving: union(others().flat_map(|w| &w.leaving)),
            usage: total(parts()),
            members: parts().map(|p| p.members).sum(),
        }
    }

    fn replace(&mut self, origin: Origin, part: Option<Part>, now: Instant) {
        let new = part.as_ref().map(|p| p.word.counts.clone());
        let old = match part {
            Some(part) => self.parts.insert(origin, (part, now)),
            None => self.parts.swap_remove(&origin),
        };
        let old = old.map(|(part, _)| part.word.counts).unwrap_or_default();
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
            at: now,
        });
        sum.changed = self.version.number;
        sum.at = now;
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

    fn without(mut self, target: &SmolStr, mine: Option<&InflightCount>) -> InflightCount {
        if let Some(mine) = mine {
            self.subtract(mine);
        }
        InflightCount {
            target: target.clone(),
            count: self.count,
            work: self.work,
        }
    }
}

/// The load of all other instances as one of them was told.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    version: Version,
    counts: IndexMap<SmolStr, InflightCount>,
}

impl Seen {
    /// Version that is known.
    pub(crate) fn version(&self) -> Version {
        self.version
    }

    /// Takes what has changed, and returns the word of all others as it is now.
    pub(crate) fn apply(&mut self, view: View) -> PeerReport {
        if view.whole {
            self.counts.clear();
        }
        self.version = view.version;
        for count in view.counts {
            match count.count > 0 || count.work != Work::default() {
                true => self.counts.insert(count.target.clone(), count),
                false => self.counts.swap_remove(&count.target),
            };
        }
        PeerReport {
            counts: self.counts.values().cloned().collect(),
            dead: view.dead,
            leaving: view.leaving,
        }
    }
}

fn is_member(origin: &Origin) -> bool {
    matches!(origin, Origin::Member(_))
}

fn union<'a>(names: impl Iterator<Item = &'a SmolStr>) -> Vec<SmolStr> {
    let names: IndexSet<_> = names.collect();
    names.into_iter().cloned().collect()
}

fn total<'a>(parts: impl Iterator<Item = &'a Part>) -> Vec<Usage> {
    let mut sums: IndexMap<SmolStr, Usage> = IndexMap::new();
    for usage in parts.flat_map(|p| &p.usage) {
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
