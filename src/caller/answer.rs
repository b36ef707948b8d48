//! Error responses in JSON, and the request id header.

use axum::response::{IntoResponse, Response};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};

use crate::failure::Failure;

/// Response header with the request's id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, self.body().to_string()).into_response();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after {
            let secs = wait.as_millis().div_ceil(1000) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(secs.max(1)));
        }
        response
    }
}

/// Adds the request id header to `response`.
pub(crate) fn with_request_id(mut response: Response, id: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
