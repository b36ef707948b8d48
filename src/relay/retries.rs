//! This instance's share of the fleet-wide retry budget.
//!
//! A retry is admitted by the local share, or by a loan from an aggregator. All instances together
//! stay within the allowance in any window, even though each knows the fleet's usage only with a
//! delay, and what a process spent is unknown once it has ended.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ident::fraction;
use crate::peer::SMALL_FLEET;

/// Number of slices into which a window is divided.
const SLICES: u64 = 10;

/// Number of buckets: a window that ends inside a slice reaches into an eleventh one.
const BUCKETS: u64 = SLICES + 1;

/// Share of the allowance that is spent. The rest covers windows that are not aligned with the
/// buckets, and requests counted here that did not reach the service's own count.
const USABLE_SHARE: f64 = 0.8;

/// Share of the allowance spent by an instance of a large fleet that does not know the fleet's
/// usage. Each such instance counts few requests, and the requests that earned the retries of
/// different instances lie up to two windows apart.
const ISOLATED_SHARE: f64 = 0.5;

/// Share of the allowance spent by an instance in its first window: a process that ended may have
/// spent the rest, and what it spent ended with it.
const RESTARTED_SHARE: f64 = 0.1;

/// Share of the fleet's remaining retries that instances take without asking; the rest is lent to
/// instances that need more than their own share.
const LOCAL_SHARE: f64 = 0.5;

/// Part of the retries that may be spent on runs that may not need them.
const SPARE_SHARE: f64 = 0.5;

/// Number of buckets that the fleet's usage may not include yet: the present one and the one before
/// it.
const LAG_BUCKETS: u64 = 2;

/// Age at which the fleet's usage expires.
const USAGE_TTL: Duration = Duration::from_secs(1);

/// Requests and retries of a service within the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    pub(crate) service: SmolStr,
    pub(crate) requests: u32,
    pub(crate) retries: u32,
}

/// A retry that an instance asks another one for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loan {
    pub(crate) service: SmolStr,
    /// Whether it is for a run that may not need it.
    pub(crate) spare: bool,
}

/// Usage summed over all reporting instances.
#[derive(Debug)]
struct FleetUsage {
    usage: Vec<Usage>,
    members: usize,
    /// Part of the requests that earn retries.
    earning: f64,
    /// Part of the slack that may be spent.
    slack: f64,
    at: Instant,
}

/// Number of instances behind the fleet's usage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Coverage {
    /// Instances that report.
    pub(crate) members: u32,
    /// Those of them whose usage covers a whole window.
    pub(crate) settled: u32,
    /// Known instances.
    pub(crate) known: usize,
}

/// Retry budget of all instances together.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all instances together, independent of the number of requests.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

type Counts = IndexMap<SmolStr, [Bucket; BUCKETS as usize]>;

/// Counts requests and retries by service over a sliding window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    allowance: Allowance,
    base: Instant,
    services: Counts,
    /// Retries lent to other instances.
    lent: Counts,
    fleet: Option<FleetUsage>,
    /// End of the first window of a process that may have had a predecessor.
    settled: Instant,
    /// Seed of the draw by which instances round a fractional share up or down.
    salt: u64,
}

impl RetryBudget {
    pub(crate) fn new(allowance: Allowance, base: Instant) -> Self {
        Self {
            allowance,
            base,
            services: IndexMap::new(),
            lent: IndexMap::new(),
            fleet: None,
            settled: base,
            salt: 0,
        }
    }

    /// Allows for what a predecessor of this process may have spent.
    pub(crate) fn restarted(self) -> Self {
        let settled = self.base + self.allowance.window;
        Self { settled, ..self }
    }

    /// Whether the usage of this instance covers a whole window.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled
    }

    /// Sets the seed for rounding fractional shares.
    pub(crate) fn salted(self, salt: u64) -> Self {
        Self { salt, ..self }
    }

    /// Sets the fleet's usage, summed over the reporting instances.
    pub(crate) fn set_fleet_usage(&mut self, usage: Vec<Usage>, of: Coverage, now: Instant) {
        let members = f64::from(of.members.max(1));
        let settled = f64::from(of.settled).min(members);
        let weight = settled + (members - settled) * RESTARTED_SHARE / USABLE_SHARE;
        self.fleet = Some(FleetUsage {
            usage,
            members: of.members.max(1) as usize,
            earning: weight / members,
            slack: (weight / of.known.max(1) as f64).min(1.0),
            at: now,
        });
    }

    /// Requests and retries of this instance within the window.
    pub(crate) fn usage(&self, now: Instant) -> Vec<Usage> {
        let services = self.services.keys();
        let usage = services.map(|service| {
            let (requests, retries) = self.count(&self.services, service, BUCKETS, now);
            Usage {
                service: service.clone(),
                requests,
                retries,
            }
        });
        usage.filter(|u| u.requests + u.retries > 0).collect()
    }

    /// Counts a caller's request.
    pub(crate) fn record_request(&mut self, service: &SmolStr, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes a retry; `false` when this instance's share is spent. `members` is the number of
    /// instances that share the slack, if it is known.
    pub(crate) fn take(&mut self, service: &SmolStr, members: Option<usize>, now: Instant) -> bool {
        self.take_share(1.0, service, members, now)
    }

    /// Takes a retry unless less than a reserve would remain of this instance's share.
    pub(crate) fn take_spare(
        &mut self,
        service: &SmolStr,
        members: Option<usize>,
        now: Instant,
    ) -> bool {
        self.take_share(SPARE_SHARE, service, members, now)
    }

    /// Whether [`Self::take_spare`] would take a retry.
    pub(crate) fn has_spare(
        &self,
        service: &SmolStr,
        members: Option<usize>,
        now: Instant,
    ) -> bool {
        self.has_share(SPARE_SHARE, service, members, now)
    }

    fn take_share(
        &mut self,
        usable: f64,
        service: &SmolStr,
        members: Option<usize>,
        now: Instant,
    ) -> bool {
        let is_taken = self.has_share(usable, service, members, now);
        if is_taken {
            self.record_retry(service, now);
        }
        is_taken
    }

    fn has_share(
        &self,
        usable: f64,
        service: &SmolStr,
        members: Option<usize>,
        now: Instant,
    ) -> bool {
        let is_fresh = |s: &&FleetUsage| now.saturating_duration_since(s.at) < USAGE_TTL;
        match self.fleet.as_ref().filter(is_fresh) {
            Some(fleet) => {
                let (_, recent) = self.count(&self.services, service, LAG_BUCKETS, now);
                let remaining = self.remaining(usable, fleet, service);
                let share = LOCAL_SHARE * remaining / fleet.members as f64;
                recent < self.round(share, service)
            }
            None => {
                let (requests, retries) = self.count(&self.services, service, BUCKETS, now);
                let slack = members.map_or(0.0, |m| self.allowance.slack / m.max(1) as f64);
                let own = match members {
                    _ if !self.is_settled(now) => RESTARTED_SHARE,
                    Some(members) if members < SMALL_FLEET => USABLE_SHARE,
                    Some(_) | None => ISOLATED_SHARE,
                };
                let limit = usable * own * (self.allowance.ratio * f64::from(requests) + slack);
                f64::from(retries) + 1.0 <= limit
            }
        }
    }

    /// Whether the fleet has retries left for runs that may not need them, so that one may be
    /// borrowed.
    pub(crate) fn may_borrow_spare(&self, service: &SmolStr, now: Instant) -> bool {
        let is_fresh = |s: &&FleetUsage| now.saturating_duration_since(s.at) < USAGE_TTL;
        let fleet = self.fleet.as_ref().filter(is_fresh);
        fleet.is_some_and(|fleet| self.remaining(SPARE_SHARE, fleet, service) >= 1.0)
    }

    /// Counts a retry that was taken from the local share or borrowed.
    pub(crate) fn record_retry(&mut self, service: &SmolStr, now: Instant) {
        self.bucket(service, now).retries += 1;
    }

    /// Lends a retry to another instance. Loans are limited to the share of the `reporters`
    /// instances that report to this aggregator.
    pub(crate) fn lend(&mut self, loan: &Loan, reporters: usize, now: Instant) -> bool {
        let service = &loan.service;
        let usable = match loan.spare {
            true => SPARE_SHARE,
            false => 1.0,
        };
        let is_fresh = |s: &&FleetUsage| now.saturating_duration_since(s.at) < USAGE_TTL;
        let Some(fleet) = self.fleet.as_ref().filter(is_fresh) else {
            return false;
        };
        let (_, recent) = self.count(&self.lent, service, LAG_BUCKETS, now);
        let share = reporters as f64 / fleet.members as f64;
        let limit = (1.0 - LOCAL_SHARE) * self.remaining(usable, fleet, service) * share.min(1.0);
        let is_lent = f64::from(recent) + 1.0 <= limit;
        if is_lent {
            let number = self.bucket_number(now);
            bucket(&mut self.lent, service, number).retries += 1;
        }
        is_lent
    }

    /// Remaining retries of the fleet's `usable` part, by its reported usage.
    fn remaining(&self, usable: f64, fleet: &FleetUsage, service: &SmolStr) -> f64 {
        let usage = fleet.usage.iter().find(|u| u.service == *service);
        let (requests, retries) = usage.map_or((0, 0), |u| (u.requests, u.retries));
        let slack = self.allowance.slack * fleet.slack;
        let earned = self.allowance.ratio * f64::from(requests) * fleet.earning;
        let limit = usable * USABLE_SHARE * (earned + slack);
        (limit - f64::from(retries)).max(0.0)
    }

    /// Rounds a share to an integer. The fractional remainder is given to as many instances as
    /// there are retries in it. These are always the same instances, since others could not know
    /// what they took recently.
    fn round(&self, share: f64, service: &SmolStr) -> u32 {
        let draw = fraction(&format!("{} {service}", self.salt));
        share.trunc() as u32 + u32::from(draw < share.fract())
    }

    /// Requests and retries in the last `slices` slices of the window.
    fn count(&self, counts: &Counts, service: &SmolStr, slices: u64, now: Instant) -> (u32, u32) {
        let oldest = self.bucket_number(now).saturating_sub(slices - 1).max(1);
        let buckets = counts.get(service).into_iter().flatten();
        let recent = buckets.filter(|b| b.number >= oldest);
        recent.fold((0, 0), |(requests, retries), b| {
            (requests + b.requests, retries + b.retries)
        })
    }

    fn bucket_number(&self, now: Instant) -> u64 {
        let width = self.allowance.window.as_millis().max(1) / u128::from(SLICES);
        let since = now.saturating_duration_since(self.base).as_millis();
        // Numbers begin at 1, since an unused bucket has number 0.
        (since / width.max(1)) as u64 + 1
    }

    fn bucket(&mut self, service: &SmolStr, now: Instant) -> &mut Bucket {
        let number = self.bucket_number(now);
        bucket(&mut self.services, service, number)
    }
}

fn bucket<'a>(counts: &'a mut Counts, service: &SmolStr, number: u64) -> &'a mut Bucket {
    let buckets = counts.entry(service.clone()).or_default();
    let bucket = &mut buckets[(number % BUCKETS) as usize];
    if bucket.number != number {
        *bucket = Bucket {
            number,
            ..Bucket::default()
        };
    }
    bucket
}
