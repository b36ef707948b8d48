//! Waiting for a target that says nothing: it is probed, asked, and given up in the end.

use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout};

use super::pace::Pace;
use super::progress::{Progress, progress};
use super::relay::Relay;
use crate::routing::Lease;

/// Time given to what already lies in the socket before silence counts: this process may have
/// been held up itself.
const LATE_TIMER: Duration = Duration::from_millis(3);

/// Why a run at one engine is over before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    Dead,
    Silent,
    Broken(&'static str),
    Late,
}

impl Loss {
    pub(crate) fn why(self) -> &'static str {
        match self {
            Self::Dead => "engine found dead",
            Self::Silent => "engine silent",
            Self::Broken(why) => why,
            Self::Late => "no time left",
        }
    }
}

/// The silence of a run's target.
pub(crate) struct Silence<'a> {
    pub(crate) relay: &'a Relay,
    pub(crate) id: &'a str,
    pub(crate) lease: &'a Lease,
    pub(crate) pace: &'a Pace,
    /// Whether there is a copy to go on from.
    pub(crate) copied: bool,
    /// Since when the next sign of progress is waited for.
    pub(crate) waiting: Instant,
    pub(crate) deadline: Instant,
}

impl Silence<'_> {
    /// Waits for `task` while the target lives and its silence is explained.
    pub(crate) async fn guard<T>(&self, task: impl Future<Output = T>) -> Result<T, Loss> {
        tokio::pin!(task);
        let lost = self.lease.lost();
        tokio::pin!(lost);
        let since = self.waiting;
        let pace = self.pace;
        let mut probe_at = since + pace.probe_after();
        let mut ask_at = (!pace.has_begun()).then(|| since + pace.ask_after());
        let mut give_up = since + pace.give_up_after(self.copied);
        loop {
            let next = probe_at.min(give_up).min(self.deadline);
            let wake = ask_at.map_or(next, |at| at.min(next));
            tokio::select! {
                biased;
                done = task.as_mut() => return Ok(done),
                () = lost.as_mut() => return Err(Loss::Dead),
                () = sleep_until(wake) => {}
            }
            if let Ok(done) = timeout(LATE_TIMER, task.as_mut()).await {
                return Ok(done);
            }
            let now = Instant::now();
            if now >= self.deadline {
                return Err(Loss::Late);
            }
            if ask_at.is_some_and(|at| now >= at) {
                let asked = progress(self.relay, self.lease, self.id);
                let progress = tokio::select! {
                    biased;
                    done = task.as_mut() => return Ok(done),
                    () = lost.as_mut() => return Err(Loss::Dead),
                    progress = asked => progress,
                };
                match progress {
                    Progress::Reading => give_up = Instant::now() + 2 * pace.ask_again(),
                    Progress::Made | Progress::Unknown => return Err(Loss::Silent),
                    Progress::NoAnswer => {}
                }
                ask_at = Some(Instant::now() + pace.ask_again());
            }
            if now >= give_up {
                return Err(Loss::Silent);
            }
            if now >= probe_at {
                self.relay.probe(self.lease);
                probe_at = now + pace.probe_after();
            }
        }
    }
}
