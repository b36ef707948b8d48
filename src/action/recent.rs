//! What this instance itself knows of recent claims, bounded in number and bytes.

use std::collections::{HashMap, VecDeque};

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::Outcome;

/// Most claims remembered in one instance.
const CLAIMS: usize = 8192;

/// Most bytes of remembered bodies.
const BYTES: usize = 16 << 20;

/// A remembered claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Known {
    /// Digest of the request.
    pub(crate) digest: SmolStr,
    /// The stored outcome; none when the action may have run and no outcome is known.
    pub(crate) outcome: Option<Outcome>,
}

/// Claims that this instance has seen sent or done. Both are final, so that memory of them is
/// never wrong, only missing.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    claims: HashMap<SmolStr, Known>,
    order: VecDeque<SmolStr>,
    bytes: usize,
}

impl Recent {
    pub(crate) fn get(&self, name: &str) -> Option<Known> {
        self.inner.lock().claims.get(name).cloned()
    }

    pub(crate) fn insert(&self, name: SmolStr, known: Known) {
        let mut inner = self.inner.lock();
        inner.bytes += size(&known);
        match inner.claims.insert(name.clone(), known) {
            Some(old) => inner.bytes -= size(&old),
            None => inner.order.push_back(name),
        }
        while inner.order.len() > CLAIMS || inner.bytes > BYTES {
            inner.evict();
        }
    }
}

impl Inner {
    fn evict(&mut self) {
        let oldest = self.order.pop_front();
        let known = oldest.and_then(|name| self.claims.remove(&name));
        self.bytes -= known.as_ref().map_or(0, size);
    }
}

fn size(known: &Known) -> usize {
    known.outcome.as_ref().map_or(0, |o| o.body.len())
}
