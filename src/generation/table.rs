//! All generations of one instance.

use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::drive::Driver;
use super::hooks::{Admit, Gate, Hooks, Release};
use super::journal::{Ack, Entry, Journal, Journals};
use super::pace::Pace;
use super::run::{Reader, Run, Start};
use super::suspect::{Crash, Suspects, Verdict};
use super::takeover;
use super::writer::Net;
use crate::failure::Failure;
use crate::http::Client;
use crate::ident::{RequestKey, digest};
use crate::peer::Peers;

/// Number of shards, each under its own lock.
const SHARDS: usize = 16;

/// How long an ended generation is kept for a caller that returns.
const KEEP: Duration = Duration::from_secs(60);

/// How long a generation that nobody reads goes on.
const ORPHAN: Duration = Duration::from_secs(30);

/// Most tokens of ended generations that one shard keeps.
const SHARD_TOKENS: u64 = 1 << 18;

/// Time between two sweeps.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Targets whose pace is kept although nothing runs there.
const PACES: usize = 1024;

/// Length of a request's first quarantine.
const QUARANTINE: Duration = Duration::from_secs(60);

type Shard = Mutex<IndexMap<RequestKey, Arc<Run>>>;

/// What all generations of an instance share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) hooks: Hooks,
    pub(crate) client: Client,
    pub(crate) journals: Journals,
    pub(crate) net: OnceLock<Arc<Net>>,
    gate: OnceLock<Gate>,
    pub(crate) suspects: Mutex<Suspects>,
    shards: [Shard; SHARDS],
    paces: Mutex<IndexMap<SmolStr, Arc<Mutex<Pace>>>>,
}

impl Shared {
    /// Pace of a target.
    pub(crate) fn pace(&self, target: &SmolStr) -> Arc<Mutex<Pace>> {
        Arc::clone(self.paces.lock().entry(target.clone()).or_default())
    }

    /// The run of a request, if this instance has or had it.
    pub(crate) fn run(&self, key: RequestKey) -> Option<Arc<Run>> {
        self.shard(key).lock().get(&key).cloned()
    }

    /// Takes journal entries of a peer. A generation that runs here under an older epoch stops.
    pub(crate) fn write(&self, entries: Vec<Entry>) -> Ack {
        for entry in &entries {
            let run = self.run(entry.key);
            match run {
                Some(run) if !run.ended() && run.epoch < entry.epoch => run.supersede(),
                _ => {}
            }
        }
        self.journals.write(entries, Instant::now())
    }

    /// Records a crash that this instance saw, and tells the peers.
    pub(crate) fn crash(&self, crash: Crash) -> Verdict {
        self.hear_crash(&crash);
        let verdict = self.suspects.lock().verdict(crash.digest, Instant::now());
        if let Some(net) = self.net.get() {
            takeover::spread(net, crash);
        }
        verdict
    }

    /// Records a crash that a peer saw.
    pub(crate) fn hear_crash(&self, crash: &Crash) {
        self.suspects.lock().crashed(crash, Instant::now());
    }

    fn shard(&self, key: RequestKey) -> &Shard {
        &self.shards[key.0 as usize % SHARDS]
    }
}

/// Digest under which a request is suspected, whoever sends it.
pub(crate) fn suspect_digest(start: &Start) -> u128 {
    digest(&[&start.service, &start.prompt])
}

/// The answer to a request that crashes targets; nothing of this try ran.
pub(crate) fn quarantined(left: Duration) -> Failure {
    let text = "this request crashed the targets that ran it";
    Failure::not_run(503, "quarantined", text).retry_after(left)
}

/// All generations of one instance.
#[derive(Clone, Debug)]
pub struct Generations {
    shared: Arc<Shared>,
}

impl Generations {
    /// No generations yet. Must be called within a runtime.
    #[must_use]
    pub fn new(hooks: Hooks, client: Client) -> Self {
        Self::with_quarantine(hooks, client, QUARANTINE)
    }

    /// As [`Self::new`], with the length of a request's first quarantine.
    #[must_use]
    pub fn with_quarantine(hooks: Hooks, client: Client, quarantine: Duration) -> Self {
        let shared = Arc::new(Shared {
            hooks,
            client,
            journals: Journals::default(),
            net: OnceLock::new(),
            gate: OnceLock::new(),
            suspects: Mutex::new(Suspects::new(quarantine)),
            shards: Default::default(),
            paces: Mutex::default(),
        });
        tokio::spawn(sweep(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Exchanges journals, claims and suspects with other instances from now on.
    pub fn join(&self, peers: &Peers) {
        let shared = &self.shared;
        shared.net.get_or_init(|| takeover::join(shared, peers));
    }

    /// Admits requests by `gate` from now on; without one all are.
    pub fn gate(&self, gate: Box<Admit>) {
        let _ = self.shared.gate.set(Gate(gate));
    }

    /// Starts a generation, or finds the one that runs under the same key, here or at a peer.
    /// `from` is the last token that the caller has.
    ///
    /// # Errors
    /// When the key belongs to another body, the tokens before `from` are not known, or the
    /// request crashes targets.
    pub async fn open(&self, start: Start, from: Option<u64>) -> Result<Reader, Failure> {
        let next = from.map_or(0, |last| last + 1);
        if let Some(found) = self.local(&start, next) {
            return found;
        }
        self.admit(&start)?;
        let journal = match self.shared.net.get() {
            Some(net) => {
                let own = &self.shared.journals;
                takeover::find(net, own, &start, from.is_some()).await?
            }
            None => None,
        };
        let release = match &journal {
            None if next > 0 => return Err(unknown()),
            Some(journal) if journal.whole.is_some() => None,
            found => self.pass(&start, found.is_some()).await?,
        };
        self.adopt(start, journal, next, release)
    }

    /// Number of generations that run.
    #[must_use]
    pub fn running(&self) -> usize {
        let shards = self.shared.shards.iter();
        shards
            .map(|s| s.lock().values().filter(|r| !r.ended()).count())
            .sum()
    }

    /// Number of journals kept for other instances.
    #[must_use]
    pub fn journals(&self) -> usize {
        self.shared.journals.len()
    }

    /// Tokens journalled at peers and bytes sent for it.
    #[must_use]
    pub fn journal_traffic(&self) -> (u64, u64) {
        self.shared.net.get().map_or((0, 0), |net| net.traffic())
    }

    fn admit(&self, start: &Start) -> Result<(), Failure> {
        let digest = suspect_digest(start);
        let verdict = self.shared.suspects.lock().verdict(digest, Instant::now());
        match verdict {
            Verdict::Quarantined(left) => Err(quarantined(left)),
            Verdict::Clear | Verdict::Suspect => Ok(()),
        }
    }

    /// Waits for the gate.
    async fn pass(&self, start: &Start, runs: bool) -> Result<Option<Release>, Failure> {
        match self.shared.gate.get() {
            Some(gate) => (gate.0)(start, runs).await.map(Some),
            None => Ok(None),
        }
    }

    /// A reader of the run that is here, unless it is to be begun again.
    fn local(&self, start: &Start, next: u64) -> Option<Result<Reader, Failure>> {
        let shard = self.shared.shard(start.key).lock();
        let run = shard.get(&start.key)?;
        read(run, start, next)
    }

    fn adopt(
        &self,
        start: Start,
        journal: Option<Journal>,
        next: u64,
        release: Option<Release>,
    ) -> Result<Reader, Failure> {
        let mut shard = self.shared.shard(start.key).lock();
        let old = shard.get(&start.key);
        if let Some(found) = old.and_then(|run| read(run, &start, next)) {
            return found;
        }
        let known = old.map_or(0, |run| run.epoch);
        let known = known.max(journal.as_ref().map_or(0, |j| j.epoch));
        let epoch = takeover::next_epoch(known);
        let run = match journal {
            Some(journal) => {
                metrics::counter!("endivefork_generation_takeovers_total").increment(1);
                Run::adopt(start, epoch, journal)
            }
            None => Run::new(start, epoch),
        };
        let reader = run.read(next);
        shard.insert(run.start.key, Arc::clone(&run));
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

/// A reader of `run`; `None` when it was given up and may be begun again, or went elsewhere.
fn read(run: &Arc<Run>, start: &Start, next: u64) -> Option<Result<Reader, Failure>> {
    match run {
        run if run.taken.is_cancelled() => None,
        run if run.start.body_digest != start.body_digest => Some(Err(takeover::key_reused())),
        run if run.failed() && next == 0 => None,
        run => Some(Ok(run.read(next))),
    }
}

fn unknown() -> Failure {
    let text = "the generation to go on with is not known";
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
            shard.retain(|_, run| keep(run, now));
            bound(&mut shard);
        }
        shared.journals.sweep(now);
        let used = |pace: &Arc<Mutex<Pace>>| Arc::strong_count(pace) > 1;
        let mut paces = shared.paces.lock();
        if paces.len() > PACES {
            paces.retain(|_, pace| used(pace));
        }
    }
}

/// Drops the oldest ended generations that nobody reads, beyond the bound.
fn bound(shard: &mut IndexMap<RequestKey, Arc<Run>>) {
    let done = |run: &&Arc<Run>| run.ended() && run.idle_since().is_some();
    let mut tokens: u64 = shard.values().filter(done).map(|run| run.len()).sum();
    if tokens <= SHARD_TOKENS {
        return;
    }
    shard.retain(|_, run| {
        let drops = tokens > SHARD_TOKENS && done(&&*run);
        if drops {
            tokens -= run.len();
        }
        !drops
    });
}

fn keep(run: &Run, now: Instant) -> bool {
    let Some(idle) = run.idle_since() else {
        return true;
    };
    let idle = now - idle;
    if !run.ended() && idle > ORPHAN {
        run.orphaned.cancel();
    }
    idle < KEEP
}
