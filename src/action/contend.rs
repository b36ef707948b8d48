//! Transitions of the state machine when another attempt holds the claim.

use std::time::{Duration, Instant};

use super::claim::Phase;
use super::{Cause, Claim, Command, Event, Now, Outcome, Stage, StoredClaim, Verdict};

/// Maximum interval between two polls of another attempt's claim.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);

impl Claim {
    /// Decides by the current claim, before this attempt has sent anything.
    pub(super) fn examine(&mut self, claim: StoredClaim, now: Now) -> Command {
        let mine = claim.record.nonce == self.params.record.nonce;
        match &claim.record.stage {
            _ if claim.record.digest != self.params.record.digest => {
                Command::Finish(Verdict::KeyReused, None)
            }
            Stage::Done {
                outcome: Some(outcome),
                ..
            } => Command::Finish(Verdict::Replayed(outcome.clone()), None),
            Stage::Done { status, .. } => Command::Finish(Verdict::TooLarge(*status), None),
            Stage::Released => self.begin(claim.rev, now),
            Stage::Claimed if mine => self.mark(claim.rev, now),
            Stage::Sent if mine => self.send(claim.rev, now.at, now),
            Stage::Claimed | Stage::Sent => self.wait(claim, now.at, 0, now),
        }
    }

    pub(super) fn wait(
        &mut self,
        claim: StoredClaim,
        since: Instant,
        polls: u32,
        now: Now,
    ) -> Command {
        let remaining = self.params.deadline.saturating_duration_since(now.at);
        let delay = self.limits.poll * 2_u32.pow(polls.min(10));
        let delay = delay.min(MAX_POLL_INTERVAL).min(remaining);
        self.phase = Phase::Waiting(claim, since, polls + 1);
        Command::Wait(delay)
    }

    pub(super) fn polling(
        &mut self,
        claim: StoredClaim,
        since: Instant,
        polls: u32,
        event: Event,
        now: Now,
    ) -> Command {
        match event {
            Event::Read(Some(new)) if new.rev != claim.rev => self.examine(new, now),
            Event::Read(Some(_)) => self.unchanged(claim, since, polls, now),
            Event::Read(None) if claim.record.stage == Stage::Claimed => self.begin(0, now),
            _ if self.is_expired(&claim, since, now) => give_up(&claim),
            _ => self.wait(claim, since, polls, now),
        }
    }

    fn unchanged(&mut self, claim: StoredClaim, since: Instant, polls: u32, now: Now) -> Command {
        let unchanged_for = now.at - since;
        let expired = self.is_expired(&claim, since, now);
        match claim.record.stage {
            Stage::Claimed if unchanged_for >= self.limits.takeover => self.begin(claim.rev, now),
            Stage::Sent
                if claim.record.check.is_some()
                    && (expired || unchanged_for >= self.limits.pause) =>
            {
                let path = claim.record.check.clone().unwrap_or_default();
                self.phase = Phase::CheckingOther(claim, since, polls);
                Command::Check(path)
            }
            _ if expired => give_up(&claim),
            _ => self.wait(claim, since, polls, now),
        }
    }

    pub(super) fn checking_other(
        &mut self,
        claim: StoredClaim,
        since: Instant,
        polls: u32,
        event: Event,
        now: Now,
    ) -> Command {
        match event {
            Event::Checked(Some(outcome)) => {
                let record = claim.record.at(Stage::done(&outcome), now.wall_ms);
                self.phase = Phase::StoringOther(outcome);
                Command::Write {
                    record,
                    base: claim.rev,
                }
            }
            _ if self.is_expired(&claim, since, now) => give_up(&claim),
            _ => self.wait(claim, since, polls, now),
        }
    }

    /// Whether further waiting cannot yield the outcome of the other attempt.
    fn is_expired(&self, claim: &StoredClaim, since: Instant, now: Now) -> bool {
        let timeout = self.params.timeout;
        let age = Duration::from_millis(now.wall_ms.saturating_sub(claim.record.at_ms));
        let past_deadline = now.at >= self.params.deadline;
        let sent = claim.record.stage == Stage::Sent;
        past_deadline || sent && (age > timeout + self.limits.window || now.at - since > timeout)
    }
}

pub(super) fn stored_other(outcome: Outcome, event: Event) -> Command {
    let stored = match event {
        Event::Conflict(Some(claim)) => match claim.record.stage {
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

fn give_up(claim: &StoredClaim) -> Command {
    let verdict = match claim.record.stage {
        Stage::Sent => Verdict::Unknown(Cause::Busy),
        _ => Verdict::NotRun(Cause::Busy),
    };
    Command::Finish(verdict, None)
}
