//! The targets of one fleet snapshot, indexed by service, version and failure domain.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::health::{Health, Notices};
use super::load::{HoldTime, Load};
use crate::fleet::Target;
use crate::ident::TargetKey;

/// Time for which the entry of a target that is no longer listed is kept with what the target said: it
/// may be listed again, as after an outage of the platform. Keys are reused later than that.
const UNLISTED_TTL: Duration = Duration::from_secs(300);

/// Points of each target on a group's hash ring.
const RING_POINTS: u64 = 8;

/// A target and its state in this instance.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) target: Target,
    pub(crate) hash: u64,
    pub(crate) hold_time: Arc<HoldTime>,
    /// When the target was first listed.
    pub(crate) listed_at: Instant,
    pub(crate) state: Mutex<State>,
    /// Wakes the requests in flight at the target when it is found dead.
    pub(crate) lost: Notify,
}

/// Load and health of one target, under one lock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) load: Load,
    pub(crate) health: Health,
}

impl Entry {
    fn new(target: Target, hold_time: Arc<HoldTime>, base: Instant, notices: Notices) -> Self {
        let mut health = Health::default();
        health.restore(notices);
        health.set_listed_leaving(target.leaving);
        Self {
            hash: xxh3_64(target.name.as_bytes()),
            target,
            hold_time,
            listed_at: Instant::now(),
            state: Mutex::new(State {
                load: Load::new(base),
                health,
            }),
            lost: Notify::new(),
        }
    }
}

/// The targets of one service, version and failure domain.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) domain: SmolStr,
    pub(crate) region: SmolStr,
    pub(crate) members: Vec<TargetKey>,
    ring: Vec<(u64, TargetKey)>,
}

impl Group {
    /// Members in ring order from `point`. A member may occur more than once.
    pub(crate) fn ring_from(&self, point: u64) -> impl Iterator<Item = TargetKey> {
        let start = self.ring.partition_point(|(at, _)| *at < point);
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).map(|(_, key)| *key)
    }

    fn build_ring(&mut self, entries: &[Option<Arc<Entry>>]) {
        let hashed = self.members.iter().filter_map(|key| {
            let entry = entries[key.0 as usize].as_ref()?;
            Some((entry.hash, *key))
        });
        self.ring = hashed
            .flat_map(|(hash, key)| (0..RING_POINTS).map(move |i| (mix(hash, i), key)))
            .collect();
        self.ring.sort_unstable();
    }
}

/// The targets of one service and version.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) hold_time: Arc<HoldTime>,
    pub(crate) members: Vec<TargetKey>,
    pub(crate) groups: Vec<Group>,
}

/// Index of one fleet snapshot.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: Vec<Option<Arc<Entry>>>,
    names: IndexMap<SmolStr, TargetKey>,
    services: IndexMap<SmolStr, IndexMap<SmolStr, Pool>>,
    /// Targets that are no longer listed, and since when.
    unlisted: IndexMap<TargetKey, (Arc<Entry>, Instant)>,
}

impl Table {
    /// Indexes `targets`, and keeps the state that `old` has of unchanged ones.
    pub(crate) fn build(targets: Vec<Target>, old: &Self, base: Instant) -> Self {
        let size = targets.iter().map(|t| t.key.0 as usize + 1).max();
        let mut table = Self {
            entries: vec![None; size.unwrap_or(0)],
            ..Self::default()
        };
        for target in targets {
            table.insert(target, old, base);
        }
        table.unlisted = table.unlisted_since(old);
        let entries = &table.entries;
        let pools = table.services.values_mut().flat_map(IndexMap::values_mut);
        pools
            .flat_map(|pool| &mut pool.groups)
            .for_each(|group| group.build_ring(entries));
        table
    }

    pub(crate) fn entry(&self, key: TargetKey) -> Option<&Arc<Entry>> {
        self.entries.get(key.0 as usize)?.as_ref()
    }

    pub(crate) fn by_name(&self, name: &str) -> Option<&Arc<Entry>> {
        self.entry(*self.names.get(name)?)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.iter().flatten()
    }

    pub(crate) fn pool(&self, service: &str, version: &str) -> Option<&Pool> {
        self.services.get(service)?.get(version)
    }

    /// Targets of `old`, listed there or not, that are not listed in this table.
    fn unlisted_since(&self, old: &Self) -> IndexMap<TargetKey, (Arc<Entry>, Instant)> {
        let now = Instant::now();
        let removed = old.entries().map(|e| (Arc::clone(e), now));
        let unlisted = removed.chain(old.unlisted.values().cloned());
        let kept = unlisted.filter(|(entry, since)| {
            let is_recent = now.saturating_duration_since(*since) < UNLISTED_TTL;
            is_recent && self.entry(entry.target.key).is_none()
        });
        let by_key = kept.map(|(entry, since)| (entry.target.key, (entry, since)));
        by_key.collect()
    }

    /// A target that is listed, or was until lately.
    pub(crate) fn known(&self, key: TargetKey) -> Option<&Arc<Entry>> {
        let unlisted = || self.unlisted.get(&key).map(|(entry, _)| entry);
        self.entry(key).or_else(unlisted)
    }

    fn hold_time(&self, target: &Target) -> Arc<HoldTime> {
        let pool = self.pool(&target.service, &target.version);
        pool.map_or_else(Arc::default, |pool| Arc::clone(&pool.hold_time))
    }

    fn insert(&mut self, target: Target, old: &Self, base: Instant) {
        let key = target.key;
        let pool = self
            .services
            .entry(target.service.clone())
            .or_default()
            .entry(target.version.clone())
            .or_insert_with(|| Pool {
                hold_time: old.hold_time(&target),
                ..Pool::default()
            });
        pool.members.push(key);
        match pool.groups.iter_mut().find(|g| g.domain == target.domain) {
            Some(group) => group.members.push(key),
            None => pool.groups.push(Group {
                domain: target.domain.clone(),
                region: target.region.clone(),
                members: vec![key],
                ring: Vec::new(),
            }),
        }
        let hold_time = Arc::clone(&pool.hold_time);
        self.names.insert(target.name.clone(), key);
        self.entries[key.0 as usize] = Some(reuse_entry(target, hold_time, old, base));
    }
}

/// Reuses the old entry of a target that did not change, or of which only `leaving` changed, so
/// that its counts are kept.
fn reuse_entry(target: Target, hold_time: Arc<HoldTime>, old: &Table, base: Instant) -> Arc<Entry> {
    let new = |target: Target| {
        let known = old.known(target.key);
        let notices = known.map(|e| e.state.lock().health.notices());
        let notices = notices.unwrap_or_default();
        Arc::new(Entry::new(target, Arc::clone(&hold_time), base, notices))
    };
    let Some(entry) = old.entry(target.key) else {
        return new(target);
    };
    let unchanged = Target {
        leaving: entry.target.leaving,
        ..target.clone()
    } == entry.target;
    if !unchanged {
        return new(target);
    }
    entry.state.lock().health.set_listed_leaving(target.leaving);
    Arc::clone(entry)
}

/// Mixes two hashes into one.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
