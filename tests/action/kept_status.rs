//! Answers of plain services that are written once more on a kept connection.

use std::sync::Arc;
use std::time::Duration;

use endivefork::action::{
    Actions, CLAIM_KIND, Call, ChooseTarget, ChosenTarget, LiveInstances, Record, Retention, Stage,
    Sweeper,
};
use endivefork::config::Repeat;
use serde_json::json;

use crate::fixture::{World, call, call_with_status, label, limits, until};
use crate::kept::{PAUSE, answer, target};

const INTERVAL: Duration = Duration::from_millis(100);

/// Guards against the outcome of one action being stored for another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_of_an_earlier_action_is_not_stored_for_the_next() {
    let world = World::start().await;
    let fault = json!({"lose_answers": 2, "forget": true});
    world.plain_fault(fault).await;
    let entry = world.entry("a", None);
    for key in ["k1", "k2"] {
        let lost = entry.run(call_with_status(key)).await;
        assert_eq!(label(&lost), "unknown");
    }
    let done = answer("200 OK", r#"{"state":"done","status":201,"body":{"id":1}}"#);
    let addr = target(done, answer("404 None", "")).await;
    let choose: ChooseTarget = Arc::new(move |_, _| Some(ChosenTarget::new(addr)));
    let live: LiveInstances = Arc::new(|| vec!["a".into()]);
    let retention = Retention {
        interval: INTERVAL,
        keep: 8,
        keep_unknown: 200,
        write_rate: 400.0,
        page_size: 5,
    };
    let sweeper = Sweeper::new("a".into(), world.client(), retention, live, choose);
    let sweeping = tokio::spawn(sweeper.run());

    let done = async || {
        let items = world.client().list(CLAIM_KIND, "").await.unwrap().items;
        let records = items.iter().map(|o| o.decode::<Record>().unwrap());
        let is_done = |r: &Record| matches!(r.stage, Stage::Done { .. });
        (records.filter(is_done).count(), items.len())
    };
    until("an outcome is stored", || async { done().await.0 > 0 }).await;
    tokio::time::sleep(5 * INTERVAL).await;
    sweeping.abort();

    assert_eq!(done().await, (1, 2));
}

/// Guards against an answer to one caller that reaches another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_an_earlier_action_does_not_answer_the_next() {
    let world = World::start().await;
    let addr = target(answer("200 OK", "\"one\""), answer("200 OK", "\"two\"")).await;
    let choose: ChooseTarget = Arc::new(move |_, _| Some(ChosenTarget::new(addr)));
    let entry = Actions::new("a".into(), world.client(), choose, limits());

    for (key, body) in [("k1", "\"one\""), ("k2", "\"two\"")] {
        let outcome = entry.run(call(key)).await.unwrap();
        assert_eq!(outcome.body, body);
        tokio::time::sleep(PAUSE).await;
    }
}

/// The same for calls that may be repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_an_earlier_safe_call_does_not_answer_the_next() {
    let world = World::start().await;
    let addr = target(answer("200 OK", "\"one\""), answer("200 OK", "\"two\"")).await;
    let choose: ChooseTarget = Arc::new(move |_, _| Some(ChosenTarget::new(addr)));
    let entry = Actions::new("a".into(), world.client(), choose, limits());

    for (key, body) in [("k1", "\"one\""), ("k2", "\"two\"")] {
        let call = Call {
            repeat: Repeat::Safe,
            ..call(key)
        };
        let outcome = entry.run(call).await.unwrap();
        assert_eq!(outcome.body, body);
        tokio::time::sleep(PAUSE).await;
    }
}
