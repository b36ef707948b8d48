//! `endivefork status`.

use std::process::ExitCode;

use argh::FromArgs;
use serde_json::Value;

use super::remote::Remote;
use super::table::{self, cell};

/// Show one instance, and the instances and targets that it knows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

impl Status {
    pub(crate) fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        let status = remote.get("status")?;
        remote.show(&status, print);
        Ok(ExitCode::SUCCESS)
    }
}

fn print(status: &Value) {
    println!(
        "{} in {} ({}): ready {}, configuration {}, services {}, accounts {}",
        cell(status, "/instance"),
        cell(status, "/domain"),
        cell(status, "/region"),
        cell(status, "/ready"),
        cell(status, "/rev"),
        cell(status, "/services"),
        cell(status, "/accounts"),
    );
    let fields = ["/name", "/domain", "/region", "/state", "/rev", "/age_ms"];
    println!();
    table::print(
        [
            "INSTANCE", "DOMAIN", "REGION", "STATE", "REVISION", "AGE MS",
        ],
        &rows(&status["instances"], fields),
    );
    let fields = [
        "/name", "/service", "/version", "/domain", "/state", "/running",
    ];
    println!();
    table::print(
        ["TARGET", "SERVICE", "VERSION", "DOMAIN", "STATE", "RUNNING"],
        &rows(&status["targets"], fields),
    );
}

/// One row for each item, one cell for each field.
pub(crate) fn rows<const N: usize>(items: &Value, fields: [&str; N]) -> Vec<[String; N]> {
    let items = items.as_array().into_iter().flatten();
    items
        .map(|item| fields.map(|field| cell(item, field)))
        .collect()
}
