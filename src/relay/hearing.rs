//! Whether this instance hears others. While it is cut off, behind a full link or kept from running,
//! all targets seem silent.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::Notify;

/// Interval between two connections to witnesses in the same domain, however many probes wait for
/// one.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Answers to connections that this instance opened.
#[derive(Debug, Default)]
pub(crate) struct Hearing {
    domains: Mutex<IndexMap<SmolStr, Domain>>,
    heard: Notify,
}

/// What this instance asked a failure domain and heard from it.
#[derive(Clone, Copy, Debug, Default)]
struct Domain {
    /// When a witness was last asked.
    asked: Option<Instant>,
    /// When the latest connection was opened that was answered.
    answered: Option<Instant>,
}

impl Hearing {
    /// Records an answer from a domain to a connection opened at `sent`.
    pub(crate) fn record(&self, domain: &SmolStr, sent: Instant) {
        let mut domains = self.domains.lock();
        let entry = domains.entry(domain.clone()).or_default();
        entry.answered = entry.answered.max(Some(sent));
        drop(domains);
        self.heard.notify_waiters();
    }

    /// Whether a domain is to be asked now. If so, it counts as asked.
    fn take_turn(&self, domain: &SmolStr, now: Instant) -> bool {
        let mut domains = self.domains.lock();
        let entry = domains.entry(domain.clone()).or_default();
        let is_due = entry.asked.is_none_or(|at| now >= at + ASK_INTERVAL);
        if is_due {
            entry.asked = Some(now);
        }
        is_due
    }

    /// Whether another domain than this one answered a connection opened since `start`.
    fn has_heard(&self, domain: &str, start: Instant) -> bool {
        let domains = self.domains.lock();
        let mut others = domains.iter().filter(|(name, _)| *name != domain);
        others.any(|(_, other)| other.answered >= Some(start))
    }

    /// Waits for an answer from another domain than this one to a connection that is opened from now
    /// on. `ask` opens one to one of these domains.
    pub(crate) async fn hears_others(
        &self,
        domain: &str,
        witnesses: &[SmolStr],
        mut ask: impl FnMut(&SmolStr),
    ) {
        let start = Instant::now();
        loop {
            let heard = self.heard.notified();
            if self.has_heard(domain, start) {
                return;
            }
            let now = Instant::now();
            let due = witnesses.iter().filter(|name| self.take_turn(name, now));
            due.for_each(&mut ask);
            // An answer that arrives meanwhile ends the wait; one that does not is asked for anew.
            let _ = tokio::time::timeout(ASK_INTERVAL, heard).await;
        }
    }
}
