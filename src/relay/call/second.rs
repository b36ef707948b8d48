//! The second attempt of an idempotent call whose first target is silent.

use std::future::pending;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use super::{Call, Exchange, MAX_DECLINED, MAX_UNREACHABLE};
use crate::relay::relay::TargetCriteria;
use crate::relay::rules::Kind;
use crate::relay::shutdown::SHUTTING_DOWN;
use crate::relay::silence::{KEPT_FOR_LOSSES, RetryShare};
use crate::routing::Lease;

/// Multiple of the latency objective after which an idempotent call is sent to a second target too.
const RETRY_FACTOR: u32 = 2;

/// Same as a part of the route's timeout, when the route states no latency objective.
const TIMEOUT_PARTS: u32 = 4;

/// Shortest time after which a call is sent to a second target, and interval between attempts to.
const STALL_TIME_MIN: Duration = Duration::from_millis(100);

/// Interval between probes of a target that owes an answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

impl Call<'_> {
    /// Time after which an idempotent call is sent to a second target.
    pub(super) fn stall_time(&self) -> Duration {
        let route = &self.request.route;
        let time = match route.latency_objective.is_zero() {
            true => route.timeout / TIMEOUT_PARTS,
            false => route.latency_objective * RETRY_FACTOR,
        };
        time.max(STALL_TIME_MIN)
    }

    /// Whether another attempt is allowed while one is under way, besides `others`.
    pub(super) fn may_repeat(&self, others: u32) -> bool {
        let route = &self.request.route;
        let runs = self.runs + 1 + others;
        let reachable = self.declined < MAX_DECLINED && self.unreachable < MAX_UNREACHABLE;
        route.kind == Kind::Idempotent && runs < route.max_attempts && reachable
    }

    /// Secures a target for a second attempt while the first one goes on.
    pub(super) async fn second(&self) -> Result<Lease, &'static str> {
        let relay = self.relay;
        if !relay.has_time_for(self.request) {
            return Err(SHUTTING_DOWN);
        }
        if !relay.is_clear(&self.request.suspect_parts) {
            return Err("it may crash its targets");
        }
        let service = &self.request.service;
        let share = RetryShare::SpareOrLoan;
        if !relay.may_have_spare_retry(service, share) {
            return Err(KEPT_FOR_LOSSES);
        }
        let wanted = TargetCriteria {
            service,
            excluded: &self.tried,
            ..TargetCriteria::default()
        };
        let other = relay.choose_now(wanted);
        // The same target may answer over a new connection.
        let is_reused = self.is_reused.load(Ordering::Relaxed);
        let same = || {
            let unrestricted = TargetCriteria {
                excluded: &[],
                ..wanted
            };
            relay.choose_now(unrestricted).filter(|_| is_reused)
        };
        let lease = other.or_else(same);
        let lease = lease.ok_or("no other target takes it")?;
        match relay.take_spare_retry(service, share).await {
            true => Ok(lease),
            false => Err(KEPT_FOR_LOSSES),
        }
    }

    /// Logs why a call waits for its silent target alone.
    pub(super) fn log_held(&self, reason: &'static str) {
        metrics::counter!("endivefork_silences_awaited_total", "reason" => reason).increment(1);
        let elapsed = self.request.arrived.elapsed();
        let waiting = self.request.failed_attempt(&self.target, reason, elapsed);
        self.relay.decisions.silence_awaited(&waiting);
    }
}

impl Exchange<'_> {
    /// Waits until the target is found dead. It is probed once the answer is later than `stall_time`
    /// if the call may be repeated.
    pub(super) async fn target_lost(&self, lease: &Lease, stall_time: Duration, may_repeat: bool) {
        let started = Instant::now();
        sleep(stall_time).await;
        // The connection may be silent, and with it those that have been idle since.
        if self.is_reused.load(Ordering::Relaxed) {
            self.relay.pool.close_idle_before(lease.key, started);
        }
        if !may_repeat {
            return pending().await;
        }
        loop {
            let lost = lease.lost();
            self.relay.probe(lease);
            if timeout(PROBE_INTERVAL, lost).await.is_ok() {
                return;
            }
        }
    }
}
