//! Calls that may be repeated: tried again elsewhere within a budget.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;

use super::{Actions, Call, Outcome, Pick, Report};
use crate::failure::Failure;
use crate::http::{Answer, Error, Via, request};
use crate::target::plain;

/// Most times that one call is sent.
const SENDS: usize = 3;

/// Shortest wait for one answer.
const SLICE_MIN: Duration = Duration::from_millis(250);

impl Actions {
    pub(crate) async fn run_safe(&self, call: Call) -> Result<Outcome, Failure> {
        let until = Instant::now() + call.deadline.min(call.timeout);
        let budget = &self.inner.budget;
        let retry = || budget.try_withdraw(&call.account, &call.service, Instant::now());
        let mut excluded = Vec::new();
        let mut last = Failure::not_run(503, "no_target", "no target could be reached");
        budget.deposit(&call.account, &call.service, Instant::now());
        for sent in 0..SENDS {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || sent > 0 && !retry() {
                break;
            }
            let Some(pick) = self.choose_again(&call, &mut excluded) else {
                break;
            };
            excluded.push(pick.addr);
            let slice = slice(left, SENDS - sent);
            match self.send_safe(&call, pick, slice, sent).await {
                Ok(answer) => return Ok(Outcome::from_answer(answer)),
                Err(failure) => last = failure,
            }
        }
        Err(last)
    }

    /// Chooses a target not yet tried or, when there is none, any.
    fn choose_again(&self, call: &Call, excluded: &mut Vec<SocketAddr>) -> Option<Pick> {
        (self.inner.choose)(call.seek(), excluded).or_else(|| {
            excluded.clear();
            (self.inner.choose)(call.seek(), excluded)
        })
    }

    async fn send_safe(
        &self,
        call: &Call,
        pick: Pick,
        slice: Duration,
        sent: usize,
    ) -> Result<Answer, Failure> {
        let url = format!("http://{}{}", pick.addr, call.path);
        let mut ask = request(call.method.clone(), &url, call.body.clone());
        *ask.headers_mut() = plain::forwarded(&call.headers);
        // A retry never trusts an old connection, which may have gone silent.
        let via = if sent == 0 { Via::Pool } else { Via::Fresh };
        match self.inner.http.send(via, ask, slice).await {
            Ok(answer) if is_overloaded(&answer) => {
                (pick.report)(Report::Answered(answer.status.as_u16()));
                Err(Failure::failed(
                    answer.status.as_u16(),
                    "target_failed",
                    "every target that was tried failed",
                ))
            }
            Ok(answer) => {
                (pick.report)(Report::Answered(answer.status.as_u16()));
                Ok(answer)
            }
            Err(e) if e.not_sent() => {
                (pick.report)(Report::Unreachable);
                Err(Failure::not_run(
                    503,
                    "no_target",
                    "no target could be reached",
                ))
            }
            Err(e) => {
                (pick.report)(Report::Lost);
                Err(lost(&e, &call.method))
            }
        }
    }
}

/// Whether another target may do better.
fn is_overloaded(answer: &Answer) -> bool {
    matches!(answer.status.as_u16(), 502..=504)
}

/// Time for one answer: an even part of what is left.
fn slice(left: Duration, sends: usize) -> Duration {
    (left / sends as u32).max(SLICE_MIN).min(left)
}

fn lost(error: &Error, method: &Method) -> Failure {
    match error {
        Error::Timeout(_) => Failure::unknown("target_timeout", "the target did not answer"),
        _ if method.is_safe() => Failure::failed(502, "answer_lost", "the answer was lost"),
        _ => Failure::unknown("answer_lost", "the answer was lost"),
    }
}
