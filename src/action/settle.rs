//! Writes that are finished after the caller has its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Semaphore;

use super::{KIND, Record, Stage};
use crate::platform::{Client, Error, Expect};

/// Wait after the first failed write; doubled after each further one.
const BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait between two writes.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// How long a write is tried.
const HORIZON: Duration = Duration::from_secs(6 * 3600);

/// Most writes that wait at once in one instance; further ones are given up at once.
const PENDING_LIMIT: usize = 10_000;

/// Most bytes of outcomes that wait at once.
const BYTES_LIMIT: usize = 32 << 20;

/// Time between two writes, so that a platform that returns is not flooded.
const GAP: Duration = Duration::from_millis(40);

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
    bytes: Arc<AtomicUsize>,
    turn: Arc<Semaphore>,
}

impl Settler {
    pub(crate) fn new(platform: Client) -> Self {
        Self {
            platform,
            pending: Arc::default(),
            bytes: Arc::default(),
            turn: Arc::new(Semaphore::new(1)),
        }
    }

    /// Number of writes that wait.
    pub(crate) fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    pub(crate) fn spawn(&self, name: SmolStr, leftover: Leftover) {
        let size = leftover.record.stage.size();
        let bytes = self.bytes.load(Ordering::Relaxed) + size;
        if self.pending() >= PENDING_LIMIT || bytes > BYTES_LIMIT {
            metrics::counter!("endivefork_claims_unsettled_total").increment(1);
            return;
        }
        let settler = self.clone();
        self.pending.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(size, Ordering::Relaxed);
        tokio::spawn(async move {
            let settled = settler.settle(&name, leftover).await;
            settler.pending.fetch_sub(1, Ordering::Relaxed);
            settler.bytes.fetch_sub(size, Ordering::Relaxed);
            if !settled {
                metrics::counter!("endivefork_claims_unsettled_total").increment(1);
            }
        });
    }

    /// Writes when it is this leftover's turn.
    async fn write(&self, name: &str, leftover: &Leftover) -> Result<u64, Error> {
        let _turn = self.turn.acquire().await;
        let expect = match leftover.over {
            0 => Expect::Absent,
            rev => Expect::Rev(rev),
        };
        let written = self.platform.put(KIND, name, &leftover.record, expect);
        let written = written.await;
        tokio::time::sleep(GAP).await;
        written
    }

    async fn settle(&self, name: &str, mut leftover: Leftover) -> bool {
        let until = Instant::now() + HORIZON;
        let mut backoff = BACKOFF;
        while Instant::now() < until {
            match self.write(name, &leftover).await {
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
