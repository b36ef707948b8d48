//! Applies the limits that targets state: asks their issuers for permits, and issues those of this
//! instance.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use slog::info;
use smol_str::SmolStr;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::limits::{Ask, Permits, Purpose, Rate, Statement, TAKEOVER_SHARE};
use super::relay::Relay;
use crate::ident::TargetKey;
use crate::peer::{Member, Tag, ranked};
use crate::routing::ProbeTarget;

/// Time between two log lines about the requests sent to a limited target.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);

/// Time between two checks of the targets for which this instance issues permits.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of an ask for permits: two round trips between regions and a busy issuer.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Issuers asked for one permit: a candidate of the target's failure domain, and the issuer that it
/// names.
const HOPS_MAX: usize = 2;

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

impl Relay {
    /// Registers the handler of asks for permits.
    pub(crate) fn handle_permits(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Permit, move |from, request: PermitRequest| {
                ready(me.issue_permits(&from, &request))
            });
    }

    /// Applies the limit that a target states in an answer.
    pub(super) fn apply_limit(&self, target: &ProbeTarget, stated: Option<Rate>) {
        let now = Instant::now().into_std();
        let is_changed = self.limits.lock().observe(target, stated, now);
        if is_changed {
            self.gossip_wakeup.notify_one();
            self.log_limit(target, "target");
        }
    }

    /// Sends one of the relay's own requests to a target, if there is a permit for it, and applies
    /// what the target says with its answer.
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
        let notice = (self.dialect.parse_notice)(answer.status(), answer.headers());
        let target = match (self.dialect.target_name)(answer.headers()) {
            Some(sender) => self.router.probe_target_named(&sender),
            None => self.router.probe_target(limited),
        };
        if let Some(target) = target {
            self.apply_notice(&target, notice);
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

    /// Asks for as many permits as `count` requests to any of `targets` lack.
    pub(super) fn ask_permits(self: &Arc<Self>, targets: &[ProbeTarget], count: u32) {
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
                        "target" => target.name.as_str(), "per_second" => rate.as_f64(),
                        "others" => self.peers.others(), "reached" => self.peers.alive().len(),
                        "share" => self.issuer_share(),
                        "age_ms" => self.age().as_millis() as u64);
                }
                issuer.issue(target.key, rate, request.count, self.issuer_share(), now)
            }
            None => Permits::default(),
        };
        PermitReply::Issued { permits, statement }
    }

    /// Share of a target's permits that this instance may issue. Each registered instance that it has
    /// not met may issue as many. Until it has read the registry, an instance without others issues
    /// none, as there may be any number like it.
    fn issuer_share(&self) -> f64 {
        match self.unmet_instances() {
            Some(unmet) => 1.0 / (unmet + 1) as f64,
            None if !self.has_read_registry() && self.peers.alive().is_empty() => 0.0,
            None => TAKEOVER_SHARE,
        }
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
            if self.limits.lock().is_empty() {
                continue;
            }
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
