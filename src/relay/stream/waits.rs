//! Waits of a stream that has begun: no other answer is left for its caller, so it goes on looking for
//! an engine and a retry until its deadline. One that has not begun waits for an engine only if this
//! instance has just become ready.

use std::future::pending;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Stream;
use crate::relay::relay::TargetCriteria;
use crate::relay::startup;

/// Attempts that did not run the request before the stream is refused.
const MAX_DECLINED: u32 = 5;

/// Interval at which a stream asks again for a retry that was denied: the budget grows with each
/// request.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a stream without an engine looks for one.
pub(super) const ENGINE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a stream looks for an engine while this instance has just become ready. Longer
/// than [`ENGINE_INTERVAL`], as all streams that were interrupted may wait together.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before another attempt of a stream that more than [`MAX_DECLINED`] attempts have declined.
const DECLINED_INTERVAL: Duration = Duration::from_millis(500);

impl Stream {
    /// Takes a retry, for which a stream that has begun waits.
    pub(super) async fn take_retry(&self) -> bool {
        let service = &self.request.service;
        while !self.relay.take_retry(service).await {
            if !self.pause(RETRY_INTERVAL).await {
                return false;
            }
        }
        true
    }

    /// Whether another attempt may follow those that were declined.
    pub(super) async fn may_follow_declined(&self) -> bool {
        self.declined <= MAX_DECLINED || self.pause(DECLINED_INTERVAL).await
    }

    /// Waits, if the stream has begun or came early, until an engine is available. `false` if it has
    /// begun and none is in time.
    pub(super) async fn engine_returns(&mut self) -> bool {
        let service = self.request.service.clone();
        let wanted = TargetCriteria {
            service: &service,
            ..TargetCriteria::default()
        };
        while self.relay.has_no_target(wanted) && self.pause_early().await {}
        while self.has_begun() && self.relay.preferred(wanted).is_none() {
            if !self.pause(ENGINE_INTERVAL).await {
                return false;
            }
        }
        true
    }

    /// Pauses a stream that has begun, as there is no other answer left for its caller. `false` at
    /// once if it has not, or if its deadline comes first.
    pub(super) async fn pause(&self, time: Duration) -> bool {
        let waits = self.has_begun() && Instant::now() + time < self.request.deadline;
        if waits {
            sleep(time).await;
        }
        waits
    }

    /// Pauses a stream that has not begun and came when this instance had only just become ready.
    /// `false` at once if it did not, or if it has waited for the route's objective.
    pub(super) async fn pause_early(&mut self) -> bool {
        let ready_at = self.relay.ready_at().map(Instant::from_std);
        let waits = !self.has_begun()
            && startup::is_early(self.request.arrived, ready_at)
            && SETTLE_INTERVAL < self.patience.wait(Instant::now())
            && self.has_time();
        if waits {
            let relay = &self.relay;
            relay.probes.revive(&relay.router, &self.request.service);
            sleep(SETTLE_INTERVAL).await;
            self.patience.spend(SETTLE_INTERVAL);
        }
        waits
    }

    /// Whether another attempt may begin. A stream that has begun goes on to the end of the process.
    pub(super) fn has_time(&self) -> bool {
        self.has_begun() || self.relay.has_time_for(&self.request)
    }

    /// Waits until [`Self::has_time`] no longer holds.
    pub(super) async fn out_of_time(&self) {
        match self.has_begun() {
            true => pending().await,
            false => self.relay.out_of_time(&self.request).await,
        }
    }

    /// Whether the caller has got an event.
    pub(super) fn has_begun(&self) -> bool {
        self.last_id != self.request.ask.last_event
    }
}
