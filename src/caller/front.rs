//! Routes of the HTTP server for callers, and what its handlers share.

use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, StatusCode, Version};

use super::drain::Drain;
use super::{completions, services};
use crate::failure::Failure;
use crate::http::{BodyError, read_body as read_limited};
use crate::instance::Instance;

/// State shared by the request handlers.
#[derive(Clone, Debug)]
pub struct Front {
    /// The instance.
    pub instance: Arc<Instance>,
    /// The state of a shutdown.
    pub drain: Arc<Drain>,
}

/// Builds the router.
pub fn router(front: Front) -> Router {
    Router::new()
        .route("/v1/completions", post(completions::text))
        .route("/v1/chat/completions", post(completions::chat))
        .route("/services/{service}/{*path}", any(services::call))
        .route("/healthz", get(|| async { "alive\n" }))
        .route("/readyz", get(ready))
        .fallback(unknown_path)
        .method_not_allowed_fallback(wrong_method)
        .layer(from_fn_with_state(Arc::clone(&front.drain), close_on_drain))
        .with_state(front)
}

/// Adds `connection: close` to HTTP/1 responses of a draining instance, so that callers send their
/// next request to another one.
pub(crate) async fn close_on_drain(
    State(drain): State<Arc<Drain>>,
    request: Request,
    next: Next,
) -> Response {
    let http1 = request.version() < Version::HTTP_2;
    let mut response = next.run(request).await;
    if http1 && drain.draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn ready(State(front): State<Front>) -> Response {
    match (front.drain.draining(), front.instance.ready()) {
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "draining\n").into_response(),
        (false, false) => {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n").into_response()
        }
        (false, true) => "ready\n".into_response(),
    }
}

async fn unknown_path() -> Failure {
    Failure::not_run(404, "unknown_path", "unknown path; see docs/interfaces.md")
}

async fn wrong_method() -> Failure {
    Failure::not_run(
        405,
        "wrong_method",
        "method not supported on this path; see docs/interfaces.md",
    )
}

/// Reads a complete request body within the size and time limits.
///
/// # Errors
/// 413 when it is too large, 408 when it was not received in time, 400 when it ended early, 503 when
/// the process ends before it is complete.
pub(crate) async fn read_body(front: &Front, request: Request<Body>) -> Result<Bytes, Failure> {
    let limits = front.instance.settings.limits;
    let body = read_limited(request.into_body(), limits.body);
    let received = tokio::select! {
        biased;
        received = tokio::time::timeout(limits.receive, body) => received,
        () = front.drain.expiring() => return Err(Failure::shutting_down()),
    };
    match received {
        Err(_) => Err(Failure::not_run(
            408,
            "slow_request",
            "the request body was not received in time",
        )),
        Ok(Err(BodyError::TooLarge(_))) => Err(Failure::not_run(
            413,
            "body_too_large",
            format!("the request body is larger than {} bytes", limits.body),
        )),
        Ok(Err(BodyError::Broken)) => Err(Failure::not_run(
            400,
            "broken_body",
            "the request body ended before it was complete",
        )),
        Ok(Ok(body)) => Ok(body),
    }
}
