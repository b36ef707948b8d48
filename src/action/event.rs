//! Events and commands between the state machine of an attempt and its driver.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::{DeferredWrite, Outcome, Record, StoredClaim};

/// Input of the state machine: what happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The attempt starts.
    Start,
    /// A connection to a target is open.
    Connected,
    /// No target could be reached.
    NoTarget,
    /// The write took effect and has this revision.
    Written(u64),
    /// The condition of the write did not hold; this is the current object.
    Conflict(Option<StoredClaim>),
    /// The write was refused and will not take effect; the platform may have named a wait.
    Refused(Option<Duration>),
    /// The result of the write is unknown: it may have taken effect or may still do so.
    WriteLost,
    /// The object was read.
    Read(Option<StoredClaim>),
    /// The object could not be read.
    ReadFailed,
    /// The service responded.
    Answered(Outcome),
    /// Nothing was sent, because the connection was closed or the send window had ended.
    NotSent,
    /// The service's response was lost.
    AnswerLost,
    /// Result of the status call; `None` if the service does not know the action or the call
    /// failed.
    Checked(Option<Outcome>),
    /// The wait has ended.
    Waited,
}

/// Output of the state machine: what to do next. The driver responds to each with one event.
#[derive(Clone, Debug)]
pub enum Command {
    /// Open a connection to a target.
    Connect,
    /// Write the record if the object has revision `base` (0: is absent).
    Write {
        /// The record to write.
        record: Record,
        /// Revision that the write replaces.
        base: u64,
    },
    /// Read the object.
    Read,
    /// Send the action, but not after this time.
    Send(Instant),
    /// Make this status call.
    Check(SmolStr),
    /// Wait for this time.
    Wait(Duration),
    /// Respond to the caller, and complete the deferred write in the background.
    Finish(Verdict, Option<DeferredWrite>),
}

/// Result of an attempt, as the caller receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This attempt ran the action.
    Ran(Outcome),
    /// Another attempt ran the action.
    Replayed(Outcome),
    /// Another attempt ran the action; its response was too large to be stored.
    TooLarge(u16),
    /// This attempt did not run the action and will not.
    NotRun(Cause),
    /// The action may have run.
    Unknown(Cause),
    /// The key was already used for a different request.
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
    /// The platform did not accept the claim.
    Platform(Option<Duration>),
    /// No target could be reached.
    NoTarget,
    /// The deadline has passed.
    Deadline,
    /// The instance shuts down before the service would respond.
    Shutdown,
    /// Another attempt holds the claim.
    Busy,
    /// The service's response was lost.
    AnswerLost,
}
