//! Recorded histories of concurrent repeats under random faults, checked for linearizability.

use std::sync::Arc;
use std::time::Duration;

use endivefork::action::{Actions, Call, Hook, KIND, Point, Record, Rules, Stage};
use endivefork::platform::Client;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::fixture::{World, call, checked, rules, word};

const SEEDS: u64 = 60;
const AT_ONCE: u64 = 20;
const ENTRIES: usize = 3;
const KEYS: [&str; 2] = ["k0", "k1"];
const TRIES: usize = 5;

/// What a try did to its key, by what its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Op {
    /// It ran the action.
    Run,
    /// It was told the outcome of the run.
    Replay,
    /// It was told that the action has not run.
    Refused,
    /// It was told nothing about other tries.
    Nothing,
}

/// An action that runs at most once.
struct Once;

impl Specification for Once {
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
            Op::Nothing => (true, *ran),
        }
    }
}

/// What was recorded of the tries of one key, in order.
#[derive(Clone, Debug)]
enum Seen {
    Call(usize),
    Told(usize, &'static str, &'static str),
}

/// Whether some try can have been the one that ran it, if it ran.
fn is_once(seen: &[Seen], tries: usize, runs: u64) -> bool {
    let told = |i: usize| {
        let mut all = seen.iter();
        all.find_map(|s| match s {
            Seen::Told(t, word, reason) if *t == i => Some((*word, *reason)),
            _ => None,
        })
    };
    let op = |i: usize, runner: Option<usize>| match told(i) {
        _ if runner == Some(i) => Op::Run,
        Some(("ok", _)) => Op::Replay,
        // Without the platform a refusal speaks of its own try only.
        Some(("not_run", reason)) if reason != "platform_unavailable" => Op::Refused,
        _ => Op::Nothing,
    };
    let fits = |runner: Option<usize>| {
        let mut actions = Vec::new();
        for s in seen {
            match s {
                Seen::Call(i) => actions.push((*i, Action::Call(op(*i, runner)))),
                Seen::Told(i, word, _) if *word != "unknown" => {
                    actions.push((*i, Action::Response(op(*i, runner))));
                }
                Seen::Told(..) => {}
            }
        }
        // What may still take effect ends after everything else.
        for i in (0..tries).filter(|i| told(*i).is_none_or(|(word, _)| word == "unknown")) {
            actions.push((i, Action::Response(op(i, runner))));
        }
        WGLChecker::<Once>::is_linearizable(History::from_actions(actions))
    };
    match runs {
        0 => fits(None),
        1 => (0..tries)
            .filter(|i| !matches!(told(*i), Some(("not_run", _))))
            .any(|i| fits(Some(i))),
        _ => false,
    }
}

/// The checker itself refuses histories that break a promise.
#[test]
fn checker_refuses() {
    use Seen::{Call, Told};
    let refused_after = [
        Call(0),
        Told(0, "ok", ""),
        Call(1),
        Told(1, "not_run", "in_progress"),
    ];
    let twice = [Call(0), Told(0, "ok", ""), Call(1), Told(1, "ok", "")];
    let nobody = [Call(0), Told(0, "not_run", "no_target")];

    assert!(is_once(&twice, 2, 1));
    assert!(!is_once(&twice, 2, 2));
    assert!(!is_once(&twice, 2, 0));
    assert!(!is_once(&refused_after, 2, 1));
    assert!(!is_once(&nobody, 1, 1));
    assert!(is_once(&nobody, 1, 0));
}

/// Random faults, kills and pauses over concurrent repeats.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_faults() {
    println!("seeds 0 to {}", SEEDS - 1);
    let mut words = std::collections::BTreeMap::new();
    for first in (0..SEEDS).step_by(AT_ONCE as usize) {
        let seeds = (first..first + AT_ONCE).map(|seed| tokio::spawn(episode(seed)));
        for told in futures_util::future::join_all(seeds).await {
            for word in told.unwrap() {
                *words.entry(word).or_insert(0) += 1;
            }
        }
    }
    println!("told {words:?}");
}

/// One seed. Returns what the callers were told.
async fn episode(seed: u64) -> Vec<&'static str> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = Arc::new(World::start().await);
    let rules = Rules {
        direct: seed % 2 == 1,
        ..rules()
    };
    let entries: Vec<_> = (0..ENTRIES)
        .map(|i| entry(&world, i, rules, rng.random()))
        .collect();
    let logs: Arc<[Mutex<Vec<Seen>>; 2]> = Arc::default();
    let mut tasks = Vec::new();
    for (k, key) in KEYS.into_iter().enumerate() {
        for i in 0..TRIES {
            let entry = entries[rng.random_range(0..ENTRIES)].clone();
            let wait = Duration::from_millis(rng.random_range(0..500));
            let check = rng.random_bool(0.5);
            let logs = Arc::clone(&logs);
            tasks.push(tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                one_try(&entry, &logs[k], i, key, check).await;
            }));
        }
    }
    let nemesis = tokio::spawn(disturb(Arc::clone(&world), rng.random()));
    futures_util::future::join_all(tasks).await;
    nemesis.await.unwrap();

    let mut words = Vec::new();
    for (k, key) in KEYS.into_iter().enumerate() {
        let seen = logs[k].lock().clone();
        let runs = world.runs(key).await;
        assert!(
            is_once(&seen, TRIES, runs),
            "seed {seed}, {key}: {runs} runs, {seen:?}"
        );
        words.extend(seen.iter().filter_map(|s| match s {
            Seen::Told(_, word, _) => Some(*word),
            Seen::Call(_) => None,
        }));
    }
    check_transitions(&world, seed).await;
    words
}

/// An entry that dies at a random point now and then.
fn entry(world: &World, index: usize, rules: Rules, seed: u64) -> Actions {
    let rng = Mutex::new(StdRng::seed_from_u64(seed));
    let hook: Hook = Arc::new(move |point, _| {
        let die = rng.lock().random_bool(0.04);
        let pause = rng.lock().random_range(0..40);
        Box::pin(async move {
            match die {
                true if point != Point::Connect => std::future::pending().await,
                _ => tokio::time::sleep(Duration::from_millis(pause)).await,
            }
        })
    });
    let client = Client::new(world.platform, Duration::from_millis(80));
    world.entry_with(&format!("e{index}"), rules, client, Some(hook))
}

async fn one_try(entry: &Actions, log: &Mutex<Vec<Seen>>, index: usize, key: &str, check: bool) {
    let request = if check { checked(key) } else { call(key) };
    let request = Call {
        timeout: Duration::from_millis(300),
        deadline: Duration::from_millis(1200),
        ..request
    };
    log.lock().push(Seen::Call(index));
    let told = tokio::time::timeout(Duration::from_secs(3), entry.run(request)).await;
    if let Ok(told) = told {
        let reason = told.as_ref().err().map_or("", |e| e.reason);
        log.lock().push(Seen::Told(index, word(&told), reason));
    }
}

/// Switches faults of the platform and the service on and off for a while.
async fn disturb(world: Arc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..14 {
        let late = rng.random_range(60..300);
        let (platform, plain) = match rng.random_range(0..8) {
            0 => (json!({"lose_answers": 1}), json!({})),
            1 => (json!({"late_writes": 2, "late_ms": late}), json!({})),
            2 => (json!({"outage": "drop"}), json!({})),
            3 => (json!({"outage": "refuse"}), json!({})),
            4 => (json!({"stale_ms": late}), json!({})),
            5 => (json!({"silent": true}), json!({})),
            6 => (json!({}), json!({"lose_answers": 1})),
            _ => (json!({}), json!({"delay_ms": late})),
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

/// Every change of a claim, as the platform ordered them, is one that the design allows.
async fn check_transitions(world: &World, seed: u64) {
    let changes = world.client().watch(KIND, 0, Duration::ZERO).await.unwrap();
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
