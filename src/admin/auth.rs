//! Authentication of operators by key.

use std::sync::Arc;

use axum::extract::{Request, State};
use axum::http::header::{AUTHORIZATION, WWW_AUTHENTICATE};
use axum::http::{HeaderValue, StatusCode};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use super::Context;
use super::answer::ApiError;
use crate::http::discard;

/// The operator who sent a request.
#[derive(Clone, Debug)]
pub(crate) struct Operator(pub(crate) SmolStr);

/// Rejects requests without a known operator key.
pub(crate) async fn require(
    State(context): State<Arc<Context>>,
    mut request: Request,
    next: Next,
) -> Response {
    let key = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    match key.and_then(|key| find(&context.operators, key)) {
        Some(operator) => {
            request.extensions_mut().insert(operator);
            next.run(request).await
        }
        None => {
            context.metrics.refused("operator_key");
            discard(request.into_body()).await;
            unauthorized()
        }
    }
}

/// Finds the operator with this key, comparing all keys in constant time.
fn find(operators: &IndexMap<SmolStr, SmolStr>, key: &str) -> Option<Operator> {
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    operators.iter().fold(None, |found, (name, known)| {
        let same = bool::from(known.as_bytes().ct_eq(digest.as_bytes()));
        if same {
            Some(Operator(name.clone()))
        } else {
            found
        }
    })
}

fn unauthorized() -> Response {
    let error = ApiError::new(
        StatusCode::UNAUTHORIZED,
        "bad_key",
        "send a known operator key as `Authorization: Bearer <key>`",
    );
    let mut response = error.into_response();
    response
        .headers_mut()
        .insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    response
}
