//! The calls of one instance, and what its tries share.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::uri::PathAndQuery;
use parking_lot::Mutex;
use smol_str::SmolStr;

use super::attempt::Attempt;
use super::breaker::Breaker;
use super::flights::{Flights, Join, Lead, follow};
use super::pace::Pace;
use super::recent::Recent;
use super::settle::Settler;
use super::verdict::answer;
use super::{Call, Choose, Hook, Live, Outcome, Retention, Rules, Sweeper, Verdict};
use crate::admission::RetryBudget;
use crate::config::Repeat;
use crate::failure::Failure;
use crate::http::Client as Http;
use crate::platform::{Client, Error};

/// Most characters of an idempotency key.
pub(crate) const KEY_LIMIT: usize = 255;

/// Time between two looks whether all is settled.
const SETTLE_TICK: Duration = Duration::from_millis(20);

/// Calls of plain services by one instance.
#[derive(Clone)]
pub struct Actions {
    pub(crate) inner: Arc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) name: SmolStr,
    pub(crate) platform: Client,
    pub(crate) choose: Choose,
    pub(crate) rules: Rules,
    pub(crate) hook: Option<Hook>,
    pub(crate) settler: Settler,
    running: AtomicUsize,
    flights: Flights,
    pace: Mutex<Pace>,
    breaker: Mutex<Breaker>,
    pub(crate) recent: Recent,
    pub(crate) http: Http,
    pub(crate) budget: RetryBudget,
}

impl Inner {
    /// Admits one new action to the platform.
    pub(crate) fn admit(&self) -> Result<(), Duration> {
        let now = Instant::now();
        self.breaker.lock().admit(now)?;
        self.pace.lock().admit(now)
    }

    /// Takes in how a call of the platform ended.
    pub(crate) fn observe<T>(&self, result: &Result<T, Error>) {
        let now = Instant::now();
        let down = matches!(result, Err(Error::Unavailable(_) | Error::Unknown(_)));
        self.breaker.lock().record(!down, now);
        if matches!(result, Err(Error::Throttled(_))) {
            self.pace.lock().refuse(now);
        }
    }
}

impl fmt::Debug for Actions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Actions({})", self.inner.name)
    }
}

impl Actions {
    /// Calls by the instance `name`, with claims at `platform`.
    #[must_use]
    pub fn new(name: SmolStr, platform: Client, choose: Choose, rules: Rules) -> Self {
        Self::with_hook(name, platform, choose, rules, None)
    }

    /// The same, with a hook that is awaited at each point of each try.
    #[must_use]
    pub fn with_hook(
        name: SmolStr,
        platform: Client,
        choose: Choose,
        rules: Rules,
        hook: Option<Hook>,
    ) -> Self {
        let inner = Inner {
            name,
            settler: Settler::new(platform.clone()),
            running: AtomicUsize::new(0),
            flights: Flights::default(),
            pace: Mutex::new(Pace::new(Instant::now())),
            breaker: Mutex::new(Breaker::new(Instant::now())),
            platform,
            choose,
            rules,
            hook,
            recent: Recent::default(),
            http: Http::new(),
            budget: RetryBudget::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Number of tries that run, their callers there or not, and of claims that are still being
    /// settled in the background. A graceful stop waits for 0.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.inner.running.load(Ordering::Relaxed) + self.inner.settler.pending()
    }

    /// Waits until nothing is unsettled.
    pub async fn settled(&self) {
        while self.unsettled() > 0 {
            tokio::time::sleep(SETTLE_TICK).await;
        }
    }

    /// A sweeper of the claims at the same platform, for the part that falls to this instance
    /// among those that are `live`.
    #[must_use]
    pub fn sweeper(&self, retention: Retention, live: Live) -> Sweeper {
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

    /// Makes a call. A non-repeatable one goes on to its end when its caller goes away.
    ///
    /// # Errors
    /// When there is no answer of the service; the failure says what is certain.
    pub async fn run(&self, call: Call) -> Result<Outcome, Failure> {
        check_path(&call.path)?;
        if call.repeat == Repeat::Safe {
            return self.run_safe(call).await;
        }
        let key = check_key(call.key.as_deref())?;
        let deadline = call.deadline;
        let one = Attempt::new(Arc::clone(&self.inner), call, key);
        match self.inner.flights.join(one.name(), one.digest()) {
            Join::Lead(lead) => self.lead(one, lead).await,
            Join::Follow(told) => follow(told, deadline).await,
            Join::Reused => answer(Verdict::KeyReused),
        }
    }

    /// Runs a try in a task of its own, since its caller may go away.
    async fn lead(&self, one: Attempt, lead: Lead) -> Result<Outcome, Failure> {
        self.inner.running.fetch_add(1, Ordering::Relaxed);
        let inner = Arc::clone(&self.inner);
        let task = tokio::spawn(async move {
            let told = one.run().await;
            lead.tell(&told);
            inner.running.fetch_sub(1, Ordering::Relaxed);
            told
        });
        let lost = |_| Failure::unknown("internal", "the try was cut off inside the instance");
        task.await.unwrap_or_else(|e| Err(lost(e)))
    }
}

fn check_path(path: &str) -> Result<(), Failure> {
    match path.parse::<PathAndQuery>() {
        Ok(_) if path.starts_with('/') => Ok(()),
        _ => Err(Failure::not_run(
            400,
            "path_invalid",
            "the path is not a valid one",
        )),
    }
}

fn check_key(key: Option<&str>) -> Result<SmolStr, Failure> {
    let allowed = |key: &str| key.bytes().all(|b| b.is_ascii_graphic());
    match key {
        None | Some("") => Err(Failure::not_run(
            400,
            "key_missing",
            "this route needs an Idempotency-Key, since its calls must not be repeated",
        )),
        Some(key) if key.len() > KEY_LIMIT || !allowed(key) => Err(Failure::not_run(
            400,
            "key_invalid",
            "an Idempotency-Key has 1 to 255 printable ASCII characters without spaces",
        )),
        Some(key) => Ok(key.into()),
    }
}
