//! What an action costs at the platform, and what a capped platform carries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::action::{Actions, Call, Hook, Rules};
use endivefork::platform::Client;
use serde_json::json;

use crate::fixture::{PLATFORM_TIMEOUT, World, call, rules, until, word};

/// Writes a second that the platform takes in the measurement.
const WRITE_RATE: u32 = 300;

/// Entries that share them.
const ENTRIES: usize = 6;

/// Length of a measurement.
const SPAN: Duration = Duration::from_secs(5);

/// Writes by protocol: three or two for a new action, one for a repeat elsewhere, none here.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_per_action() {
    for (direct, writes) in [(false, 3), (true, 2)] {
        let world = World::start().await;
        let rules = Rules { direct, ..rules() };
        let (first, second) = (world.client(), world.client());
        let one = world.entry_with("a", rules, first.clone(), None);
        let two = world.entry_with("b", rules, second.clone(), None);

        one.run(call("k")).await.unwrap();
        let fresh = first.calls().counts();
        one.run(call("k")).await.unwrap();
        let here = first.calls().counts();
        two.run(call("k")).await.unwrap();
        let elsewhere = second.calls().counts();

        println!("direct {direct}: {fresh:?}, a repeat elsewhere {elsewhere:?}");
        assert_eq!((fresh.writes, fresh.total()), (writes, writes));
        assert_eq!(here, fresh, "a repeat here costs nothing");
        assert_eq!((elsewhere.writes, elsewhere.total()), (1, 1));
    }
}

/// Figures of one measurement.
#[derive(Debug, Default)]
struct Load {
    ok: u32,
    refused: u32,
    unknown: u32,
    writes: u64,
    throttled: u64,
    worst: Duration,
    median: Duration,
}

/// Offers new actions at a steady rate, whatever becomes of them.
async fn offer(direct: bool, per_second: u32) -> Load {
    let world = World::start().await;
    world
        .platform_fault(json!({"write_rate": WRITE_RATE}))
        .await;
    let rules = Rules {
        direct,
        ..Rules::default()
    };
    let entries: Vec<_> = (0..ENTRIES)
        .map(|i| {
            let client = Client::new(world.platform, Duration::from_secs(1));
            world.entry_with(&format!("e{i}"), rules, client, None)
        })
        .collect();
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let mut tick = tokio::time::interval(Duration::from_secs(1) / per_second);
    while begun.elapsed() < SPAN {
        tick.tick().await;
        let i = tasks.len();
        tasks.push(tokio::spawn(timed(entries[i % ENTRIES].clone(), i)));
    }
    let told = futures_util::future::join_all(tasks).await;
    until("settled", || async {
        entries.iter().all(|e| e.unsettled() == 0)
    })
    .await;
    let mut load = Load::default();
    let mut times = Vec::new();
    for one in told {
        let (word, time) = one.unwrap();
        match word {
            "ok" => {
                load.ok += 1;
                times.push(time);
            }
            "not_run" => load.refused += 1,
            _ => load.unknown += 1,
        }
    }
    times.sort();
    load.median = times.get(times.len() / 2).copied().unwrap_or_default();
    load.worst = times.last().copied().unwrap_or_default();
    let counts = world.counts().await;
    load.writes = counts["writes"].as_u64().unwrap_or(0);
    load.throttled = counts["throttled"].as_u64().unwrap_or(0);
    load
}

async fn timed(entry: Actions, i: usize) -> (&'static str, Duration) {
    let begun = Instant::now();
    let request = Call {
        deadline: Duration::from_secs(5),
        ..call(&format!("k{i}"))
    };
    let told = entry.run(request).await;
    (word(&told), begun.elapsed())
}

/// A capped platform under less and under more than it carries.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn actions_per_second() {
    for (direct, offered) in [(false, 80), (false, 250), (true, 120), (true, 250)] {
        let load = offer(direct, offered).await;
        let secs = SPAN.as_secs_f64();
        println!(
            "direct {direct}, {WRITE_RATE} writes/s, offered {offered}/s: {:.0} ok/s, {:.0} refused/s, \
             {} unknown, {} writes, {} throttled, median {:?}, worst {:?}",
            f64::from(load.ok) / secs,
            f64::from(load.refused) / secs,
            load.unknown,
            load.writes,
            load.throttled,
            load.median,
            load.worst
        );
        let carried = f64::from(WRITE_RATE) / if direct { 2.0 } else { 3.0 };
        let least = f64::from(offered).min(carried) * 0.75;
        assert!(f64::from(load.ok) / secs >= least, "{load:?}");
        assert!(load.median < Duration::from_millis(500), "{load:?}");
        assert_eq!(load.unknown, 0);
    }
}

/// Keys in doubt though nothing ran, after a slow spell in which all entries are replaced.
async fn stuck(direct: bool) -> (usize, usize) {
    const ACTIONS: usize = 60;
    let world = World::start().await;
    let dead = tokio::sync::watch::Sender::new(false);
    let hook: Hook = {
        let dead = dead.clone();
        Arc::new(move |_, _| {
            let dead = *dead.borrow();
            Box::pin(async move {
                if dead {
                    std::future::pending::<()>().await;
                }
            })
        })
    };
    let rules = Rules { direct, ..rules() };
    let old = world.entry_with("old", rules, world.client(), Some(hook));
    for i in 0..ACTIONS {
        if i == ACTIONS / 2 {
            let slow = json!({"late_writes": 1000, "late_ms": 600});
            world.platform_fault(slow).await;
        }
        tokio::spawn(timed(old.clone(), i));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    dead.send_replace(true);
    tokio::time::sleep(Duration::from_millis(1000)).await;
    world.platform_fault(json!({"late_writes": 0})).await;
    let new = world.entry_with("new", rules, world.client(), None);
    let repeats = (0..ACTIONS).map(|i| timed(new.clone(), i));
    let told = futures_util::future::join_all(repeats).await;

    let mut in_doubt = 0;
    for (i, (word, _)) in told.iter().enumerate() {
        let runs = world.runs(&format!("k{i}")).await;
        assert!(runs <= 1);
        in_doubt += usize::from(*word == "unknown" && runs == 0);
    }
    let ran = told.iter().filter(|(word, _)| *word == "ok").count();
    (in_doubt, ran)
}

/// What the third write buys: a claim that lands late leaves no key in doubt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn doubt_after_a_slow_spell() {
    let (reserved, ran) = stuck(false).await;
    let (direct, direct_ran) = stuck(true).await;

    println!(
        "of 60 keys in doubt: {reserved} with claims ({ran} ran), {direct} direct ({direct_ran} ran)"
    );
    assert!(reserved < direct);
}

/// A platform that answers nothing: refusals are true and, after the first ones, quick.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_in_an_outage() {
    let world = World::start().await;
    world
        .platform_fault(json!({"silent": true, "delay_ms": 60000}))
        .await;
    let entry = world.entry("a", None);
    let mut times = Vec::new();
    let begun = Instant::now();
    let mut i = 0;
    while begun.elapsed() < Duration::from_secs(3) {
        let tries = (0..4).map(|j| timed(entry.clone(), i + j));
        for (word, time) in futures_util::future::join_all(tries).await {
            assert_eq!(word, "not_run");
            times.push(time);
        }
        i += 4;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    world.platform_fault(json!({"delay_ms": 0})).await;
    until("actions run again", || async {
        entry.run(call("back")).await.is_ok()
    })
    .await;

    times.sort();
    let median = times[times.len() / 2];
    println!(
        "{} refusals, median {median:?}, worst {:?}",
        times.len(),
        times[times.len() - 1]
    );
    assert!(
        median < PLATFORM_TIMEOUT,
        "at once, not after a wait for the platform"
    );
    assert_eq!(world.runs("back").await, 1);
}
