//! Retry budgets, so that an outage is not multiplied.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::ident::digest;

/// Retries earned by one first try.
const EARNED: f64 = 0.1;

/// Most retries saved up by an account.
const SAVED_MAX: f64 = 100.0;

/// Retries that an account has before it earned any, and regains while it is quiet.
const RESERVE: f64 = 3.0;

/// Time in which a quiet account regains one retry of its reserve.
const REGAIN: Duration = Duration::from_secs(30);

/// How many times an account's bounds a whole service may use.
const SERVICE_FACTOR: f64 = 16.0;

/// Shards, each with a lock.
const SHARDS: usize = 16;

/// Purses per shard at which idle ones are first removed.
const SHARD_SWEEP: usize = 256;

/// Time after which an unused purse is as good as a new one.
const IDLE: Duration = Duration::from_secs(300);

/// Retry tokens by account and by service.
#[derive(Debug)]
pub struct Budget {
    accounts: [Mutex<Shard>; SHARDS],
    services: Mutex<IndexMap<SmolStr, Purse>>,
}

#[derive(Debug)]
struct Shard {
    purses: IndexMap<u128, Purse>,
    sweep_at: usize,
}

#[derive(Clone, Copy, Debug)]
struct Purse {
    tokens: f64,
    scale: f64,
    at: Instant,
}

impl Budget {
    /// A budget in which nobody has earned anything yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            accounts: std::array::from_fn(|_| Mutex::new(Shard::new())),
            services: Mutex::default(),
        }
    }

    /// Counts a first try, or an attempt that made progress: it earns a tenth of a retry.
    pub fn earn(&self, account: &str, service: &str, now: Instant) {
        self.with_account(account, service, now, |purse| purse.earn());
        self.with_service(service, now, |purse| purse.earn());
    }

    /// Takes one retry; false when the account's or the service's budget is used up.
    #[must_use]
    pub fn try_take(&self, account: &str, service: &str, now: Instant) -> bool {
        if !self.with_account(account, service, now, Purse::take) {
            return false;
        }
        let taken = self.with_service(service, now, Purse::take);
        if !taken {
            self.with_account(account, service, now, |purse| purse.tokens += 1.0);
        }
        taken
    }

    fn with_account<T>(
        &self,
        account: &str,
        service: &str,
        now: Instant,
        act: impl FnOnce(&mut Purse) -> T,
    ) -> T {
        let key = digest(&[account, service]);
        let mut shard = self.accounts[key as usize % SHARDS].lock();
        shard.sweep(now);
        let purses = &mut shard.purses;
        let purse = purses.entry(key).or_insert_with(|| Purse::new(1.0, now));
        purse.regain(now);
        act(purse)
    }

    fn with_service<T>(&self, service: &str, now: Instant, act: impl FnOnce(&mut Purse) -> T) -> T {
        let mut services = self.services.lock();
        let purse = services
            .entry(service.into())
            .or_insert_with(|| Purse::new(SERVICE_FACTOR, now));
        purse.regain(now);
        act(purse)
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Shard {
    fn new() -> Self {
        Self {
            purses: IndexMap::new(),
            sweep_at: SHARD_SWEEP,
        }
    }

    /// Removes idle purses each time that the shard has doubled.
    fn sweep(&mut self, now: Instant) {
        if self.purses.len() < self.sweep_at {
            return;
        }
        self.purses.retain(|_, purse| purse.at + IDLE > now);
        self.sweep_at = SHARD_SWEEP.max(self.purses.len() * 2);
    }
}

impl Purse {
    fn new(scale: f64, now: Instant) -> Self {
        Self {
            tokens: RESERVE * scale,
            scale,
            at: now,
        }
    }

    fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(SAVED_MAX * self.scale);
    }

    fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn regain(&mut self, now: Instant) {
        let reserve = RESERVE * self.scale;
        let quiet = now.saturating_duration_since(self.at).as_secs_f64();
        let gained = quiet / REGAIN.as_secs_f64() * self.scale;
        if self.tokens < reserve {
            self.tokens = (self.tokens + gained).min(reserve);
        }
        self.at = self.at.max(now);
    }
}
