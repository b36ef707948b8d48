//! Network partitions between failure domains, and between a domain and the platform.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use endivefork::http::{Via, request};
use endivefork::ident::{RequestKey, rendezvous};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use support::caller::CallerRequest;
use support::process::{Process, example};
use support::relay::Relay;
use support::world::{Instance, Node, World, start_entry, until};

/// Time within which an accepted change must be in force.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Duration of the short partition, too short for a peer to count as silent.
const SHORT_PARTITION: Duration = Duration::from_millis(600);

/// Two failure domains, each with an entry instance and an engine; the plain target is in the
/// first. Relays that can drop traffic stand between the second domain and the platform, and in
/// front of each instance's peer address.
struct Domains {
    world: World,
    platform: Relay,
    peers: [Relay; 2],
}

impl Domains {
    async fn start() -> Self {
        let mut world = World::new();
        world.configure().await;
        let platform = Relay::start().await;
        platform.point(world.platform.addr);
        let peers = [Relay::start().await, Relay::start().await];
        let platforms = [world.platform.addr, platform.addr];
        for (i, relay) in peers.iter().enumerate() {
            let engine = start_engine(&format!("engine-{i}"));
            register(
                &world,
                &engine.name,
                "engine",
                i,
                json!({
                    "addr": engine.addr, "service": "llm", "version": "v1",
                }),
            )
            .await;
            world.engines.push(engine);
            let entry = entry(i, i, platforms[i], relay);
            relay.point(entry.peer);
            register(
                &world,
                &entry.name,
                "entry",
                i,
                json!({
                    "addr": entry.caller, "peer": relay.addr,
                }),
            )
            .await;
            world.entries.push(entry);
        }
        world.plain(&[]).await;
        world.ready().await;
        let domains = Self {
            world,
            platform,
            peers,
        };
        domains.peers_are("live").await;
        domains
    }

    fn partition_peers(&self) {
        self.peers.iter().for_each(Relay::cut);
    }

    fn heal(&self) {
        self.peers.iter().for_each(Relay::heal);
        self.platform.heal();
    }

    async fn status(&self, entry: usize) -> Value {
        status(&self.world, entry).await
    }

    /// Waits until each entry instance reports the other in `state`.
    async fn peers_are(&self, state: &str) {
        for i in 0..2 {
            until(&format!("entry-{i} sees its peer {state}"), async || {
                let status = self.status(i).await;
                let instances = status["instances"].as_array().cloned();
                let instances = instances.unwrap_or_default();
                let other = instances.iter().find(|x| x["name"] != format!("entry-{i}"));
                other.is_some_and(|x| x["state"] == state)
            })
            .await;
        }
    }

    /// Whether `entry` knows the account that holds `key`.
    async fn knows(&self, entry: usize, key: &str) -> bool {
        let addr = self.world.entries[entry].caller;
        let ask = CallerRequest::service(addr, Method::GET, "nowhere", "/x").account(key);
        let (status, _) = ask.whole(&self.world.client).await.unwrap();
        status != StatusCode::UNAUTHORIZED
    }

    async fn deposit_count(&self) -> usize {
        let log = self
            .world
            .read(self.world.plains[0].addr, "/control/log")
            .await;
        log["total"].as_u64().expect("a count of runs") as usize
    }
}

async fn status(world: &World, entry: usize) -> Value {
    let url = format!("http://{}/v1/status", world.entries[entry].admin);
    let mut ask = request(Method::GET, &url, "");
    let key = "Bearer operator-key".parse().unwrap();
    ask.headers_mut().insert("authorization", key);
    let answer = world.client.send(Via::Fresh, ask, IN_FORCE).await;
    answer.unwrap().json().unwrap()
}

fn start_engine(name: &str) -> Node {
    let mut command = std::process::Command::new(example("engine"));
    command.args(["--listen", "127.0.0.1:0", "--name", name]);
    command.args(["--token-ms", "20"]);
    let process = Process::start(&mut command);
    Node {
        name: name.into(),
        addr: process.addr("listening"),
        process,
    }
}

fn entry(i: usize, domain: usize, platform: SocketAddr, relay: &Relay) -> Instance {
    let operator = hex::encode(Sha256::digest(b"operator-key"));
    let name = format!("entry-{i}");
    let settings = format!(
        "[instance]\nname = {name}\ndomain = d{domain}\nregion = r{domain}\n\
         [listen]\ncaller = 127.0.0.1:0\nadmin = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
         [platform]\naddr = {platform}\n\
         [peers]\nkey = a-key-that-all-instances-share\nadvertise = {}\n\
         [operators]\nops = {operator}\n",
        relay.addr,
    );
    start_entry(&name, settings)
}

async fn register(world: &World, name: &str, role: &str, domain: usize, fields: Value) {
    let mut item = json!({
        "name": name, "role": role, "domain": format!("d{domain}"),
        "region": format!("r{domain}"), "state": "live",
    });
    for (key, value) in fields.as_object().unwrap() {
        item[key] = value.clone();
    }
    world
        .control(world.platform.addr, "/control/instances", &item)
        .await;
}

async fn add_account(world: &World, name: &str) {
    let hash = hex::encode(Sha256::digest(format!("key-{name}")));
    world
        .store("account", name, &json!({"key_sha256": hash}))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_domain_serves_on_and_catches_up_when_the_partition_heals() {
    let domains = Domains::start().await;
    let world = &domains.world;
    let isolated = world.entries[1].caller;
    let before = CallerRequest::completion(isolated, "llm", "begun before the cut", 150);
    let client = world.client.clone();
    let running = tokio::spawn(async move { before.all(&client).await });
    tokio::time::sleep(Duration::from_millis(500)).await;

    domains.partition_peers();
    domains.platform.cut();
    domains.peers_are("silent").await;
    let rev = domains.status(1).await["rev"].as_u64().unwrap();
    add_account(world, "three").await;
    let begun = Instant::now();
    until("the change is in force in d0", async || {
        domains.knows(0, "key-three").await
    })
    .await;
    let connected = begun.elapsed();
    let known_during = domains.knows(1, "key-three").await;
    let during = CallerRequest::completion(isolated, "llm", "begun in the cut", 50);
    let during = during.all(&world.client).await;
    let running = running.await.unwrap();
    let action = CallerRequest::service(isolated, Method::POST, "desk", "/actions/deposit")
        .key("one-deposit")
        .body(json!({"amount": 5}));
    let refused = action.whole(&world.client).await.unwrap();
    let runs_during = domains.deposit_count().await;
    let elsewhere = action.clone().at(world.entries[0].caller);
    let accepted = elsewhere.whole(&world.client).await.unwrap();

    domains.heal();
    let healed = Instant::now();
    until("the change is in force in d1", async || {
        domains.knows(1, "key-three").await
    })
    .await;
    let caught_up = healed.elapsed();
    domains.peers_are("live").await;
    let repeated = action.whole(&world.client).await.unwrap();
    let runs = domains.deposit_count().await;
    let after = domains.status(1).await["rev"].as_u64().unwrap();

    println!("in force in the connected domain after {connected:?}, after healing {caught_up:?}");
    assert!(running.done && running.in_order(0), "{running:?}");
    assert_eq!(running.tokens.len(), 150);
    assert!(during.done && during.in_order(0), "{during:?}");
    assert_eq!(during.tokens.len(), 50);
    assert!(!known_during, "a change crossed the partition");
    assert_eq!(refused.1["error"]["outcome"], "not_run", "{refused:?}");
    assert_eq!(runs_during, 0, "a call refused as not run did run");
    assert!(accepted.0.is_success(), "{accepted:?}");
    assert_eq!(repeated, accepted, "the stored outcome was not replayed");
    assert_eq!(runs, 1, "the deposit must run once");
    assert!(connected <= IN_FORCE, "{connected:?}");
    assert!(caught_up <= IN_FORCE, "{caught_up:?}");
    assert!(after > rev, "the revision must increase: {rev} to {after}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_resumes_at_another_instance_during_a_partition() {
    let domains = Domains::start().await;
    let world = &domains.world;
    let owner = world.entries[1].caller;
    let ask = CallerRequest::completion(owner, "llm", "a story over a cut", 120).key("across");
    let complete = CallerRequest::completion(owner, "llm", "a story over a cut", 120);
    let complete = complete.all(&world.client).await;

    let first = ask.stream(&world.client, |token| token.id == 40).await;
    domains.partition_peers();
    domains.peers_are("silent").await;
    let last = first.tokens.last().unwrap().id;
    let resumed = ask.clone().at(world.entries[0].caller).last(last);
    let rest = resumed.all(&world.client).await;

    let texts = [first.texts(), rest.texts()].concat();
    assert!(rest.done, "{:?}", rest.error);
    assert!(rest.in_order(last + 1));
    assert_eq!(
        texts,
        complete.texts(),
        "tokens were lost, repeated or changed"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_all_instances_during_a_partition_between_peers() {
    let domains = Domains::start().await;
    domains.partition_peers();
    domains.peers_are("silent").await;

    add_account(&domains.world, "four").await;
    let begun = Instant::now();
    until("the change is in force in both domains", async || {
        domains.knows(0, "key-four").await && domains.knows(1, "key-four").await
    })
    .await;

    let worst = begun.elapsed();
    println!("in force everywhere after {worst:?}");
    assert!(worst <= IN_FORCE, "{worst:?}");
}

/// A request key whose journal copies the first instance places on the second and third instance,
/// not on the fourth.
fn key_without_local_copy() -> String {
    let others = ["entry-1", "entry-2", "entry-3"];
    let key = |i: u32| format!("kept-elsewhere-{i}");
    let fits = |key: &String| {
        let order = rendezvous(RequestKey::new("one", key).0, others.into_iter());
        order[2] == "entry-3"
    };
    (0..).map(key).find(fits).expect("a third of all keys fit")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resume_waits_for_replicas_delayed_by_a_short_partition() {
    let mut world = World::new();
    world.configure().await;
    world.engine("v1", &["--token-ms", "20"]).await;
    let mut relays = Vec::new();
    for i in 0..4 {
        let relay = Relay::start().await;
        let entry = entry(i, 0, world.platform.addr, &relay);
        relay.point(entry.peer);
        let addrs = json!({"addr": entry.caller, "peer": relay.addr});
        register(&world, &entry.name, "entry", 0, addrs).await;
        world.entries.push(entry);
        relays.push(relay);
    }
    world.ready().await;
    let ask = CallerRequest::completion(world.entries[0].caller, "llm", "held up", 120);
    let complete = ask.all(&world.client).await;
    let ask = ask.key(&key_without_local_copy());

    let first = ask.stream(&world.client, |token| token.id == 40).await;
    world.entries[0].process.kill();
    relays.iter().for_each(Relay::cut);
    let resumed = ask.at(world.entries[3].caller).last(40);
    let client = world.client.clone();
    let rest = tokio::spawn(async move { resumed.all(&client).await });
    tokio::time::sleep(SHORT_PARTITION).await;
    relays.iter().for_each(Relay::heal);
    let rest = rest.await.unwrap();

    assert!(rest.done, "{:?}", rest.error);
    assert!(rest.in_order(41));
    assert_eq!([first.texts(), rest.texts()].concat(), complete.texts());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_ready_only_after_contacting_its_peers() {
    let mut world = World::new();
    world.configure().await;
    let relays = [Relay::start().await, Relay::start().await];
    relays[0].cut();
    for (i, relay) in relays.iter().enumerate() {
        let entry = entry(i, 0, world.platform.addr, relay);
        relay.point(entry.peer);
        let addrs = json!({"addr": entry.caller, "peer": relay.addr});
        register(&world, &entry.name, "entry", 0, addrs).await;
        world.entries.push(entry);
    }

    world.ready().await;
    let status = status(&world, 1).await;

    let instances = status["instances"].as_array().unwrap();
    let other = instances.iter().find(|x| x["name"] == "entry-0");
    let state = &other.expect("the other instance is listed")["state"];
    assert_ne!(state, "unknown", "ready before it contacted its peer");
}
