//! Places requests at targets that may get them: those without a limit, and those for which this
//! instance has a permit. When all are at their limits or want no requests for a time, requests wait
//! in line, in the order of [`WaitOrder`], or are refused.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::caller_request::CallerRequest;
use super::permits::ASK_TIMEOUT;
use super::priority::Priority;
use super::record::count_placement;
use super::relay::{Relay, TargetCriteria};
use super::wait_order::{WaitOrder, Waiting};
use crate::ident::TargetKey;
use crate::routing::{Lease, ProbeTarget, RETURN_INTERVAL};

/// Latest time at which a refused caller is told to return. What lies further ahead depends on
/// callers that may not return.
const RETURN_MAX: Duration = Duration::from_secs(10);

/// How long a request may still wait for a target that takes requests again, in all its waits
/// together, and how urgent it is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    rest: Duration,
    /// Deadline of the request.
    deadline: Instant,
    priority: Priority,
    has_begun: bool,
}

impl Patience {
    /// A longer wait than the route's objective would make every request of a full line late.
    pub(crate) fn of(request: &CallerRequest) -> Self {
        Self {
            rest: request.route.latency_objective,
            deadline: request.deadline,
            priority: request.priority,
            has_begun: false,
        }
    }

    /// Patience of a request that cannot be refused any more.
    pub(crate) fn of_begun(request: &CallerRequest) -> Self {
        Self {
            rest: Duration::MAX,
            has_begun: true,
            ..Self::of(request)
        }
    }

    /// Time left until the request's deadline.
    fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Longest wait that begins now.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        self.rest.min(self.left(now) / 2)
    }

    /// The request as it begins to wait.
    fn waiting(&self, now: Instant) -> Waiting {
        Waiting {
            priority: self.priority,
            since: now.into_std(),
            has_begun: self.has_begun,
        }
    }

    pub(crate) fn spend(&mut self, time: Duration) {
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

/// Requests to one service that wait for a permit or for a target to return.
#[derive(Debug, Default)]
pub(crate) struct WaitLine {
    order: Mutex<WaitOrder>,
    /// Wakes each request that waits, by its number.
    wakes: Mutex<IndexMap<u64, Arc<Notify>>>,
    /// When the callers that were refused are to return, and the priorities of their requests.
    returns: Mutex<Vec<(Instant, Priority)>>,
}

/// A place in a [`WaitLine`].
struct Place<'a> {
    line: &'a WaitLine,
    number: u64,
    wake: Arc<Notify>,
    is_placed: bool,
}

impl<'a> Place<'a> {
    fn enter(line: &'a WaitLine, request: Waiting) -> Self {
        let number = line.order.lock().enter(request);
        let wake = Arc::new(Notify::new());
        line.wakes.lock().insert(number, Arc::clone(&wake));
        // The last one may have no chance any more behind this one.
        let last = line.order.lock().last(Instant::now().into_std());
        line.wake(last.filter(|last| *last != number));
        Self {
            line,
            number,
            wake,
            is_placed: false,
        }
    }

    /// Whether it is this request's turn. If it is another's, that one is woken.
    fn is_first(&self) -> bool {
        let first = self.line.order.lock().first(Instant::now().into_std());
        let is_first = first == Some(self.number);
        self.line.wake(first.filter(|_| !is_first));
        is_first
    }

    fn ahead(&self) -> usize {
        let order = self.line.order.lock();
        order.ahead_of(self.number, Instant::now().into_std())
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now = Instant::now().into_std();
        self.line.wakes.lock().swap_remove(&self.number);
        let first = {
            let mut order = self.line.order.lock();
            order.leave(self.number, self.is_placed, now);
            order.first(now)
        };
        self.line.wake(first);
    }
}

impl WaitLine {
    fn len(&self) -> usize {
        self.order.lock().len()
    }

    /// Number of requests before one that would arrive now.
    fn ahead(&self, request: &Waiting) -> usize {
        self.order.lock().ahead(request, request.since)
    }

    fn wake(&self, number: Option<u64>) {
        let wakes = self.wakes.lock();
        if let Some(wake) = number.and_then(|n| wakes.get(&n)) {
            wake.notify_one();
        }
    }

    /// Time after which a refused caller is to return. `expected` is the expected wait behind a
    /// number of requests; those as urgent that are to return before it are ahead of this one. A
    /// caller whose time is over by then does not return.
    fn return_after(&self, patience: Patience, expected: impl Fn(usize) -> Duration) -> Duration {
        let now = Instant::now();
        let mut returns = self.returns.lock();
        returns.retain(|(at, _)| *at > now);
        let before = returns.iter().filter(|(_, p)| *p <= patience.priority);
        let wait = expected(self.ahead(&patience.waiting(now)) + before.count());
        if wait < patience.left(now).min(RETURN_MAX) {
            returns.push((now + wait, patience.priority));
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
        let waiting = patience.waiting(now);
        // One that has begun rises in line as it waits.
        if !waiting.has_begun && self.expected_wait(&later, line.ahead(&waiting)) > wait {
            let mut order = line.order.lock();
            order.record(patience.priority, false, waiting.since);
            drop(order);
            return Err(self.refuse(&line, &later, patience));
        }
        let mut place = Place::enter(&line, waiting);
        loop {
            if !place.is_first() {
                let is_woken = timeout_at(deadline, place.wake.notified()).await.is_ok();
                let later = self.later_targets(wanted);
                let left = deadline.saturating_duration_since(Instant::now());
                let stays = patience.has_begun || self.may_be_placed(&place, &later, left);
                if !is_woken || !stays {
                    return Err(self.refuse(&line, &later, patience));
                }
                continue;
            }
            let changed = self.permits_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(lease) = self.choose_permitted(wanted) {
                place.is_placed = true;
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

    /// Whether the turn of a request that waits is expected within the time that it has left. More
    /// urgent ones that came after it may have taken it.
    fn may_be_placed(&self, place: &Place<'_>, later: &LaterTargets, left: Duration) -> bool {
        let ahead = place.ahead();
        ahead == 0 || later.is_empty() || self.expected_wait(later, ahead) <= left
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
        count_placement(patience.priority, "refused");
        PlaceError::AtLimit(line.return_after(patience, |ahead| self.expected_wait(later, ahead)))
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
        let patience = Patience::of(request);
        is_later.then(|| line.return_after(patience, |ahead| self.expected_wait(&later, ahead)))
    }

    /// Whether no target takes a request now, and none is expected to take one later.
    pub(crate) fn has_no_target(&self, wanted: TargetCriteria<'_>) -> bool {
        self.preferred(wanted).is_none() && self.later_targets(wanted).is_empty()
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
