//! Issues the permits for the requests of all instances to limited targets.
//!
//! A token bucket for each target. Instances that find it empty get an appointment, so that each
//! of them has its turn and asks no more often than permits become available.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{RATE_MIN, Rate};
use crate::ident::TargetKey;

/// Share of a target's limit that is issued. The rest covers permits issued before a window and
/// used in it, and those of two issuers that do not yet know of each other.
const USABLE_SHARE: f64 = 0.9;

/// Time over which unused permits of a target add up.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Time after it took over in which an issuer issues less, as the former one may still do so too.
const TAKEOVER_TIME: Duration = Duration::from_secs(5);

/// Share of its rate that an issuer issues in that time.
pub(crate) const TAKEOVER_SHARE: f64 = 0.5;

/// Pause until the next ask of an instance whose issuer may issue nothing.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// Latest appointment. In a large fleet most instances find the queue longer and ask again after
/// this time, which bounds the rate of their asks.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Time between two calls of [`Issuer::tick`] above which this process was not running.
const PAUSE_MIN: Duration = Duration::from_secs(2);

/// Answer to an ask for permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Permits {
    pub(crate) count: u32,
    /// Time until the next ask may succeed.
    pub(crate) wait: Duration,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated: Instant,
    /// When this instance became the issuer.
    since: Instant,
    /// The first appointment that has not been given.
    free_from: Instant,
}

/// Issues permits for the targets of one failure domain.
#[derive(Debug, Default)]
pub(crate) struct Issuer {
    buckets: IndexMap<TargetKey, Bucket>,
    ticked: Option<Instant>,
    is_isolated: bool,
}

/// Shortest mean time between two permits of a target with this limit.
pub(super) fn permit_interval(rate: Rate) -> Duration {
    Duration::from_secs_f64(1.0 / (USABLE_SHARE * rate.max(RATE_MIN).as_f64()))
}

impl Issuer {
    /// Whether it has issued permits for a target since it became the issuer.
    pub(crate) fn issues(&self, key: TargetKey) -> bool {
        self.buckets.contains_key(&key)
    }

    /// Issues up to `count` permits for a target that takes `rate`, at `share` of the rate at most.
    pub(crate) fn issue(
        &mut self,
        key: TargetKey,
        rate: Rate,
        count: u32,
        share: f64,
        now: Instant,
    ) -> Permits {
        if share <= 0.0 {
            return Permits {
                count: 0,
                wait: REFUSED_PAUSE,
            };
        }
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            tokens: 0.0,
            updated: now,
            since: now,
            free_from: now,
        });
        let is_new = now.saturating_duration_since(bucket.since) < TAKEOVER_TIME;
        let share = if is_new { TAKEOVER_SHARE } else { 1.0 }.min(share);
        let interval = permit_interval(rate);
        let speed = share / interval.as_secs_f64();
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        let burst = (speed * BURST_TIME.as_secs_f64()).max(1.0);
        bucket.tokens = (bucket.tokens + elapsed * speed).min(burst);
        bucket.updated = now;
        let issued = count.min(bucket.tokens as u32);
        bucket.tokens -= f64::from(issued);
        let has_queue = bucket.free_from > now;
        let wait = match issued == count && !has_queue {
            true => Duration::ZERO,
            false => {
                let refill = Duration::from_secs_f64((1.0 - bucket.tokens).max(0.0) / speed);
                let turn = bucket.free_from.max(now + refill);
                let wait = turn.saturating_duration_since(now);
                if wait < WAIT_MAX {
                    bucket.free_from = turn + interval;
                }
                wait.min(WAIT_MAX)
            }
        };
        Permits {
            count: issued,
            wait,
        }
    }

    /// Drops the targets for which this instance is no longer the issuer. Drops all of them after a
    /// pause of this process, or when it reaches others again, as they found another issuer
    /// meanwhile.
    pub(crate) fn tick(
        &mut self,
        issues: impl Fn(TargetKey) -> bool,
        is_isolated: bool,
        now: Instant,
    ) {
        let last = self.ticked.replace(now).unwrap_or(now);
        let was_paused = now.saturating_duration_since(last) > PAUSE_MIN;
        let was_isolated = std::mem::replace(&mut self.is_isolated, is_isolated);
        let is_replaced = was_paused || was_isolated && !is_isolated;
        self.buckets.retain(|key, _| !is_replaced && issues(*key));
    }
}
