//! Evaluation of one move at one instance.
//!
//! Collects local and received evidence, compares the new version with the baseline of the old one
//! by sequential tests, and proposes the next transition or the rollback.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::baseline::{Baseline, Quantile, SlowLimit};
use super::detector::Detector;
use super::evidence::{Band, Cell, CellKey, LocalEvidence, PeerEvidence, Sample, Side, Snapshot};
use super::histogram::{BUCKETS_PER_OCTAVE, Histogram};
use super::model::{Move, Phase};
use super::schedule::{self, Transition};
use crate::ident::{RequestKey, rendezvous};

/// Log evidence from which the move is rolled back. Over 128 streams of observations, the
/// probability of rolling back a good version is at most 1 in 500.
const ROLLBACK_EVIDENCE: f64 = 11.07;

/// Log evidence from which the move does not advance.
const HOLD_EVIDENCE: f64 = 6.0;

/// Log evidence from which completed requests do not count, so that each transition waits for its
/// latest time.
const DELAY_EVIDENCE: f64 = 2.5;

/// Fraction of the move's duration from which [`HOLD_EVIDENCE`] suffices to roll it back.
const FINAL_VERDICT_AT: f64 = 0.97;

/// Tolerated rate of failures or target losses while there is no baseline.
const DEFAULT_NULL: f64 = 0.02;

/// Age above which a peer's last snapshot is stale.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);

/// Delay for each rank in the order in which instances advance the move, so that the next one acts
/// if the one before it does not.
const DRIVER_DELAY: Duration = Duration::from_secs(2);

/// What a test observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Measure {
    Failure,
    TargetLoss,
    FirstToken(Quantile),
    TokenGap(Quantile),
}

/// A route and a load band; `None` stands for all.
type Scope = (Option<SmolStr>, Option<Band>);

/// State of the cluster that [`Evaluator::tick`] depends on.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// Names of the entry instances registered with the platform.
    pub live_instances: Vec<SmolStr>,
    /// Whether the platform has answered recently.
    pub platform_up: bool,
}

/// A new value of the stored move that this instance proposes.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// The next transition of the schedule.
    Advance(Move),
    /// The rollback.
    Withdraw(Move),
}

/// State of one move at one instance.
#[derive(Debug)]
pub struct Evaluator {
    instance: SmolStr,
    epoch: u64,
    stored: Move,
    rev: u64,
    started: Instant,
    changed_at: Instant,
    due_since: Option<Instant>,
    local: LocalEvidence,
    peers: IndexMap<(SmolStr, u64), PeerEvidence>,
    peer_clocks: IndexMap<SmolStr, PeerClock>,
    pending: IndexMap<CellKey, Cell>,
    /// Durations of the new version for which there is no baseline yet.
    unmatched: IndexMap<Scope, Cell>,
    baselines: IndexMap<Scope, Baseline>,
    detectors: IndexMap<(Scope, Measure), Detector>,
    completed: u64,
    withdrawn: Option<SmolStr>,
}

/// Wall clock of a peer at its last snapshot.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    received: Instant,
    wall_ms: u64,
}

impl Evaluator {
    /// An evaluation of the move `stored` at revision `rev` by the instance named `instance`;
    /// `epoch` identifies its current start.
    #[must_use]
    pub fn new(instance: &str, epoch: u64, rev: u64, stored: Move, now: Instant) -> Self {
        Self {
            instance: instance.into(),
            epoch,
            stored,
            rev,
            started: now,
            changed_at: now,
            due_since: None,
            local: LocalEvidence::default(),
            peers: IndexMap::new(),
            peer_clocks: IndexMap::new(),
            pending: IndexMap::new(),
            unmatched: IndexMap::new(),
            baselines: IndexMap::new(),
            detectors: IndexMap::new(),
            completed: 0,
            withdrawn: None,
        }
    }

    /// The stored move, as last observed here.
    #[must_use]
    pub fn stored(&self) -> &Move {
        &self.stored
    }

    /// Revision of the stored move.
    #[must_use]
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Why this instance has stopped sending requests to the new version, if it has.
    #[must_use]
    pub fn withdrawn(&self) -> Option<&SmolStr> {
        match self.stored.phase {
            Phase::Withdrawn => Some(&self.stored.reason),
            Phase::Done => None,
            _ => self.withdrawn.as_ref(),
        }
    }

    /// The version that serves `key`: the old one once the move is rolled back, even before the
    /// rollback is stored.
    #[must_use]
    pub fn version_for(&self, key: RequestKey) -> &SmolStr {
        match self.withdrawn() {
            Some(_) => &self.stored.from,
            None => self.stored.version_for(key),
        }
    }

    /// Applies a newer stored value of the same move; older ones are ignored.
    pub fn observe(&mut self, rev: u64, stored: &Move, now: Instant) {
        let newer = rev > self.rev && stored.id == self.stored.id;
        if !newer || !stored.may_follow(&self.stored) {
            return;
        }
        if (stored.phase, stored.step) != (self.stored.phase, self.stored.step) {
            self.changed_at = now;
            self.completed = 0;
            self.due_since = None;
        }
        self.rev = rev;
        self.stored = stored.clone();
    }

    /// Counts a sample of a request on `version`; versions not part of the move are ignored.
    pub fn record(&mut self, version: &str, route: &str, band: Band, sample: Sample) {
        let side = match version {
            v if v == self.stored.to => Side::New,
            v if v == self.stored.from => Side::Old,
            _ => return,
        };
        let key = self.local.record(side, route, band, sample);
        self.pending.entry(key).or_default().record(sample);
    }

    /// A snapshot of the local cells that changed since snapshot `since`; of all cells if it is 0.
    pub fn snapshot(&mut self, since: u64, wall_ms: u64) -> Snapshot {
        let (seq, cells) = self.local.changed_since(since);
        Snapshot {
            id: self.stored.id.clone(),
            service: self.stored.service.clone(),
            origin: self.instance.clone(),
            epoch: self.epoch,
            seq,
            wall_ms,
            withdrawn: self.withdrawn.clone(),
            cells,
        }
    }

    /// Merges a peer's snapshot.
    pub fn merge(&mut self, snapshot: &Snapshot, now: Instant) {
        if snapshot.id != self.stored.id || snapshot.origin == self.instance {
            return;
        }
        let clock = PeerClock {
            received: now,
            wall_ms: snapshot.wall_ms,
        };
        self.peer_clocks.insert(snapshot.origin.clone(), clock);
        let origin = (snapshot.origin.clone(), snapshot.epoch);
        let added = self.peers.entry(origin).or_default().merge(snapshot);
        for (key, cell) in added {
            self.pending.entry(key).or_default().add(&cell);
        }
        if let (None, Some(reason)) = (&self.withdrawn, &snapshot.withdrawn) {
            self.withdrawn = Some(reason.clone());
        }
    }

    /// Tests the evidence collected since the last call and proposes a new value of the stored
    /// move, if any. `wall_ms` is this instance's clock in Unix milliseconds.
    pub fn tick(&mut self, now: Instant, wall_ms: u64, cluster: &ClusterState) -> Option<Proposal> {
        let wall_ms = self.median_clock(now, wall_ms);
        self.test_pending(now);
        if self.withdrawn.is_none() && !self.stored.phase.is_final() {
            self.withdrawn = self.verdict(wall_ms);
        }
        match &self.withdrawn {
            _ if self.stored.phase.is_final() => None,
            Some(reason) => Some(Proposal::Withdraw(Move {
                phase: Phase::Withdrawn,
                changed: wall_ms,
                reason: reason.clone(),
                ..self.stored.clone()
            })),
            None => self.advance(now, wall_ms, cluster).map(Proposal::Advance),
        }
    }

    /// Strongest evidence against the new version, as a natural logarithm.
    #[must_use]
    pub fn max_ln_evidence(&self) -> f64 {
        let ln_evidence = self.detectors.values().map(Detector::ln_evidence);
        ln_evidence.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Median of the clocks of this instance and of peers with recent snapshots, so that one wrong
    /// clock does not affect the schedule.
    fn median_clock(&self, now: Instant, wall_ms: u64) -> u64 {
        let fresh = self.peer_clocks.values().filter(|c| is_fresh(c, now));
        let mut clocks: Vec<_> = fresh
            .map(|c| c.wall_ms + (now - c.received).as_millis() as u64)
            .chain([wall_ms])
            .collect();
        clocks.sort_unstable();
        clocks[clocks.len() / 2]
    }

    fn test_pending(&mut self, now: Instant) {
        let time_s = (now - self.started).as_secs_f64();
        let mut new_cells = std::mem::take(&mut self.unmatched);
        for (key, cell) in std::mem::take(&mut self.pending) {
            for scope in scopes(&key) {
                match key.side {
                    Side::Old => self
                        .baselines
                        .entry(scope)
                        .or_insert_with(Baseline::new)
                        .add(time_s, &cell),
                    Side::New => new_cells.entry(scope).or_default().add(&cell),
                }
            }
        }
        for (scope, cell) in new_cells {
            if scope == (None, None) {
                self.completed += cell.answered + cell.failed;
            }
            self.test(&scope, &cell, time_s);
        }
    }

    fn test(&mut self, scope: &Scope, cell: &Cell, time_s: f64) {
        let completed = cell.answered + cell.failed;
        let overall = self.baselines.get(&(None, None));
        let prior = overall.map_or(DEFAULT_NULL, |b| b.failure_rate(time_s));
        let null = self
            .baseline(scope)
            .map_or(DEFAULT_NULL, |b| b.failure_null(time_s, prior));
        self.update(
            scope,
            Measure::Failure,
            time_s,
            completed,
            cell.failed as f64,
            null,
        );
        if *scope == (None, None) {
            let null = self
                .baseline(scope)
                .map_or(DEFAULT_NULL, |b| b.loss_null(time_s));
            let total = completed + cell.targets_lost;
            self.update(
                scope,
                Measure::TargetLoss,
                time_s,
                total,
                cell.targets_lost as f64,
                null,
            );
        }
        if scope.1.is_none() {
            return;
        }
        for quantile in Quantile::ALL {
            let limit = self.slow_limit(scope, |b| b.first_token_limit(time_s, quantile));
            self.test_slow(
                scope,
                Measure::FirstToken(quantile),
                time_s,
                &cell.first_token,
                limit,
            );
            let limit = self.slow_limit(scope, |b| b.token_gap_limit(time_s, quantile));
            self.test_slow(
                scope,
                Measure::TokenGap(quantile),
                time_s,
                &cell.token_gap,
                limit,
            );
        }
    }

    fn test_slow(
        &mut self,
        scope: &Scope,
        measure: Measure,
        time_s: f64,
        durations: &Histogram,
        limit: Option<SlowLimit>,
    ) {
        let total = durations.total();
        match limit {
            Some(limit) => {
                let bad = durations.count_above(limit.edge);
                self.update(scope, measure, time_s, total, bad, limit.null);
                // A route that is slightly slow in every load band is detected sooner over all
                // bands together; each band is still compared with its own limit.
                if scope.0.is_some() {
                    let route = (scope.0.clone(), None);
                    self.update(&route, measure, time_s, total, bad, limit.null);
                }
            }
            // The limits of all quantiles are missing at the same time, so the durations are kept
            // for one of them only.
            None if total > 0 => match measure {
                Measure::FirstToken(Quantile::P95) => {
                    self.unmatched_cell(scope).first_token.add(durations);
                }
                Measure::TokenGap(Quantile::P95) => {
                    self.unmatched_cell(scope).token_gap.add(durations);
                }
                _ => {}
            },
            None => {}
        }
    }

    fn unmatched_cell(&mut self, scope: &Scope) -> &mut Cell {
        self.unmatched.entry(scope.clone()).or_default()
    }

    fn update(
        &mut self,
        scope: &Scope,
        measure: Measure,
        time_s: f64,
        total: u64,
        bad: f64,
        null: f64,
    ) {
        if total == 0 {
            return;
        }
        let duration_ms = self
            .stored
            .finish_by
            .saturating_sub(self.stored.start)
            .max(1);
        let time = time_s * 1e3 / duration_ms as f64;
        self.detectors
            .entry((scope.clone(), measure))
            .or_insert_with(|| Detector::new(time))
            .update(time, total, bad, null);
    }

    /// The baseline of `scope`, or else of the narrowest wider scope that has one.
    fn baseline(&self, scope: &Scope) -> Option<&Baseline> {
        let candidates = [
            scope.clone(),
            (None, scope.1),
            (scope.0.clone(), None),
            (None, None),
        ];
        candidates.iter().find_map(|s| self.baselines.get(s))
    }

    /// The limit for `scope` from the baseline in the same load band. Without one, twice the limit
    /// from all bands together.
    fn slow_limit(
        &self,
        scope: &Scope,
        limit: impl Fn(&Baseline) -> Option<SlowLimit>,
    ) -> Option<SlowLimit> {
        let limit_of = |s: &Scope| self.baselines.get(s).and_then(&limit);
        let doubled = |l: SlowLimit| SlowLimit {
            edge: l.edge + BUCKETS_PER_OCTAVE,
            ..l
        };
        limit_of(scope).or_else(|| limit_of(&(scope.0.clone(), None)).map(doubled))
    }

    fn verdict(&self, wall_ms: u64) -> Option<SmolStr> {
        let worst = self
            .detectors
            .iter()
            .map(|(stream, d)| (d.ln_evidence(), stream))
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let is_due = schedule::elapsed_fraction(&self.stored, wall_ms) >= FINAL_VERDICT_AT;
        match worst {
            Some((ln, stream)) if ln >= ROLLBACK_EVIDENCE => Some(rollback_reason(stream)),
            Some((ln, _)) if ln >= HOLD_EVIDENCE && is_due => Some("not_shown_good_in_time".into()),
            _ => None,
        }
    }

    fn advance(&mut self, now: Instant, wall_ms: u64, cluster: &ClusterState) -> Option<Move> {
        let next = schedule::next(&self.stored)?;
        let since_ms = (now - self.changed_at).as_secs_f64() * 1e3;
        let elapsed = schedule::elapsed_fraction(&self.stored, wall_ms);
        let allowed = cluster.platform_up
            && self.has_majority(now, &cluster.live_instances)
            && self.max_ln_evidence() < HOLD_EVIDENCE
            && schedule::is_due(
                &self.stored,
                next,
                elapsed,
                since_ms,
                self.completed_requests(),
            );
        if !allowed {
            self.due_since = None;
            return None;
        }
        let due_since = *self.due_since.get_or_insert(now);
        let rank = self.driver_rank(now, &cluster.live_instances);
        (now >= due_since + DRIVER_DELAY * rank).then(|| self.apply(next, wall_ms))
    }

    /// Requests completed by the new version at this step; 0 from [`DELAY_EVIDENCE`] on.
    fn completed_requests(&self) -> u64 {
        match self.max_ln_evidence() {
            ln if ln >= DELAY_EVIDENCE => 0,
            _ => self.completed,
        }
    }

    fn apply(&self, next: Transition, wall_ms: u64) -> Move {
        let (phase, step, reason) = match next {
            Transition::Step(step) => (Phase::Advancing, step, "no_worse_so_far"),
            Transition::Watch => (Phase::Watching, self.stored.step, "largest_share_reached"),
            Transition::Done => (Phase::Done, self.stored.step, "no_worse_than_before"),
        };
        Move {
            phase,
            step,
            changed: wall_ms,
            reason: reason.into(),
            ..self.stored.clone()
        }
    }

    /// Whether this instance and the peers with recent snapshots are a majority of the live
    /// instances. A minority partition never advances the move.
    fn has_majority(&self, now: Instant, live: &[SmolStr]) -> bool {
        let others = live.iter().filter(|name| **name != self.instance).count();
        let fresh = self.fresh_peers(now, live).count();
        2 * (fresh + 1) > others + 1
    }

    fn fresh_peers<'a>(
        &'a self,
        now: Instant,
        live: &'a [SmolStr],
    ) -> impl Iterator<Item = &'a SmolStr> {
        live.iter()
            .filter(|name| **name != self.instance)
            .filter(move |name| {
                self.peer_clocks
                    .get(*name)
                    .is_some_and(|c| is_fresh(c, now))
            })
    }

    /// Position of this instance in the order in which instances advance the move.
    fn driver_rank(&self, now: Instant, live: &[SmolStr]) -> u32 {
        let candidates = self.fresh_peers(now, live).chain([&self.instance]);
        let key = crate::ident::digest(&[&self.stored.id]);
        let order = rendezvous(key, candidates.map(SmolStr::as_str));
        let rank = order.iter().position(|name| *name == self.instance);
        rank.unwrap_or(0) as u32
    }
}

fn is_fresh(clock: &PeerClock, now: Instant) -> bool {
    now.saturating_duration_since(clock.received) <= MAX_SNAPSHOT_AGE
}

fn scopes(key: &CellKey) -> [Scope; 4] {
    let (route, band) = (Some(key.route.clone()), Some(key.band));
    [
        (route.clone(), band),
        (route, None),
        (None, band),
        (None, None),
    ]
}

fn rollback_reason(((route, band), measure): &(Scope, Measure)) -> SmolStr {
    let problem = match measure {
        Measure::Failure => "fails",
        Measure::TargetLoss => "kills targets",
        Measure::FirstToken(_) => "slow first token",
        Measure::TokenGap(_) => "slow tokens",
    };
    let route = route.as_ref().map(|r| format!(" on route {r}"));
    let band = band.map(|b| format!(" at {} load", format!("{b:?}").to_lowercase()));
    format!(
        "{problem}{}{}",
        route.unwrap_or_default(),
        band.unwrap_or_default()
    )
    .into()
}
