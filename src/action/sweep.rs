//! Background removal of claims whose retention has ended, and recovery of lost outcomes by the
//! service's status call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use smol_str::SmolStr;

use super::watermarks::{ChangeTimer, Watermarks};
use super::{CLAIM_KIND, ChooseTarget, Now, Outcome, Record, Stage, TargetQuery};
use crate::http::{Client as Http, Via, request};
use crate::ident::{RequestKey, digest, rendezvous};
use crate::platform::{Client, Error, Expect, Object};

/// Object kind and name of the watermarks.
const WATERMARKS_KIND: &str = "sweep";
const WATERMARKS_NAME: &str = "claims";

/// Timeout of a status call.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum interval between two reads of the watermarks.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// How long keys are kept, and the write rate for their removal.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Minimum time between two watermarks.
    pub interval: Duration,
    /// Intervals for which a key is kept whose action has completed or was never sent.
    pub keep: usize,
    /// Intervals for which a key is kept whose action was sent and whose outcome is unknown.
    pub keep_unknown: usize,
    /// Maximum writes per second of all instances together.
    pub write_rate: f64,
    /// Number of claims in one page of a listing.
    pub page_size: usize,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(3600),
            keep: 24,
            keep_unknown: 168,
            write_rate: 20.0,
            page_size: 500,
        }
    }
}

/// What the sweeper does with a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Keep it.
    Keep,
    /// Delete it.
    Delete,
    /// Query the service's status call for its outcome.
    QueryStatus,
}

impl Retention {
    /// Decides what to do with a claim of revision `rev`.
    #[must_use]
    pub fn decide(&self, watermarks: &Watermarks, rev: u64, record: &Record) -> Decision {
        let is_older = |intervals| {
            watermarks
                .horizon(intervals)
                .is_some_and(|mark| rev <= mark)
        };
        let sent = record.stage == Stage::Sent;
        match () {
            () if sent && is_older(self.keep_unknown) => Decision::Delete,
            () if sent && record.check.is_some() && is_older(1) => Decision::QueryStatus,
            () if sent => Decision::Keep,
            () if is_older(self.keep) => Decision::Delete,
            () => Decision::Keep,
        }
    }
}

/// Returns the names of all live entry instances.
pub type LiveInstances = Arc<dyn Fn() -> Vec<SmolStr> + Send + Sync>;

/// Sweeps the partitions of the claims that rendezvous hashing assigns to this instance. Two
/// instances that sweep the same partition only cost additional calls, since every deletion is
/// conditional on a revision.
pub struct Sweeper {
    name: SmolStr,
    platform: Client,
    retention: Retention,
    live: LiveInstances,
    choose: ChooseTarget,
    http: Http,
    change_timer: ChangeTimer,
}

impl std::fmt::Debug for Sweeper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sweeper({})", self.name)
    }
}

impl Sweeper {
    /// Creates the sweeper of the instance `name`.
    #[must_use]
    pub fn new(
        name: SmolStr,
        platform: Client,
        retention: Retention,
        live: LiveInstances,
        choose: ChooseTarget,
    ) -> Self {
        Self {
            name,
            platform,
            retention,
            live,
            choose,
            http: Http::new(),
            change_timer: ChangeTimer::default(),
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        let interval = (self.retention.interval / 4).min(MAX_POLL_INTERVAL);
        let mut swept_rev = 0;
        loop {
            tokio::time::sleep(interval).await;
            let Ok((rev, watermarks)) = self.update_watermarks().await else {
                continue;
            };
            // One pass per new watermark: between two watermarks no claim reaches its retention
            // limit.
            if rev != swept_rev && self.pass(&watermarks).await.is_ok() {
                swept_rev = rev;
            }
        }
    }

    /// Reads the watermarks and adds one if it is due.
    async fn update_watermarks(&mut self) -> Result<(u64, Watermarks), Error> {
        let object = self.platform.get(WATERMARKS_KIND, WATERMARKS_NAME).await?;
        let rev = object.as_ref().map_or(0, |o| o.rev);
        let watermarks: Watermarks = object.and_then(|o| o.decode().ok()).unwrap_or_default();
        let due = self
            .change_timer
            .is_due(rev, Instant::now(), self.retention.interval);
        if due {
            let (next, expect) = match rev {
                0 => (Watermarks::default(), Expect::Absent),
                rev => (watermarks.next(rev), Expect::Rev(rev)),
            };
            let put = self
                .platform
                .put(WATERMARKS_KIND, WATERMARKS_NAME, &next, expect);
            return Ok((put.await?, next));
        }
        Ok((rev, watermarks))
    }

    async fn pass(&self, watermarks: &Watermarks) -> Result<(), Error> {
        for byte in 0..=0xff_u8 {
            let prefix = format!("{byte:02x}");
            if self.is_assigned(&prefix) {
                self.sweep(&prefix, watermarks).await?;
            }
        }
        Ok(())
    }

    fn is_assigned(&self, prefix: &str) -> bool {
        let live = (self.live)();
        let ranked = rendezvous(digest(&[prefix]), live.iter().map(SmolStr::as_str));
        ranked.first().is_none_or(|owner| *owner == self.name)
    }

    async fn sweep(&self, prefix: &str, watermarks: &Watermarks) -> Result<(), Error> {
        let mut after = SmolStr::default();
        loop {
            let limit = self.retention.page_size;
            let page = self
                .platform
                .page(CLAIM_KIND, prefix, &after, limit)
                .await?;
            for object in &page.items {
                self.process(object, watermarks).await?;
            }
            match page.items.last() {
                Some(last) if last.name == after => return Ok(()),
                Some(last) if page.is_cut || page.items.len() >= limit => {
                    after = last.name.clone();
                }
                _ => return Ok(()),
            }
            self.throttle().await;
        }
    }

    async fn process(&self, object: &Object, watermarks: &Watermarks) -> Result<(), Error> {
        let Ok(record) = object.decode::<Record>() else {
            return Ok(());
        };
        let written = match self.retention.decide(watermarks, object.rev, &record) {
            Decision::Keep => return Ok(()),
            Decision::Delete => {
                self.platform
                    .delete(CLAIM_KIND, &object.name, object.rev)
                    .await
            }
            Decision::QueryStatus => match self.query_status(&record).await {
                Some(outcome) => self.store(object, &record, &outcome).await,
                None => return Ok(()),
            },
        };
        self.throttle().await;
        match written {
            Ok(_) | Err(Error::Conflict(_)) => Ok(()),
            Err(e) => {
                tokio::time::sleep(e.wait().unwrap_or_default()).await;
                Err(e)
            }
        }
    }

    /// Sleeps to keep this instance's share of the write rate.
    async fn throttle(&self) {
        let share = self.retention.write_rate / (self.live)().len().max(1) as f64;
        tokio::time::sleep(Duration::from_secs_f64(1.0 / share)).await;
    }

    /// Makes the status call over a new connection: its answer names no action, so on a reused one
    /// it could belong to an earlier call.
    async fn query_status(&self, record: &Record) -> Option<Outcome> {
        let target_query = TargetQuery {
            service: &record.service,
            key: RequestKey(rand::random()),
            method: "",
            path: "",
        };
        let pick = (self.choose)(target_query, &[])?;
        let url = format!("http://{}{}", pick.addr, record.check.as_deref()?);
        let req = request(Method::GET, &url, Bytes::new());
        let answer = self.http.send(Via::Fresh, req, STATUS_TIMEOUT).await.ok()?;
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
        self.platform
            .put(CLAIM_KIND, &object.name, &done, expect)
            .await
    }
}
