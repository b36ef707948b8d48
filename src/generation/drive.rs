//! Runs one generation: sends what its aggregate decides and feeds it what happens.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt as _};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::hooks::{Choice, Lease, Observation};
use super::pace::Pace;
use super::run::Run;
use super::state::{Command, Event, Generation, Loss, Outcome};
use super::table::Shared;
use crate::target::engine::{Engine, Line, Position, Refusal, Start, Stream};

/// Longest wait for the head of an attempt's stream.
const OPEN_LIMIT: Duration = Duration::from_millis(600);

/// Longest wait for the answer to a question over a new connection.
const PROBE_LIMIT: Duration = Duration::from_millis(450);

/// How long a cancellation waits for a target that does not answer.
const CANCEL_LIMIT: Duration = Duration::from_secs(60);

/// Tries of a cancellation whose connection broke.
const CANCEL_TRIES: u32 = 3;

/// An attempt at a target.
struct Attempt {
    number: u32,
    name: SmolStr,
    lease: Lease,
    engine: Engine,
    pace: Arc<parking_lot::Mutex<Pace>>,
    began: Instant,
    heard: Option<Instant>,
}

/// What a pending call returned.
enum Answer {
    Stream(Result<Stream, Refusal>),
    Position(Result<Position, Refusal>),
}

enum Next {
    Lines(bool),
    Answer(Answer),
    Tick,
    Stopped,
}

/// Drives one generation to its end.
pub(crate) struct Driver {
    run: Arc<Run>,
    shared: Arc<Shared>,
    state: Generation,
    attempt: Option<Attempt>,
    stream: Option<Stream>,
    call: Option<BoxFuture<'static, Answer>>,
    excluded: Vec<SmolStr>,
    lines: Vec<Line>,
    fresh: Vec<SmolStr>,
}

impl Driver {
    pub(crate) fn new(run: Arc<Run>, shared: Arc<Shared>) -> Self {
        let state = Generation::new(run.len(), run.start.deadline, Instant::now());
        Self {
            run,
            shared,
            state,
            attempt: None,
            stream: None,
            call: None,
            excluded: Vec::new(),
            lines: Vec::new(),
            fresh: Vec::new(),
        }
    }

    /// Runs until the generation has ended or is stopped.
    pub(crate) async fn drive(mut self) {
        while !self.run.ended() {
            match self.wait().await {
                Next::Lines(open) => self.read(open),
                Next::Answer(answer) => self.answered(answer),
                Next::Tick => self.apply(Event::Tick),
                Next::Stopped => return self.stopped(),
            }
        }
    }

    async fn wait(&mut self) -> Next {
        let wake = self.state.wake();
        let stream = &mut self.stream;
        let lines = &mut self.lines;
        let call = &mut self.call;
        let read = async {
            match stream {
                Some(stream) => stream.read(lines).await,
                None => pending().await,
            }
        };
        let answer = async {
            match call {
                Some(call) => call.await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.run.stop.cancelled() => Next::Stopped,
            open = read => Next::Lines(open),
            answer = answer => Next::Answer(answer),
            () = tokio::time::sleep_until(wake) => Next::Tick,
        }
    }

    fn read(&mut self, open: bool) {
        for line in std::mem::take(&mut self.lines) {
            match line {
                Line::Open(_) => self.apply(Event::Opened),
                Line::Token(index, text) => self.apply(Event::Token(index, text)),
                Line::End(reason, total) => self.apply(Event::Ended(reason, total)),
                Line::Failed(reason) => self.apply(Event::Faulted(reason)),
            }
        }
        if !self.fresh.is_empty() {
            self.observe_tokens();
            self.run.publish(&mut self.fresh);
        }
        if !open && self.stream.take().is_some() {
            self.apply(Event::Broken);
        }
    }

    fn answered(&mut self, answer: Answer) {
        self.call = None;
        match answer {
            Answer::Stream(Ok(stream)) => self.stream = Some(stream),
            Answer::Stream(Err(refusal)) => self.apply(Event::Refused(refusal)),
            Answer::Position(Ok(position)) => self.apply(Event::Position(position)),
            Answer::Position(Err(refusal)) => self.apply(Event::NoPosition(refusal)),
        }
    }

    fn apply(&mut self, event: Event) {
        let number = self.attempt.as_ref().map_or(0, |a| a.number);
        for command in self.state.apply(number, event, Instant::now()) {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Deliver(text) => self.fresh.push(text),
            Command::Start(number) => self.start(number),
            Command::Resume => self.resume(),
            Command::Probe => self.probe(),
            Command::Cancel(number) => self.cancel(number),
            Command::Lose(loss) => self.lose(loss),
            Command::Avoid => self.avoid(),
            Command::Finish(outcome) => self.finish(outcome),
        }
    }

    fn start(&mut self, number: u32) {
        self.stream = None;
        self.attempt = None;
        let choice = Choice {
            start: &self.run.start,
            excluded: &self.excluded,
            isolate: false,
            resumes: self.state.next() > 0,
        };
        match (self.shared.hooks.choose)(&choice) {
            Ok(lease) => self.open(number, lease),
            Err(failure) => {
                self.excluded.clear();
                for command in self
                    .state
                    .apply(number, Event::NoTarget(failure), Instant::now())
                {
                    self.execute(command);
                }
            }
        }
    }

    fn open(&mut self, number: u32, lease: Lease) {
        let run = Arc::clone(&self.run);
        let name = SmolStr::from(format!("{}-{}-{number}", run.start.key, run.epoch));
        let engine = Engine::new(self.shared.client.clone(), lease.target.addr);
        let pace = self.shared.pace(&lease.target.name);
        self.state.set_limit(pace.lock().limit());
        self.attempt = Some(Attempt {
            number,
            name: name.clone(),
            lease,
            engine: engine.clone(),
            pace,
            began: Instant::now(),
            heard: None,
        });
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
                priority: run.start.priority,
                deadline_ms: left.as_millis() as u64,
            };
            Answer::Stream(engine.start(&start, OPEN_LIMIT).await)
        };
        self.call = Some(call.boxed());
    }

    fn resume(&mut self) {
        self.stream = None;
        let Some(attempt) = &self.attempt else { return };
        let (engine, name) = (attempt.engine.clone(), attempt.name.clone());
        let from = self.state.next();
        let call = async move { Answer::Stream(engine.resume(&name, from, PROBE_LIMIT).await) };
        self.call = Some(call.boxed());
    }

    fn probe(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let (engine, name) = (attempt.engine.clone(), attempt.name.clone());
        let call = async move { Answer::Position(engine.position(&name, PROBE_LIMIT).await) };
        self.call = Some(call.boxed());
    }

    fn cancel(&mut self, number: u32) {
        match &self.attempt {
            Some(a) if a.number == number => {
                tokio::spawn(cancel(a.engine.clone(), a.name.clone()));
            }
            _ => {}
        }
    }

    fn lose(&mut self, loss: Loss) {
        self.stream = None;
        self.call = None;
        self.observe(Observation::Lost(loss));
        self.exclude();
    }

    fn avoid(&mut self) {
        self.stream = None;
        self.call = None;
        self.observe(Observation::Refused);
        self.exclude();
    }

    fn exclude(&mut self) {
        if let Some(attempt) = &self.attempt {
            self.excluded.push(attempt.lease.target.name.clone());
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        if matches!(outcome, Outcome::Whole(_)) {
            self.observe(Observation::Ended);
        }
        self.run.publish(&mut self.fresh);
        self.run.finish(outcome);
    }

    fn stopped(self) {
        let Some(attempt) = self.attempt else { return };
        tokio::spawn(cancel(attempt.engine, attempt.name));
    }

    fn observe_tokens(&mut self) {
        let now = Instant::now();
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let seen = match attempt.heard.replace(now) {
            Some(heard) => {
                attempt.pace.lock().observe(now - heard);
                Observation::Gap(now - heard)
            }
            None => Observation::FirstToken(now - attempt.began),
        };
        self.state.set_limit(attempt.pace.lock().limit());
        self.observe(seen);
    }

    fn observe(&self, seen: Observation) {
        if let Some(attempt) = &self.attempt {
            (self.shared.hooks.observe)(&self.run.start, &attempt.lease.target, seen);
        }
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
