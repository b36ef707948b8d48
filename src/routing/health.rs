//! Whether a target should get work, by this instance's own evidence and its peers' word.

use std::time::{Duration, Instant};

/// Time after which half of a suspicion is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// How long a target found dead gets nothing.
const DEAD_HOLD: Duration = Duration::from_secs(5);

/// How long a target that a peer found dead gets nothing.
const PEER_HOLD: Duration = Duration::from_secs(3);

/// How long a peer's word that a target leaves holds unless it is repeated.
const PEER_LEAVING: Duration = Duration::from_secs(10);

/// Evidence of life this fresh, own or a peer's, outweighs a peer's word of death.
const ALIVE_FRESH: Duration = Duration::from_secs(1);

/// Suspicion from which a target is avoided while there is another.
const SUSPECT: f64 = 0.5;

/// Most suspicion that repeated faults add up to.
const SUSPICION_MAX: f64 = 8.0;

/// What a target's health allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fitness {
    /// It gets work.
    Well,
    /// It gets one request at a time until it answers.
    Trial,
    /// It gets work only when no target is well.
    Doubtful,
    /// It gets nothing.
    Unfit,
}

/// Health of one target.
#[derive(Debug, Default)]
pub(crate) struct Health {
    listed_leaving: bool,
    told_leaving: Option<Instant>,
    peer_leaving: Option<Instant>,
    suspicion: f64,
    at: Option<Instant>,
    hold: Option<Instant>,
    own_dead: bool,
    alive: Option<Instant>,
    vouched: Option<Instant>,
}

impl Health {
    /// What the fleet's roster says about leaving.
    pub(crate) fn list_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// The target's own word that it leaves. The list may lag behind it.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.told_leaving = Some(now);
    }

    /// The target's own word, sampled at `at`, that it does not leave, as after a restart.
    pub(crate) fn stay(&mut self, at: Instant) {
        self.told_leaving = self.told_leaving.filter(|told| *told >= at);
    }

    /// A peer heard from the target that it leaves.
    pub(crate) fn peer_leave(&mut self, now: Instant) {
        self.peer_leaving = Some(now);
    }

    /// Whether the target itself told this instance that it leaves.
    pub(crate) fn told_leaving(&self) -> bool {
        self.told_leaving.is_some()
    }

    fn leaving(&self, now: Instant) -> bool {
        let peer = self.peer_leaving.is_some_and(|at| at + PEER_LEAVING > now);
        self.listed_leaving || self.told_leaving() || peer
    }

    /// A refused connection or a silent stream.
    pub(crate) fn suspect(&mut self, now: Instant) {
        self.suspicion = (self.level(now) + 1.0).min(SUSPICION_MAX);
        self.at = Some(now);
    }

    /// Found dead by this instance.
    pub(crate) fn dead(&mut self, now: Instant) {
        self.suspect(now);
        self.own_dead = true;
        self.hold = Some(now + DEAD_HOLD);
    }

    /// Found dead by a peer.
    pub(crate) fn peer_dead(&mut self, now: Instant) {
        let lives = self.alive.max(self.vouched);
        if lives.is_some_and(|at| at + ALIVE_FRESH > now) {
            return;
        }
        if !self.held(now) {
            self.suspect(now);
            self.hold = Some(now + PEER_HOLD);
        }
    }

    /// It answered a peer at `at`. That outweighs other peers' word of death, not own evidence.
    pub(crate) fn vouch(&mut self, at: Instant) {
        self.vouched = self.vouched.max(Some(at));
        let by_peers = self.hold.is_some() && !self.own_dead;
        if by_peers && self.at.is_some_and(|fault| fault < at) {
            self.hold = None;
            self.suspicion = 0.0;
        }
    }

    /// It answered something that was sent after `since`.
    pub(crate) fn alive(&mut self, since: Instant) {
        let faulted = self.at.is_some_and(|at| at > since);
        if faulted {
            return;
        }
        self.alive = Some(since);
        self.suspicion = 0.0;
        self.hold = None;
        self.own_dead = false;
    }

    /// When it last showed life; at the latest when it was listed.
    pub(crate) fn seen(&self, listed: Instant) -> Instant {
        let lives = self.alive.max(self.vouched);
        lives.map_or(listed, |at| at.max(listed))
    }

    /// Whether this instance's own evidence says that the target is dead.
    pub(crate) fn found_dead(&self, now: Instant) -> bool {
        self.own_dead && self.held(now)
    }

    pub(crate) fn fitness(&self, now: Instant) -> Fitness {
        match () {
            () if self.leaving(now) || self.held(now) => Fitness::Unfit,
            () if self.level(now) >= SUSPECT => Fitness::Doubtful,
            () if self.hold.is_some() => Fitness::Trial,
            () => Fitness::Well,
        }
    }

    /// Suspicion left at `now`.
    pub(crate) fn level(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.suspicion * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn held(&self, now: Instant) -> bool {
        self.hold.is_some_and(|until| until > now)
    }
}
