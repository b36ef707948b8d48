//! The command line, one file for each subcommand.

mod account;
mod apply;
mod check;
mod events;
mod exit;
mod init;
mod moves;
mod remote;
mod serve;
mod service;
mod status;
mod table;
mod version;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use remote::Remote;

/// Endivefork serves long generations and plain calls through a fleet of small entry instances.
///
/// Newcomers begin with `endivefork init`, which asks about workloads, deadlines and risk and
/// writes commented settings and a services configuration.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The administration commands (status, events, service, account, version, move, apply)
  talk to the administration address of any instance: --admin ADDR or the variable
  ENDIVEFORK_ADMIN. The operator key comes from --key-file FILE or the variable
  ENDIVEFORK_OPERATOR_KEY. These options and --json may stand anywhere.",
    example = "Write and check a first configuration:
  $ {command_name} init --answers examples/answers/hire.ini --out conf
  $ {command_name} check conf/settings.ini conf/services.ini",
    example = "Move traffic to a new version and wait for the verdict:
  $ {command_name} move start drafting-llm --to v2 --finish-in 6h --max-share 0.1
  $ {command_name} move wait drafting-llm",
    error_code(
        1,
        "The instance or the platform could not be reached, or another failure."
    ),
    error_code(2, "The command line is wrong."),
    error_code(3, "A file or a change has faults; all are listed."),
    error_code(4, "Another change came first; both sides are shown."),
    error_code(5, "The operator key is missing or not known."),
    error_code(6, "No object of that name."),
    error_code(7, "The outcome of the change is not known: its answer was lost."),
    error_code(10, "move wait: the move was withdrawn."),
    error_code(11, "move wait: the time is up.")
)]
struct Endivefork {
    /// administration address of any instance
    #[argh(option)]
    admin: Option<std::net::SocketAddr>,

    /// file that holds the operator key
    #[argh(option)]
    key_file: Option<PathBuf>,

    /// print JSON in place of tables
    #[argh(switch)]
    json: bool,

    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    Serve(serve::Serve),
    Check(check::Check),
    Init(init::Init),
    Status(status::Status),
    Events(events::Events),
    Service(service::Service),
    Account(account::Account),
    Version(version::Version),
    Move(moves::Move),
    Apply(apply::Apply),
}

/// Runs the program with the process's arguments.
#[must_use]
pub fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let args = globals_first(args);
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    match Endivefork::from_args(&["endivefork"], &args) {
        Ok(command) => exit::code(command.run()),
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(early) => {
            eprintln!(
                "{}\nRun `endivefork --help` for more.",
                early.output.trim_end()
            );
            ExitCode::from(exit::USAGE)
        }
    }
}

impl Endivefork {
    fn run(self) -> anyhow::Result<ExitCode> {
        let remote = || Remote::new(self.admin, self.key_file.as_deref(), self.json);
        match self.verb {
            Verb::Serve(command) => command.run().map(|()| ExitCode::SUCCESS),
            Verb::Check(command) => command.run(self.json),
            Verb::Init(command) => command.run(),
            Verb::Status(command) => command.run(&remote()?),
            Verb::Events(command) => command.run(&remote()?),
            Verb::Service(command) => command.run(&remote()?),
            Verb::Account(command) => command.run(&remote()?),
            Verb::Version(command) => command.run(&remote()?),
            Verb::Move(command) => command.run(&remote()?),
            Verb::Apply(command) => command.run(&remote()?),
        }
    }
}

/// Puts the options of every command before the subcommand, where the parser wants them.
fn globals_first(args: Vec<String>) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--json" => globals.push(arg),
            "--admin" | "--key-file" => {
                globals.push(arg);
                globals.extend(args.next());
            }
            _ => rest.push(arg),
        }
    }
    globals.extend(rest);
    globals
}
