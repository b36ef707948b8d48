//! Registry of the callers' requests that are not completely answered yet.
//!
//! A request is open from its head until the last byte of its answer was handed to the connection.
//! One that was read whole and that this process ends without a complete answer is logged.

use std::convert::Infallible;
use std::fmt;
use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::{Pin, pin};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::Request;
use axum::response::Response;
use bytes::Bytes;
use http::StatusCode;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use smol_str::SmolStr;
use tokio::time::timeout;

use super::close::{BURST_LINES, Closed, LINES_PER_SECOND};
use super::connection::Connection;
use super::request_body::RequestBody;
use crate::telemetry::LineRate;

/// Reason of a request whose handler or answer panicked.
const PANICKED: &str = "a task panicked";

/// Reason of an answer that ended with an error of its source.
const BROKEN: &str = "the answer broke off";

/// Time for an answer that has failed to be sent up to its error.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Key of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RequestKey(u64);

#[derive(Debug)]
struct Entry {
    id: SmolStr,
    /// Its route, or its service on the own interface.
    route: SmolStr,
    /// Version of the rules, or revision of the configuration, in force when the request was accepted.
    rules: u64,
    /// Status of the answer that has begun; zero before.
    status: u16,
    arrived: Instant,
    /// Whether the whole request was read.
    is_read: bool,
    /// Why the answer is about to be aborted.
    reason: &'static str,
}

/// Where unanswered requests are reported.
struct Report {
    log: Logger,
    version: Box<dyn Fn() -> u64 + Send + Sync>,
}

#[derive(Debug, Default)]
struct Entries {
    open: IndexMap<RequestKey, Entry>,
    last: u64,
}

/// The open requests of a process.
pub struct OpenRequests {
    entries: Mutex<Entries>,
    report: OnceLock<Report>,
    /// Limit of the lines about closed connections.
    closes: LineRate,
}

impl Default for OpenRequests {
    fn default() -> Self {
        Self {
            entries: Mutex::default(),
            report: OnceLock::new(),
            closes: LineRate::new(LINES_PER_SECOND, BURST_LINES),
        }
    }
}

impl fmt::Debug for OpenRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OpenRequests")
            .field("open", &self.len())
            .finish_non_exhaustive()
    }
}

impl OpenRequests {
    /// Logs unanswered requests to `log`, with the `version` of the rules in force.
    pub(crate) fn report_to(&self, log: Logger, version: impl Fn() -> u64 + Send + Sync + 'static) {
        let version = Box::new(version);
        // The first log stays.
        let _ = self.report.set(Report { log, version });
    }

    /// Number of open requests.
    pub(crate) fn len(&self) -> usize {
        self.entries.lock().open.len()
    }

    fn add(&self) -> RequestKey {
        let mut entries = self.entries.lock();
        entries.last += 1;
        let key = RequestKey(entries.last);
        let entry = Entry {
            id: SmolStr::default(),
            route: SmolStr::default(),
            rules: 0,
            status: 0,
            arrived: Instant::now(),
            is_read: false,
            reason: BROKEN,
        };
        entries.open.insert(key, entry);
        key
    }

    fn update(&self, key: RequestKey, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.entries.lock().open.get_mut(&key) {
            change(entry);
        }
    }

    /// Removes a request that was answered, or whose caller left.
    pub(crate) fn remove(&self, key: RequestKey) {
        self.entries.lock().open.swap_remove(&key);
    }

    /// Removes and logs a request that this process does not answer.
    fn abandon(&self, key: RequestKey) {
        let entry = self.entries.lock().open.swap_remove(&key);
        if let Some(entry) = entry {
            self.log(&entry, entry.reason);
        }
    }

    /// Removes and logs all open requests. Returns the number that had been read whole.
    pub(crate) fn abandon_all(&self, reason: &'static str) -> usize {
        let open = std::mem::take(&mut self.entries.lock().open);
        let logged = open.values().filter(|entry| self.log(entry, reason));
        logged.count()
    }

    fn log(&self, entry: &Entry, reason: &'static str) -> bool {
        if !entry.is_read {
            self.log_unread(entry, reason);
            return false;
        }
        metrics::counter!("endivefork_unanswered_total", "reason" => reason).increment(1);
        if let Some(report) = self.report.get() {
            warn!(report.log, "request: unanswered";
                "id" => entry.id.as_str(), "route" => entry.route.as_str(),
                "rules" => entry.rules, "in_force" => (report.version)(),
                "status" => entry.status, "why" => reason,
                "ms" => entry.arrived.elapsed().as_millis() as u64);
        }
        true
    }

    /// Logs a request of which only the head, or a part of the body, was read.
    fn log_unread(&self, entry: &Entry, reason: &'static str) {
        if let Some(report) = self.report.get() {
            info!(report.log, "request: not read whole";
                "id" => entry.id.as_str(), "route" => entry.route.as_str(),
                "status" => entry.status, "why" => reason,
                "ms" => entry.arrived.elapsed().as_millis() as u64);
        }
    }

    /// Counts a closed connection, and logs it if a caller may miss an answer to its `last` request
    /// or to bytes that came after it.
    pub(super) fn log_close(&self, closed: &Closed, last: Option<RequestKey>) {
        let reason = closed.reason.label();
        metrics::counter!("endivefork_connections_closed_total", "reason" => reason).increment(1);
        let (Some(report), true) = (self.report.get(), closed.is_notable()) else {
            return;
        };
        let Some(suppressed) = self.closes.admit() else {
            return;
        };
        let (id, status, is_read) = {
            let entries = self.entries.lock();
            let entry = last.and_then(|key| entries.open.get(&key));
            entry.map_or_else(Default::default, |e| (e.id.clone(), e.status, e.is_read))
        };
        info!(report.log, "connection: closed";
            "why" => reason, "error" => closed.error.as_str(), "from" => closed.peer.as_str(),
            "age_ms" => closed.age.as_millis() as u64, "idle_ms" => closed.idle.as_millis() as u64,
            "requests" => closed.requests, "running" => closed.running,
            "pending" => closed.pending, "unread" => closed.unread, "written" => closed.written,
            "drain_ms" => closed.drain.map_or(-1, |d| d.as_millis() as i64),
            "id" => id.as_str(), "status" => status, "read" => is_read,
            "left_out" => suppressed);
    }
}

/// Handle of an open request for its handler, in the extensions of the request.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    requests: Arc<OpenRequests>,
    key: RequestKey,
}

impl OpenRequest {
    /// States what the request is, for the log.
    pub(crate) fn describe(&self, id: &SmolStr, route: &SmolStr, rules: u64) {
        self.requests.update(self.key, |entry| {
            entry.id = id.clone();
            entry.route = route.clone();
            entry.rules = rules;
        });
    }

    /// States why the answer, which has begun, is about to end with an error.
    pub(crate) fn will_abort(&self, reason: &'static str) {
        self.requests.update(self.key, |e| e.reason = reason);
    }

    pub(super) fn whole_read(&self) {
        self.requests.update(self.key, |e| e.is_read = true);
    }
}

/// Runs the handler of a request, which is open until its answer was handed to `connection`. A
/// handler that panics is answered in its place.
///
/// # Errors
/// None; the HTTP library asks for a result.
pub(crate) async fn track<F>(
    request: Request<Incoming>,
    connection: Arc<Connection>,
    handle: impl FnOnce(Request) -> F + Send,
) -> Result<Response, Infallible>
where
    F: Future<Output = Result<Response, Infallible>>,
{
    let requests = Arc::clone(connection.requests());
    let key = requests.add();
    connection.begin(key);
    let open = OpenRequest { requests, key };
    let (mut head, body) = request.into_parts();
    head.extensions.insert(open.clone());
    let body = RequestBody::new(body, &head, open.clone(), Arc::clone(&connection));
    let mut answer = Answer {
        inner: Body::empty(),
        failure: None,
        handed: Handed::Now,
        open: open.clone(),
        connection,
    };
    let mut running = pin!(handle(Request::from_parts(head, Body::new(body))));
    let handled = poll_fn(|cx| {
        let polled = catch_unwind(AssertUnwindSafe(|| running.as_mut().poll(cx)));
        polled.map_or_else(|_| Poll::Ready(None), |polled| polled.map(Some))
    });
    let response = handled.await.unwrap_or_else(|| Ok(internal_error()))?;
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    open.requests.update(key, |e| e.status = status);
    answer.inner = body;
    Ok(Response::from_parts(head, Body::new(answer)))
}

fn internal_error() -> Response {
    let mut response = Response::new(Body::from("internal error\n"));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

type Failure = Pin<Box<dyn Future<Output = axum::Error> + Send>>;

/// When the HTTP library was last given bytes.
#[derive(Clone, Copy, Debug)]
enum Handed {
    /// Since the body was last polled.
    Now,
    /// After so many flushes.
    After(u64),
}

/// The body of an answer. When it is dropped, the connection holds the request until all bytes are
/// written.
struct Answer {
    inner: Body,
    /// The error that ends it, once the bytes before it are sent.
    failure: Option<Failure>,
    handed: Handed,
    open: OpenRequest,
    connection: Arc<Connection>,
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if self.failure.is_none() {
            let flushes = self.connection.flushes();
            if let Handed::Now = self.handed {
                self.handed = Handed::After(flushes);
            }
            let inner = &mut self.inner;
            let polled = catch_unwind(AssertUnwindSafe(|| Pin::new(inner).poll_frame(cx)));
            let polled = polled.unwrap_or_else(|_| {
                self.open.will_abort(PANICKED);
                Poll::Ready(Some(Err(axum::Error::new(PANICKED))))
            });
            let error = match polled {
                Poll::Ready(Some(Err(error))) => error,
                Poll::Ready(Some(Ok(_))) => {
                    self.handed = Handed::Now;
                    return polled;
                }
                polled => return polled,
            };
            self.inner = Body::empty();
            self.open.requests.abandon(self.open.key);
            if matches!(self.handed, Handed::After(before) if before != flushes) {
                return Poll::Ready(Some(Err(error)));
            }
            // The HTTP library drops what it has not sent when it gets an error.
            let flushed = self.connection.flushed();
            self.failure = Some(Box::pin(async move {
                let _ = timeout(FLUSH_TIMEOUT, flushed).await;
                error
            }));
        }
        let failure = self.failure.as_mut().expect("the answer has failed");
        failure.as_mut().poll(cx).map(|error| Some(Err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.connection.hold(self.open.key);
    }
}
