//! Serves one long generation while its engine is killed in the middle, all in one process, and
//! prints what the caller saw. Exit code 0 only when the answer was whole.

#[path = "../tests/support/caller.rs"]
#[allow(dead_code, reason = "the quick start uses a part of it")]
mod caller;
#[path = "standin/engine/mod.rs"]
#[allow(dead_code, reason = "the quick start uses a part of it")]
mod engine;
#[path = "standin/lab.rs"]
#[allow(dead_code, reason = "the quick start uses a part of it")]
mod lab;
#[path = "standin/platform/mod.rs"]
#[allow(dead_code, reason = "the quick start uses a part of it")]
mod platform;

use std::cell::Cell;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use caller::{CallerRequest, Seen};
use engine::fault::Control;
use engine::options::{Crash, Options};
use lab::{Lab, SERVICE};

/// Tokens of the answer.
const TOKENS: u64 = 400;

/// The engine is killed when the caller has so many tokens.
const KILL_AT: u64 = 150;

/// Time between two tokens.
const TOKEN: Duration = Duration::from_millis(10);

/// The whole run ends after this time, whatever happens.
const LIMIT: Duration = Duration::from_secs(25);

const PROMPT: &str = "Describe how a long answer survives the loss of its engine.";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quickstart: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    let outcome = runtime.block_on(async { tokio::time::timeout(LIMIT, demonstrate()).await });
    runtime.shutdown_background();
    outcome.context("the run took too long")?
}

async fn demonstrate() -> anyhow::Result<bool> {
    let mut lab = Lab::new().await?;
    for i in 1..=3 {
        let options = Options {
            name: format!("engine-{i}"),
            token: TOKEN,
            crash: Crash::Reset,
            ..Options::default()
        };
        lab.engine(options).await?;
    }
    lab.entry().await?;
    lab.ready().await?;
    println!("started a platform, 3 engines and an entry instance in this process");

    let ask = CallerRequest::completion(lab.entries[0].caller, SERVICE, PROMPT, TOKENS as u32);
    let killed = Cell::new(None);
    let stream = ask.stream(&lab.client, |token| {
        if token.id == KILL_AT {
            killed.set(kill_busiest(&lab));
        }
        false
    });
    let seen = stream.await;
    if seen.tokens.is_empty() {
        bail!("no token came: {} {:?}", seen.status, seen.error);
    }
    let killed = killed.get().context("no engine was killed")?;
    Ok(report(&seen, killed))
}

fn kill_busiest(lab: &Lab) -> Option<Instant> {
    let target = lab.busiest()?;
    target.engine.control(Control {
        crash: true,
        ..Control::default()
    });
    println!("killed {} after token {KILL_AT}", target.name);
    Some(Instant::now())
}

fn report(seen: &Seen, killed: Instant) -> bool {
    let count = seen.tokens.len() as u64;
    let expected = (0..TOKENS).map(|i| engine::token::token(PROMPT, i));
    let same = seen.texts().into_iter().eq(expected);
    let in_order = seen.in_order(0);
    let mut steps = seen.tokens.windows(2);
    let gap = steps.find(|pair| pair[1].at > killed + TOKEN / 2);
    let gap = gap.map_or(Duration::ZERO, |pair| pair[1].at - pair[0].at);
    println!("tokens seen:  {count} of {TOKENS}");
    println!("in order:     {}", yes(in_order));
    println!("same text:    {}", yes(same));
    println!("end:          {}", seen.finish.as_deref().unwrap_or("none"));
    println!("longest gap:  {}", ms(seen.worst_gap()));
    println!("gap at kill:  {}", ms(gap));
    println!("usual gap:    {}", ms(TOKEN));
    let whole = in_order && same && seen.done && count == TOKENS;
    match whole {
        true => println!("the answer was whole"),
        false => println!("the answer was NOT whole: {:?}", seen.error),
    }
    whole
}

fn ms(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1e3)
}

fn yes(holds: bool) -> &'static str {
    if holds { "yes" } else { "no" }
}
