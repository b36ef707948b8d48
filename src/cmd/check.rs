//! `endivefork check`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;

use super::exit::FINDINGS;
use crate::settings::{Findings, KEYS, Settings};
use crate::setup::Plan;

/// Check settings and services files; list every fault with file, line and what is allowed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// settings or services files; the sections tell which
    #[argh(positional)]
    files: Vec<PathBuf>,

    /// list all keys of the settings
    #[argh(switch)]
    keys: bool,
}

impl Check {
    pub(crate) fn run(self, json: bool) -> anyhow::Result<ExitCode> {
        if self.keys {
            list_keys();
        } else if self.files.is_empty() {
            anyhow::bail!("name at least one file, or --keys");
        }
        let outcomes: Vec<_> = self.files.iter().map(|file| (file, check(file))).collect();
        let mut all = Findings::default();
        for (file, outcome) in outcomes {
            match outcome {
                Ok(kind) if !json => println!("{}: {kind} without faults", file.display()),
                Ok(_) => {}
                Err(findings) => all.0.extend(findings.0),
            }
        }
        match (json, all.0.is_empty()) {
            (true, _) => println!("{:#}", serde_json::json!({ "findings": all })),
            (false, true) => {}
            (false, false) => eprintln!("{all}"),
        }
        Ok(if all.0.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(FINDINGS)
        })
    }
}

fn check(file: &Path) -> Result<&'static str, Findings> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    match Plan::is_plan(&text) {
        true => Plan::read(file).map(|_| "services"),
        false => Settings::read(file).map(|_| "settings"),
    }
}

fn list_keys() {
    for key in KEYS {
        let default = key.default.unwrap_or("must be given");
        println!("[{}] {}: {}", key.section, key.name, key.about);
        println!("    default: {default}; allowed: {}", key.allowed);
    }
    println!("[operators] NAME: hex SHA-256 of that operator's key; nothing works without one");
}
