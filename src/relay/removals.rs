//! Confirmation of removals by other failure domains. An instance whose own reads of the platform
//! failed can't tell whether the platform was down, in which case targets lost their registrations
//! and register again. A domain that read without a gap can.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::sleep;

use super::catalog::Change;
use super::platform_watch::Sources;
use super::relay::Relay;

/// Time between two requests for confirmation: a reader in the other domain may learn of a removal
/// this much later.
const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Timeout for one of them, which are asked one after the other.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

impl Relay {
    /// Asks an instance of each other failure domain about removed targets that are still in use,
    /// until there are none: their grace period ends by itself, too. In a large fleet only readers
    /// ask, and forward the answer.
    pub(crate) fn confirm_removals(self: &Arc<Self>, sources: Sources) {
        let asks = !self.peers.is_tiered() || self.is_reader();
        if !asks || !self.catalog.lock().has_lapsed() || self.confirming.swap(true, Relaxed) {
            return;
        }
        let me = Arc::clone(self);
        tokio::spawn(async move {
            while me.catalog.lock().has_lapsed() {
                for peer in me.remote_aggregators() {
                    me.fetch_copy(sources, &peer.name, CONFIRM_TIMEOUT).await;
                }
                sleep(CONFIRM_PERIOD).await;
            }
            me.confirming.store(false, Relaxed);
        });
    }

    /// Forwards to the followers of a reader that the removal of these targets is final.
    pub(crate) fn forward_settled(self: &Arc<Self>, mut names: Vec<SmolStr>) {
        let revs = {
            let catalog = self.catalog.lock();
            // One may have registered again in the meantime.
            names.retain(|name| catalog.info(name).is_none());
            catalog.as_of.zip(catalog.newest())
        };
        let Some((as_of, newest)) = revs else {
            return;
        };
        if names.is_empty() || !self.is_reader() {
            return;
        }
        let change = |name| Change {
            name,
            rev: newest,
            info: None,
        };
        let changes = names.into_iter().map(change).collect();
        self.forward_targets(newest, as_of, changes, None);
    }
}
