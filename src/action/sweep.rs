//! Removes claims whose keys are no longer kept, and looks up outcomes that were lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use smol_str::SmolStr;

use super::marks::{Marks, Watcher};
use super::{Choose, KIND, Now, Outcome, Record, Seek, Stage};
use crate::http::{Client as Http, Via, request};
use crate::ident::{RequestKey, digest, rendezvous};
use crate::platform::{Client, Error, Expect, Object};

/// Object kind and name of the marks.
const MARKS_KIND: &str = "sweep";
const MARKS_NAME: &str = "claims";

/// Longest wait for the answer of a status call.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time between two looks at the marks.
const POLL_MAX: Duration = Duration::from_secs(60);

/// How long keys are kept and what may be spent on removing them.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Time between two marks.
    pub interval: Duration,
    /// Intervals for which a key with a known end is kept.
    pub keep: usize,
    /// Intervals for which a key is kept whose action was sent and has no known outcome.
    pub doubt: usize,
    /// Writes a second that all instances together may spend.
    pub rate: f64,
    /// Claims in one page of a list.
    pub page: usize,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(3600),
            keep: 24,
            doubt: 168,
            rate: 20.0,
            page: 500,
        }
    }
}

/// What is to be done with a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sweep {
    /// Nothing.
    Keep,
    /// Remove it.
    Delete,
    /// Look up its outcome.
    Ask,
}

impl Retention {
    /// Decides about a claim that has revision `rev`.
    #[must_use]
    pub fn decide(&self, marks: &Marks, rev: u64, record: &Record) -> Sweep {
        let older = |intervals| marks.horizon(intervals).is_some_and(|mark| rev <= mark);
        let sent = record.stage == Stage::Sent;
        match () {
            () if sent && older(self.doubt) => Sweep::Delete,
            () if sent && record.check.is_some() && older(1) => Sweep::Ask,
            () if sent => Sweep::Keep,
            () if older(self.keep) => Sweep::Delete,
            () => Sweep::Keep,
        }
    }
}

/// The names of all live entry instances.
pub type Live = Arc<dyn Fn() -> Vec<SmolStr> + Send + Sync>;

/// Sweeps the part of the claims that rendezvous hashing gives to this instance. Two instances
/// that sweep the same part only spend more calls, as every deletion names a revision.
pub struct Sweeper {
    name: SmolStr,
    platform: Client,
    retention: Retention,
    live: Live,
    choose: Choose,
    http: Http,
    watcher: Watcher,
}

impl std::fmt::Debug for Sweeper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sweeper({})", self.name)
    }
}

impl Sweeper {
    /// A sweeper of the instance `name`.
    #[must_use]
    pub fn new(
        name: SmolStr,
        platform: Client,
        retention: Retention,
        live: Live,
        choose: Choose,
    ) -> Self {
        Self {
            name,
            platform,
            retention,
            live,
            choose,
            http: Http::new(),
            watcher: Watcher::default(),
        }
    }

    /// Sweeps for as long as it is polled.
    pub async fn run(mut self) {
        let poll = (self.retention.interval / 4).min(POLL_MAX);
        let mut swept = 0;
        loop {
            tokio::time::sleep(poll).await;
            let Ok((rev, marks)) = self.mark().await else {
                continue;
            };
            // One pass for each new mark: no claim comes of age in between.
            if rev != swept && self.pass(&marks).await.is_ok() {
                swept = rev;
            }
        }
    }

    /// Reads the marks and adds one when it is due.
    async fn mark(&mut self) -> Result<(u64, Marks), Error> {
        let object = self.platform.get(MARKS_KIND, MARKS_NAME).await?;
        let rev = object.as_ref().map_or(0, |o| o.rev);
        let marks: Marks = object.and_then(|o| o.decode().ok()).unwrap_or_default();
        let due = self
            .watcher
            .is_due(rev, Instant::now(), self.retention.interval);
        if due {
            let (next, expect) = match rev {
                0 => (Marks::default(), Expect::Absent),
                rev => (marks.next(rev), Expect::Rev(rev)),
            };
            let put = self.platform.put(MARKS_KIND, MARKS_NAME, &next, expect);
            return Ok((put.await?, next));
        }
        Ok((rev, marks))
    }

    async fn pass(&self, marks: &Marks) -> Result<(), Error> {
        for part in 0..=0xff_u8 {
            let prefix = format!("{part:02x}");
            if self.is_mine(&prefix) {
                self.sweep(&prefix, marks).await?;
            }
        }
        Ok(())
    }

    fn is_mine(&self, prefix: &str) -> bool {
        let live = (self.live)();
        let owners = rendezvous(digest(&[prefix]), live.iter().map(SmolStr::as_str));
        owners.first().is_none_or(|owner| *owner == self.name)
    }

    async fn sweep(&self, prefix: &str, marks: &Marks) -> Result<(), Error> {
        let mut after = SmolStr::default();
        loop {
            let limit = self.retention.page;
            let page = self.platform.page(KIND, prefix, &after, limit).await?;
            for object in &page.items {
                self.treat(object, marks).await?;
            }
            match page.items.last() {
                Some(last) if page.items.len() >= limit => after = last.name.clone(),
                _ => return Ok(()),
            }
            self.pace().await;
        }
    }

    async fn treat(&self, object: &Object, marks: &Marks) -> Result<(), Error> {
        let Ok(record) = object.decode::<Record>() else {
            return Ok(());
        };
        let written = match self.retention.decide(marks, object.rev, &record) {
            Sweep::Keep => return Ok(()),
            Sweep::Delete => self.platform.delete(KIND, &object.name, object.rev).await,
            Sweep::Ask => match self.ask(&record).await {
                Some(outcome) => self.store(object, &record, &outcome).await,
                None => return Ok(()),
            },
        };
        self.pace().await;
        match written {
            Ok(_) | Err(Error::Conflict(_)) => Ok(()),
            Err(e) => {
                tokio::time::sleep(e.wait().unwrap_or_default()).await;
                Err(e)
            }
        }
    }

    /// Keeps this instance's part of the rate.
    async fn pace(&self) {
        let share = self.retention.rate / (self.live)().len().max(1) as f64;
        tokio::time::sleep(Duration::from_secs_f64(1.0 / share)).await;
    }

    async fn ask(&self, record: &Record) -> Option<Outcome> {
        let seek = Seek {
            service: &record.service,
            key: RequestKey(rand::random()),
            method: "",
            path: "",
        };
        let pick = (self.choose)(seek, &[])?;
        let url = format!("http://{}{}", pick.addr, record.check.as_deref()?);
        let ask = request(Method::GET, &url, Bytes::new());
        let answer = self.http.send(Via::Pool, ask, CHECK_TIMEOUT).await.ok()?;
        Outcome::from_status(&answer)
    }

    async fn store(
        &self,
        object: &Object,
        record: &Record,
        outcome: &Outcome,
    ) -> Result<u64, Error> {
        let done = record.at(Stage::done(outcome), Now::read().wall_ms);
        let expect = Expect::Rev(object.rev);
        self.platform.put(KIND, &object.name, &done, expect).await
    }
}
