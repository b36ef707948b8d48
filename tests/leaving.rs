//! A leaving target gets no new work after three seconds, whether it announces that itself or the
//! platform's list says so.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::caller::CallerRequest;
use support::world::{World, until};

/// Time within which a leaving target must stop getting new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

async fn start_count(world: &World, engine: usize) -> usize {
    let log = world.read(world.engines[engine].addr, "/control/log").await;
    let entries = log["entries"].as_array().cloned().unwrap_or_default();
    entries.iter().filter(|e| e["op"] == "start").count()
}

async fn send_requests(world: &World, count: usize) {
    for i in 0..count {
        let entry = &world.entries[i % world.entries.len()];
        let request = CallerRequest::completion(entry.caller, "llm", &format!("ask {i}"), 2);
        request.all(&world.client).await;
    }
}

async fn world() -> World {
    let world = World::usual(3, 3, &["--token-ms", "2"]).await;
    until("all engines get work", async || {
        send_requests(&world, 6).await;
        let mut fewest = usize::MAX;
        for engine in 0..3 {
            fewest = fewest.min(start_count(&world, engine).await);
        }
        fewest > 0
    })
    .await;
    world
}

async fn set_fault(world: &World, fault: Value) {
    world.control(world.platform.addr, "/control", &fault).await;
}

async fn assert_no_new_work(world: &World, engine: usize) {
    let begun = std::time::Instant::now();
    while begun.elapsed() < NO_NEW_WORK {
        send_requests(world, 6).await;
    }
    let before = start_count(world, engine).await;
    send_requests(world, 60).await;
    let after = start_count(world, engine).await;
    assert_eq!(after, before, "engine {engine} got new work");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_announced_leave_suffices_while_the_list_lags_or_the_platform_is_down() {
    let world = world().await;
    set_fault(&world, json!({"lag_ms": 10_000})).await;

    let leaving = json!({"leaving": true});
    world
        .control(world.engines[0].addr, "/control", &leaving)
        .await;
    assert_no_new_work(&world, 0).await;
    set_fault(&world, json!({"outage": "refuse"})).await;
    world
        .control(world.engines[1].addr, "/control", &leaving)
        .await;
    assert_no_new_work(&world, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_listed_as_leaving_gets_no_new_work() {
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
