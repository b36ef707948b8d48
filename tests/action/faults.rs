//! Tables of single faults: each row has a fault, the expected results and the number of runs.

use std::time::Duration;

use endivefork::action::{Actions, Call, Limits, Point};
use serde_json::{Value, json};

use crate::fixture::{Gate, World, call, call_with_status, label, limits, until};

/// An entry crashes at a point of its attempt; the caller repeats the call at another entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entry() {
    let table = [
        // point, status call declared, result of the repeat, runs
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
            let case = format!("direct {direct}, {point:?}, check {check}");
            let world = World::start().await;
            let limits = Limits { direct, ..limits() };
            let (gate, hook) = Gate::at(point);
            let first = world.entry_with("a", limits, world.client(), Some(hook));
            let second = world.entry_with("b", limits, world.client(), None);

            let request = if check {
                call_with_status("k")
            } else {
                call("k")
            };
            let dead = tokio::spawn(run(first, request.clone()));
            gate.reached().await;
            let result = second.run(request).await;

            assert_eq!(label(&result), expected, "{case}: {result:?}");
            assert_eq!(world.runs("k").await, runs, "{case}");
            dead.abort();
        }
    }
}

/// An entry is paused at a point of its attempt, while another entry handles the repeat, and
/// resumes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry() {
    let table = [
        // point, pause in ms after the repeat's result, results of the repeat and the paused
        // attempt, runs
        (Point::Claim, 0, "ok", "ok", 1),
        (Point::Mark, 0, "ok", "ok", 1),
        // The pause ends within the send window: the paused attempt still sends.
        (Point::Send, 0, "unknown", "ok", 1),
        // The pause exceeds the send window: the paused attempt must not send.
        (Point::Send, 1000, "unknown", "not_run", 0),
        (Point::Store, 0, "unknown", "ok", 1),
    ];
    for (point, pause, repeat, paused, runs) in table {
        let case = format!("{point:?}, pause {pause} ms");
        let world = World::start().await;
        let (gate, hook) = Gate::at(point);
        let limits = Limits {
            window: Duration::from_millis(if pause == 0 { 5000 } else { 600 }),
            ..limits()
        };
        let request = Call {
            deadline: Duration::from_secs(8),
            ..call("k")
        };
        let quick = Call {
            deadline: Duration::from_millis(400),
            ..call("k")
        };
        let first = world.entry_with("a", limits, world.client(), Some(hook));
        let second = world.entry("b", None);

        let blocked = tokio::spawn(run(first, request));
        gate.reached().await;
        let result = second.run(quick).await;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        gate.open();
        let paused_result = blocked.await.unwrap();

        assert_eq!(label(&result), repeat, "{case}: {result:?}");
        assert_eq!(label(&paused_result), paused, "{case}: {paused_result:?}");
        assert_eq!(world.runs("k").await, runs, "{case}");
        if let (Ok(result), Ok(paused_result)) = (result, paused_result) {
            assert_eq!(
                result, paused_result,
                "{case}: both callers get the same outcome"
            );
        }
    }
}

/// The platform applies writes but loses its responses, or applies writes after the timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_and_delayed_writes() {
    let table = [
        // fault, result of the first call, runs by then
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
            let case = format!("direct {direct}, {fault}");
            let world = World::start().await;
            let limits = Limits { direct, ..limits() };
            let first = world.entry_with("a", limits, world.client(), None);
            let second = world.entry_with("b", limits, world.client(), None);
            // The direct mode has one write less, so faults after skipped writes start one earlier.
            let skip = fault["skip_writes"].as_u64().unwrap_or(0);
            let fault = with_field(
                fault,
                "skip_writes",
                json!(skip - u64::from(direct && skip > 0)),
            );
            world.platform_fault(fault).await;

            let result = first.run(call("k")).await;
            let ran = world.runs("k").await;
            world
                .platform_fault(json!({"lose_answers": 0, "late_writes": 0}))
                .await;
            until("deferred writes are complete", || async {
                first.pending() == 0
            })
            .await;
            tokio::time::sleep(Duration::from_millis(if ran == 0 { 1300 } else { 0 })).await;
            let again = second.run(call("k")).await;

            assert_eq!(label(&result), *expected, "{case}: {result:?}");
            assert_eq!(ran, *runs, "{case}");
            assert_eq!(label(&again), "ok", "{case}: the key is usable: {again:?}");
            assert_eq!(world.runs("k").await, 1, "{case}");
        }
    }
}

/// The platform is down from a point of the attempt on, then recovers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outage_during_attempt() {
    let table = [
        (Point::Claim, "not_run", 0),
        (Point::Mark, "not_run", 0),
        (Point::Send, "ok", 1),
        (Point::Store, "ok", 1),
    ];
    for outage in ["refuse", "drop"] {
        for (point, expected, runs) in table {
            let case = format!("{outage}, {point:?}");
            let world = World::start().await;
            let (gate, hook) = Gate::at(point);
            let first = world.entry("a", Some(hook));
            let second = world.entry("b", None);

            let blocked = tokio::spawn(run(first.clone(), call("k")));
            gate.reached().await;
            world.platform_fault(json!({"outage": outage})).await;
            gate.open();
            let result = blocked.await.unwrap();
            let ran = world.runs("k").await;
            let refused = second.run(call("k")).await;
            world.platform_fault(json!({"outage": "none"})).await;
            until("deferred writes are complete", || async {
                first.pending() == 0
            })
            .await;
            let again = second.run(call("k")).await;

            assert_eq!(label(&result), expected, "{case}: {result:?}");
            assert_eq!(ran, runs, "{case}");
            assert_eq!(label(&refused), "not_run", "{case}: {refused:?}");
            assert_eq!(refused.unwrap_err().status, 503, "{case}");
            assert_eq!(label(&again), "ok", "{case}: {again:?}");
            assert_eq!(world.runs("k").await, 1, "{case}");
        }
    }
}

/// An entry that has sent an action never reports a repeat as not run, even while the platform is
/// down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_outcome_is_cached_in_outage() {
    let world = World::start().await;
    world.plain_fault(json!({"lose_answers": 1})).await;
    let entry = world.entry("a", None);
    let first = entry.run(call("k")).await;
    world.platform_fault(json!({"outage": "refuse"})).await;

    assert_eq!(label(&first), "unknown");
    for _ in 0..8 {
        let result = entry.run(call("k")).await;

        assert_eq!(label(&result), "unknown", "{result:?}");
    }
    assert_eq!(world.runs("k").await, 1);
}

/// While the first attempt waits for the service, a repeat at the same entry shares its result.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_joins_running_action_in_outage() {
    let world = World::start().await;
    world.plain_fault(json!({"slow_ms": 800})).await;
    let entry = world.entry("a", None);
    let first = tokio::spawn(run(entry.clone(), call("k")));
    until("the action runs", || async { world.runs("k").await == 1 }).await;
    world.platform_fault(json!({"outage": "refuse"})).await;

    let result = entry.run(call("k")).await;

    let first = first.await.unwrap();
    assert_eq!(label(&first), "ok");
    assert_eq!(result.unwrap(), first.unwrap());
    assert_eq!(world.runs("k").await, 1);
}

/// Faults of the service itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_faults() {
    let table = [
        // fault, status call declared, first result, result of a repeat at another entry, runs
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
        let case = format!("{fault}, check {check}");
        let world = World::start().await;
        let first = world.entry("a", None);
        let second = world.entry("b", None);
        world.plain_fault(fault).await;
        let request = if check {
            call_with_status("k")
        } else {
            call("k")
        };
        let request = Call {
            timeout: Duration::from_millis(400),
            ..request
        };

        let result = first.run(request.clone()).await;
        until("the service is idle", || async {
            world.load().await["running"] == 0
        })
        .await;
        let again = second.run(request).await;

        assert_eq!(label(&result), expected, "{case}: {result:?}");
        assert_eq!(label(&again), repeat, "{case}: {again:?}");
        assert_eq!(world.runs("k").await, runs, "{case}");
        if let (Ok(result), Ok(again)) = (result, again) {
            assert_eq!(result, again, "{case}: replayed unchanged");
        }
    }
}

/// If the target refuses connections, the action is reported as not run and no claim is written.
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
    let result = entry.run(call("k")).await;
    let replayed = down.run(call("k")).await;

    assert_eq!(refused.unwrap_err().reason, "no_target");
    assert_eq!(counts["writes"], 0);
    assert_eq!(label(&result), "ok");
    assert_eq!(
        replayed.unwrap(),
        result.unwrap(),
        "replayed without a target"
    );
}

/// A key identifies one request: a different body, path or method is refused at every entry.
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
            let result = entry.run(other.clone()).await;

            let failure = result.unwrap_err();
            assert_eq!((failure.status, failure.reason), (422, "key_reused"));
        }
    }
    let account = Call {
        account: "tuul".into(),
        ..call("k")
    };
    assert_eq!(
        label(&entries[1].run(account).await),
        "ok",
        "keys belong to accounts"
    );
}

/// Equal keys of two accounts, and keys that need encoding, do not collide at the status call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accounts_share_a_key() {
    let world = World::start().await;
    let entry = world.entry("a", None);
    let other = Call {
        account: "tuul:captions".into(),
        ..call_with_status("k")
    };
    entry.run(call_with_status("k")).await.unwrap();
    entry.run(call_with_status("k/1")).await.unwrap();
    world.plain_fault(json!({"lose_requests": 100})).await;

    let other_account = entry.run(other.clone()).await;
    let longer = entry.run(call_with_status("k?x=1")).await;
    let escaped = entry.run(call_with_status("k/1#%2F")).await;
    world
        .plain_fault(json!({"lose_requests": 0, "lose_answers": 1}))
        .await;
    let found = entry.run(call_with_status("k?x=2#%2F/")).await;

    assert_eq!(label(&other_account), "unknown", "{other_account:?}");
    assert_eq!(label(&longer), "unknown", "{longer:?}");
    assert_eq!(label(&escaped), "unknown", "{escaped:?}");
    assert_eq!(label(&found), "ok", "{found:?}");
    assert_eq!(world.runs("k?x=2#%2F/").await, 1);
    assert_eq!(world.runs_of("tuul%3Acaptions", "k").await, 0);
}

/// Invalid calls are refused before any write or send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_calls() {
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
    for (invalid, status, reason) in table {
        let failure = entry.run(invalid).await.unwrap_err();

        assert_eq!((failure.status, failure.reason), (status, reason));
        assert_eq!(failure.outcome, endivefork::failure::Certainty::NotRun);
    }
    assert_eq!(world.counts().await["writes"], 0);
}

/// Concurrent repeats of one key at several entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_repeats() {
    let world = World::start().await;
    world.plain_fault(json!({"slow_ms": 50})).await;
    let entries: Vec<Actions> = (0..6)
        .map(|i| world.entry(&format!("e{i}"), None))
        .collect();

    let attempts = (0..24).map(|i| tokio::spawn(run(entries[i % 6].clone(), call("k"))));
    let result = futures_util::future::join_all(attempts).await;

    let counts = world.counts().await;
    println!(
        "24 repeats at 6 entries: {} writes, {} reads",
        counts["writes"], counts["reads"]
    );
    let writes = counts["writes"].as_u64().unwrap();
    assert!(
        writes <= 3 + 5 * 2,
        "one attempt per entry: {writes} writes"
    );
    let outcomes: Vec<_> = result.into_iter().map(|t| t.unwrap().unwrap()).collect();
    assert!(outcomes.iter().all(|o| *o == outcomes[0]));
    assert_eq!(world.runs("k").await, 1);
}

/// Stored outcomes preserve every byte, including bodies that are not valid UTF-8.
#[test]
fn outcome_round_trip() {
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

fn with_field(fault: &Value, name: &str, value: Value) -> Value {
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
