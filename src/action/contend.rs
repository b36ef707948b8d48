//! The decisions of a try that meets another try's claim.

use std::time::{Duration, Instant};

use super::claim::Phase;
use super::{Cause, Claim, Command, Event, Held, Now, Outcome, Stage, Verdict};

/// Longest time between two looks at a claim that another try holds.
const POLL_MAX: Duration = Duration::from_millis(500);

impl Claim {
    /// Decides by the claim that stands, before this try has sent anything.
    pub(super) fn examine(&mut self, held: Held, now: Now) -> Command {
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

    pub(super) fn wait(&mut self, held: Held, since: Instant, polls: u32, now: Now) -> Command {
        let left = self.terms.deadline.saturating_duration_since(now.at);
        let pause = self.rules.poll * 2_u32.pow(polls.min(10));
        let pause = pause.min(POLL_MAX).min(left);
        self.phase = Phase::Waiting(held, since, polls + 1);
        Command::Wait(pause)
    }

    pub(super) fn reading(
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

    pub(super) fn asking(
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
}

pub(super) fn adopted(outcome: Outcome, event: Event) -> Command {
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
