//! A generation's tokens and the callers that read them.

use std::sync::Arc;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::journal::{Journal, Place};
use super::state::Outcome;
use crate::failure::Failure;
use crate::ident::RequestKey;
use crate::target::engine::Reason;

/// A request for a generation.
#[derive(Clone, Debug)]
pub struct Start {
    /// Names the request.
    pub key: RequestKey,
    /// Client account.
    pub account: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Version that it stays on for life.
    pub version: SmolStr,
    /// Model.
    pub model: SmolStr,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Length limit.
    pub max_tokens: u64,
    /// Higher goes first.
    pub priority: i64,
    /// When it is given up.
    pub deadline: Instant,
    /// Digest of the request's body.
    pub body_digest: u128,
}

/// What a reader gets next.
#[derive(Clone, Debug)]
pub enum Event {
    /// A token.
    Token {
        /// Its index.
        index: u64,
        /// Its text.
        text: SmolStr,
    },
    /// The generation is whole.
    End {
        /// Why it ended.
        reason: Reason,
        /// Number of its tokens.
        total: u64,
    },
    /// The generation was given up.
    Failed(Failure),
}

#[derive(Debug)]
struct Log {
    tokens: Vec<SmolStr>,
    outcome: Option<Outcome>,
    place: Option<Place>,
    readers: usize,
    floor: u64,
    idle: Instant,
}

/// The tokens of one generation, written by its driver and read by its callers.
#[derive(Debug)]
pub(crate) struct Run {
    /// The request.
    pub(crate) start: Start,
    /// Higher after each takeover.
    pub(crate) epoch: u64,
    /// Cancelled when another instance takes over.
    pub(crate) taken: CancellationToken,
    /// Cancelled when nobody reads any more.
    pub(crate) orphaned: CancellationToken,
    log: Mutex<Log>,
    news: Notify,
}

impl Run {
    pub(crate) fn new(start: Start, epoch: u64) -> Arc<Self> {
        Self::with(start, epoch, Vec::new(), None, None)
    }

    /// The run that goes on with a journal.
    pub(crate) fn adopt(start: Start, epoch: u64, journal: Journal) -> Arc<Self> {
        let start = Start {
            version: journal.version,
            model: journal.model,
            ..start
        };
        let outcome = journal.whole.map(Outcome::Whole);
        Self::with(start, epoch, journal.tokens, journal.place, outcome)
    }

    fn with(
        start: Start,
        epoch: u64,
        tokens: Vec<SmolStr>,
        place: Option<Place>,
        outcome: Option<Outcome>,
    ) -> Arc<Self> {
        let log = Log {
            tokens,
            outcome,
            place,
            readers: 0,
            floor: 0,
            idle: Instant::now(),
        };
        Arc::new(Self {
            start,
            epoch,
            taken: CancellationToken::new(),
            orphaned: CancellationToken::new(),
            log: Mutex::new(log),
            news: Notify::new(),
        })
    }

    /// Adds tokens and wakes the readers, unless it has ended.
    pub(crate) fn publish(&self, tokens: &mut Vec<SmolStr>) {
        let mut log = self.log.lock();
        if log.outcome.is_none() {
            log.tokens.append(tokens);
        }
        drop(log);
        self.news.notify_waiters();
    }

    /// Ends the generation, unless it has ended.
    pub(crate) fn finish(&self, outcome: Outcome) {
        let mut log = self.log.lock();
        log.outcome.get_or_insert(outcome);
        log.idle = Instant::now();
        drop(log);
        self.news.notify_waiters();
    }

    /// Stops it, because another instance goes on with it.
    pub(crate) fn supersede(&self) {
        self.taken.cancel();
        let failure = Failure::failed(409, "superseded", "another instance goes on with it");
        self.finish(Outcome::Failed(failure));
    }

    /// What another instance needs to go on with it.
    pub(crate) fn journal(&self) -> Journal {
        let log = self.log.lock();
        let whole = match &log.outcome {
            Some(Outcome::Whole(reason)) => Some(*reason),
            _ => None,
        };
        Journal {
            key: self.start.key,
            epoch: self.epoch,
            body: self.start.body_digest,
            version: self.start.version.clone(),
            model: self.start.model.clone(),
            place: log.place.clone(),
            tokens: log.tokens.clone(),
            whole,
        }
    }

    /// Where its newest attempt runs.
    pub(crate) fn place(&self) -> Option<Place> {
        self.log.lock().place.clone()
    }

    /// Sets where its newest attempt runs.
    pub(crate) fn set_place(&self, place: Place) {
        self.log.lock().place = Some(place);
    }

    /// Tokens that some caller has seen. Only the attempt that made them may go on below that.
    pub(crate) fn floor(&self) -> u64 {
        self.log.lock().floor
    }

    /// All tokens so far.
    pub(crate) fn tokens(&self) -> Vec<SmolStr> {
        self.log.lock().tokens.clone()
    }

    /// Number of tokens so far.
    pub(crate) fn len(&self) -> u64 {
        self.log.lock().tokens.len() as u64
    }

    pub(crate) fn ended(&self) -> bool {
        self.log.lock().outcome.is_some()
    }

    /// Ended by a failure.
    pub(crate) fn failed(&self) -> bool {
        matches!(self.log.lock().outcome, Some(Outcome::Failed(_)))
    }

    /// Since when nobody reads it, if so.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let log = self.log.lock();
        (log.readers == 0).then_some(log.idle)
    }

    /// A reader that begins with token `from`.
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
            Outcome::Whole(reason) => Some(Event::End { reason, total }),
            Outcome::Failed(failure) => Some(Event::Failed(failure)),
        }
    }
}

/// A caller's place in a generation. A slow reader delays nobody else.
#[derive(Debug)]
pub struct Reader {
    run: Arc<Run>,
    next: u64,
}

impl Reader {
    /// The request that it reads, with the version that it is pinned to.
    #[must_use]
    pub fn start(&self) -> &Start {
        &self.run.start
    }

    /// Waits for the next event. After an end or a failure the same is returned again.
    ///
    /// Cancel safe.
    pub async fn next(&mut self) -> Event {
        let run = Arc::clone(&self.run);
        loop {
            let news = run.news.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            match self.try_next() {
                Some(event) => return event,
                None => news.await,
            }
        }
    }

    /// The next event if there is one.
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
        log.idle = Instant::now();
    }
}
