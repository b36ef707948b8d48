//! Properties of the router, for any fleet and any sequence of inputs, and single cases.

use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{
    Costs, Departure, InflightCount, LoadReport, PeerReport, Policy, Query, Router, Work,
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::TwoChoices,
    Policy::LeastReported,
    Policy::Cost,
];

fn target(key: u32, domain: &str) -> Target {
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
}

fn departure(target: &str) -> Departure {
    Departure {
        target: target.into(),
        incarnation: 0,
    }
}

fn fleet(size: u32) -> Vec<Target> {
    (0..size)
        .map(|key| target(key, ["a", "b", "c"][key as usize % 3]))
        .collect()
}

fn router(policy: Policy, targets: Vec<Target>) -> Router {
    let router = Router::new(policy, Costs::default());
    router.sync(targets);
    router
}

fn query(prefix: Option<u64>, excluded: &[TargetKey]) -> Query<'_> {
    Query {
        excluded_domains: &[],
        work: None,
        service: "drafting",
        version: "v1",
        domain: "a",
        region: "a",
        prefix,
        excluded,
        bytes: 4_000,
    }
}

fn report(running: u32, slots: u32, age: Duration) -> LoadReport {
    LoadReport {
        running,
        queued: 0,
        slots,
        age,
        leaving: false,
    }
}

proptest! {
    #[test]
    fn unavailable_targets_are_never_selected(
        size in 1_u32..200,
        leaving in prop::collection::vec(0_u32..200, 0..40),
        dead in prop::collection::vec(0_u32..200, 0..40),
        excluded in prop::collection::vec(0_u32..200, 0..40),
        prefix in prop::option::of(any::<u64>()),
        policy in 0..POLICIES.len(),
    ) {
        let router = router(POLICIES[policy], fleet(size));
        let now = Instant::now();
        let excluded: Vec<_> = excluded.into_iter().map(TargetKey).collect();
        leaving.iter().for_each(|key| router.mark_leaving(TargetKey(*key), now));
        dead.iter().for_each(|key| router.mark_dead(TargetKey(*key), now));
        let unavailable = |key: TargetKey| {
            leaving.contains(&key.0) || dead.contains(&key.0) || excluded.contains(&key)
        };
        let any_available = (0..size).any(|key| !unavailable(TargetKey(key)));

        let leases: Vec<_> = (0..20)
            .map(|_| router.choose(&query(prefix, &excluded), now))
            .collect();

        for lease in leases {
            prop_assert_eq!(lease.is_some(), any_available);
            prop_assert!(lease.is_none_or(|l| !unavailable(l.key)));
        }
    }

    #[test]
    fn affinity_stays_within_its_load_bound(
        size in 2_u32..48,
        count in 1_u32..600,
        prefix in any::<u64>(),
    ) {
        let one_domain = (0..size).map(|key| target(key, "a")).collect();
        let router = router(Policy::Cost, one_domain);
        let now = Instant::now();
        (0..size).for_each(|key| {
            router.apply_load_report(TargetKey(key), report(0, 8, Duration::ZERO), now);
        });

        let leases: Vec<_> = (0..count)
            .filter_map(|_| router.choose(&query(Some(prefix), &[]), now))
            .collect();

        let mean = f64::from(count) / f64::from(size);
        let bound = (1.25 * mean).max(4.0).ceil() + 1.0;
        for key in 0..size {
            let held = leases.iter().filter(|l| l.key == TargetKey(key)).count();
            prop_assert!(held as f64 <= bound, "{held} above {bound}");
        }
    }

    #[test]
    fn inflight_counts_return_to_zero(ends in prop::collection::vec(any::<bool>(), 1..200)) {
        let router = router(Policy::Cost, fleet(9));
        let now = Instant::now();
        let leases: Vec<_> = ends
            .iter()
            .filter_map(|_| router.choose(&query(None, &[]), now))
            .collect();
        let counted: u32 = router.peer_report(now).counts.iter().map(|c| c.count).sum();
        prop_assert_eq!(counted as usize, leases.len());

        for (lease, finish) in leases.into_iter().zip(ends) {
            match finish {
                true => lease.finish(now + SECOND),
                false => drop(lease),
            }
        }

        prop_assert!(router.peer_report(now + SECOND).counts.is_empty());
    }
}

#[test]
fn own_domain_is_preferred_until_queueing_costs_more() {
    let router = router(Policy::Cost, fleet(36));
    let now = Instant::now();
    (0..36).for_each(|key| {
        router.apply_load_report(TargetKey(key), report(0, 8, Duration::ZERO), now);
    });

    let leases: Vec<_> = (0..200)
        .filter_map(|_| router.choose(&query(None, &[]), now))
        .collect();

    let first_remote = leases.iter().position(|l| l.cross_region);
    let own_slots = 12 * 8;
    assert!(
        first_remote.is_some_and(|at| at >= own_slots),
        "{first_remote:?}"
    );
}

#[test]
fn load_report_is_corrected_by_requests_started_since() {
    let router = router(Policy::Cost, fleet(1));
    let key = TargetKey(0);
    let start = Instant::now() + SECOND;
    let before: Vec<_> = (0..3)
        .filter_map(|_| router.choose(&query(None, &[]), start))
        .collect();
    let later = start + 4 * SECOND;
    let after: Vec<_> = (0..2)
        .filter_map(|_| router.choose(&query(None, &[]), later))
        .collect();

    // The report is 2 s old: it covers the first three requests and two of other instances, but not
    // the last two.
    router.apply_load_report(key, report(5, 8, 2 * SECOND), later);

    assert_eq!(router.estimate(key, later), Some(7));
    before.into_iter().for_each(|l| l.finish(later));
    assert_eq!(router.estimate(key, later), Some(4));
    drop(after);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now() + 5 * SECOND;
    router.apply_load_report(TargetKey(0), report(4, 8, Duration::ZERO), now);

    router.apply_load_report(TargetKey(0), report(1, 8, 3 * SECOND), now);

    assert_eq!(router.estimate(TargetKey(0), now), Some(4));
}

#[test]
fn dead_target_reported_by_a_peer_is_blocked_until_own_evidence() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now();
    let report = PeerReport {
        dead: vec!["engine-0".into()],
        ..PeerReport::default()
    };

    router.apply_peer_report("other", &report, now);

    assert!(router.choose(&query(None, &[]), now).is_none());
    router.mark_alive(TargetKey(0), now + SECOND);
    assert!(router.choose(&query(None, &[]), now + SECOND).is_some());
    // Fresh evidence of this instance overrides a peer that cannot reach the target.
    router.apply_peer_report("other", &report, now + SECOND + SECOND / 2);
    assert!(router.choose(&query(None, &[]), now + 2 * SECOND).is_some());
}

#[test]
fn dead_target_gets_one_request_at_a_time_until_it_answers() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now();
    router.mark_dead(TargetKey(0), now);
    let later = now + 6 * SECOND;

    let lease = router.choose(&query(None, &[]), later);

    assert!(router.choose(&query(None, &[]), now + SECOND).is_none());
    assert!(lease.is_some());
    router.mark_alive(TargetKey(0), later);
    assert!(router.choose(&query(None, &[]), later).is_some());
}

#[test]
fn suspect_target_is_avoided_until_its_suspicion_decays() {
    let router = router(Policy::Cost, fleet(6));
    let now = Instant::now();
    router.mark_suspect(TargetKey(0), now);
    router.mark_suspect(TargetKey(3), now);

    let avoided = router.choose(&query(None, &[]), now);
    let excluded = [1, 2, 4, 5].map(TargetKey);
    let last_resort = router.choose(&query(None, &excluded), now);

    assert!(avoided.is_some_and(|l| l.key.0 % 3 != 0));
    assert!(last_resort.is_some_and(|l| l.key.0 % 3 == 0));
    let decayed = router.choose(&query(None, &[]), now + 6 * SECOND);
    assert!(decayed.is_some_and(|l| l.key.0 % 3 == 0));
}

#[test]
fn stale_list_does_not_clear_leaving() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now() + 5 * SECOND;
    router.mark_leaving(TargetKey(0), now);

    router.sync(fleet(1));
    router.mark_alive(TargetKey(0), now + SECOND);
    router.apply_load_report(TargetKey(0), report(0, 8, 2 * SECOND), now + SECOND);

    assert!(router.choose(&query(None, &[]), now + SECOND).is_none());
    assert_eq!(router.peer_report(now).leaving, [departure("engine-0")]);
    // A newer report of the target itself, as after a restart, clears it.
    router.apply_load_report(TargetKey(0), report(0, 8, SECOND), now + 3 * SECOND);
    assert!(router.choose(&query(None, &[]), now + 3 * SECOND).is_some());
}

#[test]
fn leaving_target_reported_by_a_peer_is_blocked_until_the_report_expires() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now();
    let report = PeerReport {
        leaving: vec![departure("engine-0")],
        ..PeerReport::default()
    };

    router.apply_peer_report("other", &report, now);

    assert!(router.choose(&query(None, &[]), now + 9 * SECOND).is_none());
    assert!(
        router.peer_report(now).leaving.is_empty(),
        "reports of peers are not forwarded"
    );
    assert!(
        router
            .choose(&query(None, &[]), now + 11 * SECOND)
            .is_some()
    );
}

#[test]
fn peer_counts_are_a_lower_bound_and_expire() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now();
    let report = |count| PeerReport {
        counts: vec![InflightCount {
            target: "engine-0".into(),
            count,
            work: Work::default(),
        }],
        ..PeerReport::default()
    };
    router.apply_peer_report("b", &report(2), now);
    router.apply_peer_report("c", &report(3), now);
    assert_eq!(router.estimate(TargetKey(0), now), Some(5));

    router.apply_peer_report("b", &PeerReport::default(), now);

    assert_eq!(router.estimate(TargetKey(0), now), Some(3));
    assert_eq!(router.estimate(TargetKey(0), now + 4 * SECOND), Some(0));
}
