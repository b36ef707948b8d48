//! Recovery of lost responses by a declared status call.

use std::time::Duration;

use endivefork::action::Call;
use serde_json::json;

use crate::fixture::{World, call, call_with_status, label, until};

const ACTIONS: usize = 30;

/// Runs [`ACTIONS`] actions and a repeat of each. Returns the number of known outcomes in the first
/// calls, in the repeats, and the number of runs.
async fn run_with_fault(fault: serde_json::Value, check: bool) -> [usize; 3] {
    let world = World::start().await;
    let (first, second) = (world.entry("a", None), world.entry("b", None));
    world.plain_fault(fault).await;
    let request = |i: usize| {
        let key = format!("k{i}");
        let request = if check {
            call_with_status(&key)
        } else {
            call(&key)
        };
        Call {
            timeout: Duration::from_millis(250),
            ..request
        }
    };
    let attempts = (0..ACTIONS).map(|i| first.run(request(i)));
    let result = futures_util::future::join_all(attempts).await;
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
    assert!(result.iter().chain(&again).all(|t| label(t) != "not_run"));
    let known = |all: &[_]| all.iter().filter(|t| label(t) == "ok").count();
    [known(&result), known(&again), ran]
}

/// Outcomes of lost responses are recovered. An action that the status call does not know is never
/// reported as not run, since it may still arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn status_call() {
    let n = ACTIONS;
    let table = [
        // fault, status call declared, known to the first call, known to the repeat, runs
        (json!({"lose_answers": 1000}), false, [0, 0, n]),
        (json!({"lose_answers": 1000}), true, [n, n, n]),
        // Too late for the first call: the status call does not know the action yet.
        (json!({"delay_ms": 1000}), true, [0, n, n]),
        (json!({"lose_requests": 1000}), true, [0, 0, 0]),
    ];
    for (fault, check, expected) in table {
        let measured = run_with_fault(fault.clone(), check).await;

        println!(
            "{fault}, status call {check}: known to the first call, to the repeat, runs: {measured:?} of {n}"
        );
        assert_eq!(measured, expected, "{fault}, {check}");
    }
}
