//! How callers and targets spell what the relay has to know of a message's head.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::progress::Report;

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Id of the request.
    pub id: SmolStr,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Key of the account.
    pub key: Option<SmolStr>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens that the output will have, as far as the caller knows.
    pub output: u32,
    /// Event after which a stream goes on.
    pub last: Option<u64>,
    /// Names the parts of the prompt.
    pub parts: SmolStr,
}

/// Names a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copied {
    /// Address of the engine that gave the handle: the one that holds a copy kept while the run
    /// goes on, the one that ran it for a copy made by order.
    pub at: SocketAddr,
    /// Handle; the run's id for a copy kept while the run goes on.
    pub handle: SmolStr,
}

/// What one attempt tells its target.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Time left to answer in.
    pub left: Option<Duration>,
    /// Name of the target.
    pub target: &'a str,
    /// Account that asks.
    pub account: Option<&'a str>,
    /// Event after which the stream goes on.
    pub last: Option<u64>,
    /// Engine that is to hold a copy of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Copy that the run goes on from.
    pub copied: Option<&'a Copied>,
}

/// What a target's head says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// It did not run the request, and says so.
    pub not_run: bool,
    /// The address belongs to another target.
    pub misdirected: bool,
    /// It bears the target's signature.
    pub signed: bool,
    /// It names the request that it answers.
    pub named: bool,
    /// It answers another request.
    pub foreign: bool,
    /// Something on the way has encoded the body.
    pub encoded: bool,
    /// The connection may not be used again.
    pub close: bool,
    /// How long the target keeps the idle connection, if it says so.
    pub keep: Option<Duration>,
}

/// One dialect.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Path of the readiness check.
    pub ready: &'static str,
    /// Reads a caller's head; the reason when it is malformed.
    pub ask: fn(&HeaderMap) -> Result<Ask, &'static str>,
    /// Removes from a caller's head what must not reach a target.
    pub strip: fn(&mut HeaderMap),
    /// Writes what one attempt tells its target.
    pub attempt: fn(&mut HeaderMap, &Attempt<'_>),
    /// Reads a target's head in answer to the request of this id.
    pub head: fn(&str, StatusCode, &HeaderMap) -> Head,
    /// Name of the target that answered a health check.
    pub name: fn(&HeaderMap) -> Option<SmolStr>,
    /// The order to copy the memory of a run to another engine, or to bring the copy there up to
    /// date.
    pub copy: fn(&str, SocketAddr) -> Option<Request<Full<Bytes>>>,
    /// Path of an engine's report.
    pub report: &'static str,
    /// Reads an engine's report.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Reads the handle of a copy.
    pub copy_handle: fn(&[u8]) -> Option<SmolStr>,
    /// Removes from a target's head what must not reach a caller.
    pub pass: fn(&mut HeaderMap),
}

impl fmt::Debug for Dialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dialect")
    }
}
