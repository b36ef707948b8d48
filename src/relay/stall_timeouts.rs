//! Timeouts for stalled streams, adapted to the gaps between a stream's own events.
//!
//! A new connection to the target distinguishes a dead target from a slow one within one round
//! trip. Probing is therefore cheap and starts early, whereas a run on a live target is abandoned
//! late.

use std::time::Duration;

/// Gap after which the target of a running stream is probed. Events arrive every 30 to 40 ms, and
/// up to four times as slowly while the engine prefills a long prompt.
const PROBE_AFTER: Duration = Duration::from_millis(120);

/// Same before the first event, when no traffic is expected.
const PREFILL_PROBE_AFTER: Duration = Duration::from_millis(300);

/// Gap after which resuming from a copy on another engine costs less than waiting for a live
/// target, unless the stream's recent gaps are longer. A gap of 700 ms counts as late, and resuming
/// takes two round trips between regions and one decoding step: about 200 ms.
const RESUME_AFTER: Duration = Duration::from_millis(420);

/// Same without a copy, when the prompt has to be prefilled again, which takes a second or more.
const REPREFILL_AFTER: Duration = Duration::from_secs(3);

/// Minimum wait for the first event before a live target is asked for progress: a typical prompt is
/// prefilled by then.
const QUERY_AFTER: Duration = Duration::from_millis(1200);

/// Interval between progress queries, which are billed.
const QUERY_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum wait for the first event before a live target that reports no progress is abandoned.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Multiple of the longest recent gap that counts as a stall.
const GAP_FACTOR: u32 = 3;

/// Factor by which the longest recent gap decays with each event.
const GAP_DECAY: f64 = 0.98;

/// Multiple of the expected time to the first event before progress is queried: engines of one
/// service differ in speed by a third.
const QUERY_FACTOR: f64 = 1.4;

/// Same before a live target that reports no progress is abandoned.
const FIRST_EVENT_FACTOR: f64 = 2.5;

/// Stall timeouts of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallTimeouts {
    expected: Duration,
    longest_gap: Option<Duration>,
}

impl StallTimeouts {
    /// Timeouts for a run whose first event is expected after `expected`.
    pub(crate) fn new(expected: Duration) -> Self {
        Self {
            expected,
            longest_gap: None,
        }
    }

    /// Whether the first event has arrived.
    pub(crate) fn has_started(&self) -> bool {
        self.longest_gap.is_some()
    }

    /// Records an event that arrived after `gap`. The gap before the first event is ignored, as it
    /// says nothing about later ones.
    pub(crate) fn record_gap(&mut self, gap: Duration) {
        self.longest_gap = match self.longest_gap {
            None => Some(Duration::ZERO),
            Some(longest_gap) => Some(longest_gap.mul_f64(GAP_DECAY).max(gap)),
        };
    }

    /// Gap after which the target is probed, and interval between probes.
    pub(crate) fn probe_after(&self) -> Duration {
        match self.longest_gap {
            Some(_) => PROBE_AFTER,
            None => PREFILL_PROBE_AFTER,
        }
    }

    /// Wait for the first event after which progress is queried.
    pub(crate) fn query_after(&self) -> Duration {
        QUERY_AFTER.max(self.expected.mul_f64(QUERY_FACTOR))
    }

    /// Interval between progress queries.
    pub(crate) fn query_interval(&self) -> Duration {
        QUERY_INTERVAL
    }

    /// Gap after which the run is abandoned although its target is alive.
    pub(crate) fn abandon_after(&self, has_copy: bool) -> Duration {
        match (self.longest_gap, has_copy) {
            (None, _) => FIRST_EVENT_TIMEOUT.max(self.expected.mul_f64(FIRST_EVENT_FACTOR)),
            (Some(longest_gap), true) => RESUME_AFTER.max(longest_gap * GAP_FACTOR),
            (Some(longest_gap), false) => REPREFILL_AFTER.max(longest_gap * GAP_FACTOR),
        }
    }
}
