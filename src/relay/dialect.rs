//! Protocol of callers and targets. A deployment supplies plain functions that parse and write the
//! message heads the relay works with.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::progress::Report;

/// Head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Request id.
    pub id: SmolStr,
    /// Time for which the caller waits.
    pub patience: Option<Duration>,
    /// API key of the account.
    pub key: Option<SmolStr>,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Expected length of the output in tokens; zero if unknown.
    pub output: u32,
    /// Event after which a stream resumes.
    pub last: Option<u64>,
    /// Identifies the parts of the prompt.
    pub parts: SmolStr,
}

/// Reference to a copy of a run's KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copied {
    /// Engine that issued the handle: the holder of a continuous copy, or the source of a copy made
    /// on request.
    pub at: SocketAddr,
    /// Handle; the request id for a continuous copy.
    pub handle: SmolStr,
}

/// Head of the request that one attempt sends to its target.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Request id.
    pub id: &'a str,
    /// Time left until the deadline.
    pub left: Option<Duration>,
    /// Name of the target.
    pub target: &'a str,
    /// Client account.
    pub account: Option<&'a str>,
    /// Event after which the stream resumes.
    pub last: Option<u64>,
    /// Engine that is to hold a copy of the run's KV cache.
    pub backup: Option<SocketAddr>,
    /// Copy that the run resumes from.
    pub copied: Option<&'a Copied>,
}

/// Head of a target's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// The address belongs to another target.
    pub misdirected: bool,
    /// It carries the target's signature.
    pub signed: bool,
    /// It carries the id of a request.
    pub named: bool,
    /// It responds to another request.
    pub foreign: bool,
    /// An intermediary has encoded the body.
    pub encoded: bool,
    /// The connection may not be reused.
    pub close: bool,
    /// Keep-alive time of the idle connection, if stated.
    pub keep: Option<Duration>,
}

/// Protocol functions of one deployment.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Path of the readiness check.
    pub ready: &'static str,
    /// Parses a caller's request head; the error says how it is malformed.
    pub ask: fn(&HeaderMap) -> Result<Ask, &'static str>,
    /// Removes request headers that must not reach a target.
    pub strip: fn(&mut HeaderMap),
    /// Adds the headers of one attempt.
    pub attempt: fn(&mut HeaderMap, &Attempt<'_>),
    /// Parses the head of a target's response to the request with this id.
    pub head: fn(&str, StatusCode, &HeaderMap) -> Head,
    /// Name of the target that responded to a health check.
    pub name: fn(&HeaderMap) -> Option<SmolStr>,
    /// Builds the request to copy a run's KV cache to another engine or to update that copy.
    pub copy: fn(&str, SocketAddr) -> Option<Request<Full<Bytes>>>,
    /// Path of an engine's report.
    pub report: &'static str,
    /// Parses an engine's report.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Parses the handle of a copy.
    pub copy_handle: fn(&[u8]) -> Option<SmolStr>,
    /// Removes response headers that must not reach a caller.
    pub pass: fn(&mut HeaderMap),
}

impl fmt::Debug for Dialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dialect")
    }
}
