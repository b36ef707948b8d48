//! Decisions of moves over seeds and kinds of badness, beside fixed steps with fixed waits.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use endivefork::rollout::Phase;
use parking_lot::Mutex;

use super::Budget;
use super::simulation::{Disturbance, Effect, Fault, Onset, Outcome, Policy, Setup, run};
use super::table::{Spread, Table};

/// Length of a busy move in seconds, and its requests a second.
const BUSY: (u64, f64) = (1200, 15.0);

/// Length of a move in a quiet night, and its requests a second.
const QUIET: (u64, f64) = (8 * 3600, 0.1);

/// Time between two decisions of an instance in milliseconds.
const TICK_MS: [u64; 2] = [500, 5_000];

/// Threads that run moves.
const THREADS: usize = 4;

const POLICIES: [(&str, Policy); 2] = [
    ("endivefork", Policy::Evidence),
    ("baseline", Policy::FixedSteps),
];

/// Runs rounds of every kind, one seed each, until the time is used up.
pub fn measure(budget: Budget) -> Vec<Table> {
    let begun = Instant::now();
    let kinds = kinds();
    let mut runs = Vec::new();
    let mut longest = Duration::ZERO;
    let mut seed = budget.seed;
    while runs.is_empty() || begun.elapsed() + longest < budget.time {
        let started = Instant::now();
        runs.extend(round(&kinds, seed));
        longest = longest.max(started.elapsed());
        seed += 1;
    }
    let rounds = seed - budget.seed;
    vec![bad(&kinds, &runs, rounds), good(&runs, rounds)]
}

fn kinds() -> Vec<Fault> {
    let mut all = Vec::new();
    for onset in [Onset::AtOnce, Onset::Later, Onset::UnderLoad] {
        for one_route in [false, true] {
            for harm in [Effect::Fail(0.3), Effect::Slow(2.0), Effect::SlowFirst(4.0)] {
                all.push(Fault {
                    onset,
                    effect: harm,
                    one_route,
                });
            }
        }
    }
    all
}

fn round(kinds: &[Fault], seed: u64) -> Vec<(Setup, Outcome)> {
    let mut setups = Vec::new();
    for (_, policy) in POLICIES {
        for fault in kinds {
            setups.push(setup(
                seed,
                BUSY,
                TICK_MS[0],
                Some(*fault),
                Disturbance::None,
                policy,
            ));
        }
        for trouble in [Disturbance::None, Disturbance::Crashes, Disturbance::Poison] {
            setups.push(setup(seed, BUSY, TICK_MS[0], None, trouble, policy));
        }
        setups.push(setup(
            seed,
            QUIET,
            TICK_MS[1],
            None,
            Disturbance::None,
            policy,
        ));
    }
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(setup) = setups.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = run(*setup);
                    done.lock().push((*setup, outcome));
                }
            });
        }
    });
    done.into_inner()
}

fn setup(
    seed: u64,
    (whole_s, rate): (u64, f64),
    tick: u64,
    fault: Option<Fault>,
    trouble: Disturbance,
    policy: Policy,
) -> Setup {
    Setup {
        seed,
        duration_s: whole_s,
        rate,
        tick_ms: tick,
        instances: 3,
        fault,
        disturbance: trouble,
        policy,
    }
}

fn bad(kinds: &[Fault], runs: &[(Setup, Outcome)], rounds: u64) -> Table {
    let mut table = Table::new(
        format!(
            "bad versions, {rounds} seeds; exposed: requests sent to the new version while its \
             fault was active, of all; went on: new work after pooled evidence refutes it, ms"
        ),
        &[
            "kind",
            "system",
            "taken back",
            "exposed median %",
            "worst %",
            "went on median",
            "went on worst",
        ],
    );
    for fault in kinds {
        for (name, policy) in POLICIES {
            let of_kind: Vec<_> = runs
                .iter()
                .filter(|(setup, _)| setup.fault == Some(*fault) && setup.policy == policy)
                .map(|(_, outcome)| outcome)
                .collect();
            let back = of_kind
                .iter()
                .filter(|o| o.phase == Some(Phase::Withdrawn))
                .count();
            let mut exposed: Vec<_> = of_kind.iter().map(|o| exposed(o)).collect();
            exposed.sort_by(f64::total_cmp);
            let mut went_on = Spread::new();
            for outcome in &of_kind {
                let after = outcome.refuted_at.zip(outcome.last_sent);
                let ms = after.map_or(0, |(shown, last)| last.saturating_sub(shown));
                went_on.add(Duration::from_millis(ms));
            }
            table.row([
                describe(*fault),
                name.to_owned(),
                format!("{back}/{}", of_kind.len()),
                format!(
                    "{:.2}",
                    exposed.get(exposed.len() / 2).copied().unwrap_or(0.0)
                ),
                format!("{:.2}", exposed.last().copied().unwrap_or(0.0)),
                went_on.quantile(0.5),
                went_on.quantile(1.0),
            ]);
        }
    }
    table
}

fn good(runs: &[(Setup, Outcome)], rounds: u64) -> Table {
    let mut table = Table::new(
        format!("good versions, {rounds} seeds"),
        &[
            "load",
            "trouble",
            "system",
            "done in time",
            "false withdrawals",
        ],
    );
    let busy =
        [Disturbance::None, Disturbance::Crashes, Disturbance::Poison].map(|t| (BUSY, "busy", t));
    let quiet = [(QUIET, "quiet night", Disturbance::None)];
    for ((whole, _), load, trouble) in busy.into_iter().chain(quiet) {
        for (name, policy) in POLICIES {
            let good: Vec<_> = runs
                .iter()
                .filter(|(setup, _)| {
                    let same = (setup.duration_s, setup.disturbance) == (whole, trouble);
                    same && setup.fault.is_none() && setup.policy == policy
                })
                .map(|(_, outcome)| outcome)
                .collect();
            let phase = |phase| good.iter().filter(|o| o.phase == Some(phase)).count();
            table.row([
                load.to_owned(),
                format!("{trouble:?}"),
                name.to_owned(),
                format!("{}/{}", phase(Phase::Done), good.len()),
                phase(Phase::Withdrawn).to_string(),
            ]);
        }
    }
    table
}

fn exposed(outcome: &Outcome) -> f64 {
    100.0 * outcome.exposed as f64 / outcome.requests.max(1) as f64
}

fn describe(fault: Fault) -> String {
    let place = if fault.one_route {
        "one route"
    } else {
        "all routes"
    };
    format!("{:?} {:?}, {place}", fault.onset, fault.effect)
}
