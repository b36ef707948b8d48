//! The callers' side: finds the route and the account of a request and reads it whole.

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
use tokio::time::{Instant, sleep, timeout};

use super::answer::Own;
use super::call::Done;
use super::caller_request::CallerRequest;
use super::record::Outcome;
use super::relay::Relay;
use super::rules::{Kind, Rules};
use super::{call, shutdown, stream};
use crate::caller::{Drain, say_close};
use crate::http::{BodyError, read_body};
use crate::ident::fraction;
use crate::telemetry::Stage;

/// Longest wait for the rules at the start. With the platform in another region they come 120 to
/// 180 ms after it, on a slow processor later; a caller that is refused comes back later still.
const START_WAIT: Duration = Duration::from_millis(400);

/// When a caller may come back while this instance knows no rules yet.
const STARTING: Duration = Duration::from_millis(500);

/// When a caller may come back to another instance: at once, but for a burst of them.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Longest wait for an answer when neither the caller nor the route names one.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(60);

/// What the front's handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Front {
    pub(crate) relay: Arc<Relay>,
    pub(crate) drain: Arc<Drain>,
}

impl Front {
    /// Waits until this process is about to end.
    async fn nearly_over(&self) {
        self.drain.begun().await;
        let since = self.drain.since().unwrap_or_default();
        let left = self.relay.settings.drain.saturating_sub(since);
        sleep(left.saturating_sub(shutdown::FINAL_ANSWER_MARGIN)).await;
    }
}

/// What takes all requests of callers.
pub(crate) fn router(front: Front) -> Router {
    Router::new()
        .fallback(handle)
        .layer(from_fn_with_state(Arc::clone(&front.drain), say_close))
        .with_state(front)
}

/// Readiness and metrics.
pub(crate) fn status_router(front: Front) -> Router {
    Router::new()
        .route(front.relay.dialect.ready, get(ready))
        .route("/metrics", get(metrics))
        .with_state(front)
}

async fn ready(State(front): State<Front>) -> (StatusCode, &'static str) {
    match (front.drain.draining(), front.relay.ready()) {
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
    let running = front.drain.enter();
    let relay = &front.relay;
    let (head, body) = request.into_parts();
    let inquiry = match accept(relay, head, body, arrived).await {
        Ok(inquiry) => inquiry,
        Err((own, id)) => {
            note_rejected(relay, &own, &id, arrived);
            return own.into();
        }
    };
    if let Some(since) = front.drain.since() {
        let budget = inquiry.left(arrived);
        let left = relay.settings.drain.saturating_sub(since);
        if !shutdown::accepts(inquiry.route.kind, budget, since, left) {
            let done = Done::refused(Own::refuse(ELSEWHERE, "shutting down"));
            let about = (&*inquiry.ask.id, &*inquiry.route.name, &*inquiry.service);
            let (id, route, service) = about;
            note_answered(relay, &done, (id, route, service, inquiry.rules), arrived);
            return done.response;
        }
    }
    let now = arrived.into_std();
    relay.retries.lock().record_request(&inquiry.service, now);
    let account = inquiry.account.clone().unwrap_or_default();
    let noted = (
        inquiry.ask.id.clone(),
        inquiry.route.name.clone(),
        inquiry.service.clone(),
        inquiry.rules,
    );
    let done = match inquiry.route.kind {
        Kind::Stream { .. } => {
            tokio::select! {
                done = stream::run(relay, inquiry, running) => done,
                () = front.nearly_over() => Done::refused(Own::lost("shutting down")),
            }
        }
        Kind::Idempotent | Kind::Once => call::run(relay, &inquiry).await,
    };
    let (id, route, service, rules) = noted;
    let stage = match done.attempts {
        0 => Stage::Admission,
        _ => done.stage,
    };
    relay
        .metrics
        .span(&account)
        .record(stage, arrived.elapsed());
    note_answered(relay, &done, (&id, &route, &service, rules), arrived);
    done.response
}

fn note_rejected(relay: &Relay, own: &Own, id: &str, arrived: Instant) {
    relay.record.answered(&Outcome {
        id,
        route: "",
        service: "",
        rules: relay.rules().map_or(0, |r| r.version),
        target: "",
        attempts: 0,
        status: own.status.as_u16(),
        why: own.why,
        took: arrived.elapsed(),
    });
}

fn note_answered(
    relay: &Relay,
    done: &Done,
    (id, route, service, rules): (&str, &str, &str, u64),
    arrived: Instant,
) {
    let status = done.response.status().as_u16();
    metrics::counter!("endivefork_answers_total", "status" => status.to_string()).increment(1);
    relay.record.answered(&Outcome {
        id,
        route,
        service,
        rules,
        target: &done.target,
        attempts: done.attempts,
        status,
        why: done.why,
        took: arrived.elapsed(),
    });
}

/// Decides all that is decided before a target is looked for.
async fn accept(
    relay: &Relay,
    head: Parts,
    body: Body,
    arrived: Instant,
) -> Result<CallerRequest, (Own, SmolStr)> {
    let ask = (relay.dialect.ask)(&head.headers);
    let ask = ask.map_err(|why| {
        (
            Own::reject(StatusCode::BAD_REQUEST, why),
            SmolStr::default(),
        )
    })?;
    let id = ask.id.clone();
    let fail = |own| (own, id.clone());
    let started = timeout(START_WAIT, relay.started()).await.is_ok();
    let Some(rules) = relay.rules().filter(|_| started) else {
        return Err(fail(Own::refuse(STARTING, "no rules yet")));
    };
    let path = head.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let route = rules.route(host(&head), path.path());
    let Some(route) = route.cloned() else {
        return Err(fail(Own::reject(StatusCode::NOT_FOUND, "no such route")));
    };
    let account = match account(&rules, route.open, ask.key.as_deref()) {
        Ok(account) => account,
        Err(own) => return Err(fail(own)),
    };
    let limits = rules.limits;
    let body = whole_body(body, limits.body, limits.idle).await;
    let body = body.map_err(fail)?;
    let point = fraction(&ask.id);
    let Some(service) = route.service(point).cloned() else {
        let why = "the route has no service";
        return Err(fail(Own::refuse(STARTING, why)));
    };
    let patience = ask.patience.unwrap_or(TIMEOUT_DEFAULT);
    let mut headers: HeaderMap = head.headers;
    (relay.dialect.strip)(&mut headers);
    Ok(CallerRequest {
        deadline: arrived + patience.min(route.timeout),
        rules: rules.version,
        method: head.method,
        ask,
        path,
        headers,
        body,
        account,
        route,
        service,
        arrived,
    })
}

fn host(head: &Parts) -> &str {
    let header = head.headers.get(HOST).and_then(|h| h.to_str().ok());
    let authority = head.uri.authority().map(|a| a.as_str());
    let host = authority.or(header).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

fn account(rules: &Rules, open: bool, key: Option<&str>) -> Result<Option<SmolStr>, Own> {
    let Some(accounts) = &rules.accounts else {
        return Ok(None);
    };
    let account = key.and_then(|k| accounts.get(k)).cloned();
    match account {
        None if !open => Err(Own::reject(StatusCode::UNAUTHORIZED, "unknown key")),
        account => Ok(account),
    }
}

async fn whole_body(body: Body, limit: usize, time: Duration) -> Result<Bytes, Own> {
    match timeout(time, read_body(body, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge(_))) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Own::reject(status, "the body is too large"))
        }
        Ok(Err(BodyError::Broken)) => {
            let status = StatusCode::BAD_REQUEST;
            Err(Own::reject(status, "the body broke off"))
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Own::reject(status, "the body came too slowly"))
        }
    }
}
