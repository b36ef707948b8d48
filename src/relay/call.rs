//! Relays unary calls. The whole response is buffered, and a call is retried only if its route
//! allows it or the target states that it did not run the request.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use http::StatusCode;
use http::response::Parts;
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use super::caller_request::CallerRequest;
use super::connections::{Connection, SendError};
use super::dialect::AttemptHead;
use super::limits::Purpose;
use super::local_reply::{LocalReply, retry_after};
use super::placing::{Patience, PlaceError};
use super::quarantine::LostRun;
use super::relay::{Relay, TargetCriteria};
use super::rules::Kind;
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

/// Multiple of the latency objective after which an idempotent call is retried on another target.
const RETRY_FACTOR: u32 = 2;

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
    Lost(&'static str),
}

struct Call<'a> {
    relay: &'a Arc<Relay>,
    request: &'a CallerRequest,
    tried: Vec<TargetKey>,
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
        tried: Vec::new(),
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

impl Call<'_> {
    async fn run(&mut self) -> (Response, &'static str) {
        let deadline = self.request.deadline;
        while self.may_attempt().await {
            let trial = match self.relay.admit_suspect(self.request).await {
                Ok(trial) => trial,
                Err(left) => {
                    let reply = self.relay.refuse_suspect(left, self.runs > 0);
                    return (reply.into(), reply.reason);
                }
            };
            if Instant::now() >= deadline {
                break;
            }
            let lease = match self.choose().await {
                Ok(lease) => lease,
                Err(PlaceError::Unavailable) => break,
                Err(PlaceError::AtLimit(wait)) => {
                    self.at_limit = Some(wait);
                    break;
                }
            };
            // It may have waited for a permit meanwhile.
            if !trial && let Some(left) = self.relay.quarantine_left(&self.request.suspect_parts) {
                let reply = self.relay.refuse_suspect(left, self.runs > 0);
                return (reply.into(), reply.reason);
            }
            self.target = lease.name();
            let started = Instant::now();
            let limit = self.attempt_deadline(started);
            let result = timeout_at(limit, self.attempt(&lease)).await;
            let reason = match result {
                Ok(AttemptResult::Response(full)) if !self.should_retry(&full) => {
                    self.runs += 1;
                    self.relay.router.mark_alive(lease.key, started.into_std());
                    self.relay.report_survival(self.request, self.runs, trial);
                    return (response(full), "answered");
                }
                Ok(AttemptResult::Response(full)) => {
                    self.runs += 1;
                    self.failure = Some(full);
                    "target failed"
                }
                Ok(AttemptResult::Declined) => {
                    self.declined += 1;
                    "declined"
                }
                Ok(AttemptResult::Misdirected) => {
                    self.declined += 1;
                    self.relay
                        .router
                        .mark_leaving(lease.key, started.into_std());
                    "another target has the address"
                }
                Ok(AttemptResult::Unsent) => {
                    self.unreachable += 1;
                    self.relay.probe(&lease);
                    "could not connect"
                }
                Ok(AttemptResult::Lost(reason)) => {
                    self.runs += 1;
                    self.report_loss(&lease, trial);
                    reason
                }
                Err(_) => {
                    self.runs += 1;
                    self.report_loss(&lease, trial);
                    "no answer"
                }
            };
            self.tried.push(lease.key);
            let name = lease.name();
            let failed = self
                .request
                .failed_attempt(&name, reason, started.elapsed());
            self.relay.decisions.attempt_failed(&failed);
            if Instant::now() >= deadline {
                break;
            }
        }
        self.give_up()
    }

    /// A call is short, so one that is lost counts as just begun.
    fn report_loss(&self, lease: &Lease, trial: bool) {
        self.relay.probe(lease);
        let run = LostRun {
            lease,
            begun: Some(Duration::ZERO),
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
        self.relay.take_retry(&self.request.service).await
    }

    /// Chooses a target that has not been tried. If there is none, a call that failed may be sent
    /// to a target again.
    async fn choose(&self) -> Result<Lease, PlaceError> {
        let wanted = TargetCriteria {
            service: &self.request.service,
            excluded: &self.tried,
            ..TargetCriteria::default()
        };
        let patience = Patience::of(self.request);
        let placed = self.relay.place(wanted, patience).await;
        match placed {
            Err(PlaceError::Unavailable) if self.failure.is_some() => {
                let unrestricted = TargetCriteria {
                    excluded: &[],
                    ..wanted
                };
                self.relay.place(unrestricted, patience).await
            }
            placed => placed,
        }
    }

    /// Deadline of the next attempt. An idempotent call that has another attempt left does not
    /// spend all of its time on this one.
    fn attempt_deadline(&self, now: Instant) -> Instant {
        let route = &self.request.route;
        let has_retry = route.kind == Kind::Idempotent && self.runs + 1 < route.max_attempts;
        let stalled = now + route.latency_objective * RETRY_FACTOR;
        match has_retry {
            true => stalled.min(self.request.deadline),
            false => self.request.deadline,
        }
    }

    fn should_retry(&self, (head, _): &FullResponse) -> bool {
        let route = &self.request.route;
        head.status.is_server_error()
            && route.kind == Kind::Idempotent
            && self.runs + 1 < route.max_attempts
    }

    async fn attempt(&self, lease: &Lease) -> AttemptResult {
        let relay = self.relay;
        // Calls that may run only once always use a new connection: a late response to an earlier
        // request on a reused one would fail them, and they cannot be retried.
        let reuse_for = match self.request.route.kind {
            Kind::Idempotent => Some(self.request.ask.id.as_str()),
            _ => None,
        };
        let Ok(connection) = relay.pool.acquire(lease.key, lease.addr, reuse_for).await else {
            return AttemptResult::Unsent;
        };
        match connection.is_reused() {
            true => match self.exchange(connection, lease).await {
                // The target closed the idle connection, which says nothing about its health.
                AttemptResult::Unsent => {
                    match relay.pool.acquire(lease.key, lease.addr, None).await {
                        Ok(connection) => self.exchange(connection, lease).await,
                        Err(_) => AttemptResult::Unsent,
                    }
                }
                result => result,
            },
            false => self.exchange(connection, lease).await,
        }
    }

    async fn exchange(&self, mut connection: Connection, lease: &Lease) -> AttemptResult {
        let request = self.request;
        let dialect = &self.relay.dialect;
        let name = lease.name();
        let attempt = AttemptHead {
            id: &request.ask.id,
            time_left: Some(request.left(Instant::now())),
            target: &name,
            account: request.account.as_deref(),
            last_event: None,
            backup: None,
            resume_from: None,
        };
        let purpose = match self.tried.is_empty() {
            true => Purpose::First,
            false => Purpose::Retry,
        };
        self.relay.record_sent(lease.key, purpose);
        let response = match connection.send(request.attempt(dialect, &attempt)).await {
            Ok(response) => response,
            Err(SendError::Unsent) => return AttemptResult::Unsent,
            Err(SendError::Lost(reason)) => return AttemptResult::Lost(reason),
        };
        let (mut parts, body) = response.into_parts();
        let head = (dialect.parse_response)(&request.ask.id, parts.status, &parts.headers);
        let success = parts.status.is_success();
        self.relay.observe_limit(lease.probe_target(), &head);
        match head {
            head if head.mismatched => return AttemptResult::Lost("answer to another request"),
            // It may be a late response to an earlier request on this connection.
            head if connection.is_reused() && !head.has_id => {
                return AttemptResult::Lost("answer to no request");
            }
            head if head.encoded => return AttemptResult::Lost("encoded answer"),
            head if success && !head.signed => return AttemptResult::Lost("unsigned answer"),
            _ => {}
        }
        let body = match self.relay.buffers.collect(body).await {
            Ok(body) => body,
            Err(e) => return AttemptResult::Lost(e.reason()),
        };
        if head.misdirected {
            return AttemptResult::Misdirected;
        }
        if !head.not_run && implies_not_run(parts.status) {
            return AttemptResult::Lost("refused without a promise");
        }
        // A target may refuse a request before it has read a long body.
        let is_unread = head.not_run && request.body.len() > LONG_BODY_BYTES;
        if !head.close && !is_unread {
            let id = &request.ask.id;
            let pool = &self.relay.pool;
            pool.release(lease.key, connection, id, head.keep_alive);
        }
        if head.not_run {
            return AttemptResult::Declined;
        }
        (dialect.strip_response)(&mut parts.headers);
        AttemptResult::Response((parts, body))
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
            (None, 0) if self.at_limit.is_some() => {
                let wait = self.at_limit.unwrap_or_default().max(RETRY_AFTER_MIN);
                LocalReply::unavailable(wait, "targets are at their limits")
            }
            (None, 0) if self.declined > 0 => {
                LocalReply::unavailable(retry_after, "targets are full")
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
