//! Time of one choice as the fleet grows.

use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Costs, Policy, Query, Report, Router};

const CHOICES: u32 = 20_000;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A choice must stay far below the hop to a target, also in a build without optimisation.
const CHOICE_MAX: Duration = Duration::from_micros(100);

fn router(size: u32) -> Router {
    let router = Router::new(Policy::Cost, Costs::default());
    let targets = (0..size).map(|key| {
        let domain = DOMAINS[key as usize % DOMAINS.len()];
        Target {
            key: TargetKey(key),
            name: format!("engine-{key}").into(),
            addr: ([127, 0, 0, 1], 9000).into(),
            domain: domain.into(),
            region: domain.into(),
            service: "drafting".into(),
            version: "v1".into(),
            leaving: false,
        }
    });
    router.sync(targets.collect());
    let report = Report {
        running: 3,
        queued: 0,
        slots: 8,
        age: Duration::from_secs(2),
        leaving: false,
    };
    let now = Instant::now();
    (0..size).for_each(|key| router.report(TargetKey(key), report, now));
    router
}

/// Mean time of one choice and its end.
fn choice(size: u32) -> Duration {
    let router = router(size);
    let now = Instant::now();
    let begun = Instant::now();
    for i in 0..CHOICES {
        let query = Query {
            avoid: &[],
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
    begun.elapsed() / CHOICES
}

#[test]
fn a_choice_does_not_look_at_every_target() {
    for size in [36, 1_000, 11_000] {
        let mean = choice(size);
        println!("{size} targets: {} ns a choice", mean.as_nanos());
        assert!(mean <= CHOICE_MAX);
    }
}
