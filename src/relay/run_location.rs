//! Identity of a run, and the location of its copy.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::dialect::CopyRef;

/// Identifies one run among those with the same content. JSON numbers hold 53 bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct RunId(pub(crate) u64);

impl RunId {
    /// Id of a run that was stored by a version without ids.
    pub(crate) const UNKNOWN: Self = Self(0);

    pub(crate) fn random() -> Self {
        Self((rand::random::<u64>() >> 11).max(1))
    }
}

/// A run and its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunKey {
    /// Digest of the request's content, and of what runs it.
    pub(crate) digest: u128,
    pub(crate) id: RunId,
    /// The run of the same caller that this one goes on from.
    pub(crate) follows: Option<RunId>,
}

/// Location of a run's copy, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunLocation {
    /// Digest of the request's content, and of what runs it.
    pub(crate) digest: u128,
    #[serde(default)]
    pub(crate) id: RunId,
    /// The run of the same caller that this one goes on from.
    #[serde(default)]
    pub(crate) follows: Option<RunId>,
    /// Engine that holds the copy; `None` when the run has no copy.
    pub(crate) engine: Option<SmolStr>,
    /// Address and handle by which the copy is requested.
    pub(crate) copied: Option<CopyRef>,
    /// Whether the run ended before its caller got an event, so that it can't come back for it.
    #[serde(default)]
    pub(crate) withdrawn: bool,
}

impl RunLocation {
    /// A run without a copy.
    pub(crate) fn without_copy(key: RunKey) -> Self {
        Self {
            digest: key.digest,
            id: key.id,
            follows: key.follows,
            engine: None,
            copied: None,
            withdrawn: false,
        }
    }

    /// The same run without its copy.
    pub(crate) fn stripped(&self) -> Self {
        Self {
            engine: None,
            copied: None,
            ..self.clone()
        }
    }
}
