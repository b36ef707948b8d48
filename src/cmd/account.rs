//! `endivefork account`.

use std::process::ExitCode;

use argh::FromArgs;
use serde_json::json;

use super::remote::{Remote, segment};
use super::status::rows;
use super::table;

/// List, change or delete client accounts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "account")]
pub(crate) struct Account {
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

/// List the accounts in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Create or change an account.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// account
    #[argh(positional)]
    name: String,

    /// hex SHA-256 of the account's key
    #[argh(option)]
    key_sha256: String,

    /// weight in the fair shares
    #[argh(option, default = "1")]
    weight: u32,

    /// most requests at once
    #[argh(option, default = "256")]
    concurrency: u32,

    /// revision that the change is based on, 0 for a new account
    #[argh(option)]
    base: u64,
}

/// Delete an account.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
struct Delete {
    /// account
    #[argh(positional)]
    name: String,

    /// revision that the change is based on
    #[argh(option)]
    base: u64,
}

impl Account {
    pub(crate) fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        match self.verb {
            Verb::List(_) => remote.show(&remote.get("accounts")?, |all| {
                let fields = ["/name", "/value/weight", "/value/concurrency", "/rev"];
                let headers = ["ACCOUNT", "WEIGHT", "CONCURRENCY", "REVISION"];
                table::print(headers, &rows(&all["items"], fields));
            }),
            Verb::Put(put) => {
                let path = format!("accounts/{}?base={}", segment(&put.name)?, put.base);
                let value = json!({
                    "key_sha256": put.key_sha256,
                    "weight": put.weight,
                    "concurrency": put.concurrency,
                });
                remote.changed(&remote.put(&path, &value)?);
            }
            Verb::Delete(delete) => {
                let path = format!("accounts/{}?base={}", segment(&delete.name)?, delete.base);
                remote.changed(&remote.delete(&path)?);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
