//! Cache of recent claims that this instance has seen as sent or done, bounded in number and bytes.

use std::collections::{HashMap, VecDeque};

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::Outcome;

/// Maximum number of cached claims in one instance.
const MAX_CLAIMS: usize = 8192;

/// Maximum size of all cached bodies together.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A cached claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CachedClaim {
    /// Digest of the request.
    pub(crate) digest: SmolStr,
    /// The stored outcome; `None` if the action may have run and its outcome is not known.
    pub(crate) outcome: Option<Outcome>,
}

/// Claims that this instance has seen as sent or done. An entry cannot become wrong: a sent action
/// is never sent again and an outcome never changes. A missing entry only costs a platform call.
#[derive(Debug, Default)]
pub(crate) struct ClaimCache {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    claims: HashMap<SmolStr, CachedClaim>,
    order: VecDeque<SmolStr>,
    bytes: usize,
}

impl ClaimCache {
    pub(crate) fn get(&self, name: &str) -> Option<CachedClaim> {
        self.inner.lock().claims.get(name).cloned()
    }

    pub(crate) fn insert(&self, name: SmolStr, claim: CachedClaim) {
        let mut inner = self.inner.lock();
        inner.bytes += size(&claim);
        match inner.claims.insert(name.clone(), claim) {
            Some(old) => inner.bytes -= size(&old),
            None => inner.order.push_back(name),
        }
        while inner.order.len() > MAX_CLAIMS || inner.bytes > MAX_BODY_BYTES {
            inner.evict();
        }
    }
}

impl Inner {
    fn evict(&mut self) {
        let oldest = self.order.pop_front();
        let claim = oldest.and_then(|name| self.claims.remove(&name));
        self.bytes -= claim.as_ref().map_or(0, size);
    }
}

fn size(claim: &CachedClaim) -> usize {
    claim.outcome.as_ref().map_or(0, |o| o.body.len())
}
