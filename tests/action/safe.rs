//! Calls that may be repeated: retried elsewhere, within a budget, and never later than asked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::action::{Actions, Call, Choose, Pick, Report, Rules};
use endivefork::config::Repeat;
use http::Method;
use parking_lot::Mutex;
use serde_json::json;

use crate::fixture::{World, call, word};

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

type Reports = Arc<Mutex<Vec<(SocketAddr, Report)>>>;

/// An entry over several services, in their order; what it reports of each is noted.
fn entry(world: &World, targets: Vec<SocketAddr>) -> (Actions, Reports) {
    let reports = Reports::default();
    let shared = Arc::clone(&reports);
    let choose: Choose = Arc::new(move |_, excluded| {
        let addr = *targets.iter().find(|t| !excluded.contains(t))?;
        let reports = Arc::clone(&shared);
        Some(Pick {
            addr,
            report: Box::new(move |report| reports.lock().push((addr, report))),
        })
    });
    let entry = Actions::new("a".into(), world.client(), choose, Rules::default());
    (entry, reports)
}

fn closed() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A fault of the first target; the second is well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retried_elsewhere() {
    let table = [
        (json!({"refuse": true}), Report::Answered(503)),
        (json!({"freeze": true}), Report::Lost),
    ];
    for (fault, expected) in table {
        let (bad, good) = (World::start().await, World::start().await);
        let (entry, reports) = entry(&good, vec![bad.plain, good.plain]);
        entry.run(read()).await.unwrap();
        bad.plain_fault(fault.clone()).await;

        let told = entry.run(read()).await;

        assert_eq!(told.unwrap().status, 200, "{fault}");
        let reports = reports.lock();
        assert_eq!(reports[1], (bad.plain, expected), "{fault}");
        assert_eq!(reports[2], (good.plain, Report::Answered(200)), "{fault}");
    }
}

/// Open connections to the first target go silent; new ones work. A call may find that no old one
/// is idle yet, so several rounds are played until one has used it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections() {
    const ROUNDS: usize = 20;
    let (bad, good) = (World::start().await, World::start().await);
    let (entry, reports) = entry(&good, vec![bad.plain, good.plain]);
    let lost = (bad.plain, Report::Lost);
    for _ in 0..ROUNDS {
        entry.run(read()).await.unwrap();
        bad.plain_fault(json!({"silent": true})).await;

        let told = entry.run(read()).await;

        assert_eq!(told.unwrap().status, 200);
        if reports.lock().contains(&lost) {
            break;
        }
    }
    let reports = reports.lock();
    let round = reports.iter().position(|r| *r == lost);
    let next = reports[round.expect("a silent connection was used") + 1];
    assert_eq!(next, (good.plain, Report::Answered(200)));
}

/// A refused connection leads to the next target; without any the refusal is true and quick.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable() {
    let world = World::start().await;
    let (some, _) = entry(&world, vec![closed(), world.plain]);
    let (none, _) = entry(&world, vec![closed()]);
    let begun = Instant::now();

    let told = some.run(read()).await;
    let refused = none.run(read()).await;

    assert_eq!(word(&told), "ok");
    assert_eq!(word(&refused), "not_run");
    assert!(begun.elapsed() < Duration::from_secs(1));
}

/// An outage is not multiplied: sends grow by the budget's share and its burst alone.
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
    // A tenth, and the reserve of an account.
    assert!(sends <= CALLS + CALLS / 10 + 3, "{sends} sends");
}

/// A frozen service costs a caller no more than the declared time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn timeout_is_kept() {
    let world = World::start().await;
    world.plain_fault(json!({"freeze": true})).await;
    let (entry, _) = entry(&world, vec![world.plain]);
    let begun = Instant::now();

    let told = entry.run(read()).await;

    assert_eq!(word(&told), "unknown");
    assert!(begun.elapsed() < Duration::from_millis(2000));
}
