//! Crashes and survivals that one instance knows of.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Crash, PartKey, Phase, Report, to_millis};

/// Reports about one target within this time are about one crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// A target that is found dead again within this time has not come back in between.
const SAME_DEATH_WINDOW: Duration = Duration::from_secs(6);

/// How long crashes and survivals count.
const RETENTION: Duration = Duration::from_secs(120);

/// Crashes kept; the oldest are dropped.
const CRASHES_MAX: usize = 512;

/// Survivals kept of a part. Crashes before the oldest of them no longer count against it.
const SURVIVALS_MAX: usize = 24;

/// Time within which more survivals of a part tell nothing new.
const SURVIVALS_PERIOD: Duration = Duration::from_secs(3);

/// Parts of which survivals are kept.
const PARTS_TRACKED_MAX: usize = 1024;

/// Runs remembered in case a crash makes one of their parts a suspect.
const RECENT_RUNS_MAX: usize = 512;

/// How long before its first crash survivals of a part count.
pub(super) const LOOKBACK: Duration = Duration::from_secs(2);

/// Time for which a report is passed on to other instances.
pub(super) const SPREAD_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) crash: Crash,
    pub(super) at: Instant,
    /// Number of the crash; the requests that it hit share it.
    pub(super) incident: u32,
    /// Whether the target is known to have crashed.
    pub(super) confirmed: bool,
    changed: Instant,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Survival {
    run: u32,
    pub(super) at: Instant,
    changed: Instant,
}

#[derive(Clone, Debug)]
struct RecentRun {
    run: u32,
    parts: Vec<PartKey>,
    at: Instant,
}

/// Evidence known to one instance.
#[derive(Debug)]
pub(super) struct Evidence {
    /// Weight from which a part is deadly.
    pub(super) threshold: f64,
    pub(super) crashes: VecDeque<CrashRecord>,
    pub(super) survivals: IndexMap<PartKey, Vec<Survival>>,
    /// When parts were cleared of all earlier crashes.
    pub(super) cleared: IndexMap<PartKey, Instant>,
    recent: VecDeque<RecentRun>,
    next_incident: u32,
    /// Number of targets.
    pub(super) targets: usize,
}

impl Evidence {
    pub(super) fn new(threshold: f64) -> Self {
        Self {
            threshold,
            crashes: VecDeque::new(),
            survivals: IndexMap::new(),
            cleared: IndexMap::new(),
            recent: VecDeque::new(),
            next_incident: 0,
            targets: usize::MAX,
        }
    }

    pub(super) fn set_targets(&mut self, targets: usize) {
        self.targets = targets.max(1);
    }

    /// Records a crash, or what was not known of it yet.
    pub(super) fn record_crash(
        &mut self,
        crash: Crash,
        at: Instant,
        confirmed: bool,
        now: Instant,
    ) {
        let window = match crash.parts.is_empty() {
            true => SAME_DEATH_WINDOW,
            false => SAME_CRASH_WINDOW,
        };
        let same_target =
            |c: &CrashRecord| c.crash.target == crash.target && distance(c.at, at) < window;
        let incident = self.crashes.iter().find(|c| same_target(c));
        let incident = incident.map(|c| c.incident);
        let is_known = |c: &&mut CrashRecord| {
            same_target(c) && (crash.parts.is_empty() || c.crash.parts == crash.parts)
        };
        if let Some(known) = self.crashes.iter_mut().find(is_known) {
            let is_news = confirmed && !known.confirmed || known.crash.phase < crash.phase;
            known.confirmed |= confirmed;
            known.crash.phase = known.crash.phase.max(crash.phase);
            if is_news {
                known.changed = now;
            }
            return;
        }
        self.count_recent(&crash.parts, at, now);
        self.crashes.push_back(CrashRecord {
            crash,
            at,
            incident: incident.unwrap_or(self.next_incident),
            confirmed,
            changed: now,
        });
        self.next_incident += 1;
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_front();
        }
    }

    /// Drops an unconfirmed crash: the target is alive.
    pub(super) fn retract(&mut self, target: &str, parts: &[PartKey], at: Instant) {
        self.crashes.retain(|c| {
            c.confirmed || c.crash.target != target || c.at != at || c.crash.parts != parts
        });
    }

    /// Records that a run began and its target survived.
    pub(super) fn record_survival(&mut self, run: u32, parts: &[PartKey], now: Instant) {
        for part in parts {
            if self.is_suspected(*part) {
                self.count_survival(*part, run, now, now);
            }
        }
        self.recent.push_back(RecentRun {
            run,
            parts: parts.to_vec(),
            at: now,
        });
        let is_old = |r: &RecentRun| now.saturating_duration_since(r.at) > 2 * LOOKBACK;
        while self.recent.len() > RECENT_RUNS_MAX || self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
    }

    /// Counts a survival that another instance reported.
    pub(super) fn learn_survival(&mut self, part: PartKey, run: u32, at: Instant, now: Instant) {
        self.count_survival(part, run, at, now);
    }

    /// Survivals shortly before a crash, and between a crash and its report.
    fn count_recent(&mut self, parts: &[PartKey], at: Instant, now: Instant) {
        let since = at.checked_sub(LOOKBACK).unwrap_or(at);
        let recent: Vec<_> = self
            .recent
            .iter()
            .filter(|r| r.at >= since)
            .cloned()
            .collect();
        for run in recent {
            for part in parts.iter().filter(|p| run.parts.contains(p)) {
                self.count_survival(*part, run.run, run.at, now);
            }
        }
    }

    fn count_survival(&mut self, part: PartKey, run: u32, at: Instant, now: Instant) {
        if self
            .cleared
            .get(&part)
            .is_some_and(|cleared| *cleared >= at)
        {
            return;
        }
        let survivals = self.survivals.entry(part).or_default();
        if survivals.iter().any(|s| s.run == run) {
            return;
        }
        let oldest = survivals.iter().map(|s| s.at).min();
        let oldest = oldest.filter(|_| survivals.len() >= SURVIVALS_MAX);
        if oldest.is_some_and(|oldest| at < oldest + SURVIVALS_PERIOD) {
            return;
        }
        survivals.retain(|s| Some(s.at) != oldest);
        survivals.push(Survival {
            run,
            at,
            changed: now,
        });
        if let Some(oldest) = oldest {
            self.set_cleared(part, oldest);
        }
        if self.survivals.len() > PARTS_TRACKED_MAX {
            self.survivals.shift_remove_index(0);
        }
    }

    /// Clears a part of all earlier crashes.
    pub(super) fn clear(&mut self, part: PartKey, now: Instant) {
        self.survivals.shift_remove(&part);
        self.set_cleared(part, now);
    }

    fn set_cleared(&mut self, part: PartKey, at: Instant) {
        self.cleared.shift_remove(&part);
        self.cleared.insert(part, at);
        if self.cleared.len() > PARTS_TRACKED_MAX {
            self.cleared.shift_remove_index(0);
        }
    }

    /// Crashes that count against a part.
    fn of_part(&self, part: PartKey) -> impl Iterator<Item = &CrashRecord> {
        let cleared = self.cleared.get(&part);
        let counts = move |c: &&CrashRecord| {
            c.crash.parts.contains(&part) && cleared.is_none_or(|at| *at < c.at)
        };
        self.crashes.iter().filter(counts)
    }

    /// Whether a crash counts against a part.
    fn is_suspected(&self, part: PartKey) -> bool {
        self.of_part(part).next().is_some()
    }

    /// Whether a part had just begun when a target crashed, or waited at several that crashed
    /// without a request that had just begun.
    pub(super) fn may_be_deadly(&self, part: PartKey) -> bool {
        let is_begun = |c: &CrashRecord| c.crash.phase == Phase::Began;
        let is_explained = |incident: u32| {
            let mut of_incident = self.crashes.iter().filter(|c| c.incident == incident);
            of_incident.any(is_begun)
        };
        let mut waited = None;
        for record in self.of_part(part) {
            match waited {
                _ if is_begun(record) => return true,
                _ if is_explained(record.incident) => {}
                Some(incident) if incident != record.incident => return true,
                _ => waited = Some(record.incident),
            }
        }
        false
    }

    /// Drops what no longer counts.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.crashes.retain(|c| is_recent(c.at));
        self.cleared.retain(|_, at| is_recent(*at));
        self.survivals.retain(|_, survivals| {
            survivals.retain(|s| is_recent(s.at));
            !survivals.is_empty()
        });
    }

    /// When the last crash that counts against one of `parts` was, if any.
    pub(super) fn last_crash(&self, parts: &[PartKey]) -> Option<Instant> {
        let of_parts = |c: &&CrashRecord| c.crash.parts.iter().any(|p| parts.contains(p));
        self.crashes.iter().filter(of_parts).map(|c| c.at).max()
    }

    /// When the first of the crashes that are not settled yet is.
    pub(super) fn next_unsettled(&self, now: Instant, settle_time: Duration) -> Option<Instant> {
        let settled = self.crashes.iter().map(|c| c.at + settle_time);
        settled.filter(|at| *at > now).min()
    }

    /// Reports that have changed lately or since `acked`, when the receiver last acknowledged some, if
    /// it did. The last one changed last.
    pub(super) fn reports(&self, acked: Option<Instant>, now: Instant) -> Vec<Report> {
        let is_news = |changed: Instant| {
            acked.is_none_or(|acked| changed > acked)
                || now.saturating_duration_since(changed) < SPREAD_TIME
        };
        let age = |at: Instant| to_millis(now.saturating_duration_since(at));
        let crashes = self.crashes.iter();
        let crashes = crashes
            .filter(|c| c.confirmed && is_news(c.changed))
            .map(|c| {
                let report = Report::Crash {
                    crash: c.crash.clone(),
                    age_ms: age(c.at),
                };
                (c.changed, report)
            });
        let survivals = self.survivals.iter();
        let survivals = survivals.flat_map(|(part, all)| all.iter().map(move |s| (*part, s)));
        let survivals = survivals
            .filter(|(_, s)| is_news(s.changed))
            .map(|(part, s)| {
                let report = Report::Survival {
                    part,
                    run: s.run,
                    age_ms: age(s.at),
                };
                (s.changed, report)
            });
        let mut reports: Vec<_> = crashes.chain(survivals).collect();
        reports.sort_by_key(|(changed, _)| *changed);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    #[cfg(test)]
    pub(super) fn sizes(&self) -> [usize; 4] {
        let survivals = self.survivals.values().map(Vec::len).sum();
        [
            self.crashes.len(),
            survivals,
            self.cleared.len(),
            self.recent.len(),
        ]
    }
}

pub(super) fn distance(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b)
        .max(b.saturating_duration_since(a))
}
