//! Routes: reads, actions, the status call, load and control.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::conn::{self, Accepted};
use super::{Faults, Options};

type App = State<Arc<Shared>>;

/// Calls at once that the load report names as its slots.
const SLOTS: u32 = 64;

pub struct Shared {
    inner: Mutex<Inner>,
    frozen: watch::Sender<bool>,
    version: String,
}

struct Inner {
    faults: Faults,
    silent: Option<Instant>,
    runs: BTreeMap<String, Run>,
    total: u64,
    errors: f64,
    running: u32,
}

#[derive(Clone, Default)]
struct Run {
    count: u64,
    status: u16,
    body: Value,
}

/// What becomes of one action.
enum Fate {
    Answer(StatusCode, Value),
    LoseRequest,
    LoseAnswer,
}

impl Shared {
    pub fn new(options: Options) -> Self {
        let inner = Inner {
            faults: options.faults,
            silent: None,
            runs: BTreeMap::new(),
            total: 0,
            errors: 0.0,
            running: 0,
        };
        Self {
            frozen: watch::Sender::new(inner.faults.freeze),
            inner: Mutex::new(inner),
            version: options.version,
        }
    }
}

pub fn router(shared: Arc<Shared>) -> Router {
    let service = Router::new()
        .route("/v1/load", get(load))
        .route("/status/{key}", get(status))
        .fallback(any(call))
        .layer(from_fn_with_state(Arc::clone(&shared), gate));
    let control = Router::new()
        .route("/control", post(control))
        .route("/control/log", get(log));
    control.merge(service).with_state(shared)
}

/// Holds back calls while the service is frozen, and the answers of silent connections.
async fn gate(State(shared): App, request: Request, next: Next) -> Response {
    let accepted = request.extensions().get::<Accepted>().map(|a| a.0);
    let silent = || accepted < shared.inner.lock().silent;
    if silent() {
        std::future::pending::<()>().await;
    }
    let mut frozen = shared.frozen.subscribe();
    frozen.wait_for(|frozen| !frozen).await.ok();
    let answer = next.run(request).await;
    if silent() {
        std::future::pending::<()>().await;
    }
    answer
}

async fn call(
    State(shared): App,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let (delay, refuse) = {
        let faults = &shared.inner.lock().faults;
        (Duration::from_millis(faults.delay_ms), faults.refuse)
    };
    if refuse {
        let error = json!({ "error": "refused", "not_run": true });
        return (StatusCode::SERVICE_UNAVAILABLE, Json(error)).into_response();
    }
    // A task of its own: a service goes on when its caller has hung up.
    let task = tokio::spawn(async move {
        shared.inner.lock().running += 1;
        tokio::time::sleep(delay).await;
        let fate = shared.inner.lock().run(&method, &uri, &headers, &body);
        let slow = shared.inner.lock().faults.slow_ms;
        tokio::time::sleep(Duration::from_millis(slow)).await;
        shared.inner.lock().running -= 1;
        fate
    });
    match task.await.expect("a call never panics") {
        Fate::Answer(status, body) => (status, Json(body)).into_response(),
        Fate::LoseRequest | Fate::LoseAnswer => conn::lost(),
    }
}

impl Inner {
    fn run(&mut self, method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) -> Fate {
        let status = self.status(method);
        if method.is_safe() {
            return Fate::Answer(status, json!({ "path": uri.path(), "read": true }));
        }
        if self.faults.lose_requests > 0 {
            self.faults.lose_requests -= 1;
            return Fate::LoseRequest;
        }
        self.total += 1;
        let key = headers.get("idempotency-key");
        let key = key.and_then(|k| k.to_str().ok()).unwrap_or("").to_owned();
        let run = self.runs.entry(key.clone()).or_default();
        run.count += 1;
        run.status = status.as_u16();
        run.body = json!({ "key": key, "run": run.count, "bytes": body.len() });
        let answer = Fate::Answer(status, run.body.clone());
        match self.faults.lose_answers {
            0 => answer,
            _ => {
                self.faults.lose_answers -= 1;
                Fate::LoseAnswer
            }
        }
    }

    /// Spreads errors evenly, so that a rate gives the same answers on every run.
    fn status(&mut self, method: &Method) -> StatusCode {
        self.errors += self.faults.error_rate;
        match self.errors {
            e if e >= 1.0 => {
                self.errors -= 1.0;
                StatusCode::INTERNAL_SERVER_ERROR
            }
            _ if method.is_safe() => StatusCode::OK,
            _ => StatusCode::CREATED,
        }
    }
}

async fn status(State(shared): App, Path(key): Path<String>) -> Response {
    let inner = shared.inner.lock();
    match inner.runs.get(&key) {
        Some(run) if !inner.faults.forget => {
            let state = json!({ "state": "done", "status": run.status, "body": run.body });
            Json(state).into_response()
        }
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn load(State(shared): App) -> Json<Value> {
    let inner = shared.inner.lock();
    Json(json!({
        "running": inner.running,
        "queued": 0,
        "slots": SLOTS,
        "leaving": inner.faults.leaving,
        "version": shared.version,
        "tokens_per_s": 0.0,
        "age_ms": 0,
    }))
}

async fn control(State(shared): App, Json(change): Json<Value>) -> Response {
    let mut inner = shared.inner.lock();
    if let Err(e) = inner.faults.merge(change) {
        return (StatusCode::BAD_REQUEST, e).into_response();
    }
    if std::mem::take(&mut inner.faults.silent) {
        inner.silent = Some(Instant::now());
    }
    shared.frozen.send_replace(inner.faults.freeze);
    Json(&inner.faults).into_response()
}

/// How often each key's action ran, and all actions.
async fn log(State(shared): App) -> Json<Value> {
    let inner = shared.inner.lock();
    let keys = inner.runs.iter().map(|(key, run)| (key.clone(), run.count));
    let keys: BTreeMap<_, _> = keys.collect();
    Json(json!({ "total": inner.total, "keys": keys }))
}
