//! HTTP client of a model engine: starts, resumes, queries and cancels attempts, and reads their
//! token streams.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use http::{Method, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::http::{Client, Error, Via, request};

/// Limit of a line of a stream, in bytes.
const LINE_LIMIT: usize = 1 << 20;

/// Why an attempt ended normally.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The model ended the answer.
    Stop,
    /// The length limit was reached.
    Length,
}

impl Reason {
    /// Its name in the APIs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Request body that starts an attempt.
#[derive(Clone, Debug, Serialize)]
pub struct Start<'a> {
    /// Unique name of the attempt.
    pub attempt: &'a str,
    /// Name of the request.
    pub request: &'a str,
    /// Model.
    pub model: &'a str,
    /// Version.
    pub version: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Tokens that the answer starts with.
    pub prefix: &'a [SmolStr],
    /// Limit of the answer in tokens, prefix included.
    pub max_tokens: u64,
    /// Higher values are scheduled first.
    pub priority: i64,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waits for a slot.
    Queued,
    /// Generates.
    Running,
    /// Ended.
    Done,
    /// Cancelled.
    Cancelled,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Position {
    /// Its state.
    pub state: Phase,
    /// Index of its next token.
    pub next: u64,
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// The stream is open; the next token has this index.
    Open(u64),
    /// A token.
    Token(u64, SmolStr),
    /// The attempt ended; the index after the last token.
    End(Reason, u64),
    /// The attempt failed.
    Failed(SmolStr),
}

/// Why a stream could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No connection was made, so the engine did not receive the call.
    #[error("could not connect")]
    Unsent,
    /// The connection was lost; the engine may have received the call.
    #[error("connection lost")]
    Lost,
    /// No answer in time; the engine may have received the call.
    #[error("no answer in time")]
    Silent,
    /// The engine does not know the attempt.
    #[error("attempt unknown")]
    Unknown,
    /// The engine did not admit the attempt, and will not run it.
    #[error("not admitted: {0}")]
    NotRun(SmolStr),
    /// An unexpected status code.
    #[error("status {0}")]
    Status(u16),
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        match error {
            Error::Connect(_) => Self::Unsent,
            Error::Lost(_) => Self::Lost,
            Error::Timeout(_) => Self::Silent,
        }
    }
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
    addr: SocketAddr,
}

impl Engine {
    /// Creates a client of the engine at `addr`.
    #[must_use]
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Starts an attempt, over a new connection: a refusal names no attempt, so on a reused one it
    /// could belong to an earlier attempt.
    ///
    /// # Errors
    /// When no stream was opened within `timeout`.
    pub async fn start(&self, start: &Start<'_>, timeout: Duration) -> Result<Stream, Refusal> {
        let body = serde_json::to_vec(start).expect("a start is plain JSON");
        let url = format!("http://{}/v1/attempts", self.addr);
        self.open(Via::Fresh, request(Method::POST, &url, body), timeout)
            .await
    }

    /// Reads an attempt's stream from index `from`, over a new connection.
    ///
    /// # Errors
    /// When no stream was opened within `timeout`.
    pub async fn resume(
        &self,
        attempt: &str,
        from: u64,
        timeout: Duration,
    ) -> Result<Stream, Refusal> {
        let url = format!(
            "http://{}/v1/attempts/{attempt}/stream?from={from}",
            self.addr
        );
        self.open(Via::Fresh, request(Method::GET, &url, ""), timeout)
            .await
    }

    /// Queries the progress of an attempt over a new connection.
    ///
    /// # Errors
    /// When no valid answer arrived within `timeout`.
    pub async fn position(&self, attempt: &str, timeout: Duration) -> Result<Position, Refusal> {
        let url = format!("http://{}/v1/attempts/{attempt}", self.addr);
        let call = request(Method::GET, &url, "");
        let answer = self.client.send(Via::Fresh, call, timeout).await?;
        match answer.status {
            StatusCode::OK => answer.json().map_err(|_| Refusal::Lost),
            StatusCode::NOT_FOUND => Err(Refusal::Unknown),
            status => Err(Refusal::Status(status.as_u16())),
        }
    }

    /// Cancels an attempt, over a new connection.
    ///
    /// # Errors
    /// When no answer arrived within `timeout`.
    pub async fn cancel(&self, attempt: &str, timeout: Duration) -> Result<(), Refusal> {
        let url = format!("http://{}/v1/attempts/{attempt}", self.addr);
        let call = request(Method::DELETE, &url, "");
        self.client.send(Via::Fresh, call, timeout).await?;
        Ok(())
    }

    async fn open(
        &self,
        via: Via,
        call: http::Request<http_body_util::Full<bytes::Bytes>>,
        timeout: Duration,
    ) -> Result<Stream, Refusal> {
        let response = self.client.open(via, call, timeout).await?;
        let (head, body) = response.into_parts();
        if head.status == StatusCode::OK {
            return Ok(Stream::new(body));
        }
        if head.status == StatusCode::NOT_FOUND {
            return Err(Refusal::Unknown);
        }
        let body = tokio::time::timeout(timeout, body.collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(Refusal::Lost),
            Err(_) => return Err(Refusal::Silent),
        };
        match serde_json::from_slice::<Refused>(&body) {
            Ok(refused) if refused.not_run => Err(Refusal::NotRun(refused.error)),
            _ => Err(Refusal::Status(head.status.as_u16())),
        }
    }
}

#[derive(Deserialize)]
struct Refused {
    error: SmolStr,
    #[serde(default)]
    not_run: bool,
}

/// An attempt's open stream.
pub struct Stream {
    body: Incoming,
    buf: BytesMut,
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Stream")
    }
}

impl Stream {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
        }
    }

    /// Reads until at least one complete line has arrived and appends the complete lines to
    /// `lines`. Returns `false` when the stream has failed or ended.
    ///
    /// Cancel safe: no line is lost when the future is dropped.
    pub async fn read(&mut self, lines: &mut Vec<Line>) -> bool {
        while lines.is_empty() {
            let Some(Ok(frame)) = self.body.frame().await else {
                return false;
            };
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
            if !self.split(lines) {
                return false;
            }
        }
        true
    }

    fn split(&mut self, lines: &mut Vec<Line>) -> bool {
        while let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
            let Ok(line) = serde_json::from_slice(&self.buf[..end]) else {
                return false;
            };
            lines.push(line);
            self.buf.advance(end + 1);
        }
        self.buf.len() <= LINE_LIMIT
    }
}

impl<'de> Deserialize<'de> for Line {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(LineVisitor)
    }
}

struct LineVisitor;

impl<'de> Visitor<'de> for LineVisitor {
    type Value = Line;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a line of an attempt's stream")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Line, A::Error> {
        let mut index = None;
        let mut text = None;
        let mut next = None;
        let mut end = None;
        let mut total = None;
        let mut error = None;
        while let Some(key) = map.next_key::<Field>()? {
            match key {
                Field::Index => index = Some(map.next_value::<u64>()?),
                Field::Text => text = Some(map.next_value::<SmolStr>()?),
                Field::Next => next = Some(map.next_value::<u64>()?),
                Field::End => end = Some(map.next_value::<Reason>()?),
                Field::Total => total = Some(map.next_value::<u64>()?),
                Field::Error => error = Some(map.next_value::<SmolStr>()?),
                Field::Other => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        match (index, text, end, total, error, next) {
            (Some(i), Some(t), ..) => Ok(Line::Token(i, t)),
            (_, _, Some(reason), Some(n), ..) => Ok(Line::End(reason, n)),
            (.., Some(reason), _) => Ok(Line::Failed(reason)),
            (.., Some(next)) => Ok(Line::Open(next)),
            _ => Err(serde::de::Error::custom("not a line of a stream")),
        }
    }
}

enum Field {
    Index,
    Text,
    Next,
    End,
    Total,
    Error,
    Other,
}

impl<'de> Deserialize<'de> for Field {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_identifier(FieldVisitor)
    }
}

struct FieldVisitor;

impl Visitor<'_> for FieldVisitor {
    type Value = Field;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a field name")
    }

    fn visit_str<E: serde::de::Error>(self, name: &str) -> Result<Field, E> {
        Ok(match name {
            "i" => Field::Index,
            "t" => Field::Text,
            "next" => Field::Next,
            "end" => Field::End,
            "n" => Field::Total,
            "error" => Field::Error,
            _ => Field::Other,
        })
    }
}
