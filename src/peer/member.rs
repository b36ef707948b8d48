//! Which instances there are and which can be reached, by the platform's list, the peers' word and
//! one's own connections.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::duty::SMALL_FLEET;
use crate::ident::digest;

/// Missed heartbeats after which a peer counts as silent.
const MISSED: u32 = 3;

/// Rounds of heartbeats after which an instance of another failure domain gets the next one, in a
/// large fleet: with its own, a pair still speaks twice in that time.
const FAR_ROUNDS: usize = 4;

/// Periods for which others are introduced after a newcomer was met: the five heartbeats in which
/// a newcomer learns of 80, with its turns beginning anew for each that it meets.
const SETTLED: u32 = 5;

/// Bound of the place from which introductions begin: more than there are instances.
const START: usize = 1 << 20;

/// How long an instance that nobody lists or hears is remembered.
const FORGET: Duration = Duration::from_secs(60);

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
    /// Processor that it may use, in thousandths of a core; 0 when it does not say.
    pub capacity: u32,
}

/// Who sends heartbeats to whom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Layout {
    /// Each instance to all others.
    #[default]
    Mesh,
    /// The same in a small fleet. In a large one each instance to the candidates for its failure
    /// domain's duties, and these to the candidates of other domains, so that what an instance
    /// sends does not grow with the fleet.
    Tiered,
}

/// What a heartbeat tells, and its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Member,
    /// Drawn at the sender's start.
    pub incarnation: u64,
    /// Whether the sender is draining.
    pub leaving: bool,
    /// Whether the sender is new and wants to know who there is.
    pub asks: bool,
    /// Some of the others that answer the sender.
    pub others: Vec<Gossip>,
}

/// One instance as another knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// The instance.
    pub member: Member,
    /// Whether the teller reaches it.
    pub reach: Reach,
}

/// Whether an instance can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// Not tried yet.
    Unknown,
    /// It answers.
    Alive,
    /// Its host refuses connections: the process is gone.
    Dead,
    /// It does not answer: paused, or cut off from here.
    Silent,
    /// It has another key.
    Stranger,
    /// It speaks another version of the protocol.
    Foreign,
}

/// What a try to reach an instance showed.
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
    /// It answered with another version.
    OtherVersion,
}

#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) member: Member,
    pub(super) reach: Reach,
    listed: bool,
    pub(super) leaving: bool,
    incarnation: u64,
    pub(super) heard: Instant,
}

impl Known {
    pub(super) fn gossip(&self) -> Gossip {
        Gossip {
            member: self.member.clone(),
            reach: self.reach,
        }
    }
}

/// The instances that one instance knows.
#[derive(Clone, Debug)]
pub struct Members {
    me: SmolStr,
    layout: Layout,
    pub(super) period: Duration,
    pub(super) known: IndexMap<SmolStr, Known>,
    /// Place from which the next heartbeat tells of others.
    told: usize,
    /// When an instance was last added.
    met: Option<Instant>,
}

impl Members {
    /// Knows nobody. `period` is the time between heartbeats.
    #[must_use]
    pub fn new(me: SmolStr, period: Duration) -> Self {
        // Instances begin at different places, so that a newcomer hears of different ones.
        let told = digest(&[&me]) as usize % START;
        Self {
            me,
            layout: Layout::Mesh,
            period,
            known: IndexMap::new(),
            told,
            met: None,
        }
    }

    /// The same with another layout of heartbeats.
    #[must_use]
    pub fn laid_out(self, layout: Layout) -> Self {
        Self { layout, ..self }
    }

    /// Whether duties are left to few instances, as the fleet is large.
    #[must_use]
    pub fn is_tiered(&self) -> bool {
        self.layout == Layout::Tiered && self.known.len() >= SMALL_FLEET
    }

    /// Takes the platform's list. It adds instances, and drops those neither listed nor heard.
    pub fn list(&mut self, members: &[Member], now: Instant) {
        for known in self.known.values_mut() {
            known.listed = false;
        }
        for member in members {
            self.learn(member, now).listed = true;
        }
        self.forget(now);
    }

    /// Takes a heartbeat or its answer.
    pub fn hear(&mut self, beat: &Heartbeat, now: Instant) {
        if beat.from.name == self.me {
            return;
        }
        let known = self.learn(&beat.from, now);
        known.member = beat.from.clone();
        known.incarnation = beat.incarnation;
        known.leaving = beat.leaving;
        known.reach = Reach::Alive;
        known.heard = now;
        for other in &beat.others {
            if other.reach == Reach::Alive && other.member.name != self.me {
                self.learn(&other.member, now);
            }
        }
    }

    /// Takes what a try to reach `name` showed.
    pub fn witness(&mut self, name: &str, evidence: Evidence, now: Instant) {
        let silence = self.period * MISSED;
        let Some(known) = self.known.get_mut(name) else {
            return;
        };
        match evidence {
            Evidence::Answered => {
                known.reach = Reach::Alive;
                known.heard = now;
            }
            Evidence::Refused => known.reach = Reach::Dead,
            Evidence::WrongKey => known.reach = Reach::Stranger,
            Evidence::OtherVersion => known.reach = Reach::Foreign,
            Evidence::TimedOut if now - known.heard >= silence => known.reach = Reach::Silent,
            Evidence::TimedOut => {}
        }
    }

    /// Instances to send a heartbeat to.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|k| &k.member)
    }

    /// Instances to send a heartbeat to at the round `round`. In a large fleet those of other
    /// failure domains that answer are asked by turns: each of them asks as well, and most of
    /// what is told does not go to them directly.
    pub fn due(&self, domain: &str, round: usize) -> impl Iterator<Item = &Member> {
        let small = self.known.len() < SMALL_FLEET;
        let known = self.known.values().enumerate();
        let due = known.filter(move |(at, k)| {
            let far = k.reach == Reach::Alive && k.member.domain != domain;
            small || !far || (at + round).is_multiple_of(FAR_ROUNDS)
        });
        due.map(|(_, k)| &k.member)
    }

    /// Instances that answer and stay.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .filter(|k| k.reach == Reach::Alive && !k.leaving)
            .map(|k| &k.member)
    }

    /// Whether `name` can be reached.
    #[must_use]
    pub fn reach(&self, name: &str) -> Reach {
        self.known.get(name).map_or(Reach::Unknown, |k| k.reach)
    }

    /// Whether an instance of `domain` was not tried yet.
    #[must_use]
    pub fn untried(&self, domain: &str) -> bool {
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

    /// All instances with whether they can be reached.
    pub fn view(&self) -> impl Iterator<Item = Gossip> {
        self.known.values().map(Known::gossip)
    }

    /// Up to `most` instances that answer, by turns, so that after some heartbeats all were told;
    /// none once nobody has come for a while.
    pub fn introduce(&mut self, most: usize, now: Instant) -> Vec<Gossip> {
        match self.is_settled(now) {
            true => Vec::new(),
            false => self.turn(most),
        }
    }

    /// Whether nobody has come for a while.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        let settled = |met: Instant| now - met > self.period * SETTLED;
        self.met.is_none_or(settled)
    }

    /// Up to `most` instances that answer, by turns.
    pub fn turn(&mut self, most: usize) -> Vec<Gossip> {
        let all = self.known.len();
        let from = self.told % all.max(1);
        self.told = from + most;
        let turn = self.known.values().cycle().skip(from).take(all);
        let alive = turn.filter(|k| k.reach == Reach::Alive).take(most);
        alive.map(Known::gossip).collect()
    }

    /// Whether a failure domain has instances and none of them answers, though none is known to
    /// be dead either: it is cut off from here.
    #[must_use]
    pub fn cut_off(&self, domain: &str) -> bool {
        let mut inside = self.known.values().filter(|k| k.member.domain == domain);
        let any = inside.clone().any(|k| k.reach == Reach::Silent);
        any && inside.all(|k| matches!(k.reach, Reach::Silent | Reach::Dead))
    }

    fn learn(&mut self, member: &Member, now: Instant) -> &mut Known {
        if !self.known.contains_key(&member.name) {
            self.met = Some(now);
        }
        let known = self
            .known
            .entry(member.name.clone())
            .or_insert_with(|| Known {
                member: member.clone(),
                reach: Reach::Unknown,
                listed: false,
                leaving: false,
                incarnation: 0,
                heard: now,
            });
        if known.reach != Reach::Alive {
            known.member = member.clone();
        }
        known
    }

    fn forget(&mut self, now: Instant) {
        let me = self.me.clone();
        self.known.retain(|name, k| {
            *name != me && (k.listed || k.reach == Reach::Alive || now - k.heard < FORGET)
        });
    }
}
