//! Contract of the administration API, against a platform stub that injects faults.

#[path = "../examples/standin/platform/mod.rs"]
#[allow(dead_code, reason = "part of the stub is used only by its own program")]
mod platform;

use std::future::pending;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::admin;
use endivefork::caller::Drain;
use endivefork::http::{Answer, Client, Via, request};
use endivefork::instance::Instance;
use endivefork::settings::Settings;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;

const KEY: &str = "operator-key-for-tests";
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    admin: SocketAddr,
    platform: SocketAddr,
    drain: Arc<Drain>,
    client: Client,
}

impl Fixture {
    async fn new() -> Self {
        let platform = start_platform().await;
        let (admin, drain) = start_admin(platform).await;
        Self {
            admin,
            platform,
            drain,
            client: Client::new(),
        }
    }

    /// A second instance on the same platform.
    async fn another(&self) -> Self {
        let (admin, drain) = start_admin(self.platform).await;
        Self {
            admin,
            platform: self.platform,
            drain,
            client: Client::new(),
        }
    }

    async fn call(&self, method: Method, path: &str, body: &Value) -> Answer {
        self.call_with(method, path, body.to_string(), Some(KEY))
            .await
    }

    async fn call_with(
        &self,
        method: Method,
        path: &str,
        body: String,
        key: Option<&str>,
    ) -> Answer {
        let url = format!("http://{}{path}", self.admin);
        let mut request = request(method, &url, body);
        if let Some(key) = key {
            let value = format!("Bearer {key}").parse().unwrap();
            request.headers_mut().insert("authorization", value);
        }
        self.client
            .send(Via::Pool, request, CALL_TIMEOUT)
            .await
            .unwrap()
    }

    async fn get(&self, path: &str) -> Value {
        self.call(Method::GET, path, &Value::Null)
            .await
            .json()
            .unwrap()
    }

    async fn put(&self, path: &str, body: &Value) -> (StatusCode, Value) {
        let answer = self.call(Method::PUT, path, body).await;
        (answer.status, answer.json().unwrap())
    }

    async fn post(&self, path: &str, body: &Value) -> (StatusCode, Value) {
        let answer = self.call(Method::POST, path, body).await;
        (answer.status, answer.json().unwrap())
    }

    async fn delete(&self, path: &str) -> (StatusCode, Value) {
        let answer = self.call(Method::DELETE, path, &Value::Null).await;
        (answer.status, answer.json().unwrap())
    }

    async fn fault(&self, change: Value) {
        let url = format!("http://{}/control", self.platform);
        let request = request(Method::POST, &url, change.to_string());
        let answer = self
            .client
            .send(Via::Fresh, request, CALL_TIMEOUT)
            .await
            .unwrap();
        assert!(answer.status.is_success());
    }

    /// The object stored on the platform, read without the administration API.
    async fn stored(&self, kind: &str, name: &str) -> Option<Value> {
        let url = format!("http://{}/v1/objects/{kind}/{name}", self.platform);
        let answer = self
            .client
            .send(Via::Fresh, request(Method::GET, &url, ""), CALL_TIMEOUT)
            .await;
        let answer = answer.unwrap();
        answer.status.is_success().then(|| answer.json().unwrap())
    }

    /// Creates the service `llm` with versions v1 and v2; returns its revision.
    async fn llm(&self) -> u64 {
        let (status, changed) = self.put("/v1/services/llm?base=0", &llm()).await;
        assert_eq!(status, StatusCode::OK, "{changed}");
        changed["rev"].as_u64().unwrap()
    }

    async fn until(&self, path: &str, holds: impl Fn(&Value) -> bool) -> Value {
        let end = Instant::now() + CALL_TIMEOUT;
        loop {
            let value = self.get(path).await;
            if holds(&value) {
                return value;
            }
            assert!(Instant::now() < end, "{path} stayed {value}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_endivefork"))
            .args(args)
            .env("ENDIVEFORK_ADMIN", self.admin.to_string())
            .env("ENDIVEFORK_OPERATOR_KEY", KEY)
            .output()
            .unwrap()
    }
}

async fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(platform::serve(listener, platform::Options::default()));
    addr
}

async fn start_admin(platform: SocketAddr) -> (SocketAddr, Arc<Drain>) {
    let digest = hex::encode(Sha256::digest(KEY));
    let settings = Settings::parse(&format!(
        "[instance]\nname = entry-1\ndomain = a\nregion = r\n\
         [listen]\ncaller = 127.0.0.1:0\nadmin = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
         [platform]\naddr = {platform}\ntimeout = 500ms\npoll = 500ms\n\
         [peers]\nkey = k\n[operators]\nnight = {digest}\n"
    ));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let instance = Arc::new(Instance::new(settings.unwrap(), log, peer));
    instance.start();
    let drain = Arc::new(Drain::new(Duration::ZERO));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let parts = admin::context(&instance, &drain);
    tokio::spawn(admin::serve(listener, parts, pending()));
    (addr, drain)
}

fn llm() -> Value {
    json!({
        "kind": "generation",
        "version": "v1",
        "versions": { "v1": { "model": "m" }, "v2": { "model": "m2" } },
    })
}

fn account(key: &str) -> Value {
    json!({ "key_sha256": hex::encode(Sha256::digest(key)) })
}

fn start(to: &str) -> Value {
    json!({ "to": to, "finish_in_ms": 60_000, "max_share": 0.1 })
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn all_paths_but_health_require_an_operator_key() {
    let fixture = Fixture::new().await;
    let long = "x".repeat(5000);
    for path in [
        "/metrics",
        "/v1/status",
        "/v1/services",
        "/v1/events",
        "/v1/none",
        "/",
    ] {
        for key in [None, Some(""), Some("wrong"), Some(long.as_str())] {
            let answer = fixture
                .call_with(Method::GET, path, String::new(), key)
                .await;
            assert_eq!(
                answer.status,
                StatusCode::UNAUTHORIZED,
                "{path} with {key:?}"
            );
            assert_eq!(answer.headers["www-authenticate"], "Bearer");
        }
    }
    let put = fixture
        .call_with(
            Method::PUT,
            "/v1/services/llm?base=0",
            llm().to_string(),
            None,
        )
        .await;
    assert_eq!(put.status, StatusCode::UNAUTHORIZED);
    assert!(fixture.stored("service", "llm").await.is_none());

    let health = fixture
        .call_with(Method::GET, "/healthz", String::new(), None)
        .await;
    assert_eq!(health.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_instance_is_not_ready() {
    let fixture = Fixture::new().await;
    fixture.llm().await;
    fixture
        .until("/v1/status", |status| status["ready"] == true)
        .await;
    let before = fixture
        .call_with(Method::GET, "/readyz", String::new(), None)
        .await;

    fixture.drain.begin();

    let after = fixture
        .call_with(Method::GET, "/readyz", String::new(), None)
        .await;
    assert_eq!(before.status, StatusCode::OK);
    assert_eq!(after.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_is_created_read_changed_and_deleted() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;

    let read = fixture.get("/v1/services/llm").await;
    let mut changed = llm();
    changed["timeout_ms"] = json!(5000);
    let (put, next) = fixture
        .put(&format!("/v1/services/llm?base={rev}"), &changed)
        .await;
    let (gone, _) = fixture
        .delete(&format!("/v1/services/llm?base={}", next["rev"]))
        .await;

    assert_eq!(read["rev"], rev);
    assert_eq!(read["value"]["versions"]["v2"]["model"], "m2");
    assert_eq!(put, StatusCode::OK);
    assert!(next["rev"].as_u64() > Some(rev));
    assert_eq!(gone, StatusCode::OK);
    assert!(fixture.stored("service", "llm").await.is_none());
    let answer = fixture
        .call(Method::GET, "/v1/services/llm", &Value::Null)
        .await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_changes_get_a_4xx_with_all_findings_and_change_nothing() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;
    let before = fixture.stored("service", "llm").await;
    let service = format!("/v1/services/llm?base={rev}");
    let version = format!("/v1/services/llm/versions/v1?base={rev}");
    let bad = json!({
        "kind": "plain", "version": "v7", "versions": { "a b": { "model": "m" } }, "timeout_ms": 0,
        "routes": [
            { "method": "get", "path": "x" },
            { "method": "*", "path": "/" },
            { "method": "POST", "path": "/x" },
            { "method": "GET", "path": "/y", "repeat": "safe", "status": "z" },
        ],
    });
    let table = [
        (
            Method::PUT,
            service.as_str(),
            bad.to_string(),
            422,
            &[
                "`v7` is not among",
                "bad version name",
                "names a model",
                "bad timeout",
                "bad method",
                "does not begin with `/`",
                "never reached",
                "status path `z`",
            ][..],
        ),
        (Method::PUT, &service, "{\"kind\":".into(), 422, &["EOF"]),
        (Method::PUT, &service, "[]".into(), 422, &["invalid"]),
        (
            Method::PUT,
            &service,
            json!({ "kind": "odd" }).to_string(),
            422,
            &["unknown variant"],
        ),
        (
            Method::PUT,
            &service,
            json!({ "hat": 1 }).to_string(),
            422,
            &["unknown field `hat`"],
        ),
        (
            Method::PUT,
            "/v1/services/llm",
            llm().to_string(),
            400,
            &["base=N"],
        ),
        (
            Method::PUT,
            "/v1/services/llm?base=x",
            llm().to_string(),
            400,
            &[],
        ),
        (
            Method::PUT,
            "/v1/services/a%20b?base=0",
            llm().to_string(),
            422,
            &["bad service name"],
        ),
        (
            Method::PUT,
            &service,
            " ".repeat(2 << 20),
            413,
            &["larger than 1048576 bytes"],
        ),
        (
            Method::DELETE,
            "/v1/services/llm",
            String::new(),
            400,
            &["base=N"],
        ),
        (
            Method::DELETE,
            &version,
            String::new(),
            422,
            &["`v1` is not among"],
        ),
        (Method::PUT, &version, "{}".into(), 422, &["names no model"]),
        (
            Method::PUT,
            "/v1/accounts/one?base=0",
            json!({ "key_sha256": "12", "weight": 0,
            "concurrency": 0 })
            .to_string(),
            422,
            &["not a digest", "bad weight", "ever be admitted"],
        ),
        (
            Method::POST,
            "/v1/moves/llm?base=0",
            json!({ "to": "v9", "finish_in_ms": 0,
            "max_share": 2.0 })
            .to_string(),
            422,
            &["`v9`", "bad share", "bad time"],
        ),
        (
            Method::POST,
            "/v1/moves/llm?base=0",
            start("v1").to_string(),
            422,
            &["already"],
        ),
        (
            Method::POST,
            "/v1/moves/none?base=0",
            start("v1").to_string(),
            422,
            &["no service"],
        ),
        (
            Method::POST,
            "/v1/moves/llm/withdraw?base=0",
            "{}".into(),
            404,
            &["no move"],
        ),
        (
            Method::GET,
            "/v1/none",
            String::new(),
            404,
            &["no such path"],
        ),
    ];
    for (method, path, body, status, messages) in table {
        let answer = fixture
            .call_with(method.clone(), path, body, Some(KEY))
            .await;
        let shown = text(&answer.body);
        assert_eq!(answer.status.as_u16(), status, "{method} {path}: {shown}");
        for message in messages {
            assert!(
                shown.contains(message),
                "{method} {path}: no {message} in {shown}"
            );
        }
    }
    assert_eq!(fixture.stored("service", "llm").await, before);
    assert!(fixture.stored("account", "one").await.is_none());
    assert!(fixture.stored("move", "llm").await.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_edits_conflict_and_the_loser_gets_both_values() {
    let fixture = Fixture::new().await;
    let other = fixture.another().await;
    let rev = fixture.llm().await;
    let change = |timeout: u64| {
        let mut value = llm();
        value["timeout_ms"] = json!(timeout);
        value
    };
    let path = format!("/v1/services/llm?base={rev}");

    let (one_change, two_change) = (change(1000), change(2000));
    let (one, two) = tokio::join!(
        fixture.put(&path, &one_change),
        other.put(&path, &two_change),
    );

    let (won, lost) = if one.0 == StatusCode::OK {
        (one, two)
    } else {
        (two, one)
    };
    assert_eq!(won.0, StatusCode::OK);
    assert_eq!(lost.0, StatusCode::CONFLICT, "{}", lost.1);
    let error = &lost.1["error"];
    assert_eq!(error["outcome"], "not_run");
    assert_eq!(error["present"]["rev"], won.1["rev"]);
    assert_ne!(
        error["yours"]["timeout_ms"],
        error["present"]["value"]["timeout_ms"]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_is_lost_is_read_back() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;
    let mut changed = llm();
    changed["timeout_ms"] = json!(7000);

    fixture.fault(json!({ "lose_answers": 1 })).await;
    let (put, answer) = fixture
        .put(&format!("/v1/services/llm?base={rev}"), &changed)
        .await;
    fixture.fault(json!({ "lose_answers": 1 })).await;
    let (gone, _) = fixture
        .delete(&format!("/v1/services/llm?base={}", answer["rev"]))
        .await;

    assert_eq!(put, StatusCode::OK, "{answer}");
    assert_eq!(gone, StatusCode::OK);
    assert!(fixture.stored("service", "llm").await.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_that_cannot_be_read_back_is_an_unknown_outcome() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;
    let mut changed = llm();
    changed["timeout_ms"] = json!(7000);

    fixture.fault(json!({ "outage": "drop" })).await;
    let (status, answer) = fixture
        .put(&format!("/v1/services/llm?base={rev}"), &changed)
        .await;

    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT, "{answer}");
    assert_eq!(answer["error"]["outcome"], "outcome_unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn during_an_outage_reads_work_and_changes_are_not_run() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;

    fixture.fault(json!({ "outage": "refuse" })).await;
    let (status, answer) = fixture
        .put(&format!("/v1/services/llm?base={rev}"), &llm())
        .await;
    let read = fixture.get("/v1/services/llm").await;
    fixture.fault(json!({ "outage": "none" })).await;

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer["error"]["outcome"], "not_run");
    assert_eq!(read["rev"], rev);
    assert_eq!(fixture.stored("service", "llm").await.unwrap()["rev"], rev);
}

#[tokio::test(flavor = "multi_thread")]
async fn accounts_show_no_key_and_two_accounts_never_share_one() {
    let fixture = Fixture::new().await;
    let (made, _) = fixture
        .put("/v1/accounts/one?base=0", &account("secret-of-one"))
        .await;

    let (refused, answer) = fixture
        .put("/v1/accounts/two?base=0", &account("secret-of-one"))
        .await;
    let list = fixture.get("/v1/accounts").await;

    assert_eq!(made, StatusCode::OK);
    assert_eq!(refused, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(
        answer
            .to_string()
            .contains("account `one` has the same key"),
        "{answer}"
    );
    assert!(!list.to_string().contains("secret-of-one"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_move_is_started_once_and_withdrawn_with_its_reason() {
    let fixture = Fixture::new().await;
    fixture.llm().await;
    let (status, started) = fixture.post("/v1/moves/llm?base=0", &start("v2")).await;
    assert_eq!(status, StatusCode::OK, "{started}");

    let (again, conflict) = fixture.post("/v1/moves/llm?base=0", &start("v2")).await;
    let shown = fixture.get("/v1/moves/llm").await;
    let path = format!("/v1/moves/llm/withdraw?base={}", shown["rev"]);
    let (status, _) = fixture.post(&path, &json!({ "reason": "too slow" })).await;
    let (twice, _) = fixture.post(&path, &json!({ "reason": "again" })).await;

    assert_eq!(again, StatusCode::CONFLICT);
    assert_eq!(conflict["error"]["present"]["value"]["to"], "v2");
    assert_eq!(shown["value"]["from"], "v1");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(twice, StatusCode::CONFLICT);
    let stored = fixture.stored("move", "llm").await.unwrap();
    assert_eq!(stored["value"]["phase"], "withdrawn");
    assert_eq!(stored["value"]["reason"], "withdrawn by night: too slow");
    let events = fixture
        .until("/v1/events", |events| {
            events.to_string().contains("withdrawn: v1 to v2")
        })
        .await;
    assert!(events.to_string().contains("too slow"), "{events}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_starts_one_succeeds() {
    let fixture = Fixture::new().await;
    let other = fixture.another().await;
    fixture.llm().await;
    other
        .until("/v1/services", |all| all["items"][0]["name"] == "llm")
        .await;

    let body = start("v2");
    let (one, two) = tokio::join!(
        fixture.post("/v1/moves/llm?base=0", &body),
        other.post("/v1/moves/llm?base=0", &body),
    );

    let mut statuses = [one.0.as_u16(), two.0.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} {}", one.1, two.1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_during_a_move_cannot_shift_traffic() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;
    fixture.post("/v1/moves/llm?base=0", &start("v2")).await;
    let mut jump = llm();
    jump["version"] = json!("v2");
    let mut cut = llm();
    cut["versions"] = json!({ "v1": { "model": "m" } });
    let path = format!("/v1/services/llm?base={rev}");

    for bad in [jump, cut] {
        let (status, answer) = fixture.put(&path, &bad).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{answer}");
    }
    let (status, _) = fixture.delete(&path).await;

    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(fixture.stored("service", "llm").await.unwrap()["rev"], rev);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_after_a_done_move_keeps_the_new_version() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;
    fixture.post("/v1/moves/llm?base=0", &start("v2")).await;
    let started = fixture.stored("move", "llm").await.unwrap();
    let mut done = started["value"].clone();
    done["phase"] = json!("done");
    let (platform, rev_started) = (fixture.platform, &started["rev"]);
    let url = format!("http://{platform}/v1/objects/move/llm?if_rev={rev_started}");
    let write = request(Method::PUT, &url, done.to_string());
    let written = fixture.client.send(Via::Fresh, write, CALL_TIMEOUT).await;
    assert!(written.unwrap().status.is_success());
    fixture
        .until("/v1/moves/llm", |found| found["value"]["phase"] == "done")
        .await;

    let (stale, answer) = fixture
        .put(&format!("/v1/services/llm?base={rev}"), &llm())
        .await;
    let added = format!("/v1/services/llm/versions/v3?base={rev}");
    let (status, _) = fixture.put(&added, &json!({ "model": "m3" })).await;

    assert_eq!(stale, StatusCode::UNPROCESSABLE_ENTITY, "{answer}");
    assert!(
        answer.to_string().contains("has left the traffic on `v2`"),
        "{answer}"
    );
    assert_eq!(status, StatusCode::OK);
    let stored = fixture.stored("service", "llm").await.unwrap();
    assert_eq!(stored["value"]["version"], "v2");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_describes_the_instance_and_metrics_are_rendered() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await;
    fixture
        .call_with(Method::GET, "/v1/status", String::new(), Some("wrong"))
        .await;

    let status = fixture.get("/v1/status").await;
    let metrics = fixture.call(Method::GET, "/metrics", &Value::Null).await;

    assert_eq!(status["instance"], "entry-1");
    assert!(status["rev"].as_u64() >= Some(rev));
    assert_eq!(status["services"], 1);
    assert!(status["platform"]["writes"].as_u64() >= Some(1));
    let metrics = text(&metrics.body);
    assert!(
        metrics.contains("endivefork_refusals_total{reason=\"operator_key\"} 1"),
        "{metrics}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_print_tables_and_return_their_exit_codes() {
    let fixture = Fixture::new().await;
    let rev = fixture.llm().await.to_string();
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("llm.json");
    std::fs::write(&file, llm().to_string()).unwrap();
    let file = file.to_str().unwrap();
    let digest = hex::encode(Sha256::digest("k"));
    let table: [(&[&str], i32, &str); 17] = [
        (
            &["service", "list"],
            0,
            "llm      generation  v1       v1,v2",
        ),
        (&["service", "show", "llm"], 0, "\"model\": \"m2\""),
        (
            &["service", "show", "none"],
            6,
            "no service is named `none`",
        ),
        (
            &["service", "put", "llm", file, "--base", "0"],
            4,
            "present:",
        ),
        (
            &["service", "put", "x", file, "--base", "0"],
            0,
            "x is at revision",
        ),
        (&["version", "list", "llm"], 0, "v1       m      in force"),
        (
            &["version", "put", "llm", "v3", "--base", &rev],
            3,
            "names no model",
        ),
        (
            &[
                "account",
                "put",
                "one",
                "--key-sha256",
                &digest,
                "--base",
                "0",
            ],
            0,
            "one is at",
        ),
        (&["account", "list"], 0, "one      1       256"),
        (&["move", "list"], 0, "SERVICE"),
        (
            &["move", "start", "llm", "--to", "v2", "--finish-in", "1h"],
            0,
            "llm is at revision",
        ),
        (
            &["move", "start", "llm", "--to", "v2", "--finish-in", "1h"],
            4,
            "present:",
        ),
        (
            &["move", "wait", "llm", "--timeout", "100ms"],
            11,
            "has not ended in time",
        ),
        (
            &["move", "withdraw", "llm", "--reason", "enough"],
            0,
            "llm is at revision",
        ),
        (&["move", "wait", "llm"], 10, "withdrawn by night: enough"),
        (&["events"], 0, "withdrawn: v1 to v2"),
        (&["status"], 0, "entry-1 in a (r): ready"),
    ];
    for (args, code, part) in table {
        let output = fixture.run(args);
        let shown = text(&output.stdout) + &text(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {shown}");
        assert!(shown.contains(part), "{args:?}: no {part:?} in:\n{shown}");
        assert!(!shown.contains(KEY));
    }
    let json = fixture.run(&["status", "--json"]);
    let status: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(status["domain"], "a");
    let wrong = Command::new(env!("CARGO_BIN_EXE_endivefork"))
        .args(["status", "--admin", &fixture.admin.to_string()])
        .env("ENDIVEFORK_OPERATOR_KEY", "wrong")
        .output()
        .unwrap();
    assert_eq!(wrong.status.code(), Some(5));
}

#[tokio::test(flavor = "multi_thread")]
async fn applying_a_generated_services_file_twice_changes_nothing() {
    let fixture = Fixture::new().await;
    let out = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("apply");
    let _ = std::fs::remove_dir_all(&out);
    let out = out.to_str().unwrap();
    let init = fixture.run(&[
        "init",
        "--answers",
        "examples/answers/hire.ini",
        "--out",
        out,
    ]);
    assert!(init.status.success());
    let file = format!("{out}/services.ini");

    let first = fixture.run(&["apply", &file]);
    let second = fixture.run(&["apply", &file, "--json"]);

    assert!(first.status.success(), "{}", text(&first.stderr));
    assert!(text(&first.stdout).contains("service  drafting-llm  created"));
    let applied: Value = serde_json::from_slice(&second.stdout).unwrap();
    let outcomes = applied
        .as_array()
        .unwrap()
        .iter()
        .map(|item| &item["outcome"]);
    assert!(
        outcomes.into_iter().all(|outcome| outcome == "unchanged"),
        "{applied}"
    );
    let booking = fixture.stored("service", "booking-app").await.unwrap();
    assert_eq!(booking["value"]["routes"][0]["repeat"], "never");
}
