//! Claim writes that are completed in the background after the caller has its response.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Semaphore;

use super::{CLAIM_KIND, Record, Stage};
use crate::platform::{Client, Error, Expect};

/// Backoff after the first failed write; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff between two writes.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// How long a write is retried before it is abandoned.
const RETRY_PERIOD: Duration = Duration::from_secs(6 * 3600);

/// Maximum number of pending writes in one instance; further ones are dropped immediately.
const MAX_PENDING: usize = 10_000;

/// Maximum size of all pending outcomes together.
const MAX_PENDING_BYTES: usize = 32 << 20;

/// Time between two writes, so that a platform that recovers is not flooded.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);

/// A write that replaces the state this attempt left at the platform: an outcome to store, or the
/// release of a `sent` update that is in force, or may still take effect, although nothing was
/// sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeferredWrite {
    /// The record to write.
    pub record: Record,
    /// Revision that it replaces; 0 if the object was absent.
    pub base: u64,
}

impl DeferredWrite {
    /// Handles a conflict with the `present` record at revision `rev`: returns the revision to
    /// replace next, or `None` if the write is no longer needed.
    #[must_use]
    pub fn next(&self, rev: u64, present: &Record) -> Option<u64> {
        let mine = present.nonce == self.record.nonce;
        (mine && present.stage == Stage::Sent).then_some(rev)
    }
}

/// Retries deferred writes in the background, one at a time.
#[derive(Clone, Debug)]
pub(crate) struct DeferredWriter {
    platform: Client,
    pending: Arc<AtomicUsize>,
    bytes: Arc<AtomicUsize>,
    semaphore: Arc<Semaphore>,
}

impl DeferredWriter {
    pub(crate) fn new(platform: Client) -> Self {
        Self {
            platform,
            pending: Arc::default(),
            bytes: Arc::default(),
            semaphore: Arc::new(Semaphore::new(1)),
        }
    }

    /// Number of pending writes.
    pub(crate) fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    pub(crate) fn spawn(&self, name: SmolStr, deferred: DeferredWrite) {
        let size = deferred.record.stage.size();
        let bytes = self.bytes.load(Ordering::Relaxed) + size;
        if self.pending() >= MAX_PENDING || bytes > MAX_PENDING_BYTES {
            metrics::counter!("endivefork_claims_unsettled_total").increment(1);
            return;
        }
        let writer = self.clone();
        self.pending.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(size, Ordering::Relaxed);
        tokio::spawn(async move {
            let written = writer.retry(&name, deferred).await;
            writer.pending.fetch_sub(1, Ordering::Relaxed);
            writer.bytes.fetch_sub(size, Ordering::Relaxed);
            if !written {
                metrics::counter!("endivefork_claims_unsettled_total").increment(1);
            }
        });
    }

    /// Performs one write attempt, serialized with all other deferred writes.
    async fn write(&self, name: &str, deferred: &DeferredWrite) -> Result<u64, Error> {
        let _permit = self.semaphore.acquire().await;
        let expect = match deferred.base {
            0 => Expect::Absent,
            rev => Expect::Rev(rev),
        };
        let written = self
            .platform
            .put(CLAIM_KIND, name, &deferred.record, expect);
        let written = written.await;
        tokio::time::sleep(WRITE_INTERVAL).await;
        written
    }

    async fn retry(&self, name: &str, mut deferred: DeferredWrite) -> bool {
        let deadline = Instant::now() + RETRY_PERIOD;
        let mut backoff = MIN_BACKOFF;
        while Instant::now() < deadline {
            match self.write(name, &deferred).await {
                Ok(_) | Err(Error::Conflict(None)) => return true,
                Err(Error::Conflict(Some(present))) => {
                    let record = present.decode().ok();
                    let next = record.and_then(|r| deferred.next(present.rev, &r));
                    match next {
                        Some(rev) => deferred.base = rev,
                        None => return true,
                    }
                }
                Err(e) => {
                    tokio::time::sleep(e.wait().unwrap_or(backoff)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
        false
    }
}
