//! `endivefork move`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use argh::FromArgs;
use serde_json::Value;

use super::exit::{TIME_UP, WITHDRAWN};
use super::remote::{Refused, Remote, segment};
use super::table::{self, cell};
use crate::admin::{Start as Asked, Withdraw as Taken};
use crate::settings::value;
use crate::setup::Plan;

/// Time between two looks at a move.
const POLL: Duration = Duration::from_millis(500);

/// Largest share of a move that names none.
const MAX_SHARE: f64 = 0.5;

/// Tries of a withdrawal while the move advances.
const WITHDRAW_TRIES: usize = 5;

/// Start, watch or withdraw moves of traffic between versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct Move {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
    Show(Show),
    Start(Start),
    Withdraw(Withdraw),
    Wait(Wait),
}

/// List the last move of each service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Show the last move of a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// service
    #[argh(positional)]
    service: String,
}

/// Start a move.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// service
    #[argh(positional)]
    service: String,

    /// new version
    #[argh(option)]
    to: String,

    /// time by which it must be done, such as 6h
    #[argh(option, from_str_fn(duration))]
    finish_in: Option<Duration>,

    /// largest share of requests before it is done, such as 0.25
    #[argh(option)]
    max_share: Option<f64>,

    /// services file whose [move SERVICE] section fills in what is left out
    #[argh(option)]
    plan: Option<PathBuf>,

    /// revision of the service's last move that this is based on; read when left out
    #[argh(option)]
    base: Option<u64>,
}

/// Take a running move back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// service
    #[argh(positional)]
    service: String,

    /// why
    #[argh(option, default = "String::new()")]
    reason: String,
}

/// Wait until a move ends: exit code 0 when done, 10 when withdrawn, 11 when the time is up.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wait")]
struct Wait {
    /// service
    #[argh(positional)]
    service: String,

    /// longest wait, such as 10m
    #[argh(
        option,
        from_str_fn(duration),
        default = "Duration::from_secs(24 * 3600)"
    )]
    timeout: Duration,
}

impl Move {
    pub(crate) fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        match self.verb {
            Verb::List(_) => remote.show(&remote.get("moves")?, |all| {
                let items = all["items"].as_array().cloned().unwrap_or_default();
                print(&items);
            }),
            Verb::Show(show) => {
                let found = remote.get(&path(&show.service)?)?;
                remote.show(&found, |found| print(std::slice::from_ref(found)));
            }
            Verb::Start(asked) => asked.run(remote)?,
            Verb::Withdraw(asked) => asked.run(remote)?,
            Verb::Wait(asked) => return asked.run(remote),
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl Start {
    fn run(self, remote: &Remote) -> anyhow::Result<()> {
        let path = path(&self.service)?;
        let base = match self.base {
            Some(base) => base,
            None => remote.find(&path)?.map_or(0, |last| rev(&last)),
        };
        let defaults = match &self.plan {
            Some(file) => Plan::read(file)?.moves.get(self.service.as_str()).cloned(),
            None => None,
        };
        let finish_in = self.finish_in.or(defaults.as_ref().map(|d| d.finish_in));
        let max_share = self.max_share.or(defaults.as_ref().map(|d| d.max_share));
        let asked = Asked {
            to: self.to.into(),
            finish_in_ms: finish_in
                .context("give --finish-in, or --plan with a [move SERVICE] section")?
                .as_millis() as u64,
            max_share: max_share.unwrap_or(MAX_SHARE),
        };
        remote.changed(&remote.post(&format!("{path}?base={base}"), &asked)?);
        Ok(())
    }
}

impl Withdraw {
    /// Tries again when only the move's step has changed in between.
    fn run(self, remote: &Remote) -> anyhow::Result<()> {
        let path = path(&self.service)?;
        let first = remote.get(&path)?;
        let mut base = rev(&first);
        for tries in 1.. {
            let taken = Taken {
                reason: self.reason.as_str().into(),
            };
            let outcome = remote.post(&format!("{path}/withdraw?base={base}"), &taken);
            let error = match outcome {
                Ok(changed) => {
                    remote.changed(&changed);
                    break;
                }
                Err(error) => error,
            };
            let status = error
                .downcast_ref::<Refused>()
                .map(|refused| refused.status);
            let present = remote.get(&path)?;
            let advanced = present["value"]["id"] == first["value"]["id"] && !ended(&present);
            if status != Some(409) || !advanced || tries == WITHDRAW_TRIES {
                return Err(error);
            }
            base = rev(&present);
        }
        Ok(())
    }
}

impl Wait {
    /// An instance that cannot be reached is asked again until the time is up.
    fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        let path = path(&self.service)?;
        let end = Instant::now() + self.timeout;
        loop {
            match remote.get(&path) {
                Ok(found) if ended(&found) => {
                    remote.show(&found, |found| print(std::slice::from_ref(found)));
                    let done = found["value"]["phase"] == "done";
                    return Ok(if done {
                        ExitCode::SUCCESS
                    } else {
                        ExitCode::from(WITHDRAWN)
                    });
                }
                Err(error) if error.downcast_ref::<Refused>().is_some() => return Err(error),
                _ => {}
            }
            if Instant::now() >= end {
                eprintln!("the move of {} has not ended in time", self.service);
                return Ok(ExitCode::from(TIME_UP));
            }
            std::thread::sleep(POLL.min(end.saturating_duration_since(Instant::now())));
        }
    }
}

fn path(service: &str) -> anyhow::Result<String> {
    Ok(format!("moves/{}", segment(service)?))
}

fn rev(object: &Value) -> u64 {
    object["rev"].as_u64().unwrap_or_default()
}

fn ended(object: &Value) -> bool {
    matches!(
        object["value"]["phase"].as_str(),
        Some("done" | "withdrawn")
    )
}

fn print(moves: &[Value]) {
    let rows: Vec<_> = moves
        .iter()
        .map(|item| {
            [
                cell(item, "/name"),
                cell(item, "/value/from"),
                cell(item, "/value/to"),
                cell(item, "/value/phase"),
                cell(item, "/value/step"),
                cell(item, "/value/max_share"),
                cell(item, "/value/reason"),
                cell(item, "/rev"),
            ]
        })
        .collect();
    table::print(
        [
            "SERVICE",
            "FROM",
            "TO",
            "PHASE",
            "STEP",
            "MAX SHARE",
            "REASON",
            "REVISION",
        ],
        &rows,
    );
}

fn duration(text: &str) -> Result<Duration, String> {
    value::duration(text).ok_or_else(|| "a whole number above 0 and ms, s, m or h".into())
}
