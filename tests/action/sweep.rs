//! Retention of claims, their removal, and the recovery of lost outcomes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::action::{
    CLAIM_KIND, ChangeTimer, Decision, LiveInstances, MAX_WATERMARKS, Record, Retention, Stage,
    Sweeper, Watermarks,
};
use serde_json::json;

use crate::fixture::{World, call, call_with_status, label, until};

const INTERVAL: Duration = Duration::from_millis(100);

fn retention() -> Retention {
    Retention {
        interval: INTERVAL,
        keep: 4,
        keep_unknown: 8,
        write_rate: 400.0,
        page_size: 5,
    }
}

fn sweeper(world: &World, name: &str, live: &[&str]) -> Sweeper {
    let live: Vec<_> = live.iter().map(|l| (*l).into()).collect();
    let live: LiveInstances = Arc::new(move || live.clone());
    Sweeper::new(
        name.into(),
        world.client(),
        retention(),
        live,
        world.choose(),
    )
}

/// Two sweepers remove expired keys and keep the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_kept_then_removed() {
    let world = World::start().await;
    let entry = world.entry("a", None);
    let started = Instant::now();
    for i in 0..12 {
        entry.run(call(&format!("k{i}"))).await.unwrap();
    }
    let completed = Instant::now();
    for name in ["a", "b"] {
        tokio::spawn(sweeper(&world, name, &["a", "b"]).run());
    }

    let client = world.client();
    let count = || async { client.list(CLAIM_KIND, "").await.unwrap().items.len() };
    until("expired keys are removed", || async { count().await == 0 }).await;
    let removed_after = completed.elapsed();
    let again = world.entry("c", None).run(call("k0")).await;

    assert!(
        started.elapsed() >= INTERVAL * 4,
        "kept for at least four intervals: {removed_after:?}"
    );
    assert_eq!(label(&again), "ok");
    assert_eq!(world.runs("k0").await, 2, "the removed key runs again");
    println!("12 keys kept for 400 ms were removed after {removed_after:?}");
}

/// A claim whose wall-clock time is far in the past is not removed before the watermarks are old
/// enough.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wall_clock_skew_removes_nothing() {
    let world = World::start().await;
    let entry = world.entry("a", None);
    entry.run(call("k")).await.unwrap();
    let client = world.client();
    let object = client.list(CLAIM_KIND, "").await.unwrap().items.remove(0);
    let mut record: Record = object.decode().unwrap();
    record.at_ms = 0;
    let expect = endivefork::platform::Expect::Rev(object.rev);
    client
        .put(CLAIM_KIND, &object.name, &record, expect)
        .await
        .unwrap();

    let sweeping = tokio::spawn(sweeper(&world, "a", &["a"]).run());
    tokio::time::sleep(INTERVAL * 3).await;
    let kept = client.get(CLAIM_KIND, &object.name).await.unwrap();
    sweeping.abort();

    assert!(kept.is_some(), "the wall-clock age must not remove a claim");
}

/// The outcome of an action whose response was lost is looked up even if no caller repeats it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_outcomes_are_looked_up() {
    let world = World::start().await;
    world
        .plain_fault(json!({"lose_answers": 1, "forget": true}))
        .await;
    let result = world.entry("a", None).run(call_with_status("k")).await;
    world.plain_fault(json!({"forget": false})).await;
    tokio::spawn(sweeper(&world, "a", &["a"]).run());
    let client = world.client();

    until("the outcome is stored", || async {
        let items = client.list(CLAIM_KIND, "").await.unwrap().items;
        let records = items.iter().map(|o| o.decode::<Record>().unwrap());
        records
            .into_iter()
            .any(|r| matches!(r.stage, Stage::Done { status: 201, .. }))
    })
    .await;

    assert_eq!(label(&result), "unknown");
    assert_eq!(world.runs("k").await, 1);
}

/// Sweep decisions by stage and age.
#[test]
fn decisions() {
    let retention = retention();
    let mut watermarks = Watermarks::default();
    for rev in 1..=10 {
        watermarks = watermarks.next(rev * 10);
    }
    let table = [
        // stage, status call declared, revision, decision
        (Stage::Claimed, false, 70, Decision::Delete),
        (Stage::Claimed, false, 71, Decision::Keep),
        (Stage::Released, false, 70, Decision::Delete),
        (Stage::Sent, false, 70, Decision::Keep),
        (Stage::Sent, true, 70, Decision::QueryStatus),
        (Stage::Sent, true, 101, Decision::Keep),
        (Stage::Sent, true, 30, Decision::Delete),
        (Stage::Sent, false, 31, Decision::Keep),
    ];
    for (stage, check, rev, expected) in table {
        let record = Record {
            digest: "d".into(),
            service: "s".into(),
            owner: "o".into(),
            nonce: "n".into(),
            at_ms: 0,
            check: check.then(|| "/status/k".into()),
            stage,
        };

        let decision = retention.decide(&watermarks, rev, &record);

        assert_eq!(decision, expected, "{record:?} at {rev}");
    }
}

/// Watermarks are an interval apart by the clock of the instance that adds them, and their number
/// is bounded.
#[test]
fn watermarks() {
    let start = Instant::now();
    let mut watcher = ChangeTimer::default();
    let at = |ms| start + Duration::from_millis(ms);

    assert!(
        watcher.is_due(0, at(0), INTERVAL),
        "absent: the first one may be added"
    );
    assert!(!watcher.is_due(5, at(0), INTERVAL));
    assert!(!watcher.is_due(5, at(99), INTERVAL));
    assert!(watcher.is_due(5, at(100), INTERVAL));
    assert!(
        !watcher.is_due(6, at(200), INTERVAL),
        "another instance added one"
    );
    assert!(!watcher.is_due(6, at(299), INTERVAL));
    assert!(watcher.is_due(6, at(300), INTERVAL));

    let many = (1..=1000).fold(Watermarks::default(), |watermarks, rev| {
        watermarks.next(rev)
    });
    assert_eq!(many.horizon(1), Some(1000));
    assert_eq!(
        many.horizon(MAX_WATERMARKS),
        Some(1001 - MAX_WATERMARKS as u64)
    );
    assert_eq!(many.horizon(MAX_WATERMARKS + 1), None);
}
