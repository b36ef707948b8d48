//! The decisions of one generation: which attempt counts, which token is delivered, when a target
//! is suspected and where the generation goes on.

use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::failure::Failure;
use crate::target::engine::{Phase as EnginePhase, Position, Reason, Refusal};

/// An attempt that answers but makes no token for this long is given up.
const STALL: Duration = Duration::from_secs(3);

/// Time between two questions to a target that has not begun to generate.
const QUEUE_PROBE: Duration = Duration::from_secs(1);

/// Most targets lost in one generation.
const MAX_LOSSES: u32 = 8;

/// Most attempts that engines ended with an error.
const MAX_FAULTS: u32 = 3;

/// Most refusals before a generation without tokens is given up.
const MAX_REFUSALS: u32 = 4;

/// How long a generation that has tokens waits for a target.
const PATIENCE: Duration = Duration::from_secs(8);

/// Wait before a target is looked for again.
const CHOOSE_AGAIN: Duration = Duration::from_millis(50);

/// Wait before a request that may have crashed its target is tried again, so that peers hear of
/// it first.
const SUSPECT_WAIT: Duration = Duration::from_millis(60);

/// How a target was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It refuses connections after it had the attempt, or has forgotten the attempt.
    Crashed,
    /// It refused the connection before it got the attempt.
    Unsent,
    /// It does not answer.
    Silent,
    /// It answers but makes no tokens.
    Stalled,
    /// It leaves and takes no new work.
    Leaving,
}

impl Loss {
    /// Its name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Unsent => "unsent",
            Self::Silent => "silent",
            Self::Stalled => "stalled",
            Self::Leaving => "leaving",
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The stream of an attempt is open.
    Opened,
    /// A token came.
    Token(u64, SmolStr),
    /// The attempt ended.
    Ended(Reason, u64),
    /// The engine ended the attempt with an error.
    Faulted(SmolStr),
    /// The stream broke.
    Broken,
    /// The stream could not be opened or resumed.
    Refused(Refusal),
    /// The attempt's position is known.
    Position(Position),
    /// The attempt's position could not be learnt.
    NoPosition(Refusal),
    /// No target could be chosen.
    NoTarget(Failure),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Choose a target and start this attempt there.
    Start(u32),
    /// Read the attempt's stream from the next index over a new connection.
    Resume,
    /// Ask the attempt's position over a new connection.
    Probe,
    /// Cancel the attempt.
    Cancel(u32),
    /// The token is the next one.
    Deliver(SmolStr),
    /// The attempt's target is lost.
    Lose(Loss),
    /// The target refused the attempt.
    Avoid,
    /// The target ended the attempt with an error.
    Fault,
    /// The generation is over.
    Finish(Outcome),
}

/// How a generation ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Whole.
    Whole(Reason),
    /// Given up.
    Failed(Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A target is to be chosen at this time.
    Choosing(Instant),
    /// The start has been sent.
    Opening,
    /// The stream is open.
    Streaming,
    /// The position has been asked; the stream is still read.
    Probing,
    /// The stream is being opened again.
    Resuming,
    /// Over.
    Ended,
}

/// One generation's decisions.
#[derive(Debug)]
pub struct Generation {
    attempt: u32,
    phase: Phase,
    next: u64,
    progress: u64,
    heard: Instant,
    asked: Instant,
    limit: Duration,
    deadline: Instant,
    losses: u32,
    faults: u32,
    refusals: u32,
    broken: u32,
    suspicions: u32,
    /// The connection broke before it was known whether the target has the attempt.
    unsure: bool,
}

impl Generation {
    /// A generation that has `next` tokens and no attempt.
    #[must_use]
    pub fn new(next: u64, deadline: Instant, now: Instant) -> Self {
        Self {
            attempt: 0,
            phase: Phase::Choosing(now),
            next,
            progress: 0,
            heard: now,
            asked: now,
            limit: QUEUE_PROBE,
            deadline,
            losses: 0,
            faults: 0,
            refusals: 0,
            broken: 0,
            suspicions: 0,
            unsure: false,
        }
    }

    /// A generation whose attempt runs at a target and is to be read again.
    #[must_use]
    pub fn attached(next: u64, attempt: u32, deadline: Instant, now: Instant) -> Self {
        Self {
            attempt,
            phase: Phase::Resuming,
            // The earlier owner may have died before its start arrived.
            unsure: true,
            ..Self::new(next, deadline, now)
        }
    }

    /// Index of the next token.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of the attempt that counts.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Tokens that the attempt has made.
    #[must_use]
    pub fn progress(&self) -> u64 {
        self.progress
    }

    /// Whether some attempt ran at a target, or may have.
    #[must_use]
    pub fn ran(&self) -> bool {
        self.next > 0 || self.losses > 0 || self.faults > 0
    }

    /// Targets lost.
    #[must_use]
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// Times that silence was suspect.
    #[must_use]
    pub fn suspicions(&self) -> u32 {
        self.suspicions
    }

    /// Sets the longest silence of the attempt's target.
    pub fn set_limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    /// When [`Event::Tick`] is due.
    #[must_use]
    pub fn wake(&self) -> Instant {
        let due = match self.phase {
            Phase::Choosing(at) => at,
            Phase::Streaming => self.heard.max(self.asked) + self.patience(),
            Phase::Opening | Phase::Probing | Phase::Resuming | Phase::Ended => self.deadline,
        };
        due.min(self.deadline)
    }

    /// Applies an event of attempt `attempt`.
    pub fn apply(&mut self, attempt: u32, event: Event, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            _ if self.phase == Phase::Ended => {}
            Event::Tick => self.tick(now, &mut out),
            _ if attempt != self.attempt => out.push(Command::Cancel(attempt)),
            Event::Opened => self.opened(now),
            Event::Token(index, text) => self.token(index, text, now, &mut out),
            Event::Ended(reason, total) => self.ended(reason, total, now, &mut out),
            Event::Faulted(reason) => self.faulted(&reason, now, &mut out),
            Event::Broken => self.broken(now, &mut out),
            Event::Refused(refusal) => self.refused(&refusal, now, &mut out),
            Event::Position(position) if self.phase == Phase::Probing => {
                self.positioned(position, now, &mut out);
            }
            Event::NoPosition(refusal) if self.phase == Phase::Probing => {
                self.lose(loss(&refusal), now, &mut out);
            }
            Event::Position(_) | Event::NoPosition(_) => {}
            Event::NoTarget(failure) => self.no_target(failure, now, &mut out),
        }
        out
    }

    /// Ends the generation with a failure decided outside.
    pub fn give_up(&mut self, failure: Failure) -> Vec<Command> {
        let mut out = Vec::new();
        if self.phase != Phase::Ended {
            self.finish(Outcome::Failed(failure), &mut out);
        }
        out
    }

    fn patience(&self) -> Duration {
        match self.progress {
            0 => QUEUE_PROBE,
            _ => self.limit,
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Command>) {
        match self.phase {
            _ if now >= self.deadline => {
                out.push(Command::Cancel(self.attempt));
                let failure = Failure::failed(504, "deadline_exceeded", "the deadline has passed");
                self.finish(Outcome::Failed(failure), out);
            }
            Phase::Choosing(at) if now >= at => {
                self.attempt += 1;
                self.progress = 0;
                self.unsure = false;
                self.phase = Phase::Opening;
                out.push(Command::Start(self.attempt));
            }
            Phase::Streaming if now >= self.wake() => {
                self.phase = Phase::Probing;
                self.suspicions += u32::from(self.progress > 0);
                out.push(Command::Probe);
            }
            _ => {}
        }
    }

    fn opened(&mut self, now: Instant) {
        self.unsure = false;
        if matches!(self.phase, Phase::Opening | Phase::Resuming) {
            self.phase = Phase::Streaming;
            self.asked = now;
        }
        if self.progress == 0 {
            self.heard = now;
        }
    }

    fn token(&mut self, index: u64, text: SmolStr, now: Instant, out: &mut Vec<Command>) {
        if index > self.next {
            return self.broken(now, out);
        }
        if index < self.next || self.phase == Phase::Resuming {
            return;
        }
        self.next += 1;
        self.progress += 1;
        self.broken = 0;
        self.heard = now;
        self.phase = Phase::Streaming;
        out.push(Command::Deliver(text));
    }

    fn ended(&mut self, reason: Reason, total: u64, now: Instant, out: &mut Vec<Command>) {
        match total {
            _ if total == self.next => self.finish(Outcome::Whole(reason), out),
            _ if total > self.next => self.broken(now, out),
            _ => self.faulted("ended before the delivered tokens", now, out),
        }
    }

    fn faulted(&mut self, reason: &str, now: Instant, out: &mut Vec<Command>) {
        self.faults += 1;
        out.push(Command::Fault);
        if self.faults >= MAX_FAULTS {
            let message = format!("the engine ended the attempt: {reason}");
            let failure = Failure::failed(502, "engine_failed", message);
            return self.finish(Outcome::Failed(failure), out);
        }
        self.phase = Phase::Choosing(now);
    }

    fn broken(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.broken += 1;
        if self.broken > 1 {
            return self.lose(Loss::Crashed, now, out);
        }
        self.phase = Phase::Resuming;
        out.push(Command::Resume);
    }

    fn refused(&mut self, refusal: &Refusal, now: Instant, out: &mut Vec<Command>) {
        match (refusal, self.phase) {
            (Refusal::NotRun(reason), Phase::Opening) if reason == "leaving" => {
                out.push(Command::Lose(Loss::Leaving));
                self.not_run(now, out);
            }
            (Refusal::NotRun(_) | Refusal::Status(_), Phase::Opening) => {
                out.push(Command::Avoid);
                self.not_run(now, out);
            }
            (Refusal::Unsent, Phase::Opening) => self.lose(Loss::Unsent, now, out),
            (Refusal::Lost, Phase::Opening) => {
                self.unsure = true;
                self.resume(out);
            }
            (Refusal::Unknown, Phase::Resuming) if self.unsure => self.not_run(now, out),
            _ => self.lose(loss(refusal), now, out),
        }
    }

    /// The attempt did not run: another is made, unless too many were refused.
    fn not_run(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.refusals += 1;
        self.phase = Phase::Choosing(now);
        if self.next == 0 && self.refusals >= MAX_REFUSALS {
            let failure = Failure::not_run(503, "targets_busy", "no target admits it");
            let failure = failure.retry_after(Duration::from_secs(1));
            self.finish(Outcome::Failed(failure), out);
        }
    }

    fn positioned(&mut self, position: Position, now: Instant, out: &mut Vec<Command>) {
        let quiet = now - self.heard;
        match position.state {
            EnginePhase::Cancelled => self.faulted("cancelled", now, out),
            EnginePhase::Done => self.resume(out),
            _ if position.next > self.next => self.resume(out),
            EnginePhase::Running if self.progress > 0 && quiet >= STALL => {
                self.lose(Loss::Stalled, now, out);
            }
            _ => {
                self.asked = now;
                self.phase = Phase::Streaming;
            }
        }
    }

    fn resume(&mut self, out: &mut Vec<Command>) {
        self.phase = Phase::Resuming;
        out.push(Command::Resume);
    }

    fn lose(&mut self, loss: Loss, now: Instant, out: &mut Vec<Command>) {
        self.losses += 1;
        self.broken = 0;
        out.push(Command::Lose(loss));
        out.push(Command::Cancel(self.attempt));
        let suspect = loss == Loss::Crashed && self.next == 0;
        let wait = if suspect {
            SUSPECT_WAIT
        } else {
            Duration::ZERO
        };
        self.phase = Phase::Choosing(now + wait);
        if self.losses >= MAX_LOSSES {
            let failure = Failure::failed(502, "targets_lost", "too many targets were lost");
            self.finish(Outcome::Failed(failure), out);
        }
    }

    fn no_target(&mut self, failure: Failure, now: Instant, out: &mut Vec<Command>) {
        if self.next > 0 && now - self.heard < PATIENCE {
            self.phase = Phase::Choosing(now + CHOOSE_AGAIN);
            return;
        }
        let failure = match self.next {
            0 => failure,
            _ => Failure::failed(502, "no_target", "no target can go on with it"),
        };
        self.finish(Outcome::Failed(failure), out);
    }

    fn finish(&mut self, outcome: Outcome, out: &mut Vec<Command>) {
        self.phase = Phase::Ended;
        out.push(Command::Finish(outcome));
    }
}

fn loss(refusal: &Refusal) -> Loss {
    match refusal {
        Refusal::Silent => Loss::Silent,
        _ => Loss::Crashed,
    }
}
