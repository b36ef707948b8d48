//! Error responses of the administration API.

use axum::Json;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use serde_json::Value;

use super::Fault;
use crate::http::discard;
use crate::platform;

/// An error response.
#[derive(Debug, Default, Serialize)]
pub(crate) struct ApiError {
    #[serde(skip)]
    status: StatusCode,
    outcome: &'static str,
    reason: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Fault>,
    #[serde(flatten)]
    conflict: Option<Box<ConflictValues>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The two values of a conflict.
#[derive(Debug, Serialize)]
struct ConflictValues {
    yours: Value,
    present: Value,
}

#[derive(Serialize)]
struct Body {
    error: ApiError,
}

impl ApiError {
    /// An error after which nothing was changed.
    pub(crate) fn new(
        status: StatusCode,
        reason: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            outcome: "not_run",
            reason,
            message: message.into(),
            ..Self::default()
        }
    }

    pub(crate) fn not_found(what: &str, name: &str) -> Self {
        Self::new(
            StatusCode::NOT_FOUND,
            "not_found",
            format!("no {what} is named `{name}`"),
        )
    }

    pub(crate) fn findings(findings: Vec<Fault>) -> Self {
        Self {
            findings,
            ..Self::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "bad_change",
                "the change has faults; nothing was changed",
            )
        }
    }

    /// Another change was applied first; contains both values.
    pub(crate) fn conflict(yours: Value, present: Value) -> Self {
        Self {
            conflict: Some(Box::new(ConflictValues { yours, present })),
            ..Self::new(
                StatusCode::CONFLICT,
                "conflict",
                "the object has changed since that revision; nothing was changed",
            )
        }
    }

    /// As [`Self::conflict`], but after a lost answer: this change may have been applied before the
    /// other one replaced it.
    pub(crate) fn conflict_after_loss(yours: Value, present: Value) -> Self {
        Self {
            outcome: "outcome_unknown",
            message: "the object has changed since that revision, perhaps after this change".into(),
            ..Self::conflict(yours, present)
        }
    }

    pub(crate) fn platform(error: &platform::Error) -> Self {
        let message = error.to_string();
        match error {
            platform::Error::Unknown(_) => Self {
                outcome: "outcome_unknown",
                ..Self::new(StatusCode::GATEWAY_TIMEOUT, "answer_lost", message)
            },
            platform::Error::Throttled(wait) => Self {
                retry_after_ms: Some(wait.as_millis() as u64),
                ..Self::new(StatusCode::SERVICE_UNAVAILABLE, "platform_busy", message)
            },
            platform::Error::Rejected(_) => {
                Self::new(StatusCode::UNPROCESSABLE_ENTITY, "rejected", message)
            }
            _ => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "platform_unavailable",
                message,
            ),
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let wait = self.retry_after_ms.map(|ms| ms.div_ceil(1_000).to_string());
        let status = self.status;
        let mut response = (status, Json(Body { error: self })).into_response();
        if let Some(wait) = wait.and_then(|wait| wait.parse().ok()) {
            response.headers_mut().insert(RETRY_AFTER, wait);
        }
        response
    }
}

/// Handles unknown paths.
pub(crate) async fn no_route(request: Request) -> ApiError {
    discard(request.into_body()).await;
    ApiError::new(StatusCode::NOT_FOUND, "no_route", "no such path")
}
