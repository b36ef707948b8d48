//! All generations of one instance: lookup by request key, admission, takeover and retention.
//!
//! Every request for text enters here with its key. The tables are sharded, because all streams of
//! an instance look up, start and end concurrently; a periodic sweep drops ended generations.

use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::drive::Driver;
use super::gap_estimator::GapEstimator;
use super::hooks::{AdmissionCheck, Admit, Hooks, Release};
use super::journal::{Ack, Entry, Journal, Journals};
use super::replicator::Replicator;
use super::run::{GenerationRequest, Reader, Run};
use super::takeover;
use crate::failure::Failure;
use crate::http::Client;
use crate::ident::{RequestKey, digest};
use crate::peer::Peers;
use crate::quarantine::{Crash, PartKey, Policy, SuspectStatus, Suspects};

/// Number of shards, each under its own lock.
const SHARDS: usize = 16;

/// Retention of an ended generation for callers that reconnect.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// How long a generation continues without a reader.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum tokens of ended generations per shard.
const MAX_SHARD_TOKENS: u64 = 1 << 18;

/// Interval of sweeps.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Gap estimators above which those of targets without an attempt are dropped.
const MAX_ESTIMATORS: usize = 1024;

/// Length of a request's first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

type Shard = Mutex<IndexMap<RequestKey, Arc<Run>>>;

/// State shared by all generations of an instance.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) hooks: Hooks,
    pub(crate) client: Client,
    pub(crate) journals: Journals,
    pub(crate) replicator: OnceLock<Arc<Replicator>>,
    admission: OnceLock<AdmissionCheck>,
    pub(crate) suspects: Mutex<Suspects>,
    shards: [Shard; SHARDS],
    estimators: Mutex<IndexMap<SmolStr, Arc<Mutex<GapEstimator>>>>,
}

impl Shared {
    /// Returns the gap estimator of a target.
    pub(crate) fn estimator(&self, target: &SmolStr) -> Arc<Mutex<GapEstimator>> {
        Arc::clone(self.estimators.lock().entry(target.clone()).or_default())
    }

    /// Returns the run of a request, if this instance owns or owned it.
    pub(crate) fn run(&self, key: RequestKey) -> Option<Arc<Run>> {
        self.shard(key).lock().get(&key).cloned()
    }

    /// Stores journal entries of a peer. Stops generations that run here under a lower epoch.
    pub(crate) fn apply_entries(&self, entries: Vec<Entry>) -> Ack {
        for entry in &entries {
            let run = self.run(entry.key);
            match run {
                Some(run) if !run.ended() && run.epoch < entry.epoch => run.supersede(),
                _ => {}
            }
        }
        self.journals.write(entries, Instant::now())
    }

    /// Records a crash that this instance observed and notifies the peers.
    pub(crate) fn report_crash(&self, crash: Crash) -> SuspectStatus {
        self.record_crash(&crash);
        let now = Instant::now().into_std();
        let status = self.suspects.lock().status(&crash.parts, now);
        if let Some(replicator) = self.replicator.get() {
            takeover::report_crash(replicator, crash);
        }
        status
    }

    /// Records a crash, observed here or reported by a peer.
    pub(crate) fn record_crash(&self, crash: &Crash) {
        let now = Instant::now().into_std();
        self.suspects.lock().record_crash(crash, now);
    }

    fn shard(&self, key: RequestKey) -> &Shard {
        &self.shards[key.0 as usize % SHARDS]
    }
}

/// Key of a suspected request, whichever account sends it.
pub(crate) fn suspect_key(request: &GenerationRequest) -> PartKey {
    PartKey::of_request(digest(&[&request.service, &request.prompt]))
}

/// Refusal of a quarantined request; nothing ran.
pub(crate) fn quarantined(left: Duration) -> Failure {
    let text = "the request is quarantined because it crashed the targets that ran it";
    Failure::not_run(503, "quarantined", text).retry_after(left)
}

/// All generations of one instance.
#[derive(Clone, Debug)]
pub struct Generations {
    shared: Arc<Shared>,
}

impl Generations {
    /// Creates an empty set of generations. Must be called within a Tokio runtime.
    #[must_use]
    pub fn new(hooks: Hooks, client: Client) -> Self {
        Self::with_quarantine(hooks, client, FIRST_QUARANTINE)
    }

    /// Creates an empty set as [`Self::new`] does, with the given length of a request's first
    /// quarantine.
    #[must_use]
    pub fn with_quarantine(hooks: Hooks, client: Client, quarantine: Duration) -> Self {
        let shared = Arc::new(Shared {
            hooks,
            client,
            journals: Journals::default(),
            replicator: OnceLock::new(),
            admission: OnceLock::new(),
            suspects: Mutex::new(Suspects::new(Policy::whole_requests(quarantine))),
            shards: Default::default(),
            estimators: Mutex::default(),
        });
        tokio::spawn(sweep(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Starts to exchange journals, claims and crash reports with other instances.
    pub fn join(&self, peers: &Peers) {
        let shared = &self.shared;
        shared
            .replicator
            .get_or_init(|| takeover::connect(shared, peers));
    }

    /// Sets the admission check. Without one, all requests are admitted.
    pub fn set_admission(&self, check: Box<Admit>) {
        let _ = self.shared.admission.set(AdmissionCheck(check));
    }

    /// Starts a generation, or continues the one with the same key, here or from a peer's journal.
    /// `from` is the index of the last token that the caller has.
    ///
    /// # Errors
    /// When the key was used with another body, the generation that the caller resumes is unknown,
    /// admission refuses the request, or the request is quarantined.
    pub async fn open(
        &self,
        request: GenerationRequest,
        from: Option<u64>,
    ) -> Result<Reader, Failure> {
        let next = from.map_or(0, |last| last + 1);
        if let Some(found) = self.find_local(&request, next) {
            return found;
        }
        self.check_quarantine(&request)?;
        let journal = match self.shared.replicator.get() {
            Some(replicator) => {
                let journals = &self.shared.journals;
                takeover::find(replicator, journals, &request, from.is_some()).await?
            }
            None => None,
        };
        let release = match &journal {
            None if next > 0 => return Err(generation_unknown()),
            Some(journal) if journal.finish_reason.is_some() => None,
            found => self.admit(&request, found.is_some()).await?,
        };
        self.adopt(request, journal, next, release)
    }

    /// Whether the generation of a request runs or ran here or, by its journal, at a peer.
    #[must_use]
    pub fn knows(&self, key: RequestKey) -> bool {
        self.shared.run(key).is_some() || self.shared.journals.get(key).is_some()
    }

    /// The time that `tokens` take at the pace of the service's slowest running generation; `None`
    /// if none has tokens.
    #[must_use]
    pub fn expected(&self, service: &str, tokens: u32) -> Option<Duration> {
        let pace = |shard: &Shard| {
            let runs = shard.lock();
            let runs = runs.values().filter(|r| r.request.service == service);
            runs.filter_map(|run| run.pace()).max()
        };
        let paces = self.shared.shards.iter().filter_map(pace);
        paces.max().map(|pace| pace * tokens)
    }

    /// Waits until another instance can continue the generation of a request from its last token.
    pub async fn replicated(&self, key: RequestKey) {
        match self.shared.replicator.get() {
            Some(replicator) => replicator.replicated(key).await,
            None => std::future::pending().await,
        }
    }

    /// Number of running generations.
    #[must_use]
    pub fn running(&self) -> usize {
        let shards = self.shared.shards.iter();
        shards
            .map(|s| s.lock().values().filter(|r| !r.ended()).count())
            .sum()
    }

    /// Number of journals stored for other instances.
    #[must_use]
    pub fn journals(&self) -> usize {
        self.shared.journals.len()
    }

    /// Returns the number of tokens journalled at peers and of the bytes sent for them.
    #[must_use]
    pub fn journal_traffic(&self) -> (u64, u64) {
        self.shared
            .replicator
            .get()
            .map_or((0, 0), |replicator| replicator.traffic())
    }

    fn check_quarantine(&self, request: &GenerationRequest) -> Result<(), Failure> {
        let key = suspect_key(request);
        let now = Instant::now().into_std();
        match self.shared.suspects.lock().status(&[key], now) {
            SuspectStatus::Quarantined(left) => Err(quarantined(left)),
            _ => Ok(()),
        }
    }

    /// Waits for admission.
    async fn admit(
        &self,
        request: &GenerationRequest,
        running: bool,
    ) -> Result<Option<Release>, Failure> {
        match self.shared.admission.get() {
            Some(check) => (check.0)(request, running).await.map(Some),
            None => Ok(None),
        }
    }

    /// Returns a reader of the local run, unless the generation must start again.
    fn find_local(
        &self,
        request: &GenerationRequest,
        next: u64,
    ) -> Option<Result<Reader, Failure>> {
        let shard = self.shared.shard(request.key).lock();
        let run = shard.get(&request.key)?;
        read(run, request, next)
    }

    fn adopt(
        &self,
        request: GenerationRequest,
        journal: Option<Journal>,
        next: u64,
        release: Option<Release>,
    ) -> Result<Reader, Failure> {
        let mut shard = self.shared.shard(request.key).lock();
        let old = shard.get(&request.key);
        if let Some(found) = old.and_then(|run| read(run, &request, next)) {
            return found;
        }
        let known = old.map_or(0, |run| run.epoch);
        let known = known.max(journal.as_ref().map_or(0, |j| j.epoch));
        let epoch = takeover::next_epoch(known);
        let run = match journal {
            Some(journal) => {
                metrics::counter!("endivefork_generation_takeovers_total").increment(1);
                Run::adopt(request, epoch, journal)
            }
            None => Run::new(request, epoch),
        };
        let reader = run.read(next);
        shard.insert(run.request.key, Arc::clone(&run));
        drop(shard);
        if !run.ended() {
            let driver = Driver::new(Arc::clone(&run), Arc::clone(&self.shared));
            tokio::spawn(async move {
                driver.drive().await;
                if let Some(release) = release {
                    release(run.len());
                }
            });
        }
        Ok(reader)
    }
}

/// Returns a reader of `run`; `None` when it failed and may start again, or was taken over by
/// another instance.
fn read(run: &Arc<Run>, request: &GenerationRequest, next: u64) -> Option<Result<Reader, Failure>> {
    match run {
        run if run.superseded.is_cancelled() => None,
        run if run.request.body_digest != request.body_digest => Some(Err(takeover::key_reused())),
        run if run.failed() && next == 0 => None,
        run => Some(Ok(run.read(next))),
    }
}

fn generation_unknown() -> Failure {
    let text = "the generation to resume is not known";
    Failure::failed(410, "generation_unknown", text)
}

async fn sweep(shared: Weak<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        for shard in &shared.shards {
            let mut shard = shard.lock();
            shard.retain(|_, run| retain_run(run, now));
            evict_ended(&mut shard);
        }
        shared.journals.sweep(now);
        shared.suspects.lock().expire(now.into_std());
        let used = |estimator: &Arc<Mutex<GapEstimator>>| Arc::strong_count(estimator) > 1;
        let mut estimators = shared.estimators.lock();
        if estimators.len() > MAX_ESTIMATORS {
            estimators.retain(|_, estimator| used(estimator));
        }
    }
}

/// Drops the oldest ended generations without a reader above [`MAX_SHARD_TOKENS`].
fn evict_ended(shard: &mut IndexMap<RequestKey, Arc<Run>>) {
    let evictable = |run: &&Arc<Run>| run.ended() && run.idle_since().is_some();
    let mut tokens: u64 = shard.values().filter(evictable).map(|run| run.len()).sum();
    if tokens <= MAX_SHARD_TOKENS {
        return;
    }
    shard.retain(|_, run| {
        let evicted = tokens > MAX_SHARD_TOKENS && evictable(&&*run);
        if evicted {
            tokens -= run.len();
        }
        !evicted
    });
}

fn retain_run(run: &Run, now: Instant) -> bool {
    let Some(idle) = run.idle_since() else {
        return true;
    };
    let idle = now - idle;
    if !run.ended() && idle > UNREAD_TIMEOUT {
        run.abandoned.cancel();
    }
    idle < ENDED_RETENTION
}
