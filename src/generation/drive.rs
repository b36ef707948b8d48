//! Driver of one generation: executes the commands of its state machine and feeds back results.
//!
//! One task per running generation reads the attempt's stream, sends tokens to the journal replicas
//! and then publishes them to the readers, and ends with the generation or when another instance
//! takes it over.

mod silence;

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::attempt::{Answer, Attempt, Call};
use super::hooks::{Lease, Observation, TargetQuery};
use super::journal::{AttemptLocation, Change};
use super::replicator::ReplicaSet;
use super::run::Run;
use super::state::{Command, Generation, Input, Loss, Outcome};
use super::table::{Shared, quarantined, suspect_key};
use crate::failure::{Certainty, Failure};
use crate::quarantine::{Crash, PartKey, Phase, SuspectStatus};
use crate::target::engine::{Engine, Line, Stream};

/// Gaps of an attempt after which their mean is reported.
const MEAN_GAP_SAMPLES: u32 = 12;

/// Tokens of one attempt after which a suspected request is cleared.
const SUSPECT_CLEAR_TOKENS: u64 = 16;

enum Wakeup {
    Lines(bool),
    Answer(Answer),
    Silence,
    Tick,
    Superseded,
    Abandoned,
}

/// Runs one generation to its end.
pub(crate) struct Driver {
    run: Arc<Run>,
    shared: Arc<Shared>,
    state: Generation,
    key: PartKey,
    suspect: bool,
    attempt: Option<Attempt>,
    stream: Option<Stream>,
    call: Option<Call>,
    /// Target of the next attempt, secured before a silent one was given up.
    successor: Option<Lease>,
    excluded: Vec<SmolStr>,
    lines: Vec<Line>,
    unpublished: Vec<SmolStr>,
    outcome: Option<Outcome>,
    replicas: ReplicaSet,
    last_token: Option<Instant>,
}

impl Driver {
    pub(crate) fn new(run: Arc<Run>, shared: Arc<Shared>) -> Self {
        let (next, deadline, now) = (run.len(), run.request.deadline, Instant::now());
        let state = match run.location() {
            Some(location) => Generation::attached(next, location.number, deadline, now),
            None => Generation::new(next, deadline, now),
        };
        Self {
            key: suspect_key(&run.request),
            suspect: false,
            run,
            shared,
            state,
            attempt: None,
            stream: None,
            call: None,
            successor: None,
            excluded: Vec::new(),
            lines: Vec::new(),
            unpublished: Vec::new(),
            outcome: None,
            replicas: ReplicaSet::default(),
            last_token: None,
        }
    }

    /// Runs until the generation has ended or is stopped.
    pub(crate) async fn drive(mut self) {
        if let Some(location) = self.run.location() {
            self.attach(location);
        }
        self.write(Change::Snapshot(self.run.journal())).await;
        while !self.run.ended() {
            match self.wait().await {
                Wakeup::Lines(open) => self.handle_lines(open),
                Wakeup::Answer(answer) => self.handle_answer(answer),
                Wakeup::Silence => self.handle_silence(),
                Wakeup::Tick => self.apply(Input::Tick),
                Wakeup::Superseded => return,
                Wakeup::Abandoned => self.abandon(),
            }
            self.commit().await;
        }
    }

    async fn wait(&mut self) -> Wakeup {
        let wake = self.state.wake();
        let stream = &mut self.stream;
        let lines = &mut self.lines;
        let call = &mut self.call;
        let limit = call.as_ref().map_or(wake, |c| c.limit);
        let read = async {
            match stream {
                Some(stream) => stream.read(lines).await,
                None => pending().await,
            }
        };
        let answer = async {
            match call {
                Some(call) => (&mut call.answer).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.run.superseded.cancelled() => Wakeup::Superseded,
            () = self.run.abandoned.cancelled() => Wakeup::Abandoned,
            open = read => Wakeup::Lines(open),
            answer = answer => Wakeup::Answer(answer),
            () = tokio::time::sleep_until(limit), if limit < wake => Wakeup::Silence,
            () = tokio::time::sleep_until(wake) => Wakeup::Tick,
        }
    }

    /// Writes new tokens and the outcome to the journal replicas, then publishes them to the
    /// readers.
    async fn commit(&mut self) {
        if !self.unpublished.is_empty() {
            self.observe_tokens();
            let change = Change::Tokens(self.run.len(), self.unpublished.clone());
            self.write(change).await;
            self.run.publish(&mut self.unpublished);
        }
        if let Some(outcome) = self.outcome.take() {
            self.write(match &outcome {
                Outcome::Complete(reason) => Change::Complete(*reason),
                Outcome::Failed(_) => Change::Failed,
            })
            .await;
            self.run.finish(outcome);
        }
    }

    async fn write(&mut self, change: Change) {
        let Some(replicator) = self.shared.replicator.get() else {
            return;
        };
        let run = &self.run;
        let last = change.clone();
        let snapshot = || {
            let mut journal = run.journal();
            match &last {
                Change::Tokens(_, texts) => journal.tokens.extend_from_slice(texts),
                Change::Complete(reason) => journal.finish_reason = Some(*reason),
                _ => {}
            }
            Change::Snapshot(journal)
        };
        replicator
            .write(
                run.request.key,
                run.epoch,
                &mut self.replicas,
                change,
                snapshot,
            )
            .await;
    }

    fn handle_lines(&mut self, open: bool) {
        for line in std::mem::take(&mut self.lines) {
            // A line before it may have ended the attempt or its stream.
            if self.stream.is_none() {
                break;
            }
            match line {
                Line::Open(_) => self.apply(Input::Opened),
                Line::Token(index, text) => self.apply(Input::Token(index, text)),
                Line::End(reason, total) => self.apply(Input::Ended(reason, total)),
                Line::Failed(reason) => self.apply(Input::EngineError(reason)),
            }
        }
        if !open && self.stream.take().is_some() {
            self.apply(Input::Disconnected);
        }
    }

    fn handle_answer(&mut self, answer: Answer) {
        self.call = None;
        match answer {
            Answer::Stream(Ok(stream)) => self.stream = Some(stream),
            Answer::Stream(Err(refusal)) => self.apply(Input::Refused(refusal)),
            Answer::Position(Ok(position)) => self.apply(Input::Position(position)),
            Answer::Position(Err(refusal)) => self.apply(Input::NoPosition(refusal)),
        }
    }

    fn apply(&mut self, input: Input) {
        let number = self.attempt.as_ref().map_or(0, |a| a.number);
        let commands = self.state.apply(number, input, Instant::now());
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Deliver(text) => self.unpublished.push(text),
                Command::Start(number) => self.start(number),
                Command::Resume => self.resume(),
                Command::Probe => self.probe(),
                Command::Cancel(number) => self.cancel(number),
                Command::ReportLost(loss) => self.handle_loss(loss),
                Command::ReportRefused => self.drop_attempt(Observation::Refused),
                Command::ReportError => self.drop_attempt(Observation::EngineError),
                Command::Finish(outcome) => self.finish(outcome),
            }
        }
    }

    fn fail(&mut self, failure: Failure) {
        let commands = self.state.fail(failure);
        self.execute(commands);
    }

    fn start(&mut self, number: u32) {
        self.stream = None;
        self.call = None;
        self.attempt = None;
        if let Some(failure) = self.attempt_blocker(number) {
            return self.fail(failure);
        }
        let secured = self.successor.take();
        match secured.map_or_else(|| self.choose(), Ok) {
            Ok(lease) => self.open(number, lease),
            Err(failure) => {
                self.excluded.clear();
                let input = Input::NoTarget(failure);
                let commands = self.state.apply(number, input, Instant::now());
                self.execute(commands);
            }
        }
    }

    /// Returns the failure that prevents another attempt, if any.
    fn attempt_blocker(&mut self, number: u32) -> Option<Failure> {
        let status = self
            .shared
            .suspects
            .lock()
            .status(&[self.key], Instant::now().into_std());
        self.suspect = status != SuspectStatus::Clear;
        let request = &self.run.request;
        let again = number > 1 && self.state.next() == 0 && self.successor.is_none();
        match status {
            SuspectStatus::Quarantined(left) => Some(self.with_certainty(quarantined(left))),
            _ if self.state.next() < self.run.floor() => Some(Failure::failed(
                410,
                "cannot_continue",
                "tokens that the caller already has are no longer known",
            )),
            _ if again && !(self.shared.hooks.retry)(request) => {
                let text = "the attempt failed and the retry budget is exhausted";
                let failure = Failure::not_run(503, "retry_budget", text);
                Some(self.with_certainty(failure.retry_after(Duration::from_secs(1))))
            }
            _ => None,
        }
    }

    /// Marks the failure as "ran and failed" if some attempt ran.
    fn with_certainty(&self, mut failure: Failure) -> Failure {
        if self.state.ran() {
            failure.outcome = Certainty::Failed;
        }
        failure
    }

    fn choose(&self) -> Result<Lease, Failure> {
        let now = Instant::now();
        let reserved = self
            .shared
            .suspects
            .lock()
            .reserved(self.key, now.into_std());
        let mut excluded = self.excluded.clone();
        excluded.extend(reserved);
        let ask = |excluded: &[SmolStr]| {
            (self.shared.hooks.choose)(&TargetQuery {
                request: &self.run.request,
                excluded,
                isolate: self.suspect,
                resumes: self.state.next() > 0,
            })
        };
        let lease = match ask(&excluded) {
            Err(_) if excluded.len() > self.excluded.len() => ask(&self.excluded),
            chosen => chosen,
        }?;
        if self.suspect {
            let mut suspects = self.shared.suspects.lock();
            suspects.isolate(self.key, &lease.target.name, now.into_std());
        }
        Ok(lease)
    }

    fn open(&mut self, number: u32, lease: Lease) {
        let run = Arc::clone(&self.run);
        let name = SmolStr::from(format!("{}-{:x}-{number}", run.request.key, run.epoch));
        let location = AttemptLocation {
            number,
            attempt: name,
            target: lease.target.name.clone(),
            addr: lease.target.addr,
        };
        run.set_location(location.clone());
        if let Some(replicator) = self.shared.replicator.get() {
            let snapshot = || Change::Snapshot(run.journal());
            let change = Change::Attempt(location.clone());
            replicator.enqueue(
                run.request.key,
                run.epoch,
                &mut self.replicas,
                change,
                snapshot,
            );
        }
        let attempt = self.track_attempt(location, Some(lease));
        self.call = Some(attempt.start(run));
    }

    /// Continues to read the attempt that an earlier owner started.
    fn attach(&mut self, location: AttemptLocation) {
        self.track_attempt(location, None);
        self.resume();
    }

    fn track_attempt(&mut self, location: AttemptLocation, lease: Option<Lease>) -> &Attempt {
        let engine = Engine::new(self.shared.client.clone(), location.addr);
        let estimator = self.shared.estimator(&location.target);
        self.state.set_silence_timeout(estimator.lock().timeout());
        self.attempt
            .insert(Attempt::new(location, lease, engine, estimator))
    }

    fn resume(&mut self) {
        self.stream = None;
        let from = self.state.next();
        let left = self.left();
        self.call = self.attempt.as_ref().map(|a| a.resume(from, left));
    }

    fn probe(&mut self) {
        if self.state.progress() > 0 {
            self.observe(Observation::Suspected);
        }
        let left = self.left();
        self.call = self.attempt.as_ref().map(|a| a.probe(left));
    }

    fn cancel(&self, number: u32) {
        let attempt = self.attempt.as_ref().filter(|a| a.number == number);
        if let Some(attempt) = attempt {
            attempt.cancel();
        }
    }

    fn handle_loss(&mut self, loss: Loss) {
        self.drop_attempt(Observation::Lost(loss));
        let Some(attempt) = self.attempt.as_ref().filter(|_| loss == Loss::Crashed) else {
            return;
        };
        let phase = match self.state.progress() {
            0 => Phase::Began,
            _ => Phase::Running,
        };
        let crash = Crash {
            target: attempt.target.name.clone(),
            phase,
            parts: vec![self.key],
        };
        self.suspect = true;
        if let SuspectStatus::Quarantined(left) = self.shared.report_crash(crash) {
            let failure = self.with_certainty(quarantined(left));
            self.fail(failure);
        }
    }

    fn drop_attempt(&mut self, observation: Observation) {
        self.stream = None;
        self.call = None;
        self.observe(observation);
        if let Some(attempt) = &self.attempt {
            self.excluded.push(attempt.target.name.clone());
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        if matches!(outcome, Outcome::Complete(_)) {
            let lasted = self.run.begun.map(|b| Observation::Lasted(b.elapsed()));
            let seen = [Some(Observation::Completed), lasted];
            seen.into_iter().flatten().for_each(|s| self.observe(s));
        }
        self.outcome = Some(outcome);
    }

    /// Ends a generation that has no reader and frees its slot.
    fn abandon(&mut self) {
        self.cancel(self.state.attempt());
        let failure = Failure::failed(
            499,
            "abandoned",
            "the generation had no reader for too long",
        );
        self.fail(failure);
    }

    fn observe_tokens(&mut self) {
        let now = Instant::now();
        if self.suspect && self.state.progress() >= SUSPECT_CLEAR_TOKENS {
            self.suspect = false;
            let mut suspects = self.shared.suspects.lock();
            suspects.clear(&[self.key], now.into_std());
        }
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let observation = match attempt.last_token.replace(now) {
            Some(last_token) => {
                attempt.estimator.lock().observe(now - last_token, now);
                attempt.gaps.0 += 1;
                attempt.gaps.1 += now - last_token;
                match attempt.gaps {
                    (MEAN_GAP_SAMPLES, sum) => Observation::MeanGap(sum / MEAN_GAP_SAMPLES),
                    _ => Observation::Gap(now - last_token),
                }
            }
            None => Observation::FirstToken(now - attempt.started),
        };
        self.state
            .set_silence_timeout(attempt.estimator.lock().timeout());
        if let (Some(last_token), Observation::FirstToken(_)) =
            (self.last_token.replace(now), observation)
        {
            self.observe(Observation::Resumed(now - last_token));
        }
        self.observe(observation);
    }

    fn observe(&self, observation: Observation) {
        count(observation);
        if let Some(attempt) = &self.attempt {
            (self.shared.hooks.observe)(&self.run.request, &attempt.target, observation);
        }
    }
}

fn count(observation: Observation) {
    match observation {
        Observation::Suspected => {
            metrics::counter!("endivefork_generation_suspicions_total").increment(1);
        }
        Observation::Lost(loss) => {
            metrics::counter!("endivefork_generation_losses_total", "loss" => loss.as_str())
                .increment(1);
        }
        _ => {}
    }
}
