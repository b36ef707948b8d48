//! Rules of the router that hold for any fleet and any history of inputs.

use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Costs, Count, Policy, Query, Report, Router, Word, Work};
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
        addr: ([127, 0, 0, 1], 9000).into(),
        domain: domain.into(),
        region: domain.into(),
        service: "drafting".into(),
        version: "v1".into(),
        leaving: false,
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
        avoid: &[],
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

fn report(running: u32, slots: u32, age: Duration) -> Report {
    Report {
        running,
        queued: 0,
        slots,
        age,
        leaving: false,
    }
}

proptest! {
    #[test]
    fn unfit_targets_get_nothing(
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
        let unfit = |key: TargetKey| {
            leaving.contains(&key.0) || dead.contains(&key.0) || excluded.contains(&key)
        };
        let any_fit = (0..size).any(|key| !unfit(TargetKey(key)));

        let leases: Vec<_> = (0..20)
            .map(|_| router.choose(&query(prefix, &excluded), now))
            .collect();

        for lease in leases {
            prop_assert_eq!(lease.is_some(), any_fit);
            prop_assert!(lease.is_none_or(|l| !unfit(l.key)));
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
        (0..size).for_each(|key| router.report(TargetKey(key), report(0, 8, Duration::ZERO), now));

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
    fn counts_return_to_zero(ends in prop::collection::vec(any::<bool>(), 1..200)) {
        let router = router(Policy::Cost, fleet(9));
        let now = Instant::now();
        let leases: Vec<_> = ends
            .iter()
            .filter_map(|_| router.choose(&query(None, &[]), now))
            .collect();
        let counted: u32 = router.word(now).counts.iter().map(|c| c.count).sum();
        prop_assert_eq!(counted as usize, leases.len());

        for (lease, finish) in leases.into_iter().zip(ends) {
            match finish {
                true => lease.finish(now + SECOND),
                false => drop(lease),
            }
        }

        prop_assert!(router.word(now + SECOND).counts.is_empty());
    }
}

#[test]
fn own_domain_first_until_waiting_costs_more() {
    let router = router(Policy::Cost, fleet(36));
    let now = Instant::now();
    (0..36).for_each(|key| router.report(TargetKey(key), report(0, 8, Duration::ZERO), now));

    let leases: Vec<_> = (0..200)
        .filter_map(|_| router.choose(&query(None, &[]), now))
        .collect();

    let first_far = leases.iter().position(|l| l.far);
    let own_slots = 12 * 8;
    assert!(first_far.is_some_and(|at| at >= own_slots), "{first_far:?}");
}

#[test]
fn a_report_is_corrected_by_what_started_since() {
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

    // The figures are 2 s old: they hold the first three and two of others, not the last two.
    router.report(key, report(5, 8, 2 * SECOND), later);

    assert_eq!(router.estimate(key, later), Some(7));
    before.into_iter().for_each(|l| l.finish(later));
    assert_eq!(router.estimate(key, later), Some(4));
    drop(after);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now() + 5 * SECOND;
    router.report(TargetKey(0), report(4, 8, Duration::ZERO), now);

    router.report(TargetKey(0), report(1, 8, 3 * SECOND), now);

    assert_eq!(router.estimate(TargetKey(0), now), Some(4));
}

#[test]
fn peers_word_of_death_holds_until_own_evidence() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now();
    let word = Word {
        dead: vec!["engine-0".into()],
        ..Word::default()
    };

    router.peer_word("other", &word, now);

    assert!(router.choose(&query(None, &[]), now).is_none());
    router.mark_alive(TargetKey(0), now + SECOND);
    assert!(router.choose(&query(None, &[]), now + SECOND).is_some());
    // Own fresh evidence of life outweighs a peer that cannot reach the target.
    router.peer_word("other", &word, now + SECOND + SECOND / 2);
    assert!(router.choose(&query(None, &[]), now + 2 * SECOND).is_some());
}

#[test]
fn a_dead_target_comes_back_by_one_trial_at_a_time() {
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
fn a_suspect_is_avoided_and_forgiven() {
    let router = router(Policy::Cost, fleet(6));
    let now = Instant::now();
    router.mark_suspect(TargetKey(0), now);
    router.mark_suspect(TargetKey(3), now);

    let avoided = router.choose(&query(None, &[]), now);
    let excluded = [1, 2, 4, 5].map(TargetKey);
    let last_resort = router.choose(&query(None, &excluded), now);

    assert!(avoided.is_some_and(|l| l.key.0 % 3 != 0));
    assert!(last_resort.is_some_and(|l| l.key.0 % 3 == 0));
    let forgiven = router.choose(&query(None, &[]), now + 6 * SECOND);
    assert!(forgiven.is_some_and(|l| l.key.0 % 3 == 0));
}

#[test]
fn a_lagging_list_does_not_take_leaving_back() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now() + 5 * SECOND;
    router.mark_leaving(TargetKey(0), now);

    router.sync(fleet(1));
    router.mark_alive(TargetKey(0), now + SECOND);
    router.report(TargetKey(0), report(0, 8, 2 * SECOND), now + SECOND);

    assert!(router.choose(&query(None, &[]), now + SECOND).is_none());
    assert_eq!(router.word(now).leaving, ["engine-0"]);
    // Its own newer word, as after a restart, does.
    router.report(TargetKey(0), report(0, 8, SECOND), now + 3 * SECOND);
    assert!(router.choose(&query(None, &[]), now + 3 * SECOND).is_some());
}

#[test]
fn peers_word_of_leaving_holds_while_it_is_repeated() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now();
    let word = Word {
        leaving: vec!["engine-0".into()],
        ..Word::default()
    };

    router.peer_word("other", &word, now);

    assert!(router.choose(&query(None, &[]), now + 9 * SECOND).is_none());
    assert!(
        router.word(now).leaving.is_empty(),
        "hearsay is not repeated"
    );
    assert!(
        router
            .choose(&query(None, &[]), now + 11 * SECOND)
            .is_some()
    );
}

#[test]
fn peers_counts_are_a_lower_bound_and_expire() {
    let router = router(Policy::Cost, fleet(1));
    let now = Instant::now();
    let word = |count| Word {
        counts: vec![Count {
            target: "engine-0".into(),
            count,
            work: Work::default(),
        }],
        ..Word::default()
    };
    router.peer_word("b", &word(2), now);
    router.peer_word("c", &word(3), now);
    assert_eq!(router.estimate(TargetKey(0), now), Some(5));

    router.peer_word("b", &Word::default(), now);

    assert_eq!(router.estimate(TargetKey(0), now), Some(3));
    assert_eq!(router.estimate(TargetKey(0), now + 4 * SECOND), Some(0));
}
