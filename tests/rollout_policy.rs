//! Measures the decisions of moves over many seeds and kinds of badness.

#[path = "rollout/world.rs"]
mod world;

use std::sync::atomic::{AtomicUsize, Ordering};

use endivefork::rollout::Phase;
use parking_lot::Mutex;
use world::{Fault, Harm, Onset, Outcome, Policy, Setup, Trouble, run};

/// Without optimisation only one seed of so many is run; the full measurement needs `--release`.
const EVERY: usize = if cfg!(debug_assertions) { 9 } else { 1 };

const WHOLE_S: u64 = 1800;

/// Fewest requests in a busy move.
const REQUESTS: f64 = 18_000.0;

/// Bad answers to expect within 1% of the requests: a sequential test at this level needs about
/// seven, and so many happen nearly always when twelve are expected.
const TELLING: f64 = 12.0;

const THREADS: usize = 3;

/// Most exposed requests, as a fraction of all.
const EXPOSED: f64 = 0.01;

/// Longest time for which new work goes on after the fault shows, in milliseconds.
const STOP_MS: u64 = 2000;

/// Requests of which 1% hold enough bad answers: with fewer, no test can tell badness of this
/// kind from chance before more than 1% are exposed.
fn requests(fault: Fault) -> f64 {
    let route = if fault.one_route { 0.1 } else { 1.0 };
    let load = match fault.onset {
        Onset::UnderLoad => 0.35,
        Onset::AtOnce | Onset::Later => 1.0,
    };
    let telling = match fault.harm {
        Harm::Fail(rate) => rate,
        Harm::Slow(by) | Harm::SlowFirst(by) if by >= 4.0 => 0.9,
        Harm::Slow(_) | Harm::SlowFirst(_) => 0.15,
    };
    TELLING / (EXPOSED * route * load * telling)
}

fn busy(seed: u64, fault: Option<Fault>, trouble: Trouble) -> Setup {
    Setup {
        seed,
        whole_s: WHOLE_S,
        rate: fault.map_or(REQUESTS, requests).max(REQUESTS) / WHOLE_S as f64,
        tick: 250,
        instances: 3,
        fault,
        trouble,
        policy: Policy::Evidence,
    }
}

/// Four hours with a request every five seconds or so.
fn quiet(seed: u64, fault: Option<Fault>) -> Setup {
    Setup {
        whole_s: 4 * 3600,
        rate: 0.2,
        tick: 1000,
        ..busy(seed, fault, Trouble::None)
    }
}

/// Plain badness, which shows in a few dozen requests.
const STRONG: [Harm; 4] = [
    Harm::Fail(0.3),
    Harm::Fail(1.0),
    Harm::Slow(4.0),
    Harm::SlowFirst(4.0),
];

/// Slight badness, which takes some hundred requests to tell from chance.
const WEAK: [Harm; 3] = [Harm::Fail(0.1), Harm::Slow(2.0), Harm::SlowFirst(2.0)];

fn faults(harms: &[Harm]) -> Vec<Fault> {
    let mut all = Vec::new();
    for onset in [Onset::AtOnce, Onset::Later, Onset::UnderLoad] {
        for one_route in [false, true] {
            all.extend(harms.iter().map(|harm| Fault {
                onset,
                harm: *harm,
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
    let place = if fault.one_route { "one route" } else { "all" };
    format!("{:?} {:?} {place}", fault.onset, fault.harm)
}

fn exposed(outcome: &Outcome) -> f64 {
    outcome.exposed as f64 / outcome.requests.max(1) as f64
}

/// Milliseconds of new work after `from`.
fn went_on(outcome: &Outcome, from: Option<u64>) -> u64 {
    let last = outcome.last.unwrap_or(0);
    from.map_or(0, |from| last.saturating_sub(from))
}

fn worst<T: PartialOrd + Copy>(values: impl Iterator<Item = T>) -> Option<T> {
    values.reduce(|a, b| if b > a { b } else { a })
}

fn print_bad(title: &str, setups: &[Setup], outcomes: &[Outcome]) {
    println!(
        "{title}: kind | taken back | exposed worst % | stop after shown ms | after 5th bad ms"
    );
    let kinds: indexmap::IndexSet<_> = setups.iter().filter_map(|s| s.fault).map(name).collect();
    for kind in kinds {
        let of_kind: Vec<_> = setups
            .iter()
            .zip(outcomes)
            .filter(|(s, _)| s.fault.map(name).as_ref() == Some(&kind))
            .map(|(_, o)| o)
            .collect();
        let back = of_kind.iter().filter(|o| o.phase == Some(Phase::Withdrawn));
        println!(
            "  {kind:<38} {:>2}/{:<2} {:>6.2} {:>6} {:>7}",
            back.count(),
            of_kind.len(),
            100.0 * worst(of_kind.iter().map(|o| exposed(o))).unwrap_or(0.0),
            worst(of_kind.iter().map(|o| went_on(o, o.shown))).unwrap_or(0),
            worst(of_kind.iter().map(|o| went_on(o, o.fifth))).unwrap_or(0),
        );
    }
}

fn assert_taken_back(setups: &[Setup], outcomes: &[Outcome]) {
    let failing = |bad: &dyn Fn(&Outcome) -> bool| -> Vec<String> {
        let all = setups.iter().zip(outcomes);
        all.filter(|(_, o)| bad(o))
            .map(|(s, o)| format!("seed {} {:?}: {o:?}", s.seed, s.fault))
            .collect()
    };
    let kept = failing(&|o| o.phase != Some(Phase::Withdrawn));
    let wide = failing(&|o| exposed(o) > EXPOSED);
    let long = failing(&|o| went_on(o, o.shown) > STOP_MS);
    println!(
        "{} seeds; kept {}; over 1% {}; late stop {}",
        setups.len(),
        kept.len(),
        wide.len(),
        long.len()
    );
    assert!(kept.is_empty(), "not taken back: {kept:#?}");
    assert!(wide.is_empty(), "exposed too many: {wide:#?}");
    assert!(long.is_empty(), "went on too long: {long:#?}");
}

#[test]
fn bad_versions_are_taken_back_early() {
    // Arrange
    let troubles = [Trouble::None, Trouble::Crashes, Trouble::Poison];
    let setups: Vec<_> = faults(&STRONG)
        .into_iter()
        .flat_map(|fault| (0..6).map(move |i| (fault, troubles[i % troubles.len()])))
        .enumerate()
        .map(|(seed, (fault, trouble))| busy(seed as u64, Some(fault), trouble))
        .step_by(EVERY)
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
    print_bad("by evidence", &setups, &outcomes);
    print_bad("fixed steps", &fixed, &baseline);
    let kept = baseline
        .iter()
        .filter(|o| o.phase != Some(Phase::Withdrawn));
    let wide = baseline.iter().filter(|o| exposed(o) > EXPOSED);
    let (kept, wide) = (kept.count(), wide.count());
    println!(
        "fixed steps: {} seeds; kept {kept}; over 1% {wide}",
        fixed.len()
    );
    assert_taken_back(&setups, &outcomes);
}

#[test]
fn slightly_bad_versions_are_taken_back_early() {
    // Arrange
    let setups: Vec<_> = faults(&WEAK)
        .into_iter()
        .enumerate()
        .map(|(seed, fault)| busy(5_000 + seed as u64, Some(fault), Trouble::None))
        .step_by(EVERY)
        .collect();

    // Act
    let outcomes = run_all(&setups);

    // Assert
    print_bad("slight badness", &setups, &outcomes);
    assert_taken_back(&setups, &outcomes);
}

/// Seeds of trials with 180 slightly bad versions that exceeded a bound.
#[test]
fn slightly_bad_versions_that_were_taken_back_late_once() {
    // Arrange
    let slow = Fault {
        onset: Onset::Later,
        harm: Harm::SlowFirst(2.0),
        one_route: true,
    };
    let setups = [busy(100_811, Some(slow), Trouble::None)];

    // Act
    let outcomes = run_all(&setups);

    // Assert
    assert_taken_back(&setups, &outcomes);
}

/// Seeds of trials with 372 bad versions that exceeded a bound and still do.
#[test]
fn bad_versions_that_fail_too_seldom_to_be_told_in_time() {
    // Arrange
    let weak = Fault {
        onset: Onset::Later,
        harm: Harm::Fail(0.1),
        one_route: false,
    };
    let strong = Fault {
        onset: Onset::AtOnce,
        harm: Harm::Fail(0.3),
        one_route: true,
    };
    let setups = [
        busy(700_096, Some(weak), Trouble::None),
        busy(702_100, Some(strong), Trouble::Crashes),
    ];

    // Act
    let outcomes = run_all(&setups);

    // Assert
    assert_taken_back(&setups, &outcomes);
}

#[test]
fn good_versions_finish_in_time() {
    // Arrange
    let troubles = [
        Trouble::None,
        Trouble::Crashes,
        Trouble::Poison,
        Trouble::LaggingClock,
        Trouble::PlatformDown,
    ];
    let mut setups: Vec<_> = (0..200)
        .map(|i| busy(10_000 + i, None, troubles[i as usize % troubles.len()]))
        .collect();
    setups.extend((0..40).map(|i| quiet(20_000 + i, None)));
    let setups: Vec<_> = setups.into_iter().step_by(EVERY).collect();

    // Act
    let outcomes = run_all(&setups);

    // Assert
    let taken: Vec<_> = setups
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
        "{} good seeds; falsely taken back {}; not done by their time {}",
        setups.len(),
        taken.len(),
        late.len()
    );
    for (setup, outcome) in taken.iter().chain(&late) {
        println!("  seed {} {:?}: {outcome:?}", setup.seed, setup.trouble);
    }
    assert!(taken.len() * 200 <= setups.len(), "false withdrawals");
    assert!(late.is_empty(), "not done by their time");
}

#[test]
fn bad_versions_are_taken_back_on_a_quiet_night() {
    // Arrange
    let total = Harm::Fail(1.0);
    let slow = Harm::Slow(4.0);
    let setups: Vec<_> = [Onset::AtOnce, Onset::Later]
        .into_iter()
        .flat_map(|onset| [total, slow].map(|harm| (onset, harm)))
        .enumerate()
        .flat_map(|(kind, (onset, harm))| {
            let fault = Fault {
                onset,
                harm,
                one_route: false,
            };
            (0..10).map(move |i| quiet(30_000 + kind as u64 * 10 + i, Some(fault)))
        })
        .step_by(EVERY)
        .collect();

    // Act
    let outcomes = run_all(&setups);

    // Assert
    print_bad("quiet night", &setups, &outcomes);
    assert_taken_back(&setups, &outcomes);
}
