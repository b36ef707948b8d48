//! Leases, each of which counts one request in flight at a target, and the data needed to probe a
//! target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use super::load::Work;
use super::table::Entry;
use crate::fleet::Target;
use crate::ident::TargetKey;

/// A target to be probed.
#[derive(Clone, Debug)]
pub struct ProbeTarget {
    /// Its key.
    pub key: TargetKey,
    /// Its name.
    pub name: SmolStr,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its service.
    pub service: SmolStr,
}

impl ProbeTarget {
    pub(crate) fn of(target: &Target) -> Self {
        Self {
            key: target.key,
            name: target.name.clone(),
            addr: target.addr,
            domain: target.domain.clone(),
            service: target.service.clone(),
        }
    }
}

/// A request in flight at a target. Dropping the lease ends the count.
#[derive(Debug)]
pub struct Lease {
    /// The target.
    pub key: TargetKey,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether its traffic crosses regions and is therefore billed.
    pub cross_region: bool,
    started: Instant,
    work: Work,
    entry: Option<Arc<Entry>>,
}

impl Lease {
    /// Counts a request at `entry` that comes from `region`.
    pub(crate) fn new(entry: &Arc<Entry>, region: &str, work: Work, now: Instant) -> Self {
        let mut state = entry.state.lock();
        state.load.start(work, now);
        state.health.record_sent(now);
        drop(state);
        Self {
            key: entry.target.key,
            addr: entry.target.addr,
            cross_region: entry.target.region != region,
            started: now,
            work,
            entry: Some(Arc::clone(entry)),
        }
    }

    /// Name of the target.
    #[must_use]
    pub fn name(&self) -> SmolStr {
        self.entry
            .as_ref()
            .map_or_else(SmolStr::default, |e| e.target.name.clone())
    }

    /// The target, for a probe; none once the lease has ended.
    #[must_use]
    pub fn probe_target(&self) -> Option<ProbeTarget> {
        self.entry.as_ref().map(|e| ProbeTarget::of(&e.target))
    }

    /// Failure domain of the target.
    #[must_use]
    pub fn domain(&self) -> SmolStr {
        self.entry
            .as_ref()
            .map_or_else(SmolStr::default, |e| e.target.domain.clone())
    }

    /// Records that a run starts on the engine that holds its copy.
    pub fn start_run(&mut self) {
        if let Some(entry) = &self.entry {
            entry.state.lock().load.start_run();
        }
        self.work.runs += 1;
    }

    /// Records that the target has finished prefill, so that other requests no longer wait for it.
    pub fn prefill_done(&mut self) {
        if let Some(entry) = &self.entry {
            entry.state.lock().load.prefill_done(self.work.prompt);
        }
        self.work.prompt = 0;
    }

    /// Waits until this instance finds the target dead.
    pub async fn lost(&self) {
        match &self.entry {
            Some(entry) => entry.lost.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Ends the count at `now` and records how long the slot was held.
    pub fn finish(mut self, now: Instant) {
        self.end(now);
    }

    fn end(&mut self, now: Instant) {
        let Some(entry) = self.entry.take() else {
            return;
        };
        entry.state.lock().load.end(self.work, now);
        let held = now.saturating_duration_since(self.started);
        entry.hold_time.record(held);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.entry.is_some() {
            self.end(Instant::now());
        }
    }
}
