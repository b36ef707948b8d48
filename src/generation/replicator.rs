//! Replication of running generations' journals to peers, in acknowledged batches.
//!
//! On the path of every token: the driver writes it here and waits a short time for the replicas
//! before callers see it. One writer per peer sends the entries of all generations, one batch at a
//! time, which keeps the number of messages low with hundreds of streams.

use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::journal::{Ack, Change, Entry};
use crate::ident::{RequestKey, rendezvous};
use crate::peer::{Peers, Tag, decode, encode};

/// Replicas of each journal.
const REPLICAS: usize = 2;

/// Maximum wait for the acknowledgement of one batch.
const BATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait of tokens for the acknowledgement before they are published.
const ACK_TIMEOUT: Duration = Duration::from_millis(25);

/// Wait before an unacknowledged batch is sent again.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Time after which an idle writer checks whether it is still needed.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// Maximum entries per batch.
const MAX_BATCH: usize = 4096;

/// Maximum queued entries per peer.
const MAX_QUEUE: usize = 1 << 16;

/// Interval at which the list of live peers is read.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Queue of entries for one peer.
#[derive(Debug)]
pub(crate) struct Writer {
    peer: SmolStr,
    queue: Mutex<Vec<(u64, Entry)>>,
    ready: Notify,
    appended: AtomicU64,
    acked: watch::Sender<u64>,
    lagging: AtomicBool,
    /// Raised when the peer may have lost entries, so that every journal is sent in full again.
    resync: AtomicU64,
}

impl Writer {
    fn new(peer: SmolStr) -> Self {
        Self {
            peer,
            queue: Mutex::default(),
            ready: Notify::new(),
            appended: AtomicU64::new(0),
            acked: watch::Sender::new(0),
            lagging: AtomicBool::new(false),
            resync: AtomicU64::new(1),
        }
    }

    fn append(&self, entry: Entry) -> u64 {
        let mut queue = self.queue.lock();
        if queue.len() >= MAX_QUEUE {
            queue.clear();
            self.resync.fetch_add(1, Ordering::Relaxed);
        }
        let number = self.appended.fetch_add(1, Ordering::Relaxed) + 1;
        queue.push((number, entry));
        drop(queue);
        self.ready.notify_one();
        number
    }

    /// Waits for an entry's acknowledgement, unless the peer is lagging.
    async fn wait(&self, number: u64) {
        if self.lagging.load(Ordering::Relaxed) {
            return;
        }
        let mut acked = self.acked.subscribe();
        let arrived = acked.wait_for(|n| *n >= number);
        if tokio::time::timeout(ACK_TIMEOUT, arrived).await.is_err() {
            self.lagging.store(true, Ordering::Relaxed);
        }
    }

    /// Waits until the peer has acknowledged all entries so far.
    async fn caught_up(&self) {
        let number = self.appended.load(Ordering::Relaxed);
        let mut acked = self.acked.subscribe();
        // The sender lives as long as this writer.
        let _ = acked.wait_for(|n| *n >= number).await;
    }

    /// Takes the next batch and the number of its last entry.
    fn take(&self) -> Option<(u64, Vec<Entry>)> {
        let mut queue = self.queue.lock();
        let count = queue.len().min(MAX_BATCH);
        let (last, _) = queue.get(count.checked_sub(1)?)?;
        let last = *last;
        Some((last, queue.drain(..count).map(|(_, entry)| entry).collect()))
    }

    /// Drops all queued entries because the peer is gone.
    fn reset(&self) {
        self.queue.lock().clear();
        self.resync.fetch_add(1, Ordering::Relaxed);
        self.acked
            .send_replace(self.appended.load(Ordering::Relaxed));
    }
}

/// Writes this instance's journals to their replicas.
pub(crate) struct Replicator {
    pub(crate) peers: Peers,
    writers: Mutex<IndexMap<SmolStr, Arc<Writer>>>,
    candidates: RwLock<Arc<Vec<SmolStr>>>,
    peers_version: AtomicU64,
    on_stale: Box<StaleFn>,
    tokens: AtomicU64,
    bytes: AtomicU64,
}

type StaleFn = dyn Fn(Vec<RequestKey>) + Send + Sync;

impl std::fmt::Debug for Replicator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Replicator({:?})", self.peers)
    }
}

/// Replicas of one generation's journal, with the resync number that each has received.
#[derive(Debug, Default)]
pub(crate) struct ReplicaSet {
    peers_version: u64,
    writers: Vec<(Arc<Writer>, u64)>,
}

impl Replicator {
    /// `on_stale` is called with the requests that an owner of a higher epoch has taken over.
    pub(crate) fn new(
        peers: Peers,
        on_stale: impl Fn(Vec<RequestKey>) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let replicator = Arc::new(Self {
            peers,
            writers: Mutex::default(),
            candidates: RwLock::default(),
            peers_version: AtomicU64::new(0),
            on_stale: Box::new(on_stale),
            tokens: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        replicator.refresh();
        let refreshed = Arc::downgrade(&replicator);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(REFRESH_INTERVAL).await;
                let Some(replicator) = refreshed.upgrade() else {
                    return;
                };
                replicator.refresh();
            }
        });
        replicator
    }

    /// Returns the peers that keep the journal of `key`, in order of preference.
    pub(crate) fn replicas(&self, key: RequestKey) -> Vec<SmolStr> {
        let candidates = Arc::clone(&self.candidates.read());
        let order = rendezvous(key.0, candidates.iter().map(SmolStr::as_str));
        order.into_iter().take(REPLICAS).map(Into::into).collect()
    }

    /// Writes a change and waits until the replicas that do not lag have acknowledged it.
    pub(crate) async fn write(
        &self,
        key: RequestKey,
        epoch: u64,
        replicas: &mut ReplicaSet,
        change: Change,
        snapshot: impl Fn() -> Change,
    ) {
        let sent = self.enqueue(key, epoch, replicas, change, snapshot);
        for ((writer, _), number) in replicas.writers.iter().zip(sent) {
            writer.wait(number).await;
        }
    }

    /// Queues a change for every replica, or the full journal for one that does not have it yet.
    pub(crate) fn enqueue(
        &self,
        key: RequestKey,
        epoch: u64,
        replicas: &mut ReplicaSet,
        change: Change,
        snapshot: impl Fn() -> Change,
    ) -> Vec<u64> {
        self.assign(key, replicas);
        if let Change::Tokens(_, texts) = &change {
            self.tokens.fetch_add(texts.len() as u64, Ordering::Relaxed);
        }
        let mut sent = Vec::with_capacity(replicas.writers.len());
        for (writer, resync) in &mut replicas.writers {
            let current = writer.resync.load(Ordering::Relaxed);
            let change = match *resync == current || change == Change::Failed {
                true => change.clone(),
                false => snapshot(),
            };
            *resync = current;
            sent.push(writer.append(Entry { key, epoch, change }));
        }
        sent
    }

    /// Waits until a peer has the journal of `key` as written so far; forever if there is no peer.
    pub(crate) async fn replicated(&self, key: RequestKey) {
        let writers = self.writers_of(key);
        let mut waits: FuturesUnordered<_> = writers.iter().map(|w| w.caught_up()).collect();
        if waits.next().await.is_none() {
            pending::<()>().await;
        }
    }

    fn writers_of(&self, key: RequestKey) -> Vec<Arc<Writer>> {
        let names = self.replicas(key);
        let writers = self.writers.lock();
        let assigned = names.iter().filter_map(|name| writers.get(name).cloned());
        assigned.collect()
    }

    /// Returns the number of journalled tokens and of the bytes sent for them.
    pub(crate) fn traffic(&self) -> (u64, u64) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        (tokens, self.bytes.load(Ordering::Relaxed))
    }

    fn assign(&self, key: RequestKey, replicas: &mut ReplicaSet) {
        let peers_version = self.peers_version.load(Ordering::Acquire);
        if replicas.peers_version == peers_version {
            return;
        }
        replicas.peers_version = peers_version;
        let assigned = self.writers_of(key);
        let old = std::mem::take(&mut replicas.writers);
        let resync = |w: &Arc<Writer>| {
            old.iter()
                .find(|(o, _)| Arc::ptr_eq(o, w))
                .map_or(0, |o| o.1)
        };
        replicas.writers = assigned
            .into_iter()
            .map(|w| (Arc::clone(&w), resync(&w)))
            .collect();
    }

    /// Reads the live peers and selects the replica candidates: the peers of the own failure
    /// domain, of the own region if there are none, or else all.
    fn refresh(self: &Arc<Self>) {
        let me = self.peers.me();
        let alive = self.peers.alive();
        let live_names = |matches: &dyn Fn(&crate::peer::Member) -> bool| -> Vec<SmolStr> {
            let mut names: Vec<_> = alive
                .iter()
                .filter(|m| matches(m))
                .map(|m| m.name.clone())
                .collect();
            names.sort();
            names
        };
        let mut candidates = live_names(&|m| m.domain == me.domain);
        if candidates.is_empty() {
            candidates = live_names(&|m| m.region == me.region);
        }
        if candidates.is_empty() {
            candidates = live_names(&|_| true);
        }
        if **self.candidates.read() == candidates {
            return;
        }
        let mut writers = self.writers.lock();
        writers.retain(|name, writer| {
            let remains = candidates.contains(name);
            if !remains {
                writer.reset();
            }
            remains
        });
        for name in &candidates {
            writers.entry(name.clone()).or_insert_with(|| {
                let writer = Arc::new(Writer::new(name.clone()));
                tokio::spawn(run_writer(Arc::downgrade(self), Arc::clone(&writer)));
                writer
            });
        }
        drop(writers);
        *self.candidates.write() = Arc::new(candidates);
        self.peers_version.fetch_add(1, Ordering::Release);
    }

    fn is_current(&self, writer: &Arc<Writer>) -> bool {
        let writers = self.writers.lock();
        writers
            .get(&writer.peer)
            .is_some_and(|w| Arc::ptr_eq(w, writer))
    }

    async fn send(&self, writer: &Writer, batch: &Vec<Entry>) -> Option<Ack> {
        let body = encode(batch);
        self.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        let call = self
            .peers
            .send(&writer.peer, Tag::Journal, body, BATCH_TIMEOUT);
        decode(&call.await.ok()?)
    }
}

/// Sends a writer's entries while its peer is a replica candidate.
async fn run_writer(replicator: Weak<Replicator>, writer: Arc<Writer>) {
    loop {
        let Some((last, batch)) = writer.take() else {
            let idle = tokio::time::timeout(IDLE_CHECK, writer.ready.notified()).await;
            match replicator.upgrade() {
                Some(replicator) if idle.is_ok() || replicator.is_current(&writer) => continue,
                _ => return,
            }
        };
        let Some(ack) = deliver(&replicator, &writer, &batch).await else {
            return;
        };
        writer.acked.send_replace(last);
        writer.lagging.store(false, Ordering::Relaxed);
        if !ack.missing.is_empty() {
            writer.resync.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(replicator) = replicator.upgrade().filter(|_| !ack.stale.is_empty()) {
            (replicator.on_stale)(ack.stale);
        }
    }
}

/// Sends a batch until it is acknowledged. Returns `None` when the peer is gone.
async fn deliver(
    replicator: &Weak<Replicator>,
    writer: &Arc<Writer>,
    batch: &Vec<Entry>,
) -> Option<Ack> {
    let started = Instant::now();
    loop {
        let replicator = replicator
            .upgrade()
            .filter(|replicator| replicator.is_current(writer))?;
        if let Some(ack) = replicator.send(writer, batch).await {
            return Some(ack);
        }
        if started.elapsed() > BATCH_TIMEOUT {
            writer.lagging.store(true, Ordering::Relaxed);
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    }
}
