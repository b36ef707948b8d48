//! Applies the limits that targets state: asks their issuers for permits, and places requests at
//! targets that may get them.

use std::collections::VecDeque;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use slog::info;
use smol_str::SmolStr;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use super::caller_request::CallerRequest;
use super::dialect::ResponseHead;
use super::limits::{Ask, Permits, Purpose, Rate, Statement};
use super::relay::{Relay, TargetCriteria};
use crate::ident::TargetKey;
use crate::peer::{Member, Tag, ranked};
use crate::routing::{Lease, ProbeTarget};

/// Time between two log lines about the requests sent to a limited target.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);

/// Time between two checks of the targets for which this instance issues permits.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of an ask for permits: two round trips between regions and a busy issuer.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Issuers asked for one permit: a candidate of the target's failure domain, and the issuer that it
/// names.
const HOPS_MAX: usize = 2;

/// Latest time at which a refused caller is told to return. What lies further ahead depends on
/// callers that may not return.
const RETURN_MAX: Duration = Duration::from_secs(10);

/// Ask for permits, sent to the issuer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PermitRequest {
    statement: Statement,
    count: u32,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
enum PermitReply {
    Issued {
        permits: Permits,
        /// The limit that the issuer knows.
        statement: Option<Statement>,
    },
    /// Another instance issues the permits of this target.
    Elsewhere(SmolStr),
    /// The target is not registered there yet.
    UnknownTarget,
}

/// How long a request may wait for a target that takes requests again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    /// Longest wait.
    wait: Duration,
    /// Time left until the request's deadline.
    left: Duration,
}

impl Patience {
    /// A longer wait than the route's objective would make every request of a full line late.
    pub(crate) fn of(request: &CallerRequest) -> Self {
        let left = request.left(Instant::now());
        Self {
            wait: request.route.latency_objective.min(left / 2),
            left,
        }
    }
}

/// Why a request got no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceError {
    /// No target is available.
    Unavailable,
    /// All available targets are at their limits; one is expected to take a request after this
    /// time.
    AtLimit(Duration),
}

/// Requests to one service that wait for a permit, in their order of arrival.
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
        wait.min(RETURN_MAX)
    }
}

impl Relay {
    /// Registers the handler of asks for permits.
    pub(crate) fn handle_permits(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Permit, move |from, request: PermitRequest| {
                ready(me.issue_permits(&from, &request))
            });
    }

    /// Applies the limit that a target states in the head of an answer.
    pub(crate) fn observe_limit(&self, target: Option<ProbeTarget>, head: &ResponseHead) {
        let is_authentic = head.has_id && !head.mismatched && !head.misdirected;
        // Only a signed answer can take a limit back: others may come from a failing target, or
        // from the path to it.
        let is_statement = is_authentic && (head.limit.is_some() || head.signed);
        if let Some(target) = target.filter(|_| is_statement) {
            self.apply_limit(&target, head.limit);
        }
    }

    fn apply_limit(&self, target: &ProbeTarget, stated: Option<Rate>) {
        let now = Instant::now().into_std();
        let is_changed = self.limits.lock().observe(target, stated, now);
        if is_changed {
            self.gossip_wakeup.notify_one();
            self.log_limit(target, "target");
        }
    }

    /// Sends one of the relay's own requests to a target, if there is a permit for it, and applies
    /// the limit that the answer states.
    pub(crate) async fn request(
        self: &Arc<Self>,
        key: TargetKey,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        purpose: Purpose,
    ) -> Option<Response<Bytes>> {
        // Another target may have started at the address.
        let limited = self.limits.lock().limited_at(addr).unwrap_or(key);
        if !self.permit(limited).await {
            return None;
        }
        self.record_sent(limited, purpose);
        let answer = self.pool.request(key, addr, request).await?;
        let stated = (self.dialect.stated_limit)(answer.headers());
        let target = match (self.dialect.target_name)(answer.headers()) {
            Some(sender) => self.router.probe_target_named(&sender),
            None => self.router.probe_target(limited),
        };
        if let (Some(target), Some(_)) = (target, stated) {
            self.apply_limit(&target, stated);
        }
        Some(answer)
    }

    /// Applies limits that another instance knows.
    pub(crate) fn learn_limits(&self, from: &str, statements: &[Statement]) {
        for statement in statements {
            let Some(target) = self.router.probe_target_named(&statement.target) else {
                continue;
            };
            let now = Instant::now().into_std();
            let is_changed = self.limits.lock().learn(&target, statement, now);
            if is_changed {
                self.log_limit(&target, from);
            }
        }
    }

    fn log_limit(&self, target: &ProbeTarget, from: &str) {
        self.permits_changed.notify_waiters();
        let rate = self.limits.lock().rate(target.key);
        let (log, name) = (&self.decisions.log, target.name.as_str());
        match rate {
            Some(rate) => info!(log, "target: limit stated";
                "target" => name, "per_second" => rate.as_f64(), "from" => from),
            None => info!(log, "target: limit lifted"; "target" => name, "from" => from),
        }
    }

    /// Chooses a target for a request, among those without a limit and those for which there is a
    /// permit that no earlier request waits for.
    pub(crate) fn choose_now(self: &Arc<Self>, wanted: TargetCriteria<'_>) -> Option<Lease> {
        if self.limits.lock().is_empty() {
            return self.choose(wanted);
        }
        let limited = self.limited_targets(wanted);
        if self.wait_line(wanted.service).len() > 0 {
            let keys = limited.iter().map(|t| t.key);
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

    /// Chooses a target for a request, and waits for a permit when all available targets are at
    /// their limits.
    pub(crate) async fn place(
        self: &Arc<Self>,
        wanted: TargetCriteria<'_>,
        patience: Patience,
    ) -> Result<Lease, PlaceError> {
        if let Some(lease) = self.choose_now(wanted) {
            return Ok(lease);
        }
        let limited = self.limited_targets(wanted);
        if limited.is_empty() {
            return Err(PlaceError::Unavailable);
        }
        let deadline = Instant::now() + patience.wait;
        let line = self.wait_line(wanted.service);
        if self.expected_wait(&limited, line.len()) > patience.wait {
            return Err(self.refuse(&line, &limited, patience));
        }
        let _place = Place::enter(&line);
        let Ok(_head) = timeout_at(deadline, line.head.lock()).await else {
            return Err(self.refuse(&line, &limited, patience));
        };
        loop {
            let changed = self.permits_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(lease) = self.choose_permitted(wanted) {
                return Ok(lease);
            }
            let limited = self.limited_targets(wanted);
            if limited.is_empty() {
                return Err(PlaceError::Unavailable);
            }
            self.ask_permits(&limited, line.len() as u32);
            if !self.wait_for_permit(&limited, changed, deadline).await {
                return Err(self.refuse(&line, &limited, patience));
            }
        }
    }

    /// Waits until a request may be sent to a given target. `false` if there is no permit within
    /// the time of one ask.
    pub(crate) async fn permit(self: &Arc<Self>, key: TargetKey) -> bool {
        let deadline = Instant::now() + ASK_TIMEOUT;
        loop {
            let changed = self.permits_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.limits.lock().take(key, Instant::now().into_std()) {
                return true;
            }
            let Some(target) = self.router.probe_target(key) else {
                return false;
            };
            let target = [target];
            self.ask_permits(&target, 1);
            if !self.wait_for_permit(&target, changed, deadline).await {
                return false;
            }
        }
    }

    /// Waits until a permit for one of the targets may be had or asked for. `false` if that is not
    /// before the deadline.
    async fn wait_for_permit(
        &self,
        targets: &[ProbeTarget],
        changed: impl Future<Output = ()>,
        deadline: Instant,
    ) -> bool {
        let now = Instant::now();
        let next = self.limits.lock().next_permit(targets, now.into_std());
        let wake = match next.map(Instant::from_std) {
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

    fn refuse(&self, line: &WaitLine, limited: &[ProbeTarget], patience: Patience) -> PlaceError {
        metrics::counter!("endivefork_limit_refusals_total").increment(1);
        PlaceError::AtLimit(
            line.return_after(patience.left, |ahead| self.expected_wait(limited, ahead)),
        )
    }

    fn expected_wait(&self, limited: &[ProbeTarget], ahead: usize) -> Duration {
        let now = Instant::now().into_std();
        self.limits.lock().expected_wait(limited, ahead, now)
    }

    fn wait_line(&self, service: &str) -> Arc<WaitLine> {
        let mut lines = self.wait_lines.lock();
        Arc::clone(lines.entry(service.into()).or_default())
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

    /// Asks for as many permits as `count` requests to any of `targets` lack.
    fn ask_permits(self: &Arc<Self>, targets: &[ProbeTarget], count: u32) {
        if targets.is_empty() {
            return;
        }
        let now = Instant::now();
        let asks = self.limits.lock().due_asks(targets, count, now.into_std());
        for ask in asks {
            let me = Arc::clone(self);
            tokio::spawn(async move {
                let reply = me.request_permits(&ask).await;
                let (asked, answered) = (now.into_std(), Instant::now().into_std());
                let mut limits = me.limits.lock();
                match reply {
                    Some(permits) => limits.grant(ask.target.key, permits, asked, answered),
                    None => limits.ask_failed(ask.target.key, answered),
                }
                drop(limits);
                me.permits_changed.notify_waiters();
            });
        }
    }

    async fn request_permits(self: &Arc<Self>, ask: &Ask) -> Option<Permits> {
        let now = Instant::now().into_std();
        let request = PermitRequest {
            statement: self.limits.lock().statement(ask.target.key, now)?,
            count: ask.count,
        };
        metrics::counter!("endivefork_permit_asks_total").increment(1);
        let mut issuer = self.issuer(&ask.target.domain, true)?.name;
        for _ in 0..HOPS_MAX {
            let reply = match issuer == self.settings.instance.name {
                true => Ok(self.issue_permits(&issuer, &request)),
                false => {
                    self.peers
                        .call(&issuer, Tag::Permit, &request, ASK_TIMEOUT)
                        .await
                }
            };
            match reply {
                Ok(PermitReply::Issued { permits, statement }) => {
                    self.learn_limits(&issuer, statement.as_slice());
                    return Some(permits);
                }
                Ok(PermitReply::Elsewhere(other)) => issuer = other,
                Ok(PermitReply::UnknownTarget) => return None,
                Err(e) => {
                    info!(self.decisions.log, "permit: could not ask the issuer";
                        "target" => ask.target.name.as_str(), "issuer" => issuer.as_str(),
                        "error" => %e, "limit_ms" => ASK_TIMEOUT.as_millis() as u64);
                    let now = Instant::now().into_std();
                    self.failed_issuers.lock().record(&issuer, now);
                    return None;
                }
            }
        }
        None
    }

    fn issue_permits(&self, from: &str, request: &PermitRequest) -> PermitReply {
        let Some(target) = self.router.probe_target_named(&request.statement.target) else {
            return PermitReply::UnknownTarget;
        };
        let me = &self.settings.instance.name;
        if let Some(other) = self.issuer(&target.domain, false).filter(|m| m.name != *me) {
            return PermitReply::Elsewhere(other.name);
        }
        self.learn_limits(from, std::slice::from_ref(&request.statement));
        let now = Instant::now().into_std();
        let limits = self.limits.lock();
        let statement = limits.statement(target.key, now);
        let mut issuer = self.issuer.lock();
        let permits = match limits.rate(target.key) {
            Some(rate) => {
                if !issuer.issues(target.key) {
                    info!(self.decisions.log, "permit: issued by this instance";
                        "target" => target.name.as_str(), "per_second" => rate.as_f64());
                }
                issuer.issue(target.key, rate, request.count, now)
            }
            None => Permits::default(),
        };
        PermitReply::Issued { permits, statement }
    }

    /// The instance that issues the permits for the targets of a failure domain: the first of that
    /// domain that is reached, or else of the next one. `skips_failed` ranks those last that did
    /// not answer lately.
    fn issuer(&self, domain: &str, skips_failed: bool) -> Option<Member> {
        let mut domains: Vec<_> = self.settings.domain_regions.keys().cloned().collect();
        domains.sort_unstable();
        let start = domains.iter().position(|d| d == domain).unwrap_or(0);
        domains.rotate_left(start);
        let me = self.peers.me();
        let failed = self.failed_issuers.lock();
        let now = Instant::now().into_std();
        domains.iter().find_map(|domain| {
            let mut members = match *domain == me.domain {
                true => self.peers.alive(),
                false => self.peers.candidates(domain),
            };
            if !self.peers.is_leaving() {
                members.push(me.clone());
            }
            let mut order = ranked(domain, members.iter());
            order.sort_by_key(|m| skips_failed && failed.is_recent(&m.name, now));
            order.first().copied().cloned()
        })
    }

    /// Periodically checks for which targets this instance is the issuer.
    pub(crate) async fn watch_issuer(self: Arc<Self>) {
        let mut ticks = interval(CHECK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let is_isolated = self.peers.others() > 0 && self.peers.alive().is_empty();
            let issues = |key| {
                let target = self.router.probe_target(key);
                let issuer = target.and_then(|t| self.issuer(&t.domain, false));
                issuer.is_some_and(|m| m.name == self.settings.instance.name)
            };
            let now = Instant::now().into_std();
            self.issuer.lock().tick(issues, is_isolated, now);
            let is_known = |key| self.router.probe_target(key).is_some();
            let lifted = self.limits.lock().settle(is_known, now);
            for target in lifted {
                self.gossip_wakeup.notify_one();
                self.log_limit(&target, "target");
            }
        }
    }

    /// Counts a request to a target by its purpose, if the target has a limit.
    pub(crate) fn record_sent(&self, key: TargetKey, purpose: Purpose) {
        if self.limits.lock().rate(key).is_some() {
            metrics::counter!("endivefork_limited_requests_total", "purpose" => purpose.label())
                .increment(1);
        }
    }

    /// Periodically logs the requests sent to limited targets.
    pub(crate) async fn watch_limits(self: Arc<Self>) {
        let mut ticks = interval(SUMMARY_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let sent = self.limits.lock().take_sent();
            for (name, rate, sent) in sent {
                info!(self.decisions.log, "target: requests sent at its limit";
                    "target" => name.as_str(), "per_second" => rate.as_f64(), "sent" => sent);
            }
        }
    }
}
