//! This instance's part of the retries that all instances may make together.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

/// Parts that a window is counted in.
const PARTS: u64 = 10;

/// Buckets kept: a window that ends within one part begins within an eleventh.
const BUCKETS: u64 = PARTS + 1;

/// Part of the allowance that is used, for windows that begin elsewhere than the buckets and for
/// requests counted here that did not reach the service's count.
const USED_PART: f64 = 0.8;

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

/// Counts requests and retries of each service over a sliding window.
#[derive(Debug)]
pub(crate) struct Retries {
    allowance: Allowance,
    base: Instant,
    services: IndexMap<SmolStr, [Bucket; BUCKETS as usize]>,
}

impl Retries {
    pub(crate) fn new(allowance: Allowance, base: Instant) -> Self {
        Self {
            allowance,
            base,
            services: IndexMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub(crate) fn request(&mut self, service: &SmolStr, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes a retry; `false` when this instance's part is spent. `members` is the number of
    /// instances that share the slack.
    pub(crate) fn take(&mut self, service: &SmolStr, members: usize, now: Instant) -> bool {
        let oldest = self.number(now).saturating_sub(BUCKETS - 1);
        self.bucket(service, now);
        let buckets = self.services[service].iter();
        let fresh = buckets.filter(|b| b.number >= oldest);
        let (requests, retries) = fresh.fold((0, 0), |(requests, retries), b| {
            (requests + b.requests, retries + b.retries)
        });
        let slack = self.allowance.slack / members.max(1) as f64;
        let most = USED_PART * (self.allowance.ratio * f64::from(requests) + slack);
        let taken = f64::from(retries) + 1.0 <= most;
        if taken {
            self.bucket(service, now).retries += 1;
        }
        taken
    }

    fn number(&self, now: Instant) -> u64 {
        let width = self.allowance.window.as_millis().max(1) / u128::from(PARTS);
        let since = now.saturating_duration_since(self.base).as_millis();
        // Numbers begin at 1, since an unused bucket has 0.
        (since / width.max(1)) as u64 + 1
    }

    fn bucket(&mut self, service: &SmolStr, now: Instant) -> &mut Bucket {
        let number = self.number(now);
        let buckets = self.services.entry(service.clone()).or_default();
        let bucket = &mut buckets[(number % BUCKETS) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
