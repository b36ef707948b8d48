//! The decisions of one try to run an action at most once.
//!
//! A try may send only after its own conditional update to `sent` is known to be in force, and
//! gives up for good with whatever it answers. An update that lands after that is harmless
//! (`claimed`) or undone by a [`Leftover`] (`sent`).

use std::time::Instant;

use super::contend::adopted;
use super::{
    Cause, Command, Event, Held, Leftover, Now, Outcome, Record, Rules, Stage, Terms, Verdict,
};

/// Times that a write is repeated after its answer was lost.
const REWRITES: u32 = 2;

/// Times that a connection is opened anew after nothing could be sent on one.
const RECONNECTS: u32 = 2;

#[derive(Clone, Debug)]
pub(super) enum Phase {
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
    pub(super) rules: Rules,
    pub(super) terms: Terms,
    pub(super) phase: Phase,
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
    pub(super) fn begin(&mut self, over: u64, now: Now) -> Command {
        match () {
            () if now.at >= self.terms.deadline => self.refuse(Cause::Deadline),
            () if self.rules.direct => self.mark(over, now),
            () => {
                self.phase = Phase::Claiming(over);
                self.write(Stage::Claimed, over, now)
            }
        }
    }

    pub(super) fn mark(&mut self, over: u64, now: Now) -> Command {
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

    pub(super) fn send(&mut self, rev: u64, since: Instant, now: Now) -> Command {
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
