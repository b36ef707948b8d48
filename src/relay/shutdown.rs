//! Admission during a graceful shutdown: an attempt begins only if it can end before the process
//! does.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::caller_request::CallerRequest;
use super::front::STARTUP_RETRY_AFTER;
use super::local_reply::LocalReply;
use super::relay::Relay;
use super::rules::Kind;

/// Reason of requests that this instance does not run because it shuts down.
pub(crate) const SHUTTING_DOWN: &str = "shutting down";

/// `Retry-After` while this instance drains and most others stay. Short, as that one can serve the
/// caller at once, but not zero, to avoid a burst.
const DRAIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Interval at which a request that waits polls whether it still has time.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the shutdown from which load balancers no longer send requests here, so that none of those
/// that still arrive may be cut.
const BALANCER_TIME: Duration = Duration::from_millis(2900);

/// Time that a request with `budget` until its deadline is given to end, where the streams of its
/// service end within `expected`. `age` is that of the shutdown when the request arrived.
pub(crate) fn time_needed(
    kind: Kind,
    budget: Duration,
    expected: Option<Duration>,
    age: Duration,
) -> Duration {
    match (kind, expected) {
        (Kind::Stream { resume: true }, Some(expected)) if age < BALANCER_TIME => {
            expected.min(budget)
        }
        // Once cut, it cannot go on elsewhere.
        _ => budget,
    }
}

impl Relay {
    /// Whether an attempt that begins now can end before the process does.
    pub(crate) fn has_time_for(&self, request: &CallerRequest) -> bool {
        !self.drain.draining() || self.drain.has_time_for(self.expected_time(request))
    }

    fn expected_time(&self, request: &CallerRequest) -> Duration {
        let (service, tokens) = (&request.service, request.output_tokens());
        let expected = self.stream_durations.expected(service, tokens);
        let age = self.drain.age().unwrap_or_default();
        let age = age.saturating_sub(request.arrived.elapsed());
        let left = request.left(Instant::now());
        time_needed(request.route.kind, left, expected, age)
    }

    /// Waits until no attempt can end in time.
    pub(crate) async fn out_of_time(&self, request: &CallerRequest) {
        self.drain.begun().await;
        while self.has_time_for(request) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Response to a request that has not run and has no time left for it.
    pub(crate) fn refuse_late(&self) -> LocalReply {
        let least_left = self.drain.least_left();
        let retry_after = match self.peers.any_stays() {
            true if self.peers.most_stay() => DRAIN_RETRY_AFTER,
            // Until it has noticed, the load balancer chooses instances that drain as well.
            true => least_left.max(DRAIN_RETRY_AFTER),
            false => least_left + STARTUP_RETRY_AFTER,
        };
        LocalReply::unavailable(retry_after, SHUTTING_DOWN)
    }
}
