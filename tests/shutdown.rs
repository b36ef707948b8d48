//! What callers of the own interface get while an instance shuts down.

mod support;

#[path = "../examples/standin/engine/token.rs"]
#[allow(dead_code, reason = "the length of an answer is not used here")]
mod token;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::http::{Client, Via, request};
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};
use support::caller::{CallerRequest, Seen};
use support::world::{LIMIT, World, until};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Longest response time of the service `desk`.
const TIMEOUT_MS: u64 = 2000;

/// Time that the target of `desk` takes for an action.
const SLOW_MS: u64 = 1500;

/// Tokens of a stream that does not end in time.
const TOKENS: u32 = 100;

/// Instances of the fleet that is stopped in turn; the last one stays.
const INSTANCES: usize = 4;

/// Requests for each stop.
const REQUESTS: usize = 40;

/// Time between two requests.
const SPACING: Duration = Duration::from_millis(50);

/// Times that a caller sends its request at most.
const ATTEMPTS: usize = 8;

/// Settings of the instances.
const DRAIN: &str = "[drain]\ntimeout = 3s\n";

/// Settings of an instance that is paused around SIGTERM.
const LONG_DRAIN: &str = "[drain]\ntimeout = 8s\n";

/// Time in them from SIGTERM to the end of the process, at most.
const LONG_TIME: Duration = Duration::from_secs(8);

/// Time for which an instance does not run around SIGTERM.
const PAUSE: Duration = Duration::from_millis(600);

/// Time after the signal at which a call of `desk` has no time left.
const LATE: Duration = Duration::from_millis(1500);

async fn world(entries: usize, token_ms: &str) -> World {
    world_with(entries, token_ms, DRAIN).await
}

async fn world_with(entries: usize, token_ms: &str, settings: &str) -> World {
    let mut world = World::usual(1, 0, &["--token-ms", token_ms, "--slots", "64"]).await;
    let desk = json!({
        "kind": "plain",
        "version": "v1",
        "versions": {"v1": {}},
        "timeout_ms": TIMEOUT_MS,
        "routes": [
            {"method": "GET", "path": "/", "repeat": "safe"},
            {"method": "POST", "path": "/actions", "repeat": "never"},
            {"method": "POST", "path": "/reports", "repeat": "safe"},
        ],
    });
    world.store("service", "desk", &desk).await;
    let slow = json!({"slow_ms": SLOW_MS});
    world.control(world.plains[0].addr, "/control", &slow).await;
    for _ in 0..entries {
        world.entry(settings).await;
    }
    world.ready().await;
    world
}

fn action(world: &World, entry: usize, key: &str) -> CallerRequest {
    let addr = world.entries[entry].caller;
    CallerRequest::service(addr, Method::POST, "desk", "/actions/deposit").key(key)
}

fn report(world: &World, key: &str) -> CallerRequest {
    let addr = world.entries[0].caller;
    CallerRequest::service(addr, Method::POST, "desk", "/reports/day").key(key)
}

fn completion(world: &World, entry: usize, tokens: u32, key: &str) -> CallerRequest {
    CallerRequest::completion(world.entries[entry].caller, "llm", key, tokens).key(key)
}

fn collected(world: &World, tokens: u32, key: &str) -> CallerRequest {
    let body = json!({"model": "llm", "prompt": key, "max_tokens": tokens});
    completion(world, 0, tokens, key).body(body)
}

async fn runs(world: &World, key: &str) -> u64 {
    let log = world.read(world.plains[0].addr, "/control/log").await;
    log["keys"][format!("one:{key}")].as_u64().unwrap_or(0)
}

async fn started(world: &World) -> usize {
    let log = world.read(world.engines[0].addr, "/control/log").await;
    let entries = log["entries"].as_array().cloned().unwrap_or_default();
    entries.iter().filter(|e| e["op"] == "start").count()
}

/// Status, outcome and reason of a call; nothing if its connection was cut.
async fn label(ask: CallerRequest, world: &World) -> Option<(StatusCode, String, String)> {
    let (status, body) = ask.whole(&world.client).await.ok()?;
    let field = |name: &str| body["error"][name].as_str().unwrap_or("").to_owned();
    let wait = &body["error"]["retry_after_ms"];
    assert_eq!(status == 503, wait.is_u64(), "{status} {body}");
    Some((status, field("outcome"), field("reason")))
}

fn is(status: u16, outcome: &str, reason: &str) -> Option<(StatusCode, String, String)> {
    let status = StatusCode::from_u16(status).unwrap();
    Some((status, outcome.into(), reason.into()))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_requests_are_refused_unless_they_can_end_in_time() {
    let world = world(1, "20").await;
    for i in 0..10 {
        let known = completion(&world, 0, 4, &format!("known-{i}"));
        assert!(known.all(&world.client).await.done);
    }
    let early = label(action(&world, 0, "early"), &world);
    let signalled = async {
        until("the action runs", async || runs(&world, "early").await == 1).await;
        world.entries[0].process.signal("TERM");
        let in_time = label(action(&world, 0, "timely"), &world);
        let late = async {
            tokio::time::sleep(LATE).await;
            let before = started(&world).await;
            let cases = [
                action(&world, 0, "late"),
                action(&world, 0, "early"),
                report(&world, "late"),
                completion(&world, 0, 1000, "late"),
                completion(&world, 0, 1000, "known-1").last(1),
                collected(&world, 1000, "late"),
                completion(&world, 0, 4, "short"),
            ];
            let mut labels = Vec::new();
            for case in cases {
                labels.push(label(case, &world).await);
            }
            (labels, started(&world).await - before)
        };
        tokio::join!(in_time, late)
    };
    let (early, (in_time, (late, starts))) = tokio::join!(early, signalled);

    assert_eq!(early, is(201, "", ""));
    assert_eq!(in_time, is(201, "", ""), "ends before the process does");
    let refused = is(503, "not_run", "shutting_down");
    let unknown = is(503, "outcome_unknown", "shutting_down");
    let expected = [
        refused.clone(),
        is(201, "", ""),
        refused.clone(),
        refused.clone(),
        unknown,
        refused,
        is(200, "", ""),
    ];
    assert_eq!(late, expected);
    assert_eq!((runs(&world, "late").await, starts), (0, 1));
}

/// Guards open requests against the end of their process by SIGHUP.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_open_at_a_reload_of_the_settings_are_answered() {
    let settings = format!("{DRAIN}[log]\nformat = json\n");
    let world = world_with(1, "20", &settings).await;
    let reload = async {
        until("the action runs", async || runs(&world, "held").await == 1).await;
        world.entries[0].process.signal("HUP");
    };

    let (answer, ()) = tokio::join!(label(action(&world, 0, "held"), &world), reload);

    assert_eq!(answer, is(201, "", ""));
    let lines = world.entries[0].process.lines();
    // The file is gone by then.
    let is_reload = |l: &String| l.contains("serve: could not reload the settings");
    assert!(lines.iter().any(is_reload), "{lines:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_open_at_the_exit_get_an_answer_and_their_outcome_later() {
    let mut world = world(2, "200").await;
    let held = json!({"slow_ms": 4 * SLOW_MS});
    world.control(world.plains[0].addr, "/control", &held).await;
    let long = json!({
        "kind": "plain", "version": "v1", "versions": {"v1": {}}, "timeout_ms": 20_000,
        "routes": [
            {"method": "POST", "path": "/actions", "repeat": "never", "status": "/status"},
            {"method": "POST", "path": "/reports", "repeat": "safe"},
        ],
    });
    world.store("service", "desk", &long).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let open = async {
        tokio::join!(
            label(action(&world, 0, "held"), &world),
            label(report(&world, "held"), &world),
            label(collected(&world, 1000, "held"), &world),
        )
    };
    let signalled = async {
        until("the action runs", async || runs(&world, "held").await == 1).await;
        world.entries[0].process.signal("TERM");
    };
    let ((never, repeatable, generation), ()) = tokio::join!(open, signalled);
    let ended = world.entries[0].process.ended(LIMIT);
    let again = label(action(&world, 1, "held"), &world).await;

    assert_eq!(ended, Some(true));
    assert_eq!(never, is(502, "outcome_unknown", "shutting_down"));
    assert_eq!(repeatable, is(503, "outcome_unknown", "shutting_down"));
    assert_eq!(generation, is(503, "outcome_unknown", "shutting_down"));
    assert_eq!(again, is(201, "", ""), "the status call tells");
    assert_eq!(runs(&world, "held").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_is_answered_in_time_though_the_signal_was_handled_late() {
    let world = world_with(1, "20", LONG_DRAIN).await;
    let held = json!({"slow_ms": 10 * SLOW_MS});
    world.control(world.plains[0].addr, "/control", &held).await;
    let patient = json!({
        "kind": "plain", "version": "v1", "versions": {"v1": {}}, "timeout_ms": 20_000,
        "routes": [{"method": "POST", "path": "/actions", "repeat": "never"}],
    });
    world.store("service", "desk", &patient).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answered = async {
        let answer = label(action(&world, 0, "held"), &world).await;
        (answer, Instant::now())
    };
    let signalled = async {
        until("the action runs", async || runs(&world, "held").await == 1).await;
        let process = &world.entries[0].process;
        process.signal("STOP");
        process.signal("TERM");
        let sent = Instant::now();
        tokio::time::sleep(PAUSE).await;
        process.signal("CONT");
        sent
    };

    let ((answer, at), sent) = tokio::join!(answered, signalled);

    assert_eq!(answer, is(502, "outcome_unknown", "shutting_down"));
    assert!(at < sent + LONG_TIME, "{:?}", at - sent);
}

/// What the caller of a stream at entry 0 has read when the shutdown ends it.
async fn cut_stream(world: &World, key: &str) -> Seen {
    let ask = completion(world, 0, TOKENS, key);
    let first = Notify::new();
    let reading = ask.stream(&world.client, |token| {
        if token.id == 0 {
            first.notify_one();
        }
        false
    });
    let signalled = async {
        first.notified().await;
        world.entries[0].process.signal("TERM");
    };
    tokio::join!(reading, signalled).0
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_begun_just_before_a_stop_goes_on_at_another_instance() {
    let mut world = world(2, "50").await;

    let head = cut_stream(&world, "young").await;
    let last = head.tokens.last().expect("tokens").id;
    let ask = completion(&world, 1, TOKENS, "young").last(last);
    let rest = ask.all(&world.client).await;
    let ended = world.entries[0].process.ended(LIMIT);

    let error = head.error.expect("an error event")["error"].clone();
    assert_eq!(error["reason"], "shutting_down", "{error}");
    assert!(error["retry_after_ms"].is_u64(), "{error}");
    assert!(rest.done, "{:?}", rest.error);
    let tokens: Vec<_> = head.tokens.iter().chain(&rest.tokens).collect();
    assert_eq!(tokens.len(), TOKENS as usize);
    for (i, seen) in (0..).zip(tokens) {
        assert_eq!((seen.id, &seen.text), (i, &token::token("young", i)));
    }
    assert_eq!((ended, started(&world).await), (Some(true), 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_no_instance_can_continue_ends_with_its_failure() {
    let world = world(1, "50").await;

    let head = cut_stream(&world, "alone").await;

    let error = head.error.expect("an error event")["error"].clone();
    let label = (
        &error["outcome"],
        &error["reason"],
        &error["retry_after_ms"],
    );
    assert_eq!(
        label,
        (&"failed".into(), &"shutting_down".into(), &Value::Null)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_that_waits_or_arrives_until_late_in_a_drain_is_refused() {
    let world = world(1, "20").await;
    let hash = hex::encode(Sha256::digest(b"key-one"));
    let one = json!({"key_sha256": hash, "concurrency": 1});
    world.store("account", "one", &one).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let waiting = async {
        until("the action runs", async || runs(&world, "first").await == 1).await;
        let waits = label(action(&world, 0, "waits"), &world);
        let signalled = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            world.entries[0].process.signal("TERM");
        };
        tokio::join!(waits, signalled).0
    };
    let first = label(action(&world, 0, "first"), &world);
    let (first, waiting, half) = tokio::join!(
        first,
        waiting,
        half(&world, "/services/desk/actions/deposit")
    );

    assert_eq!(first, is(201, "", ""));
    assert_eq!(waiting, is(503, "not_run", "shutting_down"));
    assert!(half.starts_with("HTTP/1.1 503"), "{half:?}");
    assert!(half.contains("shutting_down"), "{half:?}");
    assert_eq!(runs(&world, "waits").await + runs(&world, "half").await, 0);
}

/// What the callers of a fleet saw while its instances stopped in turn.
#[derive(Debug, Default)]
struct Tally {
    ended: u32,
    refused: u32,
    resumed: u32,
    unknown: u32,
    cut: u32,
}

/// Sends request `i` and goes on at the next instance while it is refused or handed over.
async fn served(client: &Client, entries: &[SocketAddr], i: usize, tally: &Mutex<Tally>) {
    let ask = match i % 2 {
        0 => CallerRequest::completion(entries[0], "llm", "load", TOKENS),
        _ => CallerRequest::service(entries[0], Method::POST, "desk", "/actions/deposit"),
    };
    let mut ask = ask.key(&format!("load-{i}"));
    for turn in i..i + ATTEMPTS {
        ask = ask.at(entries[turn % entries.len()]);
        let seen = ask.all(client).await;
        ask.last = seen.tokens.last().map(|t| t.id).or(ask.last);
        let error = seen.error.unwrap_or_default()["error"].clone();
        let mut tally = tally.lock();
        match (error["outcome"].as_str(), seen.status.as_u16()) {
            (None, 201) => return tally.ended += 1,
            (None, 200) if seen.done => return tally.ended += 1,
            (Some("not_run"), _) => tally.refused += 1,
            (Some("outcome_unknown"), 200) => tally.resumed += 1,
            (Some(_), _) => tally.unknown += 1,
            (None, _) => tally.cut += 1,
        }
    }
}

/// Answer to half a request at entry 0.
async fn half(world: &World, path: &str) -> String {
    let mut stream = TcpStream::connect(world.entries[0].caller).await.unwrap();
    let head = "HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-one\r\nidempotency-key: half\r\n\
        content-length: 99";
    let text = format!("POST {path} {head}\r\n\r\nhalf");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_whose_body_is_still_coming_is_refused_before_the_exit() {
    let world = world(1, "20").await;
    let signalled = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.entries[0].process.signal("TERM");
    };

    let call = half(&world, "/services/desk/actions/deposit");
    let generation = half(&world, "/v1/completions");
    let (call, generation, ()) = tokio::join!(call, generation, signalled);

    for answer in [call, generation] {
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
        assert!(answer.contains("not_run"), "{answer}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_that_stop_in_turn_cut_no_request() {
    let mut world = world(INSTANCES, "50").await;
    let tally = Arc::new(Mutex::new(Tally::default()));
    let entries: Vec<_> = world.entries.iter().map(|e| e.caller).collect();
    let mut callers = JoinSet::new();
    let mut sent = 0;
    for stopped in 0..INSTANCES - 1 {
        for _ in 0..REQUESTS {
            let (client, tally) = (world.client.clone(), Arc::clone(&tally));
            let entries = entries[stopped..].to_vec();
            let i = sent;
            callers.spawn(async move { served(&client, &entries, i, &tally).await });
            sent += 1;
            tokio::time::sleep(SPACING).await;
            if i % REQUESTS == REQUESTS / 2 {
                world.entries[stopped].process.signal("TERM");
            }
        }
        assert_eq!(world.entries[stopped].process.ended(LIMIT), Some(true));
    }
    callers.join_all().await;

    let tally = tally.lock();
    println!("{sent} requests: {tally:?}");
    assert_eq!((tally.ended as usize, tally.cut), (sent, 0), "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_of_another_instance_is_not_refused_as_not_run() {
    let world = world(2, "200").await;
    let first = Notify::new();
    let ask = completion(&world, 1, TOKENS, "moved");
    let reading = ask.stream(&world.client, |token| {
        first.notify_one();
        token.id == 15
    });
    let repeated = async {
        first.notified().await;
        world.entries[0].process.signal("TERM");
        tokio::time::sleep(Duration::from_millis(200)).await;
        label(completion(&world, 0, TOKENS, "moved"), &world).await
    };

    let (_, repeated) = tokio::join!(reading, repeated);

    assert_eq!(repeated, is(503, "outcome_unknown", "shutting_down"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_by_an_operator_is_answered_before_the_exit() {
    let mut world = World::usual(0, 1, &[]).await;
    let slow = json!({"delay_ms": 900});
    world.control(world.platform.addr, "/control", &slow).await;
    world.entries[0].process.signal("TERM");
    tokio::time::sleep(Duration::from_millis(2700)).await;

    let url = format!("http://{}/v1/accounts/three?base=0", world.entries[0].admin);
    let account = json!({"key_sha256": "3".repeat(64)});
    let mut change = request(Method::PUT, &url, account.to_string());
    let operator = "Bearer operator-key".parse().unwrap();
    change.headers_mut().insert("authorization", operator);
    let answer = world.client.send(Via::Fresh, change, LIMIT).await;
    let ended = world.entries[0].process.ended(LIMIT);

    assert!(
        answer.as_ref().is_ok_and(|a| a.status.is_success()),
        "{answer:?}"
    );
    assert_eq!(ended, Some(true));
}
