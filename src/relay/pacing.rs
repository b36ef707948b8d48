//! When an instance tells its peers what it knows. The load this answers: with hundreds of instances
//! a word to all of them, several times a second, costs more than the requests.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::follow::Held;
use crate::routing::PeerReport;

/// Time after which the same word is told again: a third of the time for which peers go by it.
const KEPT: Duration = Duration::from_secs(1);

/// Least time between two words for each message: bounds what one instance sends to 400 a second, and spaces the words of seven instances by the 15 ms in which runs are told together.
const SPACING: Duration = Duration::from_micros(2_500);

/// What there is to tell, and to whom.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    pub(crate) word: PeerReport,
    pub(crate) held: Held,
    pub(crate) audience: Vec<SmolStr>,
}

/// Whether to tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tell {
    /// The peers know.
    Nothing,
    /// After this time.
    In(Duration),
}

/// What was told last.
#[derive(Debug)]
pub(crate) struct Pacing {
    last: State,
    at: Instant,
}

impl Pacing {
    /// Nothing was told by `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last: State::default(),
            at: now,
        }
    }

    /// Whether and when to tell `state`. `urgent` when a run has begun or
    /// its copy is elsewhere.
    pub(crate) fn tell(&mut self, state: &State, urgent: bool, now: Instant) -> Tell {
        let since = now.saturating_duration_since(self.at);
        let new = self.last.held != state.held
            || self.last.audience != state.audience
            || state.word.placement_differs(&self.last.word);
        if !urgent && !new && since < KEPT {
            return Tell::Nothing;
        }
        let spacing = SPACING * state.audience.len() as u32;
        let wait = spacing.saturating_sub(since);
        self.last = state.clone();
        self.at = now + wait;
        Tell::In(wait)
    }
}
