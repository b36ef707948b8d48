//! Membership: the known instances and their reachability, from the platform's list, gossip and
//! this instance's own connections.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::election::SMALL_FLEET;
use crate::ident::digest;

/// Missed heartbeats after which a peer counts as silent.
const MISSED_MAX: u32 = 3;

/// Heartbeat rounds between two heartbeats to an instance of another failure domain in a large
/// fleet. As it sends its own, a pair still exchanges two in that time.
const REMOTE_ROUNDS: usize = 4;

/// Heartbeat periods in which members are gossiped after a new one was added. A new instance learns
/// of 80 others within five heartbeats; each member added starts the time anew.
const SETTLED_PERIODS: u32 = 5;

/// Bound of the initial gossip position, above any fleet size.
const CURSOR_BOUND: usize = 1 << 20;

/// Time after which an instance is forgotten that is not listed and sends no heartbeats.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// An entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Address for other instances.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// CPU available to it, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
}

/// Topology of heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Layout {
    /// Each instance sends to all others.
    #[default]
    Mesh,
    /// As [`Layout::Mesh`] in a small fleet. In a large one each instance sends to the aggregator
    /// candidates of its failure domain, and these also to the candidates of other domains, so
    /// that an instance's traffic does not grow with the fleet.
    Tiered,
}

/// A heartbeat, or the answer to one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Member,
    /// Random number drawn when the sender started.
    pub incarnation: u64,
    /// Whether the sender is draining.
    pub leaving: bool,
    /// Whether the sender is new and requests members in the answer.
    pub wants_members: bool,
    /// Members gossiped by the sender.
    pub others: Vec<Gossip>,
}

/// An instance and its reachability from the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// The instance.
    pub member: Member,
    /// Reachability from the sender.
    pub reach: Reach,
}

/// Reachability of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// Not contacted yet.
    Unknown,
    /// It answers.
    Alive,
    /// Its host refuses connections: the process is gone.
    Dead,
    /// It does not answer: paused, or behind a network partition.
    Silent,
    /// Its proof of the key was wrong.
    Unauthenticated,
    /// It has another protocol version.
    OtherVersion,
}

/// Outcome of an attempt to reach an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It answered.
    Answered,
    /// The connection was refused.
    Refused,
    /// No answer in time.
    TimedOut,
    /// The proof of the key was wrong.
    WrongKey,
    /// It answered with another protocol version.
    OtherVersion,
}

/// State of one known instance.
#[derive(Clone, Debug)]
pub(super) struct MemberState {
    pub(super) member: Member,
    pub(super) reach: Reach,
    listed: bool,
    pub(super) leaving: bool,
    incarnation: u64,
    /// Whether a message of it was received.
    is_met: bool,
    pub(super) last_heard: Instant,
}

impl MemberState {
    pub(super) fn gossip(&self) -> Gossip {
        Gossip {
            member: self.member.clone(),
            reach: self.reach,
        }
    }
}

/// The other instances that one instance knows.
#[derive(Clone, Debug)]
pub struct Members {
    me: SmolStr,
    layout: Layout,
    pub(super) period: Duration,
    pub(super) known: IndexMap<SmolStr, MemberState>,
    /// Position in `known` at which the next gossip batch starts.
    cursor: usize,
    /// When an instance was last added.
    last_added: Option<Instant>,
}

impl Members {
    /// No members. `period` is the time between heartbeats.
    #[must_use]
    pub fn new(me: SmolStr, period: Duration) -> Self {
        // Instances start at different positions, so that a new one learns different members from
        // each.
        let cursor = digest(&[&me]) as usize % CURSOR_BOUND;
        Self {
            me,
            layout: Layout::Mesh,
            period,
            known: IndexMap::new(),
            cursor,
            last_added: None,
        }
    }

    /// Sets the heartbeat topology.
    #[must_use]
    pub fn with_layout(self, layout: Layout) -> Self {
        Self { layout, ..self }
    }

    /// Whether the fleet is large enough for aggregators instead of a full mesh.
    #[must_use]
    pub fn is_tiered(&self) -> bool {
        self.layout == Layout::Tiered && self.known.len() >= SMALL_FLEET
    }

    /// Applies the platform's list: adds its instances, and removes those neither listed nor heard
    /// from.
    pub fn apply_list(&mut self, members: &[Member], now: Instant) {
        for known in self.known.values_mut() {
            known.listed = false;
        }
        for member in members {
            self.insert(member, now).listed = true;
        }
        self.prune(now);
    }

    /// Adds instances that may be there. Returns the address of each that does not answer yet.
    pub fn introduce(&mut self, members: &[Member], now: Instant) -> Vec<(SmolStr, SocketAddr)> {
        let others = members.iter().filter(|m| m.name != self.me);
        let others: Vec<_> = others.cloned().collect();
        let introduced = others.iter().map(|member| {
            let known = self.insert(member, now);
            let addr = known.member.addr;
            (known.reach != Reach::Alive).then(|| (member.name.clone(), addr))
        });
        introduced.flatten().collect()
    }

    /// Forgets an instance that does not answer.
    pub fn forget(&mut self, name: &str) {
        let known = self.known.get(name);
        if known.is_some_and(|k| k.reach != Reach::Alive) {
            self.known.shift_remove(name);
        }
    }

    /// Whether `name` was ever heard, or its process is gone.
    #[must_use]
    pub fn has_met(&self, name: &str) -> bool {
        let known = self.known.get(name);
        known.is_some_and(|k| k.is_met || k.reach == Reach::Dead)
    }

    /// Instances that answer, each with the number that its process drew.
    pub fn processes(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        let alive = self
            .known
            .iter()
            .filter(|(_, k)| k.reach == Reach::Alive && !k.leaving);
        alive.map(|(name, k)| (name, k.incarnation))
    }

    /// Applies a received heartbeat or answer.
    pub fn receive(&mut self, beat: &Heartbeat, now: Instant) {
        if beat.from.name == self.me {
            return;
        }
        let known = self.insert(&beat.from, now);
        known.member = beat.from.clone();
        known.incarnation = beat.incarnation;
        known.leaving = beat.leaving;
        known.reach = Reach::Alive;
        known.is_met = true;
        known.last_heard = now;
        for other in &beat.others {
            if other.reach == Reach::Alive && other.member.name != self.me {
                self.insert(&other.member, now);
            }
        }
    }

    /// Records the outcome of an attempt to reach `name`.
    pub fn record(&mut self, name: &str, evidence: Evidence, now: Instant) {
        let silence = self.period * MISSED_MAX;
        let Some(known) = self.known.get_mut(name) else {
            return;
        };
        match evidence {
            Evidence::Answered => {
                known.reach = Reach::Alive;
                known.last_heard = now;
            }
            Evidence::Refused => known.reach = Reach::Dead,
            Evidence::WrongKey => known.reach = Reach::Unauthenticated,
            Evidence::OtherVersion => known.reach = Reach::OtherVersion,
            Evidence::TimedOut if now - known.last_heard >= silence => known.reach = Reach::Silent,
            Evidence::TimedOut => {}
        }
    }

    /// All known instances.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|k| &k.member)
    }

    /// Instances to send a heartbeat to in round `round`. In a large fleet those of other failure
    /// domains that answer get one only every [`REMOTE_ROUNDS`] rounds: each of them sends
    /// heartbeats as well, and most gossip does not go to them directly.
    pub fn due(&self, domain: &str, round: usize) -> impl Iterator<Item = &Member> {
        let small = self.known.len() < SMALL_FLEET;
        let known = self.known.values().enumerate();
        let due = known.filter(move |(at, k)| {
            let far = k.reach == Reach::Alive && k.member.domain != domain;
            small || !far || (at + round).is_multiple_of(REMOTE_ROUNDS)
        });
        due.map(|(_, k)| &k.member)
    }

    /// Instances that answer and are not leaving.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .filter(|k| k.reach == Reach::Alive && !k.leaving)
            .map(|k| &k.member)
    }

    /// Whether some other instance may serve callers: it is not leaving, and its process is not known
    /// to be gone.
    #[must_use]
    pub fn any_stays(&self) -> bool {
        self.staying() > 0
    }

    /// Whether most other instances may serve callers.
    #[must_use]
    pub fn most_stay(&self) -> bool {
        self.staying() * 2 > self.known.len()
    }

    fn staying(&self) -> usize {
        let stays = |k: &&MemberState| !k.leaving && k.reach != Reach::Dead;
        self.known.values().filter(stays).count()
    }

    /// Reachability of `name`.
    #[must_use]
    pub fn reach(&self, name: &str) -> Reach {
        self.known.get(name).map_or(Reach::Unknown, |k| k.reach)
    }

    /// Whether an instance of `domain` has not been contacted yet.
    #[must_use]
    pub fn has_uncontacted(&self, domain: &str) -> bool {
        let mut inside = self.known.values().filter(|k| k.member.domain == domain);
        inside.any(|k| k.reach == Reach::Unknown)
    }

    /// Address of `name`.
    #[must_use]
    pub fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).map(|k| k.member.addr)
    }

    /// Failure domain of `name`.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<&SmolStr> {
        self.known.get(name).map(|k| &k.member.domain)
    }

    /// All known instances with their reachability.
    pub fn view(&self) -> impl Iterator<Item = Gossip> {
        self.known.values().map(MemberState::gossip)
    }

    /// The next up to `most` live instances in round-robin order, so that all are gossiped over
    /// several heartbeats. None once the membership is settled.
    pub fn gossip_batch(&mut self, most: usize, now: Instant) -> Vec<Gossip> {
        match self.is_settled(now) {
            true => Vec::new(),
            false => self.next_batch(most),
        }
    }

    /// Whether no instance was added in the last [`SETTLED_PERIODS`].
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        let settled = |last_added: Instant| now - last_added > self.period * SETTLED_PERIODS;
        self.last_added.is_none_or(settled)
    }

    /// The next up to `most` live instances in round-robin order.
    pub fn next_batch(&mut self, most: usize) -> Vec<Gossip> {
        let all = self.known.len();
        let from = self.cursor % all.max(1);
        self.cursor = from + most;
        let turn = self.known.values().cycle().skip(from).take(all);
        let alive = turn.filter(|k| k.reach == Reach::Alive).take(most);
        alive.map(MemberState::gossip).collect()
    }

    /// Whether a network partition seems to separate this instance from a failure domain: all its
    /// instances are silent or dead, and at least one is silent.
    #[must_use]
    pub fn is_partitioned(&self, domain: &str) -> bool {
        let mut inside = self.known.values().filter(|k| k.member.domain == domain);
        let any = inside.clone().any(|k| k.reach == Reach::Silent);
        any && inside.all(|k| matches!(k.reach, Reach::Silent | Reach::Dead))
    }

    fn insert(&mut self, member: &Member, now: Instant) -> &mut MemberState {
        if !self.known.contains_key(&member.name) {
            self.last_added = Some(now);
        }
        let known = self
            .known
            .entry(member.name.clone())
            .or_insert_with(|| MemberState {
                member: member.clone(),
                reach: Reach::Unknown,
                listed: false,
                leaving: false,
                incarnation: 0,
                is_met: false,
                last_heard: now,
            });
        if known.reach != Reach::Alive {
            known.member = member.clone();
        }
        known
    }

    fn prune(&mut self, now: Instant) {
        let me = self.me.clone();
        self.known.retain(|name, k| {
            *name != me
                && (k.listed || k.reach == Reach::Alive || now - k.last_heard < FORGET_AFTER)
        });
    }
}
