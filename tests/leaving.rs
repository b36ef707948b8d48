//! A target that leaves gets no new work after three seconds, whoever says so.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::caller::CallerRequest;
use support::world::{World, until};

/// Longest time for which a leaving target may get new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

async fn starts(world: &World, engine: usize) -> usize {
    let log = world.read(world.engines[engine].addr, "/control/log").await;
    let entries = log["entries"].as_array().cloned().unwrap_or_default();
    entries.iter().filter(|e| e["op"] == "start").count()
}

async fn ask(world: &World, count: usize) {
    for i in 0..count {
        let entry = &world.entries[i % world.entries.len()];
        let ask = CallerRequest::completion(entry.caller, "llm", &format!("ask {i}"), 2);
        ask.all(&world.client).await;
    }
}

async fn world() -> World {
    let world = World::usual(3, 3, &["--token-ms", "2"]).await;
    until("all engines get work", async || {
        ask(&world, 6).await;
        let mut least = usize::MAX;
        for engine in 0..3 {
            least = least.min(starts(&world, engine).await);
        }
        least > 0
    })
    .await;
    world
}

async fn platform(world: &World, fault: Value) {
    world.control(world.platform.addr, "/control", &fault).await;
}

async fn assert_no_new_work(world: &World, engine: usize) {
    let begun = std::time::Instant::now();
    while begun.elapsed() < NO_NEW_WORK {
        ask(world, 6).await;
    }
    let before = starts(world, engine).await;
    ask(world, 60).await;
    let after = starts(world, engine).await;
    assert_eq!(after, before, "engine {engine} got new work");
}

#[tokio::test(flavor = "multi_thread")]
async fn its_own_word_is_enough_while_the_list_lags_and_the_platform_is_down() {
    let world = world().await;
    platform(&world, json!({"lag_ms": 10_000})).await;

    let leaving = json!({"leaving": true});
    world
        .control(world.engines[0].addr, "/control", &leaving)
        .await;
    assert_no_new_work(&world, 0).await;
    platform(&world, json!({"outage": "refuse"})).await;
    world
        .control(world.engines[1].addr, "/control", &leaving)
        .await;
    assert_no_new_work(&world, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_list_is_enough() {
    let world = world().await;
    let engine = &world.engines[2];

    let item = json!({
        "name": engine.name, "role": "engine", "addr": engine.addr, "domain": "d1",
        "region": "r1", "service": "llm", "version": "v1", "state": "leaving",
    });
    world
        .control(world.platform.addr, "/control/instances", &item)
        .await;

    assert_no_new_work(&world, 2).await;
}
