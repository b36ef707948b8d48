//! Applies what targets say with their answers about the requests that they take: their limits, that
//! they are leaving, and that they want none for a time.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use slog::{info, warn};

use super::connections::Connection;
use super::dialect::{Notice, QuietTime, ResponseHead};
use super::relay::Relay;
use crate::ident::TargetKey;
use crate::routing::{Lease, ProbeTarget};

/// Upper bound of the random time that is added to the time for which a target wants no requests, so
/// that instances which it told at once do not return at once.
const RETURN_JITTER_MAX: Duration = Duration::from_millis(500);

/// The random time is at most this part of the stated one.
const RETURN_JITTER_PART: u32 = 4;

impl Relay {
    /// Applies what a target says in the head of its answer to a request that was sent at `sent`.
    pub(crate) fn observe_notice(
        &self,
        lease: &Lease,
        head: &ResponseHead,
        connection: &Connection,
        sent: Instant,
    ) {
        let Some(target) = lease.probe_target() else {
            return;
        };
        if head.mismatched || head.misdirected {
            return;
        }
        // Only a signed answer can take a limit back: others may come from a failing target, or
        // from the path to it.
        if head.has_id && (head.notice.limit.is_some() || head.signed) {
            self.apply_limit(&target, head.notice.limit);
        }
        // On a reused connection, an answer without id may belong to an earlier request.
        if head.has_id || !connection.is_reused() {
            self.apply_departure(&target, head.notice);
            if head.notice.quiet.is_none() && !head.not_run {
                self.router.mark_taken(target.key, sent);
            }
        }
    }

    /// Applies what a target says in its answer to one of the relay's own requests.
    pub(super) fn apply_notice(&self, target: &ProbeTarget, notice: Notice) {
        if notice.limit.is_some() {
            self.apply_limit(target, notice.limit);
        }
        self.apply_departure(target, notice);
    }

    fn apply_departure(&self, target: &ProbeTarget, notice: Notice) {
        let now = Instant::now();
        let (log, name) = (&self.decisions.log, target.name.as_str());
        if notice.leaving && !self.router.is_leaving(target.key) {
            self.router.mark_leaving(target.key, now);
            count("leaving");
            info!(log, "target: says that it is leaving"; "target" => name);
            self.gossip_wakeup.notify_one();
            self.permits_changed.notify_waiters();
        }
        match notice.quiet {
            Some(QuietTime::For(time)) if !time.is_zero() => {
                let jitter = RETURN_JITTER_MAX.min(time / RETURN_JITTER_PART);
                let jitter = jitter.mul_f64(rand::rng().random());
                let time = time.saturating_add(jitter);
                if self.router.mark_quiet(target.key, time, now) {
                    count("quiet");
                    info!(log, "target: wants no requests for a time";
                        "target" => name, "time_ms" => u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
                }
            }
            Some(QuietTime::Unreadable) => {
                count("unreadable");
                warn!(log, "target: could not read for how long it wants no requests"; "target" => name);
            }
            Some(QuietTime::For(_)) | None => {}
        }
    }

    /// Whether a request may be sent to a target that was chosen before, as far as the target itself
    /// has told this instance since.
    pub(crate) fn still_takes(&self, key: TargetKey) -> bool {
        !self.router.has_declined(key, Instant::now())
    }
}

fn count(notice: &'static str) {
    metrics::counter!("endivefork_target_notices_total", "notice" => notice).increment(1);
}
