//! Routes of the object API.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use super::conn;
use super::faults::Fate;
use super::routes::{App, Inner, Shared};
use super::store::Change;

/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// Most objects in a page.
const PAGE_LIMIT: usize = 500;

#[derive(Deserialize)]
pub struct Condition {
    if_rev: Option<u64>,
}

#[derive(Deserialize)]
pub struct Page {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

#[derive(Deserialize)]
pub struct Since {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

pub async fn read(State(shared): App, Path((kind, name)): Path<(String, String)>) -> Response {
    let inner = shared.inner.lock();
    match inner.store.get(&kind, &name, inner.read_time()) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

pub async fn list(
    State(shared): App,
    Path(kind): Path<String>,
    Query(page): Query<Page>,
) -> Response {
    let inner = shared.inner.lock();
    let limit = page.limit.unwrap_or(PAGE_LIMIT).clamp(1, PAGE_LIMIT);
    let at = inner.read_time();
    let items = inner
        .store
        .list(&kind, &page.prefix, &page.after, limit, at);
    Json(json!({ "rev": inner.store.rev(at), "items": items })).into_response()
}

pub async fn write(
    State(shared): App,
    Path((kind, name)): Path<(String, String)>,
    Query(condition): Query<Condition>,
    body: Bytes,
) -> Response {
    match serde_json::from_slice::<Value>(&body) {
        Ok(value) => change(shared, kind, name, Some(value), condition).await,
        Err(e) => (StatusCode::BAD_REQUEST, e.to_string()).into_response(),
    }
}

pub async fn remove(
    State(shared): App,
    Path((kind, name)): Path<(String, String)>,
    Query(condition): Query<Condition>,
) -> Response {
    change(shared, kind, name, None, condition).await
}

async fn change(
    shared: Arc<Shared>,
    kind: String,
    name: String,
    value: Option<Value>,
    condition: Condition,
) -> Response {
    let Some(if_rev) = condition.if_rev else {
        return (StatusCode::BAD_REQUEST, "if_rev is missing").into_response();
    };
    let fate = shared.inner.lock().faults.fate(&kind);
    match fate {
        Fate::Plain => apply(&shared, &kind, &name, value, if_rev),
        Fate::Lost => {
            apply(&shared, &kind, &name, value, if_rev);
            conn::lost()
        }
        Fate::Late(ms) => {
            // A task of its own, since the caller's disconnection would cancel this one.
            let late = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                apply(&shared, &kind, &name, value, if_rev);
            });
            late.await.ok();
            conn::lost()
        }
    }
}

fn apply(shared: &Shared, kind: &str, name: &str, value: Option<Value>, if_rev: u64) -> Response {
    let mut inner = shared.inner.lock();
    let deletes = value.is_none();
    let changed = inner
        .store
        .change(kind, name, value, if_rev, Instant::now());
    match changed {
        Ok(rev) => {
            shared.revs.send_replace(rev);
            Json(json!({ "rev": rev })).into_response()
        }
        Err(None) if deletes => StatusCode::NOT_FOUND.into_response(),
        Err(None) => (StatusCode::CONFLICT, Json(json!({ "rev": 0 }))).into_response(),
        Err(Some(present)) => (StatusCode::CONFLICT, Json(present)).into_response(),
    }
}

pub async fn watch(
    State(shared): App,
    Path(kind): Path<String>,
    Query(since): Query<Since>,
) -> Response {
    let mut revs = shared.revs.subscribe();
    let wait = Duration::from_millis(since.wait_ms).min(WATCH_LIMIT);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        revs.borrow_and_update();
        let (rev, changes) = {
            let inner = shared.inner.lock();
            (
                inner.store.rev(Instant::now()),
                inner.store.since(&kind, since.from),
            )
        };
        match changes {
            None => return StatusCode::GONE.into_response(),
            Some(changes) if !changes.is_empty() => return events(rev, &changes),
            Some(_) => {}
        }
        let changed = tokio::time::timeout_at(deadline, revs.changed()).await;
        if changed.is_err() {
            return events(rev, &[]);
        }
    }
}

fn events(rev: u64, changes: &[Change]) -> Response {
    Json(json!({ "rev": rev, "events": changes })).into_response()
}

impl Inner {
    fn read_time(&self) -> Instant {
        let stale = Duration::from_millis(self.faults.stale_ms);
        let now = Instant::now();
        now.checked_sub(stale).unwrap_or(now)
    }
}
