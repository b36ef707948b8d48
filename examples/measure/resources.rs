//! What serving costs beyond the least that is possible.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use endivefork::http::Client;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use tokio_util::sync::CancellationToken;

use super::Budget;
use super::caller::CallerRequest;
use super::child::Process;
use super::engine::batch::Log;
use super::engine::cache::Cache;
use super::engine::fault::Control;
use super::engine::options::{Crash, Options};
use super::lab::{KEY, Lab, SERVICE};
use super::naive;
use super::table::{Spread, Table};

/// Time in which instances learn of each other and of the load.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Bytes of one token line between an engine and an instance.
const LINE_BYTES: u64 = 28;

/// Streams of the loss scenario.
const STREAMS: usize = 32;

/// Tokens of its streams.
const TOKENS: u64 = 300;

/// Shared preambles, their length in bytes, and requests for each.
const PREAMBLES: usize = 12;
const PREAMBLE_BYTES: usize = 4096;
const REQUESTS: usize = 16;

/// Blocks of 64 bytes in an engine's prefix cache: room for four preambles.
const CACHE_BLOCKS: usize = 4 * PREAMBLE_BYTES / 64 + 64;

/// Streams and their tokens where processor time is counted.
const CPU_STREAMS: usize = 64;
const CPU_TOKENS: u64 = 500;

/// Sequential requests where the first token's delay is compared.
const PROBES: usize = 400;

/// Runs every scenario once for the system and once for the baseline.
pub async fn measure(budget: Budget) -> anyhow::Result<Vec<Table>> {
    Ok(vec![
        losses(budget.seed).await?,
        prefixes(budget.seed).await?,
        regions(budget.seed).await?,
        overhead(budget.seed).await?,
    ])
}

fn options(i: usize) -> Options {
    Options {
        name: format!("engine-{i}"),
        slots: 256,
        crash: Crash::Reset,
        ..Options::default()
    }
}

/// Work of all engines so far.
fn work(lab: &Lab) -> Log {
    let logs = lab.targets.iter().map(|target| target.engine.log());
    logs.fold(Log::default(), |mut sum, log| {
        sum.tokens += log.tokens;
        sum.prefill += log.prefill;
        sum.recomputed += log.recomputed;
        sum
    })
}

/// One system's way to serve a prompt.
#[derive(Clone)]
struct Way {
    client: Client,
    entry: Option<SocketAddr>,
    engines: Vec<SocketAddr>,
}

impl Way {
    fn ours(lab: &Lab) -> Self {
        Self {
            entry: Some(lab.entries[0].caller),
            ..Self::naive(lab)
        }
    }

    fn naive(lab: &Lab) -> Self {
        Self {
            client: lab.client.clone(),
            entry: None,
            engines: lab.targets.iter().map(|target| target.addr).collect(),
        }
    }

    /// Whether the whole answer came, and when its first token did.
    async fn serve(&self, prompt: String, tokens: u64, seed: u64) -> (bool, Option<Duration>) {
        let begun = Instant::now();
        let Some(entry) = self.entry else {
            let rng = StdRng::seed_from_u64(seed);
            let (client, engines) = (self.client.clone(), self.engines.clone());
            let cut = CancellationToken::new();
            let got = naive::generate(client, engines, prompt, tokens, rng, cut).await;
            return (got.whole, got.times.first().map(|at| *at - begun));
        };
        let ask = CallerRequest::completion(entry, SERVICE, &prompt, tokens as u32).account(KEY);
        let seen = ask.all(&self.client).await;
        let whole = seen.done && seen.tokens.len() as u64 == tokens;
        (whole, seen.tokens.first().map(|token| token.at - begun))
    }
}

async fn lab(engines: impl IntoIterator<Item = (Options, &'static str)>) -> anyhow::Result<Lab> {
    let mut lab = Lab::new().await?;
    for (options, region) in engines {
        let domain = if region == "r1" { "d1" } else { "d2" };
        lab.engine_at(options, domain, region).await?;
    }
    lab.entry().await?;
    lab.ready().await?;
    tokio::time::sleep(SETTLE).await;
    Ok(lab)
}

/// One engine of four is reset in the middle of 32 streams.
async fn losses(seed: u64) -> anyhow::Result<Table> {
    let mut table = Table::new(
        format!("one of 4 engines reset under {STREAMS} streams of {TOKENS} tokens"),
        &[
            "system",
            "whole",
            "tokens made",
            "needed",
            "made twice",
            "prefill",
            "prefill for resumes",
        ],
    );
    for (name, way) in systems() {
        let lab = lab((0..4).map(|i| (options(i), "r1"))).await?;
        let way = way(&lab);
        let mut rng = StdRng::seed_from_u64(seed);
        let tasks: Vec<_> = (0..STREAMS)
            .map(|i| {
                let prompt = format!("{} {}", rng.random::<u32>(), "word ".repeat(40));
                let (way, seed) = (way.clone(), seed + i as u64);
                tokio::spawn(async move { way.serve(prompt, TOKENS, seed).await })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        if let Some(target) = lab.busiest() {
            target.engine.control(Control {
                crash: true,
                ..Control::default()
            });
        }
        let mut whole = 0;
        for task in tasks {
            whole += usize::from(task.await?.0);
        }
        let log = work(&lab);
        let needed = STREAMS as u64 * TOKENS;
        table.row([
            name.to_owned(),
            format!("{whole}/{STREAMS}"),
            log.tokens.to_string(),
            needed.to_string(),
            log.tokens.saturating_sub(needed).to_string(),
            log.prefill.to_string(),
            log.recomputed.to_string(),
        ]);
    }
    Ok(table)
}

type Make = fn(&Lab) -> Way;

fn systems() -> [(&'static str, Make); 2] {
    [("endivefork", Way::ours), ("baseline", Way::naive)]
}

/// Requests with shared preambles over engines whose caches hold a third of them.
async fn prefixes(seed: u64) -> anyhow::Result<Table> {
    let mut table = Table::new(
        format!(
            "{PREAMBLES} shared preambles of {PREAMBLE_BYTES} B, {REQUESTS} requests each, 4 engines \
             with room for 4 preambles; least: one cache without bound"
        ),
        &[
            "system",
            "whole",
            "prefill",
            "least",
            "ratio",
            "first token median ms",
            "p95 ms",
        ],
    );
    for (name, way) in systems() {
        let engines = (0..4).map(|i| {
            let cache = CACHE_BLOCKS;
            (
                Options {
                    cache,
                    ..options(i)
                },
                "r1",
            )
        });
        let lab = lab(engines).await?;
        let way = way(&lab);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut prompts = prompts(&mut rng);
        prompts.shuffle(&mut rng);
        let mut first = Spread::new();
        let mut whole = 0;
        for (i, batch) in prompts.chunks(8).enumerate() {
            let served = batch
                .iter()
                .enumerate()
                .map(|(j, prompt)| way.serve(prompt.clone(), 20, seed + (8 * i + j) as u64));
            for (done, delay) in join_all(served).await {
                whole += usize::from(done);
                first.add(delay.unwrap_or_default());
            }
        }
        let log = work(&lab);
        let mut endless = Cache::new(usize::MAX, 0);
        let least: u64 = prompts.iter().map(|prompt| endless.touch(prompt)).sum();
        table.row([
            name.to_owned(),
            format!("{whole}/{}", prompts.len()),
            log.prefill.to_string(),
            least.to_string(),
            format!("{:.2}", log.prefill as f64 / least.max(1) as f64),
            first.quantile(0.5),
            first.quantile(0.95),
        ]);
    }
    Ok(table)
}

fn prompts(rng: &mut StdRng) -> Vec<String> {
    let letters: Vec<_> = ('a'..='z').collect();
    let mut preamble = || -> String {
        let letters = (0..PREAMBLE_BYTES).map(|_| *letters.choose(rng).unwrap_or(&'a'));
        letters.collect()
    };
    let preambles: Vec<_> = (0..PREAMBLES).map(|_| preamble()).collect();
    let requests = preambles
        .iter()
        .flat_map(|preamble| (0..REQUESTS).map(move |i| format!("{preamble} request {i}")));
    requests.collect()
}

/// Two engines in the instance's region and two beyond a billed link, with room in both.
async fn regions(seed: u64) -> anyhow::Result<Table> {
    let mut table = Table::new(
        format!("2 engines in the region, 2 in another, 48 streams; {LINE_BYTES} B a token"),
        &[
            "system",
            "whole",
            "tokens",
            "tokens from the other region",
            "billed bytes",
            "least",
        ],
    );
    for (name, way) in systems() {
        let engines = (0..4).map(|i| (options(i), if i < 2 { "r1" } else { "r2" }));
        let lab = lab(engines).await?;
        let way = way(&lab);
        let served = (0..48).map(|i| way.serve(format!("region {i}"), 100, seed + i));
        let whole = join_all(served)
            .await
            .iter()
            .filter(|(whole, _)| *whole)
            .count();
        let far: u64 = lab.targets[2..]
            .iter()
            .map(|target| target.engine.log().tokens)
            .sum();
        table.row([
            name.to_owned(),
            format!("{whole}/48"),
            work(&lab).tokens.to_string(),
            far.to_string(),
            (far * LINE_BYTES).to_string(),
            "0".to_owned(),
        ]);
    }
    Ok(table)
}

/// Processor time of an instance in its own process, and the delay that it adds.
async fn overhead(seed: u64) -> anyhow::Result<Table> {
    let mut table = Table::new(
        format!(
            "{CPU_STREAMS} streams of {CPU_TOKENS} tokens, then {PROBES} requests of one token, in turn with direct ones"
        ),
        &[
            "system",
            "whole",
            "cpu us a token",
            "first token median ms",
            "p99 ms",
            "added p99 ms",
        ],
    );
    let lab = Lab::new().await?;
    let engines = Process::start(&["child-engines", "4"])?;
    let addrs: Vec<SocketAddr> = engines
        .banner
        .split_whitespace()
        .filter_map(|addr| addr.parse().ok())
        .collect();
    for (i, addr) in addrs.iter().enumerate() {
        lab.list(serde_json::json!({
            "name": format!("engine-{i}"), "role": "engine", "addr": addr, "domain": "d1",
            "region": "r1", "service": SERVICE, "version": "v1", "state": "live",
        }))
        .await?;
    }
    let entry = super::control::start_entry(&lab, "entry-0").await?;
    super::control::until_ready(&lab, &entry).await?;
    tokio::time::sleep(SETTLE).await;
    let direct = Way {
        client: lab.client.clone(),
        entry: None,
        engines: addrs,
    };
    let ours = Way {
        entry: Some(entry.addr("caller")?),
        ..direct.clone()
    };
    let before = entry.cpu();
    let served = (0..CPU_STREAMS).map(|i| ours.serve(format!("cpu {i}"), CPU_TOKENS, seed));
    let whole = join_all(served)
        .await
        .iter()
        .filter(|(whole, _)| *whole)
        .count();
    let cpu = entry.cpu().saturating_sub(before).as_micros() as f64;
    let per_token = cpu / (CPU_STREAMS as f64 * CPU_TOKENS as f64);
    let (mut ours_first, mut direct_first) = (Spread::new(), Spread::new());
    for i in 0..PROBES {
        ours_first.add(probe(&ours, "ours", i).await);
        direct_first.add(probe(&direct, "direct", i).await);
    }
    let added = ours_first.at(0.99) - direct_first.at(0.99);
    table.row([
        "endivefork".to_owned(),
        format!("{whole}/{CPU_STREAMS}"),
        format!("{per_token:.2}"),
        ours_first.quantile(0.5),
        ours_first.quantile(0.99),
        format!("{added:.1}"),
    ]);
    table.row([
        "direct".to_owned(),
        "-".to_owned(),
        "-".to_owned(),
        direct_first.quantile(0.5),
        direct_first.quantile(0.99),
        "-".to_owned(),
    ]);
    Ok(table)
}

/// Delay of the first token of one short request.
async fn probe(way: &Way, name: &str, i: usize) -> Duration {
    let (_, first) = way.serve(format!("{name} probe {i}"), 1, i as u64).await;
    first.unwrap_or_default()
}
