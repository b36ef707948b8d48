//! Measures on stand-ins, each beside a baseline in the same run.
//!
//! `cargo run --release --example measure -- resume|resources|moves|control [--seed N]
//! [--seconds N] [--json]`. A run is bounded and ends by itself.

#[path = "../tests/support/caller.rs"]
#[allow(dead_code, reason = "a part of it is for the policy's test")]
mod caller;
#[path = "measure/child.rs"]
mod child;
#[path = "measure/control.rs"]
mod control;
#[path = "standin/engine/mod.rs"]
#[allow(dead_code, reason = "a part of it is for its own program")]
mod engine;
#[path = "standin/lab.rs"]
#[allow(dead_code, reason = "a part of it is for the quick start")]
mod lab;
#[path = "measure/line.rs"]
mod line;
#[path = "measure/moves.rs"]
mod moves;
#[path = "measure/naive.rs"]
mod naive;
#[path = "standin/platform/mod.rs"]
#[allow(dead_code, reason = "a part of it is for its own program")]
mod platform;
#[path = "measure/resources.rs"]
mod resources;
#[path = "measure/resume.rs"]
mod resume;
#[path = "../tests/rollout/simulation.rs"]
#[allow(dead_code, reason = "a part of it is for the policy's test")]
mod simulation;
#[path = "measure/table.rs"]
mod table;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use table::Table;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Measure endivefork on stand-ins, beside a baseline in the same run.
#[derive(Debug, FromArgs)]
struct Args {
    /// resume, resources, moves or control
    #[argh(positional)]
    what: String,

    /// settings of an instance that this program starts of itself
    #[argh(positional, hidden_help)]
    rest: Vec<String>,

    /// seed of all choices
    #[argh(option, default = "1")]
    seed: u64,

    /// time after which no new round begins
    #[argh(option, default = "120")]
    seconds: u64,

    /// print JSON in place of tables
    #[argh(switch)]
    json: bool,
}

/// What a measurement may use.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Seed of all choices.
    pub seed: u64,
    /// Time after which no new round begins.
    pub time: Duration,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let budget = Budget {
        seed: args.seed,
        time: Duration::from_secs(args.seconds),
    };
    let tables: Vec<Table> = match args.what.as_str() {
        "resume" => runtime.block_on(resume::measure(budget))?,
        "resources" => runtime.block_on(resources::measure(budget))?,
        "moves" => moves::measure(budget),
        "control" => runtime.block_on(control::measure(budget))?,
        "child-entry" => {
            let file = args.rest.first().map(PathBuf::from).unwrap_or_default();
            return runtime.block_on(child::entry(&file));
        }
        "child-engines" => {
            let count = args.rest.first().and_then(|n| n.parse().ok()).unwrap_or(1);
            return runtime.block_on(child::engines(count));
        }
        other => anyhow::bail!("no measure is named `{other}`: resume, resources, moves, control"),
    };
    runtime.shutdown_background();
    match args.json {
        true => println!(
            "{:#}",
            serde_json::json!({ "seed": args.seed, "tables": tables })
        ),
        false => {
            println!("measure {} --seed {}", args.what, args.seed);
            for table in &tables {
                table.print();
            }
        }
    }
    Ok(())
}
