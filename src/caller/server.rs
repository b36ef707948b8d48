//! Accepts callers' connections and drains them at shutdown.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::settings::Limits;

/// Shortest time that the listener stays open after the instance said that it is not ready, so
/// that the balancer learns of it first.
const LINGER: Duration = Duration::from_secs(3);

/// Time without a new connection or request after which the listener may close.
const QUIET: Duration = Duration::from_secs(1);

/// Smallest buffer that the HTTP/1 library accepts, in bytes.
const MIN_HTTP1_BUFFER: usize = 8 * 1024;

/// Pause before another look at the first bytes of a connection.
const PEEK_PAUSE: Duration = Duration::from_millis(5);

/// Time between two looks whether a shutdown has begun.
const DRAIN_TICK: Duration = Duration::from_millis(100);

/// Pause after a failed accept, for instance when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The state of a shutdown, shared by the server, the front and the readiness check.
#[derive(Debug, Default)]
pub struct Drain {
    draining: AtomicBool,
    begun: OnceLock<Instant>,
    requests: AtomicUsize,
    last: Mutex<Option<Instant>>,
}

impl Drain {
    /// Whether the instance is shutting down.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Starts to shut down.
    pub fn begin(&self) {
        self.begun.get_or_init(Instant::now);
        self.draining.store(true, Ordering::Release);
    }

    /// Time since the shutdown began, if it has.
    #[must_use]
    pub fn since(&self) -> Option<Duration> {
        self.begun.get().map(Instant::elapsed)
    }

    /// Waits until the instance shuts down.
    pub async fn begun(&self) {
        while !self.draining() {
            tokio::time::sleep(DRAIN_TICK).await;
        }
    }

    /// Requests that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub(crate) fn enter(self: &Arc<Self>) -> Running {
        self.requests.fetch_add(1, Ordering::AcqRel);
        self.arrived();
        Running(Arc::clone(self))
    }

    fn arrived(&self) {
        if self.draining() {
            *self.last.lock() = Some(Instant::now());
        }
    }

    fn quiet(&self, since: Instant) -> bool {
        let last = self.last.lock().unwrap_or(since);
        self.running() == 0 && last.elapsed() >= QUIET
    }
}

/// Counts one running request.
#[derive(Debug)]
pub(crate) struct Running(Arc<Drain>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves `router` on `listener` until [`Drain::begin`] was called and the last request ended, or
/// `longest` passed after it. Each new connection gets the `limits` of that moment.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: impl Fn() -> Limits,
    drain: Arc<Drain>,
    longest: Duration,
) {
    let slots = Arc::new(Semaphore::new(limits().connections));
    let accepting = accept(&listener, &router, limits, &drain, &slots);
    tokio::select! {
        () = accepting => {}
        () = drained(&drain, longest) => {}
    }
}

async fn accept(
    listener: &TcpListener,
    router: &Router,
    limits: impl Fn() -> Limits,
    drain: &Arc<Drain>,
    slots: &Arc<Semaphore>,
) {
    loop {
        let Ok(permit) = Arc::clone(slots).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        drain.arrived();
        let router = router.clone();
        let drain = Arc::clone(drain);
        let limits = limits();
        tokio::spawn(async move {
            connection(stream, router, limits, drain).await;
            drop(permit);
        });
    }
}

async fn connection(stream: TcpStream, router: Router, limits: Limits, drain: Arc<Drain>) {
    // Tokens are small and must not wait for an acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let Ok(multiplexed) = timeout(limits.idle, is_http2(&stream)).await else {
        return;
    };
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.headers.max(MIN_HTTP1_BUFFER));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.headers as u32)
        .keep_alive_interval(Some(limits.idle));
    let service = TowerToHyperService::new(router);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let quiet = async {
        drain.begun().await;
        if !multiplexed {
            tokio::time::sleep(LINGER).await;
        }
    };
    tokio::select! {
        _ = served.as_mut() => return,
        () = quiet => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Whether the caller speaks HTTP/2, which can be told to open no more streams at once. An HTTP/1
/// connection stays open for a while, as a request may be on its way; its answers say `close`. Then
/// it is closed between two requests: one that comes late would be refused.
async fn is_http2(stream: &TcpStream) -> bool {
    const PREFACE: &[u8; 3] = b"PRI";
    let mut head = [0; PREFACE.len()];
    loop {
        match stream.peek(&mut head).await {
            Ok(n) if n > 0 && n < head.len() && PREFACE.starts_with(&head[..n]) => {
                tokio::time::sleep(PEEK_PAUSE).await;
            }
            Ok(n) => return n == head.len() && head == *PREFACE,
            Err(_) => return false,
        }
    }
}

async fn drained(drain: &Drain, longest: Duration) {
    drain.begun().await;
    let begun = Instant::now();
    tokio::time::sleep(LINGER).await;
    while !drain.quiet(begun) && begun.elapsed() < longest {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
