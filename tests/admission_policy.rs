//! Fairness, goodput and retries under overload, simulated on a virtual clock.

mod driver;

use std::time::Duration;

use driver::{COST, Caller, Scenario, Stats, capacity, quantile, run};

const SLOTS: usize = 96;
/// Seconds for which one unit of cost holds a slot.
const UNIT_HOLD_S: f64 = 0.02;
const SMALL: [&str; 9] = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];

/// One large and nine small accounts of equal weight. Their loads are multiples of `share`.
fn callers(share: f64, large: f64, small: f64) -> Vec<Caller> {
    let caller = |name, rate| Caller {
        name,
        weight: 1,
        rate,
        obeys_retry: true,
    };
    let mut callers = vec![caller("large", large * share)];
    callers.extend(SMALL.map(|name| caller(name, small * share)));
    callers
}

fn scenario(seed: u64, large: f64, small: f64) -> Scenario {
    Scenario {
        seed,
        callers: callers(capacity(SLOTS, UNIT_HOLD_S) / 10.0, large, small),
        instances: 1,
        exchanging: true,
        entry_instances: 1,
        slots: SLOTS,
        unit_hold: UNIT_HOLD_S,
        warmup: Duration::from_secs(30),
        duration: Duration::from_secs(150),
    }
}

fn seconds(scenario: &Scenario) -> f64 {
    (scenario.duration - scenario.warmup).as_secs_f64()
}

/// Cost completed for an account, in fair shares.
fn shares(scenario: &Scenario, stats: &Stats) -> f64 {
    let cost = stats.cost as f64 / COST as f64;
    cost / seconds(scenario) / (capacity(scenario.slots, scenario.unit_hold) / 10.0)
}

fn goodput(scenario: &Scenario, stats: &[Stats]) -> f64 {
    let cost: u64 = stats.iter().map(|s| s.cost).sum();
    cost as f64 / COST as f64 / seconds(scenario) / capacity(scenario.slots, scenario.unit_hold)
}

fn retries(stats: &[Stats]) -> (usize, f64) {
    let retried: usize = stats.iter().map(|s| s.retried).sum();
    let accepted: usize = stats.iter().map(|s| s.accepted).sum();
    (retried, accepted as f64 / retried.max(1) as f64)
}

fn print(scenario: &Scenario, stats: &[Stats]) {
    println!("goodput {:.3} of capacity", goodput(scenario, stats));
    println!("account offered done shares p50_ms p99_ms refused reserved retried accepted");
    for (caller, s) in scenario.callers.iter().zip(stats) {
        println!(
            "{} {} {} {:.2} {} {} {} {} {} {}",
            caller.name,
            s.offered,
            s.done,
            shares(scenario, s),
            quantile(&s.waits, 0.5).as_millis(),
            quantile(&s.waits, 0.99).as_millis(),
            s.refused,
            s.reserved,
            s.retried,
            s.accepted,
        );
    }
}

fn check_overload(scenario: &Scenario) {
    let stats = run(scenario);

    print(scenario, &stats);
    for small in &stats[1..] {
        let share = shares(scenario, small);
        assert!(
            share >= 0.9,
            "a small account was served {share:.2} of its share"
        );
    }
    let (retried, accepted) = retries(&stats);
    assert!(retried > 0);
    assert!(
        accepted >= 0.9,
        "{accepted:.3} of retries at their reserved time were accepted"
    );
    assert!(goodput(scenario, &stats) >= 0.95);
}

#[test]
fn small_accounts_keep_their_share_at_three_times_the_capacity() {
    for seed in [1, 2, 3] {
        check_overload(&scenario(seed, 10.0, 20.0 / 9.0));
    }
}

#[test]
fn small_accounts_keep_their_share_over_three_instances() {
    for seed in [11, 12] {
        let scenario = Scenario {
            instances: 3,
            entry_instances: 3,
            ..scenario(seed, 10.0, 20.0 / 9.0)
        };
        check_overload(&scenario);
    }
}

/// Generations of two minutes on 36 engines with 8 slots.
#[test]
fn small_accounts_keep_their_share_of_long_generations() {
    let (slots, unit_hold) = (288, 1.2);
    for seed in [13, 14, 15] {
        let scenario = Scenario {
            callers: callers(capacity(slots, unit_hold) / 10.0, 10.0, 20.0 / 9.0),
            instances: 6,
            entry_instances: 6,
            slots,
            unit_hold,
            warmup: Duration::from_secs(600),
            duration: Duration::from_secs(3_600),
            ..scenario(seed, 10.0, 20.0 / 9.0)
        };
        check_overload(&scenario);
    }
}

#[test]
fn small_accounts_within_their_share_are_not_delayed() {
    let cases = [
        (0.5, 25.5, Duration::from_millis(250)),
        (0.8, 22.8, Duration::from_secs(1)),
    ];
    for (small, large, allowed) in cases {
        let alone = scenario(4, 0.0, small);
        let overloaded = scenario(4, large, small);

        let baseline = run(&alone);
        let stats = run(&overloaded);

        print(&overloaded, &stats);
        let waits = |stats: &[Stats]| -> Vec<_> {
            let small = stats[1..].iter();
            small.flat_map(|s| s.waits.iter().copied()).collect()
        };
        let baseline_p99 = quantile(&waits(&baseline), 0.99);
        let p99 = quantile(&waits(&stats), 0.99);
        println!("small accounts at {small} shares: p99 wait {p99:?}, alone {baseline_p99:?}");
        assert!(p99 <= baseline_p99 + allowed);
        for small in &stats[1..] {
            assert!(small.done as f64 >= 0.9 * small.offered as f64);
        }
    }
}

#[test]
fn refusals_come_without_a_wait() {
    let scenario = scenario(5, 10.0, 20.0 / 9.0);

    let stats = run(&scenario);

    let waits: Vec<_> = stats
        .iter()
        .flat_map(|s| &s.refusal_waits)
        .copied()
        .collect();
    let delayed = waits.iter().filter(|w| !w.is_zero()).count();
    println!("{delayed} of {} refusals after a wait", waits.len());
    assert!(delayed * 100 <= waits.len());
}

#[test]
fn goodput_does_not_fall_with_more_offered_load() {
    let mut previous = 0.0;
    for load in [1.0, 2.0, 3.0, 4.0, 5.0] {
        let scenario = scenario(6, 10.0 * load / 3.0, 20.0 / 9.0 * load / 3.0);
        let stats = run(&scenario);
        let measured = goodput(&scenario, &stats);
        println!("offered {load} goodput {measured:.3}");
        assert!(
            measured >= previous - 0.02,
            "{measured:.3} after {previous:.3}"
        );
        previous = measured;
    }
}

#[test]
fn isolated_instances_fall_back_to_their_local_share() {
    let scenario = Scenario {
        instances: 3,
        entry_instances: 3,
        exchanging: false,
        ..scenario(7, 10.0, 20.0 / 9.0)
    };

    let stats = run(&scenario);

    print(&scenario, &stats);
    assert!(goodput(&scenario, &stats) >= 0.95);
    for small in &stats[1..] {
        assert!(shares(&scenario, small) >= 0.9);
    }
}

#[test]
fn busy_instance_uses_the_capacity_of_idle_peers() {
    let scenario = Scenario {
        instances: 3,
        entry_instances: 1,
        ..scenario(8, 10.0, 20.0 / 9.0)
    };

    let stats = run(&scenario);

    print(&scenario, &stats);
    // Each idle peer keeps a tenth of an even share.
    assert!(goodput(&scenario, &stats) >= 0.9);
}
