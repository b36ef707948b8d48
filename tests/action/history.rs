//! Recorded histories of concurrent repeats under random faults, checked for linearizability.

use std::sync::Arc;
use std::time::Duration;

use endivefork::action::{Actions, CLAIM_KIND, Call, Hook, Limits, Point, Record, Stage};
use endivefork::platform::Client;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::fixture::{World, call, call_with_status, label, limits};

const SEEDS: u64 = 60;
const CONCURRENT_SEEDS: u64 = 20;
const ENTRIES: usize = 3;
const KEYS: [&str; 2] = ["k0", "k1"];
const ATTEMPTS: usize = 5;

/// Effect of an attempt on its key, as seen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Op {
    /// The attempt ran the action.
    Run,
    /// The attempt returned the outcome of the run.
    Replay,
    /// The attempt returned that the action has not run.
    Refused,
    /// The attempt returned nothing about other attempts.
    NoInformation,
}

/// Specification of an action that runs at most once.
struct AtMostOnce;

impl Specification for AtMostOnce {
    type State = bool;
    type Operation = Op;

    fn init() -> bool {
        false
    }

    fn apply(op: &Op, ran: &bool) -> (bool, bool) {
        match op {
            Op::Run => (!ran, true),
            Op::Replay => (*ran, *ran),
            Op::Refused => (!ran, *ran),
            Op::NoInformation => (true, *ran),
        }
    }
}

/// Recorded calls and results of the attempts of one key, in order.
#[derive(Clone, Debug)]
enum HistoryEvent {
    Call(usize),
    Return(usize, &'static str, &'static str),
}

/// Whether the history is linearizable with `runs` runs: if the action ran, some attempt can have
/// been the one that ran it.
fn is_at_most_once(events: &[HistoryEvent], attempts: usize, runs: u64) -> bool {
    let result_of = |i: usize| {
        let mut all = events.iter();
        all.find_map(|s| match s {
            HistoryEvent::Return(t, label, reason) if *t == i => Some((*label, *reason)),
            _ => None,
        })
    };
    let op = |i: usize, runner: Option<usize>| match result_of(i) {
        _ if runner == Some(i) => Op::Run,
        Some(("ok", _)) => Op::Replay,
        // A refusal without the platform only makes a statement about its own attempt.
        Some(("not_run", reason)) if reason != "platform_unavailable" => Op::Refused,
        _ => Op::NoInformation,
    };
    let fits = |runner: Option<usize>| {
        let mut actions = Vec::new();
        for s in events {
            match s {
                HistoryEvent::Call(i) => actions.push((*i, Action::Call(op(*i, runner)))),
                HistoryEvent::Return(i, label, _) if *label != "unknown" => {
                    actions.push((*i, Action::Response(op(*i, runner))));
                }
                HistoryEvent::Return(..) => {}
            }
        }
        // An attempt that may still take effect returns after all others.
        for i in (0..attempts).filter(|i| result_of(*i).is_none_or(|(label, _)| label == "unknown"))
        {
            actions.push((i, Action::Response(op(i, runner))));
        }
        WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(actions))
    };
    match runs {
        0 => fits(None),
        1 => (0..attempts)
            .filter(|i| !matches!(result_of(*i), Some(("not_run", _))))
            .any(|i| fits(Some(i))),
        _ => false,
    }
}

/// The checker itself rejects histories that violate a guarantee.
#[test]
fn checker_rejects_invalid_histories() {
    use HistoryEvent::{Call, Return};
    let refused_after = [
        Call(0),
        Return(0, "ok", ""),
        Call(1),
        Return(1, "not_run", "in_progress"),
    ];
    let twice = [Call(0), Return(0, "ok", ""), Call(1), Return(1, "ok", "")];
    let run_but_refused = [Call(0), Return(0, "not_run", "no_target")];

    assert!(is_at_most_once(&twice, 2, 1));
    assert!(!is_at_most_once(&twice, 2, 2));
    assert!(!is_at_most_once(&twice, 2, 0));
    assert!(!is_at_most_once(&refused_after, 2, 1));
    assert!(!is_at_most_once(&run_but_refused, 1, 1));
    assert!(is_at_most_once(&run_but_refused, 1, 0));
}

/// Concurrent repeats under random faults, crashes and pauses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_faults() {
    println!("seeds 0 to {}", SEEDS - 1);
    let mut labels = std::collections::BTreeMap::new();
    for first in (0..SEEDS).step_by(CONCURRENT_SEEDS as usize) {
        let seeds = (first..first + CONCURRENT_SEEDS).map(|seed| tokio::spawn(episode(seed)));
        for labels_of_seed in futures_util::future::join_all(seeds).await {
            for label in labels_of_seed.unwrap() {
                *labels.entry(label).or_insert(0) += 1;
            }
        }
    }
    println!("results {labels:?}");
}

/// Runs one seed. Returns the labels of all results.
async fn episode(seed: u64) -> Vec<&'static str> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = Arc::new(World::start().await);
    let limits = Limits {
        direct: seed % 2 == 1,
        ..limits()
    };
    let entries: Vec<_> = (0..ENTRIES)
        .map(|i| entry(&world, i, limits, rng.random()))
        .collect();
    let logs: Arc<[Mutex<Vec<HistoryEvent>>; 2]> = Arc::default();
    let mut tasks = Vec::new();
    for (k, key) in KEYS.into_iter().enumerate() {
        for i in 0..ATTEMPTS {
            let entry = entries[rng.random_range(0..ENTRIES)].clone();
            let wait = Duration::from_millis(rng.random_range(0..500));
            let check = rng.random_bool(0.5);
            let logs = Arc::clone(&logs);
            tasks.push(tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                run_attempt(&entry, &logs[k], i, key, check).await;
            }));
        }
    }
    let fault_task = tokio::spawn(inject_faults(Arc::clone(&world), rng.random()));
    futures_util::future::join_all(tasks).await;
    fault_task.await.unwrap();

    let mut labels = Vec::new();
    for (k, key) in KEYS.into_iter().enumerate() {
        let events = logs[k].lock().clone();
        let runs = world.runs(key).await;
        assert!(
            is_at_most_once(&events, ATTEMPTS, runs),
            "seed {seed}, {key}: {runs} runs, {events:?}"
        );
        labels.extend(events.iter().filter_map(|s| match s {
            HistoryEvent::Return(_, label, _) => Some(*label),
            HistoryEvent::Call(_) => None,
        }));
    }
    check_transitions(&world, seed).await;
    labels
}

/// An entry that pauses at each point and occasionally crashes at one.
fn entry(world: &World, index: usize, limits: Limits, seed: u64) -> Actions {
    let rng = Mutex::new(StdRng::seed_from_u64(seed));
    let hook: Hook = Arc::new(move |point, _| {
        let crash = rng.lock().random_bool(0.04);
        let pause = rng.lock().random_range(0..40);
        Box::pin(async move {
            match crash {
                true if point != Point::Connect => std::future::pending().await,
                _ => tokio::time::sleep(Duration::from_millis(pause)).await,
            }
        })
    });
    let client = Client::new(world.platform, Duration::from_millis(80));
    world.entry_with(&format!("e{index}"), limits, client, Some(hook))
}

async fn run_attempt(
    entry: &Actions,
    log: &Mutex<Vec<HistoryEvent>>,
    index: usize,
    key: &str,
    check: bool,
) {
    let request = if check {
        call_with_status(key)
    } else {
        call(key)
    };
    let request = Call {
        timeout: Duration::from_millis(300),
        deadline: Duration::from_millis(1200),
        ..request
    };
    log.lock().push(HistoryEvent::Call(index));
    let result = tokio::time::timeout(Duration::from_secs(3), entry.run(request)).await;
    if let Ok(result) = result {
        let reason = result.as_ref().err().map_or("", |e| e.reason);
        log.lock()
            .push(HistoryEvent::Return(index, label(&result), reason));
    }
}

/// Injects a sequence of short faults of the platform and the service.
async fn inject_faults(world: Arc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..14 {
        let delay = rng.random_range(60..300);
        let (platform, plain) = match rng.random_range(0..8) {
            0 => (json!({"lose_answers": 1}), json!({})),
            1 => (json!({"late_writes": 2, "late_ms": delay}), json!({})),
            2 => (json!({"outage": "drop"}), json!({})),
            3 => (json!({"outage": "refuse"}), json!({})),
            4 => (json!({"stale_ms": delay}), json!({})),
            5 => (json!({"silent": true}), json!({})),
            6 => (json!({}), json!({"lose_answers": 1})),
            _ => (json!({}), json!({"delay_ms": delay})),
        };
        world.platform_fault(platform).await;
        world.plain_fault(plain).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..120))).await;
        world
            .platform_fault(json!({"outage": "none", "stale_ms": 0}))
            .await;
        world.plain_fault(json!({"delay_ms": 0})).await;
    }
}

/// Checks that every change of a claim, in platform order, is an allowed transition.
async fn check_transitions(world: &World, seed: u64) {
    let changes = world
        .client()
        .watch(CLAIM_KIND, 0, Duration::ZERO)
        .await
        .unwrap();
    let mut claims = std::collections::HashMap::new();
    for event in changes.events {
        let next: Record = serde_json::from_value(event.value.unwrap()).unwrap();
        let prev = claims.insert(event.name, next.clone());
        assert!(
            is_allowed(prev.as_ref(), &next),
            "seed {seed}: {prev:?} became {next:?}"
        );
    }
}

fn is_allowed(prev: Option<&Record>, next: &Record) -> bool {
    let Some(prev) = prev else {
        return !matches!(next.stage, Stage::Done { .. });
    };
    let same = prev.nonce == next.nonce;
    match (&prev.stage, &next.stage) {
        (Stage::Released, Stage::Done { .. }) => false,
        (Stage::Released, _) => true,
        (Stage::Claimed, Stage::Done { .. }) => false,
        (Stage::Claimed, Stage::Released) => same,
        (Stage::Claimed, Stage::Claimed | Stage::Sent) => true,
        (Stage::Sent, Stage::Done { .. } | Stage::Released) => same,
        (Stage::Sent, _) => false,
        (Stage::Done { .. }, _) => false,
    }
}
