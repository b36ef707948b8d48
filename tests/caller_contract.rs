//! Contract of the HTTP server for callers: invalid input gets a 4xx with a reason, and the server
//! keeps serving afterwards.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use endivefork::http::{Answer, Via, request};
use http::{HeaderMap, HeaderValue, Method};
use serde_json::{Value, json};
use support::caller::CallerRequest;
use support::world::World;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

const LIMITS: &str = "[limits]\nbody = 64KiB\nheaders = 16KiB\nreceive = 600ms\nidle = 2s\n";

async fn world() -> World {
    let mut world = World::new();
    world.configure().await;
    world.engine("v1", &["--token-ms", "1"]).await;
    world.plain(&[]).await;
    world.entry(LIMITS).await;
    world.ready().await;
    world
}

/// A request with arbitrary headers and body.
struct Raw {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: Vec<u8>,
}

impl Raw {
    fn post(path: &'static str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            method: Method::POST,
            path,
            headers: vec![("authorization", "Bearer key-one")],
            body: body.into(),
        }
    }

    fn completion(body: impl Into<Vec<u8>>) -> Self {
        Self::post("/v1/completions", body)
    }

    fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    fn header(mut self, name: &'static str, value: &'static str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value));
        self
    }

    fn without(mut self, name: &'static str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    async fn send(&self, world: &World) -> Answer {
        let url = format!("http://{}{}", world.entries[0].caller, self.path);
        let mut request = request(self.method.clone(), &url, self.body.clone());
        let headers: &mut HeaderMap = request.headers_mut();
        for (name, value) in &self.headers {
            headers.insert(*name, HeaderValue::from_static(value));
        }
        let answer = world.client.send(Via::Fresh, request, CALL_TIMEOUT).await;
        answer.unwrap_or_else(|e| panic!("{} {}: {e}", self.method, self.path))
    }
}

fn valid_body() -> String {
    json!({ "model": "llm", "prompt": "p", "max_tokens": 3 }).to_string()
}

/// A valid body with one field replaced.
fn body_with(field: &str, value: Value) -> String {
    let mut body = json!({ "model": "llm", "prompt": "p", "max_tokens": 3 });
    body[field] = value;
    body.to_string()
}

async fn still_serves(world: &World) -> bool {
    let ask = CallerRequest::completion(world.entries[0].caller, "llm", "after", 5);
    let seen = ask.all(&world.client).await;
    seen.done && seen.tokens.len() == 5
}

async fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    read_all(&mut stream).await
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(CALL_TIMEOUT, read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_gets_a_4xx_with_its_reason() {
    let world = world().await;
    let chat = "/v1/chat/completions";
    let table = [
        (
            Raw::completion(valid_body()).without("authorization"),
            401,
            "no_key",
        ),
        (
            Raw::completion(valid_body()).header("authorization", "Bearer wrong"),
            401,
            "unknown_key",
        ),
        (
            Raw::completion(valid_body()).header("authorization", "Bearer "),
            401,
            "",
        ),
        (
            Raw::completion(valid_body()).header("authorization", "Basic key-one"),
            401,
            "no_key",
        ),
        (Raw::completion("{\"model\":"), 400, "bad_json"),
        (Raw::completion(""), 400, "bad_json"),
        (Raw::completion("[]"), 400, "bad_json"),
        (Raw::completion(vec![0xff, 0xfe, b'{']), 400, "bad_json"),
        (Raw::completion("{}"), 400, "bad_json"),
        (
            Raw::completion(body_with("max_tokens", json!("many"))),
            400,
            "bad_json",
        ),
        (
            Raw::completion(body_with("max_tokens", json!(-1))),
            400,
            "bad_json",
        ),
        (
            Raw::completion(body_with("max_tokens", json!(0))),
            400,
            "bad_max_tokens",
        ),
        (
            Raw::completion(body_with("max_tokens", json!(4_000_000_000_u32))),
            400,
            "bad_max_tokens",
        ),
        (
            Raw::completion(body_with("prompt", Value::Null)),
            400,
            "bad_prompt",
        ),
        (
            Raw::completion(body_with("model", json!("none"))),
            404,
            "unknown_model",
        ),
        (
            Raw::completion(body_with("model", json!("desk"))),
            404,
            "unknown_model",
        ),
        (Raw::post(chat, valid_body()), 400, "bad_prompt"),
        (
            Raw::post(chat, body_with("messages", json!([]))),
            400,
            "bad_prompt",
        ),
        (Raw::completion(vec![b' '; 65 << 10]), 413, "body_too_large"),
        (
            Raw::completion(vec![b'x'; 900 << 10]),
            413,
            "body_too_large",
        ),
        (
            Raw::completion(valid_body()).header("last-event-id", "x"),
            400,
            "bad_cursor",
        ),
        (
            Raw::completion(valid_body()).header("last-event-id", "-1"),
            400,
            "bad_cursor",
        ),
        (
            Raw::completion(valid_body()).header("last-event-id", "99999999999999999999"),
            400,
            "bad_cursor",
        ),
        (
            Raw::completion(valid_body()).header("idempotency-key", ""),
            400,
            "bad_key",
        ),
        (
            Raw::completion(valid_body()).header("idempotency-key", LONG_KEY),
            400,
            "bad_key",
        ),
        (Raw::completion("").method(Method::GET), 405, ""),
        (Raw::completion("").method(Method::DELETE), 405, ""),
        (Raw::post("/v1/none", valid_body()), 404, "unknown_path"),
        (Raw::post("/", valid_body()), 404, "unknown_path"),
        (Raw::post("/services/none/x", ""), 404, "unknown_service"),
        (Raw::post("/services/llm/x", ""), 404, "unknown_service"),
        (
            Raw::post("/services/desk/actions/x", "").without("authorization"),
            401,
            "no_key",
        ),
        (Raw::post("/services/desk/actions/x", "{}"), 400, ""),
        (
            Raw::post("/services/desk/actions/x", vec![b'x'; 65 << 10])
                .header("idempotency-key", "k"),
            413,
            "body_too_large",
        ),
    ];
    for (raw, status, reason) in table {
        let answer = raw.send(&world).await;
        let shown = String::from_utf8_lossy(&answer.body).into_owned();
        let case = format!("{} {} {:?}: {shown}", raw.method, raw.path, raw.headers);
        assert_eq!(answer.status.as_u16(), status, "{case}");
        let error = &answer.json::<Value>().expect(&case)["error"];
        assert_eq!(error["outcome"], "not_run", "{case}");
        assert!(
            error["message"]
                .as_str()
                .is_some_and(|text| !text.is_empty()),
            "{case}"
        );
        let known = reason.is_empty() || error["reason"] == reason;
        assert!(known, "wanted {reason}: {case}");
        assert!(!shown.contains("key-one"), "{case}");
    }
    assert!(still_serves(&world).await);
}

const LONG_KEY: &str = "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk\
    kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk\
    kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk";

#[tokio::test(flavor = "multi_thread")]
async fn unusual_paths_of_a_plain_service_are_forwarded_or_refused() {
    let world = world().await;
    for path in [
        "/services/desk/a%20b",
        "/services/desk/a%2Fb?q=%20",
        "/services/desk/%E0%AE%95",
    ] {
        let answer = Raw::post(path, "").method(Method::GET).send(&world).await;
        assert!(!answer.status.is_server_error(), "{path}: {answer:?}");
    }
    let broken = Raw::post("/services/desk/%ff", "")
        .method(Method::GET)
        .send(&world)
        .await;

    assert!(
        broken.status.is_client_error() || broken.status.is_success(),
        "{broken:?}"
    );
    assert!(still_serves(&world).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_with_another_body_is_refused_and_the_first_answer_is_kept() {
    let world = world().await;
    let first = CallerRequest::completion(world.entries[0].caller, "llm", "one", 20).key("same");
    let seen = first.all(&world.client).await;

    let other = CallerRequest::completion(world.entries[0].caller, "llm", "two", 20).key("same");
    let (status, answer) = other.whole(&world.client).await.unwrap();
    let again = first.all(&world.client).await;

    assert_eq!(status, 422, "{answer}");
    assert_eq!(answer["error"]["reason"], "key_reused");
    assert_eq!(again.texts(), seen.texts());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cursor_beyond_the_end_is_refused() {
    let world = world().await;
    let ask = CallerRequest::completion(world.entries[0].caller, "llm", "short", 5).key("cursor");
    assert!(ask.all(&world.client).await.done);

    let seen = ask.clone().last(1_000_000).all(&world.client).await;

    assert!(seen.status.is_client_error(), "{seen:?}");
    assert!(seen.tokens.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_body_gets_a_408() {
    let world = world().await;
    let mut stream = TcpStream::connect(world.entries[0].caller).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-one\r\n\
                content-type: application/json\r\ncontent-length: 1000\r\n\r\n{\"model\":";
    stream.write_all(head.as_bytes()).await.unwrap();
    let begun = Instant::now();

    let mut answer = vec![0; 1024];
    let read = tokio::time::timeout(CALL_TIMEOUT, stream.read(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer[..read.unwrap().unwrap()]).into_owned();

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"slow_request\""), "{answer}");
    assert!(begun.elapsed() < Duration::from_secs(5));
    assert!(still_serves(&world).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_headers_time_out() {
    let world = world().await;
    let begun = Instant::now();

    let answer = exchange(
        world.entries[0].caller,
        b"GET /healthz HTTP/1.1\r\nhost: x\r\nx-",
    )
    .await;

    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        begun.elapsed() < Duration::from_secs(10),
        "{:?}",
        begun.elapsed()
    );
    assert!(still_serves(&world).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers_and_non_http_input_are_refused() {
    let world = world().await;
    let addr = world.entries[0].caller;
    let huge = format!(
        "GET /healthz HTTP/1.1\r\nhost: x\r\nx-big: {}\r\n\r\n",
        "x".repeat(200 << 10)
    );

    let large = exchange(addr, huge.as_bytes()).await;
    let noise = exchange(addr, b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n").await;

    assert!(!large.starts_with("HTTP/1.1 200"), "{large}");
    assert!(
        noise.is_empty() || noise.starts_with("HTTP/1.1 400"),
        "{noise}"
    );
    assert!(still_serves(&world).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_body_runs_nothing() {
    let world = world().await;
    let mut stream = TcpStream::connect(world.entries[0].caller).await.unwrap();
    let head = "POST /services/desk/actions/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-one\r\n\
                idempotency-key: broken\r\ncontent-length: 1000\r\n\r\n{\"amount\":";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();

    read_all(&mut stream).await;

    let url = format!("http://{}/v1/objects/claim", world.platform.addr);
    let claims = world
        .client
        .send(Via::Fresh, request(Method::GET, &url, ""), CALL_TIMEOUT)
        .await;
    let claims: Value = claims.unwrap().json().unwrap();
    assert_eq!(claims["items"], json!([]));
    assert!(still_serves(&world).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_above_its_concurrency_gets_a_429_with_retry_after() {
    let world = world().await;
    let account = json!({
        "key_sha256": hex::encode(<sha2::Sha256 as sha2::Digest>::digest("key-three")),
        "concurrency": 1,
    });
    let url = format!(
        "http://{}/v1/objects/account/three?if_rev=0",
        world.platform.addr
    );
    let put = request(Method::PUT, &url, account.to_string());
    assert!(
        world
            .client
            .send(Via::Pool, put, CALL_TIMEOUT)
            .await
            .unwrap()
            .status
            .is_success()
    );
    let addr = world.entries[0].caller;
    let long = CallerRequest::completion(addr, "llm", "long", 20_000).account("key-three");
    support::world::until("the account is known", async || {
        let probe = CallerRequest::completion(addr, "llm", "probe", 1).account("key-three");
        probe.all(&world.client).await.done
    })
    .await;
    let client = world.client.clone();
    let (send, running) = tokio::sync::oneshot::channel();
    let send = std::sync::Mutex::new(Some(send));
    let holder = tokio::spawn(async move {
        let first = |_: &support::caller::Token| {
            if let Some(send) = send.lock().unwrap().take() {
                let _ = send.send(());
            }
            false
        };
        long.stream(&client, first).await
    });
    running.await.unwrap();

    let second = CallerRequest::completion(addr, "llm", "second", 5).account("key-three");
    let refused = second.all(&world.client).await;

    holder.abort();
    assert_eq!(refused.status, 429, "{refused:?}");
    let error = &refused.error.as_ref().unwrap()["error"];
    assert_eq!(error["outcome"], "not_run");
    assert!(error["retry_after_ms"].as_u64().is_some(), "{error}");
}
