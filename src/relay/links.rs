//! Connections to targets. One whose exchange did not end whole is closed, never used again.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::ident::TargetKey;

/// Longest wait for a connection: several round trips between regions, less than the second
/// after which a lost opening packet is sent again, as another target answers sooner.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Idle connections kept to one target: its usual number of slots for plain calls.
const IDLE_MAX: usize = 8;

/// How long an idle connection is kept when the target names no time.
const KEEP_DEFAULT: Duration = Duration::from_secs(4);

/// Taken off the time that a target names, for the way there and a late timer.
const KEEP_MARGIN: Duration = Duration::from_secs(1);

/// Largest answer to a question of the relay's own, in bytes: a report with hundreds of runs.
const OWN_MAX: usize = 64 * 1024;

/// Bytes buffered for one connection; a head fits into it.
const BUFFER: usize = 16 * 1024;

/// Ends the task of a connection with its owner.
#[derive(Debug)]
struct Pump(JoinHandle<()>);

impl Drop for Pump {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection. Dropping it closes it, which tells the target to stop.
#[derive(Debug)]
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    _pump: Pump,
    /// Whether an earlier request used it.
    pub(crate) used: bool,
}

/// Why a request got no head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// It was not sent.
    Unsent,
    /// It may have been sent.
    Lost(&'static str),
}

impl Link {
    async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let mut builder = Builder::new();
        builder.max_buf_size(BUFFER);
        let shaken = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(io::Error::other)?;
        let pump = tokio::spawn(async move {
            // The request on it reports the error.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _pump: Pump(pump),
            used: false,
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let ready = self.sender.ready().await;
        if ready.is_err() {
            return Err(SendError::Unsent);
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut e| match e.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Lost(reason(&e.into_error())),
        })
    }
}

fn reason(error: &hyper::Error) -> &'static str {
    match error {
        e if e.is_parse() => "malformed answer",
        e if e.is_incomplete_message() => "closed before its answer",
        _ => "connection lost",
    }
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Instant,
    until: Instant,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct Links {
    idle: Mutex<IndexMap<TargetKey, Vec<Idle>>>,
}

impl Links {
    /// A connection to a target: an idle one if it rested no longer than `rest`, or a new one.
    ///
    /// # Errors
    /// When no new connection could be opened.
    pub(crate) async fn open(
        &self,
        key: TargetKey,
        addr: SocketAddr,
        rest: Duration,
    ) -> io::Result<Link> {
        match self.take(key, rest) {
            Some(link) => Ok(link),
            None => Link::connect(addr).await,
        }
    }

    fn take(&self, key: TargetKey, rest: Duration) -> Option<Link> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let idle = idle.get_mut(&key)?;
        idle.retain(|i| i.until > now && i.link.sender.is_ready());
        let last = idle.pop_if(|i| now.saturating_duration_since(i.since) <= rest)?;
        Some(last.link)
    }

    /// Sends a request of the relay's own over a new connection and reads the whole answer; none
    /// when it could not be had.
    pub(crate) async fn ask(
        &self,
        key: TargetKey,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<Response<Bytes>> {
        let mut link = self.open(key, addr, Duration::ZERO).await.ok()?;
        let (parts, body) = link.send(request).await.ok()?.into_parts();
        let body = Limited::new(body, OWN_MAX).collect().await.ok()?;
        Some(Response::from_parts(parts, body.to_bytes()))
    }

    /// Reads `path` of a target.
    pub(crate) async fn get(
        &self,
        key: TargetKey,
        addr: SocketAddr,
        path: &str,
    ) -> Option<Response<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().ok()?;
        let host = HeaderValue::from_str(&addr.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        self.ask(key, addr, request).await
    }

    /// Keeps a connection whose exchange ended whole. `keep` is the time that the target named.
    pub(crate) fn keep(&self, key: TargetKey, mut link: Link, keep: Option<Duration>) {
        let now = Instant::now();
        let keep = keep.map_or(KEEP_DEFAULT, |k| k.saturating_sub(KEEP_MARGIN));
        link.used = true;
        let mut idle = self.idle.lock();
        let idle = idle.entry(key).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(Idle {
                link,
                since: now,
                until: now + keep,
            });
        }
    }

    /// Closes the idle connections to a target.
    pub(crate) fn forget(&self, key: TargetKey) {
        self.idle.lock().swap_remove(&key);
    }

    /// Closes idle connections whose time is over.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for links in idle.values_mut() {
            links.retain(|i| i.until > now && !i.link.sender.is_closed());
        }
        idle.retain(|_, links| !links.is_empty());
    }
}
