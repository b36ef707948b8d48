//! Routes: the control of faults, the instance list, and the gate that every call passes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::conn::{self, Accepted};
use super::faults::{Bucket, Counts, Faults, Outage};
use super::instances::Instances;
use super::store::Store;
use super::{Options, objects};

/// Most bytes of a value.
pub const VALUE_LIMIT: usize = 1 << 20;

pub type App = State<Arc<Shared>>;

/// Everything that the routes share.
pub struct Shared {
    pub inner: Mutex<Inner>,
    pub revs: watch::Sender<u64>,
}

pub struct Inner {
    pub store: Store,
    pub instances: Instances,
    pub faults: Faults,
    pub counts: Counts,
    pub writes: Bucket,
    pub reads: Bucket,
    pub silent: Option<Instant>,
}

impl Shared {
    pub fn new(options: Options) -> Self {
        let now = Instant::now();
        let inner = Inner {
            store: Store::new(options.history),
            instances: Instances::default(),
            faults: options.faults,
            counts: Counts::default(),
            writes: Bucket::new(now),
            reads: Bucket::new(now),
            silent: None,
        };
        Self {
            inner: Mutex::new(inner),
            revs: watch::Sender::new(0),
        }
    }
}

pub fn router(shared: Arc<Shared>) -> Router {
    let api = Router::new()
        .route(
            "/v1/objects/{kind}/{name}",
            get(objects::read)
                .put(objects::write)
                .delete(objects::remove),
        )
        .route("/v1/objects/{kind}", get(objects::list))
        .route("/v1/watch/{kind}", get(objects::watch))
        .route("/v1/instances", get(instances))
        .layer(DefaultBodyLimit::max(VALUE_LIMIT))
        .layer(from_fn_with_state(Arc::clone(&shared), gate));
    let control = Router::new()
        .route("/control", post(control))
        .route("/control/counts", get(counts))
        .route("/control/instances", post(upsert))
        .route("/control/instances/{name}", delete(forget));
    api.merge(control).with_state(shared)
}

/// Counts a call, then applies outage, rates and delay to it.
async fn gate(State(shared): App, request: Request, next: Next) -> Response {
    let accepted = request.extensions().get::<Accepted>().map(|a| a.0);
    if accepted < shared.inner.lock().silent {
        std::future::pending::<()>().await;
    }
    let (outage, allowed, delay) = shared.inner.lock().admit(&request);
    tokio::time::sleep(delay).await;
    match outage {
        Outage::Refuse => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Outage::Drop => conn::lost(),
        Outage::None if !allowed => throttled(),
        Outage::None => next.run(request).await,
    }
}

impl Inner {
    fn admit(&mut self, request: &Request) -> (Outage, bool, Duration) {
        let now = Instant::now();
        let mut parts = request.uri().path().split('/').skip(2);
        let (area, kind) = (parts.next().unwrap_or(""), parts.next());
        let one = parts.next().is_some();
        let write = !request.method().is_safe();
        let count = match (area, request.method().as_str()) {
            ("watch", _) => &mut self.counts.watches,
            ("instances", _) => &mut self.counts.instances,
            (_, "PUT") => &mut self.counts.writes,
            (_, "DELETE") => &mut self.counts.deletes,
            _ if one => &mut self.counts.reads,
            _ => &mut self.counts.lists,
        };
        *count += 1;
        if let Some(kind) = kind {
            *self.counts.kinds.entry(kind.into()).or_default() += 1;
        }
        let allowed = match write {
            true => self.writes.take(self.faults.write_rate, now),
            false => self.reads.take(self.faults.read_rate, now),
        };
        match self.faults.outage {
            Outage::None if !allowed => self.counts.throttled += 1,
            Outage::None => {}
            Outage::Refuse | Outage::Drop => self.counts.refused += 1,
        }
        let delay = Duration::from_millis(self.faults.delay_ms);
        (self.faults.outage, allowed, delay)
    }
}

fn throttled() -> Response {
    (StatusCode::TOO_MANY_REQUESTS, [("retry-after", "1")]).into_response()
}

async fn control(State(shared): App, Json(change): Json<Value>) -> Response {
    let mut inner = shared.inner.lock();
    if let Err(e) = inner.faults.merge(change) {
        return (StatusCode::BAD_REQUEST, e).into_response();
    }
    if std::mem::take(&mut inner.faults.silent) {
        inner.silent = Some(Instant::now());
    }
    Json(&inner.faults).into_response()
}

async fn counts(State(shared): App) -> Json<Counts> {
    Json(shared.inner.lock().counts.clone())
}

async fn upsert(State(shared): App, Json(entry): Json<Value>) -> Response {
    let name = entry["name"].as_str().unwrap_or("").to_owned();
    if name.is_empty() {
        return (StatusCode::BAD_REQUEST, "name is missing").into_response();
    }
    let mut inner = shared.inner.lock();
    inner.instances.set(&name, Some(entry), Instant::now());
    StatusCode::OK.into_response()
}

async fn forget(State(shared): App, Path(name): Path<String>) -> StatusCode {
    let mut inner = shared.inner.lock();
    inner.instances.set(&name, None, Instant::now());
    StatusCode::OK
}

async fn instances(State(shared): App) -> Json<Value> {
    let inner = shared.inner.lock();
    let lag = Duration::from_millis(inner.faults.lag_ms);
    let (rev, items) = match Instant::now().checked_sub(lag) {
        Some(at) => inner.instances.list(at),
        None => (0, Vec::new()),
    };
    Json(json!({ "rev": rev, "items": items }))
}
