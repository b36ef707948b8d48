//! The calls themselves, each sent once: whether to repeat one is for its caller to decide.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::calls::{Calls, Op};
use super::{Changes, Error, Expect, InstanceList, List, Object, Page, Part, Spelling};
use crate::http::{Answer, Client as Http, Error as HttpError, Via, request};

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
    spelling: Spelling,
    http: Arc<Mutex<Pool>>,
    calls: Arc<Calls>,
}

/// The connections in use. A timeout replaces them all, since one may have gone silent.
#[derive(Debug)]
struct Pool {
    generation: u64,
    http: Http,
}

impl Client {
    /// A client of the platform at `addr` that waits at most `timeout` for each answer.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self::spelling(addr, timeout, Spelling::OWN)
    }

    /// A client of a platform that spells its calls in another way.
    #[must_use]
    pub fn spelling(addr: SocketAddr, timeout: Duration, spelling: Spelling) -> Self {
        let pool = Pool {
            generation: 0,
            http: Http::new(),
        };
        Self {
            addr,
            timeout,
            spelling,
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
        let path = (self.spelling.object)(kind, name);
        let answer = self.send(Op::Read, Method::GET, &path, Bytes::new()).await;
        match answer {
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => Ok(None),
            answer => read(&answer?, |b| (self.spelling.read_object)(kind, b)).map(Some),
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
        let rejected = |e: serde_json::Error| Error::Rejected(e.to_string());
        let value = serde_json::to_value(value).map_err(rejected)?;
        let body = (self.spelling.body)(name, &value, expect);
        let body = serde_json::to_vec(&body).map_err(rejected)?;
        if body.len() > VALUE_LIMIT {
            return Err(Error::Rejected(format!(
                "{} bytes are too many",
                body.len()
            )));
        }
        let path = (self.spelling.write)(kind, name, expect);
        let answer = self
            .send(
                Op::Write,
                (self.spelling.method)(expect),
                &path,
                body.into(),
            )
            .await?;
        self.written(&answer)
    }

    /// Deletes an object of that revision and returns the deletion's revision; an absent object
    /// is a conflict without a present one.
    ///
    /// # Errors
    /// As for [`Self::put`].
    pub async fn delete(&self, kind: &str, name: &str, rev: u64) -> Result<u64, Error> {
        let path = (self.spelling.write)(kind, name, Expect::Rev(rev));
        let answer = self
            .send(Op::Delete, Method::DELETE, &path, Bytes::new())
            .await?;
        self.written(&answer)
    }

    /// Reads all objects of a kind whose names begin with `prefix`, page by page.
    ///
    /// # Errors
    /// When the platform did not answer for a page.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<List, Error> {
        let first = Part {
            prefix,
            after: "",
            limit: PAGE_LIMIT,
        };
        let (mut all, mut more) = self.part(kind, first).await?;
        while more {
            let after = all.items.last().map(|o| o.name.clone());
            let after = after.unwrap_or_default();
            let part = Part {
                after: &after,
                ..first
            };
            let (next, further) = self.part(kind, part).await?;
            more = further && !next.items.is_empty();
            all.items.extend(next.items);
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
        let part = Part {
            prefix,
            after,
            limit,
        };
        self.part(kind, part).await.map(|(list, _)| list)
    }

    async fn part(&self, kind: &str, part: Part<'_>) -> Result<Page, Error> {
        let path = (self.spelling.list)(kind, part);
        let answer = self
            .send(Op::List, Method::GET, &path, Bytes::new())
            .await?;
        read(&answer, |b| (self.spelling.read_list)(kind, b, part.limit))
    }

    /// Waits up to `wait` for changes of a kind after revision `from`.
    ///
    /// # Errors
    /// [`Error::Gone`] when `from` is too old.
    pub async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Result<Changes, Error> {
        let path = (self.spelling.watch)(kind, from, wait);
        let limit = wait + self.timeout;
        let answer = self
            .send_within(Op::Watch, Method::GET, &path, Bytes::new(), limit)
            .await?;
        read(&answer, |b| (self.spelling.read_changes)(kind, b))
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

    fn written(&self, answer: &Answer) -> Result<u64, Error> {
        match answer.status {
            StatusCode::NOT_FOUND => Err(Error::Conflict(None)),
            _ => read(answer, self.spelling.read_revision),
        }
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
            Ok(answer) => self.check(answer),
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

    /// Turns a status code into what is certain. 404 stays an answer for [`Client::get`].
    fn check(&self, answer: Answer) -> Result<Answer, Error> {
        match answer.status {
            status if status.is_success() => Ok(answer),
            StatusCode::NOT_FOUND => Ok(answer),
            StatusCode::CONFLICT => {
                // The caller knows the kind of what it wrote.
                let present = (self.spelling.read_object)("", &answer.body);
                Err(Error::Conflict(present.ok().map(Box::new)))
            }
            StatusCode::GONE => Err(Error::Gone),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled(retry_after(&answer))),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable("503".into())),
            status if status.is_server_error() => Err(Error::Unknown(status.to_string())),
            status => Err(Error::Rejected(status.to_string())),
        }
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

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    read(answer, |b| {
        serde_json::from_slice(b).map_err(|e| e.to_string())
    })
}

fn read<T>(answer: &Answer, decode: impl FnOnce(&[u8]) -> Result<T, String>) -> Result<T, Error> {
    match answer.status {
        StatusCode::NOT_FOUND => Err(Error::Rejected("404 Not Found".into())),
        _ => decode(&answer.body)
            .map_err(|e| Error::Unknown(format!("could not decode the answer: {e}"))),
    }
}

fn retry_after(answer: &Answer) -> Duration {
    let header = answer.headers.get(RETRY_AFTER);
    let secs = header.and_then(|v| v.to_str().ok()?.parse().ok());
    secs.map_or(THROTTLE_WAIT, Duration::from_secs)
}
