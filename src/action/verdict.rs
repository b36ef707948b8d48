//! The answers that callers see.

use std::time::Duration;

use super::{Cause, Outcome, Verdict};
use crate::failure::{Certainty, Failure};

/// When a caller should come back after the platform did not take a claim.
const PLATFORM_RETRY: Duration = Duration::from_secs(1);

/// When a caller should come back for the outcome of another try.
const BUSY_RETRY: Duration = Duration::from_secs(2);

/// Turns a verdict into an answer.
pub(crate) fn answer(verdict: Verdict) -> Result<Outcome, Failure> {
    match verdict {
        Verdict::Ran(outcome) | Verdict::Replayed(outcome) => Ok(outcome),
        Verdict::TooLarge(status) => Err(Failure::failed(
            409,
            "outcome_too_large",
            format!("it ran once with status {status}; its answer was too large to be kept"),
        )),
        Verdict::KeyReused => Err(Failure::not_run(
            422,
            "key_reused",
            "this Idempotency-Key belongs to another request",
        )),
        Verdict::NotRun(cause) => Err(refusal(cause)),
        Verdict::Unknown(cause) => Err(unknown(cause)),
    }
}

fn refusal(cause: Cause) -> Failure {
    match cause {
        Cause::Platform(wait) => Failure::not_run(
            503,
            "platform_unavailable",
            "this try did not run, as it could not be recorded; earlier tries were not looked up",
        )
        .retry_after(wait.unwrap_or(PLATFORM_RETRY)),
        Cause::NoTarget => {
            Failure::not_run(503, "no_target", "no target could be reached").retry_after(BUSY_RETRY)
        }
        Cause::Deadline => Failure::not_run(504, "deadline", "the time for the call was over"),
        Cause::Busy | Cause::AnswerLost => Failure::not_run(
            409,
            "in_progress",
            "another call with this key holds the claim",
        )
        .retry_after(BUSY_RETRY),
    }
}

fn unknown(cause: Cause) -> Failure {
    match cause {
        Cause::Busy => Failure {
            status: 409,
            outcome: Certainty::OutcomeUnknown,
            reason: "in_progress",
            message: "another call with this key was sent and has no outcome yet".into(),
            retry_after: Some(BUSY_RETRY),
        },
        Cause::AnswerLost => Failure::unknown(
            "answer_lost",
            "it was sent once and its answer was lost; it will not be sent again",
        ),
        Cause::Platform(_) | Cause::NoTarget | Cause::Deadline => Failure::unknown(
            "outcome_not_read",
            "an earlier call with this key was sent, and its outcome could not be read",
        )
        .retry_after(PLATFORM_RETRY),
    }
}
