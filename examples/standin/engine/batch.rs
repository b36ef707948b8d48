//! Continuous batching: attempts, slots, the priority queue and their log.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::cache::Cache;
use super::fault::Fault;
use super::options::Options;
use super::token::{length, token};

/// How long the tokens of an ended attempt are kept.
const KEEP: Duration = Duration::from_secs(60);

/// Most time that is caught up in one step.
const CATCH_UP: Duration = Duration::from_millis(100);

/// Time between two load readings.
const LOAD_PERIOD: Duration = Duration::from_millis(50);

/// Body of a start.
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    /// Name of the attempt.
    pub attempt: String,
    /// Name of the request.
    #[serde(default)]
    pub request: String,
    /// Version to run on.
    #[serde(default)]
    pub version: String,
    /// Prompt.
    pub prompt: String,
    /// Texts that the answer begins with.
    #[serde(default)]
    pub prefix: Vec<String>,
    /// Length limit, prefix included.
    pub max_tokens: u64,
    /// Higher goes first.
    #[serde(default)]
    pub priority: i64,
    /// Time left.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// What an attempt is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waits for a slot.
    Queued,
    /// Generates.
    Running,
    /// Ended.
    Done,
    /// Cancelled.
    Cancelled,
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt {
    /// As it was started.
    pub start: Start,
    /// What it is doing.
    pub phase: Phase,
    /// Index of the next token.
    pub next: u64,
    /// Reason of a failure.
    pub error: Option<&'static str>,
    /// Streams that read it.
    pub readers: usize,
    /// Wakes its streams.
    pub news: Arc<Notify>,
    total: u64,
    reason: &'static str,
    queued: Instant,
    due: Instant,
    fail_at: Option<u64>,
    unread: Instant,
    ended: Instant,
}

impl Attempt {
    fn expired(&self, now: Instant) -> bool {
        let limit = self.start.deadline_ms.map(Duration::from_millis);
        limit.is_some_and(|limit| now.saturating_duration_since(self.queued) > limit)
    }

    /// The last line of its stream, once ended.
    pub fn last_line(&self) -> Option<String> {
        match (self.phase, self.error) {
            (_, Some(reason)) => Some(format!("{{\"error\":\"{reason}\"}}\n")),
            (Phase::Cancelled, _) => Some("{\"error\":\"cancelled\"}\n".into()),
            (Phase::Done, _) => Some(format!(
                "{{\"end\":\"{}\",\"n\":{}}}\n",
                self.reason, self.next
            )),
            _ => None,
        }
    }
}

/// One line of the log.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Milliseconds since the engine's start.
    pub at_ms: u64,
    /// `start`, `resume`, `cancel`, `end`, `error` or `unread`.
    pub op: &'static str,
    /// Name of the attempt.
    pub attempt: String,
    /// Name of the request.
    pub request: String,
    /// Version.
    pub version: String,
    /// Token index.
    pub index: u64,
}

/// Counters and entries of `GET /control/log`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Log {
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt and prefix tokens computed.
    pub prefill: u64,
    /// Those of attempts that continue another.
    pub recomputed: u64,
    /// Starts whose prefix is not the true beginning of the answer.
    pub bad_prefixes: u64,
    /// What happened.
    pub entries: Vec<Entry>,
}

/// A load reading.
#[derive(Clone, Debug, Serialize)]
pub struct Load {
    running: usize,
    queued: usize,
    slots: usize,
    leaving: bool,
    version: String,
    tokens_per_s: f64,
    age_ms: u64,
    #[serde(skip)]
    at: Instant,
}

/// All state of an engine's batch.
#[derive(Debug)]
pub struct Batch {
    /// Attempts by name.
    pub attempts: IndexMap<String, Attempt>,
    /// Prefix cache.
    pub cache: Cache,
    /// What happened.
    pub log: Log,
    /// Whether the engine says that it leaves.
    pub leaving: bool,
    /// Whether starts are refused.
    pub refuse: bool,
    /// Prompt parts that crash it, each with the number of tokens at which it does.
    pub crash_on: Vec<(String, u64)>,
    /// Faults.
    pub faults: Vec<Fault>,
    opts: Options,
    born: Instant,
    loads: VecDeque<(Load, u64)>,
}

impl Batch {
    /// An idle batch.
    pub fn new(opts: Options) -> Self {
        Self {
            attempts: IndexMap::new(),
            cache: Cache::new(opts.cache, opts.event_gap),
            log: Log::default(),
            leaving: false,
            refuse: false,
            crash_on: Vec::new(),
            faults: opts.faults.clone(),
            born: Instant::now(),
            loads: VecDeque::new(),
            opts,
        }
    }

    /// Admits an attempt to the queue.
    pub fn start(&mut self, start: Start, now: Instant) {
        let (total, reason) = length(&start.prompt, start.max_tokens);
        let prefix = start.prefix.len() as u64;
        let wrong = |(i, text): (usize, &String)| *text != token(&start.prompt, i as u64);
        if start.prefix.iter().enumerate().any(wrong) {
            self.log.bad_prefixes += 1;
        }
        self.note("start", &start, prefix);
        let attempt = Attempt {
            phase: Phase::Queued,
            next: prefix,
            error: None,
            readers: 0,
            news: Arc::new(Notify::new()),
            total: total.max(prefix),
            reason,
            queued: now,
            due: now,
            fail_at: None,
            unread: now,
            ended: now,
            start,
        };
        self.attempts.insert(attempt.start.attempt.clone(), attempt);
    }

    /// Records an event of an attempt.
    pub fn record(&mut self, op: &'static str, id: &str, index: u64) {
        if let Some(start) = self.attempts.get(id).map(|a| a.start.clone()) {
            self.note(op, &start, index);
        }
    }

    /// Cancels an attempt; false when unknown.
    pub fn cancel(&mut self, id: &str, op: &'static str) -> bool {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return false;
        };
        if matches!(attempt.phase, Phase::Queued | Phase::Running) {
            attempt.phase = Phase::Cancelled;
            attempt.ended = Instant::now();
            attempt.news.notify_waiters();
            let next = attempt.next;
            self.record(op, id, next);
        }
        true
    }

    /// A reader of the attempt has gone.
    pub fn detach(&mut self, id: &str) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.readers -= 1;
            attempt.unread = Instant::now();
        }
    }

    /// Generates what is due; returns when to come back, or `None` when an attempt crashes it.
    pub fn step(&mut self, now: Instant) -> Option<Instant> {
        self.admit(now)?;
        let ids: Vec<_> = self.running().map(|a| a.start.attempt.clone()).collect();
        let count = ids.len();
        for id in ids {
            self.generate(&id, count, now);
            let attempt = &self.attempts[&id];
            if self.crashes(&attempt.start.prompt, attempt.next) {
                return None;
            }
        }
        self.sweep(now);
        self.read_load(now);
        let due = self.running().map(|a| a.due).min();
        Some(due.unwrap_or(now + LOAD_PERIOD).min(now + LOAD_PERIOD))
    }

    /// The newest load reading that is old enough.
    pub fn load(&self, now: Instant) -> Load {
        let old = |(load, _): &&(Load, u64)| now - load.at >= self.opts.lag;
        let mut load = match self.loads.iter().rev().find(old).or(self.loads.front()) {
            Some((load, _)) => load.clone(),
            None => self.reading(now),
        };
        load.age_ms = (now - load.at).as_millis() as u64;
        load
    }

    /// Attempts that run.
    pub fn running(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().filter(|a| a.phase == Phase::Running)
    }

    fn crashes(&self, prompt: &str, tokens: u64) -> bool {
        let hit = |(part, at): &(String, u64)| tokens >= *at && prompt.contains(part);
        self.crash_on.iter().any(hit)
    }

    fn queued(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().filter(|a| a.phase == Phase::Queued)
    }

    fn admit(&mut self, now: Instant) -> Option<()> {
        let mut running = self.running().count();
        while running < self.opts.slots {
            let best = self
                .queued()
                .reduce(|a, b| {
                    if b.start.priority > a.start.priority {
                        b
                    } else {
                        a
                    }
                })
                .map(|a| a.start.clone());
            let Some(start) = best else { break };
            if self.crashes(&start.prompt, start.prefix.len() as u64) {
                return None;
            }
            running += 1;
            self.prefill(&start, running, now);
        }
        Some(())
    }

    fn prefill(&mut self, start: &Start, running: usize, now: Instant) {
        let prefix = start.prefix.len() as u64;
        let tokens = self.cache.touch(&start.prompt) + prefix;
        self.log.prefill += tokens;
        if prefix > 0 {
            self.log.recomputed += tokens;
        }
        let fault = self.fault(start, running, now);
        let slow = Duration::from_millis(fault.slow_first_ms);
        let fails = rand::random::<f64>() < fault.fail_rate;
        let attempt = self.attempts.get_mut(&start.attempt).expect("queued");
        attempt.phase = Phase::Running;
        attempt.due = now + self.opts.prefill * tokens as u32 + slow;
        attempt.fail_at = fails.then_some(prefix + fault.fail_after);
    }

    fn generate(&mut self, id: &str, running: usize, now: Instant) {
        let start = self.attempts[id].start.clone();
        let factor = match self.fault(&start, running, now).slow_factor {
            f if f > 0.0 => f,
            _ => 1.0,
        };
        let gap = self.opts.token.mul_f64(factor);
        let attempt = self.attempts.get_mut(id).expect("running");
        if now.saturating_duration_since(attempt.due) > CATCH_UP {
            attempt.due = now;
        }
        let before = attempt.next;
        while attempt.due <= now && attempt.next < attempt.total {
            if attempt.fail_at.is_some_and(|at| attempt.next >= at) {
                attempt.error = Some("internal");
                break;
            }
            attempt.next += 1;
            attempt.due += gap;
        }
        let made = attempt.next - before;
        let over = attempt.next >= attempt.total || attempt.error.is_some();
        if over {
            attempt.phase = Phase::Done;
            attempt.ended = now;
        }
        if made > 0 || over {
            attempt.news.notify_waiters();
        }
        let (next, failed) = (attempt.next, attempt.error.is_some());
        self.log.tokens += made;
        if over {
            self.note(if failed { "error" } else { "end" }, &start, next);
        }
    }

    fn fault(&self, start: &Start, running: usize, now: Instant) -> Fault {
        let age = now - self.born;
        self.faults
            .iter()
            .find(|f| f.applies(age, running, &start.prompt, &start.version))
            .cloned()
            .unwrap_or_default()
    }

    fn sweep(&mut self, now: Instant) {
        let unread = self.opts.unread;
        let expired: Vec<_> = self
            .queued()
            .filter(|a| a.expired(now))
            .map(|a| a.start.attempt.clone())
            .collect();
        for id in expired {
            self.cancel(&id, "expired");
        }
        let stale: Vec<_> = self
            .attempts
            .values()
            .filter(|a| matches!(a.phase, Phase::Queued | Phase::Running))
            .filter(|a| a.readers == 0 && now.saturating_duration_since(a.unread) > unread)
            .map(|a| a.start.attempt.clone())
            .collect();
        for id in stale {
            self.cancel(&id, "unread");
        }
        self.attempts.retain(|_, a| {
            let live = matches!(a.phase, Phase::Queued | Phase::Running);
            live || now.saturating_duration_since(a.ended) < KEEP
        });
    }

    fn read_load(&mut self, now: Instant) {
        let fresh = |(load, _): &(Load, u64)| now - load.at < LOAD_PERIOD;
        if self.loads.back().is_some_and(fresh) {
            return;
        }
        let mut load = self.reading(now);
        if let Some((old, tokens)) = self.loads.front() {
            let time = (now - old.at).as_secs_f64();
            load.tokens_per_s = (self.log.tokens - tokens) as f64 / time.max(0.001);
        }
        self.loads.push_back((load, self.log.tokens));
        let keep = self.opts.lag + Duration::from_secs(1);
        while self.loads.front().is_some_and(|(l, _)| now - l.at > keep) {
            self.loads.pop_front();
        }
    }

    fn reading(&self, now: Instant) -> Load {
        Load {
            running: self.running().count(),
            queued: self.queued().count(),
            slots: self.opts.slots,
            leaving: self.leaving,
            version: self.opts.version.clone(),
            tokens_per_s: 0.0,
            age_ms: 0,
            at: now,
        }
    }

    fn note(&mut self, op: &'static str, start: &Start, index: u64) {
        self.log.entries.push(Entry {
            at_ms: self.born.elapsed().as_millis() as u64,
            op,
            attempt: start.attempt.clone(),
            request: start.request.clone(),
            version: start.version.clone(),
            index,
        });
    }
}
