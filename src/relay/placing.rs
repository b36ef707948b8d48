//! Places requests at targets that may get them: those without a limit, and those for which this
//! instance has a permit. When all are at their limits or want no requests for a time, requests wait
//! in line or are refused.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::caller_request::CallerRequest;
use super::permits::ASK_TIMEOUT;
use super::relay::{Relay, TargetCriteria};
use crate::ident::TargetKey;
use crate::routing::{Lease, ProbeTarget, RETURN_INTERVAL};

/// Latest time at which a refused caller is told to return. What lies further ahead depends on
/// callers that may not return.
const RETURN_MAX: Duration = Duration::from_secs(10);

/// How long a request may still wait for a target that takes requests again, in all its waits
/// together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    rest: Duration,
    /// Deadline of the request.
    deadline: Instant,
}

impl Patience {
    /// A longer wait than the route's objective would make every request of a full line late.
    pub(crate) fn of(request: &CallerRequest) -> Self {
        Self {
            rest: request.route.latency_objective,
            deadline: request.deadline,
        }
    }

    /// Patience of a request that cannot be refused any more.
    pub(crate) fn of_begun(request: &CallerRequest) -> Self {
        Self {
            rest: Duration::MAX,
            deadline: request.deadline,
        }
    }

    /// Time left until the request's deadline.
    fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Longest wait that begins now.
    fn wait(&self, now: Instant) -> Duration {
        self.rest.min(self.left(now) / 2)
    }

    fn spend(&mut self, time: Duration) {
        self.rest = self.rest.saturating_sub(time);
    }
}

/// Targets that are expected to take a request later.
#[derive(Debug, Default)]
struct LaterTargets {
    /// Those with a limit.
    limited: Vec<ProbeTarget>,
    /// When each of those that want no requests takes its next one.
    returns: Vec<Instant>,
}

impl LaterTargets {
    fn is_empty(&self) -> bool {
        self.limited.is_empty() && self.returns.is_empty()
    }
}

/// Why a request got no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceError {
    /// No target is available.
    Unavailable,
    /// All available targets are at their limits or want no requests; one is expected to take a
    /// request after this time.
    AtLimit(Duration),
}

/// Requests to one service that wait for a permit or for a target to return, in their order of
/// arrival.
#[derive(Debug, Default)]
pub(crate) struct WaitLine {
    head: tokio::sync::Mutex<()>,
    waiting: AtomicUsize,
    /// When the callers that were refused are to return.
    returns: parking_lot::Mutex<VecDeque<Instant>>,
}

/// A place in a [`WaitLine`].
struct Place<'a>(&'a WaitLine);

impl<'a> Place<'a> {
    fn enter(line: &'a WaitLine) -> Self {
        line.waiting.fetch_add(1, Ordering::Relaxed);
        Self(line)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl WaitLine {
    fn len(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Time after which a refused caller is to return. `expected` is the expected wait behind a
    /// number of requests; those that are to return before it are ahead of this one. A caller whose
    /// `left` time is over by then does not return.
    fn return_after(&self, left: Duration, expected: impl Fn(usize) -> Duration) -> Duration {
        let now = Instant::now();
        let mut returns = self.returns.lock();
        while returns.front().is_some_and(|at| *at <= now) {
            returns.pop_front();
        }
        let wait = expected(self.len() + returns.len());
        if wait < left.min(RETURN_MAX) {
            returns.push_back(now + wait);
        }
        // Behind nobody, the wait depends on no other caller.
        wait.min(RETURN_MAX.max(expected(0)))
    }
}

impl Relay {
    /// Chooses a target for a request, among those without a limit and those for which there is a
    /// permit, unless an earlier request waits for it.
    pub(crate) fn choose_now(self: &Arc<Self>, wanted: TargetCriteria<'_>) -> Option<Lease> {
        let is_waited_for = self.wait_line(wanted.service).len() > 0;
        if !is_waited_for && self.limits.lock().is_empty() {
            return self.choose(wanted);
        }
        let limited = self.limited_targets(wanted);
        if is_waited_for {
            let now = Instant::now().into_std();
            let returning = self.router.returning(wanted.service, now);
            let returning = returning.into_iter().map(|(target, _)| target.key);
            let keys = limited.iter().map(|t| t.key).chain(returning);
            let excluded: Vec<_> = wanted.excluded.iter().copied().chain(keys).collect();
            let unlimited = TargetCriteria {
                excluded: &excluded,
                ..wanted
            };
            return self.choose_permitted(unlimited);
        }
        let lease = self.choose_permitted(wanted)?;
        // The next request that would go to a limited target is to find a permit.
        let preferred = self.preferred(wanted);
        let preferred = limited.into_iter().filter(|t| Some(t.key) == preferred);
        self.ask_permits(&preferred.collect::<Vec<_>>(), 1);
        Some(lease)
    }

    /// Chooses a target, among those without a limit and those for which there is a permit.
    fn choose_permitted(&self, wanted: TargetCriteria<'_>) -> Option<Lease> {
        let now = Instant::now().into_std();
        let mut limits = self.limits.lock();
        let blocked = limits.without_permit(now);
        let excluded = [wanted.excluded, &blocked].concat();
        let lease = self.choose(TargetCriteria {
            excluded: &excluded,
            ..wanted
        })?;
        limits.take(lease.key, now).then_some(lease)
    }

    /// Chooses a target for a request, and waits when all available targets are at their limits or
    /// want no requests.
    pub(crate) async fn place(
        self: &Arc<Self>,
        wanted: TargetCriteria<'_>,
        patience: &mut Patience,
    ) -> Result<Lease, PlaceError> {
        if let Some(lease) = self.choose_now(wanted) {
            return Ok(lease);
        }
        let start = Instant::now();
        let placed = self.place_later(wanted, *patience).await;
        patience.spend(start.elapsed());
        placed
    }

    async fn place_later(
        self: &Arc<Self>,
        wanted: TargetCriteria<'_>,
        patience: Patience,
    ) -> Result<Lease, PlaceError> {
        let later = self.later_targets(wanted);
        if later.is_empty() {
            return Err(PlaceError::Unavailable);
        }
        let now = Instant::now();
        let wait = patience.wait(now);
        let deadline = now + wait;
        let line = self.wait_line(wanted.service);
        if self.expected_wait(&later, line.len()) > wait {
            return Err(self.refuse(&line, &later, patience));
        }
        let _place = Place::enter(&line);
        let Ok(_head) = timeout_at(deadline, line.head.lock()).await else {
            return Err(self.refuse(&line, &later, patience));
        };
        loop {
            let changed = self.permits_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(lease) = self.choose_permitted(wanted) {
                return Ok(lease);
            }
            let later = self.later_targets(wanted);
            if later.is_empty() {
                return Err(PlaceError::Unavailable);
            }
            self.ask_permits(&later.limited, line.len() as u32);
            if !self.wait_for_turn(&later, changed, deadline).await {
                return Err(self.refuse(&line, &later, patience));
            }
        }
    }

    /// Waits until a request may be sent to a given target. `false` if there is no permit within
    /// the time of one ask, or if the target wants no requests.
    pub(crate) async fn permit(self: &Arc<Self>, key: TargetKey) -> bool {
        let deadline = Instant::now() + ASK_TIMEOUT;
        loop {
            if self.router.is_quiet(key, Instant::now().into_std()) {
                return false;
            }
            let changed = self.permits_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.limits.lock().take(key, Instant::now().into_std()) {
                return true;
            }
            let Some(target) = self.router.probe_target(key) else {
                return false;
            };
            let target = LaterTargets {
                limited: vec![target],
                returns: Vec::new(),
            };
            self.ask_permits(&target.limited, 1);
            if !self.wait_for_turn(&target, changed, deadline).await {
                return false;
            }
        }
    }

    /// Waits until a permit for one of the targets may be had or asked for, or one of them takes
    /// requests again. `false` if that is not before the deadline.
    async fn wait_for_turn(
        &self,
        later: &LaterTargets,
        changed: impl Future<Output = ()>,
        deadline: Instant,
    ) -> bool {
        let now = Instant::now();
        let permit = self
            .limits
            .lock()
            .next_permit(&later.limited, now.into_std());
        let times = later.returns.iter().copied();
        let next = times.chain(permit.map(Instant::from_std)).min();
        let wake = match next {
            Some(at) if at > now => at,
            // An ask under way is answered, or has failed, by then.
            _ => deadline.min(now + ASK_TIMEOUT),
        };
        if wake > deadline || now >= deadline {
            return false;
        }
        // Woken by a change or by time, the caller looks again.
        let _ = timeout_at(wake, changed).await;
        true
    }

    fn refuse(&self, line: &WaitLine, later: &LaterTargets, patience: Patience) -> PlaceError {
        metrics::counter!("endivefork_limit_refusals_total").increment(1);
        let left = patience.left(Instant::now());
        PlaceError::AtLimit(line.return_after(left, |ahead| self.expected_wait(later, ahead)))
    }

    /// Time after which a request that was refused may be placed; `None` if a target takes requests
    /// now, or if it is not known when one will.
    pub(crate) fn return_time(&self, request: &CallerRequest) -> Option<Duration> {
        let wanted = TargetCriteria {
            service: &request.service,
            ..TargetCriteria::default()
        };
        let later = self.later_targets(wanted);
        let is_later = !later.is_empty() && self.preferred(wanted).is_none();
        let line = self.wait_line(wanted.service);
        let left = request.left(Instant::now());
        is_later.then(|| line.return_after(left, |ahead| self.expected_wait(&later, ahead)))
    }

    fn expected_wait(&self, later: &LaterTargets, ahead: usize) -> Duration {
        let now = Instant::now().into_std();
        let returns = later.returns.iter();
        let returns: Vec<_> = returns
            .map(|at| (at.into_std().max(now), RETURN_INTERVAL))
            .collect();
        let limits = self.limits.lock();
        limits.expected_wait(&later.limited, &returns, ahead, now)
    }

    fn wait_line(&self, service: &str) -> Arc<WaitLine> {
        let mut lines = self.wait_lines.lock();
        Arc::clone(lines.entry(service.into()).or_default())
    }

    /// Targets that a request may use later.
    fn later_targets(&self, wanted: TargetCriteria<'_>) -> LaterTargets {
        let limited = self.limited_targets(wanted);
        let mut returning = self
            .router
            .returning(wanted.service, Instant::now().into_std());
        returning.retain(|(t, _)| {
            !wanted.excluded.contains(&t.key)
                && !wanted.avoid_domains.contains(&t.domain)
                && !limited.iter().any(|l| l.key == t.key)
        });
        let returns = returning.into_iter().map(|(_, at)| Instant::from_std(at));
        LaterTargets {
            returns: returns.collect(),
            limited,
        }
    }

    /// Available targets with a limit that a request may use.
    fn limited_targets(&self, wanted: TargetCriteria<'_>) -> Vec<ProbeTarget> {
        let mut limited = self.limits.lock().limited(wanted.service);
        let now = Instant::now().into_std();
        limited.retain(|t| {
            !wanted.excluded.contains(&t.key)
                && !wanted.avoid_domains.contains(&t.domain)
                && self.router.is_available(t.key, now)
        });
        limited
    }
}
