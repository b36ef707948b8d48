//! Relays unary calls. The whole response is buffered, and a call is retried only if its route
//! allows it or the target states that it did not run the request. While a target is silent, an
//! idempotent call is sent to a second one too, and the first answer wins.

mod exchange;
mod second;

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use http::response::Parts;
use slog::info;
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::caller_request::CallerRequest;
use super::limits::Purpose;
use super::local_reply::{LocalReply, retry_after};
use super::placing::{Patience, PlaceError};
use super::quarantine::{LostRun, RunStage};
use super::record::{FailedAttempt, count_abandoned, count_placement};
use super::relay::{Relay, TargetCriteria};
use super::rules::Kind;
use super::shutdown::SHUTTING_DOWN;
use crate::ident::TargetKey;
use crate::routing::Lease;
use crate::telemetry::Stage;

/// Size up to which a target is expected to read a body together with the head.
const LONG_BODY_BYTES: usize = 16 * 1024;

/// Targets that may decline a request before it is refused. Each has been asked for a free slot,
/// and further attempts would only load the remaining ones.
const MAX_DECLINED: u32 = 3;

/// Targets that may be unreachable before a request is refused.
const MAX_UNREACHABLE: u32 = 4;

/// Shortest `Retry-After` of a refused call: the time in which a target works off its queue.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);

/// Final response to a request, with what is logged about it.
#[derive(Debug)]
pub(crate) struct FinalReply {
    pub(crate) response: Response,
    pub(crate) reason: &'static str,
    pub(crate) target: SmolStr,
    pub(crate) attempts: u32,
    /// Latency metric to which the time until this response counts.
    pub(crate) stage: Stage,
}

impl FinalReply {
    /// Response of the relay to a request that was sent to no target.
    pub(crate) fn local(reply: LocalReply) -> Self {
        Self {
            reason: reply.reason,
            response: reply.into(),
            target: SmolStr::default(),
            attempts: 0,
            stage: Stage::Admission,
        }
    }
}

/// A target's response with its complete body.
type FullResponse = (Parts, Bytes);

/// Result of one attempt.
enum AttemptResult {
    Response(FullResponse),
    Declined,
    Misdirected,
    Unsent,
    /// The target said after it was chosen that it takes no further requests.
    Withheld,
    /// The process would end before it.
    TooLate,
    Lost(&'static str),
    /// No answer by the request's deadline.
    TimedOut,
}

/// An attempt that has ended.
struct Ended {
    lease: Lease,
    started: Instant,
    trial: bool,
    result: AttemptResult,
}

/// What may happen while an attempt is under way.
enum Step {
    Ended(Ended),
    Second(Result<Lease, &'static str>),
}

/// Sends one attempt and receives its response.
struct Exchange<'a> {
    relay: &'a Arc<Relay>,
    request: &'a CallerRequest,
    purpose: Purpose,
    /// Whether it is sent over a connection that has carried an earlier request.
    is_reused: Arc<AtomicBool>,
}

struct Call<'a> {
    relay: &'a Arc<Relay>,
    request: &'a CallerRequest,
    patience: Patience,
    tried: Vec<TargetKey>,
    /// Whether the last attempt is sent over a connection that has carried an earlier request.
    is_reused: Arc<AtomicBool>,
    runs: u32,
    declined: u32,
    unreachable: u32,
    target: SmolStr,
    failure: Option<FullResponse>,
    /// Expected time until a target takes a request, if all are at their limits.
    at_limit: Option<Duration>,
}

pub(crate) async fn run(relay: &Arc<Relay>, request: &CallerRequest) -> FinalReply {
    let mut call = Call {
        relay,
        request,
        patience: Patience::of(request),
        tried: Vec::new(),
        is_reused: Arc::default(),
        runs: 0,
        declined: 0,
        unreachable: 0,
        target: SmolStr::default(),
        failure: None,
        at_limit: None,
    };
    let (response, reason) = call.run().await;
    FinalReply {
        response,
        reason,
        target: call.target,
        attempts: call.runs + call.declined,
        stage: Stage::EndToEnd,
    }
}

impl<'a> Call<'a> {
    async fn run(&mut self) -> (Response, &'static str) {
        let mut open = FuturesUnordered::new();
        let mut second_at = Instant::now();
        loop {
            if open.is_empty() {
                if !self.may_attempt().await {
                    break;
                }
                let (lease, trial) = match self.place().await {
                    Ok(placed) => placed,
                    Err(Some(reply)) => return (reply.into(), reply.reason),
                    Err(None) => break,
                };
                open.push(self.begin(lease, trial));
                second_at = Instant::now() + self.stall_time();
            }
            let others = open.len() as u32 - 1;
            let second = async {
                sleep_until(second_at).await;
                match self.may_repeat(others) {
                    true => self.second().await,
                    false => pending().await,
                }
            };
            let step = tokio::select! {
                biased;
                Some(ended) = open.next() => Step::Ended(ended),
                second = second => Step::Second(second),
            };
            match step {
                Step::Ended(ended) => {
                    if let Some(answer) = self.settle(ended, others) {
                        return answer;
                    }
                    if Instant::now() >= self.request.deadline {
                        // Those under way may have run.
                        self.runs += others;
                        break;
                    }
                }
                Step::Second(second) => {
                    match second {
                        Ok(lease) => open.push(self.begin(lease, false)),
                        Err(reason) => self.log_held(reason),
                    }
                    second_at = Instant::now() + self.stall_time();
                }
            }
        }
        self.give_up()
    }

    /// Places the next attempt. An error is the reply to a suspect, or `None` when no target takes
    /// the request in time.
    async fn place(&mut self) -> Result<(Lease, bool), Option<LocalReply>> {
        let (relay, request) = (self.relay, self.request);
        tokio::select! {
            biased;
            () = relay.out_of_time(request) => Err(None),
            placed = self.place_in_time() => placed,
        }
    }

    async fn place_in_time(&mut self) -> Result<(Lease, bool), Option<LocalReply>> {
        let relay = self.relay;
        let trial = relay.admit_suspect(self.request).await;
        let trial = trial.map_err(|left| Some(relay.refuse_suspect(left, self.runs > 0)))?;
        if Instant::now() >= self.request.deadline {
            return Err(None);
        }
        let lease = match self.choose().await {
            Ok(lease) => lease,
            Err(PlaceError::Unavailable) => return Err(None),
            Err(PlaceError::AtLimit(wait)) => {
                self.at_limit = Some(wait);
                return Err(None);
            }
        };
        // It may have waited for a permit meanwhile.
        match relay.quarantine_left(&self.request.suspect_parts) {
            Some(left) if !trial => Err(Some(relay.refuse_suspect(left, self.runs > 0))),
            _ => Ok((lease, trial)),
        }
    }

    /// Starts an attempt.
    fn begin(&mut self, lease: Lease, trial: bool) -> impl Future<Output = Ended> + use<'a> {
        count_placement(self.request.priority, "placed");
        self.target = lease.name();
        self.is_reused = Arc::default();
        let exchange = Exchange {
            relay: self.relay,
            request: self.request,
            purpose: match self.tried.is_empty() {
                true => Purpose::First,
                false => Purpose::Retry,
            },
            is_reused: Arc::clone(&self.is_reused),
        };
        self.tried.push(lease.key);
        let (stall_time, may_repeat) = (self.stall_time(), self.may_repeat(0));
        async move {
            let started = Instant::now();
            let deadline = exchange.request.deadline;
            let result = tokio::select! {
                biased;
                result = timeout_at(deadline, exchange.attempt(&lease)) => result,
                () = exchange.target_lost(&lease, stall_time, may_repeat) => {
                    Ok(AttemptResult::Lost("target found dead"))
                }
            };
            Ended {
                lease,
                started,
                trial,
                result: result.unwrap_or(AttemptResult::TimedOut),
            }
        }
    }

    /// Records how an attempt ended, and returns the final answer if it is one. `others` attempts
    /// are still under way.
    fn settle(&mut self, ended: Ended, others: u32) -> Option<(Response, &'static str)> {
        self.record_outcome(&ended);
        let Ended { lease, started, .. } = ended;
        let reason = match ended.result {
            AttemptResult::Response(full) if !self.should_retry(&full, others) => {
                self.runs += 1 + others;
                self.target = lease.name();
                self.relay.router.mark_alive(lease.key, started.into_std());
                self.relay
                    .report_survival(self.request, self.runs, ended.trial);
                return Some((response(full), "answered"));
            }
            AttemptResult::Response(full) => {
                self.runs += 1;
                self.failure = Some(full);
                "target failed"
            }
            AttemptResult::Declined => {
                self.declined += 1;
                "declined"
            }
            AttemptResult::Misdirected => {
                self.declined += 1;
                self.relay
                    .router
                    .mark_leaving(lease.key, started.into_std());
                "another target has the address"
            }
            AttemptResult::Unsent => {
                self.unreachable += 1;
                self.relay.probe(&lease);
                "could not connect"
            }
            AttemptResult::Withheld => {
                self.unreachable += 1;
                "target takes no further requests"
            }
            AttemptResult::TooLate => SHUTTING_DOWN,
            AttemptResult::Lost(reason) => {
                self.runs += 1;
                self.report_loss(&lease, ended.trial);
                reason
            }
            AttemptResult::TimedOut => {
                self.runs += 1;
                self.report_loss(&lease, ended.trial);
                count_abandoned("no answer");
                "no answer"
            }
        };
        let name = lease.name();
        let failed = self
            .request
            .failed_attempt(&name, reason, started.elapsed());
        self.relay.decisions.attempt_failed(&FailedAttempt {
            alive: self.relay.alive_age(&lease),
            ..failed
        });
        None
    }

    /// Records whether the target served the request. A refusal says nothing of that.
    fn record_outcome(&self, ended: &Ended) {
        if !self.relay.settings.ejects_outliers {
            return;
        }
        let now = Instant::now().into_std();
        let key = ended.lease.key;
        let is_failure = match &ended.result {
            AttemptResult::Response((head, _)) => head.status.is_server_error(),
            AttemptResult::Lost(_) => true,
            // A caller may allow less time than a sound target needs.
            AttemptResult::TimedOut
                if ended.started.elapsed() >= self.request.route.latency_objective =>
            {
                true
            }
            _ => return,
        };
        if !is_failure {
            self.relay.router.record_answer(key, now);
        } else if self.relay.router.record_failure(key, now) {
            metrics::counter!("endivefork_targets_ejected_total").increment(1);
            info!(self.relay.decisions.log, "target: ejected, as it fails its requests";
                "target" => ended.lease.name().as_str(), "service" => self.request.service.as_str());
        }
    }

    /// A call is short, so one that is lost counts as just begun.
    fn report_loss(&self, lease: &Lease, trial: bool) {
        self.relay.probe(lease);
        let run = LostRun {
            lease,
            stage: RunStage::Began,
            is_dead: false,
            trial,
        };
        self.relay.report_loss(self.request, run);
    }

    async fn may_attempt(&self) -> bool {
        let first = self.tried.is_empty();
        let runs_left = match self.request.route.kind {
            Kind::Idempotent => self.runs < self.request.route.max_attempts,
            _ => self.runs == 0,
        };
        let sent = self.runs + self.declined;
        let reachable = self.declined < MAX_DECLINED && self.unreachable < MAX_UNREACHABLE;
        if first || !runs_left || !reachable || sent == 0 {
            return first || runs_left && reachable;
        }
        if !self.relay.has_time_for(self.request) {
            return false;
        }
        self.relay.take_retry(&self.request.service).await
    }

    /// Chooses a target that has not been tried. If there is none, a call that failed may be sent
    /// to a target again.
    async fn choose(&mut self) -> Result<Lease, PlaceError> {
        // One that asked for quiet may take the request afterwards.
        let mut excluded = self.tried.clone();
        let now = Instant::now().into_std();
        excluded.retain(|key| !self.relay.router.is_returning(*key, now));
        let wanted = TargetCriteria {
            service: &self.request.service,
            excluded: &excluded,
            ..TargetCriteria::default()
        };
        let placed = self.relay.place(wanted, &mut self.patience).await;
        match placed {
            Err(PlaceError::Unavailable) if self.failure.is_some() => {
                let unrestricted = TargetCriteria {
                    excluded: &[],
                    ..wanted
                };
                self.relay.place(unrestricted, &mut self.patience).await
            }
            placed => placed,
        }
    }

    /// Whether a failure may be followed by the answer of another attempt.
    fn should_retry(&self, (head, _): &FullResponse, others: u32) -> bool {
        let route = &self.request.route;
        let has_other = others > 0 || self.runs + 1 < route.max_attempts;
        head.status.is_server_error() && route.kind == Kind::Idempotent && has_other
    }

    /// Response when no attempt is left.
    fn give_up(&mut self) -> (Response, &'static str) {
        let retry_after = retry_after(RETRY_AFTER_MIN, &self.request.ask.id);
        let timed_out = Instant::now() >= self.request.deadline;
        let reply = match (self.failure.take(), self.runs) {
            (Some(full), _) => return (response(full), "target failed"),
            (None, 0) if timed_out => {
                LocalReply::unavailable(retry_after, "no target answered in time")
            }
            (None, 0) if !self.relay.has_time_for(self.request) => self.relay.refuse_late(),
            (None, 0) if self.at_limit.is_some() => {
                let wait = self.at_limit.unwrap_or_default().max(RETRY_AFTER_MIN);
                LocalReply::unavailable(wait, "targets are at their limits")
            }
            (None, 0) if self.declined > 0 => {
                let wait = self.relay.return_time(self.request).unwrap_or_default();
                LocalReply::unavailable(wait.max(retry_after), "targets are full")
            }
            (None, 0) => LocalReply::unavailable(retry_after, "no target can be reached"),
            (None, _) if timed_out => LocalReply::timed_out(),
            (None, _) => LocalReply::lost("the target's answer was lost"),
        };
        (reply.into(), reply.reason)
    }
}

/// Whether the status implies that the request was not run.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn response((parts, body): FullResponse) -> Response {
    Response::from_parts(parts, Body::from(body))
}
