//! Small `Copy` keys, digests and rendezvous hashing.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Digest of an account and its idempotency key; identifies a request in all instances.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Digests `account` and `key`.
    #[must_use]
    pub fn new(account: &str, key: &str) -> Self {
        Self(digest(&[account, key]))
    }

    /// A stable fraction in `0.0..1.0` that decides whether a request is in a move's share.
    #[must_use]
    pub fn fraction(self) -> f64 {
        let high = (self.0 >> 75) as u64;
        high as f64 / (1_u64 << 53) as f64
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestKey({self})")
    }
}

/// Index of a target in this instance's fleet. Never leaves the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetKey(pub u32);

/// Index of a client account in one configuration view. Never leaves the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountKey(pub u32);

/// Digests several strings, each prefixed with its length, so that different lists with the same
/// concatenation do not collide.
#[must_use]
pub fn digest(parts: &[&str]) -> u128 {
    let mut buf = Vec::with_capacity(parts.iter().map(|p| p.len() + 8).sum());
    for part in parts {
        buf.extend_from_slice(&(part.len() as u64).to_le_bytes());
        buf.extend_from_slice(part.as_bytes());
    }
    xxh3_128(&buf)
}

/// A stable fraction in `0.0..1.0` derived from the request id.
pub(crate) fn fraction(id: &str) -> f64 {
    RequestKey(digest(&[id])).fraction()
}

/// Orders `candidates` by rendezvous hashing of `key`, best first.
#[must_use]
pub fn rendezvous<'a>(key: u128, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let seed = format!("{key:032x}");
    let mut scored: Vec<_> = candidates
        .map(|name| (digest(&[seed.as_str(), name]), name))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name).collect()
}
