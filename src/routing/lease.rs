//! The count of a request in flight at a target, and the target's own particulars.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use super::load::Work;
use super::table::Entry;
use crate::fleet::Target;
use crate::ident::TargetKey;

/// A target that is asked after.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Its key.
    pub key: TargetKey,
    /// Its name.
    pub name: SmolStr,
    /// Where it takes work.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its service.
    pub service: SmolStr,
}

impl Subject {
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

/// A request in flight at a target. Dropping it ends the count.
#[derive(Debug)]
pub struct Lease {
    /// The target.
    pub key: TargetKey,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether its traffic is billed, as it crosses regions.
    pub far: bool,
    started: Instant,
    work: Work,
    entry: Option<Arc<Entry>>,
}

impl Lease {
    /// Counts a request at `entry`, asked for from `region`.
    pub(crate) fn new(entry: &Arc<Entry>, region: &str, work: Work, now: Instant) -> Self {
        entry.state.lock().load.start(work, now);
        Self {
            key: entry.target.key,
            addr: entry.target.addr,
            far: entry.target.region != region,
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

    /// The target, to be asked after; none once the lease has ended.
    #[must_use]
    pub fn subject(&self) -> Option<Subject> {
        self.entry.as_ref().map(|e| Subject::of(&e.target))
    }

    /// Failure domain of the target.
    #[must_use]
    pub fn domain(&self) -> SmolStr {
        self.entry
            .as_ref()
            .map_or_else(SmolStr::default, |e| e.target.domain.clone())
    }

    /// A copy's place becomes that of the run.
    pub fn start_run(&mut self) {
        if let Some(entry) = &self.entry {
            entry.state.lock().load.start_run();
        }
        self.work.runs += 1;
    }

    /// The target has read the prompt, so that others no longer wait for that.
    pub fn prompt_read(&mut self) {
        if let Some(entry) = &self.entry {
            entry.state.lock().load.prompt_read(self.work.prompt);
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

    /// Ends the count at `now`, with the time that the slot was held.
    pub fn finish(mut self, now: Instant) {
        self.end(now);
    }

    fn end(&mut self, now: Instant) {
        let Some(entry) = self.entry.take() else {
            return;
        };
        entry.state.lock().load.end(self.work, now);
        let held = now.saturating_duration_since(self.started);
        entry.hold.learn(held);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.entry.is_some() {
            self.end(Instant::now());
        }
    }
}
