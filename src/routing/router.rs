//! The router: applies its inputs, selects a target, and counts the request in flight by a lease.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use smol_str::SmolStr;

use super::health::{Availability, DEPARTURE_NEWS_TIME};
use super::lease::{Lease, ProbeTarget};
use super::load::{LoadReport, Work};
use super::outage::Outages;
use super::outlier::Standing;
use super::peer_report::{Departure, InflightCount, PeerReport};
use super::policy::{Costs, EngineCapacity, Policy, Selection, sample_fraction};
use super::table::{Entry, Table};
use crate::fleet::Target;
use crate::ident::TargetKey;

/// Requirements of a request on its target.
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
    /// Digest of the prompt's leading block, if a target that has it in its cache is preferred.
    pub prefix: Option<u64>,
    /// Targets that must not be selected.
    pub excluded: &'a [TargetKey],
    /// Expected bytes to and from the target.
    pub bytes: u64,
    /// Failure domains that must not be selected.
    pub excluded_domains: &'a [SmolStr],
    /// Resources that a generation needs, weighed against the engines' capacity if that is known.
    pub work: Option<Work>,
}

/// Serving capacity of a version's available targets, for admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingCapacity {
    /// Available targets.
    pub targets: u32,
    /// Their slots.
    pub slots: u32,
    /// Estimated number of requests that run or wait at them.
    pub load: u32,
}

/// Selects targets and counts the requests in flight at each.
pub struct Router {
    policy: Policy,
    costs: Costs,
    base: Instant,
    table: RwLock<Arc<Table>>,
    /// Entries that are no longer in the table and may still have requests.
    departed: Mutex<Vec<Weak<Entry>>>,
    next_turn: AtomicUsize,
    peer_targets: Mutex<IndexMap<SmolStr, Vec<TargetKey>>>,
    capacities: RwLock<IndexMap<SmolStr, EngineCapacity>>,
    outages: Mutex<Outages>,
    /// Number of instances that place requests, this one included.
    instances: AtomicUsize,
    rng: Mutex<SmallRng>,
}

impl Router {
    /// A router without targets.
    #[must_use]
    pub fn new(policy: Policy, costs: Costs) -> Self {
        Self::seeded(policy, costs, rand::rng().random())
    }

    /// A router without targets whose random choices follow from `seed`.
    #[must_use]
    pub fn seeded(policy: Policy, costs: Costs, seed: u64) -> Self {
        Self {
            policy,
            costs,
            base: Instant::now(),
            table: RwLock::default(),
            departed: Mutex::default(),
            next_turn: AtomicUsize::new(0),
            peer_targets: Mutex::default(),
            capacities: RwLock::default(),
            outages: Mutex::default(),
            instances: AtomicUsize::new(1),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Replaces the targets by those of a fleet snapshot.
    ///
    /// A target's state is kept unless something other than its leaving changed.
    pub fn sync(&self, targets: Vec<Target>) {
        let mut table = self.table.write();
        let next = Arc::new(Table::build(targets, &table, self.base));
        let is_kept = |old: &Arc<Entry>| {
            let new = next.entry(old.target.key);
            new.is_some_and(|new| Arc::ptr_eq(new, old))
        };
        let departed = table.entries().filter(|old| !is_kept(old));
        let departed: Vec<_> = departed.map(Arc::downgrade).collect();
        *table = next;
        let mut all = self.departed.lock();
        all.extend(departed);
        all.retain(|entry| entry.strong_count() > 0);
    }

    /// Sets the capacity of one engine of a service, by which queries with work are placed.
    pub fn set_capacity(&self, service: &str, capacity: EngineCapacity) {
        self.capacities.write().insert(service.into(), capacity);
    }

    /// Sets the number of instances that place requests, this one included. The more there are, the
    /// fewer targets each evaluates for a prompt, since they learn of each other's choices late.
    pub fn set_instances(&self, instances: usize) {
        self.instances.store(instances.max(1), Ordering::Relaxed);
    }

    /// Sets the number of requests that a target can run at once.
    pub fn set_slots(&self, key: TargetKey, slots: u32) {
        self.with_entry(key, |entry| entry.state.lock().load.set_slots(slots));
    }

    /// Work of this instance's and its peers' requests at a target.
    #[must_use]
    pub fn work(&self, key: TargetKey, now: Instant) -> Work {
        let table = self.table();
        let work = |e: &Arc<Entry>| e.state.lock().load.work(now);
        table.entry(key).map(work).unwrap_or_default()
    }

    /// Number of targets.
    #[must_use]
    pub fn targets(&self) -> usize {
        self.table().entries().count()
    }

    /// Whether this instance found a target dead and still blocks it.
    #[must_use]
    pub fn is_dead(&self, key: TargetKey, now: Instant) -> bool {
        let table = self.table();
        let dead = |e: &Arc<Entry>| e.state.lock().health.found_dead(now);
        table.entry(key).is_some_and(dead)
    }

    /// Targets that this instance found dead and still blocks.
    #[must_use]
    pub fn found_dead(&self, now: Instant) -> Vec<ProbeTarget> {
        let table = self.table();
        let dead = |e: &&Arc<Entry>| e.state.lock().health.found_dead(now);
        let dead = table.entries().filter(dead);
        dead.map(|e| ProbeTarget::of(&e.target)).collect()
    }

    /// Targets with requests of this instance, in a domain with an outage, that have not shown life
    /// since the outage began.
    #[must_use]
    pub fn suspected(&self, domain: &str, now: Instant) -> Vec<ProbeTarget> {
        let Some(start) = self.outages.lock().outage_start(domain, now) else {
            return Vec::new();
        };
        let table = self.table();
        let suspected = |e: &&Arc<Entry>| {
            let state = e.state.lock();
            let unseen = state.health.last_seen(e.listed_at) <= start;
            e.target.domain == domain
                && state.load.inflight() > 0
                && unseen
                && !state.health.found_dead(now)
        };
        let suspected = table.entries().filter(suspected);
        suspected.map(|e| ProbeTarget::of(&e.target)).collect()
    }

    /// Healthy targets of other domains, in random order.
    pub(crate) fn witnesses(&self, domain: &str, now: Instant) -> Vec<ProbeTarget> {
        let table = self.table();
        let is_healthy = |e: &&Arc<Entry>| {
            e.target.domain != domain
                && e.state.lock().health.availability(now) == Availability::Healthy
        };
        let healthy = table.entries().filter(is_healthy);
        let mut healthy: Vec<_> = healthy.map(|e| ProbeTarget::of(&e.target)).collect();
        healthy.shuffle(&mut rand::rng());
        healthy
    }

    /// Targets of a service that get no requests because they were found dead.
    #[must_use]
    pub fn dead(&self, service: &str, now: Instant) -> Vec<ProbeTarget> {
        let table = self.table();
        let is_dead =
            |e: &&Arc<Entry>| e.target.service == service && e.state.lock().health.is_dead(now);
        let dead = table.entries().filter(is_dead);
        dead.map(|e| ProbeTarget::of(&e.target)).collect()
    }

    /// Whether a target is available at `now`.
    #[must_use]
    pub fn is_available(&self, key: TargetKey, now: Instant) -> bool {
        let table = self.table();
        let available =
            |e: &Arc<Entry>| e.state.lock().health.availability(now) != Availability::Unavailable;
        table.entry(key).is_some_and(available)
    }

    /// Whether the target gets requests without reservation.
    pub fn is_healthy(&self, key: TargetKey, now: Instant) -> bool {
        let table = self.table();
        let healthy =
            |e: &Arc<Entry>| e.state.lock().health.availability(now) == Availability::Healthy;
        table.entry(key).is_some_and(healthy)
    }

    /// Selects a target and counts the request as in flight until the lease is dropped.
    pub fn choose(&self, query: &Query<'_>, now: Instant) -> Option<Lease> {
        let entry = self.select(query, now)?;
        let work = query.work.unwrap_or_default();
        Some(Lease::new(&entry, query.region, work, now))
    }

    /// The target that [`Self::choose`] would select.
    #[must_use]
    pub fn preferred(&self, query: &Query<'_>, now: Instant) -> Option<TargetKey> {
        self.select(query, now).map(|e| e.target.key)
    }

    fn select(&self, query: &Query<'_>, now: Instant) -> Option<Arc<Entry>> {
        let table = self.table();
        let outages = self.outages.lock();
        let selection = Selection {
            table: &table,
            pool: table.pool(query.service, query.version)?,
            query,
            costs: self.costs,
            capacity: self.capacities.read().get(query.service).copied(),
            outages: &outages,
            sample_fraction: sample_fraction(self.instances.load(Ordering::Relaxed)),
            now,
            rng: RefCell::new(SmallRng::from_rng(&mut *self.rng.lock())),
        };
        let entry = match self.policy {
            Policy::Random => selection.random(),
            Policy::RoundRobin => selection.round_robin(&self.next_turn),
            Policy::TwoChoices => selection.two_choices(),
            Policy::LeastReported => selection.least_reported(),
            Policy::Cost => selection.by_cost(),
        };
        entry.cloned()
    }

    /// Counts a request at a given target, as for a running attempt that is taken over.
    pub fn claim(&self, key: TargetKey, region: &str, now: Instant) -> Option<Lease> {
        let table = self.table();
        let entry = table.entry(key)?;
        Some(Lease::new(entry, region, Work::default(), now))
    }

    /// Applies a load report received at `now`, from the target or through a peer.
    ///
    /// A report by itself is no evidence of life: see [`Self::mark_alive`].
    pub fn apply_load_report(&self, key: TargetKey, report: LoadReport, now: Instant) {
        self.with_entry(key, |entry| {
            let mut state = entry.state.lock();
            state.load.apply_report(report, now);
            match report.leaving {
                true => state.health.mark_leaving(now),
                false => state
                    .health
                    .clear_leaving(now.checked_sub(report.age).unwrap_or(now)),
            }
        });
    }

    /// Records a refused connection or a stream without events: the target is avoided for a while.
    pub fn mark_suspect(&self, key: TargetKey, now: Instant) {
        self.with_entry(key, |entry| {
            self.outages
                .lock()
                .record_loss(&entry.target.domain, key, now);
            entry.state.lock().health.mark_suspect(now);
        });
    }

    /// Records that the target is dead. It gets no requests for some seconds, and the next report to
    /// peers lists it.
    pub fn mark_dead(&self, key: TargetKey, now: Instant) {
        self.with_entry(key, |entry| {
            self.outages
                .lock()
                .record_loss(&entry.target.domain, key, now);
            entry.state.lock().health.mark_dead(now);
            entry.lost.notify_waiters();
        });
        self.wake_departed(key);
    }

    /// Marks a target that this instance can't reach, nor any other, and wakes its requests.
    pub(crate) fn mark_unreachable(&self, key: TargetKey, now: Instant) {
        self.with_entry(key, |entry| {
            entry.state.lock().health.mark_unreachable(now);
            entry.lost.notify_waiters();
        });
        self.wake_departed(key);
    }

    /// Wakes the requests at a dead target that were sent before its entry was removed or replaced.
    fn wake_departed(&self, key: TargetKey) {
        let table = self.table();
        let addr = table.entry(key).map(|e| e.target.addr);
        let departed = self.departed.lock();
        let departed = departed.iter().filter_map(Weak::upgrade);
        departed
            .filter(|e| e.target.key == key && addr.is_none_or(|addr| addr == e.target.addr))
            .for_each(|e| e.lost.notify_waiters());
    }

    /// Records that the target answered a request sent at `since`.
    pub fn mark_alive(&self, key: TargetKey, since: Instant) {
        self.with_entry(key, |entry| entry.state.lock().health.mark_alive(since));
    }

    /// Records that the target answered a request.
    pub(crate) fn record_answer(&self, key: TargetKey, now: Instant) {
        self.with_entry(key, |entry| {
            entry.state.lock().health.outcomes.record_answer(now);
        });
    }

    /// Records that the target failed a request. Returns whether it is ejected by it: unless all
    /// others are worse, it gets no requests for a time. At most half of the targets of a service
    /// are, as a cause that they share is none of theirs.
    pub(crate) fn record_failure(&self, key: TargetKey, now: Instant) -> bool {
        let table = self.table();
        let Some(entry) = table.entry(key) else {
            return false;
        };
        let target = &entry.target;
        let pool = table.pool(&target.service, &target.version);
        let members = pool.map_or(&[][..], |p| &p.members);
        let is_ejected = |key: &&TargetKey| {
            table.entry(**key).is_some_and(|e| {
                let standing = e.state.lock().health.outcomes.standing(now);
                standing == Standing::Ejected
            })
        };
        let ejected = members.iter().filter(is_ejected).count();
        let may_eject = 2 * (ejected + 1) <= members.len();
        let mut state = entry.state.lock();
        state.health.outcomes.record_failure(may_eject, now)
    }

    /// Time since the target last showed life to this instance or a peer.
    pub fn alive_age(&self, key: TargetKey, now: Instant) -> Option<Duration> {
        let entry = self.table().entry(key).cloned()?;
        let alive = entry.state.lock().health.last_alive()?;
        Some(now.saturating_duration_since(alive))
    }

    /// Records that a peer confirmed the target alive at `at`.
    pub fn confirm_alive(&self, key: TargetKey, at: Instant) {
        self.with_entry(key, |entry| entry.state.lock().health.confirm_alive(at));
    }

    /// Removes a peer that is gone.
    pub fn remove_peer(&self, origin: &str) {
        self.peer_targets.lock().swap_remove(origin);
    }

    /// This instance's report to its peers.
    #[must_use]
    pub fn peer_report(&self, now: Instant) -> PeerReport {
        let mut report = PeerReport::default();
        for entry in self.table().entries() {
            let name = &entry.target.name;
            let state = entry.state.lock();
            if state.load.inflight() > 0 {
                report.counts.push(InflightCount {
                    target: name.clone(),
                    count: state.load.inflight(),
                    work: state.load.own_work(),
                });
            }
            if state.health.is_news(now) {
                report.dead.push(name.clone());
            }
            let incarnation = entry.target.incarnation;
            // Without a name for the start, the report holds only while it is repeated.
            let is_due = |since| {
                incarnation == 0 || now.saturating_duration_since(since) < DEPARTURE_NEWS_TIME
            };
            if state.health.leaving_since().is_some_and(is_due) {
                report.leaving.push(Departure {
                    target: name.clone(),
                    incarnation,
                });
            }
        }
        report
    }

    /// Applies the report of the peer `origin`, which replaces its earlier one.
    pub fn apply_peer_report(&self, origin: &str, report: &PeerReport, now: Instant) {
        let table = self.table();
        let mut peer_targets = self.peer_targets.lock();
        let keys = peer_targets.entry(origin.into()).or_default();
        for entry in keys.drain(..).filter_map(|key| table.entry(key)) {
            entry
                .state
                .lock()
                .load
                .set_peer_count(origin, 0, Work::default(), now);
        }
        for count in &report.counts {
            let Some(entry) = table.by_name(&count.target) else {
                continue;
            };
            let mut state = entry.state.lock();
            state
                .load
                .set_peer_count(origin, count.count, count.work, now);
            keys.push(entry.target.key);
        }
        drop(peer_targets);
        for entry in report.dead.iter().filter_map(|name| table.by_name(name)) {
            self.outages
                .lock()
                .record_loss(&entry.target.domain, entry.target.key, now);
            entry.state.lock().health.mark_peer_dead(now);
        }
        let leaving = report.leaving.iter().filter_map(|left| {
            let entry = table.by_name(&left.target)?;
            (entry.target.incarnation == left.incarnation).then_some(entry)
        });
        for entry in leaving {
            let named = entry.target.incarnation != 0;
            entry.state.lock().health.mark_peer_leaving(named, now);
        }
    }

    /// Serving capacity of the available targets of a version.
    #[must_use]
    pub fn serving_capacity(&self, service: &str, version: &str, now: Instant) -> ServingCapacity {
        let table = self.table();
        let mut capacity = ServingCapacity::default();
        let members = table.pool(service, version).map(|pool| &pool.members);
        for key in members.into_iter().flatten() {
            let Some(entry) = table.entry(*key) else {
                continue;
            };
            let state = entry.state.lock();
            if state.health.availability(now) == Availability::Unavailable {
                continue;
            }
            capacity.targets += 1;
            capacity.slots += state.load.slots();
            capacity.load += state.load.estimate(now);
        }
        capacity
    }

    /// The target of this name.
    #[must_use]
    pub fn key_named(&self, name: &str) -> Option<TargetKey> {
        self.table().by_name(name).map(|e| e.target.key)
    }

    /// A target, for a probe.
    #[must_use]
    pub fn probe_target(&self, key: TargetKey) -> Option<ProbeTarget> {
        self.table().entry(key).map(|e| ProbeTarget::of(&e.target))
    }

    /// The target of this name, for a probe.
    #[must_use]
    pub fn probe_target_named(&self, name: &str) -> Option<ProbeTarget> {
        let table = self.table();
        table.by_name(name).map(|e| ProbeTarget::of(&e.target))
    }

    /// The target that takes requests at `addr`.
    #[must_use]
    pub fn key_at(&self, addr: SocketAddr) -> Option<TargetKey> {
        let table = self.table();
        let mut entries = table.entries();
        entries
            .find(|e| e.target.addr == addr)
            .map(|e| e.target.key)
    }

    /// Estimated fraction of a target's slots in use; above 1 when requests wait.
    #[must_use]
    pub fn utilisation(&self, key: TargetKey, now: Instant) -> Option<f64> {
        let table = self.table();
        let state = table.entry(key)?.state.lock();
        let slots = state.load.slots().max(1);
        Some(f64::from(state.load.estimate(now)) / f64::from(slots))
    }

    /// Estimated number of requests at a target.
    #[must_use]
    pub fn estimate(&self, key: TargetKey, now: Instant) -> Option<u32> {
        let table = self.table();
        let entry = table.entry(key)?;
        let estimate = entry.state.lock().load.estimate(now);
        Some(estimate)
    }

    pub(super) fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.read())
    }

    fn with_entry(&self, key: TargetKey, update: impl FnOnce(&Entry)) {
        if let Some(entry) = self.table().entry(key) {
            update(entry);
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
