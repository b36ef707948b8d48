//! Selection policies: the cost-based one, and the baselines that tests compare it with.

use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;

use super::health::Availability;
use super::load::Work;
use super::outage::Outages;
use super::router::Query;
use super::table::{Entry, Group, Pool, Table, mix};
use crate::ident::TargetKey;

/// Groups up to this size are evaluated in full, larger ones by a sample.
const SCAN_MAX: usize = 48;

/// Members of a large group sampled at random.
const SAMPLE_RANDOM: usize = 8;

/// Members of a large group sampled by prefix affinity.
const SAMPLE_AFFINITY: usize = 4;

/// Multiple of the mean utilisation up to which a target is chosen for its prefix affinity.
const AFFINITY_BOUND: f64 = 1.25;

/// Utilisation up to which a target is chosen for its prefix affinity whatever the mean.
const AFFINITY_FLOOR: f64 = 0.5;

/// Cost in seconds of one unit of the suspicion score.
const SUSPICION_COST: f64 = 2.0;

/// Extra cost in seconds of a fully used target over an idle one; decides among targets with free
/// slots.
const UTILISATION_COST: f64 = 0.05;

/// Cost in seconds of each run that is active on an engine: a prefill slows every other run there
/// by about a second, and their prefills slow this one. The request is charged half of that.
const RUN_COST: f64 = 0.5;

/// Upper bound in seconds of the random cost, which keeps instances with the same information from
/// all choosing the same engine. It equals the cost of one more copy in the engine's memory, and is
/// less than that of one more run.
const JITTER_MAX: f64 = 0.1;

/// Extra cost in seconds of an engine with full memory over one with empty memory. It is half the
/// prefill time of a prompt at the usual rate, so that memory decides among engines with no pending
/// prefill.
const MEMORY_COST: f64 = 0.5;

/// Cost in seconds of an engine whose memory cannot hold the request: more than any queue.
const FULL_COST: f64 = 60.0;

/// Number of instances up to which each evaluates every target for a prompt: seven instances that
/// learn of each other's choices within 45 ms place a burst on time this way
/// (`tests/relay_placing.rs`).
const FULL_SCAN_INSTANCES: usize = 8;

/// Minimum number of targets sampled in a group.
const SAMPLE_MIN: usize = 2;

/// Random draws before a baseline falls back to a scan.
const RANDOM_DRAWS: usize = 8;

/// How a target is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any available target.
    Random,
    /// Each available target in turn.
    RoundRobin,
    /// The one of two random targets with fewer requests in flight from this instance.
    TwoChoices,
    /// The target with the least reported load.
    LeastReported,
    /// The nearest targets first, by estimated wait, billed bytes and prefix affinity.
    Cost,
}

/// Costs in seconds, by which distance is weighed against waiting.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// A request to another failure domain of the region.
    pub domain: Duration,
    /// A request to another region.
    pub region: Duration,
    /// A megabyte (10^6 bytes) between regions.
    pub megabyte: Duration,
    /// Time that a request is assumed to hold its slot until a measurement exists.
    pub hold_time: Duration,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            domain: Duration::from_millis(4),
            region: Duration::from_millis(80),
            megabyte: Duration::from_secs(5),
            hold_time: Duration::from_secs(5),
        }
    }
}

/// Capacity of one engine of a service.
#[derive(Clone, Copy, Debug)]
pub struct EngineCapacity {
    /// Tokens of memory.
    pub memory: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
}

/// Fraction of the targets that each of `instances` instances evaluates for a prompt. It falls as
/// instances are added, so that those with the same information do not all choose the same target.
pub(crate) fn sample_fraction(instances: usize) -> f64 {
    (FULL_SCAN_INSTANCES as f64 / instances as f64).min(1.0)
}

/// A target that may be selected, with its cost.
struct Candidate<'a> {
    entry: &'a Arc<Entry>,
    load: f64,
    slots: f64,
    cost: f64,
    rank: u64,
    last_seen: Instant,
    healthy: bool,
}

/// The inputs of one selection.
pub(crate) struct Selection<'a> {
    pub(crate) table: &'a Table,
    pub(crate) pool: &'a Pool,
    pub(crate) query: &'a Query<'a>,
    pub(crate) costs: Costs,
    pub(crate) capacity: Option<EngineCapacity>,
    pub(crate) outages: &'a Outages,
    /// Fraction of the targets that are evaluated for a prompt.
    pub(crate) sample_fraction: f64,
    pub(crate) now: Instant,
    pub(crate) rng: RefCell<SmallRng>,
}

impl<'a> Selection<'a> {
    /// Evaluates near groups first, and farther ones only when they could cost less.
    pub(crate) fn by_cost(&self) -> Option<&'a Arc<Entry>> {
        let mut best: Option<Candidate<'a>> = None;
        for distance in [0, 1, 2] {
            let distance_cost = self.distance_cost(distance);
            if best
                .as_ref()
                .is_some_and(|b| b.healthy && b.cost <= distance_cost)
            {
                break;
            }
            let excluded = self.query.excluded_domains;
            let groups = self.pool.groups.iter();
            let groups = groups.filter(|g| !excluded.contains(&g.domain));
            for group in groups.filter(|g| self.distance(g) == distance) {
                best = better_of(best, self.best_in(group, distance_cost));
            }
        }
        best.map(|b| b.entry)
    }

    pub(crate) fn random(&self) -> Option<&'a Arc<Entry>> {
        let members = &self.pool.members;
        let draw = || members[self.rng.borrow_mut().random_range(0..members.len())];
        let drawn = (0..RANDOM_DRAWS).find_map(|_| self.available(draw()));
        drawn.or_else(|| members.iter().find_map(|key| self.available(*key)))
    }

    pub(crate) fn round_robin(&self, turn: &AtomicUsize) -> Option<&'a Arc<Entry>> {
        let members = &self.pool.members;
        (0..members.len()).find_map(|_| {
            let at = turn.fetch_add(1, Ordering::Relaxed) % members.len();
            self.available(members[at])
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
            .filter_map(|key| self.available(*key))
            .min_by_key(|e| e.state.lock().load.reported())
    }

    fn distance(&self, group: &Group) -> u8 {
        match () {
            () if group.domain == self.query.domain => 0,
            () if group.region == self.query.region => 1,
            () => 2,
        }
    }

    /// Cost in seconds of the network path to a group at `distance`.
    fn distance_cost(&self, distance: u8) -> f64 {
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

    fn best_in(&self, group: &Group, distance_cost: f64) -> Option<Candidate<'a>> {
        let mut found = self.candidates(group, distance_cost);
        if let Some(start) = self.outages.outage_start(&group.domain, self.now) {
            let alive = |c: &Candidate<'_>| c.last_seen > start;
            found.iter_mut().for_each(|c| c.healthy &= alive(c));
        }
        if found.iter().any(|c| c.healthy) {
            found.retain(|c| c.healthy);
        }
        match self.query.prefix {
            Some(_) => pick_affine(found, self.salt()),
            None => pick_cheapest(found, self.salt()),
        }
    }

    fn candidates(&self, group: &Group, distance_cost: f64) -> Vec<Candidate<'a>> {
        let members = &group.members;
        let needs_prefill = self.query.work.is_some_and(|work| work.prompt > 0);
        if needs_prefill && self.sample_fraction < 1.0 {
            let found = self.sample_candidates(members, distance_cost);
            if !found.is_empty() {
                return found;
            }
        }
        if members.len() <= SCAN_MAX {
            return members
                .iter()
                .filter_map(|key| self.candidate(*key, distance_cost))
                .collect();
        }
        let mut keys = Vec::with_capacity(SAMPLE_AFFINITY + SAMPLE_RANDOM);
        if let Some(prefix) = self.query.prefix {
            for key in group.ring_from(prefix).take(4 * SAMPLE_AFFINITY) {
                if keys.len() < SAMPLE_AFFINITY && !keys.contains(&key) {
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
            .filter_map(|key| self.candidate(key, distance_cost))
            .collect();
        if !found.is_empty() {
            return found;
        }
        // No sampled target is available: scan every member instead of failing the request.
        members
            .iter()
            .filter_map(|key| self.candidate(*key, distance_cost))
            .collect()
    }

    /// Candidates among a random sample of the members.
    fn sample_candidates(&self, members: &[TargetKey], distance_cost: f64) -> Vec<Candidate<'a>> {
        let count = (members.len() as f64 * self.sample_fraction).ceil() as usize;
        let mut rng = self.rng.borrow_mut();
        let drawn: Vec<_> = members
            .sample(&mut *rng, count.max(SAMPLE_MIN))
            .copied()
            .collect();
        drop(rng);
        let found = drawn.into_iter();
        found
            .filter_map(|key| self.candidate(key, distance_cost))
            .collect()
    }

    fn candidate(&self, key: TargetKey, distance_cost: f64) -> Option<Candidate<'a>> {
        if self.query.excluded.contains(&key) {
            return None;
        }
        let entry = self.table.entry(key)?;
        let state = entry.state.lock();
        let healthy = match state.health.availability(self.now) {
            Availability::Unavailable => return None,
            Availability::Suspected => false,
            Availability::HalfOpen => state.load.inflight() == 0,
            Availability::Healthy => true,
        };
        let load = f64::from(state.load.estimate(self.now));
        let slots = f64::from(state.load.slots());
        let engine_cost = self.engine_cost(state.load.work(self.now));
        let last_seen = state.health.last_seen(entry.listed_at);
        let suspicion = match healthy {
            true => 0.0,
            false => state.health.suspicion_score(self.now),
        };
        drop(state);
        Some(Candidate {
            entry,
            load,
            slots,
            cost: distance_cost
                + self.queue_cost(load, slots)
                + engine_cost
                + suspicion * SUSPICION_COST,
            rank: mix(entry.hash, self.query.prefix.unwrap_or(0)),
            last_seen,
            healthy,
        })
    }

    /// Expected wait in seconds behind `load` requests on `slots` slots, plus a small cost of
    /// utilisation.
    fn queue_cost(&self, load: f64, slots: f64) -> f64 {
        let queue = (load + 1.0 - slots).max(0.0);
        queue / slots * self.hold_time() + load / slots * UTILISATION_COST
    }

    /// Expected delay in seconds by prefill and other runs on an engine with `pending` work, plus a
    /// cost of memory in use: an engine that runs out of memory preempts requests and prefills them
    /// again.
    fn engine_cost(&self, pending: Work) -> f64 {
        let (Some(work), Some(capacity)) = (self.query.work, self.capacity) else {
            return 0.0;
        };
        let queue = match work.prompt {
            0 => 0.0,
            _ => f64::from(pending.prompt) / capacity.prefill_rate,
        };
        let used = f64::from(pending.memory + work.memory) / f64::from(capacity.memory.max(1));
        let full = match used {
            ..=1.0 => 0.0,
            _ => FULL_COST,
        };
        let active = f64::from(pending.runs * work.runs);
        let jitter = self.rng.borrow_mut().random::<f64>() * JITTER_MAX;
        queue + active * RUN_COST + used * MEMORY_COST + full + jitter
    }

    /// Mean time in seconds that a request holds its slot.
    fn hold_time(&self) -> f64 {
        self.pool
            .hold_time
            .mean()
            .unwrap_or(self.costs.hold_time.as_secs_f64())
    }

    fn salt(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    fn available(&self, key: TargetKey) -> Option<&'a Arc<Entry>> {
        if self.query.excluded.contains(&key) {
            return None;
        }
        let entry = self.table.entry(key)?;
        let availability = entry.state.lock().health.availability(self.now);
        (availability != Availability::Unavailable).then_some(entry)
    }
}

/// The healthy one of two candidates; of two alike, the cheaper one.
fn better_of<'a>(a: Option<Candidate<'a>>, b: Option<Candidate<'a>>) -> Option<Candidate<'a>> {
    match (a, b) {
        (Some(a), Some(b)) if (b.healthy, -b.cost) > (a.healthy, -a.cost) => Some(b),
        (Some(a), _) => Some(a),
        (None, b) => b,
    }
}

/// The candidate of least cost. Ties are broken at random, so that instances do not all choose the
/// same target.
fn pick_cheapest(found: Vec<Candidate<'_>>, salt: u64) -> Option<Candidate<'_>> {
    found.into_iter().min_by(|a, b| {
        let chance = |c: &Candidate<'_>| mix(c.rank, salt);
        a.cost
            .total_cmp(&b.cost)
            .then_with(|| chance(a).cmp(&chance(b)))
    })
}

/// The first candidate by rendezvous hashing within the load bound, or the cheapest if none is.
fn pick_affine(found: Vec<Candidate<'_>>, salt: u64) -> Option<Candidate<'_>> {
    let load: f64 = found.iter().map(|c| c.load).sum();
    let slots: f64 = found.iter().map(|c| c.slots).sum();
    let has_free = found.iter().any(|c| c.load < c.slots);
    let mean = (load + 1.0) / slots.max(1.0);
    let fits = |c: &Candidate<'_>| {
        let bound = (AFFINITY_BOUND * mean).max(AFFINITY_FLOOR) * c.slots;
        c.load < bound.ceil() && (c.load < c.slots || !has_free)
    };
    let best = found
        .iter()
        .enumerate()
        .filter(|(_, c)| fits(c))
        .max_by_key(|(_, c)| c.rank)
        .map(|(i, _)| i);
    match best {
        Some(i) => found.into_iter().nth(i),
        None => pick_cheapest(found, salt),
    }
}
