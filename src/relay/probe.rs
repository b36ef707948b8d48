//! Probes silent targets by opening a TCP connection, which a dead one does not answer.
//!
//! This instance may itself be cut off, behind a full link or kept from running. So a silence is
//! believed only while targets of other failure domains answer and the timers are on time.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::hearing::Hearing;
use super::record::DecisionLog;
use super::round_trips::RoundTrips;
use crate::connect::within;
use crate::ident::TargetKey;
use crate::routing::{ProbeTarget, Router};

/// Delay of the second connection attempt, since one SYN packet may be lost.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Interval between two checks whether dead targets have returned: a fraction of the second or two
/// in which they start.
const REVIVAL_INTERVAL: Duration = Duration::from_millis(250);

/// Dead targets that are checked together, so that those of a large service do not fill a connection
/// table at once.
const REVIVAL_COUNT: usize = 16;

/// Other failure domains that are asked whether this instance hears anybody. The round trip to the
/// nearest of them may not be known yet, so there are enough for most fleets.
const WITNESS_DOMAINS: usize = 8;

/// Longest time for which a silence is not believed because the witnesses are silent too. The
/// queue of a full link empties sooner.
const DOUBT_MAX: Duration = Duration::from_millis(400);

/// Lateness of a timer from which this process was kept from running.
const TIMER_SLACK: Duration = Duration::from_millis(15);

/// What this instance heard of others during a probe.
#[derive(Clone, Copy, Debug)]
enum Heard {
    /// A witness answered, which should take no longer than this.
    Answer(Duration),
    /// No witness answered.
    Nobody,
    /// There is none to ask.
    NoWitness,
}

/// Probes in progress, and measured round trips by failure domain.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    in_progress: Mutex<IndexMap<TargetKey, Instant>>,
    round_trips: Mutex<RoundTrips>,
    hearing: Hearing,
    /// When dead targets were last checked.
    last_revival: Mutex<Option<Instant>>,
}

#[derive(Debug)]
enum ProbeResult {
    Alive,
    Refused,
    Silent,
    /// So are all others.
    CutOff,
    /// This instance could not send.
    Unsent(io::Error),
}

impl Probes {
    /// Probes a target unless a probe of it is in progress. A dead one is marked, which wakes its
    /// requests.
    pub(crate) fn probe(
        self: &Arc<Self>,
        router: &Arc<Router>,
        record: &DecisionLog,
        target: ProbeTarget,
    ) {
        let now = Instant::now();
        if self.in_progress.lock().contains_key(&target.key) {
            return;
        }
        self.in_progress.lock().insert(target.key, now);
        let (probes, router, record) = (Arc::clone(self), Arc::clone(router), record.clone());
        tokio::spawn(async move {
            probes.takes_connections(&router, &record, &target).await;
            probes.in_progress.lock().swap_remove(&target.key);
        });
    }

    /// Opens a connection to a target. Returns whether it takes one; if it refuses it or is silent, it
    /// is marked dead.
    pub(crate) async fn takes_connections(
        self: &Arc<Self>,
        router: &Arc<Router>,
        record: &DecisionLog,
        target: &ProbeTarget,
    ) -> bool {
        let started = Instant::now();
        match self.result(router, record, target).await {
            ProbeResult::Alive => {
                router.mark_alive(target.key, started);
                return true;
            }
            ProbeResult::Refused => self.mark_dead(router, record, target, "refused", started),
            ProbeResult::Silent => self.mark_dead(router, record, target, "silent", started),
            ProbeResult::CutOff => {
                let now = Instant::now();
                let took = now.saturating_duration_since(started);
                record.target_dead(&target.name, "silent, as are others", took);
                router.mark_unreachable(target.key, now);
            }
            ProbeResult::Unsent(error) => record.probe_unsent(&target.name, &error),
        }
        false
    }

    /// Whether a probe of a target is in progress.
    pub(crate) fn is_running(&self, key: TargetKey) -> bool {
        self.in_progress.lock().contains_key(&key)
    }

    /// Checks whether targets that were found dead accept connections again, some of them at a time.
    /// Those that do not stay blocked no longer than they were.
    pub(crate) fn revive(self: &Arc<Self>, router: &Arc<Router>, service: &str) {
        let now = Instant::now();
        let mut last = self.last_revival.lock();
        if last.is_some_and(|at| now < at + REVIVAL_INTERVAL) {
            return;
        }
        *last = Some(now);
        drop(last);
        let mut dead = router.dead(service, now);
        dead.retain(|target| !self.is_running(target.key));
        for target in dead.sample(&mut rand::rng(), REVIVAL_COUNT) {
            self.in_progress.lock().insert(target.key, now);
            let (probes, router, target) = (Arc::clone(self), Arc::clone(router), target.clone());
            tokio::spawn(async move {
                let limit = probes.limit(&target.domain);
                if let Ok(ProbeResult::Alive) = within(limit, probes.answer(&target)).await {
                    router.mark_alive(target.key, now);
                }
                probes.in_progress.lock().swap_remove(&target.key);
            });
        }
    }

    /// Waits for the answer of a target. Its silence counts only if a witness answers and this
    /// process runs on time; otherwise the target is asked again when both are so.
    async fn result(
        self: &Arc<Self>,
        router: &Router,
        record: &DecisionLog,
        target: &ProbeTarget,
    ) -> ProbeResult {
        let started = Instant::now();
        let (usual, limit) = {
            let trips = self.round_trips.lock();
            (trips.usual(&target.domain), trips.limit(&target.domain))
        };
        let witnesses = async {
            sleep(usual).await;
            self.ask_witnesses(router, &target.domain).await
        };
        let mut answer = pin!(self.answer(target));
        let wait = async { tokio::join!(witnesses, sleep(limit)).0 };
        let heard = tokio::select! {
            biased;
            result = answer.as_mut() => {
                if started.elapsed() > limit {
                    record.answered_late(&target.name, limit, started.elapsed());
                }
                return result;
            }
            heard = wait => heard,
        };
        if let Ok(result) = within(Duration::ZERO, answer.as_mut()).await {
            return result;
        }
        let expected = match heard {
            Heard::Answer(allowed) => limit.max(usual + allowed),
            Heard::Nobody => return ProbeResult::CutOff,
            Heard::NoWitness => limit,
        };
        let waited = started.elapsed();
        if waited <= expected + TIMER_SLACK {
            return ProbeResult::Silent;
        }
        metrics::counter!("endivefork_probes_repeated_total").increment(1);
        record.silence_doubted(&target.name, limit, waited);
        let either = async {
            tokio::select! {
                result = answer => result,
                result = self.answer(target) => result,
            }
        };
        let again = within(limit, either).await;
        again.unwrap_or(ProbeResult::Silent)
    }

    /// Waits until a target of another domain answers, and asks the nearest ones.
    async fn ask_witnesses(self: &Arc<Self>, router: &Router, domain: &str) -> Heard {
        let mut witnesses = IndexMap::<SmolStr, VecDeque<ProbeTarget>>::new();
        for witness in router.witnesses(domain, Instant::now()) {
            let in_domain = witnesses.entry(witness.domain.clone()).or_default();
            in_domain.push_back(witness);
        }
        let allowed = {
            let trips = self.round_trips.lock();
            witnesses.sort_by_cached_key(|name, _| trips.mean(name));
            witnesses.truncate(WITNESS_DOMAINS);
            let limits = witnesses.keys().map(|name| trips.limit(name));
            limits.min()
        };
        let Some(allowed) = allowed else {
            return Heard::NoWitness;
        };
        let domains: Vec<_> = witnesses.keys().cloned().collect();
        // A witness may be dead itself, so the next one is another.
        let ask = |name: &SmolStr| {
            let mut in_domain = witnesses.get_mut(name);
            in_domain.iter_mut().for_each(|w| w.rotate_left(1));
            if let Some(witness) = in_domain.and_then(|w| w.front().cloned()) {
                let probes = Arc::clone(self);
                tokio::spawn(async move { timeout(DOUBT_MAX, probes.answer(&witness)).await });
            }
        };
        let heard = self.hearing.hears_others(domain, &domains, ask);
        match timeout(DOUBT_MAX, heard).await {
            Ok(()) => Heard::Answer(allowed),
            Err(_) => Heard::Nobody,
        }
    }

    /// Waits until a target answers a new connection, however long that takes.
    async fn answer(&self, target: &ProbeTarget) -> ProbeResult {
        let started = Instant::now();
        let second = async {
            sleep(RETRY_DELAY).await;
            TcpStream::connect(target.addr).await
        };
        let result = tokio::select! {
            result = TcpStream::connect(target.addr) => result,
            result = second => result,
        };
        match result {
            Ok(_) => {
                let rtt = started.elapsed();
                self.hearing.record(&target.domain, started);
                self.round_trips.lock().record(&target.domain, rtt);
                ProbeResult::Alive
            }
            Err(e) if is_own(&e) => ProbeResult::Unsent(e),
            Err(_) => {
                self.hearing.record(&target.domain, started);
                ProbeResult::Refused
            }
        }
    }

    /// Marks a target dead, and probes the suspected targets of its domain.
    fn mark_dead(
        self: &Arc<Self>,
        router: &Arc<Router>,
        record: &DecisionLog,
        target: &ProbeTarget,
        reason: &str,
        started: Instant,
    ) {
        let now = Instant::now();
        record.target_dead(&target.name, reason, now.saturating_duration_since(started));
        router.mark_dead(target.key, now);
        for other in router.suspected(&target.domain, now) {
            self.probe(router, record, other);
        }
    }

    fn limit(&self, domain: &str) -> Duration {
        self.round_trips.lock().limit(domain)
    }
}

/// Whether a failure to connect is one of this machine, such as too many open files.
fn is_own(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::HostUnreachable
            | ErrorKind::TimedOut
    )
}
