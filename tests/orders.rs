//! Orders to engines through a change of the lease holder, with separate processes.

mod support;

use serde_json::{Value, json};
use support::world::{World, until};

fn service(fencing: &str, adapters: &[&str]) -> Value {
    json!({
        "kind": "generation",
        "version": "v1",
        "versions": {"v1": {"model": "m1", "adapters": adapters}},
        "fencing": fencing,
    })
}

async fn world(fencing: &str, args: &[&str]) -> World {
    let mut world = World::new();
    world.configure().await;
    world.store("service", "llm", &service(fencing, &[])).await;
    for _ in 0..2 {
        let args = [&["--load-ms", "50"], args].concat();
        world.engine("v1", &args).await;
    }
    for _ in 0..2 {
        world.entry("").await;
    }
    world.ready().await;
    world
}

async fn state(world: &World, engine: usize) -> Value {
    world.read(world.engines[engine].addr, "/v1/state").await
}

async fn has(world: &World, list: &str, name: &str) -> bool {
    for engine in 0..world.engines.len() {
        let state = state(world, engine).await;
        let loaded = state[list].as_array().cloned().unwrap_or_default();
        if !loaded.iter().any(|v| v == name) {
            return false;
        }
    }
    true
}

/// Index of the entry instance that holds the lease.
async fn holder(world: &World) -> usize {
    let object = world
        .read(world.platform.addr, "/v1/objects/lease/llm")
        .await;
    let name = object["value"]["holder"]
        .as_str()
        .expect("a holder")
        .to_owned();
    let entries = &world.entries;
    entries
        .iter()
        .position(|e| e.name == name)
        .expect("an entry")
}

async fn paused_holder(fencing: &str, args: &[&str]) {
    let world = world(fencing, args).await;
    until("the model is loaded", async || {
        has(&world, "models", "m1").await
    })
    .await;
    let old = holder(&world).await;

    world.entries[old].process.signal("STOP");
    let wanted = service(fencing, &["a1"]);
    world.store("service", "llm", &wanted).await;
    until("another instance sends the order", async || {
        has(&world, "adapters", "a1").await
    })
    .await;
    let new = holder(&world).await;
    world.entries[old].process.signal("CONT");
    let wanted = service(fencing, &["a1", "a2"]);
    world.store("service", "llm", &wanted).await;
    until("the new holder sends the next order", async || {
        has(&world, "adapters", "a2").await
    })
    .await;

    assert_ne!(new, old);
    for engine in 0..2 {
        let state = state(&world, engine).await;
        assert_eq!(
            state["stale"], 0,
            "an order of the old holder was applied: {state}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_paused_past_its_lease_sends_no_stale_order_if_targets_check_fencing() {
    paused_holder("checked", &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_paused_past_its_lease_sends_no_stale_order_if_targets_ignore_fencing() {
    paused_holder("ignored", &["--ignore-fence"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unloaded_version_is_loaded_again() {
    let world = world("checked", &[]).await;
    until("the model is loaded", async || {
        has(&world, "models", "m1").await
    })
    .await;
    let fence = state(&world, 0).await["fence"].clone();

    let order = json!({"fence": fence, "order": {"op": "unload_version", "name": "v1"}});
    world
        .control(world.engines[0].addr, "/v1/orders", &order)
        .await;
    let gone = !has(&world, "versions", "v1").await;
    until("the version is loaded again", async || {
        has(&world, "versions", "v1").await
    })
    .await;

    assert!(gone, "the version was unloaded at first");
}
