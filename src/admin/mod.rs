//! The administration API: services, accounts, moves, status, events and metrics.
//!
//! Serves operators and the command line, off the path of requests. Handlers contain no rules:
//! `check` validates a change and `change` writes it to the platform.

mod answer;
mod auth;
mod change;
pub(crate) mod check;
mod event;
mod moves;
mod object;
mod status;
mod wire;

use std::fmt;
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware::from_fn_with_state;
use axum::routing::{get, post, put};
use indexmap::IndexMap;
use slog::Logger;
use smol_str::SmolStr;
use tokio::net::TcpListener;

pub use check::Fault;
pub use event::{Event, Events, follow};
pub use moves::{Start, Withdraw};
pub use status::{Fleet, InstanceStatus, TargetStatus};
pub use wire::context;

use crate::config::Store;
use crate::platform;
use crate::settings::Identity;
use crate::telemetry::Metrics;

/// State shared by the handlers of the administration API.
pub struct Context {
    /// This instance.
    pub instance: Identity,
    /// Hex SHA-256 of each operator's key, by name.
    pub operators: IndexMap<SmolStr, SmolStr>,
    /// Platform client that writes changes.
    pub platform: platform::Client,
    /// The configuration in force.
    pub store: Arc<Store>,
    /// Metrics that `/metrics` renders.
    pub metrics: Metrics,
    /// Recent events.
    pub events: Events,
    /// Whether the instance accepts new requests.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// The instance's view of other instances and targets.
    pub fleet: Box<dyn Fn() -> Fleet + Send + Sync>,
    /// Logger.
    pub log: Logger,
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}

type Shared = State<Arc<Context>>;

/// The routes of the administration API. Only `/healthz` and `/readyz` need no operator key.
pub fn router(context: Arc<Context>) -> Router {
    let guarded = Router::new()
        .route("/metrics", get(metrics))
        .route("/v1/status", get(status::show))
        .route("/v1/events", get(event::list))
        .route("/v1/services", get(object::services))
        .route(
            "/v1/services/{name}",
            get(object::service)
                .put(object::put_service)
                .delete(object::delete_service),
        )
        .route(
            "/v1/services/{name}/versions/{version}",
            put(object::put_version).delete(object::delete_version),
        )
        .route("/v1/accounts", get(object::accounts))
        .route(
            "/v1/accounts/{name}",
            get(object::account)
                .put(object::put_account)
                .delete(object::delete_account),
        )
        .route("/v1/moves", get(moves::list))
        .route("/v1/moves/{service}", get(moves::show).post(moves::start))
        .route("/v1/moves/{service}/withdraw", post(moves::withdraw))
        .fallback(answer::no_route)
        .layer(from_fn_with_state(Arc::clone(&context), auth::require));
    Router::new()
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(ready))
        .merge(guarded)
        .with_state(context)
}

/// Serves the administration API on `listener` until `closed` completes and the requests that are
/// open by then are answered.
///
/// # Errors
/// When connections can no longer be accepted.
pub async fn serve(
    listener: TcpListener,
    context: Arc<Context>,
    closed: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let serving = axum::serve(listener, router(context));
    serving.with_graceful_shutdown(closed).await
}

async fn metrics(State(context): Shared) -> String {
    context.metrics.render()
}

async fn ready(State(context): Shared) -> (StatusCode, &'static str) {
    match (context.ready)() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}
