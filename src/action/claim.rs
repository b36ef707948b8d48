//! The decisions of one try to run an action at most once.
//!
//! A try may send only after its own conditional update to `sent` is known to be in force, and
//! gives up for good with whatever it answers. An update that lands after that is harmless
//! (`claimed`) or undone by a [`Leftover`] (`sent`).

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use smol_str::SmolStr;

use super::{Leftover, Outcome, Record, Stage};

/// Longest time between two looks at a claim that another try holds.
const POLL_MAX: Duration = Duration::from_millis(500);

/// Times that a write is repeated after its answer was lost.
const REWRITES: u32 = 2;

/// Times that a connection is opened anew after nothing could be sent on one.
const RECONNECTS: u32 = 2;

/// Limits of a try.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Goes to `sent` in one write, without `claimed` before it.
    pub direct: bool,
    /// A claim of another try that has been seen unchanged for so long is taken over.
    pub takeover: Duration,
    /// Time before the first look at a claim that another try holds.
    pub poll: Duration,
    /// Longest time between the update to `sent` and the first byte to the service.
    pub window: Duration,
    /// Times that the status call is made after the service's answer was lost.
    pub checks: u32,
    /// Time before the first and between further status calls.
    pub pause: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            direct: false,
            takeover: Duration::from_millis(1500),
            poll: Duration::from_millis(20),
            window: Duration::from_secs(5),
            checks: 4,
            pause: Duration::from_millis(100),
        }
    }
}

/// The time, by both clocks. Only monotonic time decides; wall time is a hint for waiting.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time.
    pub at: Instant,
    /// Milliseconds since 1970.
    pub wall_ms: u64,
}

impl Now {
    /// Reads both clocks.
    #[must_use]
    pub fn read() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            at: Instant::now(),
            wall_ms: wall.unwrap_or_default().as_millis() as u64,
        }
    }
}

/// What a try is about.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The record to write; its stage and time are set by each write.
    pub record: Record,
    /// Longest answer time of the service.
    pub timeout: Duration,
    /// When the caller must have an answer.
    pub deadline: Instant,
    /// Whether an earlier try at this instance may have run it.
    pub known_sent: bool,
}

/// A claim object as the platform showed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its revision.
    pub rev: u64,
    /// Its value.
    pub record: Record,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The try begins.
    Start,
    /// A connection to a target is open.
    Connected,
    /// No target could be reached.
    NoTarget,
    /// The write is in force under this revision.
    Written(u64),
    /// The condition did not hold; this is the present object.
    Conflict(Option<Held>),
    /// The write was not taken and will not be.
    Refused(Option<Duration>),
    /// The write may have taken effect, or may do so later.
    WriteLost,
    /// The object was read.
    Read(Option<Held>),
    /// The object could not be read.
    ReadFailed,
    /// The service answered.
    Answered(Outcome),
    /// Nothing was sent, as the connection was closed or the window over.
    NotSent,
    /// The service's answer was lost.
    AnswerLost,
    /// The status call's result; none when it does not know of the action or failed.
    Checked(Option<Outcome>),
    /// The wait is over.
    Waited,
}

/// What to do next. Each is answered by one event.
#[derive(Clone, Debug)]
pub enum Command {
    /// Open a connection to a target.
    Connect,
    /// Write the record if the object has revision `over` (0: is absent).
    Write {
        /// The record.
        record: Record,
        /// The condition.
        over: u64,
    },
    /// Read the object.
    Read,
    /// Send the action, unless it is later than this.
    Send(Instant),
    /// Make this status call.
    Check(SmolStr),
    /// Wait.
    Wait(Duration),
    /// Answer the caller, and settle the rest in the background.
    Finish(Verdict, Option<Leftover>),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This try ran it.
    Ran(Outcome),
    /// An earlier try ran it.
    Replayed(Outcome),
    /// An earlier try ran it; its answer was too large to be kept.
    TooLarge(u16),
    /// It did not run by this try and will not.
    NotRun(Cause),
    /// It may have run.
    Unknown(Cause),
    /// The key belongs to another request.
    KeyReused,
}

impl Verdict {
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Replayed(_) => "replayed",
            Self::TooLarge(_) => "too_large",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "outcome_unknown",
            Self::KeyReused => "key_reused",
        }
    }
}

/// Why there is no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The platform did not take the claim.
    Platform(Option<Duration>),
    /// No target could be reached.
    NoTarget,
    /// The time for the call is over.
    Deadline,
    /// Another try holds the claim.
    Busy,
    /// The service's answer was lost.
    AnswerLost,
}

#[derive(Clone, Debug)]
enum Phase {
    Connecting,
    /// Without a target only an outcome that is already stored can help.
    Looking,
    /// Writing `claimed`.
    Claiming(u64),
    ClaimLost(u64),
    /// Writing `sent`, begun at that time.
    Marking(u64, Instant),
    MarkLost(u64, Instant),
    /// `sent` is in force under this revision.
    Sending(u64, Instant),
    Checking(u64, u32),
    Storing(u64, Outcome),
    /// Another try's claim, seen first at that time.
    Waiting(Held, Instant, u32),
    Reading(Held, Instant, u32),
    Asking(Held, Instant, u32),
    Adopting(Outcome),
    Releasing(u64, Cause),
}

/// One try to run an action.
#[derive(Clone, Debug)]
pub struct Claim {
    rules: Rules,
    terms: Terms,
    phase: Phase,
    rewrites: u32,
    connects: u32,
    mark_lost: bool,
}

impl Claim {
    /// A try that has not begun.
    #[must_use]
    pub fn new(rules: Rules, terms: Terms) -> Self {
        Self {
            rules,
            terms,
            phase: Phase::Connecting,
            rewrites: 0,
            connects: 0,
            mark_lost: false,
        }
    }

    /// Takes in what happened and decides what to do next.
    pub fn step(&mut self, event: Event, now: Now) -> Command {
        match self.phase.clone() {
            Phase::Connecting => self.connecting(event, now),
            Phase::Looking => self.looking(event, now),
            Phase::Claiming(over) | Phase::ClaimLost(over) => self.claiming(over, event, now),
            Phase::Marking(over, since) | Phase::MarkLost(over, since) => {
                self.marking(over, since, event, now)
            }
            Phase::Sending(rev, since) => self.sending(rev, since, event, now),
            Phase::Checking(rev, tries) => self.checking(rev, tries, event, now),
            Phase::Storing(rev, outcome) => self.storing(rev, outcome, event, now),
            Phase::Waiting(held, since, polls) => {
                self.phase = Phase::Reading(held, since, polls);
                Command::Read
            }
            Phase::Reading(held, since, polls) => self.reading(held, since, polls, event, now),
            Phase::Asking(held, since, polls) => self.asking(held, since, polls, event, now),
            Phase::Adopting(outcome) => adopted(outcome, event),
            Phase::Releasing(over, cause) => self.releasing(over, cause, event, now),
        }
    }

    fn connecting(&mut self, event: Event, now: Now) -> Command {
        match event {
            Event::Connected => self.begin(0, now),
            Event::NoTarget => {
                self.phase = Phase::Looking;
                Command::Read
            }
            _ => Command::Connect,
        }
    }

    fn looking(&mut self, event: Event, now: Now) -> Command {
        match event {
            Event::Read(Some(held)) => match held.record.stage {
                Stage::Claimed | Stage::Released => self.refuse(Cause::NoTarget),
                Stage::Sent | Stage::Done { .. } => self.examine(held, now),
            },
            Event::Read(None) => self.refuse(Cause::NoTarget),
            _ => self.refuse(Cause::Platform(None)),
        }
    }

    /// Starts to take the claim over revision `over`.
    fn begin(&mut self, over: u64, now: Now) -> Command {
        match () {
            () if now.at >= self.terms.deadline => self.refuse(Cause::Deadline),
            () if self.rules.direct => self.mark(over, now),
            () => {
                self.phase = Phase::Claiming(over);
                self.write(Stage::Claimed, over, now)
            }
        }
    }

    fn mark(&mut self, over: u64, now: Now) -> Command {
        self.phase = Phase::Marking(over, now.at);
        self.write(Stage::Sent, over, now)
    }

    fn claiming(&mut self, over: u64, event: Event, now: Now) -> Command {
        match event {
            Event::Written(rev) => self.mark(rev, now),
            Event::Conflict(Some(held)) => self.examine(held, now),
            Event::Conflict(None) | Event::Read(None) if self.may_rewrite(now) => {
                self.begin(0, now)
            }
            Event::Read(Some(held)) if held.rev == over && self.may_rewrite(now) => {
                self.begin(over, now)
            }
            Event::Read(Some(held)) => self.examine(held, now),
            Event::WriteLost => {
                self.phase = Phase::ClaimLost(over);
                Command::Read
            }
            Event::Refused(wait) => self.refuse(Cause::Platform(wait)),
            _ => self.refuse(Cause::Platform(None)),
        }
    }

    fn marking(&mut self, over: u64, since: Instant, event: Event, now: Now) -> Command {
        match event {
            Event::Written(rev) => self.send(rev, since, now),
            Event::Conflict(Some(held)) if self.is_mine(&held, &Stage::Sent) => {
                self.send(held.rev, since, now)
            }
            Event::Conflict(Some(held)) => self.examine(held, now),
            Event::Conflict(None) if self.may_rewrite(now) => self.begin(0, now),
            Event::Read(Some(held)) if self.is_mine(&held, &Stage::Sent) => {
                self.send(held.rev, since, now)
            }
            Event::Read(Some(held)) if held.rev > over => self.examine(held, now),
            Event::Read(_) if self.may_rewrite(now) => self.mark(over, now),
            Event::WriteLost => {
                self.mark_lost = true;
                self.phase = Phase::MarkLost(over, since);
                Command::Read
            }
            Event::Refused(Some(wait)) if over > 0 && now.at + wait < self.terms.deadline => {
                Command::Wait(wait)
            }
            Event::Waited => self.mark(over, now),
            Event::Refused(wait) if !self.mark_lost => self.refuse(Cause::Platform(wait)),
            // The update may still land: nothing is sent, and it is undone.
            _ => self.abandon(over, Cause::Platform(None), now),
        }
    }

    fn send(&mut self, rev: u64, since: Instant, now: Now) -> Command {
        let by = (since + self.rules.window).min(self.terms.deadline);
        match () {
            () if now.at >= by => self.release(rev, Cause::Deadline, now),
            () => {
                self.phase = Phase::Sending(rev, since);
                Command::Send(by)
            }
        }
    }

    fn sending(&mut self, rev: u64, since: Instant, event: Event, now: Now) -> Command {
        match event {
            Event::Answered(outcome) => self.store(rev, outcome, now),
            Event::NotSent if self.connects < RECONNECTS => {
                self.connects += 1;
                Command::Connect
            }
            Event::Connected => self.send(rev, since, now),
            Event::NotSent | Event::NoTarget => self.release(rev, Cause::NoTarget, now),
            _ => self.check(rev, 0),
        }
    }

    fn check(&mut self, rev: u64, tries: u32) -> Command {
        match self.terms.record.check.clone() {
            Some(path) if tries < self.rules.checks => {
                self.phase = Phase::Checking(rev, tries + 1);
                Command::Check(path)
            }
            _ => Command::Finish(Verdict::Unknown(Cause::AnswerLost), None),
        }
    }

    fn checking(&mut self, rev: u64, tries: u32, event: Event, now: Now) -> Command {
        match event {
            Event::Checked(Some(outcome)) => self.store(rev, outcome, now),
            Event::Checked(None) if now.at + self.rules.pause < self.terms.deadline => {
                Command::Wait(self.rules.pause)
            }
            Event::Waited => self.check(rev, tries),
            _ => Command::Finish(Verdict::Unknown(Cause::AnswerLost), None),
        }
    }

    fn store(&mut self, rev: u64, outcome: Outcome, now: Now) -> Command {
        let stage = Stage::done(&outcome);
        self.phase = Phase::Storing(rev, outcome);
        self.write(stage, rev, now)
    }

    fn storing(&mut self, rev: u64, outcome: Outcome, event: Event, now: Now) -> Command {
        match event {
            Event::Written(_) => Command::Finish(Verdict::Ran(outcome), None),
            // A status call of another try came first: all callers get the stored answer.
            Event::Conflict(Some(Held {
                record:
                    Record {
                        stage:
                            Stage::Done {
                                outcome: Some(stored),
                                ..
                            },
                        ..
                    },
                ..
            })) => Command::Finish(Verdict::Ran(stored), None),
            Event::Conflict(_) => Command::Finish(Verdict::Ran(outcome), None),
            _ => {
                let record = self.record(Stage::done(&outcome), now);
                let leftover = Leftover { record, over: rev };
                Command::Finish(Verdict::Ran(outcome), Some(leftover))
            }
        }
    }

    /// Decides by the claim that stands, before this try has sent anything.
    fn examine(&mut self, held: Held, now: Now) -> Command {
        let mine = held.record.nonce == self.terms.record.nonce;
        match &held.record.stage {
            _ if held.record.digest != self.terms.record.digest => {
                Command::Finish(Verdict::KeyReused, None)
            }
            Stage::Done {
                outcome: Some(outcome),
                ..
            } => Command::Finish(Verdict::Replayed(outcome.clone()), None),
            Stage::Done { status, .. } => Command::Finish(Verdict::TooLarge(*status), None),
            Stage::Released => self.begin(held.rev, now),
            Stage::Claimed if mine => self.mark(held.rev, now),
            Stage::Sent if mine => self.send(held.rev, now.at, now),
            Stage::Claimed | Stage::Sent => self.wait(held, now.at, 0, now),
        }
    }

    fn wait(&mut self, held: Held, since: Instant, polls: u32, now: Now) -> Command {
        let left = self.terms.deadline.saturating_duration_since(now.at);
        let pause = self.rules.poll * 2_u32.pow(polls.min(10));
        let pause = pause.min(POLL_MAX).min(left);
        self.phase = Phase::Waiting(held, since, polls + 1);
        Command::Wait(pause)
    }

    fn reading(
        &mut self,
        held: Held,
        since: Instant,
        polls: u32,
        event: Event,
        now: Now,
    ) -> Command {
        match event {
            Event::Read(Some(new)) if new.rev != held.rev => self.examine(new, now),
            Event::Read(Some(_)) => self.unchanged(held, since, polls, now),
            Event::Read(None) if held.record.stage == Stage::Claimed => self.begin(0, now),
            _ if self.is_hopeless(&held, since, now) => give_up(&held),
            _ => self.wait(held, since, polls, now),
        }
    }

    fn unchanged(&mut self, held: Held, since: Instant, polls: u32, now: Now) -> Command {
        let seen = now.at - since;
        let hopeless = self.is_hopeless(&held, since, now);
        match held.record.stage {
            Stage::Claimed if seen >= self.rules.takeover => self.begin(held.rev, now),
            Stage::Sent
                if held.record.check.is_some() && (hopeless || seen >= self.rules.pause) =>
            {
                let path = held.record.check.clone().unwrap_or_default();
                self.phase = Phase::Asking(held, since, polls);
                Command::Check(path)
            }
            _ if hopeless => give_up(&held),
            _ => self.wait(held, since, polls, now),
        }
    }

    fn asking(
        &mut self,
        held: Held,
        since: Instant,
        polls: u32,
        event: Event,
        now: Now,
    ) -> Command {
        match event {
            Event::Checked(Some(outcome)) => {
                let record = held.record.at(Stage::done(&outcome), now.wall_ms);
                self.phase = Phase::Adopting(outcome);
                Command::Write {
                    record,
                    over: held.rev,
                }
            }
            _ if self.is_hopeless(&held, since, now) => give_up(&held),
            _ => self.wait(held, since, polls, now),
        }
    }

    /// Whether more waiting cannot bring the outcome of another try's action.
    fn is_hopeless(&self, held: &Held, since: Instant, now: Now) -> bool {
        let timeout = self.terms.timeout;
        let age = Duration::from_millis(now.wall_ms.saturating_sub(held.record.at_ms));
        let over = now.at >= self.terms.deadline;
        let sent = held.record.stage == Stage::Sent;
        over || sent && (age > timeout + self.rules.window || now.at - since > timeout)
    }

    fn release(&mut self, over: u64, cause: Cause, now: Now) -> Command {
        self.phase = Phase::Releasing(over, cause);
        self.write(Stage::Released, over, now)
    }

    fn releasing(&mut self, over: u64, cause: Cause, event: Event, now: Now) -> Command {
        match event {
            Event::Written(_) | Event::Conflict(_) => self.refuse(cause),
            _ => self.abandon(over, cause, now),
        }
    }

    /// Gives up while an update to `sent` stands or may land: it is undone in the background.
    fn abandon(&mut self, over: u64, cause: Cause, now: Now) -> Command {
        let record = self.record(Stage::Released, now);
        Command::Finish(Verdict::NotRun(cause), Some(Leftover { record, over }))
    }

    fn refuse(&self, cause: Cause) -> Command {
        let verdict = match self.terms.known_sent {
            true => Verdict::Unknown(cause),
            false => Verdict::NotRun(cause),
        };
        Command::Finish(verdict, None)
    }

    fn may_rewrite(&mut self, now: Now) -> bool {
        self.rewrites += 1;
        self.rewrites <= REWRITES && now.at < self.terms.deadline
    }

    fn is_mine(&self, held: &Held, stage: &Stage) -> bool {
        held.record.nonce == self.terms.record.nonce && held.record.stage == *stage
    }

    fn record(&self, stage: Stage, now: Now) -> Record {
        self.terms.record.at(stage, now.wall_ms)
    }

    fn write(&self, stage: Stage, over: u64, now: Now) -> Command {
        Command::Write {
            record: self.record(stage, now),
            over,
        }
    }
}

fn adopted(outcome: Outcome, event: Event) -> Command {
    let stored = match event {
        Event::Conflict(Some(held)) => match held.record.stage {
            Stage::Done {
                outcome: Some(stored),
                ..
            } => stored,
            _ => outcome,
        },
        _ => outcome,
    };
    Command::Finish(Verdict::Replayed(stored), None)
}

fn give_up(held: &Held) -> Command {
    let verdict = match held.record.stage {
        Stage::Sent => Verdict::Unknown(Cause::Busy),
        _ => Verdict::NotRun(Cause::Busy),
    };
    Command::Finish(verdict, None)
}
