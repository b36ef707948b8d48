//! `endivefork apply`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use serde::Serialize;
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::remote::Remote;
use super::table;
use crate::setup::Plan;

/// Put the services and accounts of a services file in force; what the file does not name stays.
///
/// The version that carries a service's traffic is changed by moves alone: a service that exists
/// keeps its version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// services file
    #[argh(positional)]
    file: PathBuf,
}

/// What became of one object.
#[derive(Debug, Serialize)]
struct Applied {
    kind: &'static str,
    name: SmolStr,
    outcome: &'static str,
    rev: u64,
}

impl Apply {
    pub(crate) fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        let plan = Plan::read(&self.file)?;
        let mut all = Vec::new();
        for (name, service) in &plan.services {
            all.push(put(remote, "service", name, json!(service))?);
        }
        for (name, account) in &plan.accounts {
            all.push(put(remote, "account", name, json!(account))?);
        }
        remote.show(&json!(all), |_| {
            let rows: Vec<_> = all.iter().map(Applied::row).collect();
            table::print(["KIND", "NAME", "OUTCOME", "REVISION"], &rows);
        });
        Ok(ExitCode::SUCCESS)
    }
}

impl Applied {
    fn row(&self) -> [String; 4] {
        [
            self.kind.to_owned(),
            self.name.to_string(),
            self.outcome.to_owned(),
            self.rev.to_string(),
        ]
    }
}

fn put(remote: &Remote, kind: &'static str, name: &str, value: Value) -> anyhow::Result<Applied> {
    let path = format!("{kind}s/{name}");
    let present = remote.find(&path)?;
    let base = present.as_ref().map_or(0, rev);
    let value = match &present {
        Some(present) => keep_version(value, &present["value"]),
        None => value,
    };
    let (outcome, rev) = match &present {
        Some(present) if present["value"] == value => ("unchanged", base),
        Some(_) => (
            "changed",
            rev(&remote.put(&format!("{path}?base={base}"), &value)?),
        ),
        None => (
            "created",
            rev(&remote.put(&format!("{path}?base=0"), &value)?),
        ),
    };
    Ok(Applied {
        kind,
        name: name.into(),
        outcome,
        rev,
    })
}

fn keep_version(mut value: Value, present: &Value) -> Value {
    if let (Some(version), Some(_)) = (present.get("version"), value.get("version")) {
        value["version"] = version.clone();
    }
    value
}

fn rev(object: &Value) -> u64 {
    object["rev"].as_u64().unwrap_or_default()
}
