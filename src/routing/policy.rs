//! Policies: the cost-based choice and the baselines that it is measured against.

use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;

use super::health::Fitness;
use super::load::Work;
use super::router::Query;
use super::table::{Entry, Group, Pool, Table, mix};
use super::trouble::Troubles;
use crate::ident::TargetKey;

/// Groups up to this size are looked at whole; of larger ones a sample.
const SCAN_MAX: usize = 48;

/// Members of a large group sampled at random.
const SAMPLE_RANDOM: usize = 8;

/// Members of a large group sampled by prefix affinity.
const SAMPLE_AFFINE: usize = 4;

/// How far above the mean utilisation a target may be loaded for its prefix affinity.
const AFFINITY_BOUND: f64 = 1.25;

/// Utilisation up to which affinity needs no other target to be as busy.
const AFFINITY_FREE: f64 = 0.5;

/// Cost in seconds of one unit of suspicion.
const SUSPICION_COST: f64 = 2.0;

/// Cost in seconds of a fully used target over an idle one, for ties among free slots.
const CROWD_COST: f64 = 0.05;

/// Cost in seconds of each run beside which a prompt is read: reading one slows the others there by
/// about a second, and theirs this one; half of that is borne by this request.
const RUN_COST: f64 = 0.5;

/// Most seconds added by chance, so that instances which know the same do not all choose the same
/// engine: what one more copy in its memory costs, and less than one more run.
const JITTER: f64 = 0.1;

/// Cost in seconds of an engine whose memory is all used over an empty one. Half a prompt's reading
/// at the usual rate, so that memory decides among engines that read nothing.
const MEMORY_COST: f64 = 0.5;

/// Cost in seconds of an engine whose memory would not hold the request: more than any queue.
const FULL_COST: f64 = 60.0;

/// Instances of which each looks at every target for a prompt: seven that learn of each other's
/// choices within 45 ms place a burst on time so (`tests/relay_placing.rs`).
const LOOKERS: usize = 8;

/// Least targets looked at in a group.
const LOOKS_MIN: usize = 2;

/// Draws before a baseline falls back to scanning.
const DRAWS: usize = 8;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any target that is fit.
    Random,
    /// Each fit target in turn.
    RoundRobin,
    /// The one of two random targets with fewer requests in flight from this instance.
    TwoChoices,
    /// The target with the least reported load.
    LeastReported,
    /// Near targets first, by estimated wait, billed bytes and prefix affinity.
    Cost,
}

/// Prices that make distance and waiting comparable, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// A request to another failure domain of the region.
    pub domain: Duration,
    /// A request to another region.
    pub region: Duration,
    /// A megabyte (10^6 bytes) between regions.
    pub megabyte: Duration,
    /// Time that a request holds its slot, until it is measured.
    pub hold: Duration,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            domain: Duration::from_millis(4),
            region: Duration::from_millis(80),
            megabyte: Duration::from_secs(5),
            hold: Duration::from_secs(5),
        }
    }
}

/// What one engine of a service can carry.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Tokens of memory.
    pub memory: u32,
    /// Prompt tokens read in a second.
    pub rate: f64,
}

/// Part of the targets that each of so many instances looks at for a prompt, so that those which
/// know the same do not all choose the same.
pub(crate) fn looks(instances: usize) -> f64 {
    (LOOKERS as f64 / instances as f64).min(1.0)
}

/// A target that may be chosen.
struct Candidate<'a> {
    entry: &'a Arc<Entry>,
    load: f64,
    slots: f64,
    cost: f64,
    rank: u64,
    seen: Instant,
    well: bool,
}

/// One choice in progress.
pub(crate) struct Choice<'a> {
    pub(crate) table: &'a Table,
    pub(crate) pool: &'a Pool,
    pub(crate) query: &'a Query<'a>,
    pub(crate) costs: Costs,
    pub(crate) capacity: Option<Capacity>,
    pub(crate) troubles: &'a Troubles,
    /// Part of the targets that are looked at for a prompt.
    pub(crate) looks: f64,
    pub(crate) now: Instant,
    pub(crate) rng: RefCell<SmallRng>,
}

impl<'a> Choice<'a> {
    /// Near groups first; farther ones only when they could cost less.
    pub(crate) fn by_cost(&self) -> Option<&'a Arc<Entry>> {
        let mut best: Option<Candidate<'a>> = None;
        for distance in [0, 1, 2] {
            let toll = self.toll(distance);
            if best.as_ref().is_some_and(|b| b.well && b.cost <= toll) {
                break;
            }
            let avoid = self.query.avoid;
            let groups = self.pool.groups.iter();
            let groups = groups.filter(|g| !avoid.contains(&g.domain));
            for group in groups.filter(|g| self.distance(g) == distance) {
                best = better(best, self.in_group(group, toll));
            }
        }
        best.map(|b| b.entry)
    }

    pub(crate) fn random(&self) -> Option<&'a Arc<Entry>> {
        let members = &self.pool.members;
        let draw = || members[self.rng.borrow_mut().random_range(0..members.len())];
        let drawn = (0..DRAWS).find_map(|_| self.usable(draw()));
        drawn.or_else(|| members.iter().find_map(|key| self.usable(*key)))
    }

    pub(crate) fn in_turn(&self, turn: &AtomicUsize) -> Option<&'a Arc<Entry>> {
        let members = &self.pool.members;
        (0..members.len()).find_map(|_| {
            let at = turn.fetch_add(1, Ordering::Relaxed) % members.len();
            self.usable(members[at])
        })
    }

    pub(crate) fn two_choices(&self) -> Option<&'a Arc<Entry>> {
        let inflight = |e: &&Arc<Entry>| e.state.lock().load.inflight();
        let pair = [self.random()?, self.random()?];
        pair.into_iter().min_by_key(inflight)
    }

    pub(crate) fn least_reported(&self) -> Option<&'a Arc<Entry>> {
        let members = self.pool.members.iter();
        members
            .filter_map(|key| self.usable(*key))
            .min_by_key(|e| e.state.lock().load.reported())
    }

    fn distance(&self, group: &Group) -> u8 {
        match () {
            () if group.domain == self.query.domain => 0,
            () if group.region == self.query.region => 1,
            () => 2,
        }
    }

    /// Cost of the way to a group, in seconds.
    fn toll(&self, distance: u8) -> f64 {
        match distance {
            0 => 0.0,
            1 => self.costs.domain.as_secs_f64(),
            _ => {
                let bytes = self.query.bytes as f64;
                let billed = bytes / 1e6 * self.costs.megabyte.as_secs_f64();
                self.costs.region.as_secs_f64() + billed
            }
        }
    }

    fn in_group(&self, group: &Group, toll: f64) -> Option<Candidate<'a>> {
        let mut found = self.gather(group, toll);
        if let Some(since) = self.troubles.since(&group.domain, self.now) {
            let lives = |c: &Candidate<'_>| c.seen > since;
            found.iter_mut().for_each(|c| c.well &= lives(c));
        }
        if found.iter().any(|c| c.well) {
            found.retain(|c| c.well);
        }
        match self.query.prefix {
            Some(_) => affine(found, self.salt()),
            None => cheapest(found, self.salt()),
        }
    }

    fn gather(&self, group: &Group, toll: f64) -> Vec<Candidate<'a>> {
        let members = &group.members;
        let reads = self.query.work.is_some_and(|work| work.prompt > 0);
        if reads && self.looks < 1.0 {
            let found = self.glance(members, toll);
            if !found.is_empty() {
                return found;
            }
        }
        if members.len() <= SCAN_MAX {
            return members
                .iter()
                .filter_map(|key| self.candidate(*key, toll))
                .collect();
        }
        let mut keys = Vec::with_capacity(SAMPLE_AFFINE + SAMPLE_RANDOM);
        if let Some(prefix) = self.query.prefix {
            for key in group.walk(prefix).take(4 * SAMPLE_AFFINE) {
                if keys.len() < SAMPLE_AFFINE && !keys.contains(&key) {
                    keys.push(key);
                }
            }
        }
        for _ in 0..SAMPLE_RANDOM {
            let key = members[self.rng.borrow_mut().random_range(0..members.len())];
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
        let found: Vec<_> = keys
            .into_iter()
            .filter_map(|key| self.candidate(key, toll))
            .collect();
        if !found.is_empty() {
            return found;
        }
        // The whole sample was unfit: look at every member rather than give up.
        members
            .iter()
            .filter_map(|key| self.candidate(*key, toll))
            .collect()
    }

    /// A few members by chance.
    fn glance(&self, members: &[TargetKey], toll: f64) -> Vec<Candidate<'a>> {
        let count = (members.len() as f64 * self.looks).ceil() as usize;
        let mut rng = self.rng.borrow_mut();
        let drawn: Vec<_> = members
            .sample(&mut *rng, count.max(LOOKS_MIN))
            .copied()
            .collect();
        drop(rng);
        let found = drawn.into_iter();
        found.filter_map(|key| self.candidate(key, toll)).collect()
    }

    fn candidate(&self, key: TargetKey, toll: f64) -> Option<Candidate<'a>> {
        if self.query.excluded.contains(&key) {
            return None;
        }
        let entry = self.table.entry(key)?;
        let state = entry.state.lock();
        let well = match state.health.fitness(self.now) {
            Fitness::Unfit => return None,
            Fitness::Doubtful => false,
            Fitness::Trial => state.load.inflight() == 0,
            Fitness::Well => true,
        };
        let load = f64::from(state.load.estimate(self.now));
        let slots = f64::from(state.load.slots());
        let reading = self.reading(state.load.work(self.now));
        let seen = state.health.seen(entry.listed);
        let doubt = match well {
            true => 0.0,
            false => state.health.level(self.now),
        };
        drop(state);
        Some(Candidate {
            entry,
            load,
            slots,
            cost: toll + self.wait(load, slots) + reading + doubt * SUSPICION_COST,
            rank: mix(entry.hash, self.query.prefix.unwrap_or(0)),
            seen,
            well,
        })
    }

    /// Expected wait in seconds behind `load` requests on `slots` slots.
    fn wait(&self, load: f64, slots: f64) -> f64 {
        let queue = (load + 1.0 - slots).max(0.0);
        queue / slots * self.hold() + load / slots * CROWD_COST
    }

    /// Seconds until an engine with `held` work has read this request's prompt, with a price for
    /// memory in use: an engine whose memory runs out preempts requests and reads them again.
    fn reading(&self, held: Work) -> f64 {
        let (Some(work), Some(capacity)) = (self.query.work, self.capacity) else {
            return 0.0;
        };
        let queue = match work.prompt {
            0 => 0.0,
            _ => f64::from(held.prompt) / capacity.rate,
        };
        let used = f64::from(held.memory + work.memory) / f64::from(capacity.memory.max(1));
        let full = match used {
            ..=1.0 => 0.0,
            _ => FULL_COST,
        };
        let beside = f64::from(held.runs * work.runs);
        let jitter = self.rng.borrow_mut().random::<f64>() * JITTER;
        queue + beside * RUN_COST + used * MEMORY_COST + full + jitter
    }

    /// Mean time in seconds that a request holds its slot.
    fn hold(&self) -> f64 {
        self.pool
            .hold
            .mean()
            .unwrap_or(self.costs.hold.as_secs_f64())
    }

    fn salt(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    fn usable(&self, key: TargetKey) -> Option<&'a Arc<Entry>> {
        if self.query.excluded.contains(&key) {
            return None;
        }
        let entry = self.table.entry(key)?;
        let fitness = entry.state.lock().health.fitness(self.now);
        (fitness != Fitness::Unfit).then_some(entry)
    }
}

/// The well one, then the cheaper one.
fn better<'a>(a: Option<Candidate<'a>>, b: Option<Candidate<'a>>) -> Option<Candidate<'a>> {
    match (a, b) {
        (Some(a), Some(b)) if (b.well, -b.cost) > (a.well, -a.cost) => Some(b),
        (Some(a), _) => Some(a),
        (None, b) => b,
    }
}

/// The least cost; equal ones by chance, so that instances do not all pick the same.
fn cheapest(found: Vec<Candidate<'_>>, salt: u64) -> Option<Candidate<'_>> {
    found.into_iter().min_by(|a, b| {
        let chance = |c: &Candidate<'_>| mix(c.rank, salt);
        a.cost
            .total_cmp(&b.cost)
            .then_with(|| chance(a).cmp(&chance(b)))
    })
}

/// The first by rendezvous hashing that stays within the load bound.
fn affine(found: Vec<Candidate<'_>>, salt: u64) -> Option<Candidate<'_>> {
    let load: f64 = found.iter().map(|c| c.load).sum();
    let slots: f64 = found.iter().map(|c| c.slots).sum();
    let room = found.iter().any(|c| c.load < c.slots);
    let mean = (load + 1.0) / slots.max(1.0);
    let fits = |c: &Candidate<'_>| {
        let bound = (AFFINITY_BOUND * mean).max(AFFINITY_FREE) * c.slots;
        c.load < bound.ceil() && (c.load < c.slots || !room)
    };
    let best = found
        .iter()
        .enumerate()
        .filter(|(_, c)| fits(c))
        .max_by_key(|(_, c)| c.rank)
        .map(|(i, _)| i);
    match best {
        Some(i) => found.into_iter().nth(i),
        None => cheapest(found, salt),
    }
}
