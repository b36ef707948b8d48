//! Platform calls per action, and throughput when the platform limits the write rate.

use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::action::{Actions, Call, Hook, Limits};
use endivefork::platform::Client;
use serde_json::json;

use crate::fixture::{PLATFORM_TIMEOUT, World, call, label, limits, until};

/// Writes per second that the platform accepts.
const WRITE_RATE: u32 = 300;

/// Entries that share the write rate.
const ENTRIES: usize = 6;

/// Duration of one measurement.
const DURATION: Duration = Duration::from_secs(5);

/// Number of writes: three, or two in direct mode, for a new action; one for a repeat at another
/// entry; none for a repeat at the same entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_per_action() {
    for (direct, writes) in [(false, 3), (true, 2)] {
        let world = World::start().await;
        let limits = Limits { direct, ..limits() };
        let (first, second) = (world.client(), world.client());
        let one = world.entry_with("a", limits, first.clone(), None);
        let two = world.entry_with("b", limits, second.clone(), None);

        one.run(call("k")).await.unwrap();
        let fresh = first.calls().counts();
        one.run(call("k")).await.unwrap();
        let here = first.calls().counts();
        two.run(call("k")).await.unwrap();
        let elsewhere = second.calls().counts();

        println!("direct {direct}: {fresh:?}, a repeat elsewhere {elsewhere:?}");
        assert_eq!((fresh.writes, fresh.total()), (writes, writes));
        assert_eq!(
            here, fresh,
            "a repeat at the same entry makes no platform calls"
        );
        assert_eq!((elsewhere.writes, elsewhere.total()), (1, 1));
    }
}

/// Results of one measurement.
#[derive(Debug, Default)]
struct Load {
    ok: u32,
    refused: u32,
    unknown: u32,
    writes: u64,
    throttled: u64,
    max: Duration,
    median: Duration,
}

/// Starts new actions at a constant rate, independent of their results.
async fn offer(direct: bool, per_second: u32) -> Load {
    let world = World::start().await;
    world
        .platform_fault(json!({"write_rate": WRITE_RATE}))
        .await;
    let limits = Limits {
        direct,
        ..Limits::default()
    };
    let entries: Vec<_> = (0..ENTRIES)
        .map(|i| {
            let client = Client::new(world.platform, Duration::from_secs(1));
            world.entry_with(&format!("e{i}"), limits, client, None)
        })
        .collect();
    let started = Instant::now();
    let mut tasks = Vec::new();
    let mut tick = tokio::time::interval(Duration::from_secs(1) / per_second);
    while started.elapsed() < DURATION {
        tick.tick().await;
        let i = tasks.len();
        tasks.push(tokio::spawn(timed(entries[i % ENTRIES].clone(), i)));
    }
    let result = futures_util::future::join_all(tasks).await;
    until("deferred writes are complete", || async {
        entries.iter().all(|e| e.pending() == 0)
    })
    .await;
    let mut load = Load::default();
    let mut times = Vec::new();
    for one in result {
        let (label, time) = one.unwrap();
        match label {
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
    load.max = times.last().copied().unwrap_or_default();
    let counts = world.counts().await;
    load.writes = counts["writes"].as_u64().unwrap_or(0);
    load.throttled = counts["throttled"].as_u64().unwrap_or(0);
    load
}

async fn timed(entry: Actions, i: usize) -> (&'static str, Duration) {
    let started = Instant::now();
    let request = Call {
        deadline: Duration::from_secs(5),
        ..call(&format!("k{i}"))
    };
    let result = entry.run(request).await;
    (label(&result), started.elapsed())
}

/// Throughput with a limited write rate, for offered loads below and above it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn actions_per_second() {
    for (direct, offered) in [(false, 80), (false, 250), (true, 120), (true, 250)] {
        let load = offer(direct, offered).await;
        let secs = DURATION.as_secs_f64();
        println!(
            "direct {direct}, {WRITE_RATE} writes/s, offered {offered}/s: {:.0} ok/s, {:.0} refused/s, \
             {} unknown, {} writes, {} throttled, median {:?}, worst {:?}",
            f64::from(load.ok) / secs,
            f64::from(load.refused) / secs,
            load.unknown,
            load.writes,
            load.throttled,
            load.median,
            load.max
        );
        let carried = f64::from(WRITE_RATE) / if direct { 2.0 } else { 3.0 };
        let least = f64::from(offered).min(carried) * 0.75;
        assert!(f64::from(load.ok) / secs >= least, "{load:?}");
        assert!(load.median < Duration::from_millis(500), "{load:?}");
        assert_eq!(load.unknown, 0);
    }
}

/// Replaces all entries while the platform delays writes. Returns the number of keys whose outcome
/// is unknown although the action did not run, and the number of actions that ran.
async fn replace_during_slow_writes(direct: bool) -> (usize, usize) {
    const ACTIONS: usize = 60;
    let world = World::start().await;
    let crashed = tokio::sync::watch::Sender::new(false);
    let hook: Hook = {
        let crashed = crashed.clone();
        Arc::new(move |_, _| {
            let crashed = *crashed.borrow();
            Box::pin(async move {
                if crashed {
                    std::future::pending::<()>().await;
                }
            })
        })
    };
    let limits = Limits { direct, ..limits() };
    let old = world.entry_with("old", limits, world.client(), Some(hook));
    for i in 0..ACTIONS {
        if i == ACTIONS / 2 {
            let slow = json!({"late_writes": 1000, "late_ms": 600});
            world.platform_fault(slow).await;
        }
        tokio::spawn(timed(old.clone(), i));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    crashed.send_replace(true);
    tokio::time::sleep(Duration::from_millis(1000)).await;
    world.platform_fault(json!({"late_writes": 0})).await;
    let new = world.entry_with("new", limits, world.client(), None);
    let repeats = (0..ACTIONS).map(|i| timed(new.clone(), i));
    let result = futures_util::future::join_all(repeats).await;

    let mut unknown = 0;
    for (i, (label, _)) in result.iter().enumerate() {
        let runs = world.runs(&format!("k{i}")).await;
        assert!(runs <= 1);
        unknown += usize::from(*label == "unknown" && runs == 0);
    }
    let ran = result.iter().filter(|(label, _)| *label == "ok").count();
    (unknown, ran)
}

/// The third write (`claimed`) reduces the number of keys with unknown outcome: a delayed `claimed`
/// update leaves its key usable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_outcomes_after_slow_writes() {
    let (claimed, ran) = replace_during_slow_writes(false).await;
    let (direct, direct_ran) = replace_during_slow_writes(true).await;

    println!(
        "unknown outcomes of 60 keys: {claimed} with claims ({ran} ran), {direct} direct ({direct_ran} ran)"
    );
    assert!(claimed < direct);
}

/// While the platform does not respond, calls are refused correctly and, after the first ones,
/// without waiting for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_in_an_outage() {
    let world = World::start().await;
    world
        .platform_fault(json!({"silent": true, "delay_ms": 60000}))
        .await;
    let entry = world.entry("a", None);
    let mut times = Vec::new();
    let started = Instant::now();
    let mut i = 0;
    while started.elapsed() < Duration::from_secs(3) {
        let attempts = (0..4).map(|j| timed(entry.clone(), i + j));
        for (label, time) in futures_util::future::join_all(attempts).await {
            assert_eq!(label, "not_run");
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
        "refused without waiting for the platform"
    );
    assert_eq!(world.runs("back").await, 1);
}
