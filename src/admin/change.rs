//! Writes a change to the platform and resolves its outcome when an answer is lost.

use serde::Serialize;
use serde_json::{Value, json};

use super::answer::ApiError;
use crate::platform::{Client, Error, Expect, Object};

/// Maximum attempts for one change, including the first.
const MAX_ATTEMPTS: usize = 3;

/// The write condition of a change based on revision `base`; 0 means that the object is absent.
pub(crate) fn expect(base: u64) -> Expect {
    match base {
        0 => Expect::Absent,
        rev => Expect::Rev(rev),
    }
}

/// Writes `value` if the object still has revision `base`, and returns the new revision.
///
/// After a lost answer the object is read back. Each retry has the same condition, so at most one
/// attempt takes effect.
pub(crate) async fn put<T: Serialize>(
    platform: &Client,
    kind: &str,
    name: &str,
    value: &T,
    base: u64,
) -> Result<u64, ApiError> {
    let yours = json!(value);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let error = match platform.put(kind, name, &yours, expect(base)).await {
            Ok(rev) => return Ok(rev),
            Err(error) => error,
        };
        let present = match &error {
            Error::Conflict(present) if attempts == 1 => return Err(conflict(yours, present)),
            Error::Conflict(present) => present.as_deref().cloned(),
            Error::Unknown(_) => read(platform, kind, name, &error).await?,
            _ => return Err(attempt_error(&error, attempts)),
        };
        match present {
            Some(object) if object.rev > base && object.value == yours => return Ok(object.rev),
            present if rev(present.as_ref()) != base => {
                return Err(ApiError::conflict_after_loss(yours, json!(present)));
            }
            _ if attempts == MAX_ATTEMPTS => return Err(ApiError::platform(&error)),
            _ => {}
        }
    }
}

/// Deletes the object if it still has revision `base`. Returns the deletion's revision, or 0 if the
/// answer was lost and the object no longer exists.
pub(crate) async fn delete(
    platform: &Client,
    kind: &str,
    name: &str,
    base: u64,
) -> Result<u64, ApiError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let error = match platform.delete(kind, name, base).await {
            Ok(rev) => return Ok(rev),
            Err(error) => error,
        };
        let present = match &error {
            Error::Conflict(present) if attempts == 1 => {
                return Err(conflict(Value::Null, present));
            }
            Error::Conflict(present) => present.as_deref().cloned(),
            Error::Unknown(_) => read(platform, kind, name, &error).await?,
            _ => return Err(attempt_error(&error, attempts)),
        };
        match present {
            None => return Ok(0),
            Some(object) if object.rev != base => {
                return Err(ApiError::conflict_after_loss(Value::Null, json!(object)));
            }
            _ if attempts == MAX_ATTEMPTS => return Err(ApiError::platform(&error)),
            _ => {}
        }
    }
}

async fn read(
    platform: &Client,
    kind: &str,
    name: &str,
    lost: &Error,
) -> Result<Option<Object>, ApiError> {
    let outcome = platform.get(kind, name).await;
    outcome.map_err(|_| ApiError::platform(lost))
}

/// The error of a failed attempt. After an earlier lost answer the outcome stays unknown, because
/// that attempt may have taken effect.
fn attempt_error(error: &Error, attempts: usize) -> ApiError {
    match attempts {
        1 => ApiError::platform(error),
        _ => ApiError::platform(&Error::Unknown(error.to_string())),
    }
}

fn rev(object: Option<&Object>) -> u64 {
    object.map_or(0, |object| object.rev)
}

fn conflict(yours: Value, present: &Option<Box<Object>>) -> ApiError {
    ApiError::conflict(yours, json!(present))
}
