//! Authentication of the caller, the request's idempotency key and the resume cursor.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, format_smolstr};
use subtle::ConstantTimeEq;

use crate::config::{Account, View};
use crate::failure::Failure;

/// Maximum length of an idempotency key in bytes.
const MAX_KEY: usize = 256;

/// An authenticated account.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// Account name.
    pub(crate) name: SmolStr,
    /// The account's settings when the request arrived.
    pub(crate) account: std::sync::Arc<Account>,
}

/// Finds the account that the request's key belongs to.
///
/// # Errors
/// 401 when the key is missing or unknown.
pub(crate) fn authenticate(view: &View, headers: &HeaderMap) -> Result<Caller, Failure> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(|| Failure::not_run(401, "no_key", "send the account key as a bearer token"))?;
    let hash = hex::encode(Sha256::digest(token.as_bytes()));
    let known = view.keys.get(hash.as_str()).and_then(|name| {
        let account = view.accounts.get(name)?;
        let matches = account.value.key_sha256.as_bytes().ct_eq(hash.as_bytes());
        bool::from(matches).then(|| Caller {
            name: name.clone(),
            account: std::sync::Arc::clone(&account.value),
        })
    });
    known.ok_or_else(|| Failure::not_run(401, "unknown_key", "the account key is not known"))
}

/// The request's idempotency key, if any.
///
/// # Errors
/// 400 when the key is empty, too long or not visible ASCII.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>, Failure> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    match text.len() {
        1..=MAX_KEY => Ok(Some(SmolStr::new(text))),
        _ => Err(Failure::not_run(
            400,
            "bad_key",
            format_smolstr!("Idempotency-Key must be 1 to {MAX_KEY} visible ASCII characters"),
        )),
    }
}

/// The cursor of a resume: index of the last token that the caller has received.
///
/// # Errors
/// 400 when it is not an unsigned integer.
pub(crate) fn last_event(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse().ok())
        .map(Some)
        .ok_or_else(|| {
            Failure::not_run(
                400,
                "bad_cursor",
                "Last-Event-ID must be the id of a token event",
            )
        })
}

/// Rejects a cursor that an answer of at most `max` tokens cannot have reached.
///
/// # Errors
/// 400 when it is at or beyond `max`.
pub(crate) fn check_cursor(cursor: Option<u64>, max: u32) -> Result<(), Failure> {
    match cursor {
        Some(cursor) if cursor >= u64::from(max) => Err(Failure::not_run(
            400,
            "bad_cursor",
            format_smolstr!("Last-Event-ID {cursor} is beyond max_tokens"),
        )),
        _ => Ok(()),
    }
}

/// A random key for a request without an idempotency key.
pub(crate) fn random_key() -> SmolStr {
    format_smolstr!("{:032x}", rand::random::<u128>())
}
