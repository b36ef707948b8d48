//! Distribution of the configuration to all instances, with real processes.

mod support;

use std::time::{Duration, Instant};

use endivefork::config::Feed;
use endivefork::http::{Client, Via, request};
use http::{Method, header};
use serde_json::{Value, json};
use support::forwarder::{Forwarder, Silence};
use support::world::{LIMIT, World, until};

/// Maximum time until an accepted configuration is in force at every instance.
const MAX_SPREAD: Duration = Duration::from_secs(4);

/// Time for watcher election: until the instances know each other, each may be a watcher.
const ELECTION_TIME: Duration = Duration::from_secs(4);

/// Duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(6);

fn service(version: u64) -> Value {
    let name = format!("v{version}");
    json!({"kind": "plain", "version": name, "versions": {name: {}}})
}

async fn world(entries: usize) -> World {
    let mut world = World::new();
    world.configure().await;
    for _ in 0..entries {
        world.entry("").await;
    }
    world.ready().await;
    world
}

async fn admin(world: &World, entry: usize, path: &str) -> Value {
    let url = format!("http://{}{path}", world.entries[entry].admin);
    let mut req = request(Method::GET, &url, "");
    let bearer = "Bearer operator-key".parse().unwrap();
    req.headers_mut().insert(header::AUTHORIZATION, bearer);
    let answer = world.client.send(Via::Fresh, req, LIMIT).await;
    answer
        .ok()
        .and_then(|a| a.json().ok())
        .unwrap_or(Value::Null)
}

async fn version_at(world: &World, entry: usize, name: &str) -> Option<String> {
    let item = admin(world, entry, &format!("/v1/services/{name}")).await;
    item["value"]["version"].as_str().map(String::from)
}

/// Waits until `entries` have `version` of the service `name`; returns the time taken.
async fn spread(world: &World, entries: &[usize], name: &str, version: Option<u64>) -> Duration {
    let begun = Instant::now();
    let want = version.map(|v| format!("v{v}"));
    for entry in entries {
        until(&format!("{want:?} at entry {entry}"), async || {
            version_at(world, *entry, name).await == want
        })
        .await;
    }
    begun.elapsed()
}

async fn fault(world: &World, fault: Value) {
    world.control(world.platform.addr, "/control", &fault).await;
}

/// The instances elected to watch the platform.
fn watchers(world: &World) -> Vec<usize> {
    let name = |i: &usize| world.entries[*i].name.as_str();
    let all: Vec<_> = (0..world.entries.len()).collect();
    let watches = |i: &usize| {
        let others = all.iter().filter(|o| *o != i).map(name);
        Feed::is_watcher(name(i), "d1", others)
    };
    all.iter().copied().filter(watches).collect()
}

/// The revision of the service `name` at `entry`.
async fn rev_at(world: &World, entry: usize, name: &str) -> u64 {
    let item = admin(world, entry, &format!("/v1/services/{name}")).await;
    item["rev"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_four_seconds() {
    let mut world = world(6).await;
    let all: Vec<_> = (0..6).collect();
    let mut worst = Duration::ZERO;

    for version in 2..12 {
        world.store("service", "desk", &service(version)).await;
        worst = worst.max(spread(&world, &all, "desk", Some(version)).await);
    }
    tokio::time::sleep(ELECTION_TIME).await;
    fault(&world, json!({"silent": true})).await;
    // The platform stub still answers pending watches; later ones get no answer.
    tokio::time::sleep(Duration::from_millis(1800)).await;
    world.client = Client::connecting_within(LIMIT);
    world.store("service", "desk", &service(12)).await;
    let silent = spread(&world, &all, "desk", Some(12)).await;

    println!("in force at 6 instances: worst {worst:?}; all watches silent: {silent:?}");
    assert!(worst <= MAX_SPREAD, "{worst:?}");
    assert!(silent <= MAX_SPREAD, "{silent:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_spread_while_watchers_are_paused_and_stale_reads_revert_nothing() {
    let world = world(5).await;
    world.store("service", "desk", &service(2)).await;
    spread(&world, &[0, 1, 2, 3, 4], "desk", Some(2)).await;
    let mut worst = Duration::ZERO;

    for version in 3..6 {
        tokio::time::sleep(ELECTION_TIME).await;
        let paused = watchers(&world);
        for entry in &paused {
            world.entries[*entry].process.signal("STOP");
        }
        let running: Vec<_> = (0..5).filter(|i| !paused.contains(i)).collect();
        world.store("service", "desk", &service(version)).await;
        worst = worst.max(spread(&world, &running, "desk", Some(version)).await);
        for entry in &paused {
            world.entries[*entry].process.signal("CONT");
        }
        spread(&world, &paused, "desk", Some(version)).await;
    }
    let before = rev_at(&world, 0, "desk").await;
    fault(&world, json!({"stale_ms": 600_000, "silent": true})).await;
    let begun = Instant::now();
    let mut lowest = u64::MAX;
    while begun.elapsed() < MEASURE_TIME {
        for entry in 0..5 {
            lowest = lowest.min(rev_at(&world, entry, "desk").await);
        }
    }

    println!("both watchers paused: worst {worst:?}");
    assert!(worst <= MAX_SPREAD, "{worst:?}");
    assert!(lowest >= before, "revision fell from {before} to {lowest}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_gets_its_configuration_from_peers_during_an_outage() {
    let mut world = world(2).await;
    world.store("service", "desk", &service(3)).await;
    spread(&world, &[0, 1], "desk", Some(3)).await;
    let seed = format!("seeds = {}", world.entries[1].peer);
    fault(&world, json!({"outage": "drop"})).await;

    let settings = world.entries[0].settings.replace("entry-0", "entry-9");
    let settings = settings.replace("[peers]\n", &format!("[peers]\n{seed}\n"));
    let fresh = support::world::start_entry("entry-9", settings);
    world.entries.push(fresh);
    world.ready().await;
    let took = spread(&world, &[2], "desk", Some(3)).await;
    world.entries[0].process.kill();
    world.entries[1].process.kill();
    let kept = version_at(&world, 2, "desk").await;

    println!("started from a peer; configuration there after {took:?}");
    assert_eq!(kept.as_deref(), Some("v3"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deleted_service_stays_deleted_through_a_rolling_restart() {
    let mut world = world(3).await;
    world.store("service", "gone", &service(1)).await;
    spread(&world, &[0, 1, 2], "gone", Some(1)).await;
    let object = world
        .read(world.platform.addr, "/v1/objects/service/gone")
        .await;
    let url = format!(
        "http://{}/v1/objects/service/gone?if_rev={}",
        world.platform.addr, object["rev"]
    );

    let delete = request(Method::DELETE, &url, "");
    let answer = world.client.send(Via::Fresh, delete, LIMIT).await.unwrap();
    assert!(answer.status.is_success());
    let took = spread(&world, &[0, 1, 2], "gone", None).await;
    for entry in 0..3 {
        world.entries[entry].process.kill();
        let (name, settings) = {
            let old = &world.entries[entry];
            (old.name.clone(), old.settings.clone())
        };
        let fresh = support::world::start_entry(&name, settings);
        world
            .list(&name, "entry", fresh.caller, Some(fresh.peer), None)
            .await;
        world.entries[entry] = fresh;
        world.ready().await;
        for other in 0..3 {
            assert_eq!(version_at(&world, other, "gone").await, None);
        }
    }

    println!("deletion in force after {took:?}");
    assert!(took <= MAX_SPREAD);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_edits_at_two_instances_conflict_and_show_both_values() {
    let world = world(2).await;
    world.store("service", "desk", &service(2)).await;
    spread(&world, &[0, 1], "desk", Some(2)).await;
    let base = rev_at(&world, 0, "desk").await;
    let put = async |entry: usize, version: u64| {
        let addr = world.entries[entry].admin;
        let url = format!("http://{addr}/v1/services/desk?base={base}");
        let mut req = request(Method::PUT, &url, service(version).to_string());
        let bearer = "Bearer operator-key".parse().unwrap();
        req.headers_mut().insert(header::AUTHORIZATION, bearer);
        world.client.send(Via::Fresh, req, LIMIT).await.unwrap()
    };

    let (one, two) = tokio::join!(put(0, 20), put(1, 21));

    let statuses = [one.status.as_u16(), two.status.as_u16()];
    assert!(statuses.contains(&409), "{one:?} {two:?}");
    assert!(statuses.contains(&200), "{one:?} {two:?}");
    let loser = if statuses[0] == 409 { &one } else { &two };
    let both = String::from_utf8_lossy(&loser.body).into_owned();
    assert!(both.contains("v20") && both.contains("v21"), "{both}");
    let winner = if statuses[0] == 200 { 20 } else { 21 };
    let took = spread(&world, &[0, 1], "desk", Some(winner)).await;
    assert!(took <= MAX_SPREAD, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_calls_do_not_grow_with_instances() {
    let mut rates = Vec::new();
    for entries in [2, 6] {
        let world = world(entries).await;
        tokio::time::sleep(ELECTION_TIME).await;
        let count = async || {
            let counts = world.read(world.platform.addr, "/control/counts").await;
            println!("{entries} instances: {counts}");
            counts["watches"].as_u64().unwrap() + counts["lists"].as_u64().unwrap_or(0)
        };
        let before = count().await;
        tokio::time::sleep(MEASURE_TIME).await;
        let calls = count().await - before;
        rates.push(calls as f64 / MEASURE_TIME.as_secs_f64());
    }

    println!("configuration calls a second at 2 and 6 instances: {rates:?}");
    assert!(rates[1] <= 1.5 * rates[0] + 0.5, "{rates:?}");
}

/// Guards against changes that are late because instances wait for the answers of connections that
/// fell silent at the same moment, to the platform and between instances, in one direction or both.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_after_all_connections_fall_silent_at_once() {
    let mut world = World::new();
    world.configure().await;
    let mut forwarders = Vec::new();
    for _ in 0..6 {
        let forwarder = Forwarder::start().await;
        world.entry_behind(&forwarder).await;
        forwarders.push(forwarder);
    }
    world.ready().await;
    tokio::time::sleep(ELECTION_TIME).await;
    let all: Vec<_> = (0..6).collect();
    let mut version = 1;

    for (silence, platform, wait) in [
        (Silence::Both, false, Duration::ZERO),
        (Silence::Answers, false, Duration::from_millis(300)),
        (Silence::Both, true, Duration::from_millis(500)),
        (Silence::Answers, true, Duration::from_millis(1_500)),
    ] {
        version += 1;
        forwarders.iter().for_each(|f| f.silence_open(silence));
        if platform {
            fault(&world, json!({"silent": true})).await;
        }
        tokio::time::sleep(wait).await;
        world.client = Client::connecting_within(LIMIT);
        world.store("service", "desk", &service(version)).await;
        let time = spread(&world, &all, "desk", Some(version)).await;

        println!("{silence:?}, platform: {platform}, {wait:?} later: in force after {time:?}");
        assert!(time <= MAX_SPREAD, "{silence:?}, {platform}: {time:?}");
        if platform {
            fault(&world, json!({"silent": false})).await;
        }
        tokio::time::sleep(ELECTION_TIME).await;
    }
}
