//! State machine of one attempt to run an action at most once.
//!
//! An attempt sends the action only after its own conditional update to `sent` is confirmed. Once
//! it has responded to the caller it never sends. If one of its updates takes effect after that, a
//! `claimed` one is harmless, and a `sent` one is reverted by a [`DeferredWrite`].

use std::time::Instant;

use super::contend::stored_other;
use super::{
    Cause, Command, DeferredWrite, Event, Limits, Now, Outcome, Params, Record, Stage, StoredClaim,
    Verdict,
};

/// Maximum number of times that a write is repeated after its result was lost.
const MAX_REWRITES: u32 = 2;

/// Maximum number of times that a new connection is opened after nothing could be sent on the
/// previous one.
const MAX_RECONNECTS: u32 = 2;

#[derive(Clone, Debug)]
pub(super) enum Phase {
    Connecting,
    /// Nothing can be sent: reading the claim, since only a stored outcome can be returned.
    LookingUp(Cause),
    /// Writing `claimed`.
    Claiming(u64),
    ClaimLost(u64),
    /// Writing `sent`, with the start time of the write.
    Marking(u64, Instant),
    MarkLost(u64, Instant),
    /// `sent` is confirmed with this revision.
    Sending(u64, Instant),
    Checking(u64, u32),
    Storing(u64, Outcome),
    /// Waiting to poll another attempt's claim, with the time at which it was first seen.
    Waiting(StoredClaim, Instant, u32),
    Polling(StoredClaim, Instant, u32),
    CheckingOther(StoredClaim, Instant, u32),
    StoringOther(Outcome),
    Releasing(u64, Cause),
}

/// State machine of one attempt to run an action.
#[derive(Clone, Debug)]
pub struct Claim {
    pub(super) limits: Limits,
    pub(super) params: Params,
    pub(super) phase: Phase,
    rewrites: u32,
    reconnects: u32,
    mark_lost: bool,
    /// Why an action is not sent after the deadline.
    late: Cause,
}

impl Claim {
    /// Creates an attempt that has not started.
    #[must_use]
    pub fn new(limits: Limits, params: Params) -> Self {
        Self {
            limits,
            params,
            phase: Phase::Connecting,
            rewrites: 0,
            reconnects: 0,
            mark_lost: false,
            late: Cause::Deadline,
        }
    }

    /// Nothing is sent from `end` on, because the instance shuts down.
    pub fn end_by(&mut self, end: Instant) {
        if end < self.params.deadline {
            self.params.deadline = end;
            self.late = Cause::Shutdown;
        }
    }

    /// Processes an event and returns the next command.
    pub fn step(&mut self, event: Event, now: Now) -> Command {
        match self.phase.clone() {
            Phase::Connecting => self.connecting(event, now),
            Phase::LookingUp(cause) => self.looking_up(cause, event, now),
            Phase::Claiming(base) | Phase::ClaimLost(base) => self.claiming(base, event, now),
            Phase::Marking(base, since) | Phase::MarkLost(base, since) => {
                self.marking(base, since, event, now)
            }
            Phase::Sending(rev, since) => self.sending(rev, since, event, now),
            Phase::Checking(rev, checks) => self.checking(rev, checks, event, now),
            Phase::Storing(rev, outcome) => self.storing(rev, outcome, event, now),
            Phase::Waiting(claim, since, polls) => {
                self.phase = Phase::Polling(claim, since, polls);
                Command::Read
            }
            Phase::Polling(claim, since, polls) => self.polling(claim, since, polls, event, now),
            Phase::CheckingOther(claim, since, polls) => {
                self.checking_other(claim, since, polls, event, now)
            }
            Phase::StoringOther(outcome) => stored_other(outcome, event),
            Phase::Releasing(base, cause) => self.releasing(base, cause, event, now),
        }
    }

    fn connecting(&mut self, event: Event, now: Now) -> Command {
        match event {
            Event::NoTarget => self.look_up(Cause::NoTarget),
            _ if now.at >= self.params.deadline => self.look_up(self.late),
            Event::Connected => self.begin(0, now),
            _ => Command::Connect,
        }
    }

    fn look_up(&mut self, cause: Cause) -> Command {
        self.phase = Phase::LookingUp(cause);
        Command::Read
    }

    fn looking_up(&mut self, cause: Cause, event: Event, now: Now) -> Command {
        match event {
            Event::Read(Some(claim)) => match claim.record.stage {
                Stage::Claimed | Stage::Released => self.refuse(cause),
                Stage::Sent | Stage::Done { .. } => self.examine(claim, now),
            },
            Event::Read(None) => self.refuse(cause),
            _ => self.refuse(Cause::Platform(None)),
        }
    }

    /// Starts to write the claim, replacing revision `base`.
    pub(super) fn begin(&mut self, base: u64, now: Now) -> Command {
        match () {
            () if now.at >= self.params.deadline => self.refuse(self.late),
            () if self.limits.direct => self.mark(base, now),
            () => {
                self.phase = Phase::Claiming(base);
                self.write(Stage::Claimed, base, now)
            }
        }
    }

    pub(super) fn mark(&mut self, base: u64, now: Now) -> Command {
        self.phase = Phase::Marking(base, now.at);
        self.write(Stage::Sent, base, now)
    }

    fn claiming(&mut self, base: u64, event: Event, now: Now) -> Command {
        match event {
            Event::Written(rev) => self.mark(rev, now),
            Event::Conflict(Some(claim)) => self.examine(claim, now),
            Event::Conflict(None) | Event::Read(None) if self.may_rewrite(now) => {
                self.begin(0, now)
            }
            Event::Read(Some(claim)) if claim.rev == base && self.may_rewrite(now) => {
                self.begin(base, now)
            }
            Event::Read(Some(claim)) => self.examine(claim, now),
            Event::WriteLost => {
                self.phase = Phase::ClaimLost(base);
                Command::Read
            }
            Event::Refused(wait) => self.refuse(Cause::Platform(wait)),
            _ => self.refuse(Cause::Platform(None)),
        }
    }

    fn marking(&mut self, base: u64, since: Instant, event: Event, now: Now) -> Command {
        match event {
            Event::Written(rev) => self.send(rev, since, now),
            Event::Conflict(Some(claim)) if self.is_mine(&claim, &Stage::Sent) => {
                self.send(claim.rev, since, now)
            }
            Event::Conflict(Some(claim)) => self.examine(claim, now),
            Event::Conflict(None) if self.may_rewrite(now) => self.begin(0, now),
            Event::Read(Some(claim)) if self.is_mine(&claim, &Stage::Sent) => {
                self.send(claim.rev, since, now)
            }
            Event::Read(Some(claim)) if claim.rev > base => self.examine(claim, now),
            Event::Read(_) if self.may_rewrite(now) => self.mark(base, now),
            Event::WriteLost => {
                self.mark_lost = true;
                self.phase = Phase::MarkLost(base, since);
                Command::Read
            }
            Event::Refused(Some(wait)) if base > 0 && now.at + wait < self.params.deadline => {
                Command::Wait(wait)
            }
            Event::Waited => self.mark(base, now),
            Event::Refused(wait) if !self.mark_lost => self.refuse(Cause::Platform(wait)),
            // The update may still take effect: nothing is sent, and the update is reverted.
            _ => self.abandon(base, Cause::Platform(None), now),
        }
    }

    pub(super) fn send(&mut self, rev: u64, since: Instant, now: Now) -> Command {
        let send_by = (since + self.limits.window).min(self.params.deadline);
        match () {
            () if now.at >= send_by => self.release(rev, self.late, now),
            () => {
                self.phase = Phase::Sending(rev, since);
                Command::Send(send_by)
            }
        }
    }

    fn sending(&mut self, rev: u64, since: Instant, event: Event, now: Now) -> Command {
        match event {
            Event::Answered(outcome) => self.store(rev, outcome, now),
            Event::NotSent if self.reconnects < MAX_RECONNECTS => {
                self.reconnects += 1;
                Command::Connect
            }
            Event::Connected => self.send(rev, since, now),
            Event::NotSent | Event::NoTarget => self.release(rev, Cause::NoTarget, now),
            _ => self.check(rev, 0),
        }
    }

    fn check(&mut self, rev: u64, checks: u32) -> Command {
        match self.params.record.check.clone() {
            Some(path) if checks < self.limits.checks => {
                self.phase = Phase::Checking(rev, checks + 1);
                Command::Check(path)
            }
            _ => Command::Finish(Verdict::Unknown(Cause::AnswerLost), None),
        }
    }

    fn checking(&mut self, rev: u64, checks: u32, event: Event, now: Now) -> Command {
        match event {
            Event::Checked(Some(outcome)) => self.store(rev, outcome, now),
            Event::Checked(None) if now.at + self.limits.pause < self.params.deadline => {
                Command::Wait(self.limits.pause)
            }
            Event::Waited => self.check(rev, checks),
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
            // Another attempt stored the result of a status call first: all callers get the stored
            // response.
            Event::Conflict(Some(StoredClaim {
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
                let deferred = DeferredWrite { record, base: rev };
                Command::Finish(Verdict::Ran(outcome), Some(deferred))
            }
        }
    }

    fn release(&mut self, base: u64, cause: Cause, now: Now) -> Command {
        self.phase = Phase::Releasing(base, cause);
        self.write(Stage::Released, base, now)
    }

    fn releasing(&mut self, base: u64, cause: Cause, event: Event, now: Now) -> Command {
        match event {
            Event::Written(_) | Event::Conflict(_) => self.refuse(cause),
            _ => self.abandon(base, cause, now),
        }
    }

    /// Gives up while an update to `sent` is in force or may still take effect; a deferred write
    /// reverts it in the background.
    fn abandon(&mut self, base: u64, cause: Cause, now: Now) -> Command {
        let record = self.record(Stage::Released, now);
        Command::Finish(Verdict::NotRun(cause), Some(DeferredWrite { record, base }))
    }

    fn refuse(&self, cause: Cause) -> Command {
        let verdict = match self.params.known_sent {
            true => Verdict::Unknown(cause),
            false => Verdict::NotRun(cause),
        };
        Command::Finish(verdict, None)
    }

    fn may_rewrite(&mut self, now: Now) -> bool {
        self.rewrites += 1;
        self.rewrites <= MAX_REWRITES && now.at < self.params.deadline
    }

    fn is_mine(&self, claim: &StoredClaim, stage: &Stage) -> bool {
        claim.record.nonce == self.params.record.nonce && claim.record.stage == *stage
    }

    fn record(&self, stage: Stage, now: Now) -> Record {
        self.params.record.at(stage, now.wall_ms)
    }

    fn write(&self, stage: Stage, base: u64, now: Now) -> Command {
        Command::Write {
            record: self.record(stage, now),
            base,
        }
    }
}
