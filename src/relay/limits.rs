//! Rate limits that targets state for the requests of all instances together. Pure state, without
//! I/O.
//!
//! One instance of a target's failure domain issues permits for the target's requests (see
//! [`Issuer`]). Every other instance asks it for a permit before it sends one.

mod issuer;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub(crate) use issuer::{Issuer, Permits, TAKEOVER_SHARE};

use crate::ident::TargetKey;
use crate::routing::ProbeTarget;

/// Time for which a permit is valid, from when it was asked for. Unused permits are lost, so that
/// instances cannot save them up for a burst.
pub(crate) const PERMIT_TTL: Duration = Duration::from_secs(1);

/// Time after an answer without a limit until the limit is lifted, unless another answer states it:
/// answers that cross on the way to different instances may arrive in another order.
const LIFT_DELAY: Duration = Duration::from_millis(500);

/// Time for which a changed limit is passed on to other instances: several reports or messages.
const SPREAD_TIME: Duration = Duration::from_secs(3);

/// Time for which a lifted limit is remembered, so that an older statement from another instance
/// does not restore it.
const LIFTED_MEMORY: Duration = Duration::from_secs(30);

/// Pause after the issuer did not answer: the time in which another one is found.
const ASK_RETRY: Duration = Duration::from_millis(500);

/// Permits asked for at once.
const ASK_MAX: u32 = 16;

/// Lowest rate that is applied. A target that takes nothing still gets a request now and then,
/// since only its answers can take the limit back.
const RATE_MIN: Rate = Rate(250);

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// `None` if it is no rate: negative, not finite, or too large to matter.
    #[must_use]
    pub fn per_second(requests: f64) -> Option<Self> {
        let thousandths = (requests * 1_000.0).round();
        let is_rate = (0.0..=f64::from(u32::MAX)).contains(&thousandths);
        is_rate.then_some(Self(thousandths as u32))
    }

    /// Requests per second.
    pub(crate) fn as_f64(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// What a request to a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// First attempt of a caller's request.
    First,
    /// Further attempt of a caller's request.
    Retry,
    /// Continues a stream.
    Resume,
    /// Health check or load report.
    Probe,
    /// Copies a run to another engine.
    Copy,
}

impl Purpose {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::Probe => "probe",
            Self::Copy => "copy",
        }
    }
}

/// What a target last stated about its limit, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Statement {
    /// Name of the target.
    pub(crate) target: SmolStr,
    /// `None` if it has taken its limit back.
    rate: Option<Rate>,
    /// Time since the target stated it.
    age_ms: u32,
}

/// Permits to ask for.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) target: ProbeTarget,
    pub(crate) count: u32,
}

/// The limit of one target.
#[derive(Debug)]
struct TargetLimit {
    target: ProbeTarget,
    /// `None` once the target has taken its limit back.
    rate: Option<Rate>,
    /// When the target last stated it.
    stated: Instant,
    /// When it changed at this instance.
    changed: Instant,
    /// Since when its answers state no limit.
    unstated: Option<Instant>,
    /// When each unused permit expires.
    permits: Vec<Instant>,
    /// Permits that the issuer was asked for and has not answered.
    asked: u32,
    /// Earliest time of the next ask.
    ask_after: Instant,
    /// Expected time between two permits.
    interval: Duration,
    /// Requests sent since the last summary.
    sent: u32,
}

impl TargetLimit {
    fn new(target: ProbeTarget, now: Instant) -> Self {
        Self {
            target,
            rate: None,
            stated: now,
            changed: now,
            unstated: None,
            permits: Vec::new(),
            asked: 0,
            ask_after: now,
            interval: Duration::ZERO,
            sent: 0,
        }
    }

    /// Sets the rate as stated at `stated`. Returns whether it has changed.
    fn set(&mut self, rate: Option<Rate>, stated: Instant, now: Instant) -> bool {
        self.stated = stated;
        self.unstated = None;
        if self.rate == rate {
            return false;
        }
        self.rate = rate;
        self.changed = now;
        // Permits and appointments belong to the former rate.
        self.permits.clear();
        self.ask_after = now;
        self.interval = rate.map_or(Duration::ZERO, issuer::permit_interval);
        true
    }

    fn expire(&mut self, now: Instant) {
        self.permits.retain(|expires| *expires > now);
    }

    /// Earliest time at which a permit may be had, if it is not known to be available.
    fn next_permit(&self, now: Instant) -> Instant {
        match self.permits.is_empty() {
            true => self.ask_after.max(now),
            false => now,
        }
    }
}

/// The limits known to one instance, and its permits.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    targets: IndexMap<TargetKey, TargetLimit>,
}

impl Limits {
    /// Applies what an answer of a target states. Returns whether the limit has changed.
    pub(crate) fn observe(
        &mut self,
        target: &ProbeTarget,
        stated: Option<Rate>,
        now: Instant,
    ) -> bool {
        match (stated, self.targets.get_mut(&target.key)) {
            (None, None) => false,
            (None, Some(known)) if known.rate.is_none() => {
                known.stated = now;
                false
            }
            (None, Some(known)) => {
                known.unstated.get_or_insert(now);
                false
            }
            (Some(rate), Some(known)) => known.set(Some(rate), now, now),
            (Some(rate), None) => {
                let mut new = TargetLimit::new(target.clone(), now);
                new.set(Some(rate), now, now);
                self.targets.insert(target.key, new);
                true
            }
        }
    }

    /// Applies what another instance heard from a target, unless this one heard from it since.
    /// Returns whether the limit has changed.
    pub(crate) fn learn(
        &mut self,
        target: &ProbeTarget,
        statement: &Statement,
        now: Instant,
    ) -> bool {
        let age = Duration::from_millis(statement.age_ms.into());
        let stated = now.checked_sub(age).unwrap_or(now);
        match (statement.rate, self.targets.get_mut(&target.key)) {
            (None, None) => false,
            (_, Some(known)) if known.stated >= stated => false,
            (rate, Some(known)) => known.set(rate, stated, now),
            (rate, None) => {
                let mut new = TargetLimit::new(target.clone(), now);
                new.set(rate, stated, now);
                self.targets.insert(target.key, new);
                true
            }
        }
    }

    /// Limits that have changed lately, for other instances.
    pub(crate) fn news(&self, now: Instant) -> Vec<Statement> {
        self.news_since(Some(now), now)
    }

    /// Limits that have changed lately or since `acked`, when the receiver last acknowledged some, if
    /// it did.
    pub(crate) fn news_since(&self, acked: Option<Instant>, now: Instant) -> Vec<Statement> {
        let is_news = |t: &&TargetLimit| {
            acked.is_none_or(|acked| t.changed > acked)
                || now.saturating_duration_since(t.changed) < SPREAD_TIME
        };
        let news = self.targets.values().filter(is_news);
        news.map(|t| statement(t, now)).collect()
    }

    /// The limit of a target, if one is known or was lifted lately.
    pub(crate) fn statement(&self, key: TargetKey, now: Instant) -> Option<Statement> {
        self.targets.get(&key).map(|t| statement(t, now))
    }

    /// Rate that a target takes; `None` if it has no limit.
    pub(crate) fn rate(&self, key: TargetKey) -> Option<Rate> {
        self.targets.get(&key)?.rate
    }

    /// Whether no limit is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Limited targets for which this instance has no permit.
    pub(crate) fn without_permit(&mut self, now: Instant) -> Vec<TargetKey> {
        let limited = self.targets.values_mut().filter(|t| t.rate.is_some());
        let blocked = limited.filter_map(|t| {
            t.expire(now);
            t.permits.is_empty().then_some(t.target.key)
        });
        blocked.collect()
    }

    /// The limited target at an address.
    pub(crate) fn limited_at(&self, addr: SocketAddr) -> Option<TargetKey> {
        let mut targets = self.targets.values();
        let limited = targets.find(|t| t.rate.is_some() && t.target.addr == addr);
        limited.map(|t| t.target.key)
    }

    /// Limited targets of a service.
    pub(crate) fn limited(&self, service: &str) -> Vec<ProbeTarget> {
        let targets = self.targets.values();
        let limited = targets.filter(|t| t.rate.is_some() && t.target.service == service);
        limited.map(|t| t.target.clone()).collect()
    }

    /// Uses a permit for a request to a target. `false` if the target has a limit and there is
    /// none.
    pub(crate) fn take(&mut self, key: TargetKey, now: Instant) -> bool {
        let Some(target) = self.targets.get_mut(&key).filter(|t| t.rate.is_some()) else {
            return true;
        };
        target.expire(now);
        // The oldest permit first, as it expires first.
        let is_taken = !target.permits.is_empty();
        if is_taken {
            target.permits.remove(0);
            target.sent += 1;
        }
        is_taken
    }

    /// Permits to ask for so that `count` requests to any of `targets` find one.
    pub(crate) fn due_asks(
        &mut self,
        targets: &[ProbeTarget],
        count: u32,
        now: Instant,
    ) -> Vec<Ask> {
        let mut pending = 0;
        let mut due = Vec::new();
        for key in targets.iter().map(|t| t.key) {
            let Some(target) = self.targets.get_mut(&key).filter(|t| t.rate.is_some()) else {
                continue;
            };
            target.expire(now);
            pending += target.permits.len() as u32 + target.asked;
            if target.asked == 0 && target.ask_after <= now {
                due.push((target.ask_after, key));
            }
        }
        // The one that has been due for longest.
        due.sort_by_key(|(since, _)| *since);
        let mut lacking = count.saturating_sub(pending);
        let mut asks = Vec::new();
        for (_, key) in due {
            let Some(target) = self.targets.get_mut(&key).filter(|_| lacking > 0) else {
                break;
            };
            target.asked = lacking.min(ASK_MAX);
            lacking -= target.asked;
            asks.push(Ask {
                target: target.target.clone(),
                count: target.asked,
            });
        }
        asks
    }

    /// Applies the issuer's answer to an ask made at `asked`.
    pub(crate) fn grant(&mut self, key: TargetKey, permits: Permits, asked: Instant, now: Instant) {
        let Some(target) = self.targets.get_mut(&key) else {
            return;
        };
        target.asked = 0;
        // Permits and the appointment belong to the rate at the time of the ask.
        if asked < target.changed {
            return;
        }
        let granted = (0..permits.count).map(|_| asked + PERMIT_TTL);
        target.permits.extend(granted);
        target.expire(now);
        target.ask_after = now + permits.wait;
        if let Some(rate) = target.rate {
            target.interval = permits.wait.max(issuer::permit_interval(rate));
        }
    }

    /// Records that the issuer did not answer an ask.
    pub(crate) fn ask_failed(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.asked = 0;
            target.ask_after = now + ASK_RETRY;
        }
    }

    /// Earliest time at which a permit for one of `targets` may be had or asked for.
    pub(crate) fn next_permit(&self, targets: &[ProbeTarget], now: Instant) -> Option<Instant> {
        let known = targets.iter().filter_map(|t| self.targets.get(&t.key));
        known.map(|t| t.next_permit(now)).min()
    }

    /// Expected time until one of `targets` takes a request with `ahead` requests before it: those
    /// with a limit by their permits, and `others`, each of which takes its next request at a time
    /// and then one in each interval.
    pub(crate) fn expected_wait(
        &self,
        targets: &[ProbeTarget],
        others: &[(Instant, Duration)],
        ahead: usize,
        now: Instant,
    ) -> Duration {
        let known = targets.iter().filter_map(|t| self.targets.get(&t.key));
        let known = known.map(|t| (t.next_permit(now), t.interval));
        let mut next: Vec<_> = known.chain(others.iter().copied()).collect();
        let mut at = now;
        for _ in 0..=ahead {
            let Some((earliest, interval)) = next.iter_mut().min_by_key(|(at, _)| *at) else {
                break;
            };
            at = *earliest;
            *earliest += *interval;
        }
        at.saturating_duration_since(now)
    }

    /// Requests sent to each limited target since the last call.
    pub(crate) fn take_sent(&mut self) -> Vec<(SmolStr, Rate, u32)> {
        let targets = self.targets.values_mut();
        let sent = targets.filter_map(|t| {
            let sent = std::mem::take(&mut t.sent);
            Some((t.target.name.clone(), t.rate.filter(|_| sent > 0)?, sent))
        });
        sent.collect()
    }

    /// Lifts limits that answers no longer state, and returns their targets. Forgets targets that
    /// are gone, and limits that were lifted long ago.
    pub(crate) fn settle(
        &mut self,
        is_known: impl Fn(TargetKey) -> bool,
        now: Instant,
    ) -> Vec<ProbeTarget> {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= LIFT_DELAY;
        let targets = self.targets.values_mut();
        let lifted = targets.filter_map(|t| {
            let since = t.unstated.filter(|since| is_over(*since))?;
            t.set(None, since, now).then(|| t.target.clone())
        });
        let lifted = lifted.collect();
        self.targets.retain(|key, t| {
            let is_remembered = now.saturating_duration_since(t.changed) < LIFTED_MEMORY;
            is_known(*key) && (t.rate.is_some() || is_remembered)
        });
        lifted
    }
}

fn statement(limit: &TargetLimit, now: Instant) -> Statement {
    let age = now.saturating_duration_since(limit.stated).as_millis();
    Statement {
        target: limit.target.name.clone(),
        rate: limit.rate,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
