//! Streams through several entry instances while processes are killed, paused or stop answering.
//!
//! Guards against the same failures as the tests within one process, with real processes, sockets
//! and signals: lost or repeated tokens, tokens generated twice, and long gaps for reconnecting
//! callers.

mod support;

#[path = "../examples/standin/engine/token.rs"]
#[allow(dead_code, reason = "the length of an answer is not used here")]
mod token;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use support::caller::CallerRequest;
use support::relay::Relay;
use support::returning::{ResumedAnswer, follow};
use support::world::World;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// Concurrent streams.
const STREAMS: usize = 64;

const ENGINES: usize = 6;

const ENTRIES: usize = 3;

/// Tokens of a stream.
const TOKENS: u64 = 120;

/// Maximum gaps (p95, worst) after connections were reset.
const RESET_LIMITS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));

/// Maximum gaps (p95, worst) after a pause or silence.
const SILENCE_LIMITS: (Duration, Duration) = (Duration::from_millis(1500), Duration::from_secs(4));

/// Maximum time from a caller's reconnect to its next token.
const RECONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Gap above which a stream counts as disturbed.
const DISTURBED_GAP: Duration = Duration::from_millis(150);

/// Serializes the tests, because other load on the machine distorts the gaps.
static SERIAL: Mutex<()> = Mutex::const_new(());

const ENGINE_ARGS: [&str; 4] = ["--token-ms", "41", "--slots", "64"];

fn prompt(i: usize) -> String {
    format!("dispute summary {i}")
}

fn open_streams(world: &World, tokens: u64) -> Vec<JoinHandle<ResumedAnswer>> {
    let entries = world.entries.iter().map(|e| e.caller);
    open_streams_at(world, entries.collect(), tokens)
}

fn open_streams_at(
    world: &World,
    entries: Vec<SocketAddr>,
    tokens: u64,
) -> Vec<JoinHandle<ResumedAnswer>> {
    let mut streams = Vec::new();
    for i in 0..STREAMS {
        let entry = entries[i % entries.len()];
        let ask = CallerRequest::completion(entry, "llm", &prompt(i), tokens as u32);
        let ask = ask.key(&format!("key-{i}"));
        let (client, entries) = (world.client.clone(), entries.clone());
        streams.push(tokio::spawn(
            async move { follow(&client, ask, &entries).await },
        ));
    }
    streams
}

async fn read_all(streams: Vec<JoinHandle<ResumedAnswer>>, tokens: u64) -> Vec<ResumedAnswer> {
    let mut results = Vec::new();
    for (i, stream) in streams.into_iter().enumerate() {
        let result = stream.await.unwrap();
        result.assert_exact(&prompt(i), tokens, token::token);
        results.push(result);
    }
    results
}

async fn wait_running(world: &World) {
    support::world::until("all streams run", async || {
        let mut starts = 0;
        for engine in &world.engines {
            starts += count(&world.read(engine.addr, "/control/log").await, "start");
        }
        starts >= STREAMS
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
}

fn count(log: &Value, op: &str) -> usize {
    let entries = log["entries"].as_array();
    entries.map_or(0, |all| all.iter().filter(|e| e["op"] == op).count())
}

/// Returns the index of the engine that runs most attempts.
async fn busiest(world: &World) -> usize {
    let mut best = (0, 0);
    for (i, engine) in world.engines.iter().enumerate() {
        let log = world.read(engine.addr, "/control/log").await;
        best = best.max((count(&log, "start"), i));
    }
    best.1
}

/// Panics unless some attempt continued after tokens of another.
async fn assert_continued(world: &World) {
    let mut continued = 0;
    for engine in &world.engines {
        let log = world.read(engine.addr, "/control/log").await;
        let entries = log["entries"].as_array().cloned().unwrap_or_default();
        let continues = |e: &&Value| e["op"] == "start" && e["index"].as_u64() > Some(0);
        continued += entries.iter().filter(continues).count();
    }
    println!("{continued} attempts continued after tokens of another");
    assert!(continued > 0, "no stream was on a lost engine");
}

/// Checks the engines' logs and returns the tokens generated and those computed again.
async fn check_engines(world: &World) -> (u64, u64) {
    let mut tokens = 0;
    let mut recomputed = 0;
    for engine in &world.engines {
        let log = world.read(engine.addr, "/control/log").await;
        let bad = log["bad_prefixes"].as_u64().unwrap_or(0);
        assert_eq!(
            bad, 0,
            "{}: a prefix is not the answer's beginning",
            engine.name
        );
        tokens += log["tokens"].as_u64().unwrap_or(0);
        recomputed += log["recomputed"].as_u64().unwrap_or(0);
    }
    (tokens, recomputed)
}

fn percentile(sorted: &[Duration], hundredths: usize) -> Duration {
    sorted[(sorted.len() * hundredths).div_ceil(100) - 1]
}

fn assert_gaps(what: &str, results: &[ResumedAnswer], (p95, worst): (Duration, Duration)) {
    let mut gaps: Vec<_> = results.iter().map(ResumedAnswer::worst_gap).collect();
    gaps.retain(|gap| *gap > DISTURBED_GAP);
    gaps.sort();
    let Some(last) = gaps.last() else {
        println!("{what}: no gap over {DISTURBED_GAP:?}");
        return;
    };
    let high = percentile(&gaps, 95);
    println!(
        "{what}: {} of {STREAMS} disturbed, p95 {high:?}, worst {last:?}",
        gaps.len()
    );
    assert!(high <= p95, "{what}: p95 {high:?}");
    assert!(*last <= worst, "{what}: worst {last:?}");
}

fn assert_reconnects(what: &str, results: &[ResumedAnswer]) {
    let mut reconnects: Vec<_> = results.iter().flat_map(|s| s.returns.clone()).collect();
    reconnects.sort();
    let worst = reconnects.last().copied().expect("no caller reconnected");
    println!(
        "{what}: {} returns, rest after {:?} median, {worst:?} worst",
        reconnects.len(),
        percentile(&reconnects, 50),
    );
    assert!(worst <= RECONNECT_LIMIT, "{what}: {worst:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_process_killed() {
    let _serial = SERIAL.lock().await;
    let mut world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let streams = open_streams(&world, TOKENS);
    wait_running(&world).await;

    let victim = busiest(&world).await;
    world.engines[victim].process.kill();
    let results = read_all(streams, TOKENS).await;

    assert_continued(&world).await;
    assert_gaps("engine killed", &results, RESET_LIMITS);
    check_engines(&world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_process_paused_for_half_a_minute() {
    const LONG: u64 = 900;
    let _serial = SERIAL.lock().await;
    let world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let streams = open_streams(&world, LONG);
    wait_running(&world).await;

    let victim = &world.engines[busiest(&world).await];
    victim.process.signal("STOP");
    tokio::time::sleep(Duration::from_secs(30)).await;
    victim.process.signal("CONT");
    let results = read_all(streams, LONG).await;

    assert_continued(&world).await;
    assert_gaps("engine paused 30 s", &results, SILENCE_LIMITS);
    let (tokens, recomputed) = check_engines(&world).await;
    let due = STREAMS as u64 * LONG;
    println!(
        "engine paused 30 s: {tokens} tokens generated for {due}, {recomputed} computed again"
    );
    assert!(tokens * 100 <= due * 101, "more than 1% generated twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_connections_silent() {
    let _serial = SERIAL.lock().await;
    let world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let streams = open_streams(&world, TOKENS);
    wait_running(&world).await;

    let victim = &world.engines[busiest(&world).await];
    world
        .control(victim.addr, "/control", &json!({"silent": true}))
        .await;
    let results = read_all(streams, TOKENS).await;

    assert_gaps("connections silent", &results, SILENCE_LIMITS);
    let (tokens, _) = check_engines(&world).await;
    assert_eq!(
        tokens,
        STREAMS as u64 * TOKENS,
        "nothing is generated twice"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_process_killed() {
    let _serial = SERIAL.lock().await;
    let mut world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let streams = open_streams(&world, TOKENS);
    wait_running(&world).await;

    world.entries[0].process.kill();
    let results = read_all(streams, TOKENS).await;

    assert_reconnects("entry killed", &results);
    let (tokens, _) = check_engines(&world).await;
    println!(
        "entry killed: {tokens} tokens generated for {}",
        STREAMS as u64 * TOKENS
    );
    assert_eq!(
        tokens,
        STREAMS as u64 * TOKENS,
        "nothing is generated twice"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_process_paused_and_returning() {
    let _serial = SERIAL.lock().await;
    let world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let streams = open_streams(&world, TOKENS);
    wait_running(&world).await;

    world.entries[0].process.signal("STOP");
    tokio::time::sleep(Duration::from_millis(3500)).await;
    world.entries[0].process.signal("CONT");
    let results = read_all(streams, TOKENS).await;

    assert_reconnects("entry paused", &results);
    let (tokens, _) = check_engines(&world).await;
    println!(
        "entry paused: {tokens} tokens generated for {}",
        STREAMS as u64 * TOKENS
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_of_callers_go_silent() {
    let _serial = SERIAL.lock().await;
    let world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let relay = Relay::start().await;
    relay.point(world.entries[0].caller);
    let mut entries: Vec<SocketAddr> = world.entries.iter().map(|e| e.caller).collect();
    entries[0] = relay.addr;
    let streams = open_streams_at(&world, entries, TOKENS);
    wait_running(&world).await;

    relay.cut();
    let results = read_all(streams, TOKENS).await;

    assert_reconnects("callers' connections silent", &results);
    let (tokens, _) = check_engines(&world).await;
    assert_eq!(
        tokens,
        STREAMS as u64 * TOKENS,
        "nothing is generated twice"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_engine_processes_killed_together_with_the_platform_down() {
    let _serial = SERIAL.lock().await;
    let mut world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let streams = open_streams(&world, TOKENS);
    wait_running(&world).await;
    world.platform.process.kill();

    let victim = busiest(&world).await;
    world.engines[victim].process.kill();
    world.entries[0].process.kill();
    let results = read_all(streams, TOKENS).await;

    assert_reconnects("entry and engine killed, platform down", &results);
    assert_gaps(
        "entry and engine killed, platform down",
        &results,
        SILENCE_LIMITS,
    );
    check_engines(&world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_engine_processes_killed_one_after_the_other() {
    let _serial = SERIAL.lock().await;
    let mut world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    let streams = open_streams(&world, TOKENS);
    wait_running(&world).await;

    for _ in 0..2 {
        let victim = busiest(&world).await;
        world.engines[victim].process.kill();
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    let results = read_all(streams, TOKENS).await;

    assert_continued(&world).await;
    assert_gaps("two engines killed", &results, RESET_LIMITS);
    check_engines(&world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_request_across_processes() {
    const POISON: &str = "an odd roof that [crashes] the engine";
    let _serial = SERIAL.lock().await;
    let mut world = World::usual(ENGINES, ENTRIES, &ENGINE_ARGS).await;
    for engine in &world.engines {
        world
            .control(engine.addr, "/control", &json!({"crash_on": "[crashes]"}))
            .await;
    }
    let streams = open_streams(&world, TOKENS);
    wait_running(&world).await;

    for (entry, key) in [(0, "p"), (1, "p"), (2, "q"), (0, "r")] {
        let ask =
            CallerRequest::completion(world.entries[entry].caller, "llm", POISON, 20).key(key);
        let seen = ask.all(&world.client).await;
        let error = seen.error.expect("a final answer");
        assert!(
            error["error"]["retry_after_ms"].as_u64().is_some(),
            "{error}"
        );
    }
    read_all(streams, TOKENS).await;
    let mut lost = 0;
    for engine in &mut world.engines {
        lost += usize::from(engine.process.ended(Duration::ZERO).is_some());
    }

    println!("poison: {lost} engine processes lost");
    assert!(lost <= 2, "{lost} engines lost");
}
