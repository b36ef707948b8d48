//! The peer layer of one instance: its connections to other instances, the handlers of their
//! messages, and membership kept up by heartbeats.

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
use super::heartbeat;
use super::link::{Link, LinkError};
use super::member::{Evidence, Gossip, Heartbeat, Layout, Member, Members, Reach};
use super::serve;

/// Timeout for opening and authenticating a connection: several round trips, where a call is one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Identity of this instance and settings of its peer layer.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance.
    pub me: Member,
    /// Key shared by all instances.
    pub key: PeerKey,
    /// Time between heartbeats.
    pub period: Duration,
    /// Addresses to contact before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// Who sends heartbeats to whom.
    pub layout: Layout,
}

/// Why a call to another instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No address is known for the instance.
    #[error("instance unknown")]
    Unknown,
    /// The host refused the connection.
    #[error("connection refused")]
    Refused,
    /// No answer in time. The message may still have been processed.
    #[error("no answer")]
    Lost,
    /// The instance has another key or another protocol version.
    #[error("not a peer")]
    NotPeer,
    /// The instance rejected the message, or its answer was malformed.
    #[error("message refused")]
    Malformed,
}

/// Calls rejected since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Malformed or oversized messages.
    pub malformed: u64,
    /// Calls with another protocol version.
    pub foreign: u64,
    /// Calls without a valid proof of the key.
    #[serde(rename = "strangers")]
    pub unauthenticated: u64,
}

type Handler = Arc<dyn Fn(SmolStr, Bytes) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// The connection to one address, if open, and when it was last used.
pub(super) struct Slot {
    link: Arc<tokio::sync::Mutex<Option<Link>>>,
    pub(super) used: Instant,
}

/// State shared by all connections.
pub(crate) struct Hub {
    pub(crate) opts: Options,
    pub(crate) closed: CancellationToken,
    pub(super) incarnation: u64,
    pub(super) leaving: AtomicBool,
    pub(super) members: Mutex<Members>,
    pub(super) links: Mutex<IndexMap<SocketAddr, Slot>>,
    pub(super) in_flight: Mutex<IndexSet<SocketAddr>>,
    /// Seeds that refused this instance's last heartbeat.
    pub(super) refusing: Mutex<IndexSet<SocketAddr>>,
    /// Number of heartbeat rounds so far.
    pub(super) round: AtomicUsize,
    handlers: RwLock<IndexMap<Tag, Handler>>,
    malformed: AtomicU64,
    foreign: AtomicU64,
    unauthenticated: AtomicU64,
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

    pub(crate) fn count_unauthenticated(&self) {
        self.unauthenticated.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("endivefork_peer_strangers_total").increment(1);
    }

    /// Sends a message over the open connection to `addr`, or over a new one.
    pub(super) async fn exchange(
        &self,
        addr: SocketAddr,
        tag: Tag,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, LinkError> {
        let slot = self.slot(addr);
        let deadline = Instant::now() + limit;
        let link = tokio::time::timeout_at(deadline, self.link(Arc::clone(&slot), addr)).await;
        let link = link.unwrap_or(Err(LinkError::TimedOut))?;
        let answer = link.call(tag, body, deadline).await;
        // Drops the connection so that the next call opens a new one: a middlebox on the path may
        // have dropped its state without a reset.
        let lost = matches!(answer, Err(LinkError::Lost | LinkError::TimedOut));
        if let Ok(mut slot) = slot.try_lock()
            && lost
        {
            slot.take_if(|open| open.is_same(&link));
        }
        answer
    }

    /// Seeds at other addresses than this instance's.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = &SocketAddr> {
        let own = self.opts.me.addr;
        self.opts.seeds.iter().filter(move |addr| **addr != own)
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

    /// The open connection in `slot`, or a new one, which goes on being opened for the next call when
    /// this one ends before.
    async fn link(
        &self,
        slot: Arc<tokio::sync::Mutex<Option<Link>>>,
        addr: SocketAddr,
    ) -> Result<Link, LinkError> {
        let mut slot = slot.lock_owned().await;
        if let Some(link) = &*slot {
            return Ok(link.clone());
        }
        let (name, key) = (self.opts.me.name.clone(), self.opts.key.clone());
        let opened = tokio::spawn(async move {
            let link = Link::connect(addr, &name, &key, CONNECT_TIMEOUT).await?;
            *slot = Some(link.clone());
            Ok(link)
        });
        opened.await.unwrap_or(Err(LinkError::Lost))
    }
}

/// Handle for sending messages to other instances. Cheap to clone.
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
    /// Accepts connections on `listener` and starts to send heartbeats. Must be called within a
    /// Tokio runtime.
    #[must_use]
    pub fn start(listener: TcpListener, opts: Options) -> Self {
        let hub = Arc::new(Hub {
            closed: CancellationToken::new(),
            incarnation: rand::random(),
            leaving: AtomicBool::new(false),
            members: Mutex::new(
                Members::new(opts.me.name.clone(), opts.period).with_layout(opts.layout),
            ),
            links: Mutex::default(),
            in_flight: Mutex::default(),
            refusing: Mutex::default(),
            round: AtomicUsize::new(0),
            handlers: RwLock::default(),
            malformed: AtomicU64::new(0),
            foreign: AtomicU64::new(0),
            unauthenticated: AtomicU64::new(0),
            opts,
        });
        let peers = Self { hub };
        let hub = Arc::clone(&peers.hub);
        peers.on(Tag::Heartbeat, move |_, beat: Heartbeat| {
            hub.members.lock().receive(&beat, Instant::now());
            std::future::ready(hub.heartbeat(beat.wants_members))
        });
        tokio::spawn(serve::accept(Arc::clone(&peers.hub), listener));
        tokio::spawn(heartbeat::run(Arc::clone(&peers.hub)));
        peers
    }

    /// Registers the handler of messages with `tag`. It gets the sender's name.
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
    /// When no valid answer arrived within `limit`. The message may still have been processed.
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
            members.record(name, Evidence::Refused, Instant::now());
        }
        answer.map_err(|error| match error {
            LinkError::Refused => CallError::Refused,
            LinkError::Lost | LinkError::TimedOut => CallError::Lost,
            LinkError::WrongKey | LinkError::OtherVersion => CallError::NotPeer,
            LinkError::Status(_) => CallError::Malformed,
        })
    }

    /// Sends a message to all live instances concurrently and returns the answers that arrived
    /// within `limit`.
    pub async fn call_all<Q: Serialize, A: DeserializeOwned>(
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

    /// Applies the platform's list of entry instances, which may include this one.
    pub fn list(&self, members: &[Member]) {
        let me = &self.hub.opts.me.name;
        let others: Vec<_> = members.iter().filter(|m| m.name != *me).cloned().collect();
        let mut known = self.hub.members.lock();
        known.apply_list(&others, Instant::now());
        let uncontacted = known.has_uncontacted(&self.hub.opts.me.domain);
        drop(known);
        if uncontacted {
            self.hub.beat_all();
        }
    }

    /// Contacts instances that may be there.
    pub(crate) fn introduce(&self, members: &[Member]) {
        let introduced = self.hub.members.lock().introduce(members, Instant::now());
        for (name, addr) in introduced {
            self.hub.spawn_beat(addr, Some(name));
        }
    }

    /// Forgets an instance that does not answer.
    pub(crate) fn forget(&self, name: &str) {
        self.hub.members.lock().forget(name);
    }

    /// Whether `name` was ever heard, or its process is gone.
    #[must_use]
    pub(crate) fn has_met(&self, name: &str) -> bool {
        self.hub.members.lock().has_met(name)
    }

    /// Other instances that answer and are not leaving, each with the number that its process drew.
    #[must_use]
    pub(crate) fn processes(&self) -> IndexMap<SmolStr, u64> {
        let members = self.hub.members.lock();
        let processes = members.processes();
        processes
            .map(|(name, number)| (name.clone(), number))
            .collect()
    }

    /// Whether this instance has contacted every instance it knows in its failure domain.
    #[must_use]
    pub fn has_contacted(&self) -> bool {
        let members = self.hub.members.lock();
        !members.has_uncontacted(&self.hub.opts.me.domain)
    }

    /// This instance.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.hub.opts.me
    }

    /// Other instances that answer and are not leaving.
    #[must_use]
    pub fn alive(&self) -> Vec<Member> {
        self.hub.members.lock().alive().cloned().collect()
    }

    /// Whether some other instance may serve callers.
    #[must_use]
    pub fn any_stays(&self) -> bool {
        self.hub.members.lock().any_stays()
    }

    /// Whether most other instances may serve callers.
    #[must_use]
    pub fn most_stay(&self) -> bool {
        self.hub.members.lock().most_stay()
    }

    /// Whether the fleet is large enough for aggregators instead of a full mesh.
    #[must_use]
    pub fn is_tiered(&self) -> bool {
        self.hub.members.lock().is_tiered()
    }

    /// The aggregator candidates of a failure domain in a large fleet, in order of preference,
    /// without this instance.
    #[must_use]
    pub fn candidates(&self, domain: &str) -> Vec<Member> {
        let members = self.hub.members.lock();
        members.candidates(domain).into_iter().cloned().collect()
    }

    /// Whether `name` is an instance of the same failure domain.
    #[must_use]
    pub fn in_domain(&self, name: &str) -> bool {
        let members = self.hub.members.lock();
        members.domain(name) == Some(&self.hub.opts.me.domain)
    }

    /// Reachability of `name`.
    #[must_use]
    pub fn reach(&self, name: &str) -> Reach {
        self.hub.members.lock().reach(name)
    }

    /// All other known instances with their reachability.
    #[must_use]
    pub fn view(&self) -> Vec<Gossip> {
        self.hub.members.lock().view().collect()
    }

    /// Whether any other known instance has not been reached, though its process may run.
    #[must_use]
    pub fn has_unreached(&self) -> bool {
        let is_unreached = |m: Gossip| matches!(m.reach, Reach::Unknown | Reach::Silent);
        self.view().into_iter().any(is_unreached)
    }

    /// Number of other known instances.
    #[must_use]
    pub fn others(&self) -> usize {
        self.hub.members.lock().all().count()
    }

    /// Whether this instance was given no other instance's address.
    #[must_use]
    pub fn has_no_seeds(&self) -> bool {
        self.hub.other_seeds().next().is_none()
    }

    /// Whether all other seeds refused this instance's last heartbeats, as they have another key or
    /// protocol version.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let refusing = self.hub.refusing.lock();
        let mut seeds = self.hub.other_seeds();
        !refusing.is_empty() && seeds.all(|addr| refusing.contains(addr))
    }

    /// Whether any instance is known to have another key or protocol version, so that what it knows
    /// does not reach this one.
    #[must_use]
    pub fn is_split(&self) -> bool {
        let is_foreign = |m: Gossip| matches!(m.reach, Reach::OtherVersion);
        !self.hub.refusing.lock().is_empty() || self.view().into_iter().any(is_foreign)
    }

    /// Whether a network partition seems to separate this instance from a failure domain.
    #[must_use]
    pub fn is_partitioned(&self, domain: &str) -> bool {
        self.hub.members.lock().is_partitioned(domain)
    }

    /// Announces with the next heartbeats that this instance is leaving.
    pub fn leave(&self) {
        self.hub.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.hub.leaving.load(Ordering::Relaxed)
    }

    /// Calls rejected since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            malformed: self.hub.malformed.load(Ordering::Relaxed),
            foreign: self.hub.foreign.load(Ordering::Relaxed),
            unauthenticated: self.hub.unauthenticated.load(Ordering::Relaxed),
        }
    }

    /// Closes all connections and stops listening.
    pub fn close(&self) {
        self.hub.closed.cancel();
        self.hub.links.lock().clear();
    }
}
