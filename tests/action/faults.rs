//! Tables of single faults: each row names a fault, what callers are told, and how often it ran.

use std::time::Duration;

use endivefork::action::{Actions, Call, Point, Rules};
use serde_json::{Value, json};

use crate::fixture::{Gate, World, call, checked, rules, until, word};

/// An entry dies at a point of its try; another entry gets the caller's repeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entry() {
    let table = [
        // point, status call declared, what the repeat is told, runs
        (Point::Connect, false, "ok", 1),
        (Point::Claim, false, "ok", 1),
        (Point::Mark, false, "ok", 1),
        (Point::Send, false, "unknown", 0),
        (Point::Send, true, "unknown", 0),
        (Point::Store, false, "unknown", 1),
        (Point::Store, true, "ok", 1),
        (Point::Answer, false, "ok", 1),
    ];
    for direct in [false, true] {
        for (point, check, expected, runs) in table {
            if direct && point == Point::Claim {
                continue;
            }
            let row = format!("direct {direct}, {point:?}, check {check}");
            let world = World::start().await;
            let rules = Rules { direct, ..rules() };
            let (gate, hook) = Gate::at(point);
            let first = world.entry_with("a", rules, world.client(), Some(hook));
            let second = world.entry_with("b", rules, world.client(), None);

            let request = if check { checked("k") } else { call("k") };
            let dead = tokio::spawn(run(first, request.clone()));
            gate.reached().await;
            let told = second.run(request).await;

            assert_eq!(word(&told), expected, "{row}: {told:?}");
            assert_eq!(world.runs("k").await, runs, "{row}");
            dead.abort();
        }
    }
}

/// An entry is paused at a point of its try while another gets the repeat, and returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry() {
    let table = [
        // point, pause after the repeat's answer, repeat, then the paused try, runs
        (Point::Claim, 0, "ok", "ok", 1),
        (Point::Mark, 0, "ok", "ok", 1),
        // The pause ends within the window: the paused try still sends.
        (Point::Send, 0, "unknown", "ok", 1),
        // Longer than the window: it must not send any more.
        (Point::Send, 1000, "unknown", "not_run", 0),
        (Point::Store, 0, "unknown", "ok", 1),
    ];
    for (point, pause, repeat, paused, runs) in table {
        let row = format!("{point:?}, pause {pause} ms");
        let world = World::start().await;
        let (gate, hook) = Gate::at(point);
        let rules = Rules {
            window: Duration::from_millis(if pause == 0 { 5000 } else { 600 }),
            ..rules()
        };
        let request = Call {
            deadline: Duration::from_secs(8),
            ..call("k")
        };
        let quick = Call {
            deadline: Duration::from_millis(400),
            ..call("k")
        };
        let first = world.entry_with("a", rules, world.client(), Some(hook));
        let second = world.entry("b", None);

        let held = tokio::spawn(run(first, request));
        gate.reached().await;
        let told = second.run(quick).await;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        gate.open();
        let late = held.await.unwrap();

        assert_eq!(word(&told), repeat, "{row}: {told:?}");
        assert_eq!(word(&late), paused, "{row}: {late:?}");
        assert_eq!(world.runs("k").await, runs, "{row}");
        if let (Ok(told), Ok(late)) = (told, late) {
            assert_eq!(told, late, "{row}: both callers get the same answer");
        }
    }
}

/// The platform loses the answer of each write after taking it, or takes it too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_and_late_writes() {
    let table = [
        // fault, what the caller is told, runs by then
        (json!({"lose_answers": 1, "skip_writes": 0}), "ok", 1),
        (json!({"lose_answers": 1, "skip_writes": 1}), "ok", 1),
        (json!({"lose_answers": 1, "skip_writes": 2}), "ok", 1),
        (json!({"lose_answers": 9}), "ok", 1),
        (json!({"late_writes": 1, "late_ms": 400}), "ok", 1),
        (
            json!({"late_writes": 1, "late_ms": 400, "skip_writes": 1}),
            "ok",
            1,
        ),
        (
            json!({"late_writes": 1, "late_ms": 400, "skip_writes": 2}),
            "ok",
            1,
        ),
        (json!({"late_writes": 3, "late_ms": 1200}), "not_run", 0),
        (
            json!({"late_writes": 3, "late_ms": 1200, "skip_writes": 1}),
            "not_run",
            0,
        ),
    ];
    for direct in [false, true] {
        for (fault, expected, runs) in &table {
            let row = format!("direct {direct}, {fault}");
            let world = World::start().await;
            let rules = Rules { direct, ..rules() };
            let first = world.entry_with("a", rules, world.client(), None);
            let second = world.entry_with("b", rules, world.client(), None);
            // In one write less, the last rows' faults begin one write earlier.
            let skip = fault["skip_writes"].as_u64().unwrap_or(0);
            let fault = with(
                fault,
                "skip_writes",
                json!(skip - u64::from(direct && skip > 0)),
            );
            world.platform_fault(fault).await;

            let told = first.run(call("k")).await;
            let ran = world.runs("k").await;
            world
                .platform_fault(json!({"lose_answers": 0, "late_writes": 0}))
                .await;
            until("leftovers settled", || async { first.unsettled() == 0 }).await;
            tokio::time::sleep(Duration::from_millis(if ran == 0 { 1300 } else { 0 })).await;
            let again = second.run(call("k")).await;

            assert_eq!(word(&told), *expected, "{row}: {told:?}");
            assert_eq!(ran, *runs, "{row}");
            assert_eq!(word(&again), "ok", "{row}: not stuck: {again:?}");
            assert_eq!(world.runs("k").await, 1, "{row}");
        }
    }
}

/// The platform is down from a point of the try on, then returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outage_from_a_point() {
    let table = [
        (Point::Claim, "not_run", 0),
        (Point::Mark, "not_run", 0),
        (Point::Send, "ok", 1),
        (Point::Store, "ok", 1),
    ];
    for outage in ["refuse", "drop"] {
        for (point, expected, runs) in table {
            let row = format!("{outage}, {point:?}");
            let world = World::start().await;
            let (gate, hook) = Gate::at(point);
            let first = world.entry("a", Some(hook));
            let second = world.entry("b", None);

            let held = tokio::spawn(run(first.clone(), call("k")));
            gate.reached().await;
            world.platform_fault(json!({"outage": outage})).await;
            gate.open();
            let told = held.await.unwrap();
            let ran = world.runs("k").await;
            let refused = second.run(call("k")).await;
            world.platform_fault(json!({"outage": "none"})).await;
            until("leftovers settled", || async { first.unsettled() == 0 }).await;
            let again = second.run(call("k")).await;

            assert_eq!(word(&told), expected, "{row}: {told:?}");
            assert_eq!(ran, runs, "{row}");
            assert_eq!(word(&refused), "not_run", "{row}: {refused:?}");
            assert_eq!(refused.unwrap_err().status, 503, "{row}");
            assert_eq!(word(&again), "ok", "{row}: {again:?}");
            assert_eq!(world.runs("k").await, 1, "{row}");
        }
    }
}

/// An entry that knows an action as sent never calls a repeat not run, however it is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn doubt_is_remembered_in_an_outage() {
    let world = World::start().await;
    world.plain_fault(json!({"lose_answers": 1})).await;
    let entry = world.entry("a", None);
    let first = entry.run(call("k")).await;
    world.platform_fault(json!({"outage": "refuse"})).await;

    assert_eq!(word(&first), "unknown");
    for _ in 0..8 {
        let told = entry.run(call("k")).await;

        assert_eq!(word(&told), "unknown", "{told:?}");
    }
    assert_eq!(world.runs("k").await, 1);
}

/// While the first try still waits for the service, a repeat at its entry waits with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_running_action_is_joined_in_an_outage() {
    let world = World::start().await;
    world.plain_fault(json!({"slow_ms": 800})).await;
    let entry = world.entry("a", None);
    let first = tokio::spawn(run(entry.clone(), call("k")));
    until("the action runs", || async { world.runs("k").await == 1 }).await;
    world.platform_fault(json!({"outage": "refuse"})).await;

    let told = entry.run(call("k")).await;

    let first = first.await.unwrap();
    assert_eq!(word(&first), "ok");
    assert_eq!(told.unwrap(), first.unwrap());
    assert_eq!(world.runs("k").await, 1);
}

/// Faults of the service itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_faults() {
    let table = [
        // fault, status call declared, first answer, answer of a repeat elsewhere, runs
        (json!({"lose_answers": 1}), false, "unknown", "unknown", 1),
        (json!({"lose_answers": 1}), true, "ok", "ok", 1),
        (json!({"lose_requests": 1}), false, "unknown", "unknown", 0),
        (json!({"lose_requests": 1}), true, "unknown", "unknown", 0),
        (json!({"slow_ms": 900}), false, "unknown", "unknown", 1),
        (json!({"slow_ms": 900}), true, "ok", "ok", 1),
        (json!({"delay_ms": 900}), true, "unknown", "ok", 1),
        (
            json!({"lose_answers": 1, "forget": true}),
            true,
            "unknown",
            "unknown",
            1,
        ),
        (json!({"error_rate": 1.0}), false, "ok", "ok", 1),
    ];
    for (fault, check, expected, repeat, runs) in table {
        let row = format!("{fault}, check {check}");
        let world = World::start().await;
        let first = world.entry("a", None);
        let second = world.entry("b", None);
        world.plain_fault(fault).await;
        let request = if check { checked("k") } else { call("k") };
        let request = Call {
            timeout: Duration::from_millis(400),
            ..request
        };

        let told = first.run(request.clone()).await;
        until("the service is idle", || async {
            world.load().await["running"] == 0
        })
        .await;
        let again = second.run(request).await;

        assert_eq!(word(&told), expected, "{row}: {told:?}");
        assert_eq!(word(&again), repeat, "{row}: {again:?}");
        assert_eq!(world.runs("k").await, runs, "{row}");
        if let (Ok(told), Ok(again)) = (told, again) {
            assert_eq!(told, again, "{row}: replayed word for word");
        }
    }
}

/// A target that refuses connections: truly not run, and no write is spent on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_connection() {
    let mut world = World::start().await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let up = std::mem::replace(&mut world.plain, closed.local_addr().unwrap());
    drop(closed);
    let down = world.entry("a", None);
    world.plain = up;
    let entry = world.entry("b", None);

    let refused = down.run(call("k")).await;
    let counts = world.counts().await;
    let told = entry.run(call("k")).await;
    let replayed = down.run(call("k")).await;

    assert_eq!(refused.unwrap_err().reason, "no_target");
    assert_eq!(counts["writes"], 0);
    assert_eq!(word(&told), "ok");
    assert_eq!(
        replayed.unwrap(),
        told.unwrap(),
        "replayed without a target"
    );
}

/// A key names one request: another body, path or method under it is refused everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reused_keys() {
    let world = World::start().await;
    let entries = [world.entry("a", None), world.entry("b", None)];
    entries[0].run(call("k")).await.unwrap();
    let others = [
        Call {
            body: "other".into(),
            ..call("k")
        },
        Call {
            path: "/deposits/2".into(),
            ..call("k")
        },
        Call {
            method: http::Method::PUT,
            ..call("k")
        },
    ];
    for entry in &entries {
        for other in &others {
            let told = entry.run(other.clone()).await;

            let failure = told.unwrap_err();
            assert_eq!((failure.status, failure.reason), (422, "key_reused"));
        }
    }
    let account = Call {
        account: "tuul".into(),
        ..call("k")
    };
    assert_eq!(
        word(&entries[1].run(account).await),
        "ok",
        "keys belong to accounts"
    );
}

/// The same key of two accounts, and keys that need encoding, never meet at the status call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accounts_share_a_key() {
    let world = World::start().await;
    let entry = world.entry("a", None);
    let other = Call {
        account: "tuul:captions".into(),
        ..checked("k")
    };
    entry.run(checked("k")).await.unwrap();
    entry.run(checked("k/1")).await.unwrap();
    world.plain_fault(json!({"lose_requests": 100})).await;

    let theirs = entry.run(other.clone()).await;
    let longer = entry.run(checked("k?x=1")).await;
    let odd = entry.run(checked("k/1#%2F")).await;
    world
        .plain_fault(json!({"lose_requests": 0, "lose_answers": 1}))
        .await;
    let found = entry.run(checked("k?x=2#%2F/")).await;

    assert_eq!(word(&theirs), "unknown", "{theirs:?}");
    assert_eq!(word(&longer), "unknown", "{longer:?}");
    assert_eq!(word(&odd), "unknown", "{odd:?}");
    assert_eq!(word(&found), "ok", "{found:?}");
    assert_eq!(world.runs("k?x=2#%2F/").await, 1);
    assert_eq!(world.runs_of("tuul%3Acaptions", "k").await, 0);
}

/// Requests that are refused before anything is done.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_calls() {
    let world = World::start().await;
    let entry = world.entry("a", None);
    let table = [
        (
            Call {
                key: None,
                ..call("")
            },
            400,
            "key_missing",
        ),
        (call(""), 400, "key_missing"),
        (call("two words"), 400, "key_invalid"),
        (call(&"k".repeat(256)), 400, "key_invalid"),
        (
            Call {
                path: "no slash".into(),
                ..call("k")
            },
            400,
            "path_invalid",
        ),
    ];
    for (bad, status, reason) in table {
        let failure = entry.run(bad).await.unwrap_err();

        assert_eq!((failure.status, failure.reason), (status, reason));
        assert_eq!(failure.outcome, endivefork::failure::Certainty::NotRun);
    }
    assert_eq!(world.counts().await["writes"], 0);
}

/// Many repeats of one key at once, at several entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_repeats() {
    let world = World::start().await;
    world.plain_fault(json!({"slow_ms": 50})).await;
    let entries: Vec<Actions> = (0..6)
        .map(|i| world.entry(&format!("e{i}"), None))
        .collect();

    let tries = (0..24).map(|i| tokio::spawn(run(entries[i % 6].clone(), call("k"))));
    let told = futures_util::future::join_all(tries).await;

    let counts = world.counts().await;
    println!(
        "24 repeats at 6 entries: {} writes, {} reads",
        counts["writes"], counts["reads"]
    );
    let writes = counts["writes"].as_u64().unwrap();
    assert!(writes <= 3 + 5 * 2, "one try an entry: {writes} writes");
    let outcomes: Vec<_> = told.into_iter().map(|t| t.unwrap().unwrap()).collect();
    assert!(outcomes.iter().all(|o| *o == outcomes[0]));
    assert_eq!(world.runs("k").await, 1);
}

/// Not even a byte that JSON cannot hold is lost from a replay.
#[test]
fn outcome_survives_storing() {
    use endivefork::action::Outcome;
    for body in [
        &b""[..],
        b"{\"a\": 1}\n",
        "нэхэмжлэх".as_bytes(),
        &[0, 159, 146, 150],
    ] {
        let outcome = Outcome {
            status: 201,
            content: "text/plain; charset=utf-8".into(),
            body: bytes::Bytes::copy_from_slice(body),
        };

        let stored = serde_json::to_string(&outcome).unwrap();

        assert_eq!(serde_json::from_str::<Outcome>(&stored).unwrap(), outcome);
    }
}

fn with(fault: &Value, name: &str, value: Value) -> Value {
    let mut fault = fault.clone();
    fault[name] = value;
    fault
}

async fn run(
    entry: Actions,
    call: Call,
) -> Result<endivefork::action::Outcome, endivefork::failure::Failure> {
    entry.run(call).await
}
