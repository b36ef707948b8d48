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

use super::limits::Rate;
use super::priority::Priority;
use super::progress::EngineReport;

/// Head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Request id.
    pub id: SmolStr,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// API key of the account.
    pub key: Option<SmolStr>,
    /// Model and numbers of tokens, as the caller states them.
    pub generation: SmolStr,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Expected length of the output in tokens; zero if unknown.
    pub output_tokens: u32,
    /// Event after which a stream resumes.
    pub last_event: Option<u64>,
    /// Identifies the parts of the prompt.
    pub prompt_parts: SmolStr,
    /// Names of the parts that other requests may share.
    pub shared_parts: Vec<SmolStr>,
}

/// Reference to a copy of a run's KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRef {
    /// Engine that issued the handle: the holder of a continuous copy, or the source of a copy made
    /// on request.
    #[serde(rename = "at")]
    pub addr: SocketAddr,
    /// Handle; the request id for a continuous copy.
    pub handle: SmolStr,
}

/// Head of the request that one attempt sends to its target.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// Request id.
    pub id: &'a str,
    /// Time left until the deadline.
    pub time_left: Option<Duration>,
    /// Name of the target.
    pub target: &'a str,
    /// Client account.
    pub account: Option<&'a str>,
    /// Urgency at an engine; `None` if all requests of its service have the same.
    pub urgency: Option<Priority>,
    /// Event after which the stream resumes.
    pub last_event: Option<u64>,
    /// Engine that is to hold a copy of the run's KV cache.
    pub backup: Option<SocketAddr>,
    /// Copy that the run resumes from.
    pub resume_from: Option<&'a CopyRef>,
}

/// How long a busy target wants no requests from the instance that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuietTime {
    /// For this time.
    For(Duration),
    /// It states a time that can't be read.
    Unreadable,
}

/// What a target says with an answer about the requests that it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Rate at which it takes requests of all instances together, if it states one.
    pub limit: Option<Rate>,
    /// It is shutting down and takes no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests, if it states one.
    pub quiet: Option<QuietTime>,
}

/// Head of a target's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// The address belongs to another target.
    pub misdirected: bool,
    /// It carries the target's signature.
    pub signed: bool,
    /// It carries the id of a request.
    pub has_id: bool,
    /// It responds to another request.
    pub mismatched: bool,
    /// An intermediary has encoded the body.
    pub encoded: bool,
    /// Whether the body is a stream of events, if its type is stated.
    pub events: Option<bool>,
    /// The connection may not be reused.
    pub close: bool,
    /// Keep-alive time of the idle connection, if stated.
    pub keep_alive: Option<Duration>,
    /// What the target says about the requests that it takes.
    pub notice: Notice,
}

/// Protocol functions of one deployment.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Parses a caller's request head; the error says how it is malformed.
    pub parse_request: fn(&HeaderMap) -> Result<RequestHead, &'static str>,
    /// Removes request headers that must not reach a target.
    pub strip_request: fn(&mut HeaderMap),
    /// Adds the headers of one attempt.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHead<'_>),
    /// Parses the head of a target's response to the request with this id.
    pub parse_response: fn(&str, StatusCode, &HeaderMap) -> ResponseHead,
    /// Parses what a target says with an answer about the requests that it takes.
    pub parse_notice: fn(StatusCode, &HeaderMap) -> Notice,
    /// Name of the target that responded to a health check.
    pub target_name: fn(&HeaderMap) -> Option<SmolStr>,
    /// Builds the request to copy a run's KV cache to another engine or to update that copy.
    pub copy_request: fn(&str, SocketAddr) -> Option<Request<Full<Bytes>>>,
    /// Path of an engine's report.
    pub report_path: &'static str,
    /// Parses an engine's report.
    pub parse_report: fn(&[u8]) -> Option<EngineReport>,
    /// Parses the handle of a copy.
    pub parse_handle: fn(&[u8]) -> Option<SmolStr>,
    /// Removes response headers that must not reach a caller.
    pub strip_response: fn(&mut HeaderMap),
}

impl fmt::Debug for Dialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dialect")
    }
}
