//! Time of one target selection as the fleet grows.

use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Costs, LoadReport, Policy, Query, Router};

const SELECTIONS: u32 = 20_000;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A selection must take far less time than the network hop to a target, also in a build without
/// optimisation.
const SELECTION_MAX: Duration = Duration::from_micros(100);

fn router(size: u32) -> Router {
    let router = Router::new(Policy::Cost, Costs::default());
    let targets = (0..size).map(|key| {
        let domain = DOMAINS[key as usize % DOMAINS.len()];
        Target {
            key: TargetKey(key),
            name: format!("engine-{key}").into(),
            incarnation: 0,
            addr: ([127, 0, 0, 1], 9000).into(),
            domain: domain.into(),
            region: domain.into(),
            service: "drafting".into(),
            version: "v1".into(),
            leaving: false,
        }
    });
    router.sync(targets.collect());
    let report = LoadReport {
        running: 3,
        queued: 0,
        slots: 8,
        age: Duration::from_secs(2),
        leaving: false,
    };
    let now = Instant::now();
    (0..size).for_each(|key| router.apply_load_report(TargetKey(key), report, now));
    router
}

/// Mean time to select a target and to end the lease.
fn mean_time(size: u32) -> Duration {
    let router = router(size);
    let now = Instant::now();
    let start = Instant::now();
    for i in 0..SELECTIONS {
        let query = Query {
            excluded_domains: &[],
            work: None,
            service: "drafting",
            version: "v1",
            domain: "a",
            region: "a",
            prefix: Some(u64::from(i % 97).wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            excluded: &[],
            bytes: 4_000,
        };
        let lease = router.choose(&query, now).expect("a target");
        lease.finish(now);
    }
    start.elapsed() / SELECTIONS
}

#[test]
fn selection_time_stays_bounded_as_the_fleet_grows() {
    for size in [36, 1_000, 11_000] {
        let mean = mean_time(size);
        println!("{size} targets: {} ns per selection", mean.as_nanos());
        assert!(mean <= SELECTION_MAX);
    }
}
