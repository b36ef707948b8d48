//! Overload through entry instances and engines, each its own process.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;
use sha2::{Digest, Sha256};
use support::caller::{Ask, Seen};
use support::world::World;

const SLOTS: usize = 16;
const TOKENS: u32 = 20;
const TOKEN_MS: u64 = 10;
/// Requests a second that the engines can carry.
const CAPACITY: f64 = SLOTS as f64 * 1000.0 / (TOKENS as f64 * TOKEN_MS as f64);
const ACCOUNTS: [&str; 4] = ["large", "small-1", "small-2", "small-3"];
const SHARE: f64 = CAPACITY / ACCOUNTS.len() as f64;

#[derive(Clone, Debug)]
struct Tried {
    account: usize,
    asked: Instant,
    took: Duration,
    first_token: Option<Duration>,
    returned: bool,
    done: bool,
    outcome: Option<String>,
}

type Log = Arc<Mutex<Vec<Tried>>>;

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

/// Sends `rate` requests a second of one account, to the instances in turn.
async fn offer(world: Arc<World>, account: usize, rate: f64, length: Duration, log: Log) {
    let begun = Instant::now();
    let gap = Duration::from_secs_f64(1.0 / rate);
    let mut sent = 0;
    while begun.elapsed() < length {
        tokio::spawn(try_until_done(
            Arc::clone(&world),
            account,
            sent,
            begun + length,
            Arc::clone(&log),
        ));
        sent += 1;
        tokio::time::sleep_until((begun + gap * sent).into()).await;
    }
}

/// Tries once, and again as often as the answer says when, until `end`.
async fn try_until_done(world: Arc<World>, account: usize, turn: u32, end: Instant, log: Log) {
    let name = ACCOUNTS[account];
    let key = format!("{name}-{turn}-{:x}", rand::random::<u64>());
    let mut returned = false;
    loop {
        let at = (turn as usize + usize::from(returned)) % world.entries.len();
        let mut ask = Ask::completion(world.entries[at].caller, "llm", &key, TOKENS);
        ask.account = format!("key-{name}");
        ask.key = Some(key.clone());
        let asked = Instant::now();
        let seen = ask.all(&world.client).await;
        log.lock().push(tried(account, asked, returned, &seen));
        let Some(wait) = retry_after(&seen).filter(|wait| Instant::now() + *wait < end) else {
            return;
        };
        tokio::time::sleep(wait).await;
        returned = true;
    }
}

fn tried(account: usize, asked: Instant, returned: bool, seen: &Seen) -> Tried {
    let outcome = seen.error.as_ref().map(|e| &e["error"]["outcome"]);
    Tried {
        account,
        asked,
        took: asked.elapsed(),
        first_token: seen.tokens.first().map(|t| t.at - asked),
        returned,
        done: seen.done,
        outcome: outcome.and_then(|o| o.as_str()).map(str::to_owned),
    }
}

/// What the header says: whole seconds, rounded up.
fn retry_after(seen: &Seen) -> Option<Duration> {
    let ms = seen.error.as_ref()?["error"]["retry_after_ms"].as_u64()?;
    Some(Duration::from_secs(ms.div_ceil(1000)))
}

/// Offers loads, as multiples of a fair share, and returns the tries after the warm-up.
async fn load(world: &Arc<World>, large: f64, small: f64, seconds: u64, warmup: u64) -> Vec<Tried> {
    let log = Log::default();
    let length = Duration::from_secs(seconds);
    let begun = Instant::now();
    let offers = (0..ACCOUNTS.len()).map(|account| {
        let share = if account == 0 { large } else { small };
        let rate = share * SHARE;
        offer(Arc::clone(world), account, rate, length, Arc::clone(&log))
    });
    futures_util::future::join_all(offers).await;
    // What was admitted before the end comes to its own.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let from = begun + Duration::from_secs(warmup);
    let tries = log.lock().clone();
    tries.into_iter().filter(|t| t.asked >= from).collect()
}

fn quantile(mut values: Vec<Duration>, q: f64) -> Duration {
    values.sort_unstable();
    let at = (values.len() as f64 * q) as usize;
    let at = at.min(values.len().saturating_sub(1));
    values.get(at).copied().unwrap_or_default()
}

fn first_tokens(tries: &[Tried]) -> Vec<Duration> {
    let small = tries.iter().filter(|t| t.account > 0);
    small.filter_map(|t| t.first_token).collect()
}

fn goodput(tries: &[Tried], seconds: u64) -> f64 {
    tries.iter().filter(|t| t.done).count() as f64 / seconds as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn small_accounts_are_served_beside_one_at_ten_times_its_share() {
    let world = Arc::new(world().await);

    let calm = load(&world, 1.0, 2.0 / 3.0, 4, 1).await;
    let crowded = load(&world, 10.0, 2.0 / 3.0, 10, 2).await;

    let (before, after) = (goodput(&calm, 3), goodput(&crowded, 8));
    println!("capacity {CAPACITY} a second; goodput {before:.1} at 0.75, {after:.1} at 3.0");
    for (account, name) in ACCOUNTS.iter().enumerate() {
        let own: Vec<_> = crowded.iter().filter(|t| t.account == account).collect();
        let done = own.iter().filter(|t| t.done).count();
        let offered = if account == 0 { 10.0 } else { 2.0 / 3.0 } * SHARE * 8.0;
        println!(
            "{name}: {offered:.0} offered, {done} done of {} tries",
            own.len()
        );
        let kept = done as f64 / offered;
        assert!(account == 0 || kept >= 0.9, "{name} kept {kept:.2}");
    }
    let (calm_first, first) = (first_tokens(&calm), first_tokens(&crowded));
    let calm_p99 = quantile(calm_first, 0.99);
    let p99 = quantile(first, 0.99);
    println!("first token of small accounts, p99: {calm_p99:?} calm, {p99:?} crowded");
    assert!(p99 <= calm_p99 + Duration::from_millis(500));

    let refused: Vec<_> = crowded.iter().filter(|t| t.outcome.is_some()).collect();
    assert!(
        refused
            .iter()
            .all(|t| t.outcome.as_deref() == Some("not_run"))
    );
    let early = quantile(refused.iter().map(|t| t.took).collect(), 0.95);
    println!("{} refusals, p95 after {early:?}", refused.len());
    assert!(early <= Duration::from_millis(500));

    let returns: Vec<_> = crowded.iter().filter(|t| t.returned).collect();
    let served = returns.iter().filter(|t| t.done).count();
    println!("{served} of {} returns served", returns.len());
    assert!(!returns.is_empty());
    assert!(served * 10 >= returns.len() * 9);
    assert!(after >= before);
}
