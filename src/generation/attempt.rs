//! One attempt at a target and the calls about it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt as _};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::hooks::{Lease, Target};
use super::journal::Place;
use super::pace::Pace;
use super::run::Run;
use crate::target::engine::{Engine, Position, Refusal, Start, Stream};

/// Longest wait for the head of an attempt's stream.
const OPEN_LIMIT: Duration = Duration::from_millis(600);

/// Longest wait for the answer to a question over a new connection.
const PROBE_LIMIT: Duration = Duration::from_millis(450);

/// How long a cancellation waits for a target that does not answer.
const CANCEL_LIMIT: Duration = Duration::from_secs(60);

/// Tries of a cancellation whose connection broke.
const CANCEL_TRIES: u32 = 3;

/// An attempt at a target.
pub(crate) struct Attempt {
    pub(crate) number: u32,
    name: SmolStr,
    pub(crate) target: Target,
    _lease: Option<Lease>,
    engine: Engine,
    pub(crate) pace: Arc<Mutex<Pace>>,
    pub(crate) began: Instant,
    pub(crate) heard: Option<Instant>,
    pub(crate) gaps: (u32, Duration),
}

/// What a pending call returned.
pub(crate) enum Answer {
    Stream(Result<Stream, Refusal>),
    Position(Result<Position, Refusal>),
}

impl Attempt {
    pub(crate) fn new(
        place: Place,
        lease: Option<Lease>,
        engine: Engine,
        pace: Arc<Mutex<Pace>>,
    ) -> Self {
        Self {
            number: place.number,
            name: place.attempt,
            target: Target {
                name: place.target,
                addr: place.addr,
            },
            _lease: lease,
            engine,
            pace,
            began: Instant::now(),
            heard: None,
            gaps: (0, Duration::ZERO),
        }
    }

    /// Starts it with the tokens so far as prefix.
    pub(crate) fn start(&self, run: Arc<Run>) -> BoxFuture<'static, Answer> {
        let (engine, name) = (self.engine.clone(), self.name.clone());
        let prefix = run.tokens();
        let call = async move {
            let request = run.start.key.to_string();
            let left = run.start.deadline.saturating_duration_since(Instant::now());
            let start = Start {
                attempt: &name,
                request: &request,
                model: &run.start.model,
                version: &run.start.version,
                prompt: &run.start.prompt,
                prefix: &prefix,
                max_tokens: run.start.max_tokens,
                priority: run.start.priority + i64::from(!prefix.is_empty()),
                deadline_ms: left.as_millis() as u64,
            };
            Answer::Stream(engine.start(&start, OPEN_LIMIT).await)
        };
        call.boxed()
    }

    /// Reads its stream from index `from` over a new connection.
    pub(crate) fn resume(&self, from: u64) -> BoxFuture<'static, Answer> {
        let (engine, name) = (self.engine.clone(), self.name.clone());
        let call = async move { Answer::Stream(engine.resume(&name, from, PROBE_LIMIT).await) };
        call.boxed()
    }

    /// Asks its position over a new connection.
    pub(crate) fn probe(&self) -> BoxFuture<'static, Answer> {
        let (engine, name) = (self.engine.clone(), self.name.clone());
        let call = async move { Answer::Position(engine.position(&name, PROBE_LIMIT).await) };
        call.boxed()
    }

    /// Cancels it in the background.
    pub(crate) fn cancel(&self) {
        tokio::spawn(cancel(self.engine.clone(), self.name.clone()));
    }
}

/// Cancels an attempt; a target that is paused gets the call when it returns.
async fn cancel(engine: Engine, name: SmolStr) {
    for _ in 0..CANCEL_TRIES {
        match engine.cancel(&name, CANCEL_LIMIT).await {
            Err(Refusal::Lost) => {}
            _ => return,
        }
    }
}
