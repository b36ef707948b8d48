//! Exit codes, as the help of the program lists them.

use std::process::ExitCode;

use super::remote::Refused;
use crate::settings::Findings;

const FAILURE: u8 = 1;
pub(crate) const USAGE: u8 = 2;
pub(crate) const FINDINGS: u8 = 3;
const CONFLICT: u8 = 4;
const KEY: u8 = 5;
const NOT_FOUND: u8 = 6;
const UNKNOWN: u8 = 7;
pub(crate) const WITHDRAWN: u8 = 10;
pub(crate) const TIME_UP: u8 = 11;

/// Prints an error and turns it into its exit code.
pub(crate) fn code(outcome: anyhow::Result<ExitCode>) -> ExitCode {
    match outcome {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(number(&error))
        }
    }
}

fn number(error: &anyhow::Error) -> u8 {
    if error.downcast_ref::<Findings>().is_some() {
        return FINDINGS;
    }
    match error.downcast_ref::<Refused>() {
        Some(refused) if refused.unknown() => UNKNOWN,
        Some(refused) => match refused.status {
            400 | 422 => FINDINGS,
            401 => KEY,
            404 => NOT_FOUND,
            409 => CONFLICT,
            _ => FAILURE,
        },
        None => FAILURE,
    }
}
