//! What targets say about the requests that they take: that they are leaving, and that they want none
//! for a time.

use std::time::{Duration, Instant};

use super::health::Health;
use super::lease::ProbeTarget;
use super::router::Router;
use crate::ident::TargetKey;

impl Router {
    /// Records that the target said that it is leaving.
    pub fn mark_leaving(&self, key: TargetKey, now: Instant) {
        self.update_health(key, |health| health.mark_leaving(now));
    }

    /// Whether the target has told this instance that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, key: TargetKey) -> bool {
        let leaving = self.update_health(key, |health| health.reported_leaving());
        leaving.unwrap_or_default()
    }

    /// Records that the target asked for no requests of this instance during `time`. Returns whether
    /// it had not asked for that yet.
    pub fn mark_quiet(&self, key: TargetKey, time: Duration, now: Instant) -> bool {
        let mark = |health: &mut Health| {
            let is_new = !health.is_quiet(now);
            health.mark_quiet(time, now);
            is_new
        };
        self.update_health(key, mark).unwrap_or_default()
    }

    /// Records that the target took a request that was sent at `since`, which ends its quiet if that
    /// was over by then.
    pub fn mark_taken(&self, key: TargetKey, since: Instant) {
        self.update_health(key, |health| health.mark_taken(since));
    }

    /// Whether the target has asked for no requests of this instance.
    #[must_use]
    pub fn is_quiet(&self, key: TargetKey, now: Instant) -> bool {
        let is_quiet = self.update_health(key, |health| health.is_quiet(now));
        is_quiet.unwrap_or_default()
    }

    /// Whether the target has asked for quiet and does not take requests as usual again.
    #[must_use]
    pub fn is_returning(&self, key: TargetKey, now: Instant) -> bool {
        let returns = self.update_health(key, |health| health.returns_at(now));
        returns.flatten().is_some()
    }

    /// Whether the target has told this instance to send no further requests: it is leaving, or
    /// has asked for quiet.
    #[must_use]
    pub fn has_declined(&self, key: TargetKey, now: Instant) -> bool {
        let declined = self.update_health(key, |health| {
            health.reported_leaving() || health.is_quiet(now)
        });
        declined.unwrap_or_default()
    }

    /// Targets of a service that asked for quiet and do not take requests as usual again, each with
    /// the time of its next request.
    #[must_use]
    pub fn returning(&self, service: &str, now: Instant) -> Vec<(ProbeTarget, Instant)> {
        let table = self.table();
        let members = table.pool(service, "").map(|pool| &pool.members);
        let entries = members
            .into_iter()
            .flatten()
            .filter_map(|key| table.entry(*key));
        let returning = entries.filter_map(|e| {
            let at = e.state.lock().health.returns_at(now)?;
            Some((ProbeTarget::of(&e.target), at))
        });
        returning.collect()
    }

    fn update_health<T>(&self, key: TargetKey, update: impl FnOnce(&mut Health) -> T) -> Option<T> {
        let table = self.table();
        let entry = table.known(key)?;
        let mut state = entry.state.lock();
        Some(update(&mut state.health))
    }
}
