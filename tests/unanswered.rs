//! Requests that an instance reads whole on its own interface and does not answer.

mod support;

use std::time::Duration;

use endivefork::http::Via;
use endivefork::ident::RequestKey;
use serde_json::Value;
use support::world::{LIMIT, World, until};

/// Settings of an instance that waits little for the requests that it still serves at its end.
const SHORT_DRAIN: &str = "[drain]\ntimeout = 300ms\n[log]\nformat = json\n";

/// Tokens that fill the buffers of a connection.
const BLOCKING_TOKENS: u64 = 40_000;

#[tokio::test]
async fn generation_cut_at_the_exit_is_logged_with_its_key_service_and_revision() {
    let mut world = World::usual(1, 0, &["--token-ms", "0.02"]).await;
    world.entry(SHORT_DRAIN).await;
    world.ready().await;
    let entry = &world.entries[0];
    let body = r#"{"model":"llm","prompt":"a long one","max_tokens":100000,"stream":true}"#;
    let url = format!("http://{}/v1/completions", entry.caller);
    let mut call = endivefork::http::request(http::Method::POST, &url, body);
    let headers = call.headers_mut();
    headers.insert("authorization", "Bearer key-one".parse().unwrap());
    headers.insert("idempotency-key", "k1".parse().unwrap());
    let answer = world.client.open(Via::Fresh, call, LIMIT).await;
    let answer = answer.expect("the answer begins");
    assert_eq!(answer.status(), 200);
    let engine = world.engines[0].addr;
    until(
        "a caller that reads nothing blocks its stream",
        async || {
            let log = world.read(engine, "/control/log").await;
            log["tokens"].as_u64() >= Some(BLOCKING_TOKENS)
        },
    )
    .await;

    let entry = &mut world.entries[0];
    entry.process.signal("TERM");
    assert_eq!(entry.process.ended(LIMIT), Some(true));
    tokio::time::sleep(Duration::from_millis(100)).await;

    let lines = entry.process.lines();
    let lines = lines.iter().filter_map(|l| serde_json::from_str(l).ok());
    let lines: Vec<Value> = lines
        .filter(|l: &Value| l["msg"] == "request: unanswered")
        .collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let id = RequestKey::new("one", "k1").to_string();
    assert_eq!(
        (&lines[0]["id"], &lines[0]["route"]),
        (&id.into(), &"llm".into())
    );
    let rules = lines[0]["rules"].as_u64();
    assert!(
        rules > Some(0) && rules <= lines[0]["in_force"].as_u64(),
        "{lines:?}"
    );
}
