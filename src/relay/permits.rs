//! Applies the limits that targets state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;
use tokio::time::{MissedTickBehavior, interval};

use super::dialect::ResponseHead;
use super::limits::Purpose;
use super::relay::Relay;
use crate::ident::TargetKey;
use crate::routing::ProbeTarget;

/// Time between two log lines about the requests sent to a limited target.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);

impl Relay {
    /// Applies the limit that a target states in the head of an answer.
    pub(crate) fn observe_limit(&self, target: Option<ProbeTarget>, head: &ResponseHead) {
        let Some(target) = target else { return };
        let is_authentic = head.has_id && !head.mismatched && !head.misdirected;
        // Only a signed answer can take a limit back: others may come from a failing target, or
        // from the path to it.
        let is_statement = is_authentic && (head.limit.is_some() || head.signed);
        if !is_statement {
            return;
        }
        let is_changed = self
            .limits
            .lock()
            .observe(&target, head.limit, Instant::now());
        if is_changed {
            self.log_limit(&target);
        }
    }

    fn log_limit(&self, target: &ProbeTarget) {
        let rate = self.limits.lock().rate(target.key);
        let (log, name) = (&self.decisions.log, target.name.as_str());
        match rate {
            Some(rate) => {
                info!(log, "target: limit stated"; "target" => name, "per_second" => rate.as_f64());
            }
            None => info!(log, "target: limit lifted"; "target" => name),
        }
    }

    /// Counts a request to a target by its purpose, if the target has a limit.
    pub(crate) fn record_sent(&self, key: TargetKey, purpose: Purpose) {
        let mut limits = self.limits.lock();
        limits.take(key, Instant::now());
        if limits.rate(key).is_some() {
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
            let is_known = |key| self.router.name(key).is_some();
            let lifted = self.limits.lock().settle(is_known, Instant::now());
            lifted.iter().for_each(|target| self.log_limit(target));
            let sent = self.limits.lock().take_sent();
            for (name, rate, sent) in sent {
                info!(self.decisions.log, "target: requests sent at its limit";
                    "target" => name.as_str(), "per_second" => rate.as_f64(), "sent" => sent);
            }
        }
    }
}
