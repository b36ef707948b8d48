//! Probes silent targets by opening a TCP connection, which a dead one does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::record::DecisionLog;
use crate::connect::within;
use crate::ident::TargetKey;
use crate::routing::{ProbeTarget, Router};

/// Round trip assumed to a domain without a measurement: the longest between two regions, with room
/// for a busy machine.
const RTT_DEFAULT: Duration = Duration::from_millis(80);

/// Added to twice the measured round trip, for a late timer here and a busy machine there.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(40);

/// Delay of the second connection attempt, since one SYN packet may be lost.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Interval between two checks whether dead targets have returned: a fraction of the second or two
/// in which they start.
const REVIVAL_INTERVAL: Duration = Duration::from_millis(250);

/// Dead targets that are checked together, so that those of a large service do not fill a connection
/// table at once.
const REVIVAL_COUNT: usize = 16;

/// Weight of a new round trip in the moving average.
const RTT_WEIGHT: f64 = 0.25;

/// Probes in progress, and measured round trips by failure domain.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    in_progress: Mutex<IndexMap<TargetKey, Instant>>,
    rtts: Mutex<IndexMap<SmolStr, Duration>>,
    /// When dead targets were last checked.
    last_revival: Mutex<Option<Instant>>,
}

enum ProbeResult {
    Alive(Duration),
    Refused,
    Silent,
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
            let limit = probes.timeout_for(&target.domain);
            let result = connect(target.addr, limit).await;
            match result {
                ProbeResult::Alive(rtt) => {
                    probes.record_rtt(&target.domain, rtt);
                    router.mark_alive(target.key, now);
                }
                ProbeResult::Refused => probes.mark_dead(&router, &record, &target, "refused", now),
                ProbeResult::Silent => probes.mark_dead(&router, &record, &target, "silent", now),
            }
            probes.in_progress.lock().swap_remove(&target.key);
        });
    }

    /// Opens a connection to a target. Returns whether it takes one; if not, it is marked dead.
    pub(crate) async fn takes_connections(
        self: &Arc<Self>,
        router: &Arc<Router>,
        record: &DecisionLog,
        target: &ProbeTarget,
    ) -> bool {
        let now = Instant::now();
        let limit = self.timeout_for(&target.domain);
        match connect(target.addr, limit).await {
            ProbeResult::Alive(rtt) => {
                self.record_rtt(&target.domain, rtt);
                router.mark_alive(target.key, now);
                return true;
            }
            ProbeResult::Refused => self.mark_dead(router, record, target, "refused", now),
            ProbeResult::Silent => self.mark_dead(router, record, target, "silent", now),
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
                let limit = probes.timeout_for(&target.domain);
                if let ProbeResult::Alive(rtt) = connect(target.addr, limit).await {
                    probes.record_rtt(&target.domain, rtt);
                    router.mark_alive(target.key, now);
                }
                probes.in_progress.lock().swap_remove(&target.key);
            });
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

    fn timeout_for(&self, domain: &str) -> Duration {
        let rtt = self.rtts.lock().get(domain).copied();
        2 * rtt.unwrap_or(RTT_DEFAULT) + TIMEOUT_MARGIN
    }

    fn record_rtt(&self, domain: &SmolStr, rtt: Duration) {
        let mut rtts = self.rtts.lock();
        let mean = rtts.entry(domain.clone()).or_insert(rtt);
        *mean = mean.mul_f64(1.0 - RTT_WEIGHT) + rtt.mul_f64(RTT_WEIGHT);
    }
}

async fn connect(addr: SocketAddr, limit: Duration) -> ProbeResult {
    let started = Instant::now();
    let first = within(limit, TcpStream::connect(addr));
    let second = async {
        sleep(RETRY_DELAY).await;
        within(limit.saturating_sub(RETRY_DELAY), TcpStream::connect(addr)).await
    };
    tokio::pin!(first, second);
    let (earlier, later) = tokio::select! {
        result = first.as_mut() => (result, None),
        result = second.as_mut() => (result, Some(first)),
    };
    let outcome = match (earlier, later) {
        (Err(_), Some(first)) => first.await,
        (Err(_), None) => second.await,
        (answered, _) => answered,
    };
    match outcome {
        Ok(Ok(_)) => ProbeResult::Alive(started.elapsed()),
        Ok(Err(_)) => ProbeResult::Refused,
        Err(_) => ProbeResult::Silent,
    }
}
