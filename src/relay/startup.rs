//! Decisions about requests that arrive before this instance has the rules and the targets, or just
//! after: how long they wait, how many of them may, and when a refused caller is to return.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::ident::fraction;

/// Part of its time that a request may wait for the rules. The rest is for its answer, or for the
/// one retry of a caller that is refused after all.
const WAIT_SHARE: u32 = 4;

/// Longest wait of a request for the rules: twice [`RULES_EXPECTED`].
const WAIT_MAX: Duration = Duration::from_secs(4);

/// Requests that wait at once, at most. A connection whose body is not read holds about 20 KB, so
/// they take 10 MB of the 88 MB that the smallest process has.
const WAITING_MAX: usize = 512;

/// Bytes of the heads of all waiting requests together, at most. Without the rules a single head may
/// have 64 KB, so that their number alone would bound them at 32 MB only.
const HEADS_MAX: usize = 4 << 20;

/// Memory of a header beside its name and value.
const HEADER_OVERHEAD: usize = 64;

/// Age of the process at which it has the rules from a store that answers slowly.
const RULES_EXPECTED: Duration = Duration::from_secs(2);

/// Shortest time in which the rules are expected, whatever the age.
const EXPECTED_MIN: Duration = Duration::from_millis(500);

/// Longest time in which the rules are expected while the store does not answer.
const EXPECTED_MAX: Duration = Duration::from_secs(4);

/// Shortest `Retry-After`, to avoid a burst of callers that have almost no time left.
const RETURN_MIN: Duration = Duration::from_millis(50);

/// Part of its remaining time for which a caller waits before it returns.
const RETURN_SHARE: u32 = 3;

/// Time from readiness in which targets may appear unreachable because their first connections and
/// health checks have failed or are still under way.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// What this instance knows of the platform's objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Known {
    /// No rules.
    #[default]
    Nothing,
    /// The rules, but not the targets.
    Rules,
    /// The rules and the targets.
    All,
}

/// How long a request that has `time` in all may wait for the rules, from its arrival.
pub(crate) fn rules_wait(time: Duration) -> Duration {
    (time / WAIT_SHARE).min(WAIT_MAX)
}

/// Time until a process of this age is expected to have the rules. Once a slow store would have
/// answered, an outage is expected to last half as long again as it has lasted.
fn expected_wait(age: Duration) -> Duration {
    let rest = RULES_EXPECTED.saturating_sub(age);
    let outage = match rest.is_zero() {
        true => age / 2,
        false => EXPECTED_MIN,
    };
    rest.max(outage).min(EXPECTED_MAX)
}

/// `Retry-After` of a request that is refused at this age of the process for want of rules, and whose
/// caller has `left`. Callers return from the time on at which the rules are expected, spread over as
/// long again by a hash of the id, and within the part of their time for which they wait.
pub(crate) fn retry_after(age: Duration, left: Duration, id: &str) -> Duration {
    let expected = expected_wait(age);
    let latest = (expected * 2).min(left / RETURN_SHARE);
    let earliest = expected.min(latest / 2);
    let spread = (latest - earliest).mul_f64(fraction(id));
    (earliest + spread).max(RETURN_MIN)
}

/// Whether a request arrived so shortly after readiness, or before it, that targets which appear
/// unreachable may only be unknown.
pub(crate) fn is_early(arrived: Instant, ready_at: Option<Instant>) -> bool {
    ready_at.is_none_or(|at| arrived < at + SETTLE_TIME)
}

/// Memory that the headers of a request take.
pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    let sizes = headers.iter();
    let sizes = sizes.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    sizes.sum()
}

/// The requests that wait for the rules.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingRoom(Arc<Mutex<Occupancy>>);

#[derive(Clone, Copy, Debug, Default)]
struct Occupancy {
    requests: usize,
    bytes: usize,
}

/// A waiting request's place, free again when it is dropped.
#[derive(Debug)]
pub(crate) struct WaitingPlace {
    room: WaitingRoom,
    bytes: usize,
}

impl WaitingRoom {
    /// Takes a place for a request whose head has `bytes`; `None` if none is left.
    pub(crate) fn enter(&self, bytes: usize) -> Option<WaitingPlace> {
        let mut used = self.0.lock();
        if used.requests >= WAITING_MAX || used.bytes.saturating_add(bytes) > HEADS_MAX {
            return None;
        }
        used.requests += 1;
        used.bytes += bytes;
        Some(WaitingPlace {
            room: self.clone(),
            bytes,
        })
    }

    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.lock().requests == 0
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let mut used = self.room.0.lock();
        used.requests -= 1;
        used.bytes -= self.bytes;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    fn ids() -> impl Iterator<Item = String> {
        (0..1000).map(|n| format!("request-{n}"))
    }

    // Guards against waits after which a request, or the retry of its caller, would be too late.
    #[test]
    fn request_waits_for_a_quarter_of_its_time_and_four_seconds_at_most() {
        let times = [0, 400, 2000, 16_000, 25_000, u64::MAX].map(Duration::from_millis);

        let waits = times.map(|time| rules_wait(time).as_millis());

        assert_eq!(waits, [0, 100, 500, 4000, 4000, 4000]);
    }

    #[test]
    fn rules_are_expected_soon_from_a_slow_store_and_later_the_longer_it_is_down() {
        let ages = [0, 500, 1900, 2000, 6000, 60_000].map(Duration::from_millis);

        let expected = ages.map(|age| expected_wait(age).as_millis());

        assert_eq!(expected, [2000, 1500, 500, 1000, 3000, 4000]);
    }

    // Guards against callers that return before the rules are there, and against a second burst.
    #[test]
    fn refused_callers_return_spread_out_from_the_time_at_which_rules_are_expected() {
        let returns: Vec<_> = ids()
            .map(|id| retry_after(SECOND / 2, 20 * SECOND, &id))
            .collect();

        let in_tenth = |n: u32| {
            let (from, until) = (1500 + 150 * n, 1650 + 150 * n);
            let within = |r: &&Duration| (from..until).contains(&(r.as_millis() as u32));
            returns.iter().filter(within).count()
        };
        let counts: Vec<_> = (0..10).map(in_tenth).collect();

        assert_eq!(counts.iter().sum::<usize>(), returns.len());
        assert!(counts.iter().all(|n| (50..=150).contains(n)), "{counts:?}");
    }

    // Guards against a `Retry-After` that the caller does not honour as it exceeds its time.
    #[test]
    fn refused_callers_return_within_a_third_of_their_time() {
        for (age, left) in [(0, 3000), (1900, 300), (60_000, 6000), (500, 0)] {
            let (age, left) = (Duration::from_millis(age), Duration::from_millis(left));
            let mut returns = ids().map(|id| retry_after(age, left, &id));

            let latest = RETURN_MIN.max(left / 3);

            assert!(
                returns.all(|r| r >= RETURN_MIN.max(left / 8) && r <= latest),
                "{left:?}"
            );
        }
    }

    #[test]
    fn requests_that_come_before_or_shortly_after_readiness_are_early() {
        let ready = Instant::now() + 10 * SECOND;
        let arrivals = [ready - SECOND, ready + SECOND, ready + 2 * SECOND];

        let early = arrivals.map(|arrived| is_early(arrived, Some(ready)));

        assert_eq!(early, [true, true, false]);
    }

    // Guards against a memory that grows with the number of callers that return.
    #[test]
    fn number_of_waiting_requests_is_bounded_and_places_become_free() {
        let room = WaitingRoom::default();
        let mut places: Vec<_> = (0..WAITING_MAX).filter_map(|_| room.enter(500)).collect();

        let when_full = room.enter(500).is_some();
        places.pop();
        let after_one_left = room.enter(500).is_some();
        places.clear();

        assert_eq!((when_full, after_one_left), (false, true));
        assert!(room.is_empty());
    }

    #[test]
    fn heads_of_waiting_requests_are_bounded_together() {
        let room = WaitingRoom::default();
        let large = HEADS_MAX / 2;
        let places = [room.enter(large), room.enter(large)];

        assert!(places.iter().all(Option::is_some));
        assert!(room.enter(1).is_none());
        assert!(room.enter(usize::MAX).is_none());
    }
}
