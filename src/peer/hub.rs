//! All connections of one instance to others, the handlers of their messages and the heartbeats.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt as _, join_all};
use indexmap::{IndexMap, IndexSet};
use parking_lot::{Mutex, RwLock};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::auth::PeerKey;
use super::frame::{Tag, decode, encode};
use super::link::{Link, LinkError};
use super::member::{Evidence, Gossip, Heartbeat, Layout, Member, Members, Reach};
use super::serve;

/// Longest wait for a connection to be open and authenticated.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Longest wait for an answer to a heartbeat.
const BEAT_LIMIT: Duration = Duration::from_millis(500);

/// Others that one heartbeat tells of, so that its size does not grow with the fleet. A newcomer
/// hears of eight more from each instance that it knows, and so of hundreds in a few heartbeats.
const INTRODUCED: usize = 8;

/// The same in the answer to an instance of a large fleet that has just come, which asks few.
const INTRODUCED_NEW: usize = 24;

/// Rounds of heartbeats in which an instance is new: it asks who there is.
const NEW_ROUNDS: usize = 10;

/// Rounds of heartbeats after which one of the seeds is asked again, in a large fleet: it may know
/// better candidates for a duty.
const SEED_ROUNDS: usize = 16;

/// Time after which an unused connection is closed, in a large fleet.
const UNUSED_MAX: Duration = Duration::from_secs(5);

/// Who this instance is to others.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance.
    pub me: Member,
    /// Key shared by all instances.
    pub key: PeerKey,
    /// Time between heartbeats.
    pub period: Duration,
    /// Addresses to try before any list is known.
    pub seeds: Vec<SocketAddr>,
    /// Who sends heartbeats to whom.
    pub layout: Layout,
}

/// Why a call to another instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The instance is not known.
    #[error("instance unknown")]
    Unknown,
    /// Its host refused the connection.
    #[error("connection refused")]
    Refused,
    /// No answer; the message may have arrived.
    #[error("no answer")]
    Lost,
    /// It has another key or speaks another version.
    #[error("not a peer")]
    NotPeer,
    /// It refused the message, or its answer was malformed.
    #[error("message refused")]
    Malformed,
}

/// What was refused since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Malformed or too large messages.
    pub malformed: u64,
    /// Calls of another protocol version.
    pub foreign: u64,
    /// Calls without a proof of the key.
    pub strangers: u64,
}

type Handler = Arc<dyn Fn(SmolStr, Bytes) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// The connection to one address, and when it was last used.
struct Slot {
    link: Arc<tokio::sync::Mutex<Option<Link>>>,
    used: Instant,
}

/// State shared by all connections.
pub(crate) struct Hub {
    pub(crate) opts: Options,
    pub(crate) closed: CancellationToken,
    incarnation: u64,
    leaving: AtomicBool,
    members: Mutex<Members>,
    links: Mutex<IndexMap<SocketAddr, Slot>>,
    beating: Mutex<IndexSet<SocketAddr>>,
    /// Rounds of heartbeats so far.
    round: AtomicUsize,
    handlers: RwLock<IndexMap<Tag, Handler>>,
    malformed: AtomicU64,
    foreign: AtomicU64,
    strangers: AtomicU64,
}

impl Hub {
    pub(crate) fn handler(&self, tag: Tag) -> Option<Handler> {
        self.handlers.read().get(&tag).cloned()
    }

    pub(crate) fn count_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("endivefork_peer_malformed_total").increment(1);
    }

    pub(crate) fn count_foreign(&self) {
        self.foreign.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("endivefork_peer_foreign_total").increment(1);
    }

    pub(crate) fn count_stranger(&self) {
        self.strangers.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("endivefork_peer_strangers_total").increment(1);
    }

    /// A heartbeat, or the answer to one of an instance that `asks` who there is.
    fn heartbeat(&self, asks: bool) -> Heartbeat {
        let now = Instant::now();
        let mut members = self.members.lock();
        let others = match members.is_tiered() {
            false => members.introduce(INTRODUCED, now),
            true if asks => {
                let mut others = members.introduce_candidates();
                others.extend(members.turn(INTRODUCED_NEW));
                others
            }
            true if members.is_settled(now) => Vec::new(),
            true => members.introduce_candidates(),
        };
        Heartbeat {
            from: self.opts.me.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving.load(Ordering::Relaxed),
            asks: self.is_new(),
            others,
        }
    }

    /// Sends a message over the open connection, or a new one.
    async fn exchange(
        &self,
        addr: SocketAddr,
        tag: Tag,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, LinkError> {
        let slot = self.slot(addr);
        let deadline = Instant::now() + limit;
        let link = tokio::time::timeout_at(deadline, self.link(&slot, addr)).await;
        let link = link.unwrap_or(Err(LinkError::TimedOut))?;
        let answer = link.call(tag, body, deadline).await;
        // The next call opens a new connection: this one may have been forgotten on its way.
        let lost = matches!(answer, Err(LinkError::Lost | LinkError::TimedOut));
        if let Ok(mut slot) = slot.try_lock()
            && lost
        {
            slot.take_if(|open| open.same(&link));
        }
        answer
    }

    fn slot(&self, addr: SocketAddr) -> Arc<tokio::sync::Mutex<Option<Link>>> {
        let now = Instant::now();
        let mut links = self.links.lock();
        let slot = links.entry(addr).or_insert_with(|| Slot {
            link: Arc::default(),
            used: now,
        });
        slot.used = now;
        Arc::clone(&slot.link)
    }

    async fn link(
        &self,
        slot: &tokio::sync::Mutex<Option<Link>>,
        addr: SocketAddr,
    ) -> Result<Link, LinkError> {
        let mut slot = slot.lock().await;
        if let Some(link) = &*slot {
            return Ok(link.clone());
        }
        let link = Link::connect(addr, &self.opts.me.name, &self.opts.key, CONNECT_LIMIT).await?;
        *slot = Some(link.clone());
        Ok(link)
    }

    /// Sends one heartbeat, twice if the first connection was lost.
    async fn beat(&self, addr: SocketAddr) -> Result<Heartbeat, LinkError> {
        let body = encode(&self.heartbeat(false));
        let mut answer = self
            .exchange(addr, Tag::Heartbeat, body.clone(), BEAT_LIMIT)
            .await;
        if matches!(answer, Err(LinkError::Lost | LinkError::TimedOut)) {
            answer = self.exchange(addr, Tag::Heartbeat, body, BEAT_LIMIT).await;
        }
        decode(&answer?).ok_or(LinkError::Lost)
    }

    /// Sends a heartbeat to `addr`, which is `name` if that is known, unless one is under way.
    async fn beat_once(self: Arc<Self>, addr: SocketAddr, name: Option<SmolStr>) {
        if !self.beating.lock().insert(addr) {
            return;
        }
        let answer = self.beat(addr).await;
        self.beating.lock().swap_remove(&addr);
        let now = Instant::now();
        let mut members = self.members.lock();
        match (answer, name) {
            (Ok(beat), _) => members.hear(&beat, now),
            (Err(error), Some(name)) => members.witness(&name, evidence(error), now),
            (Err(_), None) => {}
        }
        drop(members);
        if self.is_new() {
            self.beat_untried();
        }
    }

    /// Whether this instance has just started.
    fn is_new(&self) -> bool {
        self.round.load(Ordering::Relaxed) <= NEW_ROUNDS
    }

    /// Sends heartbeats to candidates that this instance was told of and has not tried: a new one
    /// does not wait for the next round.
    fn beat_untried(self: &Arc<Self>) {
        let members = self.members.lock();
        if !members.is_tiered() {
            return;
        }
        let due = members.due_tiered(&self.opts.me).into_iter();
        let untried = due.filter(|m| members.reach(&m.name) == Reach::Unknown);
        let untried: Vec<_> = untried.map(|m| (m.addr, m.name.clone())).collect();
        drop(members);
        for (addr, name) in untried {
            self.spawn_beat(addr, Some(name));
        }
    }

    fn spawn_beat(self: &Arc<Self>, addr: SocketAddr, name: Option<SmolStr>) {
        let beat = Arc::clone(self).beat_once(addr, name).boxed();
        tokio::spawn(self.closed.clone().run_until_cancelled_owned(beat));
    }

    fn beat_all(self: &Arc<Self>) {
        let round = self.round.fetch_add(1, Ordering::Relaxed);
        let mut members = self.members.lock();
        let known: IndexSet<_> = members.all().map(|m| m.addr).collect();
        let tiered = members.is_tiered();
        let alone = members.alive().next().is_none();
        let seeds = self.opts.seeds.iter().enumerate();
        let seeds = seeds.filter(|(n, addr)| match tiered {
            false => !known.contains(*addr),
            true => {
                let turn = round % (SEED_ROUNDS * self.opts.seeds.len()) == n * SEED_ROUNDS;
                alone || turn || round < NEW_ROUNDS
            }
        });
        let mut targets: IndexMap<_, _> = seeds.map(|(_, addr)| (*addr, None)).collect();
        let named = |m: &Member| (m.addr, Some(m.name.clone()));
        match tiered {
            false => targets.extend(members.due(&self.opts.me.domain, round).map(named)),
            true => {
                members.expire(Instant::now());
                targets.extend(members.due_tiered(&self.opts.me).into_iter().map(named));
            }
        }
        drop(members);
        targets.swap_remove(&self.opts.me.addr);
        let kept = |addr: &SocketAddr, slot: &Slot| match tiered {
            false => known.contains(addr),
            true => slot.used.elapsed() < UNUSED_MAX,
        };
        self.links
            .lock()
            .retain(|addr, slot| targets.contains_key(addr) || kept(addr, slot));
        for (addr, name) in targets {
            self.spawn_beat(addr, name);
        }
    }
}

/// The other instances as this one reaches them. Cheap to clone.
#[derive(Clone)]
pub struct Peers {
    hub: Arc<Hub>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Peers({})", self.hub.opts.me.name)
    }
}

impl Peers {
    /// Accepts connections on `listener` and begins to send heartbeats. Must be called within a
    /// runtime.
    #[must_use]
    pub fn start(listener: TcpListener, opts: Options) -> Self {
        let hub = Arc::new(Hub {
            closed: CancellationToken::new(),
            incarnation: rand::random(),
            leaving: AtomicBool::new(false),
            members: Mutex::new(
                Members::new(opts.me.name.clone(), opts.period).laid_out(opts.layout),
            ),
            links: Mutex::default(),
            beating: Mutex::default(),
            round: AtomicUsize::new(0),
            handlers: RwLock::default(),
            malformed: AtomicU64::new(0),
            foreign: AtomicU64::new(0),
            strangers: AtomicU64::new(0),
            opts,
        });
        let peers = Self { hub };
        let listening = Arc::clone(&peers.hub);
        peers.on(Tag::Heartbeat, move |_, beat: Heartbeat| {
            listening.members.lock().hear(&beat, Instant::now());
            std::future::ready(listening.heartbeat(beat.asks))
        });
        tokio::spawn(serve::accept(Arc::clone(&peers.hub), listener));
        tokio::spawn(beats(Arc::clone(&peers.hub)));
        peers
    }

    /// Answers messages of `tag` by `handler`, which gets the sender's name.
    pub fn on<Q, A, F>(&self, tag: Tag, handler: impl Fn(SmolStr, Q) -> F + Send + Sync + 'static)
    where
        Q: DeserializeOwned + Send,
        A: Serialize + Send,
        F: Future<Output = A> + Send + 'static,
    {
        let handler: Handler = Arc::new(move |from, body: Bytes| {
            let answer = decode(&body).map(|message| handler(from, message));
            async move { Some(encode(&answer?.await)) }.boxed()
        });
        self.hub.handlers.write().insert(tag, handler);
    }

    /// Sends a message to the instance `name` and waits for its answer.
    ///
    /// # Errors
    /// When no proper answer came within `limit`; the message may have arrived nevertheless.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        name: &str,
        tag: Tag,
        message: &Q,
        limit: Duration,
    ) -> Result<A, CallError> {
        let answer = self.send(name, tag, encode(message), limit).await?;
        decode(&answer).ok_or(CallError::Malformed)
    }

    /// Sends an encoded message and returns the encoded answer.
    pub(crate) async fn send(
        &self,
        name: &str,
        tag: Tag,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let addr = self.hub.members.lock().addr(name);
        let addr = addr.ok_or(CallError::Unknown)?;
        let answer = self.hub.exchange(addr, tag, body, limit).await;
        if let Err(LinkError::Refused) = answer {
            let mut members = self.hub.members.lock();
            members.witness(name, Evidence::Refused, Instant::now());
        }
        answer.map_err(|error| match error {
            LinkError::Refused => CallError::Refused,
            LinkError::Lost | LinkError::TimedOut => CallError::Lost,
            LinkError::WrongKey | LinkError::OtherVersion => CallError::NotPeer,
            LinkError::Status(_) => CallError::Malformed,
        })
    }

    /// Sends a message to every instance that answers, all at once, and returns the answers that
    /// came within `limit`.
    pub async fn ask_all<Q: Serialize, A: DeserializeOwned>(
        &self,
        tag: Tag,
        message: &Q,
        limit: Duration,
    ) -> Vec<(SmolStr, A)> {
        let alive = self.alive();
        let calls = alive.iter().map(|member| async {
            let answer = self.call(&member.name, tag, message, limit).await;
            answer.ok().map(|a| (member.name.clone(), a))
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    /// Takes the platform's list of entry instances, this one left out or not.
    pub fn list(&self, members: &[Member]) {
        let me = &self.hub.opts.me.name;
        let others: Vec<_> = members.iter().filter(|m| m.name != *me).cloned().collect();
        let mut known = self.hub.members.lock();
        known.list(&others, Instant::now());
        let untried = known.untried(&self.hub.opts.me.domain);
        drop(known);
        if untried {
            self.hub.beat_all();
        }
    }

    /// Whether this instance has tried to reach all others that it knows in its failure domain.
    #[must_use]
    pub fn introduced(&self) -> bool {
        let members = self.hub.members.lock();
        !members.untried(&self.hub.opts.me.domain)
    }

    /// This instance.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.hub.opts.me
    }

    /// Instances that answer and stay, this one left out.
    #[must_use]
    pub fn alive(&self) -> Vec<Member> {
        self.hub.members.lock().alive().cloned().collect()
    }

    /// Whether duties are left to few instances, as the fleet is large.
    #[must_use]
    pub fn is_tiered(&self) -> bool {
        self.hub.members.lock().is_tiered()
    }

    /// Instances of a failure domain that may take on its duties in a large fleet, best first, this
    /// one left out.
    #[must_use]
    pub fn candidates(&self, domain: &str) -> Vec<Member> {
        let members = self.hub.members.lock();
        members.candidates(domain).into_iter().cloned().collect()
    }

    /// Whether `name` is an instance of this one's failure domain.
    #[must_use]
    pub fn is_near(&self, name: &str) -> bool {
        let members = self.hub.members.lock();
        members.domain(name) == Some(&self.hub.opts.me.domain)
    }

    /// Whether `name` can be reached.
    #[must_use]
    pub fn reach(&self, name: &str) -> Reach {
        self.hub.members.lock().reach(name)
    }

    /// All other instances that are known.
    #[must_use]
    pub fn view(&self) -> Vec<Gossip> {
        self.hub.members.lock().view().collect()
    }

    /// How many other instances are known.
    #[must_use]
    pub fn others(&self) -> usize {
        self.hub.members.lock().all().count()
    }

    /// Whether a failure domain is cut off from here.
    #[must_use]
    pub fn cut_off(&self, domain: &str) -> bool {
        self.hub.members.lock().cut_off(domain)
    }

    /// Tells the others, with the next heartbeat, that this instance leaves.
    pub fn leave(&self) {
        self.hub.leaving.store(true, Ordering::Relaxed);
    }

    /// What was refused since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            malformed: self.hub.malformed.load(Ordering::Relaxed),
            foreign: self.hub.foreign.load(Ordering::Relaxed),
            strangers: self.hub.strangers.load(Ordering::Relaxed),
        }
    }

    /// Closes all connections and stops listening.
    pub fn close(&self) {
        self.hub.closed.cancel();
        self.hub.links.lock().clear();
    }
}

async fn beats(hub: Arc<Hub>) {
    let mut ticks = tokio::time::interval(hub.opts.period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => hub.beat_all(),
            () = hub.closed.cancelled() => return,
        }
    }
}

fn evidence(error: LinkError) -> Evidence {
    match error {
        LinkError::Refused => Evidence::Refused,
        LinkError::WrongKey => Evidence::WrongKey,
        LinkError::OtherVersion => Evidence::OtherVersion,
        LinkError::Lost | LinkError::TimedOut | LinkError::Status(_) => Evidence::TimedOut,
    }
}
