//! Calls that may be repeated: tried again elsewhere within a budget.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use parking_lot::Mutex;
use smol_str::SmolStr;

use super::{Actions, Call, Outcome, Pick, Report};
use crate::failure::Failure;
use crate::http::{Answer, Error, Via, request};
use crate::target::plain;

/// Most times that one call is sent.
const SENDS: usize = 3;

/// Retries that each first send adds to the budget.
const RETRY_RATIO: f64 = 0.2;

/// Most retries saved up.
const RETRY_BURST: f64 = 10.0;

/// Shortest wait for one answer.
const SLICE_MIN: Duration = Duration::from_millis(250);

/// Retries allowed in proportion to the calls, so that an outage is not multiplied.
#[derive(Debug)]
pub struct Budget {
    saved: Mutex<f64>,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            saved: Mutex::new(RETRY_BURST),
        }
    }

    /// Counts a first send.
    pub fn earn(&self) {
        let mut saved = self.saved.lock();
        *saved = (*saved + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Takes one retry if one is left.
    #[must_use]
    pub fn take(&self) -> bool {
        let mut saved = self.saved.lock();
        let left = *saved >= 1.0;
        *saved -= if left { 1.0 } else { 0.0 };
        left
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

/// A budget for each service.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    services: Mutex<HashMap<SmolStr, Arc<Budget>>>,
}

impl Budgets {
    fn get(&self, service: &SmolStr) -> Arc<Budget> {
        let mut services = self.services.lock();
        Arc::clone(services.entry(service.clone()).or_default())
    }
}

impl Actions {
    pub(crate) async fn run_safe(&self, call: Call) -> Result<Outcome, Failure> {
        let until = Instant::now() + call.deadline.min(call.timeout);
        let budget = self.inner.budgets.get(&call.service);
        let mut excluded = Vec::new();
        let mut last = Failure::not_run(503, "no_target", "no target could be reached");
        budget.earn();
        for sent in 0..SENDS {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || sent > 0 && !budget.take() {
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
