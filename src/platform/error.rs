//! Why a call to the platform failed, and whether it may have been applied.

use std::time::Duration;

use super::Object;

/// A failed call.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The condition does not hold; carries the current object, if there is one.
    #[error("the object has changed")]
    Conflict(Option<Box<Object>>),
    /// The platform refused the call or could not be reached: the call was not applied.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// A rate limit was exceeded: the call was not applied.
    #[error("the platform's rate limit is exceeded, retry in {0:?}")]
    Throttled(Duration),
    /// The response was lost: the call may have been applied, or may still be applied later.
    #[error("the platform's response was lost: {0}")]
    Unknown(String),
    /// The revision that a watch starts from is no longer in the history: list the objects again.
    #[error("the revision is no longer in the platform's history")]
    Gone,
    /// The platform rejected the call as invalid: it was not applied.
    #[error("the platform rejected the call: {0}")]
    Rejected(String),
}

impl Error {
    /// Whether the call may have been applied, or may still be applied later.
    #[must_use]
    pub fn may_apply(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// How long to wait before retrying, if the platform said so.
    #[must_use]
    pub fn wait(&self) -> Option<Duration> {
        match self {
            Self::Throttled(wait) => Some(*wait),
            _ => None,
        }
    }

    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Conflict(_) => "conflict",
            Self::Unavailable(_) => "unavailable",
            Self::Throttled(_) => "throttled",
            Self::Unknown(_) => "unknown",
            Self::Gone => "gone",
            Self::Rejected(_) => "rejected",
        }
    }
}
