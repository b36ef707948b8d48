//! Sends heartbeats, fills them with membership gossip, and updates the membership from the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::FutureExt as _;
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::frame::{Tag, decode, encode};
use super::hub::{Hub, Slot};
use super::link::LinkError;
use super::member::{Evidence, Heartbeat, Member, Reach};

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most members gossiped in one heartbeat, so that its size does not grow with the fleet. A new
/// instance learns of eight more from each instance that it knows, and so of hundreds within a few
/// heartbeats.
const GOSSIP_MAX: usize = 8;

/// Most members gossiped to a new instance of a large fleet, which contacts only a few others.
const NEWCOMER_GOSSIP_MAX: usize = 24;

/// Heartbeat rounds after the start in which an instance counts as new and requests members.
const STARTUP_ROUNDS: usize = 10;

/// Heartbeat rounds between contacts with a seed in a large fleet: seeds may know candidates of
/// higher rank.
const SEED_ROUNDS: usize = 16;

/// Time after which an idle connection is closed in a large fleet.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

impl Hub {
    /// Builds a heartbeat, or the answer to one. `asks` is set when the receiver requests members.
    pub(super) fn heartbeat(&self, wants_members: bool) -> Heartbeat {
        let now = Instant::now();
        let mut members = self.members.lock();
        let others = match members.is_tiered() {
            false => members.gossip_batch(GOSSIP_MAX, now),
            true if wants_members => {
                let mut others = members.gossip_candidates();
                others.extend(members.next_batch(NEWCOMER_GOSSIP_MAX));
                others
            }
            true if members.is_settled(now) => Vec::new(),
            true => members.gossip_candidates(),
        };
        Heartbeat {
            from: self.opts.me.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving.load(Ordering::Relaxed),
            wants_members: self.is_new(),
            others,
        }
    }

    /// Sends one heartbeat, and repeats it once if the connection was lost or timed out.
    async fn beat(&self, addr: SocketAddr) -> Result<Heartbeat, LinkError> {
        let body = encode(&self.heartbeat(false));
        let mut answer = self
            .exchange(addr, Tag::Heartbeat, body.clone(), HEARTBEAT_TIMEOUT)
            .await;
        if matches!(answer, Err(LinkError::Lost | LinkError::TimedOut)) {
            answer = self
                .exchange(addr, Tag::Heartbeat, body, HEARTBEAT_TIMEOUT)
                .await;
        }
        decode(&answer?).ok_or(LinkError::Lost)
    }

    /// Sends a heartbeat to `addr` unless one is in flight. `name` is the instance there, if known.
    async fn beat_once(self: Arc<Self>, addr: SocketAddr, name: Option<SmolStr>) {
        if !self.in_flight.lock().insert(addr) {
            return;
        }
        let answer = self.beat(addr).await;
        self.in_flight.lock().swap_remove(&addr);
        self.record_refusal(addr, &answer);
        let now = Instant::now();
        let mut members = self.members.lock();
        match (answer, name) {
            (Ok(beat), _) => members.receive(&beat, now),
            (Err(error), Some(name)) => members.record(&name, evidence(error), now),
            (Err(_), None) => {}
        }
        drop(members);
        if self.is_new() {
            self.beat_new();
        }
    }

    /// Notes whether a seed refused a heartbeat.
    fn record_refusal(&self, addr: SocketAddr, answer: &Result<Heartbeat, LinkError>) {
        let is_seed = self.other_seeds().any(|seed| *seed == addr);
        let mut refusing = self.refusing.lock();
        match answer {
            Err(LinkError::WrongKey | LinkError::OtherVersion) if is_seed => refusing.insert(addr),
            _ => refusing.swap_remove(&addr),
        };
    }

    /// Whether this instance is within its first heartbeat rounds.
    fn is_new(&self) -> bool {
        self.round.load(Ordering::Relaxed) <= STARTUP_ROUNDS
    }

    /// Sends heartbeats at once to candidates that this instance learned of and has not contacted,
    /// so that a new instance does not wait for the next round.
    fn beat_new(self: &Arc<Self>) {
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

    pub(super) fn spawn_beat(self: &Arc<Self>, addr: SocketAddr, name: Option<SmolStr>) {
        let beat = Arc::clone(self).beat_once(addr, name).boxed();
        tokio::spawn(self.closed.clone().run_until_cancelled_owned(beat));
    }

    /// Sends the heartbeats of one round and closes idle connections.
    pub(super) fn beat_all(self: &Arc<Self>) {
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
                alone || turn || round < STARTUP_ROUNDS
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
            true => slot.used.elapsed() < IDLE_TIMEOUT,
        };
        self.links
            .lock()
            .retain(|addr, slot| targets.contains_key(addr) || kept(addr, slot));
        for (addr, name) in targets {
            self.spawn_beat(addr, name);
        }
    }
}

/// Sends a round of heartbeats every period until the hub is closed.
pub(super) async fn run(hub: Arc<Hub>) {
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
