//! What a declared status call is worth after lost answers.

use std::time::Duration;

use endivefork::action::Call;
use serde_json::json;

use crate::fixture::{World, call, checked, until, word};

const ACTIONS: usize = 30;

/// Told at once, told to a repeat, and ran, of [`ACTIONS`].
async fn lose(fault: serde_json::Value, check: bool) -> [usize; 3] {
    let world = World::start().await;
    let (first, second) = (world.entry("a", None), world.entry("b", None));
    world.plain_fault(fault).await;
    let request = |i: usize| {
        let key = format!("k{i}");
        let request = if check { checked(&key) } else { call(&key) };
        Call {
            timeout: Duration::from_millis(250),
            ..request
        }
    };
    let tries = (0..ACTIONS).map(|i| first.run(request(i)));
    let told = futures_util::future::join_all(tries).await;
    until("the service is idle", || async {
        world.load().await["running"] == 0
    })
    .await;
    let repeats = (0..ACTIONS).map(|i| second.run(request(i)));
    let again = futures_util::future::join_all(repeats).await;
    let mut ran = 0;
    for i in 0..ACTIONS {
        let runs = world.runs(&format!("k{i}")).await;
        assert!(runs <= 1);
        ran += runs as usize;
    }
    assert!(told.iter().chain(&again).all(|t| word(t) != "not_run"));
    let known = |all: &[_]| all.iter().filter(|t| word(t) == "ok").count();
    [known(&told), known(&again), ran]
}

/// Lost answers are found again; an absent action is never taken for one that will not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn status_call() {
    let n = ACTIONS;
    let table = [
        // fault, status call declared, told at once, told to a repeat, ran
        (json!({"lose_answers": 1000}), false, [0, 0, n]),
        (json!({"lose_answers": 1000}), true, [n, n, n]),
        // Too late for the first caller: the status call does not know of it yet.
        (json!({"delay_ms": 1000}), true, [0, n, n]),
        (json!({"lose_requests": 1000}), true, [0, 0, 0]),
    ];
    for (fault, check, expected) in table {
        let measured = lose(fault.clone(), check).await;

        println!(
            "{fault}, status call {check}: told at once, to a repeat, ran: {measured:?} of {n}"
        );
        assert_eq!(measured, expected, "{fault}, {check}");
    }
}
