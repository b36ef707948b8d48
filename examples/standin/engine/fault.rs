//! Faults that the control route sets.

use std::time::Duration;

use serde::Deserialize;

/// A way in which a version is bad, and when.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Begins this long after the engine's start.
    pub after_ms: u64,
    /// Only while more attempts than this run.
    pub above_running: usize,
    /// Only for prompts that contain this.
    pub route: String,
    /// Only for this version; empty for all.
    pub version: String,
    /// Fraction of attempts that fail.
    pub fail_rate: f64,
    /// Failing attempts end after this many tokens.
    pub fail_after: u64,
    /// Factor on the time between tokens; 0 leaves it.
    pub slow_factor: f64,
    /// Added to the time of the first token.
    pub slow_first_ms: u64,
}

impl Fault {
    /// Whether it applies to an attempt now.
    pub fn applies(&self, age: Duration, running: usize, prompt: &str, version: &str) -> bool {
        age >= Duration::from_millis(self.after_ms)
            && (self.above_running == 0 || running > self.above_running)
            && prompt.contains(&self.route)
            && (self.version.is_empty() || self.version == version)
    }
}

/// Body of `POST /control`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Nothing is answered or generated for this long.
    pub freeze_ms: Option<u64>,
    /// Crashes now.
    pub crash: bool,
    /// Crashes when an attempt whose prompt contains this begins to run.
    pub crash_on: Option<String>,
    /// It crashes only when such an attempt has this many tokens, prefix included.
    pub crash_at: u64,
    /// Every connection open now goes silent for good.
    pub silent: bool,
    /// Whether the engine says that it leaves.
    pub leaving: Option<bool>,
    /// Whether new attempts are refused with 503.
    pub refuse: Option<bool>,
    /// The listening socket is closed for this long.
    pub close_ms: Option<u64>,
    /// Replaces the list of faults.
    pub faults: Option<Vec<Fault>>,
}
