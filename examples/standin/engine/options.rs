//! Options of one stand-in engine.

use std::time::Duration;

use super::fault::Fault;

/// What a crash does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Aborts the process.
    Abort,
    /// Resets every connection and stops listening, for engines that share a process.
    Reset,
}

/// Options of one engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the engine.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Version that it has loaded at the start.
    pub version: String,
    /// Attempts that run at once.
    pub slots: usize,
    /// Time between two tokens of an attempt.
    pub token: Duration,
    /// Time to compute one prompt token that is not cached.
    pub prefill: Duration,
    /// Blocks of 64 bytes that the prefix cache holds.
    pub cache: usize,
    /// Age of a load report.
    pub lag: Duration,
    /// Age of a cache event when it is published.
    pub event_lag: Duration,
    /// Every n-th cache event is lost; 0 loses none.
    pub event_gap: u64,
    /// Whether old fencing numbers are refused.
    pub fencing: bool,
    /// Time to load a model, adapter or version from the weight store.
    pub load: Duration,
    /// How long an attempt goes on when nobody reads it.
    pub unread: Duration,
    /// Faults from the start.
    pub faults: Vec<Fault>,
    /// What a crash does.
    pub crash: Crash,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine-1".into(),
            service: "llm".into(),
            version: "v1".into(),
            slots: 32,
            token: Duration::from_millis(10),
            prefill: Duration::from_micros(20),
            cache: 4096,
            lag: Duration::from_secs(2),
            event_lag: Duration::from_secs(1),
            event_gap: 17,
            fencing: true,
            load: Duration::from_millis(200),
            unread: Duration::from_secs(15),
            faults: Vec::new(),
            crash: Crash::Reset,
        }
    }
}
