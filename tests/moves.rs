//! Moves of traffic between versions, with instances, engines and the platform as processes.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use endivefork::rollout::Move;
use serde_json::{Value, json};
use support::caller::CallerRequest;
use support::world::{World, until};
use tokio::task::JoinHandle;

/// Longest time for which requests still go to a version after its fault becomes evident.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Requests a second.
const RATE: u64 = 60;

/// Sends requests to all entry instances in turn until it is stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Traffic {
    fn start(world: &World) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let sent = Arc::<AtomicUsize>::default();
        let entries: Vec<_> = world.entries.iter().map(|e| e.caller).collect();
        let client = world.client.clone();
        let (until, count) = (Arc::clone(&stop), Arc::clone(&sent));
        let task = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_millis(1000 / RATE));
            while !until.load(Ordering::Relaxed) {
                ticks.tick().await;
                let n = count.fetch_add(1, Ordering::Relaxed);
                let ask = CallerRequest::completion(entries[n % entries.len()], "llm", "hello", 3);
                let client = client.clone();
                tokio::spawn(async move { ask.all(&client).await });
            }
        });
        Self { stop, sent, task }
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    async fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap();
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

fn plan(id: &str, within: Duration) -> Move {
    let start = now_ms();
    let finish = start + within.as_millis() as u64;
    Move::new(id, "llm", "v1", "v2", start, finish, 1.0)
}

async fn start_world() -> World {
    let mut world = World::new();
    world.configure().await;
    for version in ["v1", "v1", "v2", "v2"] {
        world.engine(version, &["--token-ms", "2"]).await;
    }
    for _ in 0..3 {
        world.entry("").await;
    }
    world.ready().await;
    world
}

async fn stored(world: &World) -> Value {
    let object = world
        .read(world.platform.addr, "/v1/objects/move/llm")
        .await;
    object["value"].clone()
}

/// Attempts that engines of `version` have started.
async fn starts(world: &World, version: &str) -> usize {
    let mut count = 0;
    for engine in &world.engines {
        let log = world.read(engine.addr, "/control/log").await;
        let entries = log["entries"].as_array().cloned().unwrap_or_default();
        let matches = |e: &&Value| e["op"] == "start" && e["version"] == version;
        count += entries.iter().filter(matches).count();
    }
    count
}

async fn inject_fault(world: &World, fault: &Value) {
    for engine in &world.engines[2..] {
        let body = json!({ "faults": [fault] });
        world.control(engine.addr, "/control", &body).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_version_is_rolled_back_and_gets_no_more_requests() {
    let world = start_world().await;
    inject_fault(&world, &json!({"version": "v2", "fail_rate": 1.0})).await;
    let mut started = plan("bad", Duration::from_secs(600));
    started.step = 3;

    let traffic = Traffic::start(&world);
    world.store("move", "llm", &json!(started)).await;
    until("the move is withdrawn", async || {
        stored(&world).await["phase"] == "withdrawn"
    })
    .await;
    tokio::time::sleep(STOP_LIMIT).await;
    let (attempts, sent) = (starts(&world, "v2").await, traffic.sent());
    until("more requests", async || traffic.sent() > sent + 100).await;
    let later = starts(&world, "v2").await;
    traffic.end().await;

    println!("requests {sent}, attempts on the bad version {attempts}");
    assert!(attempts > 0, "the new version got no requests");
    assert_eq!(later, attempts, "requests went to a rolled back version");
    let value = stored(&world).await;
    assert!(
        value["reason"].as_str().unwrap().contains("fails"),
        "{value}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_move_to_a_good_version_is_done_by_its_deadline() {
    let world = start_world().await;
    let started = plan("good", Duration::from_secs(16));
    let deadline = started.finish_by;

    let traffic = Traffic::start(&world);
    world.store("move", "llm", &json!(started)).await;
    until("the move is done", async || {
        stored(&world).await["phase"] == "done"
    })
    .await;
    let ended = now_ms();
    let old = starts(&world, "v1").await;
    tokio::time::sleep(STOP_LIMIT).await;
    let settled = starts(&world, "v1").await;
    let sent = traffic.sent();
    until("more requests", async || traffic.sent() > sent + 60).await;
    let later = starts(&world, "v1").await;
    traffic.end().await;

    println!(
        "done {} ms before the deadline",
        deadline.saturating_sub(ended)
    );
    assert!(ended <= deadline, "late by {} ms", ended - deadline);
    assert!(old > 0);
    assert_eq!(later, settled, "the old version got requests after the end");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_gets_no_more_requests_while_the_platform_is_down() {
    let world = start_world().await;
    let mut started = plan("later", Duration::from_secs(600));
    started.step = 5;

    let traffic = Traffic::start(&world);
    world.store("move", "llm", &json!(started)).await;
    until("the new version gets requests", async || {
        starts(&world, "v2").await > 60
    })
    .await;
    let outage = json!({"outage": "refuse"});
    world
        .control(world.platform.addr, "/control", &outage)
        .await;
    inject_fault(&world, &json!({"version": "v2", "fail_rate": 1.0})).await;
    tokio::time::sleep(STOP_LIMIT + Duration::from_secs(1)).await;
    let (attempts, sent) = (starts(&world, "v2").await, traffic.sent());
    until("more requests", async || traffic.sent() > sent + 100).await;
    let later = starts(&world, "v2").await;
    let restored = json!({"outage": "none"});
    world
        .control(world.platform.addr, "/control", &restored)
        .await;
    until("the withdrawal is stored", async || {
        stored(&world).await["phase"] == "withdrawn"
    })
    .await;
    traffic.end().await;

    assert_eq!(later, attempts, "requests went to a bad version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_move_completes_despite_a_killed_instance_and_lost_platform_responses() {
    let mut world = start_world().await;
    let started = plan("killed", Duration::from_secs(16));
    let lost = json!({"lose_answers": 3, "lose_kind": "move", "skip_writes": 1});
    world.control(world.platform.addr, "/control", &lost).await;

    let traffic = Traffic::start(&world);
    world.store("move", "llm", &json!(started)).await;
    until("the move has begun to advance", async || {
        stored(&world).await["step"].as_u64() > Some(0)
    })
    .await;
    world.entries[0].process.kill();
    until("the move is done", async || {
        stored(&world).await["phase"] == "done"
    })
    .await;
    let ended = now_ms();
    traffic.end().await;

    assert!(
        ended <= started.finish_by,
        "late by {} ms",
        ended - started.finish_by
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_refuses_all_requests_is_rolled_back() {
    let world = start_world().await;
    for engine in &world.engines[2..] {
        let refuse = json!({"refuse": true});
        world.control(engine.addr, "/control", &refuse).await;
    }
    let mut started = plan("refusing", Duration::from_secs(600));
    started.step = 3;

    let traffic = Traffic::start(&world);
    world.store("move", "llm", &json!(started)).await;
    until("the move is withdrawn", async || {
        stored(&world).await["phase"] == "withdrawn"
    })
    .await;
    traffic.end().await;

    let value = stored(&world).await;
    assert!(
        value["reason"].as_str().unwrap().contains("fails"),
        "{value}"
    );
}
