//! Accepts callers' connections and drains them at shutdown.
//!
//! The number of connections is limited. During a drain the listener stays open until the load
//! balancer has stopped sending new connections and the last request has ended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::Request;
use axum::response::IntoResponse;
use futures_util::FutureExt as _;
use http::StatusCode;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::connection::{Connection, IdleLimits, Socket};
use super::drain::{Drain, MIN_LINGER, QUIET_PERIOD};
use super::open::track;
use crate::settings::Limits;

/// Idle time after which a connection is closed once [`MIN_LINGER`] has passed: a caller's next
/// request may follow an answer at once.
const LAST_IDLE: Duration = Duration::from_millis(200);

/// Smallest limit of the bytes of a head.
const MIN_HEAD: usize = 8 * 1024;

/// Bytes of a head that a connection can read at least, as the limit may rise while it is open.
const HEAD_BUFFER: usize = 64 * 1024;

/// Most headers of a request, so that the limit on their bytes decides.
const MAX_HEADERS: usize = 2_048;

/// Interval at which the first bytes of a connection are polled.
const PEEK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which a connection that waits for a place asks an idle one to give way.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);

/// Delay after a failed accept, for instance when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The open connections of a server.
type Connections = Arc<Mutex<IndexMap<u64, Weak<Connection>>>>;

/// Serves `router` on `listener` until [`Drain::begin`] has been called and the last request has
/// ended, or the longest time of the shutdown has passed since. Open connections follow the current
/// `limits`.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: impl Fn() -> Limits + Clone + Send + Sync + 'static,
    drain: Arc<Drain>,
) {
    let slots = Arc::new(Semaphore::new(limits().connections));
    let tasks = TaskTracker::new();
    let connections = Connections::default();
    let last = AtomicU64::new(0);
    let open = |stream: TcpStream, permit: Option<OwnedSemaphorePermit>| {
        drain.record_arrival();
        let connection = Arc::new(Connection::new(Arc::clone(&drain)));
        let key = last.fetch_add(1, Ordering::Relaxed);
        connections.lock().insert(key, Arc::downgrade(&connection));
        let (limits, drain) = (limits.clone(), Arc::clone(&drain));
        let socket = Arc::clone(&connection);
        let served = serve_connection(stream, socket, router.clone(), limits, drain);
        let connections = Arc::clone(&connections);
        tasks.spawn(async move {
            if served.await == End::Answered {
                connection.shut_down().await;
            }
            connections.lock().swap_remove(&key);
            drop(permit);
        });
    };
    let drained = drained(&drain);
    tokio::pin!(drained);
    loop {
        let accepted = tokio::select! {
            biased;
            () = drained.as_mut() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // The last requests are refused, which takes no place.
                let permit = tokio::select! {
                    biased;
                    permit = place(&slots, &connections) => permit,
                    () = drain.expiring() => None,
                };
                open(stream, permit);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Connections that wait in the queue of the listener may carry requests.
    yield_now().await;
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        open(stream, None);
    }
    drop(listener);
    tasks.close();
    let _ = timeout(drain.left().unwrap_or_default(), tasks.wait()).await;
}

/// Waits for a place for a new connection. Idle connections give way to it.
async fn place(slots: &Arc<Semaphore>, open: &Connections) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(permit) = Arc::clone(slots).try_acquire_owned() {
            return Some(permit);
        }
        Connection::evict_longest_idle(open.lock().values().filter_map(Weak::upgrade));
        let freed = timeout(EVICTION_INTERVAL, Arc::clone(slots).acquire_owned());
        if let Ok(permit) = freed.await {
            return permit.ok();
        }
    }
}

/// How the service of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// With its last answer, or by the caller.
    Answered,
    /// It was idle.
    Idle,
}

async fn serve_connection(
    stream: TcpStream,
    connection: Arc<Connection>,
    router: Router,
    limits: impl Fn() -> Limits + Send + Sync + 'static,
    drain: Arc<Drain>,
) -> End {
    // A token is a small packet, which Nagle's algorithm would delay until the previous one is
    // acknowledged.
    let _ = stream.set_nodelay(true);
    let socket = Socket::new(stream, Arc::clone(&connection));
    let limits = Arc::new(limits);
    let idle = || match drain.lingers() {
        true => IdleLimits {
            idle: limits().idle,
            head: limits().idle,
        },
        false => IdleLimits {
            idle: LAST_IDLE,
            head: QUIET_PERIOD,
        },
    };
    let http2 = tokio::select! {
        biased;
        http2 = is_http2(&socket) => http2,
        reason = connection.idle_end(idle) => {
            connection.set_reason(reason);
            return End::Idle;
        }
    };
    if http2 {
        connection.set_http2();
    }
    let opened = limits();
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_headers(MAX_HEADERS)
        .max_buf_size(opened.headers.max(HEAD_BUFFER));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(opened.headers.max(HEAD_BUFFER) as u32)
        .keep_alive_interval(Some(opened.idle));
    let tracked = Arc::clone(&connection);
    let current = Arc::clone(&limits);
    let service = service_fn(move |request: Request<Incoming>| {
        let fits = head_bytes(&request) <= current().headers.max(MIN_HEAD);
        let router = TowerToHyperService::new(match fits {
            true => router.clone(),
            false => Router::new().fallback(head_too_large),
        });
        track(request, Arc::clone(&tracked), move |r| router.call(r))
    });
    let served = builder.serve_connection(TokioIo::new(socket), service);
    tokio::pin!(served);
    let idle_end = async {
        match http2 {
            true => std::future::pending().await,
            false => connection.idle_end(idle).await,
        }
    };
    let linger = async {
        drain.begun().await;
        if !http2 {
            let left = MIN_LINGER.saturating_sub(drain.since().unwrap_or_default());
            tokio::time::sleep(left).await;
        }
    };
    tokio::select! {
        biased;
        ended = served.as_mut() => {
            connection.set_result(ended);
            return End::Answered;
        }
        reason = idle_end => {
            connection.set_reason(reason);
            return End::Idle;
        }
        () = linger => {}
    }
    if http2 {
        served.as_mut().graceful_shutdown();
        connection.set_result(served.await);
        return End::Answered;
    }
    tokio::select! {
        biased;
        ended = served.as_mut() => {
            connection.set_result(ended);
            End::Answered
        }
        reason = connection.idle_end(idle) => {
            connection.set_reason(reason);
            End::Idle
        }
    }
}

/// Size of a request's head on an HTTP/1 connection.
fn head_bytes<B>(request: &Request<B>) -> usize {
    /// Separators of a header, and what surrounds the path in the first line.
    const SEPARATORS: usize = ": \r\n".len();
    const FIRST_LINE: usize = "  HTTP/1.1\r\n\r\n".len();
    let headers = request.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum();
    let path = request
        .uri()
        .path_and_query()
        .map_or(0, |p| p.as_str().len());
    request.method().as_str().len() + path + FIRST_LINE + headers
}

async fn head_too_large() -> impl IntoResponse {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    (status, [(CONNECTION, "close")])
}

/// Whether the caller uses HTTP/2, where GOAWAY stops new streams at once. An HTTP/1 connection
/// stays open during [`MIN_LINGER`], because a request may already be in transit; its responses
/// carry `connection: close`. Afterwards it is closed between two requests; a later request would
/// be refused.
async fn is_http2(socket: &Socket) -> bool {
    const PREFACE: &[u8; 3] = b"PRI";
    let mut head = [0; PREFACE.len()];
    loop {
        match socket.peek(&mut head).await {
            Ok(n) if n > 0 && n < head.len() && PREFACE.starts_with(&head[..n]) => {
                tokio::time::sleep(PEEK_INTERVAL).await;
            }
            Ok(n) => return n == head.len() && head == *PREFACE,
            Err(_) => return false,
        }
    }
}

async fn drained(drain: &Drain) {
    drain.begun().await;
    let begun = Instant::now();
    tokio::time::sleep(MIN_LINGER).await;
    while !drain.is_quiet(begun) && drain.left() > Some(Duration::ZERO) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
