//! Heartbeats: to whom, what they tell, and what their answers show.

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

impl Hub {
    /// A heartbeat, or the answer to one of an instance that `asks` who there is.
    pub(super) fn heartbeat(&self, asks: bool) -> Heartbeat {
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

/// Sends heartbeats until the hub is closed.
pub(super) async fn beats(hub: Arc<Hub>) {
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
