//! The command line, one file for each subcommand.

use std::process::ExitCode;

/// Runs the program with the process's arguments.
#[must_use]
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
