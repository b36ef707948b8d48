//! A test client that sends requests and records server-sent events with their arrival times.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use endivefork::http::{Client, Error, Via, request};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::Value;

/// Timeout for the head of a response.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// A received token.
#[derive(Clone, Debug, PartialEq)]
pub struct Token {
    pub id: u64,
    pub text: String,
    pub at: Instant,
}

/// The received part of one streamed answer.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: StatusCode,
    pub tokens: Vec<Token>,
    pub finish: Option<String>,
    pub error: Option<Value>,
    pub done: bool,
}

impl Seen {
    /// The tokens' texts in order of arrival.
    pub fn texts(&self) -> Vec<&str> {
        self.tokens.iter().map(|t| t.text.as_str()).collect()
    }

    /// Largest gap between two tokens.
    pub fn worst_gap(&self) -> Duration {
        let gaps = self.tokens.windows(2).map(|w| w[1].at - w[0].at);
        gaps.max().unwrap_or_default()
    }

    /// Whether the ids are consecutive from `first`.
    pub fn in_order(&self, first: u64) -> bool {
        let ids = self.tokens.iter().map(|t| t.id);
        ids.eq(first..first + self.tokens.len() as u64)
    }

    fn apply_event(&mut self, event: &str) {
        let mut id = None;
        let mut name = "";
        let mut data = "";
        for line in event.lines() {
            match line.split_once(": ") {
                Some(("id", v)) => id = v.parse().ok(),
                Some(("event", v)) => name = v,
                Some(("data", v)) => data = v,
                _ => {}
            }
        }
        match (name, data, id) {
            ("error", data, _) => self.error = serde_json::from_str(data).ok(),
            (_, "[DONE]", _) => self.done = true,
            (_, data, Some(id)) => self.token(id, data),
            (_, data, None) => {
                let value: Value = serde_json::from_str(data).expect("JSON data");
                let finish = &value["choices"][0]["finish_reason"];
                self.finish = finish.as_str().map(str::to_owned);
            }
        }
    }

    fn token(&mut self, id: u64, data: &str) {
        let value: Value = serde_json::from_str(data).expect("JSON data");
        let choice = &value["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or_else(|| choice["delta"]["content"].as_str());
        self.tokens.push(Token {
            id,
            text: text.expect("a token's text").to_owned(),
            at: Instant::now(),
        });
    }
}

/// A request to an instance.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub addr: SocketAddr,
    pub path: String,
    pub method: Method,
    pub account: String,
    pub key: Option<String>,
    pub last: Option<u64>,
    pub body: Value,
}

impl CallerRequest {
    /// A streamed completion of `prompt` by the model `model`.
    pub fn completion(addr: SocketAddr, model: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            addr,
            path: "/v1/completions".into(),
            method: Method::POST,
            account: "key-one".into(),
            key: None,
            last: None,
            body: serde_json::json!({
                "model": model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": true,
            }),
        }
    }

    /// A call to a plain service.
    pub fn service(addr: SocketAddr, method: Method, service: &str, path: &str) -> Self {
        Self {
            addr,
            path: format!("/services/{service}{path}"),
            method,
            account: "key-one".into(),
            key: None,
            last: None,
            body: Value::Null,
        }
    }

    pub fn at(mut self, addr: SocketAddr) -> Self {
        self.addr = addr;
        self
    }

    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    pub fn account(mut self, account: &str) -> Self {
        self.account = account.into();
        self
    }

    pub fn last(mut self, last: u64) -> Self {
        self.last = Some(last);
        self
    }

    pub fn body(mut self, body: Value) -> Self {
        self.body = body;
        self
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let url = format!("http://{}{}", self.addr, self.path);
        let body = match &self.body {
            Value::Null => String::new(),
            body => body.to_string(),
        };
        let mut request = request(self.method.clone(), &url, body);
        let headers = request.headers_mut();
        let bearer = format!("Bearer {}", self.account);
        headers.insert("authorization", bearer.parse().expect("a header"));
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.parse().expect("a header"));
        }
        if let Some(last) = self.last {
            headers.insert("last-event-id", last.into());
        }
        request
    }

    /// Sends the request and reads the complete answer.
    pub async fn whole(&self, client: &Client) -> Result<(StatusCode, Value), Error> {
        let answer = client
            .send(Via::Fresh, self.request(), HEAD_TIMEOUT)
            .await?;
        let value = answer.json().unwrap_or(Value::Null);
        Ok((answer.status, value))
    }

    /// Sends the request and reads events until the end, a broken connection, or the first token for
    /// which `stop` returns true.
    pub async fn stream(&self, client: &Client, stop: impl Fn(&Token) -> bool) -> Seen {
        let response = match client.open(Via::Fresh, self.request(), HEAD_TIMEOUT).await {
            Ok(response) => response,
            Err(e) => {
                eprintln!("caller: {e}");
                return no_answer();
            }
        };
        let mut seen = Seen {
            status: response.status(),
            ..no_answer()
        };
        let streamed = response.headers().get("content-type");
        let streamed = streamed.is_some_and(|v| v == "text/event-stream");
        let mut body = response.into_body();
        let mut buffered = String::new();
        while let Some(Ok(frame)) = body.frame().await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffered.push_str(std::str::from_utf8(&data).expect("UTF-8"));
            while let Some(end) = buffered.find("\n\n").filter(|_| streamed) {
                let event: String = buffered.drain(..end + 2).collect();
                let before = seen.tokens.len();
                seen.apply_event(&event);
                let new_token = seen.tokens.len() > before;
                if new_token && seen.tokens.last().is_some_and(&stop) {
                    return seen;
                }
            }
        }
        if !streamed {
            seen.error = serde_json::from_str(&buffered).ok();
        }
        seen
    }

    /// Sends the request and reads events until the end or a broken connection.
    pub async fn all(&self, client: &Client) -> Seen {
        self.stream(client, |_| false).await
    }
}

fn no_answer() -> Seen {
    Seen {
        status: StatusCode::BAD_GATEWAY,
        tokens: Vec::new(),
        finish: None,
        error: None,
        done: false,
    }
}
