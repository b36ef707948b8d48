//! Writing a change through to the platform, whose answers may be lost.

use serde::Serialize;
use serde_json::{Value, json};

use super::answer::Refusal;
use crate::platform::{Client, Error, Expect, Object};

/// Tries of one change, the first included.
const TRIES: usize = 3;

/// The condition for a change that is based on `base`; 0 means that the object is absent.
pub(crate) fn expect(base: u64) -> Expect {
    match base {
        0 => Expect::Absent,
        rev => Expect::Rev(rev),
    }
}

/// Writes `value` if the object still has revision `base`, and returns the new revision.
///
/// After a lost answer the object is read back. A try again carries the same condition, so at
/// most one of the tries takes effect.
pub(crate) async fn put<T: Serialize>(
    platform: &Client,
    kind: &str,
    name: &str,
    value: &T,
    base: u64,
) -> Result<u64, Refusal> {
    let yours = json!(value);
    let mut tries = 0;
    loop {
        tries += 1;
        let error = match platform.put(kind, name, &yours, expect(base)).await {
            Ok(rev) => return Ok(rev),
            Err(error) => error,
        };
        let present = match &error {
            Error::Conflict(present) if tries == 1 => return Err(conflict(yours, present)),
            Error::Conflict(present) => present.as_deref().cloned(),
            Error::Unknown(_) => read(platform, kind, name, &error).await?,
            _ => return Err(refuse(&error, tries)),
        };
        match present {
            Some(object) if object.rev > base && object.value == yours => return Ok(object.rev),
            present if rev(present.as_ref()) != base => {
                return Err(Refusal::overtaken(yours, json!(present)));
            }
            _ if tries == TRIES => return Err(Refusal::platform(&error)),
            _ => {}
        }
    }
}

/// Deletes the object if it still has revision `base`, and returns the deletion's revision, or
/// 0 when the deletion's answer was lost and the object is gone.
pub(crate) async fn delete(
    platform: &Client,
    kind: &str,
    name: &str,
    base: u64,
) -> Result<u64, Refusal> {
    let mut tries = 0;
    loop {
        tries += 1;
        let error = match platform.delete(kind, name, base).await {
            Ok(rev) => return Ok(rev),
            Err(error) => error,
        };
        let present = match &error {
            Error::Conflict(present) if tries == 1 => return Err(conflict(Value::Null, present)),
            Error::Conflict(present) => present.as_deref().cloned(),
            Error::Unknown(_) => read(platform, kind, name, &error).await?,
            _ => return Err(refuse(&error, tries)),
        };
        match present {
            None => return Ok(0),
            Some(object) if object.rev != base => {
                return Err(Refusal::overtaken(Value::Null, json!(object)));
            }
            _ if tries == TRIES => return Err(Refusal::platform(&error)),
            _ => {}
        }
    }
}

async fn read(
    platform: &Client,
    kind: &str,
    name: &str,
    lost: &Error,
) -> Result<Option<Object>, Refusal> {
    let outcome = platform.get(kind, name).await;
    outcome.map_err(|_| Refusal::platform(lost))
}

/// A refusal after a lost answer does not make the earlier try undone.
fn refuse(error: &Error, tries: usize) -> Refusal {
    match tries {
        1 => Refusal::platform(error),
        _ => Refusal::platform(&Error::Unknown(error.to_string())),
    }
}

fn rev(object: Option<&Object>) -> u64 {
    object.map_or(0, |object| object.rev)
}

fn conflict(yours: Value, present: &Option<Box<Object>>) -> Refusal {
    Refusal::conflict(yours, json!(present))
}
