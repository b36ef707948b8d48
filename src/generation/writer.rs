//! Sends journals to peers in acknowledged batches.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::journal::{Ack, Change, Entry};
use crate::ident::{RequestKey, rendezvous};
use crate::peer::{Peers, Tag, decode, encode};

/// Peers that keep each journal.
const REPLICAS: usize = 2;

/// Longest wait for the acknowledgement of one batch.
const BATCH_LIMIT: Duration = Duration::from_millis(500);

/// Tokens wait this long for the acknowledgement before a caller sees them.
const ACK_LIMIT: Duration = Duration::from_millis(25);

/// Wait before a batch is sent again.
const RETRY: Duration = Duration::from_millis(20);

/// Time after which an idle writer looks whether it is still needed.
const IDLE: Duration = Duration::from_secs(1);

/// Most entries of one batch.
const BATCH: usize = 4096;

/// Most entries that wait for one peer.
const QUEUE: usize = 1 << 16;

/// Time between two readings of who is alive.
const REFRESH: Duration = Duration::from_millis(50);

/// Entries on their way to one peer.
#[derive(Debug)]
pub(crate) struct Writer {
    peer: SmolStr,
    queue: Mutex<Vec<(u64, Entry)>>,
    news: Notify,
    appended: AtomicU64,
    acked: watch::Sender<u64>,
    behind: AtomicBool,
    /// Raised when the peer may have lost entries: every journal is to be sent whole again.
    term: AtomicU64,
}

impl Writer {
    fn new(peer: SmolStr) -> Self {
        Self {
            peer,
            queue: Mutex::default(),
            news: Notify::new(),
            appended: AtomicU64::new(0),
            acked: watch::Sender::new(0),
            behind: AtomicBool::new(false),
            term: AtomicU64::new(1),
        }
    }

    fn append(&self, entry: Entry) -> u64 {
        let mut queue = self.queue.lock();
        if queue.len() >= QUEUE {
            queue.clear();
            self.term.fetch_add(1, Ordering::Relaxed);
        }
        let number = self.appended.fetch_add(1, Ordering::Relaxed) + 1;
        queue.push((number, entry));
        drop(queue);
        self.news.notify_one();
        number
    }

    /// Waits for an entry's acknowledgement, but not for a peer that is behind.
    async fn wait(&self, number: u64) {
        if self.behind.load(Ordering::Relaxed) {
            return;
        }
        let mut acked = self.acked.subscribe();
        let arrived = acked.wait_for(|n| *n >= number);
        if tokio::time::timeout(ACK_LIMIT, arrived).await.is_err() {
            self.behind.store(true, Ordering::Relaxed);
        }
    }

    /// The next batch, and the number of its last entry.
    fn take(&self) -> Option<(u64, Vec<Entry>)> {
        let mut queue = self.queue.lock();
        let count = queue.len().min(BATCH);
        let (last, _) = queue.get(count.checked_sub(1)?)?;
        let last = *last;
        Some((last, queue.drain(..count).map(|(_, entry)| entry).collect()))
    }

    /// Gives up what waits, because the peer is gone.
    fn reset(&self) {
        self.queue.lock().clear();
        self.term.fetch_add(1, Ordering::Relaxed);
        self.acked
            .send_replace(self.appended.load(Ordering::Relaxed));
    }
}

/// The peers that this instance's journals go to.
pub(crate) struct Net {
    pub(crate) peers: Peers,
    writers: Mutex<IndexMap<SmolStr, Arc<Writer>>>,
    near: RwLock<Arc<Vec<SmolStr>>>,
    view: AtomicU64,
    stale: Box<StaleFn>,
    tokens: AtomicU64,
    bytes: AtomicU64,
}

type StaleFn = dyn Fn(Vec<RequestKey>) + Send + Sync;

impl std::fmt::Debug for Net {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Net({:?})", self.peers)
    }
}

/// What one generation has sent, and where.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    view: u64,
    at: Vec<(Arc<Writer>, u64)>,
}

impl Net {
    /// `stale` is told of requests that have a newer owner.
    pub(crate) fn new(
        peers: Peers,
        stale: impl Fn(Vec<RequestKey>) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let net = Arc::new(Self {
            peers,
            writers: Mutex::default(),
            near: RwLock::default(),
            view: AtomicU64::new(0),
            stale: Box::new(stale),
            tokens: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        net.refresh();
        let refreshed = Arc::downgrade(&net);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(REFRESH).await;
                let Some(net) = refreshed.upgrade() else {
                    return;
                };
                net.refresh();
            }
        });
        net
    }

    /// Peers that keep the journal of `key`, best first.
    pub(crate) fn replicas(&self, key: RequestKey) -> Vec<SmolStr> {
        let near = Arc::clone(&self.near.read());
        let order = rendezvous(key.0, near.iter().map(SmolStr::as_str));
        order.into_iter().take(REPLICAS).map(Into::into).collect()
    }

    /// Writes a change and waits until the replicas that are not behind have it.
    pub(crate) async fn write(
        &self,
        key: RequestKey,
        epoch: u64,
        placement: &mut Placement,
        change: Change,
        snapshot: impl Fn() -> Change,
    ) {
        let sent = self.post(key, epoch, placement, change, snapshot);
        for ((writer, _), number) in placement.at.iter().zip(sent) {
            writer.wait(number).await;
        }
    }

    /// Writes a change to every replica: the whole journal to one that does not have it yet.
    pub(crate) fn post(
        &self,
        key: RequestKey,
        epoch: u64,
        placement: &mut Placement,
        change: Change,
        snapshot: impl Fn() -> Change,
    ) -> Vec<u64> {
        self.place(key, placement);
        if let Change::Tokens(_, texts) = &change {
            self.tokens.fetch_add(texts.len() as u64, Ordering::Relaxed);
        }
        let mut sent = Vec::with_capacity(placement.at.len());
        for (writer, term) in &mut placement.at {
            let now = writer.term.load(Ordering::Relaxed);
            let change = match *term == now || change == Change::Failed {
                true => change.clone(),
                false => snapshot(),
            };
            *term = now;
            sent.push(writer.append(Entry { key, epoch, change }));
        }
        sent
    }

    /// Tokens journalled and bytes sent for it.
    pub(crate) fn traffic(&self) -> (u64, u64) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        (tokens, self.bytes.load(Ordering::Relaxed))
    }

    fn place(&self, key: RequestKey, placement: &mut Placement) {
        let view = self.view.load(Ordering::Acquire);
        if placement.view == view {
            return;
        }
        placement.view = view;
        let names = self.replicas(key);
        let writers = self.writers.lock();
        let at = names.iter().filter_map(|name| writers.get(name));
        let old = std::mem::take(&mut placement.at);
        let term = |w: &Arc<Writer>| {
            old.iter()
                .find(|(o, _)| Arc::ptr_eq(o, w))
                .map_or(0, |o| o.1)
        };
        placement.at = at.map(|w| (Arc::clone(w), term(w))).collect();
    }

    /// Reads who is alive: the own failure domain, or the nearest others when it is empty.
    fn refresh(self: &Arc<Self>) {
        let me = self.peers.me();
        let alive = self.peers.alive();
        let within = |pick: &dyn Fn(&crate::peer::Member) -> bool| -> Vec<SmolStr> {
            let mut names: Vec<_> = alive
                .iter()
                .filter(|m| pick(m))
                .map(|m| m.name.clone())
                .collect();
            names.sort();
            names
        };
        let mut near = within(&|m| m.domain == me.domain);
        if near.is_empty() {
            near = within(&|m| m.region == me.region);
        }
        if near.is_empty() {
            near = within(&|_| true);
        }
        if **self.near.read() == near {
            return;
        }
        let mut writers = self.writers.lock();
        writers.retain(|name, writer| {
            let stays = near.contains(name);
            if !stays {
                writer.reset();
            }
            stays
        });
        for name in &near {
            writers.entry(name.clone()).or_insert_with(|| {
                let writer = Arc::new(Writer::new(name.clone()));
                tokio::spawn(pump(Arc::downgrade(self), Arc::clone(&writer)));
                writer
            });
        }
        drop(writers);
        *self.near.write() = Arc::new(near);
        self.view.fetch_add(1, Ordering::Release);
    }

    fn serves(&self, writer: &Arc<Writer>) -> bool {
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
            .send(&writer.peer, Tag::Journal, body, BATCH_LIMIT);
        decode(&call.await.ok()?)
    }
}

/// Sends a writer's entries as long as its peer is alive.
async fn pump(net: Weak<Net>, writer: Arc<Writer>) {
    loop {
        let Some((last, batch)) = writer.take() else {
            let idle = tokio::time::timeout(IDLE, writer.news.notified()).await;
            match net.upgrade() {
                Some(net) if idle.is_ok() || net.serves(&writer) => continue,
                _ => return,
            }
        };
        let Some(ack) = deliver(&net, &writer, &batch).await else {
            return;
        };
        writer.acked.send_replace(last);
        writer.behind.store(false, Ordering::Relaxed);
        if !ack.missing.is_empty() {
            writer.term.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(net) = net.upgrade().filter(|_| !ack.stale.is_empty()) {
            (net.stale)(ack.stale);
        }
    }
}

/// Sends a batch until it is acknowledged; `None` when the peer is gone.
async fn deliver(net: &Weak<Net>, writer: &Arc<Writer>, batch: &Vec<Entry>) -> Option<Ack> {
    let begun = Instant::now();
    loop {
        let net = net.upgrade().filter(|net| net.serves(writer))?;
        if let Some(ack) = net.send(writer, batch).await {
            return Some(ack);
        }
        if begun.elapsed() > BATCH_LIMIT {
            writer.behind.store(true, Ordering::Relaxed);
        }
        tokio::time::sleep(RETRY).await;
    }
}
