//! Asks after silent targets by opening a connection: a dead one does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::record::Record;
use crate::ident::TargetKey;
use crate::routing::{ProbeTarget, Router};

/// Longest round trip assumed to a domain that was not measured yet: between two regions, with
/// room for a busy machine.
const ROUND_TRIP: Duration = Duration::from_millis(80);

/// Added to twice the measured round trip, for a late timer here and a busy machine there.
const MARGIN: Duration = Duration::from_millis(40);

/// Time between the first and the second opening packet, of which one may be lost.
const SECOND_AFTER: Duration = Duration::from_millis(40);

/// Weight of a new round trip in the mean.
const WEIGHT: f64 = 0.25;

/// Probes under way and what they measured.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    running: Mutex<IndexMap<TargetKey, Instant>>,
    trips: Mutex<IndexMap<SmolStr, Duration>>,
}

enum Found {
    Alive(Duration),
    Refused,
    Silent,
}

impl Probes {
    /// Probes a target unless that is under way. A dead one is marked so, which wakes its requests.
    pub(crate) fn probe(
        self: &Arc<Self>,
        router: &Arc<Router>,
        record: &Record,
        subject: ProbeTarget,
    ) {
        let now = Instant::now();
        if self.running.lock().contains_key(&subject.key) {
            return;
        }
        self.running.lock().insert(subject.key, now);
        let (probes, router, record) = (Arc::clone(self), Arc::clone(router), record.clone());
        tokio::spawn(async move {
            let limit = probes.limit(&subject.domain);
            let found = look(subject.addr, limit).await;
            probes.running.lock().swap_remove(&subject.key);
            match found {
                Found::Alive(trip) => {
                    probes.learn(&subject.domain, trip);
                    router.mark_alive(subject.key, now);
                }
                Found::Refused => probes.dead(&router, &record, &subject, "refused", now),
                Found::Silent => probes.dead(&router, &record, &subject, "silent", now),
            }
        });
    }

    /// Marks a target dead, and asks after the others of a domain that is in trouble.
    fn dead(
        self: &Arc<Self>,
        router: &Arc<Router>,
        record: &Record,
        subject: &ProbeTarget,
        why: &str,
        asked: Instant,
    ) {
        let now = Instant::now();
        record.lost_target(&subject.name, why, now.saturating_duration_since(asked));
        router.mark_dead(subject.key, now);
        for other in router.suspected(&subject.domain, now) {
            self.probe(router, record, other);
        }
    }

    fn limit(&self, domain: &str) -> Duration {
        let trip = self.trips.lock().get(domain).copied();
        2 * trip.unwrap_or(ROUND_TRIP) + MARGIN
    }

    fn learn(&self, domain: &SmolStr, trip: Duration) {
        let mut trips = self.trips.lock();
        let mean = trips.entry(domain.clone()).or_insert(trip);
        *mean = mean.mul_f64(1.0 - WEIGHT) + trip.mul_f64(WEIGHT);
    }
}

async fn look(addr: SocketAddr, limit: Duration) -> Found {
    let begun = Instant::now();
    let first = timeout(limit, TcpStream::connect(addr));
    let second = async {
        sleep(SECOND_AFTER).await;
        timeout(limit.saturating_sub(SECOND_AFTER), TcpStream::connect(addr)).await
    };
    tokio::pin!(first, second);
    let (early, other) = tokio::select! {
        found = first.as_mut() => (found, None),
        found = second.as_mut() => (found, Some(first)),
    };
    let outcome = match (early, other) {
        (Err(_), Some(first)) => first.await,
        (Err(_), None) => second.await,
        (answered, _) => answered,
    };
    match outcome {
        Ok(Ok(_)) => Found::Alive(begun.elapsed()),
        Ok(Err(_)) => Found::Refused,
        Err(_) => Found::Silent,
    }
}
