//! Runs one generation: sends what its aggregate decides and feeds it what happens.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::attempt::{Answer, Attempt};
use super::hooks::{Choice, Lease, Observation};
use super::journal::{Change, Place};
use super::run::Run;
use super::state::{Command, Event, Generation, Loss, Outcome};
use super::suspect::{Crash, Verdict};
use super::table::{Shared, quarantined, suspect_digest};
use super::writer::Placement;
use crate::failure::{Certainty, Failure};
use crate::target::engine::{Engine, Line, Stream};

/// Gaps of one attempt whose mean is its pace.
const PACE_GAPS: u32 = 12;

/// Tokens of one attempt that clear a suspect.
const CLEARING: u64 = 16;

enum Next {
    Lines(bool),
    Answer(Answer),
    Tick,
    Taken,
    Orphaned,
}

/// Drives one generation to its end.
pub(crate) struct Driver {
    run: Arc<Run>,
    shared: Arc<Shared>,
    state: Generation,
    digest: u128,
    suspect: bool,
    attempt: Option<Attempt>,
    stream: Option<Stream>,
    call: Option<BoxFuture<'static, Answer>>,
    excluded: Vec<SmolStr>,
    lines: Vec<Line>,
    fresh: Vec<SmolStr>,
    outcome: Option<Outcome>,
    placement: Placement,
    heard: Option<Instant>,
}

impl Driver {
    pub(crate) fn new(run: Arc<Run>, shared: Arc<Shared>) -> Self {
        let (next, deadline, now) = (run.len(), run.start.deadline, Instant::now());
        let state = match run.place() {
            Some(place) => Generation::attached(next, place.number, deadline, now),
            None => Generation::new(next, deadline, now),
        };
        Self {
            digest: suspect_digest(&run.start),
            suspect: false,
            run,
            shared,
            state,
            attempt: None,
            stream: None,
            call: None,
            excluded: Vec::new(),
            lines: Vec::new(),
            fresh: Vec::new(),
            outcome: None,
            placement: Placement::default(),
            heard: None,
        }
    }

    /// Runs until the generation has ended or is stopped.
    pub(crate) async fn drive(mut self) {
        if let Some(place) = self.run.place() {
            self.attach(place);
        }
        self.write(Change::Snapshot(self.run.journal())).await;
        while !self.run.ended() {
            match self.wait().await {
                Next::Lines(open) => self.read(open),
                Next::Answer(answer) => self.answered(answer),
                Next::Tick => self.apply(Event::Tick),
                Next::Taken => return,
                Next::Orphaned => self.abandon(),
            }
            self.commit().await;
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
            () = self.run.taken.cancelled() => Next::Taken,
            () = self.run.orphaned.cancelled() => Next::Orphaned,
            open = read => Next::Lines(open),
            answer = answer => Next::Answer(answer),
            () = tokio::time::sleep_until(wake) => Next::Tick,
        }
    }

    /// Makes what was decided known: first to the replicas, then to the readers.
    async fn commit(&mut self) {
        if !self.fresh.is_empty() {
            self.observe_tokens();
            let change = Change::Tokens(self.run.len(), self.fresh.clone());
            self.write(change).await;
            self.run.publish(&mut self.fresh);
        }
        if let Some(outcome) = self.outcome.take() {
            self.write(match &outcome {
                Outcome::Whole(reason) => Change::Whole(*reason),
                Outcome::Failed(_) => Change::Failed,
            })
            .await;
            self.run.finish(outcome);
        }
    }

    async fn write(&mut self, change: Change) {
        let Some(net) = self.shared.net.get() else {
            return;
        };
        let run = &self.run;
        let last = change.clone();
        let snapshot = || {
            let mut journal = run.journal();
            match &last {
                Change::Tokens(_, texts) => journal.tokens.extend_from_slice(texts),
                Change::Whole(reason) => journal.whole = Some(*reason),
                _ => {}
            }
            Change::Snapshot(journal)
        };
        net.write(
            run.start.key,
            run.epoch,
            &mut self.placement,
            change,
            snapshot,
        )
        .await;
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
        let commands = self.state.apply(number, event, Instant::now());
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Deliver(text) => self.fresh.push(text),
                Command::Start(number) => self.start(number),
                Command::Resume => self.resume(),
                Command::Probe => self.probe(),
                Command::Cancel(number) => self.cancel(number),
                Command::Lose(loss) => self.lose(loss),
                Command::Avoid => self.leave(Observation::Refused),
                Command::Fault => self.leave(Observation::Faulted),
                Command::Finish(outcome) => self.finish(outcome),
            }
        }
    }

    fn give_up(&mut self, failure: Failure) {
        let commands = self.state.give_up(failure);
        self.execute(commands);
    }

    fn start(&mut self, number: u32) {
        self.stream = None;
        self.call = None;
        self.attempt = None;
        if let Some(failure) = self.obstacle(number) {
            return self.give_up(failure);
        }
        match self.choose() {
            Ok(lease) => self.open(number, lease),
            Err(failure) => {
                self.excluded.clear();
                let event = Event::NoTarget(failure);
                let commands = self.state.apply(number, event, Instant::now());
                self.execute(commands);
            }
        }
    }

    /// Why no further attempt may be made.
    fn obstacle(&mut self, number: u32) -> Option<Failure> {
        let verdict = self
            .shared
            .suspects
            .lock()
            .verdict(self.digest, Instant::now());
        self.suspect = verdict != Verdict::Clear;
        let start = &self.run.start;
        let again = number > 1 && self.state.next() == 0;
        match verdict {
            Verdict::Quarantined(left) => Some(self.certain(quarantined(left))),
            _ if self.state.next() < self.run.floor() => Some(Failure::failed(
                410,
                "cannot_continue",
                "tokens that the caller has were lost",
            )),
            _ if again && !(self.shared.hooks.retry)(start) => {
                let text = "its attempt failed and the retry budget is used up";
                let failure = Failure::not_run(503, "retry_budget", text);
                Some(self.certain(failure.retry_after(Duration::from_secs(1))))
            }
            _ => None,
        }
    }

    /// Says that it ran, if it did.
    fn certain(&self, mut failure: Failure) -> Failure {
        if self.state.ran() {
            failure.outcome = Certainty::Failed;
        }
        failure
    }

    fn choose(&self) -> Result<Lease, Failure> {
        let now = Instant::now();
        let reserved = self.shared.suspects.lock().reserved(self.digest, now);
        let mut excluded = self.excluded.clone();
        excluded.extend(reserved);
        let ask = |excluded: &[SmolStr]| {
            (self.shared.hooks.choose)(&Choice {
                start: &self.run.start,
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
            suspects.isolate(self.digest, &lease.target.name, now);
        }
        Ok(lease)
    }

    fn open(&mut self, number: u32, lease: Lease) {
        let run = Arc::clone(&self.run);
        let name = SmolStr::from(format!("{}-{:x}-{number}", run.start.key, run.epoch));
        let place = Place {
            number,
            attempt: name,
            target: lease.target.name.clone(),
            addr: lease.target.addr,
        };
        run.set_place(place.clone());
        if let Some(net) = self.shared.net.get() {
            let snapshot = || Change::Snapshot(run.journal());
            let change = Change::Place(place.clone());
            net.post(
                run.start.key,
                run.epoch,
                &mut self.placement,
                change,
                snapshot,
            );
        }
        let attempt = self.attend(place, Some(lease));
        self.call = Some(attempt.start(run));
    }

    /// Reads on where an earlier owner's attempt runs.
    fn attach(&mut self, place: Place) {
        self.attend(place, None);
        self.resume();
    }

    fn attend(&mut self, place: Place, lease: Option<Lease>) -> &Attempt {
        let engine = Engine::new(self.shared.client.clone(), place.addr);
        let pace = self.shared.pace(&place.target);
        self.state.set_limit(pace.lock().limit());
        self.attempt
            .insert(Attempt::new(place, lease, engine, pace))
    }

    fn resume(&mut self) {
        self.stream = None;
        let from = self.state.next();
        self.call = self.attempt.as_ref().map(|a| a.resume(from));
    }

    fn probe(&mut self) {
        if self.state.progress() > 0 {
            self.observe(Observation::Suspected);
        }
        self.call = self.attempt.as_ref().map(Attempt::probe);
    }

    fn cancel(&self, number: u32) {
        let attempt = self.attempt.as_ref().filter(|a| a.number == number);
        if let Some(attempt) = attempt {
            attempt.cancel();
        }
    }

    fn lose(&mut self, loss: Loss) {
        self.leave(Observation::Lost(loss));
        let Some(attempt) = self.attempt.as_ref().filter(|_| loss == Loss::Crashed) else {
            return;
        };
        let crash = Crash {
            digest: self.digest,
            target: attempt.target.name.clone(),
            strong: self.state.progress() == 0,
        };
        self.suspect = true;
        if let Verdict::Quarantined(left) = self.shared.crash(crash) {
            let failure = self.certain(quarantined(left));
            self.give_up(failure);
        }
    }

    fn leave(&mut self, seen: Observation) {
        self.stream = None;
        self.call = None;
        self.observe(seen);
        if let Some(attempt) = &self.attempt {
            self.excluded.push(attempt.target.name.clone());
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        if matches!(outcome, Outcome::Whole(_)) {
            self.observe(Observation::Ended);
        }
        self.outcome = Some(outcome);
    }

    /// Nobody reads it: gives it up and frees its slot.
    fn abandon(&mut self) {
        self.cancel(self.state.attempt());
        let failure = Failure::failed(499, "abandoned", "no caller has read it for too long");
        self.give_up(failure);
    }

    fn observe_tokens(&mut self) {
        let now = Instant::now();
        if self.suspect && self.state.progress() >= CLEARING {
            self.suspect = false;
            self.shared.suspects.lock().clear(self.digest);
        }
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let seen = match attempt.heard.replace(now) {
            Some(heard) => {
                attempt.pace.lock().observe(now - heard, now);
                attempt.gaps.0 += 1;
                attempt.gaps.1 += now - heard;
                match attempt.gaps {
                    (PACE_GAPS, sum) => Observation::Pace(sum / PACE_GAPS),
                    _ => Observation::Gap(now - heard),
                }
            }
            None => Observation::FirstToken(now - attempt.began),
        };
        self.state.set_limit(attempt.pace.lock().limit());
        if let (Some(heard), Observation::FirstToken(_)) = (self.heard.replace(now), seen) {
            self.observe(Observation::Resumed(now - heard));
        }
        self.observe(seen);
    }

    fn observe(&self, seen: Observation) {
        count(seen);
        if let Some(attempt) = &self.attempt {
            (self.shared.hooks.observe)(&self.run.start, &attempt.target, seen);
        }
    }
}

fn count(seen: Observation) {
    match seen {
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
