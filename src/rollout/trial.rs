//! The aggregate of one move at one instance: evidence in, verdicts out.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::detector::Detector;
use super::evidence::{Band, Cell, CellKey, Own, Peer, Sample, Side, Snapshot};
use super::histogram::{Histogram, PER_OCTAVE};
use super::model::{Move, Phase};
use super::reference::{Cut, Reference, SlowLimit};
use super::schedule::{self, Next};
use crate::ident::{RequestKey, rendezvous};

/// Evidence, as a natural logarithm, at which the new version is refuted: a chance of 1 in 500
/// over 128 streams.
const REFUTED: f64 = 11.07;

/// Evidence at which a move does not go on.
const SUSPICIOUS: f64 = 6.0;

/// Evidence at which a move waits for more, as long as there is time.
const DOUBTFUL: f64 = 2.5;

/// Fraction of the move's time from which standing suspicion takes it back.
const VERDICT_DUE: f64 = 0.97;

/// Tolerated rate of failures while the old version has shown nothing.
const UNKNOWN: f64 = 0.02;

/// Age at which a peer's evidence no longer counts as fresh.
const FRESH: Duration = Duration::from_secs(5);

/// How much later each further instance in the order of drivers acts.
const TURN: Duration = Duration::from_secs(2);

/// A test is kept for each of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Measure {
    Failure,
    Death,
    First(Cut),
    Gap(Cut),
}

/// A route and load, or all of them.
type Scope = (Option<SmolStr>, Option<Band>);

/// What the caller of [`Trial::tick`] has learnt from outside.
#[derive(Clone, Debug, Default)]
pub struct Surroundings {
    /// Names of the entry instances on the platform's list.
    pub live: Vec<SmolStr>,
    /// Whether the platform answered lately.
    pub platform: bool,
}

/// A change that this instance wants to have stored in place of the present value.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// Go on.
    Advance(Move),
    /// Take back.
    Withdraw(Move),
}

/// One move as seen by one instance.
#[derive(Debug)]
pub struct Trial {
    me: SmolStr,
    epoch: u64,
    stored: Move,
    rev: u64,
    began: Instant,
    changed: Instant,
    due: Option<Instant>,
    own: Own,
    peers: IndexMap<(SmolStr, u64), Peer>,
    heard: IndexMap<SmolStr, Heard>,
    pending: IndexMap<CellKey, Cell>,
    /// Durations of the new version that wait for something to be held against.
    unmatched: IndexMap<Scope, Cell>,
    references: IndexMap<Scope, Reference>,
    detectors: IndexMap<(Scope, Measure), Detector>,
    ended: u64,
    withdrawn: Option<SmolStr>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    wall: u64,
}

impl Trial {
    /// The move `stored` at revision `rev` as seen by instance `me`, which started at `epoch`.
    #[must_use]
    pub fn new(me: &str, epoch: u64, rev: u64, stored: Move, now: Instant) -> Self {
        Self {
            me: me.into(),
            epoch,
            stored,
            rev,
            began: now,
            changed: now,
            due: None,
            own: Own::default(),
            peers: IndexMap::new(),
            heard: IndexMap::new(),
            pending: IndexMap::new(),
            unmatched: IndexMap::new(),
            references: IndexMap::new(),
            detectors: IndexMap::new(),
            ended: 0,
            withdrawn: None,
        }
    }

    /// The stored move that is in force here.
    #[must_use]
    pub fn stored(&self) -> &Move {
        &self.stored
    }

    /// Revision of the stored move.
    #[must_use]
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Why this instance sends no more work to the new version, if so.
    #[must_use]
    pub fn withdrawn(&self) -> Option<&SmolStr> {
        match self.stored.phase {
            Phase::Withdrawn => Some(&self.stored.reason),
            Phase::Done => None,
            _ => self.withdrawn.as_ref(),
        }
    }

    /// The version that serves `key` here.
    #[must_use]
    pub fn version_for(&self, key: RequestKey) -> &SmolStr {
        match self.withdrawn() {
            Some(_) => &self.stored.from,
            None => self.stored.version_for(key),
        }
    }

    /// Takes over a newer stored value of the same move; older ones are ignored.
    pub fn observe(&mut self, rev: u64, stored: &Move, now: Instant) {
        let newer = rev > self.rev && stored.id == self.stored.id;
        if !newer || !stored.may_follow(&self.stored) {
            return;
        }
        if (stored.phase, stored.step) != (self.stored.phase, self.stored.step) {
            self.changed = now;
            self.ended = 0;
            self.due = None;
        }
        self.rev = rev;
        self.stored = stored.clone();
    }

    /// Counts what happened to a request on `version`; other versions are ignored.
    pub fn record(&mut self, version: &str, route: &str, band: Band, sample: Sample) {
        let side = match version {
            v if v == self.stored.to => Side::New,
            v if v == self.stored.from => Side::Old,
            _ => return,
        };
        let key = self.own.record(side, route, band, sample);
        self.pending.entry(key).or_default().record(sample);
    }

    /// What changed here since snapshot `since`; 0 for everything.
    pub fn snapshot(&mut self, since: u64, wall: u64) -> Snapshot {
        let (seq, cells) = self.own.changed(since);
        Snapshot {
            id: self.stored.id.clone(),
            service: self.stored.service.clone(),
            origin: self.me.clone(),
            epoch: self.epoch,
            seq,
            wall,
            withdrawn: self.withdrawn.clone(),
            cells,
        }
    }

    /// Takes in a peer's snapshot.
    pub fn merge(&mut self, snapshot: &Snapshot, now: Instant) {
        if snapshot.id != self.stored.id || snapshot.origin == self.me {
            return;
        }
        let heard = Heard {
            at: now,
            wall: snapshot.wall,
        };
        self.heard.insert(snapshot.origin.clone(), heard);
        let origin = (snapshot.origin.clone(), snapshot.epoch);
        let added = self.peers.entry(origin).or_default().merge(snapshot);
        for (key, cell) in added {
            self.pending.entry(key).or_default().add(&cell);
        }
        if let (None, Some(reason)) = (&self.withdrawn, &snapshot.withdrawn) {
            self.withdrawn = Some(reason.clone());
        }
    }

    /// Tests the evidence that came since the last call and says what should be stored. `wall` is
    /// this instance's clock in Unix milliseconds.
    pub fn tick(
        &mut self,
        now: Instant,
        wall: u64,
        surroundings: &Surroundings,
    ) -> Option<Proposal> {
        let wall = self.agreed_wall(now, wall);
        self.test_pending(now);
        if self.withdrawn.is_none() && !self.stored.phase.is_final() {
            self.withdrawn = self.verdict(wall);
        }
        match &self.withdrawn {
            _ if self.stored.phase.is_final() => None,
            Some(reason) => Some(Proposal::Withdraw(Move {
                phase: Phase::Withdrawn,
                changed: wall,
                reason: reason.clone(),
                ..self.stored.clone()
            })),
            None => self.advance(now, wall, surroundings).map(Proposal::Advance),
        }
    }

    /// Strongest evidence against the new version, as a natural logarithm.
    #[must_use]
    pub fn suspicion(&self) -> f64 {
        let all = self.detectors.values().map(Detector::ln_evidence);
        all.fold(f64::NEG_INFINITY, f64::max)
    }

    /// The middle of the clocks of this instance and its fresh peers, so that one wrong clock
    /// changes nothing.
    fn agreed_wall(&self, now: Instant, wall: u64) -> u64 {
        let fresh = self.heard.values().filter(|h| is_fresh(h, now));
        let mut walls: Vec<_> = fresh
            .map(|h| h.wall + (now - h.at).as_millis() as u64)
            .chain([wall])
            .collect();
        walls.sort_unstable();
        walls[walls.len() / 2]
    }

    fn test_pending(&mut self, now: Instant) {
        let at = (now - self.began).as_secs_f64();
        let mut tried = std::mem::take(&mut self.unmatched);
        for (key, cell) in std::mem::take(&mut self.pending) {
            for scope in scopes(&key) {
                match key.side {
                    Side::Old => self
                        .references
                        .entry(scope)
                        .or_insert_with(Reference::new)
                        .add(at, &cell),
                    Side::New => tried.entry(scope).or_default().add(&cell),
                }
            }
        }
        for (scope, cell) in tried {
            if scope == (None, None) {
                self.ended += cell.answered + cell.failed;
            }
            self.test(&scope, &cell, at);
        }
    }

    fn test(&mut self, scope: &Scope, cell: &Cell, at: f64) {
        let ended = cell.answered + cell.failed;
        let all = self.references.get(&(None, None));
        let usual = all.map_or(UNKNOWN, |r| r.failure_rate(at));
        let null = self
            .reference(scope)
            .map_or(UNKNOWN, |r| r.failure_null(at, usual));
        self.update(scope, Measure::Failure, at, ended, cell.failed as f64, null);
        if *scope == (None, None) {
            let null = self.reference(scope).map_or(UNKNOWN, |r| r.death_null(at));
            let all = ended + cell.deaths;
            self.update(scope, Measure::Death, at, all, cell.deaths as f64, null);
        }
        if scope.1.is_none() {
            return;
        }
        for cut in Cut::ALL {
            let limit = self.slow_limit(scope, |r| r.first_limit(at, cut));
            self.test_slow(scope, Measure::First(cut), at, &cell.first, limit);
            let limit = self.slow_limit(scope, |r| r.gap_limit(at, cut));
            self.test_slow(scope, Measure::Gap(cut), at, &cell.gap, limit);
        }
    }

    fn test_slow(
        &mut self,
        scope: &Scope,
        measure: Measure,
        at: f64,
        durations: &Histogram,
        limit: Option<SlowLimit>,
    ) {
        let all = durations.total();
        match limit {
            Some(limit) => {
                let bad = durations.tail_from(limit.edge);
                self.update(scope, measure, at, all, bad, limit.null);
                // A route that is slightly slow at every load shows sooner over all loads; each
                // load is still held against its own limit.
                if scope.0.is_some() {
                    let route = (scope.0.clone(), None);
                    self.update(&route, measure, at, all, bad, limit.null);
                }
            }
            // Every cut lacks its limit at the same time, so the durations are kept with one.
            None if all > 0 => match measure {
                Measure::First(Cut::Tail) => self.waiting(scope).first.add(durations),
                Measure::Gap(Cut::Tail) => self.waiting(scope).gap.add(durations),
                _ => {}
            },
            None => {}
        }
    }

    fn waiting(&mut self, scope: &Scope) -> &mut Cell {
        self.unmatched.entry(scope.clone()).or_default()
    }

    fn update(&mut self, scope: &Scope, measure: Measure, at: f64, all: u64, bad: f64, null: f64) {
        if all == 0 {
            return;
        }
        let whole = self
            .stored
            .finish_by
            .saturating_sub(self.stored.start)
            .max(1);
        let time = at * 1e3 / whole as f64;
        self.detectors
            .entry((scope.clone(), measure))
            .or_insert_with(|| Detector::new(time))
            .update(time, all, bad, null);
    }

    /// The old version's behaviour in the narrowest scope known around `scope`.
    fn reference(&self, scope: &Scope) -> Option<&Reference> {
        let wider = [
            scope.clone(),
            (None, scope.1),
            (scope.0.clone(), None),
            (None, None),
        ];
        wider.iter().find_map(|s| self.references.get(s))
    }

    /// Slowness is only held against the old version at the same load. Where that is unknown,
    /// the tolerated wait is doubled.
    fn slow_limit(
        &self,
        scope: &Scope,
        limit: impl Fn(&Reference) -> Option<SlowLimit>,
    ) -> Option<SlowLimit> {
        let at = |s: &Scope| self.references.get(s).and_then(&limit);
        let doubled = |l: SlowLimit| SlowLimit {
            edge: l.edge + PER_OCTAVE,
            ..l
        };
        at(scope).or_else(|| at(&(scope.0.clone(), None)).map(doubled))
    }

    fn verdict(&self, wall: u64) -> Option<SmolStr> {
        let worst = self
            .detectors
            .iter()
            .map(|(stream, d)| (d.ln_evidence(), stream))
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let late = schedule::passed(&self.stored, wall) >= VERDICT_DUE;
        match worst {
            Some((ln, stream)) if ln >= REFUTED => Some(reason(stream)),
            Some((ln, _)) if ln >= SUSPICIOUS && late => Some("not_shown_good_in_time".into()),
            _ => None,
        }
    }

    fn advance(&mut self, now: Instant, wall: u64, surroundings: &Surroundings) -> Option<Move> {
        let next = schedule::next(&self.stored)?;
        let stayed = (now - self.changed).as_secs_f64() * 1e3;
        let passed = schedule::passed(&self.stored, wall);
        let allowed = surroundings.platform
            && self.sees_majority(now, &surroundings.live)
            && self.suspicion() < SUSPICIOUS
            && schedule::is_due(&self.stored, next, passed, stayed, self.seen());
        if !allowed {
            self.due = None;
            return None;
        }
        let due = *self.due.get_or_insert(now);
        let turn = self.turn(now, &surroundings.live);
        (now >= due + TURN * turn).then(|| self.after(next, wall))
    }

    /// How much the new version has shown at this step; nothing while there is doubt.
    fn seen(&self) -> u64 {
        match self.suspicion() {
            doubt if doubt >= DOUBTFUL => 0,
            _ => self.ended,
        }
    }

    fn after(&self, next: Next, wall: u64) -> Move {
        let (phase, step, reason) = match next {
            Next::Step(step) => (Phase::Advancing, step, "no_worse_so_far"),
            Next::Watch => (Phase::Watching, self.stored.step, "largest_share_reached"),
            Next::Done => (Phase::Done, self.stored.step, "no_worse_than_before"),
        };
        Move {
            phase,
            step,
            changed: wall,
            reason: reason.into(),
            ..self.stored.clone()
        }
    }

    /// Whether this instance and the peers with fresh evidence are most of the live ones, so
    /// that a part that is cut off never advances.
    fn sees_majority(&self, now: Instant, live: &[SmolStr]) -> bool {
        let others = live.iter().filter(|name| **name != self.me).count();
        let fresh = self.fresh(now, live).count();
        2 * (fresh + 1) > others + 1
    }

    fn fresh<'a>(&'a self, now: Instant, live: &'a [SmolStr]) -> impl Iterator<Item = &'a SmolStr> {
        live.iter()
            .filter(|name| **name != self.me)
            .filter(move |name| self.heard.get(*name).is_some_and(|h| is_fresh(h, now)))
    }

    /// Place of this instance in the order in which instances drive the move.
    fn turn(&self, now: Instant, live: &[SmolStr]) -> u32 {
        let able = self.fresh(now, live).chain([&self.me]);
        let key = crate::ident::digest(&[&self.stored.id]);
        let order = rendezvous(key, able.map(SmolStr::as_str));
        let place = order.iter().position(|name| *name == self.me);
        place.unwrap_or(0) as u32
    }
}

fn is_fresh(heard: &Heard, now: Instant) -> bool {
    now.saturating_duration_since(heard.at) <= FRESH
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

fn reason(((route, band), measure): &(Scope, Measure)) -> SmolStr {
    let what = match measure {
        Measure::Failure => "fails",
        Measure::Death => "kills targets",
        Measure::First(_) => "slow first token",
        Measure::Gap(_) => "slow tokens",
    };
    let route = route.as_ref().map(|r| format!(" on route {r}"));
    let band = band.map(|b| format!(" at {} load", format!("{b:?}").to_lowercase()));
    format!(
        "{what}{}{}",
        route.unwrap_or_default(),
        band.unwrap_or_default()
    )
    .into()
}
