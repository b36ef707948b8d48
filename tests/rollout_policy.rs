//! Simulates moves over many seeds and kinds of faults, and bounds the exposure of requests to bad
//! versions, the time until rollback and the rate of false rollbacks.

#[path = "rollout/simulation.rs"]
mod simulation;

use std::sync::atomic::{AtomicUsize, Ordering};

use endivefork::rollout::Phase;
use parking_lot::Mutex;
use simulation::{Disturbance, Effect, Fault, Onset, Outcome, Policy, Setup, run};

/// Without optimisation, only every ninth seed runs; the full set needs `--release`.
const SEED_STEP: usize = if cfg!(debug_assertions) { 9 } else { 1 };

/// Duration of a busy move in seconds.
const DURATION_S: u64 = 1800;

/// Fewest requests in a busy move.
const MIN_REQUESTS: f64 = 18_000.0;

/// Expected bad responses within 1% of the requests. A sequential test at this level needs about
/// seven, and with twelve expected at least that many nearly always occur.
const EXPECTED_BAD: f64 = 12.0;

const THREADS: usize = 3;

/// Largest fraction of the requests that may be exposed to a fault.
const MAX_EXPOSED: f64 = 0.01;

/// Longest time for which requests still go to the new version once the evidence suffices for a
/// rollback.
const MAX_STOP_MS: u64 = 2000;

/// Requests of which 1% hold [`EXPECTED_BAD`] bad responses. With fewer, no test can distinguish a
/// fault of this kind from chance before more than 1% of the requests are exposed.
fn min_requests(fault: Fault) -> f64 {
    let route = if fault.one_route { 0.1 } else { 1.0 };
    let load = match fault.onset {
        Onset::UnderLoad => 0.35,
        Onset::AtOnce | Onset::Later => 1.0,
    };
    let bad_rate = match fault.effect {
        Effect::Fail(rate) => rate,
        Effect::Slow(by) | Effect::SlowFirst(by) if by >= 4.0 => 0.9,
        Effect::Slow(_) | Effect::SlowFirst(_) => 0.15,
    };
    EXPECTED_BAD / (MAX_EXPOSED * route * load * bad_rate)
}

fn busy(seed: u64, fault: Option<Fault>, disturbance: Disturbance) -> Setup {
    Setup {
        seed,
        duration_s: DURATION_S,
        rate: fault.map_or(MIN_REQUESTS, min_requests).max(MIN_REQUESTS) / DURATION_S as f64,
        tick_ms: 250,
        instances: 3,
        fault,
        disturbance,
        policy: Policy::Evidence,
    }
}

/// Four hours with about one request every five seconds.
fn quiet(seed: u64, fault: Option<Fault>) -> Setup {
    Setup {
        duration_s: 4 * 3600,
        rate: 0.2,
        tick_ms: 1000,
        ..busy(seed, fault, Disturbance::None)
    }
}

/// Strong faults, which are detected within a few dozen requests.
const STRONG: [Effect; 4] = [
    Effect::Fail(0.3),
    Effect::Fail(1.0),
    Effect::Slow(4.0),
    Effect::SlowFirst(4.0),
];

/// Weak faults, which take some hundred requests to distinguish from chance.
const WEAK: [Effect; 3] = [Effect::Fail(0.1), Effect::Slow(2.0), Effect::SlowFirst(2.0)];

fn faults(effects: &[Effect]) -> Vec<Fault> {
    let mut all = Vec::new();
    for onset in [Onset::AtOnce, Onset::Later, Onset::UnderLoad] {
        for one_route in [false, true] {
            all.extend(effects.iter().map(|effect| Fault {
                onset,
                effect: *effect,
                one_route,
            }));
        }
    }
    all
}

fn run_all(setups: &[Setup]) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(vec![Outcome::default(); setups.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(setup) = setups.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let index = setups.iter().position(|s| std::ptr::eq(s, setup));
                    let outcome = run(*setup);
                    done.lock()[index.expect("taken from the list")] = outcome;
                }
            });
        }
    });
    done.into_inner()
}

fn name(fault: Fault) -> String {
    let routes = if fault.one_route { "one route" } else { "all" };
    format!("{:?} {:?} {routes}", fault.onset, fault.effect)
}

fn exposed_fraction(outcome: &Outcome) -> f64 {
    outcome.exposed as f64 / outcome.requests.max(1) as f64
}

/// Milliseconds after `from` for which requests went to the new version.
fn stop_ms(outcome: &Outcome, from: Option<u64>) -> u64 {
    let last = outcome.last_sent.unwrap_or(0);
    from.map_or(0, |from| last.saturating_sub(from))
}

fn worst<T: PartialOrd + Copy>(values: impl Iterator<Item = T>) -> Option<T> {
    values.reduce(|a, b| if b > a { b } else { a })
}

fn print_faults(title: &str, setups: &[Setup], outcomes: &[Outcome]) {
    println!(
        "{title}: fault | rolled back | worst exposed % | stop after evidence ms | after 5th bad ms"
    );
    let kinds: indexmap::IndexSet<_> = setups.iter().filter_map(|s| s.fault).map(name).collect();
    for kind in kinds {
        let of_kind: Vec<_> = setups
            .iter()
            .zip(outcomes)
            .filter(|(s, _)| s.fault.map(name).as_ref() == Some(&kind))
            .map(|(_, o)| o)
            .collect();
        let rolled_back = of_kind.iter().filter(|o| o.phase == Some(Phase::Withdrawn));
        println!(
            "  {kind:<38} {:>2}/{:<2} {:>6.2} {:>6} {:>7}",
            rolled_back.count(),
            of_kind.len(),
            100.0 * worst(of_kind.iter().map(|o| exposed_fraction(o))).unwrap_or(0.0),
            worst(of_kind.iter().map(|o| stop_ms(o, o.refuted_at))).unwrap_or(0),
            worst(of_kind.iter().map(|o| stop_ms(o, o.fifth_bad))).unwrap_or(0),
        );
    }
}

fn assert_rolled_back(setups: &[Setup], outcomes: &[Outcome]) {
    let failing = |bad: &dyn Fn(&Outcome) -> bool| -> Vec<String> {
        let all = setups.iter().zip(outcomes);
        all.filter(|(_, o)| bad(o))
            .map(|(s, o)| format!("seed {} {:?}: {o:?}", s.seed, s.fault))
            .collect()
    };
    let missed = failing(&|o| o.phase != Some(Phase::Withdrawn));
    let overexposed = failing(&|o| exposed_fraction(o) > MAX_EXPOSED);
    let late = failing(&|o| stop_ms(o, o.refuted_at) > MAX_STOP_MS);
    println!(
        "{} seeds; not rolled back {}; over 1% exposed {}; stopped late {}",
        setups.len(),
        missed.len(),
        overexposed.len(),
        late.len()
    );
    assert!(missed.is_empty(), "not rolled back: {missed:#?}");
    assert!(
        overexposed.is_empty(),
        "too many requests exposed: {overexposed:#?}"
    );
    assert!(late.is_empty(), "stopped too late: {late:#?}");
}

#[test]
fn bad_versions_are_rolled_back_early() {
    // Arrange
    let disturbances = [Disturbance::None, Disturbance::Crashes, Disturbance::Poison];
    let setups: Vec<_> = faults(&STRONG)
        .into_iter()
        .flat_map(|fault| (0..6).map(move |i| (fault, disturbances[i % disturbances.len()])))
        .enumerate()
        .map(|(seed, (fault, disturbance))| busy(seed as u64, Some(fault), disturbance))
        .step_by(SEED_STEP)
        .collect();
    let fixed: Vec<_> = setups
        .iter()
        .step_by(3)
        .map(|s| Setup {
            policy: Policy::FixedSteps,
            ..*s
        })
        .collect();

    // Act
    let outcomes = run_all(&setups);
    let baseline = run_all(&fixed);

    // Assert
    print_faults("by evidence", &setups, &outcomes);
    print_faults("fixed steps", &fixed, &baseline);
    let missed = baseline
        .iter()
        .filter(|o| o.phase != Some(Phase::Withdrawn));
    let overexposed = baseline
        .iter()
        .filter(|o| exposed_fraction(o) > MAX_EXPOSED);
    let (missed, overexposed) = (missed.count(), overexposed.count());
    println!(
        "fixed steps: {} seeds; not rolled back {missed}; over 1% exposed {overexposed}",
        fixed.len()
    );
    assert_rolled_back(&setups, &outcomes);
}

#[test]
fn slightly_bad_versions_are_rolled_back_early() {
    // Arrange
    let setups: Vec<_> = faults(&WEAK)
        .into_iter()
        .enumerate()
        .map(|(seed, fault)| busy(5_000 + seed as u64, Some(fault), Disturbance::None))
        .step_by(SEED_STEP)
        .collect();

    // Act
    let outcomes = run_all(&setups);

    // Assert
    print_faults("weak faults", &setups, &outcomes);
    assert_rolled_back(&setups, &outcomes);
}

/// Guards against a return of a late rollback: of 180 runs with slightly bad versions, this seed
/// exceeded a bound.
#[test]
fn slightly_bad_version_is_not_rolled_back_late() {
    // Arrange
    let slow = Fault {
        onset: Onset::Later,
        effect: Effect::SlowFirst(2.0),
        one_route: true,
    };
    let setups = [busy(100_811, Some(slow), Disturbance::None)];

    // Act
    let outcomes = run_all(&setups);

    // Assert
    assert_rolled_back(&setups, &outcomes);
}

/// Known to fail: of 372 runs with bad versions, these seeds exceed a bound, because the bad
/// responses come late by chance.
#[test]
fn bad_versions_that_fail_too_seldom_to_be_told_in_time() {
    // Arrange
    let weak = Fault {
        onset: Onset::Later,
        effect: Effect::Fail(0.1),
        one_route: false,
    };
    let strong = Fault {
        onset: Onset::AtOnce,
        effect: Effect::Fail(0.3),
        one_route: true,
    };
    let setups = [
        busy(700_096, Some(weak), Disturbance::None),
        busy(702_100, Some(strong), Disturbance::Crashes),
    ];

    // Act
    let outcomes = run_all(&setups);

    // Assert
    assert_rolled_back(&setups, &outcomes);
}

#[test]
fn good_versions_finish_in_time() {
    // Arrange
    let disturbances = [
        Disturbance::None,
        Disturbance::Crashes,
        Disturbance::Poison,
        Disturbance::LaggingClock,
        Disturbance::PlatformDown,
    ];
    let mut setups: Vec<_> = (0..200)
        .map(|i| {
            busy(
                10_000 + i,
                None,
                disturbances[i as usize % disturbances.len()],
            )
        })
        .collect();
    setups.extend((0..40).map(|i| quiet(20_000 + i, None)));
    let setups: Vec<_> = setups.into_iter().step_by(SEED_STEP).collect();

    // Act
    let outcomes = run_all(&setups);

    // Assert
    let rolled_back: Vec<_> = setups
        .iter()
        .zip(&outcomes)
        .filter(|(_, o)| o.phase == Some(Phase::Withdrawn))
        .collect();
    let late: Vec<_> = setups
        .iter()
        .zip(&outcomes)
        .filter(|(_, o)| o.phase != Some(Phase::Done) && o.phase != Some(Phase::Withdrawn))
        .collect();
    println!(
        "{} good seeds; falsely rolled back {}; not done by the deadline {}",
        setups.len(),
        rolled_back.len(),
        late.len()
    );
    for (setup, outcome) in rolled_back.iter().chain(&late) {
        println!("  seed {} {:?}: {outcome:?}", setup.seed, setup.disturbance);
    }
    assert!(rolled_back.len() * 200 <= setups.len(), "false rollbacks");
    assert!(late.is_empty(), "not done by the deadline");
}

#[test]
fn bad_versions_are_rolled_back_at_low_traffic() {
    // Arrange
    let failing = Effect::Fail(1.0);
    let slow = Effect::Slow(4.0);
    let setups: Vec<_> = [Onset::AtOnce, Onset::Later]
        .into_iter()
        .flat_map(|onset| [failing, slow].map(|effect| (onset, effect)))
        .enumerate()
        .flat_map(|(kind, (onset, effect))| {
            let fault = Fault {
                onset,
                effect,
                one_route: false,
            };
            (0..10).map(move |i| quiet(30_000 + kind as u64 * 10 + i, Some(fault)))
        })
        .step_by(SEED_STEP)
        .collect();

    // Act
    let outcomes = run_all(&setups);

    // Assert
    print_faults("low traffic", &setups, &outcomes);
    assert_rolled_back(&setups, &outcomes);
}
