//! Outcome counts of both versions of a move: cumulative counters, kept by the instance that
//! counted them and merged from snapshots that instances exchange.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::histogram::Histogram;

/// Most routes that are counted separately; further ones are counted under [`OTHER_ROUTE`].
const MAX_ROUTES: usize = 16;

/// Name under which routes beyond the limit are counted.
const OTHER_ROUTE: SmolStr = SmolStr::new_static("other");

/// Which version of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that traffic moves away from.
    Old,
    /// The version that traffic moves to.
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
    /// The request succeeded.
    Answered,
    /// The target answered with a failure. Not for caller errors, load shedding, or a request
    /// suspected of crashing targets.
    Failed,
    /// The target crashed or became unreachable while serving the request. Counted once for each
    /// loss of a target, only for the first target that the request loses, and not when the request
    /// is suspected of crashing targets.
    TargetLost,
    /// Time to the first token or the response head. A wait that already exceeds the limit may be
    /// reported once before it ends.
    FirstToken(Duration),
    /// Mean time between tokens. One for each request, since gaps within a request are correlated.
    TokenGap(Duration),
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
    /// Requests that succeeded.
    pub answered: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Targets that crashed or became unreachable.
    pub targets_lost: u64,
    /// Time to the first token.
    pub first_token: Histogram,
    /// Mean time between tokens.
    pub token_gap: Histogram,
}

impl Cell {
    pub(crate) fn record(&mut self, sample: Sample) {
        match sample {
            Sample::Answered => self.answered += 1,
            Sample::Failed => self.failed += 1,
            Sample::TargetLost => self.targets_lost += 1,
            Sample::FirstToken(wait) => self.first_token.record(wait),
            Sample::TokenGap(gap) => self.token_gap.record(gap),
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.targets_lost += other.targets_lost;
        self.first_token.add(&other.first_token);
        self.token_gap.add(&other.token_gap);
    }

    fn since(&self, before: &Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(before.answered),
            failed: self.failed.saturating_sub(before.failed),
            targets_lost: self.targets_lost.saturating_sub(before.targets_lost),
            first_token: self.first_token.since(&before.first_token),
            token_gap: self.token_gap.since(&before.token_gap),
        }
    }
}

/// Cumulative evidence of one instance on one move, as sent to peers. Merging is idempotent and
/// independent of the order of arrival.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Id of the move.
    pub id: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Instance that counted.
    pub origin: SmolStr,
    /// Start of that instance; separates its counters from those before a restart.
    pub epoch: u64,
    /// Increases with every snapshot of an epoch.
    pub seq: u64,
    /// Unix milliseconds at the origin.
    pub wall_ms: u64,
    /// Why the origin has stopped sending requests to the new version, if it has.
    pub withdrawn: Option<SmolStr>,
    /// Cells that changed since an earlier snapshot, each with its cumulative counts.
    pub cells: Vec<(CellKey, Cell)>,
}

/// Evidence counted by this instance.
#[derive(Debug, Default)]
pub(crate) struct LocalEvidence {
    cells: IndexMap<CellKey, (u64, Cell)>,
    seq: u64,
}

impl LocalEvidence {
    /// Counts a sample and returns the key that it was counted under.
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
        if !self.cells.contains_key(&key)
            && self.route_count() >= MAX_ROUTES
            && !self.has_route(route)
        {
            key.route = OTHER_ROUTE;
        }
        let (seq, cell) = self.cells.entry(key.clone()).or_default();
        *seq = self.seq;
        cell.record(sample);
        key
    }

    /// Sequence number of a new snapshot, and the cells that changed at or after snapshot `since`.
    pub(crate) fn changed_since(&mut self, since: u64) -> (u64, Vec<(CellKey, Cell)>) {
        let cells = self.cells.iter().filter(|(_, (seq, _))| *seq >= since);
        let cells = cells.map(|(k, (_, c))| (k.clone(), c.clone())).collect();
        self.seq += 1;
        (self.seq, cells)
    }

    fn has_route(&self, route: &str) -> bool {
        self.cells.keys().any(|k| k.route == route)
    }

    fn route_count(&self) -> usize {
        let names: std::collections::HashSet<_> = self.cells.keys().map(|k| &k.route).collect();
        names.len()
    }
}

/// Evidence received from one epoch of one peer.
#[derive(Debug, Default)]
pub(crate) struct PeerEvidence {
    seq: u64,
    cells: IndexMap<CellKey, Cell>,
}

impl PeerEvidence {
    /// Merges a snapshot and returns the counts it adds; none if it is older than the last one.
    pub(crate) fn merge(&mut self, snapshot: &Snapshot) -> Vec<(CellKey, Cell)> {
        if snapshot.seq <= self.seq {
            return Vec::new();
        }
        self.seq = snapshot.seq;
        let mut added = Vec::with_capacity(snapshot.cells.len());
        for (key, cell) in &snapshot.cells {
            let known = self.cells.entry(key.clone()).or_default();
            added.push((key.clone(), cell.since(known)));
            known.clone_from(cell);
        }
        added
    }
}
