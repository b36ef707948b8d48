//! Quarantine of requests that crash the targets that begin to run them.
//!
//! What crashes a target is a part of a request: a part of its prompt, or the request as a whole.
//! Each is a [`PartKey`]. Whoever sees a target crash reports the requests that had just begun
//! there, and whoever sees a suspected part begin on a target that survives reports that too. All
//! instances exchange these reports and weigh them alike, so they agree on what to refuse without a
//! vote. Pure state, without I/O.

mod evidence;
mod stored;
mod suspects;
#[cfg(test)]
mod tests;
mod verdict;
mod weight;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use stored::StoredQuarantine;
pub(crate) use suspects::NewQuarantine;
pub use suspects::{Policy, SuspectStatus, Suspects};

use crate::ident::digest;

/// Time from the first event of an answer for which a request counts as just begun.
pub(crate) const BEGIN_WINDOW: Duration = Duration::from_millis(300);

/// Parts of one request that are weighed; further ones are ignored.
pub(crate) const PARTS_MAX: usize = 64;

/// Identifies a part of a service's requests in all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey(u64);

impl PartKey {
    /// Key of a part of a prompt.
    #[must_use]
    pub fn new(service: &str, part: &str) -> Self {
        Self(digest(&[service, part]) as u64)
    }

    /// Key of a request as a whole, by the digest of its content.
    #[must_use]
    pub fn of_request(digest: u128) -> Self {
        Self(xxh3_64(&digest.to_le_bytes()))
    }
}

/// How far a request was when its target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It was queued or in prefill, or its answer had not arrived.
    Waiting,
    /// It was generating.
    Running,
    /// It had just begun.
    Began,
}

/// A target crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Name of the target.
    pub target: SmolStr,
    /// How far the request was.
    pub phase: Phase,
    /// Parts of the request that may be to blame; empty if no request had just begun.
    pub parts: Vec<PartKey>,
}

/// What instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Report {
    Crash {
        crash: Crash,
        /// Time since the crash.
        age_ms: u32,
    },
    /// A run with a suspected part began, and its target survived.
    Survival {
        part: PartKey,
        /// Distinguishes the runs.
        run: u32,
        age_ms: u32,
    },
    Verdict(verdict::VerdictReport),
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
