//! Answers that a faulty target writes once more on a kept connection, on endivefork's own
//! interface, whose answers carry no id of their request.

#[path = "support/kept.rs"]
mod kept;

use std::time::Duration;

use endivefork::http::Client;
use endivefork::target::engine::{Engine, Refusal, Start};
use kept::{PAUSE, answer, target};
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against an attempt that runs though it counts as not admitted.
#[tokio::test]
async fn refusal_of_an_earlier_attempt_does_not_refuse_the_next() {
    let refusal = answer("503 Full", r#"{"error":"full","not_run":true}"#);
    let stream = answer("200 OK", "{\"next\":0}\n");
    let engine = Engine::new(Client::new(), target(refusal, stream).await);
    let start = |attempt| Start {
        attempt,
        request: "r",
        model: "m",
        version: "v1",
        prompt: "p",
        prefix: &[],
        max_tokens: 1,
        priority: 0,
        deadline_ms: 1000,
    };

    let first = engine.start(&start("a1"), TIMEOUT).await;
    sleep(2 * PAUSE).await;
    let second = engine.start(&start("a2"), TIMEOUT).await;

    assert!(matches!(first, Err(Refusal::NotRun(_))), "{first:?}");
    assert!(second.is_ok(), "{second:?}");
}
