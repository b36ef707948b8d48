//! The roster of the fleet, from the platform's list, which lags, and from faster notices by targets
//! and peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::ident::TargetKey;
use crate::platform::{InstanceEntry, Role, State};

/// Time for which a target that is no longer listed is kept, so that its key is not reused while
/// generations still run on it.
const FORGET_AFTER: Duration = Duration::from_secs(900);

/// A target that serves a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Key in this instance's arena.
    pub key: TargetKey,
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Identifies one start of the target among those of the same name; zero if its starts are not
    /// told apart.
    pub incarnation: u64,
    /// Address of its HTTP interface.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Service that it serves.
    pub service: SmolStr,
    /// Version that it serves.
    pub version: SmolStr,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// Another entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// A snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Targets. Those no longer listed stay for [`FORGET_AFTER`], marked as leaving.
    pub targets: Vec<Target>,
    /// Entry instances by name.
    pub entries: IndexMap<SmolStr, Entry>,
}

impl Roster {
    /// Entry instances of `domain` other than `me`.
    pub fn neighbours<'a>(
        &'a self,
        domain: &'a str,
        me: &'a str,
    ) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |e| e.domain == domain && e.name != me)
    }
}

#[derive(Debug)]
struct Slot {
    target: Target,
    last_listed: Instant,
    notified: bool,
}

#[derive(Debug, Default)]
struct Arena {
    slots: IndexMap<SmolStr, Slot>,
    next: u32,
    entries: IndexMap<SmolStr, Entry>,
}

/// The fleet as this instance sees it.
#[derive(Debug)]
pub struct Fleet {
    arena: Mutex<Arena>,
    roster: watch::Sender<Arc<Roster>>,
}

impl Fleet {
    /// An empty fleet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            arena: Mutex::default(),
            roster: watch::Sender::new(Arc::default()),
        }
    }

    /// The current snapshot.
    #[must_use]
    pub fn roster(&self) -> Arc<Roster> {
        Arc::clone(&self.roster.borrow())
    }

    /// Subscribes to snapshots.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Roster>> {
        self.roster.subscribe()
    }

    /// The key of the target `name`.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<TargetKey> {
        self.arena.lock().slots.get(name).map(|s| s.target.key)
    }

    /// Applies the platform's list. A target missing from it counts as leaving.
    pub fn sync(&self, list: &[InstanceEntry], now: Instant) {
        let mut arena = self.arena.lock();
        arena.apply_targets(list, now);
        arena.apply_entries(list);
        self.publish(&arena);
    }

    /// Marks a target as leaving after a notice from itself or a peer. Returns whether that changed
    /// its state.
    pub fn mark_leaving(&self, name: &str) -> bool {
        let mut arena = self.arena.lock();
        let changed = match arena.slots.get_mut(name) {
            Some(slot) if !slot.target.leaving => {
                slot.notified = true;
                slot.target.leaving = true;
                true
            }
            _ => false,
        };
        if changed {
            self.publish(&arena);
        }
        changed
    }

    fn publish(&self, arena: &Arena) {
        let roster = Roster {
            targets: arena.slots.values().map(|s| s.target.clone()).collect(),
            entries: arena.entries.clone(),
        };
        self.roster.send_if_modified(|old| {
            let same = old.targets == roster.targets && old.entries == roster.entries;
            if !same {
                *old = Arc::new(roster);
            }
            !same
        });
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self::new()
    }
}

impl Arena {
    fn apply_targets(&mut self, list: &[InstanceEntry], now: Instant) {
        for entry in list.iter().filter(|e| e.role != Role::Entry) {
            self.apply_target(entry, now);
        }
        for slot in self.slots.values_mut() {
            slot.target.leaving |= slot.last_listed != now;
        }
        self.slots
            .retain(|_, s| now.duration_since(s.last_listed) < FORGET_AFTER);
    }

    fn apply_target(&mut self, entry: &InstanceEntry, now: Instant) {
        let key = match self.slots.get(&entry.name) {
            Some(slot) if slot.target.addr == entry.addr => slot.target.key,
            _ => self.fresh_key(),
        };
        let notified = self
            .slots
            .get(&entry.name)
            .is_some_and(|s| s.notified && s.target.key == key);
        let target = Target {
            key,
            name: entry.name.clone(),
            incarnation: 0,
            addr: entry.addr,
            domain: entry.domain.clone(),
            region: entry.region.clone(),
            service: entry.service.clone().unwrap_or_default(),
            version: entry.version.clone().unwrap_or_default(),
            leaving: notified || entry.state == State::Leaving,
        };
        self.slots.insert(
            entry.name.clone(),
            Slot {
                target,
                last_listed: now,
                notified,
            },
        );
    }

    fn fresh_key(&mut self) -> TargetKey {
        let key = TargetKey(self.next);
        self.next += 1;
        key
    }

    fn apply_entries(&mut self, list: &[InstanceEntry]) {
        self.entries = list
            .iter()
            .filter(|e| e.role == Role::Entry)
            .filter_map(|e| {
                let entry = Entry {
                    name: e.name.clone(),
                    peer: e.peer?,
                    domain: e.domain.clone(),
                    region: e.region.clone(),
                    leaving: e.state == State::Leaving,
                };
                Some((e.name.clone(), entry))
            })
            .collect();
    }
}
