//! Decides whether a run at a live but silent target may be moved.
//!
//! The run may go on by itself at any time, so the silence alone must not cost its caller the
//! answer: what a real loss would need is kept back.

use std::time::Duration;

/// Silence from which a target is no longer expected to go on soon.
const LONG_SILENCE: Duration = Duration::from_secs(3);

/// Why a run stays although it may move.
pub(crate) const KEPT_FOR_LOSSES: &str = "the retry budget is kept for losses";

/// A run that waits for its silent target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) time: Duration,
    /// Whether the request may run again.
    pub(crate) is_repeatable: bool,
    /// Attempts that the request has left after this one.
    pub(crate) attempts_left: u32,
}

/// How much of the retry budget a retry may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryShare {
    /// What remains after a reserve for real losses.
    Spare,
    /// The same, and loans from other instances.
    SpareOrLoan,
}

impl Silence {
    /// Whether the target is no longer expected to go on soon.
    pub(crate) fn is_long(self) -> bool {
        self.time >= LONG_SILENCE
    }

    /// The retry that a move may use.
    ///
    /// # Errors
    /// Why the run has to stay.
    pub(crate) fn may_move(self) -> Result<RetryShare, &'static str> {
        match self.attempts_left {
            _ if !self.is_repeatable => Err("it may not be repeated"),
            0 => Err("no attempt left"),
            _ if self.is_long() => Ok(RetryShare::SpareOrLoan),
            1 => Err("the last attempt is kept for a loss"),
            _ => Ok(RetryShare::Spare),
        }
    }
}
