//! Copies of a run's memory at other engines. The engine of a run keeps one copy up to date by
//! itself. When the copy is lost or its engine is leaving, this instance requests another one and
//! refreshes it periodically.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use parking_lot::Mutex;
use slog::info;
use smol_str::SmolStr;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::dialect::CopyRef;
use super::limits::Purpose;
use super::relay::{Relay, TargetCriteria};
use super::run_location::RunKey;
use crate::ident::TargetKey;
use crate::routing::{Lease, ProbeTarget, Work};

/// Time between two checks of a copy: a fraction of the time between two engine failures.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Age at which a requested copy is refreshed. Engines drop a copy after four seconds. After a
/// failure, tokens generated since the last refresh are read again, at some 40 ms for each second
/// of output.
const REFRESH_AGE: Duration = Duration::from_millis(1500);

/// Timeout of a copy: 1.7 GB take some tens of milliseconds, and may wait for other copies.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// A copy of a run's memory.
#[derive(Debug)]
pub(crate) struct RunCopy {
    /// Lease on the engine that holds the copy, with its memory counted there.
    pub(crate) lease: Lease,
    pub(crate) copied: CopyRef,
    /// When it was last refreshed; `None` when the engine itself keeps it up to date.
    refreshed: Option<Instant>,
}

impl RunCopy {
    /// The copy that an engine keeps of the run `id` by itself.
    pub(crate) fn automatic(lease: Lease, id: &SmolStr) -> Self {
        let copied = CopyRef {
            addr: lease.addr,
            handle: id.clone(),
        };
        Self::new(lease, copied)
    }

    /// A copy that was requested by this instance or a peer.
    pub(crate) fn new(lease: Lease, copied: CopyRef) -> Self {
        Self {
            lease,
            copied,
            refreshed: None,
        }
    }
}

/// A run whose memory is copied.
#[derive(Debug)]
pub(crate) struct CopySource {
    pub(crate) id: SmolStr,
    pub(crate) engine: ProbeTarget,
    pub(crate) memory: u32,
    pub(crate) run: RunKey,
}

/// Background task that maintains the copy of one run until dropped.
#[derive(Debug)]
pub(crate) struct CopyTask {
    copy: Arc<Mutex<Option<RunCopy>>>,
    task: JoinHandle<()>,
}

impl Drop for CopyTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CopyTask {
    pub(crate) fn start(relay: &Arc<Relay>, source: CopySource, copy: Option<RunCopy>) -> Self {
        let copy = Arc::new(Mutex::new(copy));
        let task = maintain(Arc::clone(relay), source, Arc::clone(&copy));
        Self {
            copy,
            task: tokio::spawn(task),
        }
    }

    /// Whether there is a copy at an available engine.
    pub(crate) fn has_copy(&self, relay: &Relay) -> bool {
        self.holder(relay).is_some()
    }

    /// The available engine that holds the copy.
    pub(crate) fn holder(&self, relay: &Relay) -> Option<(TargetKey, SocketAddr)> {
        let copy = self.copy.lock();
        let lease = &copy.as_ref()?.lease;
        let is_available = relay.router.is_available(lease.key, Instant::now());
        is_available.then_some((lease.key, lease.addr))
    }

    /// Takes the copy, to resume from it.
    pub(crate) fn take(&self) -> Option<RunCopy> {
        self.copy.lock().take()
    }
}

async fn maintain(relay: Arc<Relay>, source: CopySource, copy: Arc<Mutex<Option<RunCopy>>>) {
    let mut failed = Vec::new();
    relay.record_run(source.run, copy.lock().as_ref());
    loop {
        sleep(CHECK_PERIOD).await;
        let now = Instant::now();
        let is_available = |c: &RunCopy| relay.router.is_available(c.lease.key, now);
        let is_due = |refreshed: Instant| now.saturating_duration_since(refreshed) >= REFRESH_AGE;
        let holder = {
            let copy = copy.lock();
            match copy.as_ref() {
                Some(c) if is_available(c) && !c.refreshed.is_some_and(is_due) => continue,
                Some(c) if is_available(c) => Some(c.lease.addr),
                _ => None,
            }
        };
        let is_refreshed = match holder {
            Some(at) => request_copy(&relay, &source, at).await.is_ok(),
            None => match place_copy(&relay, &source, &mut failed).await {
                Some(new) => {
                    relay.record_run(source.run, Some(&new));
                    *copy.lock() = Some(new);
                    true
                }
                None => false,
            },
        };
        if let (true, Some(copy)) = (is_refreshed, copy.lock().as_mut()) {
            copy.refreshed = Some(now);
        }
    }
}

/// Requests a copy at another engine.
async fn place_copy(
    relay: &Arc<Relay>,
    source: &CopySource,
    failed: &mut Vec<TargetKey>,
) -> Option<RunCopy> {
    let mut excluded = failed.clone();
    excluded.push(source.engine.key);
    let domain = [source.engine.domain.clone()];
    let wanted = TargetCriteria {
        service: &source.engine.service,
        work: Some(Work {
            prompt: 0,
            memory: source.memory,
            runs: 0,
        }),
        avoid_domains: &domain,
        excluded: &excluded,
    };
    if !relay.copies_on_request(&source.engine.service) {
        return None;
    }
    let lease = relay.choose(wanted)?;
    let handle = request_copy(relay, source, lease.addr).await;
    info!(relay.decisions.log, "copy: requested at another engine";
        "id" => source.id.as_str(), "at" => lease.name().as_str(), "done" => handle.is_ok());
    let handle = match handle {
        Ok(handle) => handle,
        Err(CopyError::Refused) => {
            failed.push(lease.key);
            return None;
        }
        Err(CopyError::Pending) => return None,
    };
    let copied = CopyRef {
        addr: source.engine.addr,
        handle,
    };
    Some(RunCopy::new(lease, copied))
}

/// Why a copy was not made.
enum CopyError {
    /// The run's engine refused, as when the other one has no room.
    Refused,
    /// The run's engine did not answer in time or is busy with an earlier copy, which says nothing
    /// about the other one.
    Pending,
}

/// Asks the run's engine to copy the run to `at`, or to refresh the copy there.
async fn request_copy(
    relay: &Arc<Relay>,
    source: &CopySource,
    at: SocketAddr,
) -> Result<SmolStr, CopyError> {
    let request = (relay.dialect.copy_request)(&source.id, at).ok_or(CopyError::Refused)?;
    let engine = &source.engine;
    let sent = relay.request(engine.key, engine.addr, request, Purpose::Copy);
    let answer = timeout(COPY_TIMEOUT, sent).await.ok().flatten();
    let answer = answer.filter(|a| a.status() != StatusCode::CONFLICT);
    let answer = answer.ok_or(CopyError::Pending)?;
    let handle = (relay.dialect.parse_handle)(answer.body());
    let handle = handle.filter(|_| answer.status().is_success());
    handle.ok_or(CopyError::Refused)
}
