//! Conversion of verdicts into the responses that callers receive.

use std::time::Duration;

use super::{Cause, Outcome, Verdict};
use crate::failure::{Certainty, Failure};

/// Retry-After when the platform did not accept a claim.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-After when another attempt has no outcome yet.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Converts a verdict into the outcome or failure for the caller.
pub(crate) fn into_result(verdict: Verdict) -> Result<Outcome, Failure> {
    match verdict {
        Verdict::Ran(outcome) | Verdict::Replayed(outcome) => Ok(outcome),
        Verdict::TooLarge(status) => Err(Failure::failed(
            409,
            "outcome_too_large",
            format!(
                "the action ran once with status {status}; its response was too large to be stored"
            ),
        )),
        Verdict::KeyReused => Err(Failure::not_run(
            422,
            "key_reused",
            "this Idempotency-Key was already used for a different request",
        )),
        Verdict::NotRun(cause) => Err(not_run(cause)),
        Verdict::Unknown(cause) => Err(unknown(cause)),
    }
}

fn not_run(cause: Cause) -> Failure {
    match cause {
        Cause::Platform(wait) => Failure::not_run(
            503,
            "platform_unavailable",
            "no claim was granted, so the action was not sent; earlier attempts were not checked",
        )
        .retry_after(wait.unwrap_or(PLATFORM_RETRY_AFTER)),
        Cause::NoTarget => Failure::not_run(503, "no_target", "no target could be reached")
            .retry_after(BUSY_RETRY_AFTER),
        Cause::Deadline => Failure::not_run(
            504,
            "deadline",
            "the time limit passed before the action was sent",
        ),
        Cause::Shutdown => Failure::shutting_down(),
        Cause::Busy | Cause::AnswerLost => Failure::not_run(
            409,
            "in_progress",
            "another call with this Idempotency-Key is in progress",
        )
        .retry_after(BUSY_RETRY_AFTER),
    }
}

fn unknown(cause: Cause) -> Failure {
    match cause {
        Cause::Busy => Failure {
            status: 409,
            outcome: Certainty::OutcomeUnknown,
            reason: "in_progress",
            message: "another call with this Idempotency-Key was sent and has no outcome yet"
                .into(),
            retry_after: Some(BUSY_RETRY_AFTER),
        },
        Cause::AnswerLost => Failure::unknown(
            "answer_lost",
            "the action was sent once and its response was lost; it will not be sent again",
        ),
        Cause::Platform(_) | Cause::NoTarget | Cause::Deadline | Cause::Shutdown => Failure::unknown(
            "outcome_not_read",
            "an earlier call with this Idempotency-Key was sent, and its outcome could not be read",
        )
        .retry_after(PLATFORM_RETRY_AFTER),
    }
}
