//! Availability of a target, from this instance's own observations and from peer reports.

use std::time::{Duration, Instant};

use super::outlier::{Outcomes, Standing};

/// Time in which a suspicion score decays by half.
const SUSPICION_HALF_LIFE: Duration = Duration::from_secs(2);

/// How long a target that this instance found dead gets no requests.
const DEAD_BLOCK: Duration = Duration::from_secs(5);

/// How long a target that a peer found dead gets no requests.
const PEER_DEAD_BLOCK: Duration = Duration::from_secs(3);

/// How long a peer's report that a target is leaving holds unless it is repeated.
const PEER_LEAVING_TTL: Duration = Duration::from_secs(10);

/// How long a peer's report holds that names the leaving start of a target: that one does not come
/// back.
const PEER_DEPARTURE_TTL: Duration = Duration::from_secs(300);

/// How long an instance reports such a departure to its peers: several reports.
pub(crate) const DEPARTURE_NEWS_TIME: Duration = Duration::from_millis(1500);

/// Age up to which evidence of life, own or a peer's, overrides a peer's report of death.
const ALIVE_TTL: Duration = Duration::from_secs(1);

/// Longest time for which a target gets no requests on its own word. One that wants none for longer
/// says so again.
const QUIET_MAX: Duration = Duration::from_secs(300);

/// Interval between two requests to a target that has asked for quiet and takes requests again.
pub(crate) const RETURN_INTERVAL: Duration = Duration::from_millis(50);

/// Time after its quiet until which the requests to a target keep that interval.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// Suspicion score from which a target is avoided while there is another.
const SUSPECT_SCORE: f64 = 0.5;

/// Upper bound of the suspicion score of repeated faults.
const SUSPICION_MAX: f64 = 8.0;

/// Which requests a target may get, by its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It gets requests.
    Healthy,
    /// It gets one request at a time until it answers.
    HalfOpen,
    /// It gets requests only when no target is healthy.
    Suspected,
    /// It gets no requests.
    Unavailable,
}

/// Time for which a target asked for no requests.
#[derive(Clone, Copy, Debug)]
struct Quiet {
    until: Instant,
    /// Earliest time of the next request after that.
    next: Instant,
    /// Whether the target has taken a request that was sent after that.
    is_over: bool,
}

impl Quiet {
    /// Whether the target takes requests as usual again.
    fn is_past(self, now: Instant) -> bool {
        self.is_over && now >= self.until + RETURN_TIME
    }
}

/// What a target said about the requests it takes, to this instance or a peer. It holds for one
/// incarnation of the target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Notices {
    leaving: Option<Instant>,
    /// Until when a peer's report holds that the target is leaving.
    peer_leaving: Option<Instant>,
    quiet: Option<Quiet>,
}

/// Health of one target.
#[derive(Debug, Default)]
pub(crate) struct Health {
    listed_leaving: bool,
    notices: Notices,
    suspicion: f64,
    last_fault: Option<Instant>,
    blocked_until: Option<Instant>,
    own_dead: bool,
    /// Whether others were silent too when this instance found it dead.
    cut_off: bool,
    last_alive: Option<Instant>,
    peer_alive: Option<Instant>,
    /// Outcomes of this instance's requests.
    pub(crate) outcomes: Outcomes,
}

impl Health {
    /// Sets whether the fleet's roster lists the target as leaving.
    pub(crate) fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// What the target said to this instance.
    pub(crate) fn notices(&self) -> Notices {
        self.notices
    }

    /// Restores what the target said to this instance before its entry was replaced.
    pub(crate) fn restore(&mut self, notices: Notices) {
        self.notices = notices;
    }

    /// The target said that it is leaving. The roster may lag behind this.
    pub(crate) fn mark_leaving(&mut self, now: Instant) {
        self.notices.leaving = Some(now);
    }

    /// The target asked for no requests of this instance during `time`. Answers may arrive in
    /// another order than they were sent, so the latest end holds.
    pub(crate) fn mark_quiet(&mut self, time: Duration, now: Instant) {
        let until = now + time.min(QUIET_MAX);
        let until = self.notices.quiet.map_or(until, |q| q.until.max(until));
        let next = self.notices.quiet.map_or(until, |q| q.next.max(until));
        self.notices.quiet = Some(Quiet {
            until,
            next,
            is_over: false,
        });
    }

    /// The target took a request sent at `since`.
    pub(crate) fn mark_taken(&mut self, since: Instant) {
        if let Some(quiet) = &mut self.notices.quiet {
            quiet.is_over |= since >= quiet.until;
        }
    }

    /// A request is sent to the target.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        match &mut self.notices.quiet {
            Some(quiet) if quiet.is_past(now) => {
                self.notices.quiet = None;
            }
            Some(quiet) => quiet.next = quiet.next.max(now + RETURN_INTERVAL),
            None => {}
        }
    }

    /// Whether the target has asked for no requests at `now`.
    pub(crate) fn is_quiet(&self, now: Instant) -> bool {
        self.notices.quiet.is_some_and(|q| q.until > now)
    }

    /// When a target that asked for quiet takes its next request; `None` if it has not asked, takes
    /// requests as usual again, or has another reason to get none.
    pub(crate) fn returns_at(&self, now: Instant) -> Option<Instant> {
        let returning = self.notices.quiet.filter(|q| !q.is_past(now));
        let returning = returning.filter(|_| !self.leaving(now) && !self.blocked(now));
        returning.map(|q| q.next)
    }

    /// The target reported that it was not leaving at `at`, as after a restart. A later report of
    /// leaving stays in force.
    pub(crate) fn clear_leaving(&mut self, at: Instant) {
        self.notices.leaving = self.notices.leaving.filter(|reported| *reported >= at);
    }

    /// A peer reported that the target is leaving; `named` if it named the target's present start.
    pub(crate) fn mark_peer_leaving(&mut self, named: bool, now: Instant) {
        let ttl = match named {
            true => PEER_DEPARTURE_TTL,
            false => PEER_LEAVING_TTL,
        };
        self.notices.peer_leaving = self.notices.peer_leaving.max(Some(now + ttl));
    }

    /// When the target first told this instance that it is leaving.
    pub(crate) fn leaving_since(&self) -> Option<Instant> {
        self.notices.leaving
    }

    /// Whether the target itself told this instance that it is leaving.
    pub(crate) fn reported_leaving(&self) -> bool {
        self.notices.leaving.is_some()
    }

    fn leaving(&self, now: Instant) -> bool {
        let peer = self.notices.peer_leaving.is_some_and(|until| until > now);
        self.listed_leaving || self.reported_leaving() || peer
    }

    /// Records a refused connection or a stream without events.
    pub(crate) fn mark_suspect(&mut self, now: Instant) {
        self.suspicion = (self.suspicion_score(now) + 1.0).min(SUSPICION_MAX);
        self.last_fault = Some(now);
    }

    /// Records that this instance found the target dead.
    pub(crate) fn mark_dead(&mut self, now: Instant) {
        self.mark_suspect(now);
        self.own_dead = true;
        self.cut_off = false;
        self.blocked_until = Some(now + DEAD_BLOCK);
    }

    /// Records that this instance can reach neither the target nor others. As this may be its own
    /// fault, it is no news for peers, and their evidence of life overrides it.
    pub(crate) fn mark_unreachable(&mut self, now: Instant) {
        self.mark_dead(now);
        self.cut_off = true;
    }

    /// Records that a peer found the target dead, unless there is fresh evidence of life.
    pub(crate) fn mark_peer_dead(&mut self, now: Instant) {
        let last_alive = self.last_alive.max(self.peer_alive);
        if last_alive.is_some_and(|at| at + ALIVE_TTL > now) {
            return;
        }
        if !self.blocked(now) {
            self.mark_suspect(now);
            self.blocked_until = Some(now + PEER_DEAD_BLOCK);
        }
    }

    /// A peer confirmed that the target answered at `at`. This overrides other peers' reports of
    /// death, but not this instance's own observations, unless it was cut off.
    pub(crate) fn confirm_alive(&mut self, at: Instant) {
        self.peer_alive = self.peer_alive.max(Some(at));
        let is_own = self.own_dead && !self.cut_off;
        let is_open = self.blocked_until.is_some() && !is_own;
        if is_open && self.last_fault.is_some_and(|fault| fault < at) {
            self.blocked_until = None;
            self.suspicion = 0.0;
            self.own_dead = false;
        }
    }

    /// The target answered a request sent at `since`. Ignored if a fault was recorded later.
    pub(crate) fn mark_alive(&mut self, since: Instant) {
        let faulted = self.last_fault.is_some_and(|at| at > since);
        if faulted {
            return;
        }
        self.last_alive = Some(since);
        self.suspicion = 0.0;
        self.blocked_until = None;
        self.own_dead = false;
    }

    /// When it last showed life to this instance or a peer.
    pub(crate) fn last_alive(&self) -> Option<Instant> {
        self.last_alive.max(self.peer_alive)
    }

    /// When it last showed life, or when it was `listed` if that is later.
    pub(crate) fn last_seen(&self, listed: Instant) -> Instant {
        self.last_alive().map_or(listed, |at| at.max(listed))
    }

    /// Whether this instance itself found the target dead and still blocks it.
    pub(crate) fn found_dead(&self, now: Instant) -> bool {
        self.own_dead && self.blocked(now)
    }

    /// Whether peers are to know that this instance found the target dead.
    pub(crate) fn is_news(&self, now: Instant) -> bool {
        self.found_dead(now) && !self.cut_off
    }

    /// Whether it gets no requests only because it was found dead.
    pub(crate) fn is_dead(&self, now: Instant) -> bool {
        self.blocked(now) && !self.leaving(now)
    }

    pub(crate) fn availability(&self, now: Instant) -> Availability {
        match () {
            () if self.leaving(now) || self.blocked(now) => Availability::Unavailable,
            () if self
                .notices
                .quiet
                .is_some_and(|q| q.next > now && !q.is_past(now)) =>
            {
                Availability::Unavailable
            }
            () if self.suspicion_score(now) >= SUSPECT_SCORE => Availability::Suspected,
            () if self.outcomes.standing(now) == Standing::Ejected => Availability::Suspected,
            () if self.outcomes.standing(now) == Standing::Trial => Availability::HalfOpen,
            () if self.blocked_until.is_some() => Availability::HalfOpen,
            () if self.notices.quiet.is_some_and(|q| !q.is_over) => Availability::HalfOpen,
            () => Availability::Healthy,
        }
    }

    /// Suspicion score at `now`, after decay.
    pub(crate) fn suspicion_score(&self, now: Instant) -> f64 {
        let Some(at) = self.last_fault else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.suspicion * (-age / SUSPICION_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }
}
