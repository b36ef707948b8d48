//! Round trips to failure domains, and how long an answer from one may take.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// Round trip assumed to a domain without a measurement: the longest between two regions, with room
/// for a busy machine.
const RTT_DEFAULT: Duration = Duration::from_millis(80);

/// Added to the expected round trip, for a late timer here and a busy machine there.
pub(crate) const TIMEOUT_MARGIN: Duration = Duration::from_millis(40);

/// Weight of a new round trip in the moving averages.
const RTT_WEIGHT: f64 = 0.25;

/// Mean deviations that a round trip may exceed the mean by, as in RFC 6298.
const DEVIATIONS: u32 = 4;

/// Upper bound of that allowance, so that a link that was full does not hide a death for long.
const SPREAD_MAX: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    mean: Duration,
    deviation: Duration,
}

/// Measured round trips by failure domain.
#[derive(Debug, Default)]
pub(crate) struct RoundTrips(IndexMap<SmolStr, RoundTrip>);

impl RoundTrips {
    /// Records a round trip to a domain. One that took too long counts as the limit, since a moment
    /// in which this instance was cut off says little about the domain.
    pub(crate) fn record(&mut self, domain: &SmolStr, rtt: Duration) {
        let rtt = rtt.min(self.limit(domain));
        let trip = self.0.entry(domain.clone()).or_insert(RoundTrip {
            mean: rtt,
            deviation: Duration::ZERO,
        });
        let average =
            |old: Duration, new: Duration| old.mul_f64(1.0 - RTT_WEIGHT) + new.mul_f64(RTT_WEIGHT);
        trip.deviation = average(trip.deviation, trip.mean.abs_diff(rtt));
        trip.mean = average(trip.mean, rtt);
    }

    /// Mean round trip to a domain.
    pub(crate) fn mean(&self, domain: &str) -> Duration {
        self.0.get(domain).map_or(RTT_DEFAULT, |trip| trip.mean)
    }

    /// Time in which nearly all answers from a domain arrive.
    pub(crate) fn usual(&self, domain: &str) -> Duration {
        let Some(trip) = self.0.get(domain) else {
            return 2 * RTT_DEFAULT;
        };
        let spread = (DEVIATIONS * trip.deviation).min(SPREAD_MAX);
        (2 * trip.mean).max(trip.mean + spread)
    }

    /// Time after which an answer from a domain is late.
    pub(crate) fn limit(&self, domain: &str) -> Duration {
        self.usual(domain) + TIMEOUT_MARGIN
    }
}
