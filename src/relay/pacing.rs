//! Rate limit of the gossip between instances: with hundreds of instances, a message to all of them
//! several times a second costs more than serving the requests.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::platform_watch::HeldRevisions;
use crate::routing::PeerReport;

/// Time after which an unchanged report is sent again: a third of the time for which peers use it.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two rounds, for each message in a round. Limits an instance to 400 messages
/// a second, and spaces the rounds of seven instances by the 15 ms for which runs are batched.
const MESSAGE_SPACING: Duration = Duration::from_micros(2_500);

/// State to send, and its recipients.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) report: PeerReport,
    pub(crate) held: HeldRevisions,
    pub(crate) recipients: Vec<SmolStr>,
}

/// Whether and when to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Nothing has changed.
    Skip,
    /// Send after this time.
    After(Duration),
}

/// The last state sent.
#[derive(Debug)]
pub(crate) struct Pacing {
    last: Snapshot,
    at: Instant,
}

impl Pacing {
    /// Starts at `now` with no state sent.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last: Snapshot::default(),
            at: now,
        }
    }

    /// Whether and when to send `snapshot`. `urgent` when a run has begun or its copy has moved.
    pub(crate) fn schedule(&mut self, snapshot: &Snapshot, urgent: bool, now: Instant) -> Decision {
        let since = now.saturating_duration_since(self.at);
        let is_new = self.last.held != snapshot.held
            || self.last.recipients != snapshot.recipients
            || snapshot.report.placement_differs(&self.last.report);
        if !urgent && !is_new && since < REFRESH_PERIOD {
            return Decision::Skip;
        }
        let spacing = MESSAGE_SPACING * snapshot.recipients.len() as u32;
        let wait = spacing.saturating_sub(since);
        self.last = snapshot.clone();
        self.at = now + wait;
        Decision::After(wait)
    }
}
