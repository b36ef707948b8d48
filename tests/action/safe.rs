//! Calls that may be repeated: retried at other targets, within a retry budget and the timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::action::{Actions, Call, ChooseTarget, ChosenTarget, Limits, TargetResult};
use endivefork::config::Repeat;
use http::Method;
use parking_lot::Mutex;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::fixture::{World, call, label, until};

fn read() -> Call {
    Call {
        key: None,
        method: Method::GET,
        path: "/availability?place=arugam-bay".into(),
        body: Default::default(),
        repeat: Repeat::Safe,
        timeout: Duration::from_millis(1500),
        ..call("")
    }
}

type Reports = Arc<Mutex<Vec<(SocketAddr, TargetResult)>>>;

/// An entry that tries the targets in order, and the results that it reports for them.
fn entry(world: &World, targets: Vec<SocketAddr>) -> (Actions, Reports) {
    let reports = Reports::default();
    let shared = Arc::clone(&reports);
    let choose: ChooseTarget = Arc::new(move |_, excluded| {
        let addr = *targets.iter().find(|t| !excluded.contains(t))?;
        let reports = Arc::clone(&shared);
        Some(ChosenTarget {
            addr,
            report: Box::new(move |report| reports.lock().push((addr, report))),
        })
    });
    let entry = Actions::new("a".into(), world.client(), choose, Limits::default());
    (entry, reports)
}

fn closed() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A fault of the first target leads to a retry at the second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retried_elsewhere() {
    let table = [
        (json!({"refuse": true}), TargetResult::Answered(503)),
        (json!({"freeze": true}), TargetResult::Lost),
    ];
    for (fault, expected) in table {
        let (bad, good) = (World::start().await, World::start().await);
        let (entry, reports) = entry(&good, vec![bad.plain, good.plain]);
        entry.run(read()).await.unwrap();
        bad.plain_fault(fault.clone()).await;

        let result = entry.run(read()).await;

        assert_eq!(result.unwrap().status, 200, "{fault}");
        let reports = reports.lock();
        assert_eq!(reports[1], (bad.plain, expected), "{fault}");
        assert_eq!(
            reports[2],
            (good.plain, TargetResult::Answered(200)),
            "{fault}"
        );
    }
}

/// Open connections to the first target stop responding while new ones work: no call uses one that
/// was open before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections() {
    const ROUNDS: usize = 20;
    let (bad, good) = (World::start().await, World::start().await);
    let (entry, reports) = entry(&good, vec![bad.plain, good.plain]);
    for _ in 0..ROUNDS {
        entry.run(read()).await.unwrap();
        bad.plain_fault(json!({"silent": true})).await;

        let result = entry.run(read()).await;

        assert_eq!(result.unwrap().status, 200);
    }
    let answered = (bad.plain, TargetResult::Answered(200));
    assert_eq!(*reports.lock(), vec![answered; 2 * ROUNDS]);
}

/// A connection that stops responding during a call leads to a retry at the next target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_goes_silent_during_a_call() {
    let (bad, good) = (World::start().await, World::start().await);
    let (entry, reports) = entry(&good, vec![bad.plain, good.plain]);
    bad.plain_fault(json!({"delay_ms": 200})).await;

    let silence = async {
        until("the call runs", || async {
            bad.load().await["running"] == 1
        })
        .await;
        bad.plain_fault(json!({"silent": true})).await;
    };
    let (result, ()) = tokio::join!(entry.run(read()), silence);

    assert_eq!(result.unwrap().status, 200);
    let expected = [
        (bad.plain, TargetResult::Lost),
        (good.plain, TargetResult::Answered(200)),
    ];
    assert_eq!(*reports.lock(), expected);
}

/// A target sees that a call is the only one on its connection.
#[tokio::test]
async fn connection_is_announced_to_close() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let world = World::start().await;
    let (entry, _) = entry(&world, vec![listener.local_addr().unwrap()]);
    let target = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = vec![0; 4096];
        let count = stream.read(&mut received).await.unwrap();
        let answer = crate::kept::answer("200 OK", "1");
        stream.write_all(answer.as_bytes()).await.unwrap();
        String::from_utf8_lossy(&received[..count]).to_lowercase()
    };

    let (result, received) = tokio::join!(entry.run(read()), target);

    assert_eq!(result.unwrap().status, 200);
    assert!(received.contains("connection: close"), "{received}");
}

/// A refused connection leads to the next target. If no target is reachable, the call fails quickly
/// and is correctly reported as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable() {
    let world = World::start().await;
    let (some, _) = entry(&world, vec![closed(), world.plain]);
    let (none, _) = entry(&world, vec![closed()]);
    let started = Instant::now();

    let result = some.run(read()).await;
    let refused = none.run(read()).await;

    assert_eq!(label(&result), "ok");
    assert_eq!(label(&refused), "not_run");
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// Retries do not amplify an outage: their number is bounded by the retry budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budget_bounds_retries() {
    const CALLS: usize = 100;
    let world = World::start().await;
    world.plain_fault(json!({"refuse": true})).await;
    let (entry, reports) = entry(&world, vec![world.plain]);

    for _ in 0..CALLS {
        entry.run(read()).await.unwrap_err();
    }

    let sends = reports.lock().len();
    println!("{sends} sends for {CALLS} calls");
    // The retry budget is a tenth of the calls plus the reserve of an account.
    assert!(sends <= CALLS + CALLS / 10 + 3, "{sends} sends");
}

/// A service that hangs delays a caller by no more than the declared timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn timeout_is_kept() {
    let world = World::start().await;
    world.plain_fault(json!({"freeze": true})).await;
    let (entry, _) = entry(&world, vec![world.plain]);
    let started = Instant::now();

    let result = entry.run(read()).await;

    assert_eq!(label(&result), "unknown");
    assert!(started.elapsed() < Duration::from_millis(2000));
}
