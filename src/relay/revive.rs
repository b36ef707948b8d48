//! Looks after targets that were found dead. One that answers under its own name is used again; at
//! the address of one that started anew another name answers, and the old one is gone.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;
use smol_str::SmolStr;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::catalog::Listed;
use super::progress::report;
use super::relay::Relay;
use crate::routing::ProbeTarget;

/// Time between two looks at one dead target: a crashed one is back within about a second.
const PERIOD: Duration = Duration::from_millis(400);

/// Longest wait for an answer: two round trips between regions and a busy target.
const LIMIT: Duration = Duration::from_millis(350);

impl Relay {
    pub(crate) async fn revive_targets(self: Arc<Self>) {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.settle_targets(Instant::now());
            for subject in self.router.found_dead(Instant::now()) {
                self.links.forget(subject.key);
                tokio::spawn(Arc::clone(&self).revive(subject));
            }
        }
    }

    async fn revive(self: Arc<Self>, subject: ProbeTarget) {
        let asked = Instant::now();
        let Ok(Some(name)) = timeout(LIMIT, self.name_at(&subject)).await else {
            return;
        };
        let log = &self.record.log;
        match name == subject.name {
            true => {
                info!(log, "target: answers again"; "target" => name.as_str());
                self.router.mark_alive(subject.key, asked);
            }
            false => {
                info!(log, "target: gone, another has its address";
                    "target" => subject.name.as_str(), "other" => name.as_str());
                self.router.mark_leaving(subject.key, asked);
                self.adopt(&subject, name).await;
            }
        }
    }

    /// Uses an engine that started anew before it has registered, which takes it a second or more,
    /// and longer while the platform is away. Only where its service is beyond doubt: an address
    /// may be given to another service, and other targets do not tell theirs.
    async fn adopt(&self, gone: &ProbeTarget, name: SmolStr) {
        let only = self.rules().is_some_and(|r| r.only_engines(&gone.service));
        if !only {
            return;
        }
        let report = timeout(LIMIT, report(self, gone.key, gone.addr));
        let Ok(Some(report)) = report.await else {
            return;
        };
        let mut catalog = self.catalog.lock();
        let Some(old) = catalog.listed(&gone.name).cloned() else {
            return;
        };
        let listed = Listed {
            name: name.clone(),
            incarnation: report.incarnation,
            leaving: report.leaving,
            ..old
        };
        let new = catalog.adopt(listed, Instant::now());
        drop(catalog);
        if new {
            info!(self.record.log, "target: used before it has registered"; "target" => name.as_str());
            self.refresh_targets();
        }
    }

    /// The name under which a target's address answers its health check.
    async fn name_at(&self, subject: &ProbeTarget) -> Option<SmolStr> {
        let rules = self.rules()?;
        let health = &rules.services.get(&subject.service)?.health;
        let answer = self.links.get(subject.key, subject.addr, health).await?;
        (self.dialect.name)(answer.headers())
    }
}
