//! Copies of a run's memory at other engines. The engine that runs keeps one by itself; when that
//! one is lost or leaves, this instance has another made, and brings it up to date now and then.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use slog::info;
use smol_str::SmolStr;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::dialect::Copied;
use super::relay::{Relay, Wanted};
use crate::ident::TargetKey;
use crate::routing::{Lease, ProbeTarget, Work};

/// Time between two looks at a copy: a fraction of the time between two losses.
const CHECK: Duration = Duration::from_millis(200);

/// Age at which a copy made by order is brought up to date. Engines forget one after four seconds,
/// and what is new since is read again on a loss: some 40 ms for each second.
const REFRESH: Duration = Duration::from_millis(1500);

/// Longest wait for a copy: 1.7 GB take some tens of milliseconds, and wait for other copies.
const LIMIT: Duration = Duration::from_secs(1);

/// A copy of a run's memory.
#[derive(Debug)]
pub(crate) struct RunCopy {
    /// Its place, with the memory counted.
    pub(crate) lease: Lease,
    pub(crate) copied: Copied,
    /// When it was last brought up to date; none when the engine itself keeps it so.
    made: Option<Instant>,
}

impl RunCopy {
    /// The copy that an engine keeps of the run `id` by itself.
    pub(crate) fn kept(lease: Lease, id: &SmolStr) -> Self {
        let copied = Copied {
            at: lease.addr,
            handle: id.clone(),
        };
        Self::new(lease, copied)
    }

    /// A copy that was made by order, here or at a peer.
    pub(crate) fn new(lease: Lease, copied: Copied) -> Self {
        Self {
            lease,
            copied,
            made: None,
        }
    }
}

/// The run whose memory is copied.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) id: SmolStr,
    pub(crate) engine: ProbeTarget,
    pub(crate) memory: u32,
    pub(crate) digest: u128,
}

/// Keeps a copy of one run while it lives.
#[derive(Debug)]
pub(crate) struct Keeper {
    copy: Arc<Mutex<Option<RunCopy>>>,
    task: JoinHandle<()>,
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Keeper {
    pub(crate) fn start(relay: &Arc<Relay>, source: Source, copy: Option<RunCopy>) -> Self {
        let copy = Arc::new(Mutex::new(copy));
        let keeping = keep(Arc::clone(relay), source, Arc::clone(&copy));
        Self {
            copy,
            task: tokio::spawn(keeping),
        }
    }

    /// Whether there is a copy at an engine that can be used.
    pub(crate) fn has_copy(&self, relay: &Relay) -> bool {
        let copy = self.copy.lock();
        let now = Instant::now();
        copy.as_ref()
            .is_some_and(|c| relay.router.is_available(c.lease.key, now))
    }

    /// Takes the copy to go on from.
    pub(crate) fn take(&self) -> Option<RunCopy> {
        self.copy.lock().take()
    }
}

async fn keep(relay: Arc<Relay>, source: Source, copy: Arc<Mutex<Option<RunCopy>>>) {
    let mut failed = Vec::new();
    relay.note_run(&source, copy.lock().as_ref());
    loop {
        sleep(CHECK).await;
        let now = Instant::now();
        let fit = |c: &RunCopy| relay.router.is_available(c.lease.key, now);
        let due = |made: Instant| now.saturating_duration_since(made) >= REFRESH;
        let found = {
            let copy = copy.lock();
            match copy.as_ref() {
                Some(c) if fit(c) && !c.made.is_some_and(due) => continue,
                Some(c) if fit(c) => Some(c.lease.addr),
                _ => None,
            }
        };
        let renewed = match found {
            Some(at) => order(&relay, &source, at).await.is_some(),
            None => match replace(&relay, &source, &mut failed).await {
                Some(new) => {
                    relay.note_run(&source, Some(&new));
                    *copy.lock() = Some(new);
                    true
                }
                None => false,
            },
        };
        if let (true, Some(copy)) = (renewed, copy.lock().as_mut()) {
            copy.made = Some(now);
        }
    }
}

/// Has a copy made at another engine.
async fn replace(
    relay: &Arc<Relay>,
    source: &Source,
    failed: &mut Vec<TargetKey>,
) -> Option<RunCopy> {
    let mut excluded = failed.clone();
    excluded.push(source.engine.key);
    let domain = [source.engine.domain.clone()];
    let wanted = Wanted {
        service: &source.engine.service,
        work: Some(Work {
            prompt: 0,
            memory: source.memory,
            runs: 0,
        }),
        avoid: &domain,
        excluded: &excluded,
    };
    if !relay.copies_by_order(&source.engine.service) {
        return None;
    }
    let lease = relay.choose(wanted)?;
    let handle = order(relay, source, lease.addr).await;
    info!(relay.record.log, "copy: made anew";
        "id" => source.id.as_str(), "at" => lease.name().as_str(), "done" => handle.is_some());
    let Some(handle) = handle else {
        failed.push(lease.key);
        return None;
    };
    let copied = Copied {
        at: source.engine.addr,
        handle,
    };
    Some(RunCopy::new(lease, copied))
}

/// Asks the engine that runs for a copy at another one, or to bring that up to date.
async fn order(relay: &Relay, source: &Source, at: std::net::SocketAddr) -> Option<SmolStr> {
    let request = (relay.dialect.copy)(&source.id, at)?;
    let engine = &source.engine;
    let answer = timeout(LIMIT, relay.links.ask(engine.key, engine.addr, request)).await;
    let answer = answer.ok().flatten()?;
    let handle = (relay.dialect.copy_handle)(answer.body());
    handle.filter(|_| answer.status().is_success())
}
