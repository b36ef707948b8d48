//! Overload of a service with entry instances and engines as separate processes.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;
use sha2::{Digest, Sha256};
use support::caller::{CallerRequest, Seen};
use support::world::World;

const SLOTS: usize = 16;
const TOKENS: u32 = 20;
const TOKEN_MS: u64 = 10;
/// Requests per second that the engines can serve.
const CAPACITY: f64 = SLOTS as f64 * 1000.0 / (TOKENS as f64 * TOKEN_MS as f64);
const ACCOUNTS: [&str; 4] = ["large", "small-1", "small-2", "small-3"];
const SHARE: f64 = CAPACITY / ACCOUNTS.len() as f64;

#[derive(Clone, Debug)]
struct Attempt {
    account: usize,
    started: Instant,
    elapsed: Duration,
    first_token: Option<Duration>,
    is_retry: bool,
    complete: bool,
    outcome: Option<String>,
}

type Log = Arc<Mutex<Vec<Attempt>>>;

async fn world() -> World {
    let mut world = World::new();
    world.configure().await;
    for name in ACCOUNTS {
        let hash = hex::encode(Sha256::digest(format!("key-{name}")));
        let account = json!({"key_sha256": hash, "concurrency": 10_000});
        world.store("account", name, &account).await;
    }
    let slots = (SLOTS / 2).to_string();
    let token = TOKEN_MS.to_string();
    for _ in 0..2 {
        let args = ["--slots", &slots, "--token-ms", &token];
        world.engine("v1", &args).await;
    }
    for _ in 0..2 {
        world.entry("").await;
    }
    world.ready().await;
    world
}

/// Sends `rate` requests per second of one account, to the instances in turn.
async fn send_load(world: Arc<World>, account: usize, rate: f64, length: Duration, log: Log) {
    let begin = Instant::now();
    let interval = Duration::from_secs_f64(1.0 / rate);
    let mut sent = 0;
    while begin.elapsed() < length {
        tokio::spawn(request_with_retries(
            Arc::clone(&world),
            account,
            sent,
            begin + length,
            Arc::clone(&log),
        ));
        sent += 1;
        tokio::time::sleep_until((begin + interval * sent).into()).await;
    }
}

/// Sends a request, and retries it after each answer with a retry time, until `end`.
async fn request_with_retries(
    world: Arc<World>,
    account: usize,
    number: u32,
    end: Instant,
    log: Log,
) {
    let name = ACCOUNTS[account];
    let key = format!("{name}-{number}-{:x}", rand::random::<u64>());
    let mut is_retry = false;
    loop {
        let at = (number as usize + usize::from(is_retry)) % world.entries.len();
        let mut ask = CallerRequest::completion(world.entries[at].caller, "llm", &key, TOKENS);
        ask.account = format!("key-{name}");
        ask.key = Some(key.clone());
        let started = Instant::now();
        let seen = ask.all(&world.client).await;
        log.lock().push(record(account, started, is_retry, &seen));
        let Some(wait) = retry_after(&seen).filter(|wait| Instant::now() + *wait < end) else {
            return;
        };
        tokio::time::sleep(wait).await;
        is_retry = true;
    }
}

fn record(account: usize, started: Instant, is_retry: bool, seen: &Seen) -> Attempt {
    let outcome = seen.error.as_ref().map(|e| &e["error"]["outcome"]);
    Attempt {
        account,
        started,
        elapsed: started.elapsed(),
        first_token: seen.tokens.first().map(|t| t.at - started),
        is_retry,
        complete: seen.done,
        outcome: outcome.and_then(|o| o.as_str()).map(str::to_owned),
    }
}

/// Wait before a retry: as in the `Retry-After` header, in whole seconds, rounded up.
fn retry_after(seen: &Seen) -> Option<Duration> {
    let ms = seen.error.as_ref()?["error"]["retry_after_ms"].as_u64()?;
    Some(Duration::from_secs(ms.div_ceil(1000)))
}

/// Applies loads given as multiples of a fair share, and returns the attempts made after the
/// warm-up.
async fn run_load(
    world: &Arc<World>,
    large: f64,
    small: f64,
    seconds: u64,
    warmup: u64,
) -> Vec<Attempt> {
    let log = Log::default();
    let length = Duration::from_secs(seconds);
    let begin = Instant::now();
    let loads = (0..ACCOUNTS.len()).map(|account| {
        let share = if account == 0 { large } else { small };
        let rate = share * SHARE;
        send_load(Arc::clone(world), account, rate, length, Arc::clone(&log))
    });
    futures_util::future::join_all(loads).await;
    // Lets requests that were admitted before the end complete.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let from = begin + Duration::from_secs(warmup);
    let attempts = log.lock().clone();
    attempts.into_iter().filter(|t| t.started >= from).collect()
}

fn quantile(mut values: Vec<Duration>, q: f64) -> Duration {
    values.sort_unstable();
    let at = (values.len() as f64 * q) as usize;
    let at = at.min(values.len().saturating_sub(1));
    values.get(at).copied().unwrap_or_default()
}

fn first_tokens(attempts: &[Attempt]) -> Vec<Duration> {
    let small = attempts.iter().filter(|t| t.account > 0);
    small.filter_map(|t| t.first_token).collect()
}

fn goodput(attempts: &[Attempt], seconds: u64) -> f64 {
    attempts.iter().filter(|t| t.complete).count() as f64 / seconds as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn small_accounts_are_served_beside_one_at_ten_times_its_share() {
    let world = Arc::new(world().await);

    let baseline = run_load(&world, 1.0, 2.0 / 3.0, 4, 1).await;
    let overload = run_load(&world, 10.0, 2.0 / 3.0, 10, 2).await;

    let (baseline_goodput, overload_goodput) = (goodput(&baseline, 3), goodput(&overload, 8));
    println!(
        "capacity {CAPACITY} per second; goodput {baseline_goodput:.1} at 0.75, {overload_goodput:.1} at 3.0"
    );
    for (account, name) in ACCOUNTS.iter().enumerate() {
        let made: Vec<_> = overload.iter().filter(|t| t.account == account).collect();
        let done = made.iter().filter(|t| t.complete).count();
        let offered = if account == 0 { 10.0 } else { 2.0 / 3.0 } * SHARE * 8.0;
        println!(
            "{name}: {offered:.0} offered, {done} done of {} attempts",
            made.len()
        );
        let served = done as f64 / offered;
        assert!(
            account == 0 || served >= 0.9,
            "{name}: {served:.2} of the offered requests were served"
        );
    }
    let (baseline_first, overload_first) = (first_tokens(&baseline), first_tokens(&overload));
    let baseline_p99 = quantile(baseline_first, 0.99);
    let p99 = quantile(overload_first, 0.99);
    println!(
        "first token of small accounts, p99: {baseline_p99:?} baseline, {p99:?} under overload"
    );
    assert!(p99 <= baseline_p99 + Duration::from_millis(500));

    let refused: Vec<_> = overload.iter().filter(|t| t.outcome.is_some()).collect();
    assert!(
        refused
            .iter()
            .all(|t| t.outcome.as_deref() == Some("not_run"))
    );
    let refusal_p95 = quantile(refused.iter().map(|t| t.elapsed).collect(), 0.95);
    println!("{} refusals, p95 after {refusal_p95:?}", refused.len());
    assert!(refusal_p95 <= Duration::from_millis(500));

    let retries: Vec<_> = overload.iter().filter(|t| t.is_retry).collect();
    let served = retries.iter().filter(|t| t.complete).count();
    println!("{served} of {} retries served", retries.len());
    assert!(!retries.is_empty());
    assert!(served * 10 >= retries.len() * 9);
    assert!(overload_goodput >= baseline_goodput);
}
