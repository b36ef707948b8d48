//! Periodically checks targets that were marked dead. A target that answers under its own name is
//! used again; if another name answers at its address, the old target is gone and a new one has
//! started there.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use slog::info;
use smol_str::SmolStr;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::catalog::TargetInfo;
use super::connections::get_request;
use super::limits::Purpose;
use super::progress::fetch_report;
use super::relay::Relay;
use crate::routing::ProbeTarget;

/// Time between two checks of a dead target: a crashed one is back within about a second.
const CHECK_PERIOD: Duration = Duration::from_millis(400);

/// Timeout of a check: two round trips between regions and a busy target.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

impl Relay {
    pub(crate) async fn check_dead_targets(self: Arc<Self>) {
        let mut ticks = interval(CHECK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_alive = IndexMap::new();
        loop {
            ticks.tick().await;
            let now = Instant::now();
            self.expire_targets(now);
            let dead = self.router.found_dead(now);
            // A probe of the address may take another process there for a sign of life.
            last_alive.retain(|key, _| dead.iter().any(|target| target.key == *key));
            for target in dead {
                let age = self.router.alive_age(target.key, now);
                let seen = now.checked_sub(age.unwrap_or(Duration::MAX));
                let seen = *last_alive.entry(target.key).or_insert(seen);
                self.pool.close_idle(target.key);
                tokio::spawn(Arc::clone(&self).check(target, seen));
            }
        }
    }

    /// Checks a target that showed life at `last_alive` for the last time.
    async fn check(self: Arc<Self>, target: ProbeTarget, last_alive: Option<Instant>) {
        let started = Instant::now();
        let Ok(Some(name)) = timeout(CHECK_TIMEOUT, self.name_at(&target)).await else {
            return;
        };
        let log = &self.decisions.log;
        match name == target.name {
            true => {
                info!(log, "target: reachable again"; "target" => name.as_str());
                self.router.mark_alive(target.key, started);
            }
            false => {
                info!(log, "target: replaced by another at its address";
                    "target" => target.name.as_str(), "other" => name.as_str());
                self.router.mark_leaving(target.key, started);
                let reuse = self.settings.address_reuse;
                if last_alive.is_some_and(|at| at.elapsed() < reuse) {
                    self.add_replacement(&target, name).await;
                }
            }
        }
    }

    /// Uses a restarted engine before it has registered, which takes a second or more, and longer
    /// during a platform outage. Only done where the service is certain, before the address may be
    /// reassigned to another one, as neither targets nor their reports name theirs.
    async fn add_replacement(self: &Arc<Self>, dead: &ProbeTarget, name: SmolStr) {
        let is_certain = self
            .rules()
            .is_some_and(|r| r.is_sole_engine(&dead.service));
        if !is_certain {
            return;
        }
        let report = timeout(CHECK_TIMEOUT, fetch_report(self, dead.key, dead.addr));
        let Ok(Some(report)) = report.await else {
            return;
        };
        let mut catalog = self.catalog.lock();
        let Some(old) = catalog.info(&dead.name).cloned() else {
            return;
        };
        let info = TargetInfo {
            name: name.clone(),
            incarnation: report.incarnation,
            leaving: report.draining,
            ..old
        };
        let is_new = catalog.add_unregistered(info, Instant::now());
        drop(catalog);
        if is_new {
            info!(self.decisions.log, "target: in use before its registration"; "target" => name.as_str());
            self.refresh_targets();
        }
    }

    /// The target name in the health check answer at a target's address.
    async fn name_at(self: &Arc<Self>, target: &ProbeTarget) -> Option<SmolStr> {
        let rules = self.rules()?;
        let health = &rules.services.get(&target.service)?.health_path;
        let request = get_request(target.addr, health)?;
        let sent = self.request(target.key, target.addr, request, Purpose::Probe);
        let answer = sent.await?;
        (self.dialect.target_name)(answer.headers())
    }
}
