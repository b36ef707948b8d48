//! Writes that are finished after the caller has its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::{KIND, Record, Stage};
use crate::platform::{Client, Error, Expect};

/// Wait after the first failed write; doubled after each further one.
const BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait between two writes.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// How long a write is tried.
const HORIZON: Duration = Duration::from_secs(15 * 60);

/// Most writes that wait at once in one instance; further ones are given up at once.
const PENDING_LIMIT: usize = 10_000;

/// A record that must replace what this try itself has left behind: an outcome to store, or an
/// update to `sent` that stands or may still land though nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leftover {
    /// The record to write.
    pub record: Record,
    /// Revision that it replaces; 0 when the object was absent.
    pub over: u64,
}

impl Leftover {
    /// Decides by the present object of a refused write: the revision to replace next, or none
    /// when nothing is left to do.
    #[must_use]
    pub fn next(&self, rev: u64, present: &Record) -> Option<u64> {
        let mine = present.nonce == self.record.nonce;
        (mine && present.stage == Stage::Sent).then_some(rev)
    }
}

/// Finishes leftovers in the background.
#[derive(Clone, Debug)]
pub(crate) struct Settler {
    platform: Client,
    pending: Arc<AtomicUsize>,
}

impl Settler {
    pub(crate) fn new(platform: Client) -> Self {
        Self {
            platform,
            pending: Arc::default(),
        }
    }

    /// Number of writes that wait.
    pub(crate) fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    pub(crate) fn spawn(&self, name: SmolStr, leftover: Leftover) {
        if self.pending() >= PENDING_LIMIT {
            metrics::counter!("endivefork_claims_unsettled_total").increment(1);
            return;
        }
        let settler = self.clone();
        self.pending.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let settled = settler.settle(&name, leftover).await;
            settler.pending.fetch_sub(1, Ordering::Relaxed);
            if !settled {
                metrics::counter!("endivefork_claims_unsettled_total").increment(1);
            }
        });
    }

    async fn settle(&self, name: &str, mut leftover: Leftover) -> bool {
        let until = Instant::now() + HORIZON;
        let mut backoff = BACKOFF;
        while Instant::now() < until {
            let expect = match leftover.over {
                0 => Expect::Absent,
                rev => Expect::Rev(rev),
            };
            let written = self.platform.put(KIND, name, &leftover.record, expect);
            match written.await {
                Ok(_) | Err(Error::Conflict(None)) => return true,
                Err(Error::Conflict(Some(present))) => {
                    let record = present.decode().ok();
                    let next = record.and_then(|r| leftover.next(present.rev, &r));
                    match next {
                        Some(rev) => leftover.over = rev,
                        None => return true,
                    }
                }
                Err(e) => {
                    tokio::time::sleep(e.wait().unwrap_or(backoff)).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
        false
    }
}
