//! HTTP routes of an engine.

use std::convert::Infallible;
use std::fmt::Write as _;
use std::sync::Arc;

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::batch::Start;
use super::fault::Control;
use super::token::token;
use super::{Engine, order};

/// Largest body accepted, in bytes.
const BODY: usize = 16 << 20;

/// Most tokens in one chunk of a stream.
const CHUNK: u64 = 256;

type Shared = State<Arc<Engine>>;

/// All routes.
pub fn router(engine: Arc<Engine>) -> Router {
    Router::new()
        .route("/v1/attempts", post(start))
        .route("/v1/attempts/{id}", get(position).delete(cancel))
        .route("/v1/attempts/{id}/stream", get(resume))
        .route("/v1/load", get(load))
        .route("/v1/cache/events", get(events))
        .route("/v1/orders", post(orders))
        .route("/v1/state", get(state))
        .route("/control", post(control))
        .route("/control/log", get(log))
        .layer(DefaultBodyLimit::max(BODY))
        .layer(from_fn_with_state(Arc::clone(&engine), frozen))
        .with_state(engine)
}

async fn frozen(State(engine): Shared, request: Request, next: Next) -> Response {
    engine.thawed().await;
    let response = next.run(request).await;
    engine.thawed().await;
    response
}

async fn start(State(engine): Shared, Json(start): Json<Start>) -> Response {
    let loaded = {
        let state = engine.orders.state.lock();
        start.version.is_empty() || state.versions.contains(&start.version)
    };
    let id = start.attempt.clone();
    let from = start.prefix.len() as u64;
    {
        let mut batch = engine.batch.lock();
        let refusal = match () {
            () if !loaded => Some("version_not_loaded"),
            () if batch.leaving => Some("leaving"),
            () if batch.refuse => Some("refused"),
            () => None,
        };
        if let Some(reason) = refusal {
            let body = json!({"error": reason, "not_run": true});
            return (StatusCode::SERVICE_UNAVAILABLE, Json(body)).into_response();
        }
        if batch.attempts.contains_key(&id) {
            return (StatusCode::CONFLICT, Json(json!({"error": "known"}))).into_response();
        }
        batch.start(start, Instant::now());
    }
    engine.work.notify_one();
    lines(engine, id, from)
}

async fn position(State(engine): Shared, Path(id): Path<String>) -> Response {
    match engine.batch.lock().attempts.get(&id) {
        Some(a) => Json(json!({"attempt": id, "state": a.phase, "next": a.next})).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

async fn resume(State(engine): Shared, Path(id): Path<String>, at: Query<From>) -> Response {
    let known = {
        let mut batch = engine.batch.lock();
        batch.record("resume", &id, at.from);
        batch.attempts.contains_key(&id)
    };
    match known {
        true => lines(engine, id, at.from),
        false => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn cancel(State(engine): Shared, Path(id): Path<String>) -> StatusCode {
    let known = engine.batch.lock().cancel(&id, "cancel");
    engine.work.notify_one();
    match known {
        true => StatusCode::OK,
        false => StatusCode::NOT_FOUND,
    }
}

async fn load(State(engine): Shared) -> Response {
    Json(engine.batch.lock().load(Instant::now())).into_response()
}

async fn events(State(engine): Shared, at: Query<From>) -> Response {
    let lag = engine.opts.event_lag;
    let (next, events) = engine.batch.lock().cache.events(at.from, lag);
    Json(json!({"next": next, "events": events})).into_response()
}

async fn orders(State(engine): Shared, Json(request): Json<order::Request>) -> Response {
    match engine.orders.obey(request).await {
        Ok(()) => Json(json!({})).into_response(),
        Err(fence) => (StatusCode::CONFLICT, Json(json!({"fence": fence}))).into_response(),
    }
}

async fn state(State(engine): Shared) -> Response {
    Json(engine.orders.state.lock().clone()).into_response()
}

async fn control(State(engine): Shared, Json(control): Json<Control>) -> StatusCode {
    engine.control(control);
    StatusCode::OK
}

async fn log(State(engine): Shared) -> Response {
    Json(engine.log()).into_response()
}

/// One reader of an attempt.
struct Reader {
    engine: Arc<Engine>,
    id: String,
    next: u64,
    opened: bool,
    ended: bool,
    news: Arc<Notify>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.batch.lock().detach(&self.id);
    }
}

impl Reader {
    fn take(&mut self) -> Option<String> {
        let mut out = String::new();
        let batch = self.engine.batch.lock();
        let Some(attempt) = batch.attempts.get(&self.id) else {
            self.ended = true;
            return None;
        };
        if !self.opened {
            self.opened = true;
            let (id, next) = (&self.id, self.next);
            writeln!(out, "{{\"attempt\":\"{id}\",\"next\":{next}}}").expect("to a string");
        }
        let until = attempt.next.min(self.next + CHUNK);
        while self.next < until {
            let text = token(&attempt.start.prompt, self.next);
            writeln!(out, "{{\"i\":{},\"t\":\"{text}\"}}", self.next).expect("to a string");
            self.next += 1;
        }
        if self.next >= attempt.next {
            let last = attempt.last_line();
            self.ended = last.is_some();
            out.extend(last);
        }
        (!out.is_empty()).then_some(out)
    }

    async fn read(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.ended {
            return None;
        }
        loop {
            self.engine.thawed().await;
            let news = Arc::clone(&self.news);
            let woken = news.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            match self.take() {
                Some(out) => return Some((Ok(out.into()), self)),
                None if self.ended => return None,
                None => woken.await,
            }
        }
    }
}

fn lines(engine: Arc<Engine>, id: String, from: u64) -> Response {
    let news = {
        let mut batch = engine.batch.lock();
        let Some(attempt) = batch.attempts.get_mut(&id) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        attempt.readers += 1;
        Arc::clone(&attempt.news)
    };
    let reader = Reader {
        engine,
        id,
        next: from,
        opened: false,
        ended: false,
        news,
    };
    let body = Body::from_stream(stream::unfold(reader, Reader::read));
    ([(CONTENT_TYPE, "application/x-ndjson")], body).into_response()
}
