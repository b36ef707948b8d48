//! What the instances have seen of both versions: cumulative counters that merge by origin.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::histogram::Histogram;

/// Routes counted apart; later ones share one name.
const ROUTES: usize = 16;

/// Name of the routes beyond the limit.
const OTHER: SmolStr = SmolStr::new_static("other");

/// Which version of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that the move leaves.
    Old,
    /// The version that the move goes to.
    New,
}

/// Load of the target when the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Band {
    /// Less than half of its slots in use.
    Low,
    /// Up to 85% of its slots in use.
    Medium,
    /// Nearly full or queueing.
    High,
}

impl Band {
    /// The band of a utilisation, where 1.0 is full.
    #[must_use]
    pub fn of(utilisation: f64) -> Self {
        match utilisation {
            u if u < 0.5 => Self::Low,
            u if u < 0.85 => Self::Medium,
            _ => Self::High,
        }
    }
}

/// One observation. A request gives at most one of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It was answered well.
    Answered,
    /// The target answered it with a failure. Not for caller errors, refusals for load, or a
    /// request suspected of killing targets.
    Failed,
    /// The target died under it. Once for each death, on the request's first death only, and
    /// not when the request is suspected of killing targets.
    Died,
    /// Time to the first token or the answer's head. A wait that is already too long may be
    /// reported once before it ends.
    First(Duration),
    /// Mean time between tokens. One a request, since gaps of one request depend on each other.
    Gap(Duration),
}

/// What a cell counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellKey {
    /// Version.
    pub side: Side,
    /// Route.
    pub route: SmolStr,
    /// Load.
    pub band: Band,
}

/// Counters of one version on one route at one load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Requests answered well.
    pub answered: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Deaths of targets.
    pub deaths: u64,
    /// Time to the first token.
    pub first: Histogram,
    /// Mean time between tokens.
    pub gap: Histogram,
}

impl Cell {
    pub(crate) fn record(&mut self, sample: Sample) {
        match sample {
            Sample::Answered => self.answered += 1,
            Sample::Failed => self.failed += 1,
            Sample::Died => self.deaths += 1,
            Sample::First(wait) => self.first.record(wait),
            Sample::Gap(gap) => self.gap.record(gap),
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.deaths += other.deaths;
        self.first.add(&other.first);
        self.gap.add(&other.gap);
    }

    fn since(&self, before: &Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(before.answered),
            failed: self.failed.saturating_sub(before.failed),
            deaths: self.deaths.saturating_sub(before.deaths),
            first: self.first.since(&before.first),
            gap: self.gap.since(&before.gap),
        }
    }
}

/// Cumulative evidence of one instance on one move, as instances exchange it. Receiving it twice
/// or out of order does no harm.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Id of the move.
    pub id: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Instance that counted.
    pub origin: SmolStr,
    /// Start of that instance, to tell its counters from those before a restart.
    pub epoch: u64,
    /// Grows with every snapshot of an epoch.
    pub seq: u64,
    /// Unix milliseconds at the origin.
    pub wall: u64,
    /// Why the origin sends no more work to the new version, if so.
    pub withdrawn: Option<SmolStr>,
    /// Cells that changed since an earlier snapshot, each with its whole count.
    pub cells: Vec<(CellKey, Cell)>,
}

/// Evidence of this instance.
#[derive(Debug, Default)]
pub(crate) struct Own {
    cells: IndexMap<CellKey, (u64, Cell)>,
    seq: u64,
}

impl Own {
    /// Counts a sample and returns the key that it went under.
    pub(crate) fn record(
        &mut self,
        side: Side,
        route: &str,
        band: Band,
        sample: Sample,
    ) -> CellKey {
        let mut key = CellKey {
            side,
            route: route.into(),
            band,
        };
        if !self.cells.contains_key(&key) && self.routes() >= ROUTES && !self.has_route(route) {
            key.route = OTHER;
        }
        let (seq, cell) = self.cells.entry(key.clone()).or_default();
        *seq = self.seq;
        cell.record(sample);
        key
    }

    /// Cells that changed at or after snapshot `since`, and the number of this snapshot.
    pub(crate) fn changed(&mut self, since: u64) -> (u64, Vec<(CellKey, Cell)>) {
        let cells = self.cells.iter().filter(|(_, (seq, _))| *seq >= since);
        let cells = cells.map(|(k, (_, c))| (k.clone(), c.clone())).collect();
        self.seq += 1;
        (self.seq, cells)
    }

    fn has_route(&self, route: &str) -> bool {
        self.cells.keys().any(|k| k.route == route)
    }

    fn routes(&self) -> usize {
        let names: std::collections::HashSet<_> = self.cells.keys().map(|k| &k.route).collect();
        names.len()
    }
}

/// Evidence of one other instance since one of its starts.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    seq: u64,
    cells: IndexMap<CellKey, Cell>,
}

impl Peer {
    /// Takes a snapshot in and returns what it adds; nothing when it is older than the last.
    pub(crate) fn merge(&mut self, snapshot: &Snapshot) -> Vec<(CellKey, Cell)> {
        if snapshot.seq <= self.seq {
            return Vec::new();
        }
        self.seq = snapshot.seq;
        let mut added = Vec::with_capacity(snapshot.cells.len());
        for (key, cell) in &snapshot.cells {
            let held = self.cells.entry(key.clone()).or_default();
            added.push((key.clone(), cell.since(held)));
            held.clone_from(cell);
        }
        added
    }
}
