//! Requests that may crash the targets that run them.
//!
//! When a target crashes, each request on it is a suspect. One that had no token from that target
//! is a strong suspect: it had only just begun there. Two crashes convict a request when the
//! latest was strong, and no other strong suspect was on the target to explain it.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

/// Crashes of different targets that convict a request.
const DEATHS: usize = 2;

/// Two reports of one target within this time are about one crash.
const SAME_CRASH: Duration = Duration::from_secs(2);

/// How long a crash counts against a request.
const MEMORY: Duration = Duration::from_secs(120);

/// Longest quarantine.
const LONGEST: Duration = Duration::from_secs(3600);

/// How long a target that was given to a suspect is kept for it alone.
const ALONE: Duration = Duration::from_secs(2);

/// Most requests remembered.
const CASES: usize = 10_000;

/// A crash of a target with a request on it, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the request's service and prompt.
    pub digest: u128,
    /// The target.
    pub target: SmolStr,
    /// Whether the request had no token from it.
    pub strong: bool,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It may have crashed a target: keep it away from others.
    Suspect,
    /// It is not run for this long.
    Quarantined(Duration),
}

#[derive(Clone, Debug)]
struct Death {
    target: SmolStr,
    strong: bool,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Case {
    deaths: Vec<Death>,
    convictions: u32,
    until: Option<Instant>,
}

/// Requests suspected by this instance and its peers.
#[derive(Debug)]
pub struct Suspects {
    quarantine: Duration,
    cases: IndexMap<u128, Case>,
    alone: IndexMap<SmolStr, (u128, Instant)>,
}

impl Suspects {
    /// Suspects nobody. `quarantine` is the first one's length; each further one doubles.
    #[must_use]
    pub fn new(quarantine: Duration) -> Self {
        Self {
            quarantine,
            cases: IndexMap::new(),
            alone: IndexMap::new(),
        }
    }

    /// A target crashed with a request on it.
    pub fn crashed(&mut self, crash: &Crash, now: Instant) {
        self.bound();
        let case = self.cases.entry(crash.digest).or_default();
        case.deaths
            .retain(|d| now.saturating_duration_since(d.at) < MEMORY);
        let same = |d: &&mut Death| {
            d.target == crash.target && now.saturating_duration_since(d.at) < SAME_CRASH
        };
        match case.deaths.iter_mut().find(same) {
            Some(death) => death.strong |= crash.strong,
            None => case.deaths.push(Death {
                target: crash.target.clone(),
                strong: crash.strong,
                at: now,
            }),
        }
        if self.convicts(crash.digest) {
            self.convict(crash.digest, now);
        }
    }

    /// What is known about a request.
    pub fn verdict(&mut self, digest: u128, now: Instant) -> Verdict {
        let Some(case) = self.cases.get_mut(&digest) else {
            return Verdict::Clear;
        };
        if let Some(until) = case.until {
            if until > now {
                return Verdict::Quarantined(until - now);
            }
            case.until = None;
            case.deaths.clear();
        }
        let recent = |d: &Death| d.strong && now.saturating_duration_since(d.at) < MEMORY;
        match case.convictions > 0 || case.deaths.iter().any(recent) {
            true => Verdict::Suspect,
            false => Verdict::Clear,
        }
    }

    /// A request ran well enough on a target to be cleared.
    pub fn clear(&mut self, digest: u128) {
        if self.cases.get(&digest).is_some_and(|c| c.until.is_none()) {
            self.cases.swap_remove(&digest);
        }
        self.alone.retain(|_, (of, _)| *of != digest);
    }

    /// Gives a target to a suspect alone.
    pub fn isolate(&mut self, digest: u128, target: &SmolStr, now: Instant) {
        self.alone.insert(target.clone(), (digest, now + ALONE));
    }

    /// Targets given to other suspects, which `digest` must not use.
    pub fn reserved(&mut self, digest: u128, now: Instant) -> Vec<SmolStr> {
        self.alone.retain(|_, (_, until)| *until > now);
        let others = self.alone.iter().filter(|(_, (of, _))| *of != digest);
        others.map(|(target, _)| target.clone()).collect()
    }

    fn convicts(&self, digest: u128) -> bool {
        let case = &self.cases[&digest];
        let Some(last) = case.deaths.last() else {
            return false;
        };
        if case.until.is_some() || !last.strong {
            return false;
        }
        let strong = case.deaths.iter().filter(|d| d.strong).count();
        let enough = strong >= DEATHS || case.convictions > 0;
        enough || (case.deaths.len() >= DEATHS && !self.explained(digest, last))
    }

    /// Whether another strong suspect was on the target when it crashed.
    fn explained(&self, digest: u128, death: &Death) -> bool {
        let same =
            |d: &Death| d.strong && d.target == death.target && close(d.at, death.at) < SAME_CRASH;
        let mut others = self.cases.iter().filter(|(of, _)| **of != digest);
        others.any(|(_, case)| case.deaths.iter().any(same))
    }

    fn convict(&mut self, digest: u128, now: Instant) {
        let case = self.cases.get_mut(&digest).expect("it has a case");
        let factor = 1_u32.checked_shl(case.convictions).unwrap_or(u32::MAX);
        case.until = Some(now + self.quarantine.saturating_mul(factor).min(LONGEST));
        case.convictions += 1;
        metrics::counter!("endivefork_generation_quarantines_total").increment(1);
    }

    fn bound(&mut self) {
        if self.cases.len() >= CASES {
            self.cases.shift_remove_index(0);
        }
    }
}

fn close(a: Instant, b: Instant) -> Duration {
    match a > b {
        true => a - b,
        false => b - a,
    }
}
