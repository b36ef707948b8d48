//! Waits of a stream that has begun: no other answer is left for its caller, so it goes on looking for
//! an engine and a retry until its deadline.

use std::future::pending;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Stream;
use crate::relay::relay::TargetCriteria;

/// Attempts that did not run the request before the stream is refused.
const MAX_DECLINED: u32 = 5;

/// Interval at which a stream asks again for a retry that was denied: the budget grows with each
/// request.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a stream without an engine looks for one.
pub(super) const ENGINE_INTERVAL: Duration = Duration::from_millis(50);

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

    /// Waits, if the stream has begun, until an engine is available. `false` if none is in time.
    pub(super) async fn engine_returns(&self) -> bool {
        let wanted = TargetCriteria {
            service: &self.request.service,
            ..TargetCriteria::default()
        };
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
