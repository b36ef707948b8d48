//! How late this process handles its timers. All its tasks share one thread, so a response of the
//! platform waits as long as a timer does.

use std::time::{Duration, Instant};

/// Time between two lines about late timers.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Lateness from which timers are reported: a share of a second in which a peer's answer is expected.
const LATE: Duration = Duration::from_millis(200);

/// Longest lateness since the last report.
#[derive(Debug, Default)]
pub(crate) struct Lateness {
    longest: Duration,
    reported: Option<Instant>,
}

impl Lateness {
    /// Records a timer that was due at `due` and handled at `now`. Returns the longest lateness when
    /// it is to be reported.
    pub(crate) fn record(&mut self, due: Instant, now: Instant) -> Option<Duration> {
        self.longest = self.longest.max(now.saturating_duration_since(due));
        let is_due = self
            .reported
            .is_none_or(|at| now.saturating_duration_since(at) >= LINE_INTERVAL);
        if !is_due {
            return None;
        }
        self.reported = Some(now);
        let longest = std::mem::take(&mut self.longest);
        (longest >= LATE).then_some(longest)
    }
}
