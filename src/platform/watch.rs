//! Long polls of changes.
//!
//! An overdue response does not tell whether its connection is silent or the path is slow. Giving the
//! call up would lose a response that is on its way, and a path on which each response is late would
//! never deliver one. So further calls run beside it over new connections, and the first response
//! counts.

use std::future::pending;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use futures_util::future::FutureExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep_until;

use super::client::{Client, read};
use super::{Changes, Error, Event, List, is_restored};

/// Time between two calls beside one whose response is overdue.
const HEDGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time from the first doubt in a call after which the platform counts as unreachable.
const RESPONSE_MAX: Duration = Duration::from_secs(4);

/// What a call reads that does not wait for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CatchUp {
    /// Each change since the revision of the watch.
    Changes,
    /// All objects as they are now: less than the changes where few objects change often.
    Objects,
}

/// Changes, and what the calls for them tell of the platform.
#[derive(Clone, Debug)]
pub(crate) struct Watched {
    pub(crate) changes: Changes,
    /// Moment as of which they show the platform's state.
    pub(crate) as_of: Instant,
    /// When a call over a new connection had no response in time.
    pub(crate) outage: Option<Instant>,
}

impl From<List> for Changes {
    /// The objects as changes up to the list's revision. Removed ones are not among them.
    fn from(list: List) -> Self {
        let event = |object: super::Object| Event {
            kind: object.kind,
            name: object.name,
            rev: object.rev,
            value: Some(object.value),
        };
        Self {
            rev: list.rev,
            events: list.items.into_iter().map(event).collect(),
            unreadable: Vec::new(),
            is_cut: false,
        }
    }
}

/// A call that has ended.
struct Ended {
    result: Result<Changes, Error>,
    sent: Instant,
    /// How long the platform was asked to wait for changes.
    wait: Duration,
    is_first: bool,
}

impl Ended {
    /// Moment as of which the response shows the platform's state. A watch without changes is answered
    /// at the end of its wait.
    fn as_of(&self, changes: &Changes) -> Instant {
        match changes.events.is_empty() && self.sent.elapsed() >= self.wait {
            true => self.sent + self.wait,
            false => self.sent,
        }
    }
}

impl Client {
    /// Long-polls up to `wait` for changes to objects of a kind after revision `from`.
    ///
    /// # Errors
    /// As for [`Self::watch_doubted`].
    pub async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Result<Changes, Error> {
        let watch = self.watch_doubted(pending(), CatchUp::Changes, kind, from, wait);
        Ok(watch.await?.changes)
    }

    /// Long-polls up to `wait` for changes to objects of a kind after revision `from`. Calls that do
    /// not wait begin beside it when its response is overdue, when another call's connection was
    /// silent, and when `doubted` ends.
    ///
    /// # Errors
    /// [`Error::Gone`] when the platform no longer keeps the history since `from`, was restored
    /// meanwhile, or the history can't be read beyond an unclosed event; [`Error::Unavailable`] when
    /// no call was answered.
    pub(crate) async fn watch_doubted(
        &self,
        doubted: impl Future<Output = ()>,
        catch_up: CatchUp,
        kind: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Watched, Error> {
        let era = self.era();
        let start = Instant::now();
        let generation = self.pool_generation();
        let replaced = self.replaced();
        let fresh = self.with_new_connections().with_timeout(RESPONSE_MAX);
        let mut calls = FuturesUnordered::new();
        calls.push(self.first_call(kind, from, wait).boxed());
        tokio::pin!(doubted, replaced);
        let mut hedge_at = start + wait + self.timeout();
        let mut first_hedge: Option<Instant> = None;
        loop {
            let give_up = first_hedge.map_or(hedge_at, |at| at + RESPONSE_MAX);
            tokio::select! {
                biased;
                Some(ended) = calls.next() => {
                    let changes = match ended.result {
                        Ok(ref changes) => changes.clone(),
                        Err(Error::Gone) => return Err(Error::Gone),
                        Err(_) if !calls.is_empty() => continue,
                        Err(e) => return Err(e),
                    };
                    if is_restored(era, self.era()) {
                        return Err(Error::Gone);
                    }
                    // A new connection was answered before one of the pool that had longer.
                    if !ended.is_first && self.uses_pool() {
                        self.replace_pool(generation);
                    }
                    let as_of = ended.as_of(&changes);
                    let late = first_hedge.map(|at| at + HEDGE_INTERVAL);
                    let outage = late.filter(|late| *late <= Instant::now());
                    return Ok(Watched { changes, as_of, outage });
                }
                () = self.restored(era) => return Err(Error::Gone),
                () = replaced.as_mut(), if first_hedge.is_none() => hedge_at = Instant::now(),
                () = doubted.as_mut(), if first_hedge.is_none() => hedge_at = Instant::now(),
                () = sleep_until(give_up.into()), if first_hedge.is_some() => {
                    let error = format!("no answer within {RESPONSE_MAX:?}, also over new connections");
                    return Err(Error::Unavailable(error));
                }
                () = sleep_until(hedge_at.into()) => {}
            }
            let now = Instant::now();
            if now >= hedge_at {
                metrics::counter!("endivefork_platform_hedges_total").increment(1);
                first_hedge = first_hedge.or(Some(now));
                hedge_at = now + HEDGE_INTERVAL;
                calls.push(fresh.hedge(catch_up, kind, from).boxed());
            }
        }
    }

    async fn first_call(&self, kind: &str, from: u64, wait: Duration) -> Ended {
        let sent = Instant::now();
        let limit = wait + self.timeout() + RESPONSE_MAX;
        Ended {
            result: self.poll(kind, from, wait, limit).await,
            sent,
            wait,
            is_first: true,
        }
    }

    async fn hedge(&self, catch_up: CatchUp, kind: &str, from: u64) -> Ended {
        let sent = Instant::now();
        let result = match catch_up {
            CatchUp::Changes => self.poll(kind, from, Duration::ZERO, RESPONSE_MAX).await,
            CatchUp::Objects => self.list(kind, "").await.map(Changes::from),
        };
        Ended {
            result,
            sent,
            wait: Duration::ZERO,
            is_first: false,
        }
    }

    async fn poll(
        &self,
        kind: &str,
        from: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<Changes, Error> {
        let path = (self.format().watch)(kind, from, wait);
        let answer = self.send_watch(&path, limit).await?;
        let changes = read(&answer, |b| (self.format().read_changes)(kind, b))?;
        self.report_unreadable(kind, &changes.unreadable);
        match changes.is_cut && changes.rev <= from {
            true => Err(Error::Gone),
            false => Ok(changes),
        }
    }
}
