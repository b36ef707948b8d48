//! A call of a plain service, and the callbacks by which a target is chosen for it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method};
use smol_str::SmolStr;

use crate::config::Repeat;
use crate::ident::RequestKey;

/// A call of a plain service on behalf of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service to call.
    pub service: SmolStr,
    /// Client account.
    pub account: SmolStr,
    /// The caller's idempotency key.
    pub key: Option<SmolStr>,
    /// HTTP method.
    pub method: Method,
    /// Path and query; starts with `/`.
    pub path: SmolStr,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether it may be sent more than once.
    pub repeat: Repeat,
    /// Path of the service's status call, without the key.
    pub status: Option<SmolStr>,
    /// Maximum response time of the service.
    pub timeout: Duration,
    /// Time remaining for the entire call.
    pub deadline: Duration,
}

/// Result of a call at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetResult {
    /// The target responded with this status code.
    Answered(u16),
    /// No connection could be opened.
    Unreachable,
    /// The response was lost or timed out.
    Lost,
    /// The target was chosen but nothing was sent to it.
    Unused,
}

/// A chosen target. Dropping the callback releases what was reserved for the call.
pub struct ChosenTarget {
    /// Address of the target.
    pub addr: SocketAddr,
    /// Called once with the result of the call.
    pub report: Box<dyn FnOnce(TargetResult) + Send>,
}

impl ChosenTarget {
    /// Creates a target whose result is ignored.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            report: Box::new(|_| ()),
        }
    }
}

impl fmt::Debug for ChosenTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChosenTarget({})", self.addr)
    }
}

/// The request for which a target is chosen.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Identifies the request, so that its repeats are routed to the same version.
    pub key: RequestKey,
    /// HTTP method; empty for a status call.
    pub method: &'a str,
    /// Path of the call.
    pub path: &'a str,
}

impl Call {
    /// Returns the target query for this call. A call without a key gets a random one, since its
    /// repeats cannot be recognized.
    pub(crate) fn target_query(&self) -> TargetQuery<'_> {
        let key = match &self.key {
            Some(key) => RequestKey::new(&self.account, key),
            None => RequestKey(rand::random()),
        };
        TargetQuery {
            service: &self.service,
            key,
            method: self.method.as_str(),
            path: &self.path,
        }
    }
}

/// Chooses a target other than the excluded ones.
pub type ChooseTarget =
    Arc<dyn Fn(TargetQuery<'_>, &[SocketAddr]) -> Option<ChosenTarget> + Send + Sync>;

/// A point in an attempt to run a non-repeatable action at which the hook is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Point {
    /// About to open a connection.
    Connect,
    /// About to write the claim.
    Claim,
    /// About to mark the claim as sent.
    Mark,
    /// About to send the action.
    Send,
    /// About to store the outcome.
    Store,
    /// About to release the claim.
    Release,
    /// About to respond to the caller.
    Answer,
}

/// Awaited at each point of each attempt, with the attempt's nonce. Used by tests to inject pauses
/// and crashes.
pub type Hook = Arc<dyn Fn(Point, SmolStr) -> BoxFuture<'static, ()> + Send + Sync>;
