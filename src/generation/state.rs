//! State machine of one generation: which attempt is current, which tokens are delivered, when a
//! target is suspected and when the generation resumes on another one.
//!
//! It does no I/O: the driver feeds it inputs with their time and executes the commands it returns.

use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::failure::Failure;
use crate::target::engine::{Phase as EnginePhase, Position, Reason, Refusal};

/// Time without a token after which a running attempt counts as lost although its target answers.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of probes while an attempt has no token yet.
const QUEUE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum targets lost in one generation.
const MAX_LOSSES: u32 = 8;

/// Maximum attempts that engines end with an error.
const MAX_ENGINE_ERRORS: u32 = 3;

/// Refusals after which a generation without tokens fails.
const MAX_REFUSALS: u32 = 4;

/// Maximum wait of a generation with tokens for an available target.
const NO_TARGET_TIMEOUT: Duration = Duration::from_secs(8);

/// Wait before the next choice of a target when none was available.
const CHOOSE_BACKOFF: Duration = Duration::from_millis(50);

/// Wait before the next attempt of a request that may have crashed its target, so that peers are
/// notified of the crash first.
const SUSPECT_BACKOFF: Duration = Duration::from_millis(60);

/// Why a target counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It refuses connections after it received the attempt, or no longer knows the attempt.
    Crashed,
    /// It refused the connection before it received the attempt.
    Unsent,
    /// It does not answer.
    Silent,
    /// It answers but generates no tokens.
    Stalled,
    /// It is draining and takes no new work.
    Leaving,
}

impl Loss {
    /// Label value in metrics.
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

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The attempt's stream is open.
    Opened,
    /// A token with its index.
    Token(u64, SmolStr),
    /// The attempt ended after a total number of tokens.
    Ended(Reason, u64),
    /// The engine ended the attempt with an error.
    EngineError(SmolStr),
    /// The stream's connection broke.
    Disconnected,
    /// The stream could not be opened or resumed.
    Refused(Refusal),
    /// A probe returned the attempt's position.
    Position(Position),
    /// A probe failed.
    NoPosition(Refusal),
    /// No target could be chosen.
    NoTarget(Failure),
    /// The time from [`Generation::wake`] has come.
    Tick,
}

/// Command to the driver.
#[derive(Clone, Debug)]
pub enum Command {
    /// Choose a target and start an attempt of this number.
    Start(u32),
    /// Read the attempt's stream from the next index over a new connection.
    Resume,
    /// Request the attempt's position over a new connection.
    Probe,
    /// Cancel the attempt.
    Cancel(u32),
    /// Deliver the next token.
    Deliver(SmolStr),
    /// Report the attempt's target as lost.
    ReportLost(Loss),
    /// Report that the target refused the attempt.
    ReportRefused,
    /// Report that the engine ended the attempt with an error.
    ReportError,
    /// End the generation.
    Finish(Outcome),
}

/// Result of a generation.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// All tokens were generated.
    Complete(Reason),
    /// The generation ended with a failure.
    Failed(Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits until this time to choose a target.
    Choosing(Instant),
    /// The start has been sent.
    Opening,
    /// The stream is open.
    Streaming,
    /// The position has been requested; the stream is still read.
    Probing,
    /// The stream is being reopened.
    Resuming,
    /// The generation has ended.
    Ended,
}

/// State of one generation.
#[derive(Debug)]
pub struct Generation {
    attempt: u32,
    phase: Phase,
    next: u64,
    progress: u64,
    last_activity: Instant,
    last_probe: Instant,
    silence_timeout: Duration,
    deadline: Instant,
    losses: u32,
    silences: u32,
    engine_errors: u32,
    refusals: u32,
    disconnects: u32,
    suspicions: u32,
    /// The connection broke before the target confirmed the attempt's start.
    unconfirmed: bool,
}

impl Generation {
    /// Creates a generation with `next` tokens and no attempt.
    #[must_use]
    pub fn new(next: u64, deadline: Instant, now: Instant) -> Self {
        Self {
            attempt: 0,
            phase: Phase::Choosing(now),
            next,
            progress: 0,
            last_activity: now,
            last_probe: now,
            silence_timeout: QUEUE_PROBE_INTERVAL,
            deadline,
            losses: 0,
            silences: 0,
            engine_errors: 0,
            refusals: 0,
            disconnects: 0,
            suspicions: 0,
            unconfirmed: false,
        }
    }

    /// Creates a generation taken over from another owner, whose attempt may still run on a target.
    #[must_use]
    pub fn attached(next: u64, attempt: u32, deadline: Instant, now: Instant) -> Self {
        Self {
            attempt,
            phase: Phase::Resuming,
            // The previous owner may have been lost before its start request arrived.
            unconfirmed: true,
            ..Self::new(next, deadline, now)
        }
    }

    /// Index of the next token.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of the current attempt.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Number of tokens generated by the current attempt.
    #[must_use]
    pub fn progress(&self) -> u64 {
        self.progress
    }

    /// Whether an attempt ran on a target or may have run.
    #[must_use]
    pub fn ran(&self) -> bool {
        self.next > 0 || self.losses > 0 || self.engine_errors > 0
    }

    /// Number of targets lost.
    #[must_use]
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// Number of times that the target was suspected after tokens.
    #[must_use]
    pub fn suspicions(&self) -> u32 {
        self.suspicions
    }

    /// Sets the silence timeout of the attempt's target.
    pub fn set_silence_timeout(&mut self, silence_timeout: Duration) {
        self.silence_timeout = silence_timeout;
    }

    /// When [`Input::Tick`] is due.
    #[must_use]
    pub fn wake(&self) -> Instant {
        let due = match self.phase {
            Phase::Choosing(at) => at,
            Phase::Streaming => self.last_activity.max(self.last_probe) + self.probe_delay(),
            Phase::Opening | Phase::Probing | Phase::Resuming | Phase::Ended => self.deadline,
        };
        due.min(self.deadline)
    }

    /// Applies an input that belongs to attempt `attempt`.
    pub fn apply(&mut self, attempt: u32, input: Input, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        match input {
            _ if self.phase == Phase::Ended => {}
            Input::Tick => self.tick(now, &mut commands),
            _ if attempt != self.attempt => commands.push(Command::Cancel(attempt)),
            Input::Opened => self.opened(now),
            Input::Token(index, text) => self.token(index, text, now, &mut commands),
            Input::Ended(reason, total) => self.ended(reason, total, now, &mut commands),
            Input::EngineError(reason) => self.engine_error(&reason, now, &mut commands),
            Input::Disconnected => self.disconnected(now, &mut commands),
            Input::Refused(refusal) => self.refused(&refusal, now, &mut commands),
            Input::Position(position) if self.phase == Phase::Probing => {
                self.handle_position(position, now, &mut commands);
            }
            Input::NoPosition(refusal) if self.phase == Phase::Probing => {
                self.lose(loss(&refusal), now, &mut commands);
            }
            Input::Position(_) | Input::NoPosition(_) => {}
            Input::NoTarget(failure) => self.no_target(failure, now, &mut commands),
        }
        commands
    }

    /// Ends the generation with a failure that the driver determined.
    pub fn fail(&mut self, failure: Failure) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.phase != Phase::Ended {
            self.finish(Outcome::Failed(failure), &mut commands);
        }
        commands
    }

    fn probe_delay(&self) -> Duration {
        match self.progress {
            0 => QUEUE_PROBE_INTERVAL,
            _ => self.silence_timeout,
        }
    }

    fn tick(&mut self, now: Instant, commands: &mut Vec<Command>) {
        match self.phase {
            _ if now >= self.deadline => {
                commands.push(Command::Cancel(self.attempt));
                let failure = Failure::failed(
                    504,
                    "deadline_exceeded",
                    "the request's deadline has passed",
                );
                self.finish(Outcome::Failed(failure), commands);
            }
            Phase::Choosing(at) if now >= at => {
                self.attempt += 1;
                self.progress = 0;
                self.unconfirmed = false;
                self.phase = Phase::Opening;
                commands.push(Command::Start(self.attempt));
            }
            Phase::Streaming if now >= self.wake() => {
                self.phase = Phase::Probing;
                self.suspicions += u32::from(self.progress > 0);
                commands.push(Command::Probe);
            }
            _ => {}
        }
    }

    fn opened(&mut self, now: Instant) {
        self.unconfirmed = false;
        if matches!(self.phase, Phase::Opening | Phase::Resuming) {
            self.phase = Phase::Streaming;
            self.last_probe = now;
        }
        if self.progress == 0 {
            self.last_activity = now;
        }
    }

    fn token(&mut self, index: u64, text: SmolStr, now: Instant, commands: &mut Vec<Command>) {
        if index > self.next {
            return self.disconnected(now, commands);
        }
        if index < self.next || self.phase == Phase::Resuming {
            return;
        }
        self.next += 1;
        self.progress += 1;
        self.disconnects = 0;
        self.last_activity = now;
        self.phase = Phase::Streaming;
        commands.push(Command::Deliver(text));
    }

    fn ended(&mut self, reason: Reason, total: u64, now: Instant, commands: &mut Vec<Command>) {
        match total {
            _ if total == self.next => self.finish(Outcome::Complete(reason), commands),
            _ if total > self.next => self.disconnected(now, commands),
            _ => self.engine_error("ended before the tokens already delivered", now, commands),
        }
    }

    fn engine_error(&mut self, reason: &str, now: Instant, commands: &mut Vec<Command>) {
        self.engine_errors += 1;
        commands.push(Command::ReportError);
        if self.engine_errors >= MAX_ENGINE_ERRORS {
            let message = format!("the engine ended the attempt: {reason}");
            let failure = Failure::failed(502, "engine_failed", message);
            return self.finish(Outcome::Failed(failure), commands);
        }
        self.phase = Phase::Choosing(now);
    }

    fn disconnected(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.disconnects += 1;
        if self.disconnects > 1 {
            return self.lose(Loss::Crashed, now, commands);
        }
        self.phase = Phase::Resuming;
        commands.push(Command::Resume);
    }

    fn refused(&mut self, refusal: &Refusal, now: Instant, commands: &mut Vec<Command>) {
        match (refusal, self.phase) {
            (Refusal::NotRun(reason), Phase::Opening) if reason == "leaving" => {
                commands.push(Command::ReportLost(Loss::Leaving));
                self.not_run(now, commands);
            }
            (Refusal::NotRun(_) | Refusal::Status(_), Phase::Opening) => {
                commands.push(Command::ReportRefused);
                self.not_run(now, commands);
            }
            (Refusal::Unsent, Phase::Opening) => self.lose(Loss::Unsent, now, commands),
            (Refusal::Lost, Phase::Opening) => {
                self.unconfirmed = true;
                self.resume(commands);
            }
            (Refusal::Unknown, Phase::Resuming) if self.unconfirmed => self.not_run(now, commands),
            _ => self.lose(loss(refusal), now, commands),
        }
    }

    /// Schedules another attempt after one that did not run, unless too many were refused.
    fn not_run(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.refusals += 1;
        self.phase = Phase::Choosing(now);
        if self.next == 0 && self.refusals >= MAX_REFUSALS {
            let failure = Failure::not_run(
                503,
                "targets_busy",
                "every target that was tried refused the request",
            );
            let failure = failure.retry_after(Duration::from_secs(1));
            self.finish(Outcome::Failed(failure), commands);
        }
    }

    fn handle_position(&mut self, position: Position, now: Instant, commands: &mut Vec<Command>) {
        let silence = now - self.last_activity;
        match position.state {
            EnginePhase::Cancelled => self.engine_error("cancelled", now, commands),
            EnginePhase::Done => self.resume(commands),
            _ if position.next > self.next => self.resume(commands),
            EnginePhase::Running if self.progress > 0 && silence >= STALL_TIMEOUT => {
                self.lose(Loss::Stalled, now, commands);
            }
            _ => {
                self.last_probe = now;
                self.phase = Phase::Streaming;
            }
        }
    }

    fn resume(&mut self, commands: &mut Vec<Command>) {
        self.phase = Phase::Resuming;
        commands.push(Command::Resume);
    }

    fn lose(&mut self, loss: Loss, now: Instant, commands: &mut Vec<Command>) {
        self.losses += 1;
        self.silences += u32::from(matches!(loss, Loss::Silent | Loss::Stalled));
        self.disconnects = 0;
        commands.push(Command::ReportLost(loss));
        commands.push(Command::Cancel(self.attempt));
        let suspect = loss == Loss::Crashed && self.next == 0;
        let wait = if suspect {
            SUSPECT_BACKOFF
        } else {
            Duration::ZERO
        };
        self.phase = Phase::Choosing(now + wait);
        // A silent or stalled target may be sound, and the deadline bounds such losses.
        if self.losses - self.silences >= MAX_LOSSES {
            let failure = Failure::failed(
                502,
                "targets_lost",
                "too many targets were lost during the generation",
            );
            self.finish(Outcome::Failed(failure), commands);
        }
    }

    fn no_target(&mut self, failure: Failure, now: Instant, commands: &mut Vec<Command>) {
        if self.next > 0 && now - self.last_activity < NO_TARGET_TIMEOUT {
            self.phase = Phase::Choosing(now + CHOOSE_BACKOFF);
            return;
        }
        let failure = match self.next {
            0 => failure,
            _ => Failure::failed(
                502,
                "no_target",
                "no target is available to resume the generation",
            ),
        };
        self.finish(Outcome::Failed(failure), commands);
    }

    fn finish(&mut self, outcome: Outcome, commands: &mut Vec<Command>) {
        self.phase = Phase::Ended;
        commands.push(Command::Finish(outcome));
    }
}

fn loss(refusal: &Refusal) -> Loss {
    match refusal {
        Refusal::Silent => Loss::Silent,
        _ => Loss::Crashed,
    }
}
