//! One attempt to run a generation on a target, with the engine calls that start, resume, probe and
//! cancel it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt as _};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::gap_estimator::GapEstimator;
use super::hooks::{Lease, Target};
use super::journal::AttemptLocation;
use super::run::Run;
use crate::target::engine::{Engine, Position, Refusal, Start, Stream};

/// Wait for the response head of an attempt's stream after which its target counts as silent.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// The same for a probe or a resume over a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum wait for the answer to a cancellation; long, so that a paused target still receives it.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum tries of a cancellation whose connection breaks.
const MAX_CANCEL_TRIES: u32 = 3;

/// An attempt on a target.
pub(crate) struct Attempt {
    pub(crate) number: u32,
    name: SmolStr,
    pub(crate) target: Target,
    _lease: Option<Lease>,
    engine: Engine,
    pub(crate) estimator: Arc<Mutex<GapEstimator>>,
    pub(crate) started: Instant,
    pub(crate) last_token: Option<Instant>,
    pub(crate) gaps: (u32, Duration),
}

/// Result of a pending engine call.
pub(crate) enum Answer {
    Stream(Result<Stream, Refusal>),
    Position(Result<Position, Refusal>),
}

/// A pending engine call.
pub(crate) struct Call {
    pub(crate) answer: BoxFuture<'static, Answer>,
    pub(crate) since: Instant,
    /// When the target counts as silent.
    pub(crate) limit: Instant,
    /// Whether it asks for a position.
    is_probe: bool,
}

impl Call {
    /// Waits once more for the answer.
    pub(crate) fn extend(&mut self) {
        self.limit = Instant::now() + PROBE_TIMEOUT;
    }

    /// What stands in for the answer of a silent target.
    pub(crate) fn silence(&self) -> Answer {
        match self.is_probe {
            true => Answer::Position(Err(Refusal::Silent)),
            false => Answer::Stream(Err(Refusal::Silent)),
        }
    }
}

impl Attempt {
    pub(crate) fn new(
        location: AttemptLocation,
        lease: Option<Lease>,
        engine: Engine,
        estimator: Arc<Mutex<GapEstimator>>,
    ) -> Self {
        Self {
            number: location.number,
            name: location.attempt,
            target: Target {
                name: location.target,
                addr: location.addr,
            },
            _lease: lease,
            engine,
            estimator,
            started: Instant::now(),
            last_token: None,
            gaps: (0, Duration::ZERO),
        }
    }

    /// Starts the attempt with all tokens generated so far as prefix.
    pub(crate) fn start(&self, run: Arc<Run>) -> Call {
        let (engine, name) = (self.engine.clone(), self.name.clone());
        let prefix = run.tokens();
        let call = async move {
            let request = run.request.key.to_string();
            let left = run
                .request
                .deadline
                .saturating_duration_since(Instant::now());
            let start = Start {
                attempt: &name,
                request: &request,
                model: &run.request.model,
                version: &run.request.version,
                prompt: &run.request.prompt,
                prefix: &prefix,
                max_tokens: run.request.max_tokens,
                priority: run.request.priority + i64::from(!prefix.is_empty()),
                deadline_ms: left.as_millis() as u64,
            };
            Answer::Stream(engine.start(&start, left).await)
        };
        Call {
            answer: call.boxed(),
            since: Instant::now(),
            limit: Instant::now() + OPEN_TIMEOUT,
            is_probe: false,
        }
    }

    /// Reads the attempt's stream from index `from` over a new connection, for `left` at most.
    pub(crate) fn resume(&self, from: u64, left: Duration) -> Call {
        let (engine, name) = (self.engine.clone(), self.name.clone());
        let call = async move { Answer::Stream(engine.resume(&name, from, left).await) };
        Call {
            answer: call.boxed(),
            since: Instant::now(),
            limit: Instant::now() + PROBE_TIMEOUT,
            is_probe: false,
        }
    }

    /// Requests the attempt's position over a new connection, for `left` at most.
    pub(crate) fn probe(&self, left: Duration) -> Call {
        let (engine, name) = (self.engine.clone(), self.name.clone());
        let call = async move { Answer::Position(engine.position(&name, left).await) };
        Call {
            answer: call.boxed(),
            since: Instant::now(),
            limit: Instant::now() + PROBE_TIMEOUT,
            is_probe: true,
        }
    }

    /// Cancels the attempt in the background.
    pub(crate) fn cancel(&self) {
        tokio::spawn(cancel(self.engine.clone(), self.name.clone()));
    }
}

/// Cancels an attempt. A paused target receives the call when it continues.
async fn cancel(engine: Engine, name: SmolStr) {
    for _ in 0..MAX_CANCEL_TRIES {
        match engine.cancel(&name, CANCEL_TIMEOUT).await {
            Err(Refusal::Lost) => {}
            _ => return,
        }
    }
}
