//! All running moves at one instance.

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;

use super::evidence::{Band, Sample, Snapshot};
use super::model::Move;
use super::trial::{Proposal, Surroundings, Trial};
use crate::config::View;
use crate::ident::RequestKey;

/// Snapshots between two that hold everything.
const WHOLE_EVERY: u64 = 10;

/// A change that this instance wants stored over a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    /// Service.
    pub service: SmolStr,
    /// Revision that the change is based on.
    pub rev: u64,
    /// The change.
    pub proposal: Proposal,
}

#[derive(Debug)]
struct Running {
    trial: Trial,
    sent: u64,
}

/// The moves that run, each under its own lock.
#[derive(Debug)]
pub struct Book {
    me: SmolStr,
    epoch: u64,
    moves: RwLock<IndexMap<SmolStr, Arc<Mutex<Running>>>>,
}

impl Book {
    /// No moves, at instance `me`, which started at `epoch`.
    #[must_use]
    pub fn new(me: SmolStr, epoch: u64) -> Self {
        Self {
            me,
            epoch,
            moves: RwLock::default(),
        }
    }

    /// Takes over the moves in force and returns those that have ended since the last call.
    pub fn sync(&self, view: &View, now: Instant) -> Vec<Move> {
        let mut ended = Vec::new();
        let mut moves = self.moves.write();
        moves.retain(|service, running| {
            let Some(stored) = view.moves.get(service) else {
                return false;
            };
            let mut running = running.lock();
            running.trial.observe(stored.rev, &stored.value, now);
            let over = running.trial.stored().phase.is_final();
            if over {
                ended.push(running.trial.stored().clone());
            }
            !over && running.trial.stored().id == stored.value.id
        });
        for (service, stored) in &view.moves {
            if stored.value.phase.is_final() || moves.contains_key(service) {
                continue;
            }
            let value = Move::clone(&stored.value);
            let trial = Trial::new(&self.me, self.epoch, stored.rev, value, now);
            let running = Running { trial, sent: 0 };
            moves.insert(service.clone(), Arc::new(Mutex::new(running)));
        }
        ended
    }

    /// The version that serves `key`, if a move of the service runs.
    #[must_use]
    pub fn version_for(&self, service: &str, key: RequestKey) -> Option<SmolStr> {
        self.with(service, |r| r.trial.version_for(key).clone())
    }

    /// Counts what happened to a request, if a move of the service runs.
    pub fn record(&self, service: &str, version: &str, route: &str, band: Band, sample: Sample) {
        self.with(service, |r| r.trial.record(version, route, band, sample));
    }

    /// Takes in a peer's snapshot. One of a move that is not known here is dropped; it comes
    /// again.
    pub fn hear(&self, snapshot: &Snapshot, now: Instant) {
        self.with(&snapshot.service, |r| r.trial.merge(snapshot, now));
    }

    /// What to send to peers: what changed since the last call, now and then everything.
    pub fn snapshots(&self, wall: u64) -> Vec<Snapshot> {
        let moves = self.moves.read();
        let take = |running: &Arc<Mutex<Running>>| {
            let mut running = running.lock();
            let whole = running.sent.is_multiple_of(WHOLE_EVERY);
            let since = if whole { 0 } else { running.sent };
            let snapshot = running.trial.snapshot(since, wall);
            running.sent = snapshot.seq;
            snapshot
        };
        moves.values().map(take).collect()
    }

    /// Tests all evidence and returns what should be stored.
    pub fn tick(&self, now: Instant, wall: u64, surroundings: &Surroundings) -> Vec<Wish> {
        let moves = self.moves.read();
        let wish = |(service, running): (&SmolStr, &Arc<Mutex<Running>>)| {
            let mut running = running.lock();
            let proposal = running.trial.tick(now, wall, surroundings)?;
            Some(Wish {
                service: service.clone(),
                rev: running.trial.rev(),
                proposal,
            })
        };
        moves.iter().filter_map(wish).collect()
    }

    fn with<T>(&self, service: &str, act: impl FnOnce(&mut Running) -> T) -> Option<T> {
        let running = self.moves.read().get(service).map(Arc::clone)?;
        Some(act(&mut running.lock()))
    }
}
