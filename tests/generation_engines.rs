//! Streams stay complete and exact while engines crash, pause, stop answering or drain.
//!
//! Guards against lost, repeated or wrong tokens when a generation resumes on another engine,
//! against long gaps, and against false suspicions of healthy engines.

#[path = "support/engines.rs"]
mod engines;

use std::sync::Arc;
use std::time::Duration;

use endivefork::generation::Generations;
use endivefork::http::Client;
use engines::engine::fault::Control;
use engines::engine::options::Options;
use engines::{Fleet, Seen, read, start};

/// Time between tokens for which the gap limits hold.
const TOKEN_INTERVAL: Duration = Duration::from_millis(41);

/// Concurrent streams.
const STREAMS: usize = 64;

/// Tokens of each stream.
const TOKENS: u64 = 100;

fn options() -> Options {
    Options {
        token: TOKEN_INTERVAL,
        slots: 64,
        ..Options::default()
    }
}

fn prompt(i: usize) -> String {
    format!("long inspection notes number {i}")
}

struct Outcome {
    fleet: Arc<Fleet>,
    seen: Vec<Seen>,
}

impl Outcome {
    /// Returns the longest gap of each disturbed stream, sorted.
    fn disturbed(&self) -> Vec<Duration> {
        let mut gaps: Vec<_> = self.seen.iter().map(Seen::worst_gap).collect();
        gaps.retain(|g| *g > 2 * TOKEN_INTERVAL);
        gaps.sort();
        gaps
    }

    fn assert_gaps(&self, what: &str, p95: Duration, worst: Duration) {
        let gaps = self.disturbed();
        let Some(last) = gaps.last() else { return };
        let at = (gaps.len() * 95).div_ceil(100) - 1;
        println!(
            "{what}: {} of {STREAMS} streams disturbed, gap p95 {:?}, worst {last:?}, tokens generated {} for {}",
            gaps.len(),
            gaps[at],
            self.fleet.tokens(),
            STREAMS as u64 * TOKENS,
        );
        assert!(gaps[at] <= p95, "{what}: p95 {:?}", gaps[at]);
        assert!(*last <= worst, "{what}: worst {last:?}");
    }
}

async fn run(engines: usize, disturb: impl AsyncFnOnce(&Fleet)) -> Outcome {
    let fleet = Fleet::start(engines, &options()).await;
    let generations = Generations::new(fleet.hooks(), Client::new());
    let mut tasks = Vec::new();
    for i in 0..STREAMS {
        let generations = generations.clone();
        tasks.push(tokio::spawn(async move {
            let start = start(&format!("key-{i}"), &prompt(i), TOKENS);
            let mut reader = generations.open(start, None).await.unwrap();
            read(&mut reader, usize::MAX).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    disturb(&fleet).await;
    let mut seen = Vec::new();
    for (i, task) in tasks.into_iter().enumerate() {
        let stream = task.await.unwrap();
        stream.assert_exact(&prompt(i), 0, TOKENS);
        seen.push(stream);
    }
    Outcome { fleet, seen }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_killed() {
    let outcome = run(4, async |fleet| {
        let control = Control {
            crash: true,
            ..Control::default()
        };
        fleet.engines[fleet.busiest()].control(control);
    })
    .await;

    assert!(!outcome.disturbed().is_empty() || !outcome.fleet.losses.lock().is_empty());
    outcome.assert_gaps("killed", Duration::from_millis(250), Duration::from_secs(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_paused_and_continued() {
    let outcome = run(4, async |fleet| {
        let control = Control {
            freeze_ms: Some(3000),
            ..Control::default()
        };
        fleet.engines[fleet.busiest()].control(control);
    })
    .await;

    assert!(!outcome.disturbed().is_empty());
    outcome.assert_gaps(
        "paused",
        Duration::from_millis(1500),
        Duration::from_secs(4),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn open_connections_go_silent() {
    let outcome = run(4, async |fleet| {
        let control = Control {
            silent: true,
            ..Control::default()
        };
        fleet.engines[fleet.busiest()].control(control);
    })
    .await;

    assert!(!outcome.disturbed().is_empty());
    assert_eq!(
        outcome.fleet.losses.lock().len(),
        0,
        "a healthy engine was given up"
    );
    outcome.assert_gaps(
        "silent",
        Duration::from_millis(1500),
        Duration::from_secs(4),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_leaving() {
    let outcome = run(4, async |fleet| {
        let control = Control {
            leaving: Some(true),
            ..Control::default()
        };
        fleet.engines[fleet.busiest()].control(control);
    })
    .await;

    assert_eq!(
        outcome.fleet.tokens(),
        STREAMS as u64 * TOKENS,
        "nothing is generated twice"
    );
    assert_eq!(outcome.fleet.losses.lock().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_lost_twice_in_one_generation() {
    let outcome = run(4, async |fleet| {
        for _ in 0..2 {
            let control = Control {
                crash: true,
                ..Control::default()
            };
            fleet.engines[fleet.busiest()].control(control);
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
    })
    .await;

    outcome.assert_gaps(
        "killed twice",
        Duration::from_millis(250),
        Duration::from_secs(1),
    );
}

/// Seconds of undisturbed streams, unless `ENDIVEFORK_SOAK_S` sets another duration.
const SOAK_SECONDS: u64 = 10;

#[tokio::test(flavor = "multi_thread")]
async fn undisturbed_streams_are_not_suspected() {
    let soak = std::env::var("ENDIVEFORK_SOAK_S");
    let seconds = soak.map_or(SOAK_SECONDS, |s| s.parse().expect("seconds"));
    let tokens = seconds * 1000 / TOKEN_INTERVAL.as_millis() as u64;
    let fleet = Fleet::start(4, &options()).await;
    let generations = Generations::new(fleet.hooks(), Client::new());

    let streams = (0..STREAMS).map(|i| {
        let generations = generations.clone();
        tokio::spawn(async move {
            let mut start = start(&format!("key-{i}"), &prompt(i), tokens);
            start.deadline += Duration::from_secs(seconds);
            let mut reader = generations.open(start, None).await.unwrap();
            read(&mut reader, usize::MAX).await
        })
    });
    let streams: Vec<_> = streams.collect();
    let mut gaps = Vec::new();
    for (i, stream) in streams.into_iter().enumerate() {
        let seen = stream.await.unwrap();
        seen.assert_exact(&prompt(i), 0, tokens);
        gaps.push(seen.worst_gap());
    }

    let suspicions = *fleet.suspicions.lock();
    let losses = fleet.losses.lock().len();
    println!(
        "{STREAMS} undisturbed streams for {seconds} s: {suspicions} suspicions, {losses} targets given up, worst gap {:?}",
        gaps.iter().max().unwrap(),
    );
    assert_eq!(losses, 0, "a target was given up falsely");
    assert_eq!(
        fleet.tokens(),
        STREAMS as u64 * tokens,
        "nothing is generated twice"
    );
}
