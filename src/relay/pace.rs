//! When a silent stream is asked after, and when it is given up: by its own pace.
//!
//! A new connection to the target tells a dead target from a slow one within a round trip, so a
//! stream is asked after early, at little cost, and given up without proof only late.

use std::time::Duration;

/// Silence after which the target of a running stream is probed. Events come every 30 to 40 ms,
/// and up to four times as late beside a long prompt.
const PROBE_AFTER: Duration = Duration::from_millis(120);

/// The same before the first event, where silence is the rule.
const PROBE_BEFORE_FIRST: Duration = Duration::from_millis(300);

/// Silence of a live target's stream after which another engine's copy of it is cheaper than
/// more waiting, when the stream's own pace explains less. A pause of 700 ms is late, and going on
/// elsewhere takes two round trips between regions and a step: about 200 ms.
const SWITCH_AFTER: Duration = Duration::from_millis(420);

/// The same where the prompt would be read again, which takes a second or more.
const REREAD_AFTER: Duration = Duration::from_secs(3);

/// Least silence before the first event after which a live target is asked how far the run is: a
/// usual prompt is read by then.
const ASK_AFTER: Duration = Duration::from_millis(1200);

/// Time between two such questions, which are billed.
const ASK_AGAIN: Duration = Duration::from_millis(700);

/// Silence before the first event after which a live target that does not say is given up.
const FIRST_AFTER: Duration = Duration::from_millis(2500);

/// Multiple of the longest recent pause that counts as silence.
const LONGEST_FACTOR: u32 = 3;

/// Weight by which an old longest pause fades with each event.
const FADE: f64 = 0.98;

/// Multiple of the expected time to the first event that is waited before asking: engines of one
/// service differ in speed by a third.
const ASK_FACTOR: f64 = 1.4;

/// The same before a live target that does not say is given up.
const FIRST_FACTOR: f64 = 2.5;

/// The pace of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    expected: Duration,
    longest: Option<Duration>,
}

impl Pace {
    /// A run whose first event is expected after `expected`.
    pub(crate) fn new(expected: Duration) -> Self {
        Self {
            expected,
            longest: None,
        }
    }

    /// Whether the run has brought an event.
    pub(crate) fn has_begun(&self) -> bool {
        self.longest.is_some()
    }

    /// An event came after `pause`. The one before the first says nothing of later ones.
    pub(crate) fn event(&mut self, pause: Duration) {
        self.longest = match self.longest {
            None => Some(Duration::ZERO),
            Some(longest) => Some(longest.mul_f64(FADE).max(pause)),
        };
    }

    /// Silence after which the target is probed, and between two probes.
    pub(crate) fn probe_after(&self) -> Duration {
        match self.longest {
            Some(_) => PROBE_AFTER,
            None => PROBE_BEFORE_FIRST,
        }
    }

    /// Silence before the first event after which the target is asked how far the run is.
    pub(crate) fn ask_after(&self) -> Duration {
        ASK_AFTER.max(self.expected.mul_f64(ASK_FACTOR))
    }

    /// Time between two such questions.
    pub(crate) fn ask_again(&self) -> Duration {
        ASK_AGAIN
    }

    /// Silence after which the run is given up though its target lives.
    pub(crate) fn give_up_after(&self, copied: bool) -> Duration {
        match (self.longest, copied) {
            (None, _) => FIRST_AFTER.max(self.expected.mul_f64(FIRST_FACTOR)),
            (Some(longest), true) => SWITCH_AFTER.max(longest * LONGEST_FACTOR),
            (Some(longest), false) => REREAD_AFTER.max(longest * LONGEST_FACTOR),
        }
    }
}
