//! HTTP client with a connection pool, for calls to the platform and the targets, and reading of
//! size-limited bodies.

mod buffer;
mod discard;
#[cfg(test)]
mod tests;

use std::fmt;
use std::time::Duration;

use buffer::Buffer;
use bytes::Bytes;
pub(crate) use discard::{DISCARD_MAX, discard};
use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

/// Timeout for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size in bytes of a response that is read completely.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Multiple of its size limit up to which a request body is read and discarded.
const DISCARD_FACTOR: usize = 16;

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// An idle connection if there is one.
    Pool,
    /// A new connection, because an idle one may be dead without notice.
    Fresh,
}

/// Why a request failed without an answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection was refused or timed out: the request was not sent.
    #[error("could not connect: {0}")]
    Connect(String),
    /// The request may have been sent; its answer was lost.
    #[error("answer lost: {0}")]
    Lost(String),
    /// No answer within the timeout; the request may have been sent.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

impl Error {
    /// Whether the request certainly did not reach the server.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// When the body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// A client with a pool of idle connections.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    fresh: Pool<HttpConnector, Full<Bytes>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

impl Client {
    /// A client with an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::connecting_within(CONNECT_TIMEOUT)
    }

    /// A client with a connect timeout of `limit`.
    #[must_use]
    pub fn connecting_within(limit: Duration) -> Self {
        Self {
            pool: pool(usize::MAX, limit),
            fresh: pool(0, limit),
        }
    }

    /// Sends a request and returns the response's head with its streaming body.
    ///
    /// # Errors
    /// When no head was received within `timeout`.
    pub async fn open(
        &self,
        via: Via,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let pool = match via {
            Via::Pool => &self.pool,
            Via::Fresh => &self.fresh,
        };
        match tokio::time::timeout(timeout, pool.request(request)).await {
            Err(_) => Err(Error::Timeout(timeout)),
            Ok(Err(e)) if e.is_connect() => Err(Error::Connect(error_chain(&e))),
            Ok(Err(e)) => Err(Error::Lost(error_chain(&e))),
            Ok(Ok(response)) => check_head(response).map_err(|e| Error::Lost(e.to_owned())),
        }
    }

    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// # Errors
    /// When the complete response was not received in time.
    pub async fn send(
        &self,
        via: Via,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let exchange = async {
            let response = self.open(via, request, timeout).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|e| Error::Lost(e.to_string()))?
                .to_bytes();
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(Error::Timeout(timeout)))
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// Passes on a final response whose end can be told. No request asks for another protocol, so a
/// switch to one precedes no answer. Behind a transfer coding other than `chunked`, which
/// no request accepts, a body ends with its connection, whatever length is stated.
///
/// # Errors
/// What is wrong with the head.
pub(crate) fn check_head<B>(response: Response<B>) -> Result<Response<B>, &'static str> {
    let is_chunked = |v: &HeaderValue| v.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
    let mut codings = response.headers().get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        _ if response.status() == StatusCode::SWITCHING_PROTOCOLS => Err("protocol switched"),
        (None, _) => Ok(response),
        (Some(coding), None) if is_chunked(coding) => Ok(response),
        _ => Err("unknown transfer coding"),
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It has more bytes than are allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// It ended before it was complete.
    #[error("the body ended before it was complete")]
    Broken,
}

/// First capacity in bytes of the buffer of a body whose length is not stated, and the factor by which
/// it grows up to the limit. The buffer before it is held as well while it is copied.
const FIRST_CAPACITY: usize = 8 * 1024;
const GROWTH_FACTOR: usize = 16;

/// Reads a complete body of at most `limit` bytes. Excess bytes are read and discarded up to
/// [`DISCARD_FACTOR`] times the limit, so that the sender receives the error rather than a
/// connection reset.
///
/// # Errors
/// When the body is too large or incomplete.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let read = read_reserved(body, limit, |_| true).await;
    read.map(Option::unwrap_or_default)
}

/// As [`read_body`], into a buffer for whose capacity in bytes `reserve` is asked first: once if the
/// body states its length, or else whenever the buffer grows. A body for which there is no memory
/// is read and discarded: `None`.
///
/// # Errors
/// When the body is too large or incomplete.
pub(crate) async fn read_reserved<B>(
    mut body: B,
    limit: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Option<Bytes>, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let stated = body.size_hint().exact();
    let stated = stated.and_then(|n| usize::try_from(n).ok());
    let mut capacity = stated.filter(|n| *n <= limit).unwrap_or_default();
    let mut fits = reserve(capacity);
    let mut kept = Buffer::with_capacity(if fits { capacity } else { 0 });
    let mut total = 0_usize;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        total = total.saturating_add(data.len());
        if fits && total > capacity && total <= limit {
            let next = (capacity * GROWTH_FACTOR).clamp(FIRST_CAPACITY, limit.max(FIRST_CAPACITY));
            capacity = next.max(total);
            fits = reserve(capacity);
            if fits {
                kept.grow(capacity);
            }
        }
        match total {
            total if total <= limit && fits => kept.extend_from_slice(&data),
            total if total <= limit.saturating_mul(DISCARD_FACTOR) => {
                kept = Buffer::with_capacity(0);
            }
            _ => break,
        }
    }
    match total {
        total if total > limit => Err(BodyError::TooLarge(limit)),
        _ => Ok(fits.then(|| kept.freeze())),
    }
}

/// Builds a JSON request without other headers.
#[must_use]
pub fn request(method: Method, url: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(url)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .expect("the URL is built from checked parts")
}

/// The message of an error followed by those of its causes.
fn error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    let texts: Vec<_> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}

/// Percent-encodes a path segment or query value.
#[must_use]
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                out.push(char::from(byte));
            }
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

fn pool(idle: usize, limit: Duration) -> Pool<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limit));
    Pool::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .retry_canceled_requests(false)
        .build(connector)
}
