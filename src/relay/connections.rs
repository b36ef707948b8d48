//! Pool of HTTP/1.1 connections to targets. A connection is reused only after a complete exchange.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body::Body as _;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::xxh3_64;

use crate::connect::connect;
use crate::http::check_head;
use crate::ident::TargetKey;

/// Connect timeout: several round trips between regions, but less than the second after which a
/// lost SYN is retransmitted, as another target responds sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle connections kept per target: the usual number of slots for unary calls.
const IDLE_MAX: usize = 8;

/// Longest idle time after which a connection is reused.
const REUSE_IDLE_MAX: Duration = Duration::from_secs(4);

/// Requests after which a connection is closed, which bounds the memory for their ids.
const REQUESTS_MAX: usize = 512;

/// Keep-alive time when the target states none.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);

/// Subtracted from the target's keep-alive time to allow for network delay and late timers.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Maximum size of a response to the relay's own requests: a report with hundreds of runs.
const REPLY_MAX_BYTES: usize = 64 * 1024;

/// Read and write buffer of a connection; large enough for a message head.
const BUFFER_BYTES: usize = 16 * 1024;

/// Most headers of a response; the buffer bounds their bytes.
const MAX_HEADERS: usize = 512;

/// Connection task, aborted on drop.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// A request for `path` at a target.
pub(crate) fn get_request(addr: SocketAddr, path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&addr.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}

/// An open connection. Dropping it closes it, which makes the target cancel the request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
    /// Hashes of the ids of its earlier requests.
    earlier: Vec<u64>,
}

/// Why no response head was received.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The request was not sent.
    Unsent,
    /// The request may have been sent.
    Lost(&'static str),
}

impl Connection {
    async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = connect(addr, CONNECT_TIMEOUT).await?;
        stream.set_nodelay(true)?;
        let mut builder = Builder::new();
        builder.max_buf_size(BUFFER_BYTES).max_headers(MAX_HEADERS);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // Errors surface in the request that uses the connection.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _driver: Driver(driver),
            earlier: Vec::new(),
        })
    }

    /// Whether it has carried an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        !self.earlier.is_empty()
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let ready = self.sender.ready().await;
        if ready.is_err() {
            return Err(SendError::Unsent);
        }
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut e| match e.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Lost(loss_reason(&e.into_error())),
        })?;
        check_head(response).map_err(SendError::Lost)
    }
}

/// Why an answer was lost with its connection, before anything of it arrived.
const CLOSED: &str = "closed before its answer";
const RESET: &str = "connection lost";

impl SendError {
    /// Whether the connection ended without anything of an answer.
    pub(crate) fn is_cut(&self) -> bool {
        match self {
            Self::Unsent => true,
            Self::Lost(reason) => [CLOSED, RESET].contains(reason),
        }
    }
}

fn loss_reason(error: &hyper::Error) -> &'static str {
    match error {
        e if e.is_parse() => "malformed answer",
        e if e.is_incomplete_message() => CLOSED,
        _ => RESET,
    }
}

/// Why an answer is lost whose target can't be reached at its end.
pub(crate) const GONE_AT_END: &str = "target gone at the end of an answer without a length";

/// Whether a response body has neither a length nor chunks, so that it ends with its connection.
pub(crate) fn ends_with_connection(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_none() && !headers.contains_key(TRANSFER_ENCODING)
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    expires: Instant,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<IndexMap<TargetKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns a connection to a target: an idle one that may carry the request `reuse_for`, if
    /// stated, or else a new one.
    ///
    /// # Errors
    /// If a new connection cannot be opened.
    pub(crate) async fn acquire(
        &self,
        key: TargetKey,
        addr: SocketAddr,
        reuse_for: Option<&str>,
    ) -> io::Result<Connection> {
        match reuse_for.and_then(|id| self.take(key, id)) {
            Some(connection) => Ok(connection),
            None => Connection::connect(addr).await,
        }
    }

    /// Takes the most recently used connection that has not carried a request with this id: only
    /// the id distinguishes the response to this request from a late response to an earlier one.
    fn take(&self, key: TargetKey, id: &str) -> Option<Connection> {
        let now = Instant::now();
        let hash = hash(id);
        let is_usable = |i: &IdleConnection| {
            now.saturating_duration_since(i.since) <= REUSE_IDLE_MAX
                && !i.connection.earlier.contains(&hash)
        };
        let mut idle = self.idle.lock();
        let idle = idle.get_mut(&key)?;
        idle.retain(|i| i.expires > now && i.connection.sender.is_ready());
        let last = idle.iter().rposition(is_usable)?;
        Some(idle.remove(last).connection)
    }

    /// Sends one of the relay's own requests over a new connection and reads the complete response;
    /// `None` on any failure.
    pub(crate) async fn request(
        &self,
        key: TargetKey,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<Response<Bytes>> {
        let mut connection = self.acquire(key, addr, None).await.ok()?;
        let (parts, body) = connection.send(request).await.ok()?.into_parts();
        let body = Limited::new(body, REPLY_MAX_BYTES).collect().await.ok()?;
        Some(Response::from_parts(parts, body.to_bytes()))
    }

    /// Returns a connection to the pool after a complete exchange for the request `id`.
    /// `keep_alive` is the time stated by the target.
    pub(crate) fn release(
        &self,
        key: TargetKey,
        mut connection: Connection,
        id: &str,
        keep_alive: Option<Duration>,
    ) {
        connection.earlier.push(hash(id));
        if connection.earlier.len() >= REQUESTS_MAX {
            return;
        }
        let now = Instant::now();
        let keep_alive =
            keep_alive.map_or(KEEP_ALIVE_DEFAULT, |k| k.saturating_sub(KEEP_ALIVE_MARGIN));
        let mut idle = self.idle.lock();
        let idle = idle.entry(key).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(IdleConnection {
                connection,
                since: now,
                expires: now + keep_alive,
            });
        }
    }

    /// Closes the idle connections to a target.
    pub(crate) fn close_idle(&self, key: TargetKey) {
        self.idle.lock().swap_remove(&key);
    }

    /// Closes the connections to a target that have been idle since before `at`.
    pub(crate) fn close_idle_before(&self, key: TargetKey, at: Instant) {
        if let Some(idle) = self.idle.lock().get_mut(&key) {
            idle.retain(|i| i.since >= at);
        }
    }

    /// Closes idle connections whose keep-alive time has passed.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|i| i.expires > now && !i.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
