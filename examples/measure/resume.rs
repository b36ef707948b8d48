//! The gap that a caller sees when an engine or its entry instance is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::http::Client;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio_util::sync::CancellationToken;

use super::Budget;
use super::caller::CallerRequest;
use super::engine::fault::Control;
use super::engine::options::{Crash, Options};
use super::lab::{KEY, Lab, SERVICE};
use super::naive::{self, Got, worst_gap};
use super::table::{Spread, Table};

/// Generations of each kind in one round.
const STREAMS: usize = 16;

/// Tokens of a generation.
const TOKENS: u64 = 400;

/// Time between two tokens.
const TOKEN: Duration = Duration::from_millis(10);

/// Engines of a round.
const ENGINES: usize = 4;

/// How long a paused engine stands still.
const PAUSE_MS: u64 = 8_000;

/// Time in which instances learn of each other before the load starts.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Longest time for one whole answer.
const PATIENCE: Duration = Duration::from_secs(40);

/// Pause before a caller comes back.
const COME_BACK: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Reset,
    Pause,
    Silent,
    Entry,
}

impl Fault {
    const ALL: [Self; 4] = [Self::Reset, Self::Pause, Self::Silent, Self::Entry];

    fn name(self) -> &'static str {
        match self {
            Self::Reset => "engine reset",
            Self::Pause => "engine paused 8 s",
            Self::Silent => "connections silent",
            Self::Entry => "entry instance lost",
        }
    }
}

struct Row {
    ours: Spread,
    ours_cut: usize,
    naive: Spread,
    naive_cut: usize,
}

/// Runs rounds of every fault until the time is used up.
pub async fn measure(budget: Budget) -> anyhow::Result<Vec<Table>> {
    let begun = Instant::now();
    let mut rows: Vec<_> = Fault::ALL.iter().map(|_| Row::new()).collect();
    let mut rng = StdRng::seed_from_u64(budget.seed);
    let mut longest = Duration::ZERO;
    let mut rounds = 0;
    while rounds == 0 || begun.elapsed() + longest < budget.time {
        let started = Instant::now();
        for (fault, row) in Fault::ALL.into_iter().zip(&mut rows) {
            round(fault, row, &mut rng).await?;
        }
        longest = longest.max(started.elapsed());
        rounds += 1;
    }
    let title = format!(
        "gap seen by callers whose stream was hit, ms; {rounds} rounds, {STREAMS} streams each, \
         a token every {} ms; baseline: random engine, restart from token 0 after a reset or \
         {} s of silence",
        TOKEN.as_millis(),
        naive::SILENCE.as_secs()
    );
    let columns = [
        "fault",
        "system",
        "count",
        "median",
        "p95",
        "worst",
        "not whole",
    ];
    let mut table = Table::new(title, &columns);
    for (fault, row) in Fault::ALL.into_iter().zip(&rows) {
        table.row(cells(fault, "endivefork", &row.ours, row.ours_cut));
        table.row(cells(fault, "baseline", &row.naive, row.naive_cut));
    }
    Ok(vec![table])
}

fn cells(fault: Fault, system: &str, spread: &Spread, cut: usize) -> Vec<String> {
    let mut cells = vec![fault.name().to_owned(), system.to_owned()];
    cells.extend(spread.cells());
    cells.push(cut.to_string());
    cells
}

impl Row {
    fn new() -> Self {
        Self {
            ours: Spread::new(),
            ours_cut: 0,
            naive: Spread::new(),
            naive_cut: 0,
        }
    }
}

async fn round(fault: Fault, row: &mut Row, rng: &mut StdRng) -> anyhow::Result<()> {
    let mut lab = Lab::new().await?;
    for i in 0..ENGINES {
        let options = Options {
            name: format!("engine-{i}"),
            token: TOKEN,
            slots: 4 * STREAMS,
            crash: Crash::Reset,
            ..Options::default()
        };
        lab.engine(options).await?;
    }
    lab.entry().await?;
    lab.entry().await?;
    lab.ready().await?;
    tokio::time::sleep(SETTLE).await;
    let engines: Vec<_> = lab.targets.iter().map(|target| target.addr).collect();
    let entries: Vec<_> = lab.entries.iter().map(|entry| entry.caller).collect();
    let cut = CancellationToken::new();
    let (mut ours, mut naive) = (Vec::new(), Vec::new());
    for i in 0..STREAMS {
        let start = Duration::from_millis(rng.random_range(0..500));
        let (client, entries) = (lab.client.clone(), entries.clone());
        let prompt = format!("ours {i} {}", rng.random::<u32>());
        ours.push((
            prompt.clone(),
            tokio::spawn(async move {
                tokio::time::sleep(start).await;
                generate(client, entries, prompt).await
            }),
        ));
        let (client, engines) = (lab.client.clone(), engines.clone());
        let prompt = format!("naive {i} {}", rng.random::<u32>());
        let (seeded, cut) = (StdRng::seed_from_u64(rng.random()), cut.clone());
        naive.push((
            prompt.clone(),
            tokio::spawn(async move {
                tokio::time::sleep(start).await;
                naive::generate(client, engines, prompt, TOKENS, seeded, cut).await
            }),
        ));
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(1_200..2_500))).await;
    let (hit, moment) = inject(fault, &mut lab, &cut);
    let struck = |prompt: &str| {
        hit.as_ref()
            .is_none_or(|hit| hit.iter().any(|p| p == prompt))
    };
    for (prompt, task) in ours {
        let got = task.await?;
        row.ours_cut += usize::from(!got.whole);
        if struck(&prompt) {
            row.ours.add(worst_gap(&got.times, moment));
        }
    }
    for (prompt, task) in naive {
        let got = task.await?;
        row.naive_cut += usize::from(!got.whole);
        if struck(&prompt) {
            row.naive.add(worst_gap(&got.times, moment));
        }
    }
    Ok(())
}

/// Strikes, and returns the prompts that were hit; none stands for all.
fn inject(fault: Fault, lab: &mut Lab, cut: &CancellationToken) -> (Option<Vec<String>>, Instant) {
    let control = match fault {
        Fault::Entry => {
            lab.entries[0].kill();
            cut.cancel();
            return (None, Instant::now());
        }
        Fault::Reset => Control {
            crash: true,
            ..Control::default()
        },
        Fault::Pause => Control {
            freeze_ms: Some(PAUSE_MS),
            ..Control::default()
        },
        Fault::Silent => Control {
            silent: true,
            ..Control::default()
        },
    };
    let Some(target) = lab.busiest() else {
        return (Some(Vec::new()), Instant::now());
    };
    let hit = target.engine.prompts();
    target.engine.control(control);
    (Some(hit), Instant::now())
}

/// One answer from the first entry instance; the caller comes back to the next one with its key
/// and cursor when the connection breaks.
async fn generate(client: Client, entries: Vec<std::net::SocketAddr>, prompt: String) -> Got {
    let begun = Instant::now();
    let mut got = Got::default();
    let mut ask = CallerRequest::completion(entries[0], SERVICE, &prompt, TOKENS as u32)
        .account(KEY)
        .key(&prompt);
    let expected = Arc::new(prompt);
    while !got.whole && begun.elapsed() < PATIENCE {
        let at = entries[got.starts as usize % entries.len()];
        got.starts += 1;
        ask = ask.at(at);
        if let Some(last) = (got.times.len() as u64).checked_sub(1) {
            ask = ask.last(last);
        }
        let left = PATIENCE.saturating_sub(begun.elapsed());
        let Ok(seen) = tokio::time::timeout(left, ask.all(&client)).await else {
            break;
        };
        for token in &seen.tokens {
            let next = got.times.len() as u64;
            let right = super::engine::token::token(&expected, next);
            if token.id != next || token.text != right {
                return got;
            }
            got.times.push(token.at);
        }
        got.whole = seen.done && got.times.len() as u64 == TOKENS;
        if seen.error.is_some() && !got.whole && seen.status.is_client_error() {
            break;
        }
        tokio::time::sleep(COME_BACK).await;
    }
    got
}
