//! The one error shape that callers see.

use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

/// What is certain about the request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// It did not run and will not run by this try.
    NotRun,
    /// It may have run.
    OutcomeUnknown,
    /// It ran, or began to, and failed.
    Failed,
}

/// A final answer that is not the requested result.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{reason}: {message}")]
pub struct Failure {
    /// HTTP status code.
    pub status: u16,
    /// What is certain about the request.
    pub outcome: Certainty,
    /// Machine-readable reason in snake case.
    pub reason: &'static str,
    /// One sentence for a person.
    pub message: SmolStr,
    /// When coming back helps.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A refusal: nothing ran.
    #[must_use]
    pub fn not_run(status: u16, reason: &'static str, message: impl Into<SmolStr>) -> Self {
        Self::new(status, Certainty::NotRun, reason, message)
    }

    /// The outcome could not be learnt.
    #[must_use]
    pub fn unknown(reason: &'static str, message: impl Into<SmolStr>) -> Self {
        Self::new(502, Certainty::OutcomeUnknown, reason, message)
    }

    /// It ran, or began to, and failed.
    #[must_use]
    pub fn failed(status: u16, reason: &'static str, message: impl Into<SmolStr>) -> Self {
        Self::new(status, Certainty::Failed, reason, message)
    }

    /// Says when the caller should come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON body of docs/interfaces.md.
    #[must_use]
    pub fn body(&self) -> serde_json::Value {
        let mut error = serde_json::json!({
            "outcome": self.outcome,
            "reason": self.reason,
            "message": self.message,
        });
        if let Some(wait) = self.retry_after {
            error["retry_after_ms"] = (wait.as_millis() as u64).into();
        }
        serde_json::json!({ "error": error })
    }

    fn new(
        status: u16,
        outcome: Certainty,
        reason: &'static str,
        message: impl Into<SmolStr>,
    ) -> Self {
        Self {
            status,
            outcome,
            reason,
            message: message.into(),
            retry_after: None,
        }
    }
}
