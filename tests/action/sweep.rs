//! How long keys are kept, and what removing them costs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::action::{
    KIND, Live, MARKS, Marks, Record, Retention, Stage, Sweep, Sweeper, Watcher,
};
use serde_json::json;

use crate::fixture::{World, call, checked, until, word};

const INTERVAL: Duration = Duration::from_millis(100);

fn retention() -> Retention {
    Retention {
        interval: INTERVAL,
        keep: 4,
        doubt: 8,
        rate: 400.0,
        page: 5,
    }
}

fn sweeper(world: &World, name: &str, live: &[&str]) -> Sweeper {
    let live: Vec<_> = live.iter().map(|l| (*l).into()).collect();
    let live: Live = Arc::new(move || live.clone());
    Sweeper::new(
        name.into(),
        world.client(),
        retention(),
        live,
        world.choose(),
    )
}

/// Two sweepers, one of them restarted again and again, remove old keys and no young ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_kept_then_removed() {
    let world = World::start().await;
    let entry = world.entry("a", None);
    let begun = Instant::now();
    for i in 0..12 {
        entry.run(call(&format!("k{i}"))).await.unwrap();
    }
    let made = Instant::now();
    for name in ["a", "b"] {
        tokio::spawn(sweeper(&world, name, &["a", "b"]).run());
    }

    let client = world.client();
    let count = || async { client.list(KIND, "").await.unwrap().items.len() };
    until("old keys are removed", || async { count().await == 0 }).await;
    let gone = made.elapsed();
    let again = world.entry("c", None).run(call("k0")).await;

    assert!(
        begun.elapsed() >= INTERVAL * 4,
        "kept for four intervals at least: {gone:?}"
    );
    assert_eq!(word(&again), "ok");
    assert_eq!(world.runs("k0").await, 2, "the key was forgotten");
    println!("12 keys kept for 400 ms were gone after {gone:?}");
}

/// While marks are young nothing is removed, whatever the wall clocks of the writers say.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_clocks_remove_nothing() {
    let world = World::start().await;
    let entry = world.entry("a", None);
    entry.run(call("k")).await.unwrap();
    let client = world.client();
    let object = client.list(KIND, "").await.unwrap().items.remove(0);
    let mut record: Record = object.decode().unwrap();
    record.at_ms = 0;
    let expect = endivefork::platform::Expect::Rev(object.rev);
    client
        .put(KIND, &object.name, &record, expect)
        .await
        .unwrap();

    let sweeping = tokio::spawn(sweeper(&world, "a", &["a"]).run());
    tokio::time::sleep(INTERVAL * 3).await;
    let kept = client.get(KIND, &object.name).await.unwrap();
    sweeping.abort();

    assert!(
        kept.is_some(),
        "an age by wall time must not remove a claim"
    );
}

/// The outcome of an action whose answer was lost is looked up without a repeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_outcomes_are_looked_up() {
    let world = World::start().await;
    world
        .plain_fault(json!({"lose_answers": 1, "forget": true}))
        .await;
    let told = world.entry("a", None).run(checked("k")).await;
    world.plain_fault(json!({"forget": false})).await;
    tokio::spawn(sweeper(&world, "a", &["a"]).run());
    let client = world.client();

    until("the outcome is stored", || async {
        let items = client.list(KIND, "").await.unwrap().items;
        let records = items.iter().map(|o| o.decode::<Record>().unwrap());
        records
            .into_iter()
            .any(|r| matches!(r.stage, Stage::Done { status: 201, .. }))
    })
    .await;

    assert_eq!(word(&told), "unknown");
    assert_eq!(world.runs("k").await, 1);
}

/// Decisions by stage and age.
#[test]
fn decisions() {
    let rules = retention();
    let mut marks = Marks::default();
    for rev in 1..=10 {
        marks = marks.next(rev * 10);
    }
    let table = [
        // stage, status call declared, revision, decision
        (Stage::Claimed, false, 70, Sweep::Delete),
        (Stage::Claimed, false, 71, Sweep::Keep),
        (Stage::Released, false, 70, Sweep::Delete),
        (Stage::Sent, false, 70, Sweep::Keep),
        (Stage::Sent, true, 70, Sweep::Ask),
        (Stage::Sent, true, 101, Sweep::Keep),
        (Stage::Sent, true, 30, Sweep::Delete),
        (Stage::Sent, false, 31, Sweep::Keep),
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

        let decision = rules.decide(&marks, rev, &record);

        assert_eq!(decision, expected, "{record:?} at {rev}");
    }
}

/// Marks are an interval apart by the adder's own clock, and their number is bounded.
#[test]
fn marks() {
    let start = Instant::now();
    let mut watcher = Watcher::default();
    let at = |ms| start + Duration::from_millis(ms);

    assert!(watcher.is_due(0, at(0), INTERVAL), "absent: begin");
    assert!(!watcher.is_due(5, at(0), INTERVAL));
    assert!(!watcher.is_due(5, at(99), INTERVAL));
    assert!(watcher.is_due(5, at(100), INTERVAL));
    assert!(
        !watcher.is_due(6, at(200), INTERVAL),
        "another one was first"
    );
    assert!(!watcher.is_due(6, at(299), INTERVAL));
    assert!(watcher.is_due(6, at(300), INTERVAL));

    let many = (1..=1000).fold(Marks::default(), |marks, rev| marks.next(rev));
    assert_eq!(many.horizon(1), Some(1000));
    assert_eq!(many.horizon(MARKS), Some(1001 - MARKS as u64));
    assert_eq!(many.horizon(MARKS + 1), None);
}
