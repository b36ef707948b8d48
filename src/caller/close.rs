//! Why callers' connections end: each is counted, and one line is written for those on which a
//! caller may miss an answer.

use std::error::Error;
use std::time::Duration;

/// Lines about closed connections a second, on average.
pub(super) const LINES_PER_SECOND: f64 = 20.0;

/// Lines about closed connections at once.
pub(super) const BURST_LINES: f64 = 200.0;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Idle for the limit.
    Idle,
    /// Idle for the short limit of a shutdown.
    IdleInDrain,
    /// A head was incomplete for the limit.
    SlowHead,
    /// Idle, and another connection needed its place.
    Evicted,
    /// The caller closed its side.
    CallerClosed,
    /// The last answer was written.
    Finished,
    /// An answer ended with an error of its source.
    AnswerAborted,
    /// The caller closed its side within a request.
    RequestCut,
    /// What arrived is no request.
    BadRequest,
    /// The socket failed.
    SocketError,
    /// Another error of the HTTP library.
    HttpError,
    /// The process, or the server, ended before.
    ProcessEnd,
}

impl CloseReason {
    /// The reason behind an error of the HTTP library.
    pub(super) fn of_error(error: &(dyn Error + 'static)) -> Self {
        match error.downcast_ref::<hyper::Error>() {
            Some(e) if e.is_user() => Self::AnswerAborted,
            Some(e) if e.is_incomplete_message() => Self::RequestCut,
            Some(e) if e.is_parse() => Self::BadRequest,
            Some(e) if e.source().is_some_and(|s| s.is::<std::io::Error>()) => Self::SocketError,
            _ if error.is::<std::io::Error>() => Self::SocketError,
            _ => Self::HttpError,
        }
    }

    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::IdleInDrain => "idle in a drain",
            Self::SlowHead => "slow head",
            Self::Evicted => "evicted",
            Self::CallerClosed => "caller closed",
            Self::Finished => "finished",
            Self::AnswerAborted => "answer aborted",
            Self::RequestCut => "request cut by its caller",
            Self::BadRequest => "not a request",
            Self::SocketError => "socket error",
            Self::HttpError => "http error",
            Self::ProcessEnd => "process end",
        }
    }

    /// Whether this process closed the connection while its caller might still use it.
    fn is_chosen(self) -> bool {
        matches!(
            self,
            Self::Idle | Self::IdleInDrain | Self::SlowHead | Self::Evicted
        )
    }
}

/// A connection that has ended.
#[derive(Debug)]
pub(super) struct Closed {
    pub(super) reason: CloseReason,
    /// Error of the HTTP library, if any.
    pub(super) error: String,
    pub(super) peer: String,
    /// Time since it was accepted.
    pub(super) age: Duration,
    /// Time since the end of its last answer.
    pub(super) idle: Duration,
    /// Requests whose head was complete.
    pub(super) requests: u64,
    /// Requests that were not completely answered.
    pub(super) running: usize,
    /// Bytes read since the last answer ended or the last head was complete.
    pub(super) pending: u64,
    /// Bytes that had arrived and were not read, up to a limit.
    pub(super) unread: usize,
    /// Bytes of the present or last answer that were handed to the socket.
    pub(super) written: u64,
    /// Time since the shutdown began, if it had.
    pub(super) drain: Option<Duration>,
}

impl Closed {
    /// Whether a caller may miss an answer, or the connection was closed during a shutdown.
    pub(super) fn is_notable(&self) -> bool {
        let left_over = self.running > 0 || self.pending > 0 || self.unread > 0;
        left_over || (self.drain.is_some() && self.reason.is_chosen())
    }
}
