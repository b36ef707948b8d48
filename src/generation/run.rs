//! A generation's tokens in memory, and the readers that follow them.
//!
//! The driver appends tokens after they are journalled. Any number of callers read them, each at
//! its own speed, so that a slow connection does not delay the others.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::journal::{AttemptLocation, Journal};
use super::state::Outcome;
use crate::failure::Failure;
use crate::ident::RequestKey;
use crate::target::engine::Reason;

/// A request to generate text.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Client account.
    pub account: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Version to which the generation is pinned until it ends.
    pub version: SmolStr,
    /// Model.
    pub model: SmolStr,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Maximum number of tokens.
    pub max_tokens: u64,
    /// Priority; higher values run first.
    pub priority: i64,
    /// When the generation is cancelled.
    pub deadline: Instant,
    /// Digest of the request's body.
    pub body_digest: u128,
}

/// An item of the stream that a reader receives.
#[derive(Clone, Debug)]
pub enum Event {
    /// A generated token.
    Token {
        /// Its index.
        index: u64,
        /// Its text.
        text: SmolStr,
    },
    /// The generation is complete.
    End {
        /// Finish reason.
        reason: Reason,
        /// Number of its tokens.
        total: u64,
    },
    /// The generation failed.
    Failed(Failure),
}

#[derive(Debug)]
struct Log {
    tokens: Vec<SmolStr>,
    outcome: Option<Outcome>,
    location: Option<AttemptLocation>,
    readers: usize,
    floor: u64,
    idle_since: Instant,
}

/// The tokens and the outcome of one generation, written by its driver and read by its callers.
#[derive(Debug)]
pub(crate) struct Run {
    /// The request that it serves.
    pub(crate) request: GenerationRequest,
    /// Owner's epoch; each takeover raises it.
    pub(crate) epoch: u64,
    /// Cancelled when another instance takes the generation over.
    pub(crate) superseded: CancellationToken,
    /// Cancelled when the generation has had no reader for too long.
    pub(crate) abandoned: CancellationToken,
    /// When the generation started, unless another instance started it.
    pub(crate) begun: Option<Instant>,
    log: Mutex<Log>,
    updates: Notify,
}

impl Run {
    pub(crate) fn new(request: GenerationRequest, epoch: u64) -> Arc<Self> {
        Self::build(request, epoch, Some(Instant::now()), Vec::new(), None, None)
    }

    /// Creates the run that resumes from a journal.
    pub(crate) fn adopt(request: GenerationRequest, epoch: u64, journal: Journal) -> Arc<Self> {
        let request = GenerationRequest {
            version: journal.version,
            model: journal.model,
            ..request
        };
        let outcome = journal.finish_reason.map(Outcome::Complete);
        Self::build(
            request,
            epoch,
            None,
            journal.tokens,
            journal.location,
            outcome,
        )
    }

    fn build(
        request: GenerationRequest,
        epoch: u64,
        begun: Option<Instant>,
        tokens: Vec<SmolStr>,
        location: Option<AttemptLocation>,
        outcome: Option<Outcome>,
    ) -> Arc<Self> {
        let log = Log {
            tokens,
            outcome,
            location,
            readers: 0,
            floor: 0,
            idle_since: Instant::now(),
        };
        Arc::new(Self {
            request,
            epoch,
            superseded: CancellationToken::new(),
            abandoned: CancellationToken::new(),
            begun,
            log: Mutex::new(log),
            updates: Notify::new(),
        })
    }

    /// Appends tokens, unless the generation has ended, and wakes the readers.
    pub(crate) fn publish(&self, tokens: &mut Vec<SmolStr>) {
        let mut log = self.log.lock();
        if log.outcome.is_none() {
            log.tokens.append(tokens);
        }
        drop(log);
        self.updates.notify_waiters();
    }

    /// Sets the outcome, unless there is one.
    pub(crate) fn finish(&self, outcome: Outcome) {
        let mut log = self.log.lock();
        log.outcome.get_or_insert(outcome);
        log.idle_since = Instant::now();
        drop(log);
        self.updates.notify_waiters();
    }

    /// Stops the generation here because another instance has taken it over.
    pub(crate) fn supersede(&self) {
        self.superseded.cancel();
        let failure = Failure::failed(
            409,
            "superseded",
            "another instance has taken over this generation",
        );
        self.finish(Outcome::Failed(failure));
    }

    /// Returns the state that another instance needs to resume the generation.
    pub(crate) fn journal(&self) -> Journal {
        let log = self.log.lock();
        let finish_reason = match &log.outcome {
            Some(Outcome::Complete(reason)) => Some(*reason),
            _ => None,
        };
        Journal {
            key: self.request.key,
            epoch: self.epoch,
            body: self.request.body_digest,
            version: self.request.version.clone(),
            model: self.request.model.clone(),
            location: log.location.clone(),
            tokens: log.tokens.clone(),
            finish_reason,
        }
    }

    /// Target of the newest attempt.
    pub(crate) fn location(&self) -> Option<AttemptLocation> {
        self.log.lock().location.clone()
    }

    /// Sets the target of the newest attempt.
    pub(crate) fn set_location(&self, location: AttemptLocation) {
        self.log.lock().location = Some(location);
    }

    /// Number of tokens that some caller already has. Below it, only the attempt that generated
    /// these tokens may continue.
    pub(crate) fn floor(&self) -> u64 {
        self.log.lock().floor
    }

    /// Returns all tokens so far.
    pub(crate) fn tokens(&self) -> Vec<SmolStr> {
        self.log.lock().tokens.clone()
    }

    /// Number of tokens so far.
    pub(crate) fn len(&self) -> u64 {
        self.log.lock().tokens.len() as u64
    }

    /// Mean time of a token so far, if the generation runs and started here.
    pub(crate) fn pace(&self) -> Option<Duration> {
        let log = self.log.lock();
        let tokens = u32::try_from(log.tokens.len()).ok()?;
        let running = log.outcome.is_none() && tokens > 0;
        let begun = self.begun.filter(|_| running)?;
        Some(begun.elapsed() / tokens)
    }

    pub(crate) fn ended(&self) -> bool {
        self.log.lock().outcome.is_some()
    }

    /// Whether the generation ended with a failure.
    pub(crate) fn failed(&self) -> bool {
        matches!(self.log.lock().outcome, Some(Outcome::Failed(_)))
    }

    /// Time of the last reader's departure, if no reader is left.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let log = self.log.lock();
        (log.readers == 0).then_some(log.idle_since)
    }

    /// Creates a reader that begins with token `from`.
    pub(crate) fn read(self: &Arc<Self>, from: u64) -> Reader {
        let mut log = self.log.lock();
        log.readers += 1;
        log.floor = log.floor.max(from);
        drop(log);
        Reader {
            run: Arc::clone(self),
            next: from,
        }
    }

    fn event(&self, next: u64) -> Option<Event> {
        let log = self.log.lock();
        if let Some(text) = log.tokens.get(next as usize) {
            let text = text.clone();
            return Some(Event::Token { index: next, text });
        }
        let total = log.tokens.len() as u64;
        match log.outcome.clone()? {
            Outcome::Complete(reason) => Some(Event::End { reason, total }),
            Outcome::Failed(failure) => Some(Event::Failed(failure)),
        }
    }
}

/// A caller's position in a generation. A slow reader does not delay others.
#[derive(Debug)]
pub struct Reader {
    run: Arc<Run>,
    next: u64,
}

impl Reader {
    /// The request that is read, with the version to which it is pinned.
    #[must_use]
    pub fn request(&self) -> &GenerationRequest {
        &self.run.request
    }

    /// Waits for the next event. After an end or a failure, returns the same event again.
    ///
    /// Cancel safe.
    pub async fn next(&mut self) -> Event {
        let run = Arc::clone(&self.run);
        loop {
            let updates = run.updates.notified();
            tokio::pin!(updates);
            updates.as_mut().enable();
            match self.try_next() {
                Some(event) => return event,
                None => updates.await,
            }
        }
    }

    /// Returns the next event if it is available.
    pub fn try_next(&mut self) -> Option<Event> {
        let event = self.run.event(self.next)?;
        self.next += u64::from(matches!(event, Event::Token { .. }));
        Some(event)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut log = self.run.log.lock();
        log.readers -= 1;
        log.idle_since = Instant::now();
    }
}
