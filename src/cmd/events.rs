//! `endivefork events`.

use std::process::ExitCode;

use argh::FromArgs;

use super::remote::Remote;
use super::status::rows;
use super::table;

/// Show what happened lately, as one instance saw it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "events")]
pub(crate) struct Events {
    /// show only events after this number
    #[argh(option, default = "0")]
    after: u64,
}

impl Events {
    pub(crate) fn run(self, remote: &Remote) -> anyhow::Result<ExitCode> {
        let page = remote.get(&format!("events?after={}", self.after))?;
        remote.show(&page, |page| {
            let fields = ["/seq", "/at_ms", "/kind", "/name", "/rev", "/text"];
            let rows = rows(&page["items"], fields);
            table::print(
                ["SEQ", "UNIX MS", "KIND", "NAME", "REVISION", "EVENT"],
                &rows,
            );
        });
        Ok(ExitCode::SUCCESS)
    }
}
