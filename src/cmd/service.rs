//! `endivefork service`.

use std::io::Read as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context as _;
use argh::FromArgs;
use serde_json::Value;

use super::remote::{Remote, segment};
use super::table::{self, cell};

/// List, show, change or delete services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct Service {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
    Show(Show),
    Put(Put),
    Delete(Delete),
}

/// List the services in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Show a service with its revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// service
    #[argh(positional)]
    name: String,
}

/// Create or change a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// service
    #[argh(positional)]
    name: String,

    /// file with the service as JSON, or `-` for standard input
    #[argh(positional)]
    file: PathBuf,

    /// revision that the change is based on, 0 for a new service
    #[argh(option)]
    base: u64,
}

/// Delete a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
struct Delete {
    /// service
    #[argh(positional)]
    name: String,

    /// revision that the change is based on
    #[argh(option)]
    base: u64,
}

impl Service {
    pub(crate) fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        match self.verb {
            Verb::List(_) => remote.show(&remote.get("services")?, print),
            Verb::Show(show) => {
                let path = format!("services/{}", segment(&show.name)?);
                println!("{:#}", remote.get(&path)?);
            }
            Verb::Put(put) => {
                let path = format!("services/{}?base={}", segment(&put.name)?, put.base);
                remote.changed(&remote.put(&path, &read_json(&put.file)?)?);
            }
            Verb::Delete(delete) => {
                let path = format!("services/{}?base={}", segment(&delete.name)?, delete.base);
                remote.changed(&remote.delete(&path)?);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn print(services: &Value) {
    let items = services["items"].as_array().into_iter().flatten();
    let rows: Vec<_> = items
        .map(|item| {
            let routes = item["value"]["routes"].as_array().map_or(0, Vec::len);
            [
                cell(item, "/name"),
                cell(item, "/value/kind"),
                cell(item, "/value/version"),
                names(&item["value"]["versions"]),
                routes.to_string(),
                cell(item, "/value/fencing"),
                cell(item, "/rev"),
            ]
        })
        .collect();
    table::print(
        [
            "SERVICE", "KIND", "VERSION", "VERSIONS", "ROUTES", "FENCING", "REVISION",
        ],
        &rows,
    );
}

fn names(versions: &Value) -> String {
    let names = versions.as_object().into_iter().flat_map(|map| map.keys());
    names.cloned().collect::<Vec<_>>().join(",")
}

fn read_json(file: &Path) -> anyhow::Result<Value> {
    let mut text = String::new();
    match file.to_str() {
        Some("-") => std::io::stdin().read_to_string(&mut text).map(drop),
        _ => std::fs::read_to_string(file).map(|read| text = read),
    }
    .with_context(|| format!("could not read {}", file.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is not JSON", file.display()))
}
