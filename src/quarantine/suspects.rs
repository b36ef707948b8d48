//! Requests that may crash the targets that run them: evidence, quarantines and reserved targets.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::evidence::Evidence;
use super::verdict::{Standing, Verdicts};
use super::weight::Culprit;
use super::{Crash, PartKey, Report};

/// Weight from which a whole request is deadly: two crashes as it began.
const WHOLE_REQUEST_THRESHOLD: f64 = 5.5;

/// Weight from which a part is deadly: three crashes as it began. Requests with a rare part may be
/// hit by chance twice.
const PART_THRESHOLD: f64 = 8.5;

/// Time in which the reports of survivals reach all instances: the beginning of a run, and the way
/// through two aggregators.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// How long a suspect's target is reserved for it.
const RESERVATION_TERM: Duration = Duration::from_secs(2);

/// Time between two judgements of reports that come in quick succession.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);

/// Reports sent in one message; the newest ones, as the rest follows from the quarantines.
const REPORTS_MAX: usize = 256;

/// How suspects are judged.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Length of a first quarantine; each further one doubles it.
    pub first_quarantine: Duration,
    /// Weight of the evidence from which a part is deadly, as the logarithm of a likelihood ratio.
    pub threshold: f64,
    /// Time in which reports on a crash arrive from other instances.
    pub settle_time: Duration,
}

impl Policy {
    /// For requests that are known as a whole only, by instances that report crashes at once.
    #[must_use]
    pub fn whole_requests(first_quarantine: Duration) -> Self {
        Self {
            first_quarantine,
            threshold: WHOLE_REQUEST_THRESHOLD,
            settle_time: Duration::ZERO,
        }
    }

    /// For requests of which parts are known, by instances that report with their load.
    #[must_use]
    pub fn parts(first_quarantine: Duration) -> Self {
        Self {
            first_quarantine,
            threshold: PART_THRESHOLD,
            settle_time: SETTLE_TIME,
        }
    }
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It is not a suspect.
    Clear,
    /// It may have crashed a target and must not share one with other suspects.
    Suspect,
    /// Whether it may run is known after this time at the latest.
    Pending(Duration),
    /// It must not run for this long.
    Quarantined(Duration),
}

/// Requests suspected by this instance and its peers.
#[derive(Debug)]
pub struct Suspects {
    policy: Policy,
    evidence: Evidence,
    pub(super) verdicts: Verdicts,
    reservations: IndexMap<SmolStr, (PartKey, Instant)>,
    /// When the evidence is to be judged next; `None` while nothing has changed.
    due: Option<Instant>,
    judged: Option<Instant>,
    /// Quarantines that are not logged yet.
    new: Vec<NewQuarantine>,
}

/// A quarantine that has begun.
#[derive(Clone, Debug)]
pub(crate) struct NewQuarantine {
    pub(crate) parts: Vec<PartKey>,
    /// Crashes and survivals; `None` if another instance judged them.
    pub(crate) evidence: Option<(usize, usize)>,
}

impl Suspects {
    /// An empty set.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            evidence: Evidence::new(policy.threshold),
            verdicts: Verdicts::new(policy.first_quarantine),
            reservations: IndexMap::new(),
            due: None,
            judged: None,
            new: Vec::new(),
        }
    }

    /// Sets the number of targets, and the time after a quarantine's end at which this instance may
    /// begin a trial.
    pub(crate) fn configure(&mut self, targets: usize, turn: Duration) {
        self.evidence.set_targets(targets);
        self.verdicts.turn = turn;
    }

    /// Records the crash of a target that ran a request.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) {
        self.record(crash, now, true, now);
        self.evaluate(now);
    }

    /// Records a loss that looks like a crash, until [`Self::confirm`] or [`Self::retract`].
    pub(crate) fn record_loss(&mut self, crash: &Crash, now: Instant) {
        self.record(crash, now, false, now);
    }

    /// The target of a loss at `at` has crashed.
    pub(crate) fn confirm(&mut self, crash: &Crash, at: Instant, now: Instant) {
        self.record(crash, at, true, now);
    }

    /// The target of a loss at `at` is alive.
    pub(crate) fn retract(&mut self, crash: &Crash, at: Instant) {
        self.evidence.retract(&crash.target, &crash.parts, at);
    }

    fn record(&mut self, crash: &Crash, at: Instant, confirmed: bool, now: Instant) {
        if confirmed && !crash.parts.is_empty() {
            self.verdicts.record_crash(&crash.parts, at, false);
        }
        self.evidence
            .record_crash(crash.clone(), at, confirmed, now);
        let settled = match self.policy.settle_time {
            Duration::ZERO => at,
            time => (at + time).max(self.judged.map_or(at, |judged| judged + JUDGE_PERIOD)),
        };
        self.due = Some(self.due.map_or(settled, |due| due.min(settled)));
    }

    /// Records that a run began and its target survived.
    pub(crate) fn record_survival(&mut self, run: u32, parts: &[PartKey], now: Instant) {
        self.evidence.record_survival(run, parts, now);
    }

    /// Whether a request is covered by a quarantine that is over.
    pub(crate) fn is_trial(&self, parts: &[PartKey]) -> bool {
        self.verdicts.is_covered(parts)
    }

    /// Begins a trial: a request that is quarantined no longer is about to run.
    pub(crate) fn begin_trial(&mut self, parts: &[PartKey], now: Instant) {
        self.verdicts.begin_trial(parts, now);
    }

    /// The request of a trial crashed its target.
    pub(crate) fn fail_trial(&mut self, parts: &[PartKey], now: Instant) {
        self.verdicts.record_crash(parts, now, true);
    }

    /// The request of a trial began, and its target survived.
    pub(crate) fn pass_trial(&mut self, parts: &[PartKey], now: Instant) {
        for part in self.verdicts.pass_trial(parts, now) {
            self.evidence.clear(part, now);
        }
    }

    /// Returns how a request may be run.
    pub fn status(&mut self, parts: &[PartKey], now: Instant) -> SuspectStatus {
        self.evaluate(now);
        match self.verdicts.standing(parts, now) {
            Standing::Refused(left) => return SuspectStatus::Quarantined(left),
            Standing::Trial => return SuspectStatus::Suspect,
            Standing::Free => {}
        }
        match parts.iter().any(|p| self.evidence.may_be_deadly(*p)) {
            true => self.pending(parts, now),
            false => SuspectStatus::Clear,
        }
    }

    /// Status of a suspect that is not quarantined.
    fn pending(&self, parts: &[PartKey], now: Instant) -> SuspectStatus {
        let settled = self.evidence.last_crash(parts);
        let settled = settled.map_or(now, |at| at + self.policy.settle_time);
        let is_culprit = |c: &Culprit| c.parts.iter().all(|p| parts.contains(p));
        let wait = settled.saturating_duration_since(now);
        match wait.is_zero() || !self.evidence.culprits(None, now).iter().any(is_culprit) {
            true => SuspectStatus::Suspect,
            false => SuspectStatus::Pending(wait),
        }
    }

    /// Rest of a quarantine, by what is known without judging anew.
    pub(crate) fn quarantine_left(&self, parts: &[PartKey], now: Instant) -> Option<Duration> {
        match self.verdicts.standing(parts, now) {
            Standing::Refused(left) => Some(left),
            Standing::Free | Standing::Trial => None,
        }
    }

    /// Quarantines what the evidence shows to be deadly.
    pub(crate) fn evaluate(&mut self, now: Instant) {
        if self.due.is_none_or(|due| due > now) {
            return;
        }
        self.judged = Some(now);
        self.due = self.evidence.next_unsettled(now, self.policy.settle_time);
        let settled = now.checked_sub(self.policy.settle_time).unwrap_or(now);
        for culprit in self.evidence.culprits(Some(settled), now) {
            if self.verdicts.add(&culprit.parts, now) {
                metrics::counter!("endivefork_generation_quarantines_total").increment(1);
                self.new.push(NewQuarantine {
                    parts: culprit.parts,
                    evidence: Some((culprit.crashes, culprit.survivals)),
                });
            }
        }
    }

    /// Drops what no longer counts.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.evidence.expire(now);
        self.verdicts.expire(now);
    }

    /// Quarantines that have begun since the last call.
    pub(crate) fn take_new(&mut self) -> Vec<NewQuarantine> {
        std::mem::take(&mut self.new)
    }

    /// Number of quarantines in force.
    pub(crate) fn quarantines(&self, now: Instant) -> usize {
        self.verdicts.count(now)
    }

    /// Clears a request that has generated enough tokens on one target.
    pub fn clear(&mut self, parts: &[PartKey], now: Instant) {
        self.verdicts.lift(parts, now);
        if !self.verdicts.is_covered(parts) {
            parts.iter().for_each(|p| self.evidence.clear(*p, now));
        }
        let is_other = |owner: &PartKey| !parts.contains(owner);
        self.reservations.retain(|_, (owner, _)| is_other(owner));
    }

    /// Reserves a target for a suspect.
    pub fn isolate(&mut self, part: PartKey, target: &SmolStr, now: Instant) {
        self.reservations
            .insert(target.clone(), (part, now + RESERVATION_TERM));
    }

    /// Targets reserved for other suspects, which `part` must not use.
    pub fn reserved(&mut self, part: PartKey, now: Instant) -> Vec<SmolStr> {
        self.reservations.retain(|_, (_, until)| *until > now);
        let others = self
            .reservations
            .iter()
            .filter(|(_, (owner, _))| *owner != part);
        others.map(|(target, _)| target.clone()).collect()
    }

    /// What other instances are to know: recent reports, all with `full`, and all quarantines.
    pub(crate) fn reports(&self, full: bool, now: Instant) -> Vec<Report> {
        self.reports_since((!full).then_some(now), now)
    }

    /// What an instance is to know that last acknowledged reports sent at `acked`, if it did.
    pub(crate) fn reports_since(&self, acked: Option<Instant>, now: Instant) -> Vec<Report> {
        let mut reports = self.evidence.reports(acked, now);
        let surplus = reports.len().saturating_sub(REPORTS_MAX);
        reports.drain(..surplus);
        reports.extend(self.verdicts.reports(now).map(Report::Verdict));
        reports
    }

    /// Whether there is something that other instances do not know yet.
    pub(crate) fn has_news(&self, now: Instant) -> bool {
        !self.evidence.reports(Some(now), now).is_empty()
    }

    /// Applies another instance's reports.
    pub(crate) fn learn(&mut self, reports: Vec<Report>, now: Instant) {
        let at = |age_ms: u32| {
            let age = Duration::from_millis(age_ms.into());
            now.checked_sub(age).unwrap_or(now)
        };
        for report in reports {
            match report {
                Report::Crash { crash, age_ms } => self.record(&crash, at(age_ms), true, now),
                Report::Survival { part, run, age_ms } => {
                    self.evidence.learn_survival(part, run, at(age_ms), now);
                }
                Report::Verdict(verdict) => {
                    if let Some(parts) = self.verdicts.learn(verdict, now) {
                        self.new.push(NewQuarantine {
                            parts,
                            evidence: None,
                        });
                    }
                }
            }
        }
        self.evaluate(now);
    }

    #[cfg(test)]
    pub(crate) fn sizes(&self) -> [usize; 4] {
        self.evidence.sizes()
    }
}
