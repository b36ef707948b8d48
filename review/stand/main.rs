//! The cases of the review. Each starts the project's own program as separate processes, on loopback
//! addresses, between stand-ins of the store, replicas and clients.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#![allow(dead_code, reason = "each case uses only some of it")]

mod client;
mod config;
mod http;
mod program;
mod proxy;
mod record;
mod replica;
mod store;

#[path = "../1/case.rs"]
mod case1;
#[path = "../2/case.rs"]
mod case2;
#[path = "../3/case.rs"]
mod case3;
#[path = "../4/case.rs"]
mod case4;
#[path = "../5/case.rs"]
mod case5;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// A rule that was broken, and how.
pub type Verdict = Result<(), String>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(number), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: cases NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new();
    let verdict = match number.as_str() {
        "1" => case1::run(trouble, &record),
        "2" => case2::run(trouble, &record),
        "3" => case3::run(trouble, &record),
        "4" => case4::run(trouble, &record),
        "5" => case5::run(trouble, &record),
        _ => {
            eprintln!("no such case: {number}");
            return ExitCode::from(2);
        }
    };
    let text = match &verdict {
        Ok(()) => "verdict: the rule held".to_owned(),
        Err(e) => format!("verdict: broken: {e}"),
    };
    record.line(&text);
    record.write(&folder);
    println!("{text}");
    ExitCode::from(u8::from(verdict.is_err()))
}
