//! The router: its inputs, the choice, and the lease that counts a request in flight.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use smol_str::SmolStr;

use super::health::Fitness;
use super::lease::{Lease, Subject};
use super::load::{Report, Work};
use super::policy::{Capacity, Choice, Costs, Policy, looks};
use super::table::{Entry, Table};
use super::trouble::Troubles;
use super::word::{Count, Word};
use crate::fleet::Target;
use crate::ident::TargetKey;

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service.
    pub service: &'a str,
    /// Version of the service.
    pub version: &'a str,
    /// Failure domain of the entry instance.
    pub domain: &'a str,
    /// Region of the entry instance.
    pub region: &'a str,
    /// Digest of the prompt's leading block, if its cached prefix is worth finding.
    pub prefix: Option<u64>,
    /// Targets that must not be chosen.
    pub excluded: &'a [TargetKey],
    /// Expected bytes to and from the target.
    pub bytes: u64,
    /// Failure domains that must not be chosen.
    pub avoid: &'a [SmolStr],
    /// What a generation asks of an engine of known capacity.
    pub work: Option<Work>,
}

/// What the targets of a service could carry, for admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Targets that get work.
    pub targets: u32,
    /// Their slots.
    pub slots: u32,
    /// Requests thought to run or wait at them.
    pub load: u32,
}

/// Chooses targets and counts what is in flight at each.
pub struct Router {
    policy: Policy,
    costs: Costs,
    base: Instant,
    table: RwLock<Arc<Table>>,
    turn: AtomicUsize,
    words: Mutex<IndexMap<SmolStr, Vec<TargetKey>>>,
    capacities: RwLock<IndexMap<SmolStr, Capacity>>,
    troubles: Mutex<Troubles>,
    /// Instances that place requests, this one included.
    placers: AtomicUsize,
    rng: Mutex<SmallRng>,
}

impl Router {
    /// A router without targets.
    #[must_use]
    pub fn new(policy: Policy, costs: Costs) -> Self {
        Self::seeded(policy, costs, rand::rng().random())
    }

    /// A router without targets whose choices by chance follow from `seed`.
    #[must_use]
    pub fn seeded(policy: Policy, costs: Costs, seed: u64) -> Self {
        Self {
            policy,
            costs,
            base: Instant::now(),
            table: RwLock::default(),
            turn: AtomicUsize::new(0),
            words: Mutex::default(),
            capacities: RwLock::default(),
            troubles: Mutex::default(),
            placers: AtomicUsize::new(1),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Takes a fleet reading: all targets there are.
    ///
    /// A target keeps what is known of it while its key, name and place stay the same.
    pub fn sync(&self, targets: Vec<Target>) {
        let mut table = self.table.write();
        *table = Arc::new(Table::build(targets, &table, self.base));
    }

    /// Takes what one engine of a service can carry; queries with work are placed by it.
    pub fn size(&self, service: &str, capacity: Capacity) {
        self.capacities.write().insert(service.into(), capacity);
    }

    /// Takes how many instances place requests, this one included: the more there are, the fewer
    /// targets each looks at for a prompt, as they learn of each other's choices late.
    pub fn crowd(&self, instances: usize) {
        self.placers.store(instances.max(1), Ordering::Relaxed);
    }

    /// Takes how many requests a target runs at once.
    pub fn slots(&self, key: TargetKey, slots: u32) {
        self.with(key, |entry| entry.state.lock().load.set_slots(slots));
    }

    /// Work that a target is thought to have, by this instance's and its peers' requests.
    #[must_use]
    pub fn work(&self, key: TargetKey, now: Instant) -> Work {
        let table = self.table();
        let held = |e: &Arc<Entry>| e.state.lock().load.work(now);
        table.entry(key).map(held).unwrap_or_default()
    }

    /// Targets that this instance found dead and whose hold has not passed.
    #[must_use]
    pub fn found_dead(&self, now: Instant) -> Vec<Subject> {
        let table = self.table();
        let dead = |e: &&Arc<Entry>| e.state.lock().health.found_dead(now);
        let dead = table.entries().filter(dead);
        dead.map(|e| Subject::of(&e.target)).collect()
    }

    /// Targets with this instance's requests in a domain in trouble that have not shown life since.
    #[must_use]
    pub fn doubted(&self, domain: &str, now: Instant) -> Vec<Subject> {
        let Some(since) = self.troubles.lock().since(domain, now) else {
            return Vec::new();
        };
        let table = self.table();
        let doubted = |e: &&Arc<Entry>| {
            let state = e.state.lock();
            let unseen = state.health.seen(e.listed) <= since;
            e.target.domain == domain
                && state.load.inflight() > 0
                && unseen
                && !state.health.found_dead(now)
        };
        let doubted = table.entries().filter(doubted);
        doubted.map(|e| Subject::of(&e.target)).collect()
    }

    /// Whether a target would get work now.
    #[must_use]
    pub fn is_fit(&self, key: TargetKey, now: Instant) -> bool {
        let table = self.table();
        let fit = |e: &Arc<Entry>| e.state.lock().health.fitness(now) != Fitness::Unfit;
        table.entry(key).is_some_and(fit)
    }

    /// Chooses a target and counts the request as in flight until the lease is dropped.
    pub fn choose(&self, query: &Query<'_>, now: Instant) -> Option<Lease> {
        let table = self.table();
        let troubles = self.troubles.lock();
        let choice = Choice {
            table: &table,
            pool: table.pool(query.service, query.version)?,
            query,
            costs: self.costs,
            capacity: self.capacities.read().get(query.service).copied(),
            troubles: &troubles,
            looks: looks(self.placers.load(Ordering::Relaxed)),
            now,
            rng: RefCell::new(SmallRng::from_rng(&mut *self.rng.lock())),
        };
        let entry = match self.policy {
            Policy::Random => choice.random(),
            Policy::RoundRobin => choice.in_turn(&self.turn),
            Policy::TwoChoices => choice.two_choices(),
            Policy::LeastReported => choice.least_reported(),
            Policy::Cost => choice.by_cost(),
        }?;
        let work = query.work.unwrap_or_default();
        Some(Lease::new(entry, query.region, work, now))
    }

    /// Counts a request on a given target, as when a running attempt is taken over.
    pub fn claim(&self, key: TargetKey, region: &str, now: Instant) -> Option<Lease> {
        let table = self.table();
        let entry = table.entry(key)?;
        Some(Lease::new(entry, region, Work::default(), now))
    }

    /// Takes a load report received at `now`, from the target or through a peer.
    ///
    /// A report is no sign of life by itself: see [`Self::mark_alive`].
    pub fn report(&self, key: TargetKey, report: Report, now: Instant) {
        self.with(key, |entry| {
            let mut state = entry.state.lock();
            state.load.report(report, now);
            match report.leaving {
                true => state.health.leave(now),
                false => state
                    .health
                    .stay(now.checked_sub(report.age).unwrap_or(now)),
            }
        });
    }

    /// A refused connection or a silent stream: avoided for a while.
    pub fn mark_suspect(&self, key: TargetKey, now: Instant) {
        self.with(key, |entry| {
            self.troubles.lock().lost(&entry.target.domain, key, now);
            entry.state.lock().health.suspect(now);
        });
    }

    /// Surely dead: gets nothing for some seconds, and peers are told.
    pub fn mark_dead(&self, key: TargetKey, now: Instant) {
        self.with(key, |entry| {
            self.troubles.lock().lost(&entry.target.domain, key, now);
            entry.state.lock().health.dead(now);
            entry.lost.notify_waiters();
        });
    }

    /// The target answered something that was sent at `since`.
    pub fn mark_alive(&self, key: TargetKey, since: Instant) {
        self.with(key, |entry| entry.state.lock().health.alive(since));
    }

    /// The target answered a peer at `at`.
    pub fn vouch(&self, key: TargetKey, at: Instant) {
        self.with(key, |entry| entry.state.lock().health.vouch(at));
    }

    /// The target's own word that it is leaving.
    pub fn mark_leaving(&self, key: TargetKey, now: Instant) {
        self.with(key, |entry| entry.state.lock().health.leave(now));
    }

    /// Forgets a peer that is gone.
    pub fn forget_peer(&self, origin: &str) {
        self.words.lock().swap_remove(origin);
    }

    /// What this instance tells its peers.
    #[must_use]
    pub fn word(&self, now: Instant) -> Word {
        let mut word = Word::default();
        for entry in self.table().entries() {
            let name = &entry.target.name;
            let state = entry.state.lock();
            if state.load.inflight() > 0 {
                word.counts.push(Count {
                    target: name.clone(),
                    count: state.load.inflight(),
                    work: state.load.own_work(),
                });
            }
            if state.health.found_dead(now) {
                word.dead.push(name.clone());
            }
            if state.health.told_leaving() {
                word.leaving.push(name.clone());
            }
        }
        word
    }

    /// Takes the word of the peer `origin`, in place of its earlier one.
    pub fn peer_word(&self, origin: &str, word: &Word, now: Instant) {
        let table = self.table();
        let mut words = self.words.lock();
        let counted = words.entry(origin.into()).or_default();
        for entry in counted.drain(..).filter_map(|key| table.entry(key)) {
            entry
                .state
                .lock()
                .load
                .peer_count(origin, 0, Work::default(), now);
        }
        for count in &word.counts {
            let Some(entry) = table.named(&count.target) else {
                continue;
            };
            let mut state = entry.state.lock();
            state.load.peer_count(origin, count.count, count.work, now);
            counted.push(entry.target.key);
        }
        drop(words);
        for entry in word.dead.iter().filter_map(|name| table.named(name)) {
            self.troubles
                .lock()
                .lost(&entry.target.domain, entry.target.key, now);
            entry.state.lock().health.peer_dead(now);
        }
        for entry in word.leaving.iter().filter_map(|name| table.named(name)) {
            entry.state.lock().health.peer_leave(now);
        }
    }

    /// What the fit targets of a version could carry.
    #[must_use]
    pub fn supply(&self, service: &str, version: &str, now: Instant) -> Supply {
        let table = self.table();
        let mut supply = Supply::default();
        let members = table.pool(service, version).map(|pool| &pool.members);
        for key in members.into_iter().flatten() {
            let Some(entry) = table.entry(*key) else {
                continue;
            };
            let state = entry.state.lock();
            if state.health.fitness(now) == Fitness::Unfit {
                continue;
            }
            supply.targets += 1;
            supply.slots += state.load.slots();
            supply.load += state.load.estimate(now);
        }
        supply
    }

    /// The target of this name.
    #[must_use]
    pub fn key_named(&self, name: &str) -> Option<TargetKey> {
        self.table().named(name).map(|e| e.target.key)
    }

    /// The target that takes work at `addr`.
    #[must_use]
    pub fn key_at(&self, addr: SocketAddr) -> Option<TargetKey> {
        let table = self.table();
        let mut entries = table.entries();
        entries
            .find(|e| e.target.addr == addr)
            .map(|e| e.target.key)
    }

    /// Part of a target's slots that is thought to be in use; above 1 when requests wait.
    #[must_use]
    pub fn utilisation(&self, key: TargetKey, now: Instant) -> Option<f64> {
        let table = self.table();
        let state = table.entry(key)?.state.lock();
        let slots = state.load.slots().max(1);
        Some(f64::from(state.load.estimate(now)) / f64::from(slots))
    }

    /// Estimated requests at a target.
    #[must_use]
    pub fn estimate(&self, key: TargetKey, now: Instant) -> Option<u32> {
        let table = self.table();
        let entry = table.entry(key)?;
        let estimate = entry.state.lock().load.estimate(now);
        Some(estimate)
    }

    fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.read())
    }

    fn with(&self, key: TargetKey, act: impl FnOnce(&Entry)) {
        if let Some(entry) = self.table().entry(key) {
            act(entry);
        }
    }
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Router")
            .field("policy", &self.policy)
            .finish_non_exhaustive()
    }
}
