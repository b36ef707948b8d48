//! `endivefork version`.

use std::process::ExitCode;

use argh::FromArgs;
use serde_json::{Value, json};

use super::remote::{Remote, segment};
use super::table;

/// List, add or remove versions of a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "version")]
pub(crate) struct Version {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
    Put(Put),
    Delete(Delete),
}

/// List the versions of a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// service
    #[argh(positional)]
    service: String,
}

/// Add or change a version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// service
    #[argh(positional)]
    service: String,

    /// version
    #[argh(positional)]
    version: String,

    /// model that its engines load; none for plain services
    #[argh(option, default = "String::new()")]
    model: String,

    /// revision of the service that the change is based on
    #[argh(option)]
    base: u64,
}

/// Remove a version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
struct Delete {
    /// service
    #[argh(positional)]
    service: String,

    /// version
    #[argh(positional)]
    version: String,

    /// revision of the service that the change is based on
    #[argh(option)]
    base: u64,
}

impl Version {
    pub(crate) fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        match self.verb {
            Verb::List(list) => {
                let path = format!("services/{}", segment(&list.service)?);
                remote.show(&remote.get(&path)?, print);
            }
            Verb::Put(put) => {
                let path = path(&put.service, &put.version, put.base)?;
                remote.changed(&remote.put(&path, &json!({ "model": put.model }))?);
            }
            Verb::Delete(delete) => {
                let path = path(&delete.service, &delete.version, delete.base)?;
                remote.changed(&remote.delete(&path)?);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn path(service: &str, version: &str, base: u64) -> anyhow::Result<String> {
    let (service, version) = (segment(service)?, segment(version)?);
    Ok(format!("services/{service}/versions/{version}?base={base}"))
}

fn print(service: &Value) {
    let in_force = service["value"]["version"].as_str().unwrap_or_default();
    let versions = service["value"]["versions"].as_object();
    let rows: Vec<_> = versions
        .into_iter()
        .flatten()
        .map(|(name, version)| {
            let mark = if name == in_force { "in force" } else { "" };
            [
                name.clone(),
                table::cell(version, "/model"),
                mark.to_owned(),
            ]
        })
        .collect();
    table::print(["VERSION", "MODEL", "TRAFFIC"], &rows);
}
