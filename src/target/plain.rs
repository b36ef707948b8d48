//! HTTP client of plain services. Connecting is separate from sending, so that an attempt knows
//! whether anything was sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio_util::task::AbortOnDropHandle;

use crate::connect::connect;
use crate::http::{Answer, check_head};

/// Timeout of a TCP connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit of an answer's body, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// Request headers that apply to the client's own connection and are not forwarded.
const HOP_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a request on an open connection got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection was closed before anything was sent.
    #[error("the connection was closed before the request")]
    NotSent,
    /// The request may have been sent; its answer was lost.
    #[error("answer lost: {0}")]
    Lost(String),
}

/// A new connection on which nothing has been sent. It carries one request.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

impl Connection {
    /// Opens a connection. Connections are not reused: an idle one may be dead without notice,
    /// and a request that must not be repeated cannot be retried on another.
    ///
    /// # Errors
    /// When the target refused the connection or did not answer in time. Nothing was sent.
    pub async fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let stream = connect(addr, CONNECT_TIMEOUT).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            connection.await.ok();
        });
        Ok(Self {
            addr,
            sender,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Whether the target has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends the request and reads the complete answer within `timeout`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] only if no byte of the request was sent.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, SendError> {
        let exchange = async {
            let response = self.sender.try_send_request(request).await;
            let response = response.map_err(|mut e| match e.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Lost(e.into_error().to_string()),
            })?;
            let response = check_head(response).map_err(|e| SendError::Lost(e.to_owned()))?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, BODY_LIMIT).collect().await;
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: body.map_err(|e| SendError::Lost(e.to_string()))?.to_bytes(),
            })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(SendError::Lost(format!("no answer within {timeout:?}"))))
    }

    /// Builds a request for this connection's target.
    ///
    /// # Errors
    /// When the path is invalid.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::new(body))?;
        *request.headers_mut() = forwarded(headers);
        let host = HeaderValue::from_str(&self.addr.to_string())?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }
}

/// The client's headers that are forwarded to a target.
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let passes = |name: &HeaderName| !HOP_HEADERS.contains(&name.as_str());
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Content type of an answer; empty if it has none.
#[must_use]
pub fn content_type(headers: &HeaderMap) -> &str {
    let value = headers.get(CONTENT_TYPE);
    value.and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Answer to a status call.
#[derive(Debug, Deserialize)]
struct Status {
    state: String,
    status: Option<u16>,
    body: Option<Box<RawValue>>,
}

/// Status code and body of a completed action, from the answer to a status call. `None` if the
/// target does not know the action or has not completed it.
#[must_use]
pub fn ran(answer: &Answer) -> Option<(u16, Bytes)> {
    let known = answer.status.is_success();
    let status: Status = known.then(|| answer.json().ok()).flatten()?;
    let body = status.body.map_or_else(String::new, |b| b.get().to_owned());
    (status.state == "done").then(|| (status.status.unwrap_or(200), Bytes::from(body)))
}
