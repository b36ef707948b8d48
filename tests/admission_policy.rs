//! The policy of admission under overload, measured on a virtual clock.

mod driver;

use std::time::Duration;

use driver::{COST, Caller, Got, Plan, capacity, quantile, run};

const SLOTS: usize = 96;
/// Seconds that one unit of cost holds a slot.
const UNIT: f64 = 0.02;
const SMALL: [&str; 9] = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];

/// One large and nine small accounts of equal weight, with loads as multiples of `share`.
fn callers(share: f64, large: f64, small: f64) -> Vec<Caller> {
    let caller = |name, rate| Caller {
        name,
        weight: 1,
        rate,
        obeys: true,
    };
    let mut callers = vec![caller("large", large * share)];
    callers.extend(SMALL.map(|name| caller(name, small * share)));
    callers
}

fn plan(seed: u64, large: f64, small: f64) -> Plan {
    Plan {
        seed,
        callers: callers(capacity(SLOTS, UNIT) / 10.0, large, small),
        instances: 1,
        linked: true,
        entered: 1,
        slots: SLOTS,
        unit: UNIT,
        warmup: Duration::from_secs(30),
        length: Duration::from_secs(150),
    }
}

fn seconds(plan: &Plan) -> f64 {
    (plan.length - plan.warmup).as_secs_f64()
}

/// What an account got, in fair shares.
fn shares(plan: &Plan, got: &Got) -> f64 {
    let cost = got.cost as f64 / COST as f64;
    cost / seconds(plan) / (capacity(plan.slots, plan.unit) / 10.0)
}

fn goodput(plan: &Plan, got: &[Got]) -> f64 {
    let cost: u64 = got.iter().map(|g| g.cost).sum();
    cost as f64 / COST as f64 / seconds(plan) / capacity(plan.slots, plan.unit)
}

fn kept(got: &[Got]) -> (usize, f64) {
    let returned: usize = got.iter().map(|g| g.returned).sum();
    let let_in: usize = got.iter().map(|g| g.let_in).sum();
    (returned, let_in as f64 / returned.max(1) as f64)
}

fn print(plan: &Plan, got: &[Got]) {
    println!("goodput {:.3} of capacity", goodput(plan, got));
    println!("account offered done shares p50_ms p99_ms refused promised returned let_in");
    for (caller, g) in plan.callers.iter().zip(got) {
        println!(
            "{} {} {} {:.2} {} {} {} {} {} {}",
            caller.name,
            g.offered,
            g.done,
            shares(plan, g),
            quantile(&g.waits, 0.5).as_millis(),
            quantile(&g.waits, 0.99).as_millis(),
            g.refused,
            g.promised,
            g.returned,
            g.let_in,
        );
    }
}

fn check_overload(plan: &Plan) {
    let got = run(plan);

    print(plan, &got);
    for small in &got[1..] {
        let share = shares(plan, small);
        assert!(share >= 0.9, "a small account got {share:.2} of its share");
    }
    let (returned, kept) = kept(&got);
    assert!(returned > 0);
    assert!(kept >= 0.9, "{kept:.3} of obedient returns were let in");
    assert!(goodput(plan, &got) >= 0.95);
}

#[test]
fn small_accounts_keep_their_share_at_three_times_the_capacity() {
    for seed in [1, 2, 3] {
        check_overload(&plan(seed, 10.0, 20.0 / 9.0));
    }
}

#[test]
fn small_accounts_keep_their_share_over_three_instances() {
    for seed in [11, 12] {
        let plan = Plan {
            instances: 3,
            entered: 3,
            ..plan(seed, 10.0, 20.0 / 9.0)
        };
        check_overload(&plan);
    }
}

/// Generations of two minutes on 36 engines with 8 slots.
#[test]
fn small_accounts_keep_their_share_of_long_generations() {
    let (slots, unit) = (288, 1.2);
    for seed in [13, 14, 15] {
        let plan = Plan {
            callers: callers(capacity(slots, unit) / 10.0, 10.0, 20.0 / 9.0),
            instances: 6,
            entered: 6,
            slots,
            unit,
            warmup: Duration::from_secs(600),
            length: Duration::from_secs(3_600),
            ..plan(seed, 10.0, 20.0 / 9.0)
        };
        check_overload(&plan);
    }
}

#[test]
fn small_accounts_within_their_share_start_as_if_alone() {
    let cases = [
        (0.5, 25.5, Duration::from_millis(250)),
        (0.8, 22.8, Duration::from_secs(1)),
    ];
    for (small, large, allowed) in cases {
        let alone = plan(4, 0.0, small);
        let crowded = plan(4, large, small);

        let base = run(&alone);
        let got = run(&crowded);

        print(&crowded, &got);
        let waits = |got: &[Got]| -> Vec<_> {
            let small = got[1..].iter();
            small.flat_map(|g| g.waits.iter().copied()).collect()
        };
        let before = quantile(&waits(&base), 0.99);
        let after = quantile(&waits(&got), 0.99);
        println!("small accounts at {small} shares: p99 wait {after:?}, alone {before:?}");
        assert!(after <= before + allowed);
        for small in &got[1..] {
            assert!(small.done as f64 >= 0.9 * small.offered as f64);
        }
    }
}

#[test]
fn refusals_are_early() {
    let plan = plan(5, 10.0, 20.0 / 9.0);

    let got = run(&plan);

    let waits: Vec<_> = got.iter().flat_map(|g| &g.refusal_waits).copied().collect();
    let late = waits.iter().filter(|w| !w.is_zero()).count();
    println!("{late} of {} refusals after a wait", waits.len());
    assert!(late * 100 <= waits.len());
}

#[test]
fn goodput_does_not_fall_with_more_offered_load() {
    let mut last = 0.0;
    for load in [1.0, 2.0, 3.0, 4.0, 5.0] {
        let plan = plan(6, 10.0 * load / 3.0, 20.0 / 9.0 * load / 3.0);
        let got = run(&plan);
        let good = goodput(&plan, &got);
        println!("offered {load} goodput {good:.3}");
        assert!(good >= last - 0.02, "{good:.3} after {last:.3}");
        last = good;
    }
}

#[test]
fn an_instance_cut_off_degrades_to_its_local_share() {
    let plan = Plan {
        instances: 3,
        entered: 3,
        linked: false,
        ..plan(7, 10.0, 20.0 / 9.0)
    };

    let got = run(&plan);

    print(&plan, &got);
    assert!(goodput(&plan, &got) >= 0.95);
    for small in &got[1..] {
        assert!(shares(&plan, small) >= 0.9);
    }
}

#[test]
fn one_busy_instance_uses_what_its_idle_peers_do_not() {
    let plan = Plan {
        instances: 3,
        entered: 1,
        ..plan(8, 10.0, 20.0 / 9.0)
    };

    let got = run(&plan);

    print(&plan, &got);
    // Idle peers keep a tenth of an even share each.
    assert!(goodput(&plan, &got) >= 0.9);
}
