//! The command line, one file for each subcommand.

mod serve;

use std::process::ExitCode;

use argh::FromArgs;

/// Serves long generations and plain calls through a fleet of small entry instances.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    Serve(serve::Serve),
}

/// Runs the program with the process's arguments.
#[must_use]
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.verb {
        Verb::Serve(verb) => verb.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("endivefork: {e:#}");
            ExitCode::FAILURE
        }
    }
}
