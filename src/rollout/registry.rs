//! All active moves at one instance.
//!
//! Holds one evaluator for each service with an active move. The request path looks up versions
//! and records samples; the periodic task exchanges snapshots and collects changes to store.

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;

use super::evaluator::{ClusterState, Evaluator, Proposal};
use super::evidence::{Band, Sample, Snapshot};
use super::model::Move;
use crate::config::View;
use crate::ident::RequestKey;

/// One snapshot in this many holds all cells; the others hold only changed ones.
const FULL_SNAPSHOT_EVERY: u64 = 10;

/// A change to the stored move, conditional on its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedWrite {
    /// Service.
    pub service: SmolStr,
    /// Revision that the change is based on.
    pub rev: u64,
    /// The change.
    pub proposal: Proposal,
}

#[derive(Debug)]
struct ActiveMove {
    evaluator: Evaluator,
    last_seq: u64,
}

/// The active moves, each under its own lock.
#[derive(Debug)]
pub struct MoveRegistry {
    instance: SmolStr,
    epoch: u64,
    moves: RwLock<IndexMap<SmolStr, Arc<Mutex<ActiveMove>>>>,
}

impl MoveRegistry {
    /// An empty registry of the instance named `instance`; `epoch` identifies its current start.
    #[must_use]
    pub fn new(instance: SmolStr, epoch: u64) -> Self {
        Self {
            instance,
            epoch,
            moves: RwLock::default(),
        }
    }

    /// Applies the configured moves and returns those that have ended since the last call.
    pub fn sync(&self, view: &View, now: Instant) -> Vec<Move> {
        let mut ended = Vec::new();
        let mut moves = self.moves.write();
        moves.retain(|service, active| {
            let Some(stored) = view.moves.get(service) else {
                return false;
            };
            let mut active = active.lock();
            active.evaluator.observe(stored.rev, &stored.value, now);
            let is_final = active.evaluator.stored().phase.is_final();
            if is_final {
                ended.push(active.evaluator.stored().clone());
            }
            !is_final && active.evaluator.stored().id == stored.value.id
        });
        for (service, stored) in &view.moves {
            if stored.value.phase.is_final() || moves.contains_key(service) {
                continue;
            }
            let value = Move::clone(&stored.value);
            let evaluator = Evaluator::new(&self.instance, self.epoch, stored.rev, value, now);
            let active = ActiveMove {
                evaluator,
                last_seq: 0,
            };
            moves.insert(service.clone(), Arc::new(Mutex::new(active)));
        }
        ended
    }

    /// The version that serves `key`; `None` if the service has no active move.
    #[must_use]
    pub fn version_for(&self, service: &str, key: RequestKey) -> Option<SmolStr> {
        self.with(service, |m| m.evaluator.version_for(key).clone())
    }

    /// Counts a sample of a request if the service has an active move.
    pub fn record(&self, service: &str, version: &str, route: &str, band: Band, sample: Sample) {
        self.with(service, |m| {
            m.evaluator.record(version, route, band, sample);
        });
    }

    /// Merges a peer's snapshot. Snapshots of moves not yet known here are dropped; the peer's
    /// next full snapshot repeats their counts.
    pub fn merge(&self, snapshot: &Snapshot, now: Instant) {
        self.with(&snapshot.service, |m| m.evaluator.merge(snapshot, now));
    }

    /// Snapshots to send to peers: cells changed since the last call, periodically all cells.
    pub fn snapshots(&self, wall_ms: u64) -> Vec<Snapshot> {
        let moves = self.moves.read();
        let take = |active: &Arc<Mutex<ActiveMove>>| {
            let mut active = active.lock();
            let full = active.last_seq.is_multiple_of(FULL_SNAPSHOT_EVERY);
            let since = if full { 0 } else { active.last_seq };
            let snapshot = active.evaluator.snapshot(since, wall_ms);
            active.last_seq = snapshot.seq;
            snapshot
        };
        moves.values().map(take).collect()
    }

    /// Evaluates all moves and returns the changes to store.
    pub fn tick(&self, now: Instant, wall_ms: u64, cluster: &ClusterState) -> Vec<ProposedWrite> {
        let moves = self.moves.read();
        let propose = |(service, active): (&SmolStr, &Arc<Mutex<ActiveMove>>)| {
            let mut active = active.lock();
            let proposal = active.evaluator.tick(now, wall_ms, cluster)?;
            Some(ProposedWrite {
                service: service.clone(),
                rev: active.evaluator.rev(),
                proposal,
            })
        };
        moves.iter().filter_map(propose).collect()
    }

    fn with<T>(&self, service: &str, act: impl FnOnce(&mut ActiveMove) -> T) -> Option<T> {
        let active = self.moves.read().get(service).map(Arc::clone)?;
        Some(act(&mut active.lock()))
    }
}
