//! A caller's connection: its socket, and what is known of the requests on it.

use std::error::Error;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use super::close::{CloseReason, Closed};
use super::drain::Drain;
use super::open::{OpenRequests, RequestKey};

/// Interval at which an open connection looks at the limits in force.
const LIMITS_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a connection may give way to a new one: the first request of a connection
/// arrives sooner.
const MIN_EVICTION_IDLE: Duration = Duration::from_millis(100);

/// Most unread bytes of a closed connection that are counted.
const UNREAD_BUFFER: usize = 4_096;

/// Time for a caller to close a connection after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that are read at once from a connection that is being closed.
const CLOSE_BUFFER: usize = 8 * 1024;

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
    /// Requests whose head was complete.
    requests: u64,
    /// The last of them.
    last: Option<RequestKey>,
    /// Bytes read since the last answer ended or the last head was complete.
    pending: u64,
    /// Bytes written since the last head was complete.
    written: u64,
    /// Whether the caller has closed its side.
    is_ended: bool,
    /// Why the connection is closed, and the error of the HTTP library.
    close: Option<(CloseReason, String)>,
}

/// State of a connection, shared by its socket and its requests.
#[derive(Debug)]
pub(crate) struct Connection {
    drain: Arc<Drain>,
    opened: Instant,
    /// Requests whose answer was produced and is not written yet.
    unwritten: Mutex<Vec<RequestKey>>,
    activity: Mutex<Activity>,
    evicted: Notify,
    flushed: Arc<Notify>,
    flushes: AtomicU64,
    /// The socket, once the HTTP library has dropped it.
    socket: Mutex<Option<TcpStream>>,
}

impl Connection {
    pub(crate) fn new(drain: Arc<Drain>) -> Self {
        let now = Instant::now();
        Self {
            drain,
            opened: now,
            unwritten: Mutex::default(),
            activity: Mutex::new(Activity {
                running: 0,
                idle_since: now,
                head_since: None,
                is_http2: false,
                requests: 0,
                last: None,
                pending: 0,
                written: 0,
                is_ended: false,
                close: None,
            }),
            evicted: Notify::new(),
            flushed: Arc::default(),
            flushes: AtomicU64::new(0),
            socket: Mutex::default(),
        }
    }

    pub(crate) fn requests(&self) -> &Arc<OpenRequests> {
        self.drain.requests()
    }

    /// Notes that the connection speaks HTTP/2.
    pub(crate) fn set_http2(&self) {
        self.activity.lock().is_http2 = true;
    }

    /// Notes that the head of a request is complete.
    pub(crate) fn begin(&self, key: RequestKey) {
        let mut activity = self.activity.lock();
        activity.running += 1;
        activity.requests += 1;
        activity.last = Some(key);
        activity.pending = 0;
        activity.written = 0;
        activity.head_since = None;
    }

    fn record_read(&self, bytes: usize) {
        let mut activity = self.activity.lock();
        activity.pending += bytes as u64;
        if activity.running == 0 {
            activity.head_since.get_or_insert_with(Instant::now);
        }
    }

    fn record_written(&self, bytes: usize) {
        self.activity.lock().written += bytes as u64;
    }

    fn record_end(&self) {
        self.activity.lock().is_ended = true;
    }

    /// Notes why the connection is about to be closed.
    pub(super) fn set_reason(&self, reason: CloseReason) {
        self.activity.lock().close = Some((reason, String::new()));
    }

    /// Notes that the HTTP library has ended the connection.
    pub(super) fn set_result(&self, result: Result<(), Box<dyn Error + Send + Sync>>) {
        let mut activity = self.activity.lock();
        activity.close = Some(match result {
            Err(e) => (CloseReason::of_error(e.as_ref()), chain(e.as_ref())),
            Ok(()) if activity.is_ended => (CloseReason::CallerClosed, String::new()),
            Ok(()) => (CloseReason::Finished, String::new()),
        });
    }

    /// Counts the end of the connection and logs it if a caller may miss an answer.
    fn record_close(&self, stream: &TcpStream) {
        let (closed, last) = {
            let mut activity = self.activity.lock();
            let close = activity.close.take();
            let (reason, error) = close.unwrap_or((CloseReason::ProcessEnd, String::new()));
            let closed = Closed {
                reason,
                error,
                peer: stream
                    .peer_addr()
                    .map_or_else(|_| String::new(), |p| p.to_string()),
                age: self.opened.elapsed(),
                idle: activity.idle_since.elapsed(),
                requests: activity.requests,
                running: activity.running,
                // Frames of HTTP/2 are no request.
                pending: if activity.is_http2 {
                    0
                } else {
                    activity.pending
                },
                unread: if activity.is_ended { 0 } else { unread(stream) },
                written: activity.written,
                drain: self.drain.since(),
            };
            (closed, activity.last)
        };
        self.requests().log_close(&closed, last);
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
    /// the present value of `limits`, or is to give way while it is idle. Returns which. The socket
    /// must be polled before this in the same task.
    pub(super) async fn idle_end(&self, limits: impl Fn() -> IdleLimits) -> CloseReason {
        loop {
            let now = Instant::now();
            match self.deadline(limits()) {
                Some(at) if at <= now => {
                    // The runtime looks for bytes that have just arrived.
                    yield_now().await;
                    if self.deadline(limits()).is_some_and(|at| at <= now) {
                        return self.idle_reason();
                    }
                }
                at => {
                    let next = now + LIMITS_INTERVAL.min(limits().idle);
                    tokio::select! {
                        () = sleep_until(at.map_or(next, |at| at.min(next))) => {}
                        () = self.evicted.notified() => {
                            yield_now().await;
                            if self.idle_since().is_some() {
                                return CloseReason::Evicted;
                            }
                        }
                    }
                }
            }
        }
    }

    fn idle_reason(&self) -> CloseReason {
        match self.activity.lock().head_since {
            Some(_) => CloseReason::SlowHead,
            None if self.drain.lingers() => CloseReason::Idle,
            None => CloseReason::IdleInDrain,
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

    /// Waits until all bytes that the HTTP library has been given by now are written.
    pub(super) fn flushed(&self) -> OwnedNotified {
        Arc::clone(&self.flushed).notified_owned()
    }

    /// How often all bytes that the HTTP library had been given were written.
    pub(super) fn flushes(&self) -> u64 {
        self.flushes.load(Ordering::Relaxed)
    }

    fn written(&self) {
        self.flushes.fetch_add(1, Ordering::Relaxed);
        self.flushed.notify_waiters();
        for key in self.unwritten.lock().drain(..) {
            self.requests().remove(key);
            self.end_one();
        }
    }

    /// Closes the socket after the last answer. Bytes that nobody reads would have the system reset
    /// the connection, which loses what the caller has not received.
    pub(super) async fn shut_down(&self) {
        let Some(mut stream) = self.socket.lock().take() else {
            return;
        };
        let read = async {
            // Fails only if the caller has left.
            let _ = stream.shutdown().await;
            let mut rest = vec![0; CLOSE_BUFFER];
            while matches!(stream.read(&mut rest).await, Ok(n) if n > 0) {}
        };
        tokio::select! {
            _ = timeout(CLOSE_TIMEOUT, read) => {}
            () = self.evicted.notified() => {}
        }
    }

    fn end_one(&self) {
        let mut activity = self.activity.lock();
        activity.running -= 1;
        activity.pending = 0;
        activity.idle_since = Instant::now();
    }
}

/// Bytes that have arrived and were not read, up to the size of a buffer.
fn unread(stream: &TcpStream) -> usize {
    let mut bytes = [MaybeUninit::uninit(); UNREAD_BUFFER];
    // An error means that there are none.
    SockRef::from(stream).peek(&mut bytes).unwrap_or(0)
}

/// An error with its causes, which the HTTP library leaves out.
fn chain(error: &(dyn Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |&e| e.source());
    let causes: Vec<_> = causes.map(ToString::to_string).collect();
    causes.join(": ")
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
    /// Present until this is dropped.
    stream: Option<TcpStream>,
    connection: Arc<Connection>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            stream: Some(stream),
            connection,
        }
    }

    /// Waits for bytes and copies them without taking them.
    pub(super) async fn peek(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let stream = self.stream.as_ref().expect("the socket is open");
        stream.peek(bytes).await
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("the socket is open"))
    }

    fn record_written(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.connection.record_written(*bytes);
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if let Some(stream) = self.stream.take() {
            self.connection.record_close(&stream);
            *self.connection.socket.lock() = Some(stream);
        }
    }
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
        let has_room = buf.remaining() > 0;
        let polled = self.stream().poll_read(cx, buf);
        match buf.filled().len() - before {
            0 if has_room && matches!(polled, Poll::Ready(Ok(()))) => self.connection.record_end(),
            0 => {}
            bytes => self.connection.record_read(bytes),
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
        let polled = self.stream().poll_write(cx, buf);
        self.record_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.stream().poll_write_vectored(cx, bufs);
        self.record_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(TcpStream::is_write_vectored)
    }

    /// Called by the HTTP library once its buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = self.stream().poll_flush(cx);
        if polled.is_ready() {
            self.connection.written();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
