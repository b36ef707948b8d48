//! HTTP calls to plain services.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::response::{IntoResponse, Response};
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode};
use smol_str::{SmolStr, format_smolstr};

use super::answer::with_request_id;
use super::front::{Front, read_body};
use super::identity;
use super::open::OpenRequest;
use crate::action::{Call, Outcome};
use crate::config::Kind;
use crate::failure::Failure;
use crate::ident::RequestKey;

/// Time allowed for claims and retries in addition to the service's response timeout.
const RETRY_TIME: Duration = Duration::from_secs(5);

/// Request headers that are forwarded to a plain service.
const FORWARDED_HEADERS: [HeaderName; 3] = [
    CONTENT_TYPE,
    http::header::ACCEPT,
    http::header::ACCEPT_LANGUAGE,
];

/// `ANY /services/{service}/{path}`.
pub(crate) async fn call(
    State(front): State<Front>,
    Path((service, path)): Path<(SmolStr, String)>,
    request: Request,
) -> Response {
    front.drain.record_arrival();
    let key = match identity::idempotency_key(request.headers()) {
        Ok(key) => key,
        Err(failure) => return failure.into_response(),
    };
    let id = key.clone().unwrap_or_else(identity::random_key);
    let response = match run(&front, service, path, key, &id, request).await {
        Ok(outcome) => outcome_response(outcome),
        Err(failure) => {
            front.instance.metrics.refused(failure.reason);
            failure.into_response()
        }
    };
    with_request_id(response, &id)
}

async fn run(
    front: &Front,
    service: SmolStr,
    path: String,
    key: Option<SmolStr>,
    id: &str,
    request: Request,
) -> Result<Outcome, Failure> {
    let instance = &front.instance;
    let view = instance.config.view();
    let caller = identity::authenticate(&view, request.headers())?;
    let found = view
        .services
        .get(&service)
        .filter(|s| s.value.kind == Kind::Plain)
        .ok_or_else(|| {
            Failure::not_run(
                404,
                "unknown_service",
                format!("no service is named {service}"),
            )
        })?;
    if let Some(open) = request.extensions().get::<OpenRequest>() {
        let id = RequestKey::new(&caller.name, id);
        open.describe(&format_smolstr!("{id}"), &service, view.rev);
    }
    let method = request.method().clone();
    let headers = forwarded_headers(request.headers());
    let path = full_path(&path, request.uri().query());
    let body = read_body(front, request).await?;
    let timeout = Duration::from_millis(found.value.timeout_ms);
    let route = found.value.route(method.as_str(), &path);
    let call = Call {
        service,
        account: caller.name.clone(),
        key,
        method,
        path: path.into(),
        headers,
        body,
        repeat: route.map(|r| r.repeat).unwrap_or_default(),
        status: route.and_then(|r| r.status.clone()),
        timeout,
        deadline: timeout + RETRY_TIME,
    };
    instance.act(call, &caller.account, &front.drain).await
}

fn full_path(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    FORWARDED_HEADERS
        .iter()
        .filter_map(|name| Some((name.clone(), headers.get(name)?.clone())))
        .collect()
}

fn outcome_response(outcome: Outcome) -> Response {
    let mut response = Response::new(Body::from(outcome.body));
    *response.status_mut() =
        StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(kind) = HeaderValue::from_str(&outcome.content) {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    response
}
