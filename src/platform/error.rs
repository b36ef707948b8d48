//! Why a call of the platform failed, and what is certain after it.

use std::time::Duration;

use super::Object;

/// A failed call.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The condition does not hold; carries the present object, if there is one.
    #[error("the object has changed")]
    Conflict(Option<Box<Object>>),
    /// The platform refused or could not be reached: the call was not taken.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// A rate is used up: the call was not taken.
    #[error("the platform's rate is used up for {0:?}")]
    Throttled(Duration),
    /// The answer was lost: the call may have taken effect, or may do so later.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The revision that a watch starts from is too old: read the list again.
    #[error("the revision is no longer kept")]
    Gone,
    /// The platform does not accept such a call: it was not taken.
    #[error("the platform rejected the call: {0}")]
    Rejected(String),
}

impl Error {
    /// Whether the call may have taken effect, or may do so later.
    #[must_use]
    pub fn may_land(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// How long to wait before the call is worth repeating.
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
