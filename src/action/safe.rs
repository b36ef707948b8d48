//! Calls that may be repeated: on failure they are retried at another target, within the retry
//! budget. Each is sent over a new connection: an answer names no call, so one to an earlier call
//! on a kept connection would be taken for it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderValue, Method};

use super::{Actions, Call, ChosenTarget, Outcome, TargetResult};
use crate::failure::Failure;
use crate::http::{Answer, Error, Via, request};
use crate::target::plain;

/// Maximum number of times that one call is sent.
const MAX_SENDS: usize = 3;

/// Minimum timeout of one send.
const MIN_SEND_TIMEOUT: Duration = Duration::from_millis(250);

impl Actions {
    pub(crate) async fn run_safe(&self, call: Call) -> Result<Outcome, Failure> {
        let deadline = Instant::now() + call.deadline.min(call.timeout);
        let budget = &self.inner.budget;
        let may_retry = || budget.try_withdraw(&call.account, &call.service, Instant::now());
        let mut excluded = Vec::new();
        let mut last_failure = Failure::not_run(503, "no_target", "no target could be reached");
        budget.deposit(&call.account, &call.service, Instant::now());
        for sent in 0..MAX_SENDS {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || sent > 0 && !may_retry() {
                break;
            }
            let Some(pick) = self.choose_target(&call, &mut excluded) else {
                break;
            };
            excluded.push(pick.addr);
            let send_timeout = send_timeout(remaining, MAX_SENDS - sent);
            match self.send_safe(&call, pick, send_timeout).await {
                Ok(answer) => return Ok(Outcome::from_answer(answer)),
                Err(failure) => last_failure = failure,
            }
        }
        Err(last_failure)
    }

    /// Chooses a target that has not been tried yet or, if there is none, any target.
    fn choose_target(&self, call: &Call, excluded: &mut Vec<SocketAddr>) -> Option<ChosenTarget> {
        (self.inner.choose)(call.target_query(), excluded).or_else(|| {
            excluded.clear();
            (self.inner.choose)(call.target_query(), excluded)
        })
    }

    async fn send_safe(
        &self,
        call: &Call,
        pick: ChosenTarget,
        send_timeout: Duration,
    ) -> Result<Answer, Failure> {
        let url = format!("http://{}{}", pick.addr, call.path);
        let mut req = request(call.method.clone(), &url, call.body.clone());
        *req.headers_mut() = plain::forwarded(&call.headers);
        // Lets the target close first, so that this instance keeps its port for later connections.
        let close = HeaderValue::from_static("close");
        req.headers_mut().insert(CONNECTION, close);
        match self.inner.http.send(Via::Fresh, req, send_timeout).await {
            Ok(answer) if is_retryable(&answer) => {
                (pick.report)(TargetResult::Answered(answer.status.as_u16()));
                Err(Failure::failed(
                    answer.status.as_u16(),
                    "target_failed",
                    "every target that was tried returned an error",
                ))
            }
            Ok(answer) => {
                (pick.report)(TargetResult::Answered(answer.status.as_u16()));
                Ok(answer)
            }
            Err(e) if e.not_sent() => {
                (pick.report)(TargetResult::Unreachable);
                Err(Failure::not_run(
                    503,
                    "no_target",
                    "no target could be reached",
                ))
            }
            Err(e) => {
                (pick.report)(TargetResult::Lost);
                Err(lost_failure(&e, &call.method))
            }
        }
    }
}

/// Whether another target may succeed.
fn is_retryable(answer: &Answer) -> bool {
    matches!(answer.status.as_u16(), 502..=504)
}

/// Timeout of one send: an equal share of the remaining time.
fn send_timeout(remaining: Duration, sends: usize) -> Duration {
    (remaining / sends as u32)
        .max(MIN_SEND_TIMEOUT)
        .min(remaining)
}

fn lost_failure(error: &Error, method: &Method) -> Failure {
    match error {
        Error::Timeout(_) => Failure::unknown("target_timeout", "the target timed out"),
        _ if method.is_safe() => Failure::failed(502, "answer_lost", "the response was lost"),
        _ => Failure::unknown("answer_lost", "the response was lost"),
    }
}
