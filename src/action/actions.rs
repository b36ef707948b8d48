//! Entry point for calls of plain services at one instance, and the state its attempts share.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use http::uri::PathAndQuery;
use parking_lot::Mutex;
use smol_str::SmolStr;

use super::attempt::Attempt;
use super::breaker::CircuitBreaker;
use super::cache::ClaimCache;
use super::deferred::DeferredWriter;
use super::in_flight::{InFlight, Join, Leader, follow};
use super::rate_limiter::RateLimiter;
use super::verdict::into_result;
use super::{
    Call, ChooseTarget, Hook, Limits, LiveInstances, Outcome, Retention, Sweeper, Verdict,
};
use crate::admission::RetryBudget;
use crate::config::Repeat;
use crate::failure::Failure;
use crate::http::Client as Http;
use crate::platform::{Client, Error};

/// Maximum length of an idempotency key in bytes.
pub(crate) const MAX_KEY_LENGTH: usize = 255;

/// Interval at which [`Actions::wait_idle`] checks for running work.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs calls of plain services for one instance.
#[derive(Clone)]
pub struct Actions {
    pub(crate) inner: Arc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) name: SmolStr,
    pub(crate) platform: Client,
    pub(crate) choose: ChooseTarget,
    pub(crate) limits: Limits,
    pub(crate) hook: Option<Hook>,
    pub(crate) deferred: DeferredWriter,
    running: AtomicUsize,
    end: OnceLock<Box<EndFn>>,
    in_flight: InFlight,
    rate_limiter: Mutex<RateLimiter>,
    breaker: Mutex<CircuitBreaker>,
    pub(crate) cache: ClaimCache,
    pub(crate) http: Http,
    pub(crate) budget: RetryBudget,
}

/// Returns the time by which actions must end, once there is one.
type EndFn = dyn Fn() -> Option<Instant> + Send + Sync;

impl Inner {
    /// Time from which on no action that takes up to `timeout` may be sent.
    pub(crate) fn last_send(&self, timeout: Duration) -> Option<Instant> {
        let end = self.end.get().and_then(|end| end())?;
        Some(end.checked_sub(timeout).unwrap_or_else(Instant::now))
    }

    /// Admits one new action, or returns how long to wait while the platform is unreachable or
    /// limits writes.
    pub(crate) fn admit(&self) -> Result<(), Duration> {
        let now = Instant::now();
        self.breaker.lock().admit(now)?;
        self.rate_limiter.lock().admit(now)
    }

    /// Records the result of a platform call.
    pub(crate) fn observe<T>(&self, result: &Result<T, Error>) {
        let now = Instant::now();
        let unreachable = matches!(result, Err(Error::Unavailable(_) | Error::Unknown(_)));
        self.breaker.lock().record(!unreachable, now);
        if matches!(result, Err(Error::Throttled(_))) {
            self.rate_limiter.lock().record_refusal(now);
        }
    }
}

impl fmt::Debug for Actions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Actions({})", self.inner.name)
    }
}

impl Actions {
    /// Creates the actions of the instance `name`, whose claims are stored at `platform`.
    #[must_use]
    pub fn new(name: SmolStr, platform: Client, choose: ChooseTarget, limits: Limits) -> Self {
        Self::with_hook(name, platform, choose, limits, None)
    }

    /// Same as [`Self::new`], with a hook that is awaited at each point of each attempt.
    #[must_use]
    pub fn with_hook(
        name: SmolStr,
        platform: Client,
        choose: ChooseTarget,
        limits: Limits,
        hook: Option<Hook>,
    ) -> Self {
        let inner = Inner {
            name,
            deferred: DeferredWriter::new(platform.clone()),
            running: AtomicUsize::new(0),
            end: OnceLock::new(),
            in_flight: InFlight::default(),
            rate_limiter: Mutex::new(RateLimiter::new(Instant::now())),
            breaker: Mutex::new(CircuitBreaker::new(Instant::now())),
            platform,
            choose,
            limits,
            hook,
            cache: ClaimCache::default(),
            http: Http::new(),
            budget: RetryBudget::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sets the end of the process, which is unknown until it shuts down: no action is sent that
    /// may have no response by then.
    pub fn set_end(&self, end: impl Fn() -> Option<Instant> + Send + Sync + 'static) {
        let _ = self.inner.end.set(Box::new(end));
    }

    /// Number of running attempts, including those whose caller has disconnected, and of deferred
    /// writes. A graceful stop waits until it is 0.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.inner.running.load(Ordering::Relaxed) + self.inner.deferred.pending()
    }

    /// Waits until no attempt runs and no deferred write is pending.
    pub async fn wait_idle(&self) {
        while self.pending() > 0 {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Creates a sweeper for the claims at the same platform; it covers the partitions that are
    /// assigned to this instance among the `live` ones.
    #[must_use]
    pub fn sweeper(&self, retention: Retention, live: LiveInstances) -> Sweeper {
        let inner = &self.inner;
        let choose = Arc::clone(&inner.choose);
        Sweeper::new(
            inner.name.clone(),
            inner.platform.clone(),
            retention,
            live,
            choose,
        )
    }

    /// Runs a call. A non-repeatable one runs to completion even if its caller disconnects.
    ///
    /// # Errors
    /// When there is no response from the service; the failure states whether the action may have
    /// run.
    pub async fn run(&self, call: Call) -> Result<Outcome, Failure> {
        check_path(&call.path)?;
        if call.repeat == Repeat::Safe {
            return self.run_safe(call).await;
        }
        let key = check_key(call.key.as_deref())?;
        let deadline = call.deadline;
        let attempt = Attempt::new(Arc::clone(&self.inner), call, key);
        match self.inner.in_flight.join(attempt.name(), attempt.digest()) {
            Join::Lead(leader) => self.lead(attempt, leader).await,
            Join::Follow(result) => follow(result, deadline).await,
            Join::Reused => into_result(Verdict::KeyReused),
        }
    }

    /// Runs an attempt in its own task, so that it survives a disconnecting caller.
    async fn lead(&self, attempt: Attempt, leader: Leader) -> Result<Outcome, Failure> {
        self.inner.running.fetch_add(1, Ordering::Relaxed);
        let inner = Arc::clone(&self.inner);
        let task = tokio::spawn(async move {
            let result = attempt.run().await;
            leader.publish(&result);
            inner.running.fetch_sub(1, Ordering::Relaxed);
            result
        });
        let lost = |_| Failure::unknown("internal", "the attempt's task ended unexpectedly");
        task.await.unwrap_or_else(|e| Err(lost(e)))
    }
}

fn check_path(path: &str) -> Result<(), Failure> {
    match path.parse::<PathAndQuery>() {
        Ok(_) if path.starts_with('/') => Ok(()),
        _ => Err(Failure::not_run(
            400,
            "path_invalid",
            "the path is not a valid HTTP path",
        )),
    }
}

fn check_key(key: Option<&str>) -> Result<SmolStr, Failure> {
    let allowed = |key: &str| key.bytes().all(|b| b.is_ascii_graphic());
    match key {
        None | Some("") => Err(Failure::not_run(
            400,
            "key_missing",
            "this route requires an Idempotency-Key, since its calls must not be repeated",
        )),
        Some(key) if key.len() > MAX_KEY_LENGTH || !allowed(key) => Err(Failure::not_run(
            400,
            "key_invalid",
            "an Idempotency-Key must have 1 to 255 printable ASCII characters without spaces",
        )),
        Some(key) => Ok(key.into()),
    }
}
