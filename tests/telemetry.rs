//! What an operator reads after an engine was lost under a stream.

mod support;

use endivefork::http::{Via, request};
use http::Method;
use serde_json::{Value, json};
use support::caller::CallerRequest;
use support::world::{LIMIT, World};

async fn metrics(world: &World) -> String {
    let url = format!("http://{}/metrics", world.entries[0].admin);
    let mut asked = request(Method::GET, &url, "");
    let key = "Bearer operator-key".parse().unwrap();
    asked.headers_mut().insert("authorization", key);
    let answer = world.client.send(Via::Fresh, asked, LIMIT).await.unwrap();
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// The engine that has started an attempt.
async fn busy(world: &World) -> usize {
    for (i, engine) in world.engines.iter().enumerate() {
        let log: Value = world.read(engine.addr, "/control/log").await;
        if log["entries"].as_array().is_some_and(|all| !all.is_empty()) {
            return i;
        }
    }
    panic!("no engine has started an attempt");
}

#[tokio::test(flavor = "multi_thread")]
async fn delays_are_counted_for_the_account_and_refusals_by_reason() {
    let world = World::usual(2, 1, &["--token-ms", "10"]).await;
    let ask = CallerRequest::completion(world.entries[0].caller, "llm", "measured", 100);
    let head = ask.clone().key("measured");
    let first = head.stream(&world.client, |token| token.id == 20).await;
    assert_eq!(first.tokens.len(), 21, "{first:?}");
    let lost = &world.engines[busy(&world).await];

    world
        .control(lost.addr, "/control", &json!({ "crash": true }))
        .await;
    let rest = head.last(20).all(&world.client).await;
    let refused = ask.account("wrong").all(&world.client).await;

    assert!(rest.done, "{rest:?}");
    assert_eq!(refused.status, 401);
    let text = metrics(&world).await;
    for line in [
        "endivefork_first_token_seconds_count{account=\"one\"}",
        "endivefork_token_gap_seconds_count{account=\"one\"}",
        "endivefork_resume_gap_seconds_count{account=\"one\"} 1",
        "endivefork_end_to_end_seconds_count{account=\"one\"} 1",
        "endivefork_refusals_total{reason=\"unknown_key\"} 1",
    ] {
        assert!(text.contains(line), "no {line} in:\n{text}");
    }
}
