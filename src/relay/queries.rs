//! What an instance of a large fleet asks aggregators: where the copy of a run lies, and to lend it
//! a retry.

use std::future::ready;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;
use smol_str::SmolStr;

use super::dialect::Copied;
use super::relay::Relay;
use crate::peer::{Member, Tag};

/// Longest wait for a peer's answer where a run's copy lies: two ways between regions.
const FIND_LIMIT: Duration = Duration::from_millis(200);

/// Longest wait for an aggregator to lend a retry: a fraction of the pause that a stream may have.
const LEND_LIMIT: Duration = Duration::from_millis(150);

/// Aggregators that are asked for one retry.
pub(crate) const LENDERS: usize = 3;

impl Relay {
    /// Answers these questions.
    pub(crate) fn hear_queries(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers.on(Tag::Usage, move |_, service: SmolStr| {
            ready(me.lend_retry(&service))
        });
        let me = Arc::clone(self);
        self.peers.on(Tag::Run, move |_, digest: u128| {
            ready(me.runs.lock().take(digest, Instant::now()))
        });
    }

    /// Asks aggregators to lend a retry: that of this failure domain, then others, near ones first.
    pub(crate) async fn borrow_retry(&self, service: &SmolStr) -> bool {
        if !self.peers.is_tiered() {
            return false;
        }
        for lender in self.lenders() {
            let lent = match lender.name == self.settings.instance.name {
                true => self.lend_retry(service),
                false => self.ask_retry(&lender.name, service).await,
            };
            if lent {
                self.retries.lock().took(service, Instant::now());
                return true;
            }
        }
        false
    }

    async fn ask_retry(&self, lender: &str, service: &SmolStr) -> bool {
        let asked = self.peers.call(lender, Tag::Usage, service, LEND_LIMIT);
        asked.await.unwrap_or_else(|e| {
            info!(self.record.log, "retry: could not ask an aggregator";
                "aggregator" => lender, "error" => %e);
            false
        })
    }

    fn lenders(&self) -> Vec<Member> {
        let me = &self.settings.instance;
        let mut far = self.far_aggregators();
        far.sort_by_key(|m| m.region != me.region);
        let near = self.aggregators().into_iter().take(1);
        near.chain(far).take(LENDERS).collect()
    }

    fn lend_retry(&self, service: &SmolStr) -> bool {
        let near = self.aggregate.lock().members();
        self.retries.lock().lend(service, near, Instant::now())
    }

    /// Asks aggregators where the copy of a run lies: that of this failure domain, then one of
    /// another.
    pub(crate) async fn find_run(&self, digest: u128) -> Option<(SmolStr, Copied)> {
        if !self.peers.is_tiered() {
            return None;
        }
        let me = &self.settings.instance;
        let near = self.aggregators().into_iter().next();
        let far = self.far_aggregators().into_iter().take(1);
        let asked = near.into_iter().chain(far);
        for peer in asked.filter(|m| m.name != me.name) {
            let found = self.peers.call::<_, Option<(SmolStr, Copied)>>(
                &peer.name,
                Tag::Run,
                &digest,
                FIND_LIMIT,
            );
            match found.await {
                Ok(Some(found)) => return Some(found),
                Ok(None) => {}
                Err(e) => info!(self.record.log, "run: could not ask an aggregator";
                    "aggregator" => peer.name.as_str(), "error" => %e),
            }
        }
        None
    }
}
