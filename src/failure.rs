//! The error format that callers receive.

use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

/// Time after which a request that a shutdown refused or cut off may be sent to another instance.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Whether a failed request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// It did not run, and this attempt will not make it run later.
    NotRun,
    /// It may have run.
    OutcomeUnknown,
    /// It ran, at least in part, and failed.
    Failed,
}

/// A final answer that reports an error.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{reason}: {message}")]
pub struct Failure {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub outcome: Certainty,
    /// Machine-readable reason in snake case.
    pub reason: &'static str,
    /// Human-readable message of one sentence.
    pub message: SmolStr,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A rejected request that did not run.
    #[must_use]
    pub fn not_run(status: u16, reason: &'static str, message: impl Into<SmolStr>) -> Self {
        Self::new(status, Certainty::NotRun, reason, message)
    }

    /// A request whose outcome is unknown.
    #[must_use]
    pub fn unknown(reason: &'static str, message: impl Into<SmolStr>) -> Self {
        Self::new(502, Certainty::OutcomeUnknown, reason, message)
    }

    /// A request that ran, at least in part, and failed.
    #[must_use]
    pub fn failed(status: u16, reason: &'static str, message: impl Into<SmolStr>) -> Self {
        Self::new(status, Certainty::Failed, reason, message)
    }

    /// A rejected request that could not end before the instance shuts down.
    #[must_use]
    pub fn shutting_down() -> Self {
        let text = "the instance shuts down before the request would end";
        Self::not_run(503, "shutting_down", text).retry_after(SHUTDOWN_RETRY_AFTER)
    }

    /// A request that is cut off by a shutdown; `text` says what its caller may do.
    #[must_use]
    pub fn shut_down(text: &str) -> Self {
        let text = format!("the instance shuts down; {text}");
        Self::unknown("shutting_down", text)
    }

    /// A request that is cut off by a shutdown and may be sent again.
    #[must_use]
    pub fn interrupted(text: &str) -> Self {
        Self {
            status: 503,
            ..Self::shut_down(text).retry_after(SHUTDOWN_RETRY_AFTER)
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON error body described in docs/interfaces.md.
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
