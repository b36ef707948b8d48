//! The calls themselves, each sent once: whether to repeat one is for its caller to decide.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::calls::{Calls, Op};
use super::{Changes, Error, Expect, InstanceList, List, Object};
use crate::http::{Answer, Client as Http, Error as HttpError, Via, encode, request};

/// Most objects in one page of a list.
pub const PAGE_LIMIT: usize = 500;

/// Most bytes of a value.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Wait after a refusal for rate that names no time.
const THROTTLE_WAIT: Duration = Duration::from_secs(1);

/// A client of one platform.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    timeout: Duration,
    http: Arc<Mutex<Pool>>,
    calls: Arc<Calls>,
}

/// The connections in use. A timeout replaces them all, since one may have gone silent.
#[derive(Debug)]
struct Pool {
    generation: u64,
    http: Http,
}

#[derive(Deserialize)]
struct Written {
    rev: u64,
}

impl Client {
    /// A client of the platform at `addr` that waits at most `timeout` for each answer.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let pool = Pool {
            generation: 0,
            http: Http::new(),
        };
        Self {
            addr,
            timeout,
            http: Arc::new(Mutex::new(pool)),
            calls: Arc::default(),
        }
    }

    /// Longest wait for an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// The calls made so far by this client and its clones.
    #[must_use]
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Reads an object.
    ///
    /// # Errors
    /// When the platform did not answer.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let path = object_path(kind, name);
        let answer = self.send(Op::Read, Method::GET, &path, Bytes::new()).await;
        match answer {
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => Ok(None),
            answer => decode(&answer?).map(Some),
        }
    }

    /// Writes an object under a condition and returns its new revision.
    ///
    /// # Errors
    /// [`Error::Conflict`] with the present object when the condition does not hold;
    /// [`Error::Unknown`] when the write may have taken effect or may do so later.
    pub async fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expect: Expect,
    ) -> Result<u64, Error> {
        let body = serde_json::to_vec(value).map_err(|e| Error::Rejected(e.to_string()))?;
        if body.len() > VALUE_LIMIT {
            return Err(Error::Rejected(format!(
                "{} bytes are too many",
                body.len()
            )));
        }
        let path = format!("{}?if_rev={}", object_path(kind, name), expect.rev());
        let answer = self
            .send(Op::Write, Method::PUT, &path, body.into())
            .await?;
        written(&answer)
    }

    /// Deletes an object of that revision and returns the deletion's revision; an absent object
    /// is a conflict without a present one.
    ///
    /// # Errors
    /// As for [`Self::put`].
    pub async fn delete(&self, kind: &str, name: &str, rev: u64) -> Result<u64, Error> {
        let path = format!("{}?if_rev={rev}", object_path(kind, name));
        let answer = self
            .send(Op::Delete, Method::DELETE, &path, Bytes::new())
            .await?;
        written(&answer)
    }

    /// Reads all objects of a kind whose names begin with `prefix`, page by page.
    ///
    /// # Errors
    /// When the platform did not answer for a page.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<List, Error> {
        let mut all = self.page(kind, prefix, "", PAGE_LIMIT).await?;
        let mut full = all.items.len() >= PAGE_LIMIT;
        while full {
            let after = all.items.last().map(|o| o.name.clone()).unwrap_or_default();
            let page = self.page(kind, prefix, &after, PAGE_LIMIT).await?;
            full = page.items.len() >= PAGE_LIMIT;
            all.items.extend(page.items);
        }
        Ok(all)
    }

    /// Reads one page: at most `limit` objects whose names come after `after`.
    ///
    /// # Errors
    /// When the platform did not answer.
    pub async fn page(
        &self,
        kind: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<List, Error> {
        let path = format!(
            "/v1/objects/{}?prefix={}&after={}&limit={limit}",
            encode(kind),
            encode(prefix),
            encode(after)
        );
        let answer = self
            .send(Op::List, Method::GET, &path, Bytes::new())
            .await?;
        decode(&answer)
    }

    /// Waits up to `wait` for changes of a kind after revision `from`.
    ///
    /// # Errors
    /// [`Error::Gone`] when `from` is too old.
    pub async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Result<Changes, Error> {
        let path = format!(
            "/v1/watch/{}?from={from}&wait_ms={}",
            encode(kind),
            wait.as_millis()
        );
        let limit = wait + self.timeout;
        let answer = self
            .send_within(Op::Watch, Method::GET, &path, Bytes::new(), limit)
            .await?;
        decode(&answer)
    }

    /// Reads the instance list.
    ///
    /// # Errors
    /// When the platform did not answer.
    pub async fn instances(&self) -> Result<InstanceList, Error> {
        let answer = self
            .send(Op::Instances, Method::GET, "/v1/instances", Bytes::new())
            .await?;
        decode(&answer)
    }

    async fn send(&self, op: Op, method: Method, path: &str, body: Bytes) -> Result<Answer, Error> {
        self.send_within(op, method, path, body, self.timeout).await
    }

    async fn send_within(
        &self,
        op: Op,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let url = format!("http://{}{path}", self.addr);
        let (generation, http) = self.connections();
        self.calls.add(op);
        let sent = http.send(Via::Pool, request(method, &url, body), limit);
        let result = match sent.await {
            Ok(answer) => check(answer),
            Err(e @ HttpError::Timeout(_)) => {
                self.replace(generation);
                Err(Error::Unknown(e.to_string()))
            }
            Err(e) if e.not_sent() => Err(Error::Unavailable(e.to_string())),
            Err(e) => Err(Error::Unknown(e.to_string())),
        };
        let label = result.as_ref().err().map_or("ok", Error::label);
        metrics::counter!("endivefork_platform_calls_total", "op" => op.label(), "result" => label)
            .increment(1);
        result
    }

    fn connections(&self) -> (u64, Http) {
        let pool = self.http.lock();
        (pool.generation, pool.http.clone())
    }

    fn replace(&self, generation: u64) {
        let mut pool = self.http.lock();
        if pool.generation == generation {
            *pool = Pool {
                generation: generation + 1,
                http: Http::new(),
            };
        }
    }
}

/// Turns a status code into what is certain. 404 stays an answer for [`Client::get`].
fn check(answer: Answer) -> Result<Answer, Error> {
    match answer.status {
        status if status.is_success() => Ok(answer),
        StatusCode::NOT_FOUND => Ok(answer),
        StatusCode::CONFLICT => Err(Error::Conflict(answer.json().ok().map(Box::new))),
        StatusCode::GONE => Err(Error::Gone),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled(retry_after(&answer))),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable("503".into())),
        status if status.is_server_error() => Err(Error::Unknown(status.to_string())),
        status => Err(Error::Rejected(status.to_string())),
    }
}

fn written(answer: &Answer) -> Result<u64, Error> {
    match answer.status {
        StatusCode::NOT_FOUND => Err(Error::Conflict(None)),
        _ => decode::<Written>(answer).map(|w| w.rev),
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    match answer.status {
        StatusCode::NOT_FOUND => Err(Error::Rejected("404 Not Found".into())),
        _ => answer
            .json()
            .map_err(|e| Error::Unknown(format!("could not decode the answer: {e}"))),
    }
}

fn retry_after(answer: &Answer) -> Duration {
    let header = answer.headers.get(RETRY_AFTER);
    let secs = header.and_then(|v| v.to_str().ok()?.parse().ok());
    secs.map_or(THROTTLE_WAIT, Duration::from_secs)
}

fn object_path(kind: &str, name: &str) -> String {
    format!("/v1/objects/{}/{}", encode(kind), encode(name))
}
