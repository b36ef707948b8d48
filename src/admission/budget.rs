//! Retry budgets, which keep retries from multiplying the load during an outage.
//!
//! Each account has a token bucket for each service, and the service has one for all accounts
//! together. A first attempt adds a fraction of a token; a retry takes a whole one from both
//! buckets.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::ident::digest;

/// Tokens added by one first attempt.
const TOKENS_PER_ATTEMPT: f64 = 0.1;

/// Maximum number of tokens in an account's bucket.
const TOKENS_MAX: f64 = 100.0;

/// Tokens in a new account's bucket. An idle account's bucket is refilled up to this number.
const INITIAL_TOKENS: f64 = 3.0;

/// Time in which an idle account's bucket is refilled by one token.
const REFILL_PERIOD: Duration = Duration::from_secs(30);

/// Limits of a service's bucket, as a multiple of those of an account's.
const SERVICE_FACTOR: f64 = 16.0;

/// Number of shards, each with its own lock.
const SHARDS: usize = 16;

/// Minimum number of buckets in a shard before idle ones are removed.
const SWEEP_MIN: usize = 256;

/// Time after which an unused bucket is removed. An empty one has been refilled by then, so a new
/// one can take its place.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Retry tokens by account and service.
#[derive(Debug)]
pub struct RetryBudget {
    accounts: [Mutex<Shard>; SHARDS],
    services: Mutex<IndexMap<SmolStr, Bucket>>,
}

#[derive(Debug)]
struct Shard {
    buckets: IndexMap<u128, Bucket>,
    sweep_at: usize,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    scale: f64,
    updated: Instant,
}

impl RetryBudget {
    /// Creates a budget without any accounts or services.
    #[must_use]
    pub fn new() -> Self {
        Self {
            accounts: std::array::from_fn(|_| Mutex::new(Shard::new())),
            services: Mutex::default(),
        }
    }

    /// Counts a first attempt, or an attempt that made progress: it adds a tenth of a token.
    pub fn deposit(&self, account: &str, service: &str, now: Instant) {
        self.with_account(account, service, now, |bucket| bucket.deposit());
        self.with_service(service, now, |bucket| bucket.deposit());
    }

    /// Takes a token for one retry; returns false if the account's or the service's bucket is
    /// empty.
    #[must_use]
    pub fn try_withdraw(&self, account: &str, service: &str, now: Instant) -> bool {
        if !self.with_account(account, service, now, Bucket::withdraw) {
            return false;
        }
        let taken = self.with_service(service, now, Bucket::withdraw);
        if !taken {
            self.with_account(account, service, now, |bucket| bucket.tokens += 1.0);
        }
        taken
    }

    fn with_account<T>(
        &self,
        account: &str,
        service: &str,
        now: Instant,
        update: impl FnOnce(&mut Bucket) -> T,
    ) -> T {
        let key = digest(&[account, service]);
        let mut shard = self.accounts[key as usize % SHARDS].lock();
        shard.sweep(now);
        let buckets = &mut shard.buckets;
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::new(1.0, now));
        bucket.refill(now);
        update(bucket)
    }

    fn with_service<T>(
        &self,
        service: &str,
        now: Instant,
        update: impl FnOnce(&mut Bucket) -> T,
    ) -> T {
        let mut services = self.services.lock();
        let bucket = services
            .entry(service.into())
            .or_insert_with(|| Bucket::new(SERVICE_FACTOR, now));
        bucket.refill(now);
        update(bucket)
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl Shard {
    fn new() -> Self {
        Self {
            buckets: IndexMap::new(),
            sweep_at: SWEEP_MIN,
        }
    }

    /// Removes idle buckets each time that the shard has doubled in size.
    fn sweep(&mut self, now: Instant) {
        if self.buckets.len() < self.sweep_at {
            return;
        }
        self.buckets
            .retain(|_, bucket| bucket.updated + IDLE_TIMEOUT > now);
        self.sweep_at = SWEEP_MIN.max(self.buckets.len() * 2);
    }
}

impl Bucket {
    fn new(scale: f64, now: Instant) -> Self {
        Self {
            tokens: INITIAL_TOKENS * scale,
            scale,
            updated: now,
        }
    }

    fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ATTEMPT).min(TOKENS_MAX * self.scale);
    }

    fn withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    fn refill(&mut self, now: Instant) {
        let initial = INITIAL_TOKENS * self.scale;
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let refilled = elapsed / REFILL_PERIOD.as_secs_f64() * self.scale;
        if self.tokens < initial {
            self.tokens = (self.tokens + refilled).min(initial);
        }
        self.updated = self.updated.max(now);
    }
}
