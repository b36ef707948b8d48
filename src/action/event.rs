//! The messages between the aggregate of a try and its driver.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::{Held, Leftover, Outcome, Record};

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The try begins.
    Start,
    /// A connection to a target is open.
    Connected,
    /// No target could be reached.
    NoTarget,
    /// The write is in force under this revision.
    Written(u64),
    /// The condition did not hold; this is the present object.
    Conflict(Option<Held>),
    /// The write was not taken and will not be.
    Refused(Option<Duration>),
    /// The write may have taken effect, or may do so later.
    WriteLost,
    /// The object was read.
    Read(Option<Held>),
    /// The object could not be read.
    ReadFailed,
    /// The service answered.
    Answered(Outcome),
    /// Nothing was sent, as the connection was closed or the window over.
    NotSent,
    /// The service's answer was lost.
    AnswerLost,
    /// The status call's result; none when it does not know of the action or failed.
    Checked(Option<Outcome>),
    /// The wait is over.
    Waited,
}

/// What to do next. Each is answered by one event.
#[derive(Clone, Debug)]
pub enum Command {
    /// Open a connection to a target.
    Connect,
    /// Write the record if the object has revision `over` (0: is absent).
    Write {
        /// The record.
        record: Record,
        /// The condition.
        over: u64,
    },
    /// Read the object.
    Read,
    /// Send the action, unless it is later than this.
    Send(Instant),
    /// Make this status call.
    Check(SmolStr),
    /// Wait.
    Wait(Duration),
    /// Answer the caller, and settle the rest in the background.
    Finish(Verdict, Option<Leftover>),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This try ran it.
    Ran(Outcome),
    /// An earlier try ran it.
    Replayed(Outcome),
    /// An earlier try ran it; its answer was too large to be kept.
    TooLarge(u16),
    /// It did not run by this try and will not.
    NotRun(Cause),
    /// It may have run.
    Unknown(Cause),
    /// The key belongs to another request.
    KeyReused,
}

impl Verdict {
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Replayed(_) => "replayed",
            Self::TooLarge(_) => "too_large",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "outcome_unknown",
            Self::KeyReused => "key_reused",
        }
    }
}

/// Why there is no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The platform did not take the claim.
    Platform(Option<Duration>),
    /// No target could be reached.
    NoTarget,
    /// The time for the call is over.
    Deadline,
    /// Another try holds the claim.
    Busy,
    /// The service's answer was lost.
    AnswerLost,
}
