//! HTTP front end for callers: authenticates a request, matches it to a route, reads its body and
//! hands it to the unary or the streaming path.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::middleware::from_fn_with_state;
use axum::response::Response;
use axum::routing::get;
use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until, timeout};

use super::call::FinalReply;
use super::caller_request::CallerRequest;
use super::local_reply::{LocalReply, retry_after};
use super::priority::effective;
use super::record::Outcome;
use super::relay::Relay;
use super::request_memory::Reservation;
use super::rules::{Account, Kind, Rules, host_key};
use super::shutdown::SHUTTING_DOWN;
use super::startup::{Known, head_bytes, rules_wait};
use super::{call, startup, stream};
use crate::caller::{OpenRequest, close_on_drain};
use crate::http::{BodyError, read_reserved};
use crate::ident::fraction;
use crate::telemetry::Stage;

/// Shortest `Retry-After` of requests for which the rules name no service, or came too late.
pub(super) const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Shortest `Retry-After` while requests fill the memory; another instance may have room at once.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Timeout when the caller names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// State shared by the handlers.
#[derive(Clone, Debug)]
pub(crate) struct Front {
    pub(crate) relay: Arc<Relay>,
}

/// Routes all requests of callers.
pub(crate) fn router(front: Front) -> Router {
    Router::new()
        .fallback(handle)
        .layer(from_fn_with_state(
            Arc::clone(&front.relay.drain),
            close_on_drain,
        ))
        .with_state(front)
}

/// Routes readiness checks and metrics.
pub(crate) fn status_router(front: Front) -> Router {
    Router::new()
        .route(front.relay.dialect.ready_path, get(ready))
        .route("/metrics", get(metrics))
        .with_state(front)
}

async fn ready(State(front): State<Front>) -> (StatusCode, &'static str) {
    match (front.relay.drain.draining(), front.relay.ready()) {
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
        (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no rules yet\n"),
        (false, true) => (StatusCode::OK, "ready\n"),
    }
}

async fn metrics(State(front): State<Front>) -> String {
    front.relay.metrics.render()
}

async fn handle(State(front): State<Front>, request: Request) -> Response {
    let arrived = Instant::now();
    let relay = &front.relay;
    relay.drain.record_arrival();
    let (mut head, body) = request.into_parts();
    let open_request = head.extensions.remove::<OpenRequest>();
    let request = match accept(relay, head, body, arrived).await {
        Ok(request) => request,
        Err((reply, id)) => {
            log_rejected(relay, &reply, &id, arrived);
            return reply.into();
        }
    };
    if let Some(open) = &open_request {
        open.describe(&request.ask.id, &request.route.name, request.rules);
    }
    if !relay.has_time_for(&request) {
        let reply = FinalReply::local(relay.refuse_late());
        let fields = (&*request.ask.id, &*request.route.name, &*request.service);
        let (id, route, service) = fields;
        log_answered(relay, &reply, (id, route, service, request.rules), arrived);
        return reply.response;
    }
    let now = arrived.into_std();
    relay.retries.lock().record_request(&request.service, now);
    let account = request.account.clone().unwrap_or_default();
    let fields = (
        request.ask.id.clone(),
        request.route.name.clone(),
        request.service.clone(),
        request.rules,
    );
    let running = async {
        match request.route.kind {
            Kind::Stream { .. } => stream::run(relay, request, open_request).await,
            Kind::Idempotent | Kind::Once => call::run(relay, &request).await,
        }
    };
    let reply = tokio::select! {
        biased;
        reply = running => reply,
        () = relay.drain.expiring() => FinalReply::local(LocalReply::lost(SHUTTING_DOWN)),
    };
    let (id, route, service, rules) = fields;
    let stage = match reply.attempts {
        0 => Stage::Admission,
        _ => reply.stage,
    };
    relay
        .metrics
        .span(&account)
        .record(stage, arrived.elapsed());
    log_answered(relay, &reply, (&id, &route, &service, rules), arrived);
    reply.response
}

fn log_rejected(relay: &Relay, reply: &LocalReply, id: &str, arrived: Instant) {
    relay.decisions.answered(&Outcome {
        id,
        route: "",
        service: "",
        rules: relay.rules().map_or(0, |r| r.version),
        target: "",
        attempts: 0,
        status: reply.status.as_u16(),
        reason: reply.reason,
        elapsed: arrived.elapsed(),
    });
}

fn log_answered(
    relay: &Relay,
    reply: &FinalReply,
    (id, route, service, rules): (&str, &str, &str, u64),
    arrived: Instant,
) {
    let status = reply.response.status().as_u16();
    metrics::counter!("endivefork_answers_total", "status" => status.to_string()).increment(1);
    relay.decisions.answered(&Outcome {
        id,
        route,
        service,
        rules,
        target: &reply.target,
        attempts: reply.attempts,
        status,
        reason: reply.reason,
        elapsed: arrived.elapsed(),
    });
}

/// Performs all checks and decisions that precede the choice of a target.
async fn accept(
    relay: &Relay,
    head: Parts,
    body: Body,
    arrived: Instant,
) -> Result<CallerRequest, (LocalReply, SmolStr)> {
    let ask = (relay.dialect.parse_request)(&head.headers);
    let ask = ask.map_err(|reason| {
        (
            LocalReply::reject(StatusCode::BAD_REQUEST, reason),
            SmolStr::default(),
        )
    })?;
    let id = ask.id.clone();
    let with_id = |reply| (reply, id.clone());
    let caller_timeout = ask.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let wait = StartupWait {
        relay,
        id: &id,
        arrived,
        caller_timeout,
    };
    let place = match relay.ready() {
        true => None,
        false => match relay.waiting_room.enter(head_bytes(&head.headers)) {
            Some(place) => Some(place),
            None => return Err(with_id(wait.refuse("too many requests wait for the rules"))),
        },
    };
    let known = wait.wait(Known::Rules, caller_timeout, "no rules yet");
    known.await.map_err(with_id)?;
    let Some(rules) = relay.rules() else {
        return Err(with_id(wait.refuse("no rules yet")));
    };
    let path = head.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let route = rules.route(&host(&head), path.path());
    let Some(route) = route.cloned() else {
        return Err(with_id(LocalReply::reject(
            StatusCode::NOT_FOUND,
            "no such route",
        )));
    };
    let account = match account(&rules, route.public, ask.key.as_deref()) {
        Ok(account) => account,
        Err(reply) => return Err(with_id(reply)),
    };
    let time = caller_timeout.min(route.timeout);
    let deadline = arrived + time;
    if place.is_some() && Instant::now() >= deadline {
        // Without the rules, the timeout of the route was not known.
        let wait = retry_after(STARTUP_RETRY_AFTER, &id);
        let reply = LocalReply::unavailable(wait, "the rules came too late");
        return Err(with_id(reply));
    }
    let known = wait.wait(Known::All, time, "no targets yet");
    known.await.map_err(with_id)?;
    drop(place);
    let limits = rules.limits;
    let mut memory = relay.request_memory.reserve();
    let read = collect_body(
        body,
        limits.body_bytes,
        limits.idle_timeout,
        (&id, &mut memory),
    );
    let body = tokio::select! {
        body = read => body,
        () = relay.drain.expiring() => Err(relay.refuse_late()),
    };
    let body = body.map_err(with_id)?;
    memory.resize(body.len());
    let point = fraction(&ask.id);
    let Some(service) = route.service(point).cloned() else {
        let reason = "the route has no service";
        return Err(with_id(LocalReply::unavailable(
            STARTUP_RETRY_AFTER,
            reason,
        )));
    };
    let mut headers: HeaderMap = head.headers;
    (relay.dialect.strip_request)(&mut headers);
    Ok(CallerRequest {
        deadline,
        rules: rules.version,
        priority: effective(&route, account),
        is_ranked: rules.is_ranked(&service),
        method: head.method,
        ask,
        path,
        headers,
        body,
        _memory: memory,
        account: account.map(|a| a.name.clone()),
        route,
        service,
        suspect_parts: Vec::new(),
        arrived,
    }
    .with_suspect_parts())
}

/// The wait of a request for the rules and the targets at startup. Its body is not read meanwhile.
#[derive(Clone, Copy)]
struct StartupWait<'a> {
    relay: &'a Relay,
    id: &'a str,
    arrived: Instant,
    caller_timeout: Duration,
}

impl StartupWait<'_> {
    /// Waits until `wanted` is known, for as long as a request that has `time` in all may.
    async fn wait(
        self,
        wanted: Known,
        time: Duration,
        reason: &'static str,
    ) -> Result<(), LocalReply> {
        tokio::select! {
            biased;
            () = self.relay.wait_known(wanted) => Ok(()),
            () = self.relay.drain.begun() => Err(self.relay.refuse_late()),
            () = sleep_until(self.arrived + rules_wait(time)) => Err(self.refuse(reason)),
        }
    }

    fn refuse(self, reason: &'static str) -> LocalReply {
        metrics::counter!("endivefork_startup_refusals_total", "reason" => reason).increment(1);
        let left = self.caller_timeout.saturating_sub(self.arrived.elapsed());
        let wait = startup::retry_after(self.relay.age(), left, self.id);
        LocalReply::unavailable(wait, reason)
    }
}

/// The name of the host that a request is for, without its port.
fn host(head: &Parts) -> SmolStr {
    let header = head.headers.get(HOST).and_then(|h| h.to_str().ok());
    let header = header.map(|h| h.split(':').next().unwrap_or_default());
    host_key(head.uri.host().or(header).unwrap_or_default())
}

fn account<'a>(
    rules: &'a Rules,
    open: bool,
    key: Option<&str>,
) -> Result<Option<&'a Account>, LocalReply> {
    let Some(accounts) = &rules.accounts else {
        return Ok(None);
    };
    let account = key.and_then(|k| accounts.get(k));
    match account {
        None if !open => Err(LocalReply::reject(StatusCode::UNAUTHORIZED, "unknown key")),
        account => Ok(account),
    }
}

async fn collect_body(
    body: Body,
    limit: usize,
    time: Duration,
    (id, memory): (&str, &mut Reservation),
) -> Result<Bytes, LocalReply> {
    let read = read_reserved(body, limit, |bytes| memory.resize(bytes));
    match timeout(time, read).await {
        Ok(Ok(Some(body))) => Ok(body),
        Ok(Ok(None)) => {
            metrics::counter!("endivefork_bodies_refused_total").increment(1);
            let wait = retry_after(MEMORY_RETRY_AFTER, id);
            Err(LocalReply::unavailable(wait, "requests fill the memory"))
        }
        Ok(Err(BodyError::TooLarge(_))) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(LocalReply::reject(status, "the body is too large"))
        }
        Ok(Err(BodyError::Broken)) => {
            let status = StatusCode::BAD_REQUEST;
            Err(LocalReply::reject(status, "the body broke off"))
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(LocalReply::reject(status, "the body came too slowly"))
        }
    }
}
