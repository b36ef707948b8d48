//! Client of the platform API. Each call is sent once; retrying is up to the caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::calls::{Calls, Op};
use super::entries::{Reports, Unreadable};
use super::era::Eras;
use super::{ApiFormat, Error, Expect, InstanceList, List, Object, Page, PageRequest};
use crate::http::{Answer, Client as Http, Error as HttpError, Via, request};

/// Maximum number of objects in one page of a list.
pub const PAGE_LIMIT: usize = 500;

/// Maximum size of a request body, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Wait after a 429 response without a usable `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A client of the platform at one address; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    timeout: Duration,
    via: Via,
    format: ApiFormat,
    http: Arc<Mutex<Pool>>,
    /// Notified when the pool is replaced.
    replaced: Arc<Notify>,
    calls: Arc<Calls>,
    reports: Arc<Reports>,
    eras: Arc<Eras>,
}

/// The connection pool in use. After a timeout it is replaced as a whole, since a connection that
/// stopped answering without being closed could otherwise be reused.
#[derive(Debug)]
struct Pool {
    generation: u64,
    http: Http,
}

impl Client {
    /// Creates a client of the platform at `addr` that waits at most `timeout` for each response.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self::with_format(addr, timeout, ApiFormat::NATIVE)
    }

    /// Creates a client of a platform whose API has the given format.
    #[must_use]
    pub fn with_format(addr: SocketAddr, timeout: Duration, format: ApiFormat) -> Self {
        let pool = Pool {
            generation: 0,
            http: Http::new(),
        };
        Self {
            addr,
            timeout,
            via: Via::Pool,
            format,
            http: Arc::new(Mutex::new(pool)),
            replaced: Arc::default(),
            calls: Arc::default(),
            reports: Arc::default(),
            eras: Arc::default(),
        }
    }

    /// Logs the entries and eras that can't be read to `log`.
    #[must_use]
    pub fn with_log(self, log: Logger) -> Self {
        let eras = Arc::new(Eras::new(log.clone()));
        let reports = Arc::new(Reports::new(log));
        Self {
            reports,
            eras,
            ..self
        }
    }

    /// Reports an entry whose value can't be used, once for each revision.
    pub(crate) fn report(&self, kind: &str, name: &str, rev: u64, cause: &str) {
        self.reports.add(kind, name, Some(rev), &cause);
    }

    /// The latest known era of the platform's state; `None` when it stated none.
    pub(crate) fn era(&self) -> Option<u64> {
        self.eras.latest()
    }

    /// Records an era that another instance has seen.
    pub(crate) fn learn_era(&self, era: Option<u64>) {
        self.eras.learn(era);
    }

    /// Waits until the platform was restored since `era` was the latest known one.
    pub(crate) async fn restored(&self, era: Option<u64>) {
        self.eras.later_than(era).await;
    }

    /// A client that shares everything with this one but the maximum wait for a response.
    #[must_use]
    pub(crate) fn with_timeout(&self, timeout: Duration) -> Self {
        Self {
            timeout,
            ..self.clone()
        }
    }

    /// A client that shares everything with this one but opens a connection for each call: an idle
    /// one may be silent without notice.
    #[must_use]
    pub(crate) fn with_new_connections(&self) -> Self {
        Self {
            via: Via::Fresh,
            ..self.clone()
        }
    }

    /// Maximum wait for a response.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Counters of the calls made by this client and its clones.
    #[must_use]
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// When the call fails or its response cannot be decoded.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let path = (self.format.object)(kind, name);
        let answer = self.send(Op::Read, Method::GET, &path, Bytes::new()).await;
        match answer {
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => Ok(None),
            answer => read(&answer?, |b| (self.format.read_object)(kind, b)).map(Some),
        }
    }

    /// Writes an object under a condition and returns its new revision.
    ///
    /// # Errors
    /// [`Error::Conflict`] with the current object when the condition does not hold;
    /// [`Error::Unknown`] when the write may have been applied or may still be applied later.
    pub async fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expect: Expect,
    ) -> Result<u64, Error> {
        let rejected = |e: serde_json::Error| Error::Rejected(e.to_string());
        let value = serde_json::to_value(value).map_err(rejected)?;
        let body = (self.format.body)(name, &value, expect);
        let body = serde_json::to_vec(&body).map_err(rejected)?;
        if body.len() > VALUE_LIMIT {
            return Err(Error::Rejected(format!(
                "request body of {} bytes exceeds the limit of {VALUE_LIMIT}",
                body.len()
            )));
        }
        let path = (self.format.write)(kind, name, expect);
        let answer = self
            .send(Op::Write, (self.format.method)(expect), &path, body.into())
            .await?;
        self.read_revision(&answer)
    }

    /// Deletes an object if it has revision `rev` and returns the revision of the deletion. If the
    /// object does not exist, that is a conflict without a current object.
    ///
    /// # Errors
    /// As for [`Self::put`].
    pub async fn delete(&self, kind: &str, name: &str, rev: u64) -> Result<u64, Error> {
        let path = (self.format.write)(kind, name, Expect::Rev(rev));
        let answer = self
            .send(Op::Delete, Method::DELETE, &path, Bytes::new())
            .await?;
        self.read_revision(&answer)
    }

    /// Reads all objects of a kind whose names begin with `prefix`, page by page.
    ///
    /// # Errors
    /// When the call for one of the pages fails.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<List, Error> {
        let (list, rev) = self.list_pages(kind, prefix).await?;
        if !list.is_cut || list.rev > 0 {
            return Ok(list);
        }
        // The first page's revision is unknown: that of the last page holds for a list read now.
        let (list, _) = self.list_pages(kind, prefix).await?;
        Ok(List { rev, ..list })
    }

    /// Reads all pages, and returns the revision of the last one too. Only the first page tells
    /// whether the list is cut.
    async fn list_pages(&self, kind: &str, prefix: &str) -> Result<(List, u64), Error> {
        let first = PageRequest {
            prefix,
            after: "",
            limit: PAGE_LIMIT,
        };
        let (mut all, mut more) = self.list_page(kind, first).await?;
        let mut rev = all.rev;
        let era = self.era();
        let mut after = SmolStr::default();
        while more {
            let last = all.items.last().map(|o| &o.name);
            after = match last {
                Some(last) if *last != after => last.clone(),
                _ => {
                    return Err(Error::Unknown(
                        "could not continue the list: no entry of a page has a new name".into(),
                    ));
                }
            };
            let request = PageRequest {
                after: &after,
                ..first
            };
            let (next, has_more) = self.list_page(kind, request).await?;
            if self.era() != era {
                return Err(Error::Unknown("the list's pages are of two eras".into()));
            }
            more = has_more && !(next.items.is_empty() && next.unreadable.is_empty());
            rev = next.rev;
            all.items.extend(next.items);
        }
        Ok((all, rev))
    }

    /// Reads one page: at most `limit` objects whose names sort after `after`.
    ///
    /// # Errors
    /// When the call fails or its response cannot be decoded.
    pub async fn page(
        &self,
        kind: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<List, Error> {
        let request = PageRequest {
            prefix,
            after,
            limit,
        };
        self.list_page(kind, request).await.map(|(list, _)| list)
    }

    async fn list_page(&self, kind: &str, request: PageRequest<'_>) -> Result<Page, Error> {
        let path = (self.format.list)(kind, request);
        let answer = self
            .send(Op::List, Method::GET, &path, Bytes::new())
            .await?;
        let page = read(&answer, |b| (self.format.read_list)(kind, b, request.limit))?;
        self.reports.add_all(kind, &page.0.unreadable);
        Ok(page)
    }

    /// Sends a watch that takes at most `limit`.
    pub(super) async fn send_watch(&self, path: &str, limit: Duration) -> Result<Answer, Error> {
        self.send_within(Op::Watch, Method::GET, path, Bytes::new(), limit)
            .await
    }

    pub(super) fn format(&self) -> &ApiFormat {
        &self.format
    }

    pub(super) fn report_unreadable(&self, kind: &str, unreadable: &[Unreadable]) {
        self.reports.add_all(kind, unreadable);
    }

    /// Ends when the pool is replaced after this call.
    pub(super) fn replaced(&self) -> Notified<'_> {
        self.replaced.notified()
    }

    /// Whether calls use idle connections.
    pub(super) fn uses_pool(&self) -> bool {
        self.via == Via::Pool
    }

    /// Generation of the pool in use.
    pub(super) fn pool_generation(&self) -> u64 {
        self.http.lock().generation
    }

    /// Reads the instance list.
    ///
    /// # Errors
    /// When the call fails or its response cannot be decoded.
    pub async fn instances(&self) -> Result<InstanceList, Error> {
        let answer = self
            .send(Op::Instances, Method::GET, "/v1/instances", Bytes::new())
            .await?;
        let (list, unreadable) = read(&answer, InstanceList::read)?;
        self.reports.add_all("instances", &unreadable);
        Ok(list)
    }

    fn read_revision(&self, answer: &Answer) -> Result<u64, Error> {
        match answer.status {
            StatusCode::NOT_FOUND => Err(Error::Conflict(None)),
            _ => read(answer, self.format.read_revision),
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
        let (generation, http) = self.current_pool();
        self.calls.add(op);
        let era = self.era();
        let sent = http.send(self.via, request(method, &url, body), limit);
        let result = match sent.await {
            Ok(answer) => {
                let stated = (self.format.read_era)(&answer.headers);
                let observed = self.eras.observe(era, stated);
                observed.and_then(|()| self.check(answer))
            }
            Err(e @ HttpError::Timeout(_)) => {
                // A new connection without a response tells nothing of those in the pool.
                if self.uses_pool() {
                    self.replace_pool(generation);
                }
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

    /// Maps the status code to an error that says whether the call may have been applied. A 404 is
    /// passed through, because [`Client::get`] treats it as an answer.
    fn check(&self, answer: Answer) -> Result<Answer, Error> {
        match answer.status {
            status if status.is_success() => Ok(answer),
            StatusCode::NOT_FOUND => Ok(answer),
            StatusCode::CONFLICT => {
                // The kind is left empty: the caller knows which kind it wrote.
                let current = (self.format.read_object)("", &answer.body);
                Err(Error::Conflict(current.ok().map(Box::new)))
            }
            StatusCode::GONE => Err(Error::Gone),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled(retry_after(&answer))),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable("503".into())),
            status if status.is_server_error() => Err(Error::Unknown(status.to_string())),
            status => Err(Error::Rejected(status.to_string())),
        }
    }

    fn current_pool(&self) -> (u64, Http) {
        let pool = self.http.lock();
        (pool.generation, pool.http.clone())
    }

    /// Replaces the pool unless it is another than that of `generation`.
    pub(super) fn replace_pool(&self, generation: u64) {
        let mut pool = self.http.lock();
        if pool.generation == generation {
            *pool = Pool {
                generation: generation + 1,
                http: Http::new(),
            };
            drop(pool);
            self.replaced.notify_waiters();
        }
    }
}

pub(super) fn read<T>(
    answer: &Answer,
    decode: impl FnOnce(&[u8]) -> Result<T, String>,
) -> Result<T, Error> {
    match answer.status {
        StatusCode::NOT_FOUND => Err(Error::Rejected("404 Not Found".into())),
        _ => decode(&answer.body)
            .map_err(|e| Error::Unknown(format!("could not decode the response: {e}"))),
    }
}

fn retry_after(answer: &Answer) -> Duration {
    let header = answer.headers.get(RETRY_AFTER);
    let secs = header.and_then(|v| v.to_str().ok()?.parse().ok());
    secs.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
