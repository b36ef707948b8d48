use std::time::Duration;

use smol_str::SmolStr;

use crate::relay::round_trips::RoundTrips;

fn measured(millis: &[u64]) -> RoundTrips {
    let mut trips = RoundTrips::default();
    for rtt in millis {
        trips.record(&SmolStr::new("a"), Duration::from_millis(*rtt));
    }
    trips
}

#[test]
fn steady_round_trips_keep_the_limit_at_twice_the_mean_and_a_margin() {
    let trips = measured(&[4; 20]);

    assert_eq!(trips.limit("a").as_millis(), 48);
}

/// Guards sound targets behind a busy link, whose answers vary.
#[test]
fn limit_exceeds_round_trips_that_vary() {
    let trips = measured(&[4, 4, 60, 4, 70, 4, 4, 80, 4, 60, 4, 4]);

    assert!(trips.limit("a") > Duration::from_millis(100));
}

/// Guards against a death that is found late long after the link was full.
#[test]
fn limit_returns_once_round_trips_are_steady_again() {
    let mut late = vec![150; 10];
    late.extend([4; 25]);

    assert!(measured(&late).limit("a") < Duration::from_millis(52));
}

#[test]
fn limit_is_bounded_however_much_round_trips_vary() {
    let trips = measured(&[4, 900, 4, 900, 4, 900, 4]);

    assert!(trips.limit("a") < 2 * trips.mean("a") + Duration::from_millis(141));
}
