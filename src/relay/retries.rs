//! This instance's part of the retries that all instances may make together.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ident::fraction;
use crate::peer::SMALL_FLEET;

/// Parts that a window is counted in.
const PARTS: u64 = 10;

/// Buckets kept: a window that ends within one part begins within an eleventh.
const BUCKETS: u64 = PARTS + 1;

/// Part of the allowance that is used, for windows that begin elsewhere than the buckets and for
/// requests counted here that did not reach the service's count.
const USED_PART: f64 = 0.8;

/// The same for an instance of a large fleet that does not know the fleet's sums. There each
/// counts few requests, and those that earned the retries of different instances lie up to two
/// windows apart.
const USED_APART: f64 = 0.5;

/// Part of what is left of the fleet's retries that instances take by themselves; the rest is lent
/// to those that need more than their own.
const OWN_PART: f64 = 0.5;

/// Parts of a window that the fleet's sums may lack: what was taken in the present one and the one
/// before it.
const UNSEEN: u64 = 2;

/// Age at which the fleet's sums say nothing any more.
const SHARED_LIFE: Duration = Duration::from_secs(1);

/// Requests for a service and retries among them, within the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    pub(crate) service: SmolStr,
    pub(crate) requests: u32,
    pub(crate) retries: u32,
}

/// The sums of all instances that report.
#[derive(Debug)]
struct Shared {
    usage: Vec<Usage>,
    members: usize,
    /// Part of the instances that are known which report.
    reporting: f64,
    at: Instant,
}

/// What all instances may spend together.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that, of all instances together.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

type Counts = IndexMap<SmolStr, [Bucket; BUCKETS as usize]>;

/// Counts requests and retries of each service over a sliding window.
#[derive(Debug)]
pub(crate) struct Retries {
    allowance: Allowance,
    base: Instant,
    services: Counts,
    /// What this instance has lent to others.
    lent: Counts,
    shared: Option<Shared>,
    /// Sets the instances apart that may take the last retries.
    salt: u64,
}

impl Retries {
    pub(crate) fn new(allowance: Allowance, base: Instant) -> Self {
        Self {
            allowance,
            base,
            services: IndexMap::new(),
            lent: IndexMap::new(),
            shared: None,
            salt: 0,
        }
    }

    /// The same with another draw of who may take the last retries.
    pub(crate) fn salted(self, salt: u64) -> Self {
        Self { salt, ..self }
    }

    /// Takes the sums of the `members` instances that report, of `known` in the fleet.
    pub(crate) fn share(&mut self, usage: Vec<Usage>, members: u32, known: usize, now: Instant) {
        let members = members.max(1) as usize;
        self.shared = Some(Shared {
            usage,
            members,
            reporting: (members as f64 / known.max(1) as f64).min(1.0),
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

    /// Counts a request of a caller.
    pub(crate) fn request(&mut self, service: &SmolStr, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes a retry; `false` when this instance's part is spent. `members` is the number of
    /// instances that share the slack.
    pub(crate) fn take(&mut self, service: &SmolStr, members: usize, now: Instant) -> bool {
        let fresh = |s: &&Shared| now.saturating_duration_since(s.at) < SHARED_LIFE;
        let taken = match self.shared.as_ref().filter(fresh) {
            Some(shared) => {
                let (_, unseen) = self.count(&self.services, service, UNSEEN, now);
                let part = OWN_PART * self.left(shared, service) / shared.members as f64;
                unseen < self.whole(part, service)
            }
            None => {
                let (requests, retries) = self.count(&self.services, service, BUCKETS, now);
                let slack = self.allowance.slack / members.max(1) as f64;
                let used = match members < SMALL_FLEET {
                    true => USED_PART,
                    false => USED_APART,
                };
                let most = used * (self.allowance.ratio * f64::from(requests) + slack);
                f64::from(retries) + 1.0 <= most
            }
        };
        if taken {
            self.took(service, now);
        }
        taken
    }

    /// Counts a retry that was taken, here or from what another instance lends.
    pub(crate) fn took(&mut self, service: &SmolStr, now: Instant) {
        self.bucket(service, now).retries += 1;
    }

    /// Lends a retry to another instance, of the part of the `near` ones that report here.
    pub(crate) fn lend(&mut self, service: &SmolStr, near: usize, now: Instant) -> bool {
        let fresh = |s: &&Shared| now.saturating_duration_since(s.at) < SHARED_LIFE;
        let Some(shared) = self.shared.as_ref().filter(fresh) else {
            return false;
        };
        let (_, unseen) = self.count(&self.lent, service, UNSEEN, now);
        let part = near as f64 / shared.members as f64;
        let most = (1.0 - OWN_PART) * self.left(shared, service) * part.min(1.0);
        let lends = f64::from(unseen) + 1.0 <= most;
        if lends {
            let number = self.number(now);
            bucket(&mut self.lent, service, number).retries += 1;
        }
        lends
    }

    /// What is left of the fleet's retries by its sums.
    fn left(&self, shared: &Shared, service: &SmolStr) -> f64 {
        let usage = shared.usage.iter().find(|u| u.service == *service);
        let (requests, retries) = usage.map_or((0, 0), |u| (u.requests, u.retries));
        let slack = self.allowance.slack * shared.reporting;
        let most = USED_PART * (self.allowance.ratio * f64::from(requests) + slack);
        (most - f64::from(retries)).max(0.0)
    }

    /// A part in whole retries: what is over goes to as many instances as there are retries, always
    /// the same ones, since the others could not know what these took lately.
    fn whole(&self, part: f64, service: &SmolStr) -> u32 {
        let draw = fraction(&format!("{} {service}", self.salt));
        part.trunc() as u32 + u32::from(draw < part.fract())
    }

    /// Requests and retries in the last `parts` parts of the window.
    fn count(&self, counts: &Counts, service: &SmolStr, parts: u64, now: Instant) -> (u32, u32) {
        let oldest = self.number(now).saturating_sub(parts - 1).max(1);
        let held = counts.get(service).into_iter().flatten();
        let fresh = held.filter(|b| b.number >= oldest);
        fresh.fold((0, 0), |(requests, retries), b| {
            (requests + b.requests, retries + b.retries)
        })
    }

    fn number(&self, now: Instant) -> u64 {
        let width = self.allowance.window.as_millis().max(1) / u128::from(PARTS);
        let since = now.saturating_duration_since(self.base).as_millis();
        // Numbers begin at 1, since an unused bucket has 0.
        (since / width.max(1)) as u64 + 1
    }

    fn bucket(&mut self, service: &SmolStr, now: Instant) -> &mut Bucket {
        let number = self.number(now);
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
