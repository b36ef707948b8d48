//! Plain calls: one whole answer, repeated only where the route's kind allows it or a target
//! says that it has not run the request.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use http::StatusCode;
use http::response::Parts;
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use super::answer::{Own, come_back};
use super::caller_request::CallerRequest;
use super::dialect::Attempt;
use super::links::{Link, SendError};
use super::relay::{Relay, Wanted};
use super::rules::Kind;
use crate::ident::TargetKey;
use crate::routing::Lease;
use crate::telemetry::Stage;

/// Longest rest of a connection that an idempotent call may use again. Calls that run once always
/// take a new one: an answer that came too late for an earlier request would cost them their own.
const REST_MAX: Duration = Duration::from_secs(4);

/// Targets that may decline one request before it is refused: each has been asked for room, and
/// more would only load those that are left.
const DECLINED_MAX: u32 = 3;

/// Targets that could not be reached before a request is refused.
const UNREACHED_MAX: u32 = 4;

/// Multiple of the objective after which an idempotent call is tried elsewhere.
const STALLED_FACTOR: u32 = 2;

/// When a refused call may come back at the earliest: the time in which a target works off its
/// queue.
const COME_BACK: Duration = Duration::from_millis(250);

/// The final answer to a request.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) response: Response,
    pub(crate) why: &'static str,
    pub(crate) target: SmolStr,
    pub(crate) attempts: u32,
    /// What the time until now was spent on.
    pub(crate) stage: Stage,
}

impl Done {
    /// An answer of the relay itself to a request that no target was asked for.
    pub(crate) fn refused(own: Own) -> Self {
        Self {
            why: own.why,
            response: own.into(),
            target: SmolStr::default(),
            attempts: 0,
            stage: Stage::Admission,
        }
    }
}

/// A target's whole answer.
type Whole = (Parts, Bytes);

/// What came of one attempt.
enum Tried {
    Answer(Whole),
    Declined,
    Gone,
    Unsent,
    Lost(&'static str),
}

/// A call in progress.
struct Call<'a> {
    relay: &'a Relay,
    inquiry: &'a CallerRequest,
    tried: Vec<TargetKey>,
    runs: u32,
    declined: u32,
    unreached: u32,
    target: SmolStr,
    failure: Option<Whole>,
}

/// Carries out a call.
pub(crate) async fn run(relay: &Arc<Relay>, inquiry: &CallerRequest) -> Done {
    let mut call = Call {
        relay,
        inquiry,
        tried: Vec::new(),
        runs: 0,
        declined: 0,
        unreached: 0,
        target: SmolStr::default(),
        failure: None,
    };
    let (response, why) = call.run().await;
    Done {
        response,
        why,
        target: call.target,
        attempts: call.runs + call.declined,
        stage: Stage::EndToEnd,
    }
}

impl Call<'_> {
    async fn run(&mut self) -> (Response, &'static str) {
        let deadline = self.inquiry.deadline;
        while self.may_go_on().await {
            let Some(lease) = self.choose() else { break };
            self.target = lease.name();
            let begun = Instant::now();
            let limit = self.attempt_limit(begun);
            let tried = timeout_at(limit, self.attempt(&lease)).await;
            let why = match tried {
                Ok(Tried::Answer(whole)) if !self.is_worth_repeating(&whole) => {
                    self.runs += 1;
                    self.relay.router.mark_alive(lease.key, begun.into_std());
                    return (response(whole), "answered");
                }
                Ok(Tried::Answer(whole)) => {
                    self.runs += 1;
                    self.failure = Some(whole);
                    "target failed"
                }
                Ok(Tried::Declined) => {
                    self.declined += 1;
                    "declined"
                }
                Ok(Tried::Gone) => {
                    self.declined += 1;
                    self.relay.router.mark_leaving(lease.key, begun.into_std());
                    "another target has the address"
                }
                Ok(Tried::Unsent) => {
                    self.unreached += 1;
                    self.relay.probe(&lease);
                    "could not connect"
                }
                Ok(Tried::Lost(why)) => {
                    self.runs += 1;
                    self.relay.probe(&lease);
                    why
                }
                Err(_) => {
                    self.runs += 1;
                    self.relay.probe(&lease);
                    "no answer"
                }
            };
            self.tried.push(lease.key);
            let id = &self.inquiry.ask.id;
            let record = &self.relay.record;
            record.attempt_lost(id, &lease.name(), why, begun.elapsed());
            if Instant::now() >= deadline {
                break;
            }
        }
        self.give_up()
    }

    async fn may_go_on(&self) -> bool {
        let first = self.tried.is_empty();
        let within = match self.inquiry.route.kind {
            Kind::Idempotent => self.runs < self.inquiry.route.attempts,
            _ => self.runs == 0,
        };
        let asked = self.runs + self.declined;
        let reachable = self.declined < DECLINED_MAX && self.unreached < UNREACHED_MAX;
        if first || !within || !reachable || asked == 0 {
            return first || within && reachable;
        }
        self.relay.take_retry(&self.inquiry.service).await
    }

    /// A target that was not tried; an idempotent call may go to the only one again.
    fn choose(&self) -> Option<Lease> {
        let wanted = Wanted {
            service: &self.inquiry.service,
            excluded: &self.tried,
            ..Wanted::default()
        };
        let again = || {
            let whole = Wanted {
                excluded: &[],
                ..wanted
            };
            let failed = self.failure.is_some();
            failed.then(|| self.relay.choose(whole)).flatten()
        };
        self.relay.choose(wanted).or_else(again)
    }

    /// An idempotent call with another attempt left does not wait for all of its time.
    fn attempt_limit(&self, now: Instant) -> Instant {
        let route = &self.inquiry.route;
        let another = route.kind == Kind::Idempotent && self.runs + 1 < route.attempts;
        let stalled = now + route.objective * STALLED_FACTOR;
        match another {
            true => stalled.min(self.inquiry.deadline),
            false => self.inquiry.deadline,
        }
    }

    fn is_worth_repeating(&self, (head, _): &Whole) -> bool {
        let route = &self.inquiry.route;
        head.status.is_server_error()
            && route.kind == Kind::Idempotent
            && self.runs + 1 < route.attempts
    }

    async fn attempt(&self, lease: &Lease) -> Tried {
        let relay = self.relay;
        let rest = match self.inquiry.route.kind {
            Kind::Idempotent => REST_MAX,
            _ => Duration::ZERO,
        };
        let Ok(link) = relay.links.open(lease.key, lease.addr, rest).await else {
            return Tried::Unsent;
        };
        match link.used {
            true => match self.exchange(link, lease).await {
                // The target closed the idle connection; that says nothing of it.
                Tried::Unsent => match relay
                    .links
                    .open(lease.key, lease.addr, Duration::ZERO)
                    .await
                {
                    Ok(link) => self.exchange(link, lease).await,
                    Err(_) => Tried::Unsent,
                },
                tried => tried,
            },
            false => self.exchange(link, lease).await,
        }
    }

    async fn exchange(&self, mut link: Link, lease: &Lease) -> Tried {
        let inquiry = self.inquiry;
        let dialect = &self.relay.dialect;
        let name = lease.name();
        let attempt = Attempt {
            id: &inquiry.ask.id,
            left: Some(inquiry.left(Instant::now())),
            target: &name,
            account: inquiry.account.as_deref(),
            last: None,
            backup: None,
            copied: None,
        };
        let response = match link.send(inquiry.attempt(dialect, &attempt)).await {
            Ok(response) => response,
            Err(SendError::Unsent) => return Tried::Unsent,
            Err(SendError::Lost(why)) => return Tried::Lost(why),
        };
        let (mut parts, body) = response.into_parts();
        let head = (dialect.head)(&inquiry.ask.id, parts.status, &parts.headers);
        let success = parts.status.is_success();
        match head {
            head if head.foreign => return Tried::Lost("answer to another request"),
            // It may be a late copy of the answer to an earlier request on this connection.
            head if link.used && !head.named => return Tried::Lost("answer to no request"),
            head if head.encoded => return Tried::Lost("encoded answer"),
            head if success && !head.signed => return Tried::Lost("unsigned answer"),
            _ => {}
        }
        let body = match self.relay.bodies.collect(body).await {
            Ok(body) => body,
            Err(e) => return Tried::Lost(e.why()),
        };
        if !head.close {
            self.relay.links.keep(lease.key, link, head.keep);
        }
        if head.misdirected {
            return Tried::Gone;
        }
        if head.not_run {
            return Tried::Declined;
        }
        if promises(parts.status) {
            return Tried::Lost("refused without a promise");
        }
        (dialect.pass)(&mut parts.headers);
        Tried::Answer((parts, body))
    }

    /// The answer when no attempt is left.
    fn give_up(&mut self) -> (Response, &'static str) {
        let back = come_back(COME_BACK, &self.inquiry.ask.id);
        let late = Instant::now() >= self.inquiry.deadline;
        let own = match (self.failure.take(), self.runs) {
            (Some(whole), _) => return (response(whole), "target failed"),
            (None, 0) if late => Own::refuse(back, "no target answered in time"),
            (None, 0) if self.declined > 0 => Own::refuse(back, "targets are full"),
            (None, 0) => Own::refuse(back, "no target can be reached"),
            (None, _) if late => Own::late(),
            (None, _) => Own::lost("the target's answer was lost"),
        };
        (own.into(), own.why)
    }
}

/// Statuses that promise that a request has not run.
pub(crate) fn promises(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn response((parts, body): Whole) -> Response {
    Response::from_parts(parts, Body::from(body))
}
