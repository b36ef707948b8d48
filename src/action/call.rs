//! A call of a plain service, and the closures through which a target is chosen for it.

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

/// A call that a caller wants made.
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
    /// Path with its query, beginning with `/`.
    pub path: SmolStr,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether it may be sent more than once.
    pub repeat: Repeat,
    /// Path of the service's status call, without the key.
    pub status: Option<SmolStr>,
    /// Longest answer time of the service.
    pub timeout: Duration,
    /// Time left for the whole call.
    pub deadline: Duration,
}

/// What became of a call at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// It answered with that status code.
    Answered(u16),
    /// No connection could be opened.
    Unreachable,
    /// The answer was lost or did not come in time.
    Lost,
    /// The target was not used after all.
    Unused,
}

/// A chosen target. Dropping the closure gives back what was reserved for the call.
pub struct Pick {
    /// Where the target takes work.
    pub addr: SocketAddr,
    /// Told once what became of the call.
    pub report: Box<dyn FnOnce(Report) + Send>,
}

impl Pick {
    /// A target that nobody wants to hear of.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            report: Box::new(|_| ()),
        }
    }
}

impl fmt::Debug for Pick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Pick({})", self.addr)
    }
}

/// What a target is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Seek<'a> {
    /// Service.
    pub service: &'a str,
    /// Names the request, so that its repeats meet the same version.
    pub key: RequestKey,
    /// HTTP method, or nothing when it is only to be asked for a status.
    pub method: &'a str,
    /// Path of the call.
    pub path: &'a str,
}

impl Call {
    /// What a target is wanted for. A call without a key cannot be known again.
    pub(crate) fn seek(&self) -> Seek<'_> {
        let key = match &self.key {
            Some(key) => RequestKey::new(&self.account, key),
            None => RequestKey(rand::random()),
        };
        Seek {
            service: &self.service,
            key,
            method: self.method.as_str(),
            path: &self.path,
        }
    }
}

/// Chooses a target, but none of those excluded.
pub type Choose = Arc<dyn Fn(Seek<'_>, &[SocketAddr]) -> Option<Pick> + Send + Sync>;

/// Where a try of a non-repeatable action stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Point {
    /// About to open a connection.
    Connect,
    /// About to claim.
    Claim,
    /// About to mark the claim as sent.
    Mark,
    /// About to send.
    Send,
    /// About to store the outcome.
    Store,
    /// About to give the claim back.
    Release,
    /// About to answer the caller.
    Answer,
}

/// Awaited at each point of each try, with the try's nonce. For tests of pauses and crashes.
pub type Hook = Arc<dyn Fn(Point, SmolStr) -> BoxFuture<'static, ()> + Send + Sync>;
