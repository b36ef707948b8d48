//! A caller's connection: its socket, and what is known of the requests on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use super::open::{OpenRequests, RequestKey};

/// Interval at which an open connection looks at the limits in force.
const LIMITS_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a connection may give way to a new one: the first request of a connection
/// arrives sooner.
const MIN_EVICTION_IDLE: Duration = Duration::from_millis(100);

/// How long a connection without a running request stays open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleLimits {
    /// Between two requests.
    pub(crate) idle: Duration,
    /// From the first byte of a head to its last.
    pub(crate) head: Duration,
}

/// What happens on a connection.
#[derive(Debug)]
struct Activity {
    /// Requests that are not completely answered.
    running: usize,
    /// End of the last answer, or when the connection was opened.
    idle_since: Instant,
    /// Arrival of the first bytes of a head that is not complete.
    head_since: Option<Instant>,
    /// Whether it speaks HTTP/2, where it is not closed for being idle.
    is_http2: bool,
}

/// State of a connection, shared by its socket and its requests.
#[derive(Debug)]
pub(crate) struct Connection {
    requests: Arc<OpenRequests>,
    /// Requests whose answer was produced and is not written yet.
    unwritten: Mutex<Vec<RequestKey>>,
    activity: Mutex<Activity>,
    evicted: Notify,
}

impl Connection {
    pub(crate) fn new(requests: Arc<OpenRequests>) -> Self {
        Self {
            requests,
            unwritten: Mutex::default(),
            activity: Mutex::new(Activity {
                running: 0,
                idle_since: Instant::now(),
                head_since: None,
                is_http2: false,
            }),
            evicted: Notify::new(),
        }
    }

    pub(crate) fn requests(&self) -> &Arc<OpenRequests> {
        &self.requests
    }

    /// Notes that the connection speaks HTTP/2.
    pub(crate) fn set_http2(&self) {
        self.activity.lock().is_http2 = true;
    }

    /// Notes that the head of a request is complete.
    pub(crate) fn begin(&self) {
        let mut activity = self.activity.lock();
        activity.running += 1;
        activity.head_since = None;
    }

    fn record_read(&self) {
        let mut activity = self.activity.lock();
        if activity.running == 0 {
            activity.head_since.get_or_insert_with(Instant::now);
        }
    }

    /// When the connection is to be closed; `None` while a request runs.
    fn deadline(&self, limits: IdleLimits) -> Option<Instant> {
        let activity = self.activity.lock();
        let at = match activity.head_since {
            Some(since) => since + limits.head,
            None => activity.idle_since + limits.idle,
        };
        (activity.running == 0).then_some(at)
    }

    /// Since when no request runs and no bytes of one have arrived; `None` on HTTP/2 too.
    fn idle_since(&self) -> Option<Instant> {
        let activity = self.activity.lock();
        let idle = activity.running == 0 && activity.head_since.is_none();
        (idle && !activity.is_http2).then_some(activity.idle_since)
    }

    /// Closes the connection that has been idle for longest, the least likely one to be used again.
    pub(crate) fn evict_longest_idle(connections: impl Iterator<Item = Arc<Self>>) {
        let idle = connections.filter_map(|c| Some((c.idle_since()?, c)));
        let longest = idle.min_by_key(|(since, _)| *since);
        if let Some((since, connection)) = longest
            && since.elapsed() >= MIN_EVICTION_IDLE
        {
            connection.evicted.notify_one();
        }
    }

    /// Waits until the connection has been idle, or the head of its next request incomplete, for
    /// the present value of `limits`, or is to give way while it is idle. The socket must be polled
    /// before this in the same task.
    pub(crate) async fn idle_end(&self, limits: impl Fn() -> IdleLimits) {
        loop {
            let now = Instant::now();
            match self.deadline(limits()) {
                Some(at) if at <= now => {
                    // The runtime looks for bytes that have just arrived.
                    yield_now().await;
                    if self.deadline(limits()).is_some_and(|at| at <= now) {
                        return;
                    }
                }
                at => {
                    let next = now + LIMITS_INTERVAL.min(limits().idle);
                    tokio::select! {
                        () = sleep_until(at.map_or(next, |at| at.min(next))) => {}
                        () = self.evicted.notified() => {
                            yield_now().await;
                            if self.idle_since().is_some() {
                                return;
                            }
                        }
                    }
                }
            }
        }
    }

    /// Keeps the connection from being idle while the rest of a request is read.
    pub(crate) fn hold_open(self: &Arc<Self>) -> HeldOpen {
        self.activity.lock().running += 1;
        HeldOpen(Arc::clone(self))
    }

    /// Keeps a request open until the bytes of its answer are written.
    pub(crate) fn hold(&self, key: RequestKey) {
        self.unwritten.lock().push(key);
    }

    fn written(&self) {
        for key in self.unwritten.lock().drain(..) {
            self.requests.remove(key);
            self.end_one();
        }
    }

    fn end_one(&self) {
        let mut activity = self.activity.lock();
        activity.running -= 1;
        activity.idle_since = Instant::now();
    }
}

/// A connection that is not idle, although all its requests may be answered.
#[derive(Debug)]
pub(crate) struct HeldOpen(Arc<Connection>);

impl Drop for HeldOpen {
    fn drop(&mut self) {
        self.0.end_one();
    }
}

/// The socket of a connection.
#[derive(Debug)]
pub(crate) struct Socket {
    pub(crate) stream: TcpStream,
    pub(crate) connection: Arc<Connection>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The caller left before it had read the answer.
        self.written();
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.connection.record_read();
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called by the HTTP library once its buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.connection.written();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
