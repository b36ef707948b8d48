//! Registry of instances on the platform, by which they find each other beside their seeds, which may
//! all be stale or down. Each instance of a small fleet, and each candidate of a large one, is
//! registered first and reads then who else is, so that of any two the later reader finds the other.
//!
//! Whether the whole fleet is known is decided here. To have heard of no other instance shows
//! nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::time::sleep;

use super::relay::Relay;
use crate::peer::{Member, Reach};
use crate::platform::{Error, Expect, List, is_restored};

/// Kind of the stored objects.
const OBJECT_KIND: &str = "endivefork-instances";

/// Age of the process from which it is registered. By then an instance of a large fleet knows that
/// it is large, and whether it is a candidate.
const REGISTER_DELAY: Duration = Duration::from_millis(1_500);

/// Time between two checks whether this instance is to be registered.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time between two reads of the registry.
const READ_PERIOD: Duration = Duration::from_secs(20);

/// Age of the process until which a denied retry waits for the first read of the registry.
const FIRST_READ_AGE: Duration = Duration::from_millis(500);

/// Interval at which that read is asked for.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(10);

/// Age of a read from which the fleet is no longer known: others may have removed this instance's
/// entry, and forgotten it, after [`ABSENCE_MAX`]. The rest is for a clock that stood still.
const AGE_MAX: Duration = Duration::from_secs(30);

/// Time between two attempts to contact instances that were not met, or to read the registry.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// How long an instance is not reached before its entry is removed.
const ABSENCE_MAX: Duration = Duration::from_secs(60);

/// A registered instance, without its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    addr: SocketAddr,
    domain: SmolStr,
    region: SmolStr,
    capacity: u32,
}

impl Entry {
    fn of(member: &Member) -> Self {
        Self {
            addr: member.addr,
            domain: member.domain.clone(),
            region: member.region.clone(),
            capacity: member.capacity,
        }
    }

    fn member(self, name: &SmolStr) -> Member {
        Member {
            name: name.clone(),
            addr: self.addr,
            domain: self.domain,
            region: self.region,
            capacity: self.capacity,
        }
    }
}

/// Another registered instance.
#[derive(Clone, Debug)]
struct Listed {
    member: Member,
    rev: u64,
    /// Since when it has not been reached.
    absent: Option<Instant>,
}

/// The registry as of the last read.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    listed: IndexMap<SmolStr, Listed>,
    /// Entries that can't be decoded.
    unreadable: usize,
    /// When the last read began, while this instance was registered.
    read: Option<Instant>,
    /// Until when others may not have read that this instance has registered again.
    unseen: Option<Instant>,
}

impl Registry {
    /// Replaces the entries by those of a read. Returns which instances are no longer registered.
    pub(super) fn update(
        &mut self,
        entries: Vec<(Member, u64)>,
        unreadable: usize,
        begun: Instant,
    ) -> Vec<SmolStr> {
        let mut before = std::mem::take(&mut self.listed);
        self.listed = entries
            .into_iter()
            .map(|(member, rev)| {
                let absent = before.swap_remove(&member.name).and_then(|l| l.absent);
                (
                    member.name.clone(),
                    Listed {
                        member,
                        rev,
                        absent,
                    },
                )
            })
            .collect();
        self.unreadable = unreadable;
        self.read = Some(begun);
        before.into_keys().collect()
    }

    /// Notes that others have removed this instance's entry. They may count the fleet as known without
    /// it until their next read, so it does not count it as known meanwhile.
    pub(super) fn record_removal(&mut self, now: Instant) {
        self.unseen = self.read.map(|_| now + AGE_MAX);
    }

    /// Whether the last read is young enough to show who is registered.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        let age = self.read.map(|at| now.saturating_duration_since(at));
        let is_seen = self.unseen.is_none_or(|until| now >= until);
        is_seen && age.is_some_and(|age| age < AGE_MAX)
    }
}

impl Relay {
    /// Number of registered instances that this one has never been in contact with; `None` while the
    /// registry is not known, or was read too long ago.
    pub(crate) fn unmet_instances(&self) -> Option<usize> {
        let registry = self.registry.lock();
        let names = registry.listed.keys();
        let unmet = names.filter(|name| !self.peers.has_met(name)).count();
        let is_current = registry.is_current(Instant::now());
        is_current.then_some(unmet + registry.unreadable)
    }

    /// Whether the registry was ever read.
    pub(crate) fn has_read_registry(&self) -> bool {
        self.registry.lock().read.is_some()
    }

    /// Waits for the first read of the registry, if this instance has only just started and needs
    /// nothing else to know the fleet. Returns whether the registry was read.
    pub(crate) async fn registry_read_at_start(&self) -> bool {
        while !self.has_read_registry() {
            if !self.peers.has_no_seeds() || self.age() >= FIRST_READ_AGE {
                return false;
            }
            sleep(FIRST_READ_INTERVAL).await;
        }
        true
    }

    /// Whether no instance can exist that this one has not met.
    pub(crate) fn knows_fleet(&self) -> bool {
        self.unmet_instances() == Some(0)
    }

    /// Whether each registered instance that may run is reached, or belongs to one of the failure
    /// domains `told`, whose aggregators have answered.
    pub(crate) fn covers_registered(&self, told: &[SmolStr]) -> bool {
        let own = &self.settings.instance.domain;
        let registry = self.registry.lock();
        let mut members = registry.listed.values().map(|l| &l.member);
        members.all(|m| match self.peers.reach(&m.name) {
            Reach::Dead => true,
            reach if m.domain == *own => reach == Reach::Alive,
            _ => told.contains(&m.domain),
        })
    }

    /// Keeps this instance registered, and in contact with those that are. Runs until the process
    /// ends.
    pub(crate) async fn keep_registered(self: Arc<Self>) {
        self.wait_for_peers().await;
        while !self.peers.has_no_seeds() && self.age() < REGISTER_DELAY {
            sleep(CHECK_PERIOD).await;
        }
        let mut era = self.platform.era();
        loop {
            if self.peers.is_tiered() && !self.is_candidate() {
                sleep(CHECK_PERIOD).await;
                continue;
            }
            let begun = Instant::now();
            let registered = self.register(era).await;
            // A platform that returns from a copy may lack entries that nobody has removed.
            era = self.platform.era();
            if let Err(e) = registered {
                info!(self.decisions.log, "registry: could not be read"; "error" => %e);
                sleep(RETRY_PERIOD).await;
                continue;
            }
            while begun.elapsed() < READ_PERIOD && !is_restored(era, self.platform.era()) {
                self.contact_listed();
                sleep(RETRY_PERIOD).await;
            }
            self.remove_absent().await;
        }
    }

    /// Registers this instance, and reads then which others are. `era` is that of the last read.
    async fn register(&self, era: Option<u64>) -> Result<(), Error> {
        let me = self.peers.me();
        let mut begun = Instant::now();
        let mut list = self.list_kind(OBJECT_KIND).await?;
        let own = list.items.iter().find(|o| o.name == me.name);
        let entry = Entry::of(me);
        if own.is_none_or(|o| o.decode::<Entry>().ok().as_ref() != Some(&entry)) {
            let expect = own.map_or(Expect::Absent, |o| Expect::Rev(o.rev));
            if own.is_none() && !is_restored(era, self.platform.era()) {
                self.registry.lock().record_removal(begun);
            }
            self.platform
                .put(OBJECT_KIND, &me.name, &entry, expect)
                .await?;
            begun = Instant::now();
            list = self.platform.list(OBJECT_KIND, "").await?;
        }
        self.apply_registry(&list, begun);
        Ok(())
    }

    fn apply_registry(&self, list: &List, begun: Instant) {
        let mut unreadable = list.unreadable.len();
        let mut entries = Vec::new();
        let own = &self.settings.instance.name;
        for object in list.items.iter().filter(|o| o.name != *own) {
            match object.decode::<Entry>() {
                Ok(entry) => entries.push((entry.member(&object.name), object.rev)),
                Err(e) => {
                    let id = (OBJECT_KIND, object.name.as_str(), object.rev);
                    self.report_entry(id, &object.value, &e.to_string());
                    unreadable += 1;
                }
            }
        }
        let mut registry = self.registry.lock();
        let was_read = registry.read.is_some();
        let gone = registry.update(entries, unreadable, begun);
        let listed = registry.listed.len();
        drop(registry);
        // In a large fleet instances that are not registered are silent for most others.
        let is_small = !self.peers.is_tiered();
        for name in gone.iter().filter(|_| is_small) {
            self.peers.forget(name);
        }
        if !was_read {
            info!(self.decisions.log, "registry: read"; "listed" => listed,
                "unmet" => self.unmet_instances(), "unreadable" => unreadable,
                "age_ms" => self.age().as_millis() as u64);
        }
    }

    /// Contacts the registered instances that were not met, and notes which are not reached.
    fn contact_listed(&self) {
        let mut registry = self.registry.lock();
        let now = Instant::now();
        let mut unmet = Vec::new();
        for (name, listed) in &mut registry.listed {
            match self.peers.reach(name) {
                Reach::Alive => listed.absent = None,
                _ => listed.absent = listed.absent.or(Some(now)),
            }
            if !self.peers.has_met(name) {
                unmet.push(listed.member.clone());
            }
        }
        drop(registry);
        self.peers.introduce(&unmet);
    }

    /// Removes the entries of instances that have not been reached for long. One that still runs
    /// registers again, and marks its runs until it has met the others.
    async fn remove_absent(&self) {
        let now = Instant::now();
        let absent = {
            let registry = self.registry.lock();
            let is_present = |name: &&SmolStr| self.peers.reach(name) == Reach::Alive;
            let mut present = registry.listed.keys().filter(is_present);
            if present.any(|name| *name < self.settings.instance.name) {
                return;
            }
            let is_absent = |l: &&Listed| l.absent.is_some_and(|at| now - at >= ABSENCE_MAX);
            let absent: Vec<_> = registry
                .listed
                .values()
                .filter(is_absent)
                .cloned()
                .collect();
            absent
        };
        for Listed { member, rev, .. } in absent {
            let name = &member.name;
            match self.platform.delete(OBJECT_KIND, name, rev).await {
                Ok(_) => info!(self.decisions.log, "registry: absent instance removed";
                    "name" => name.as_str()),
                Err(e) => {
                    warn!(self.decisions.log, "registry: could not remove an absent instance";
                        "name" => name.as_str(), "error" => %e);
                }
            }
        }
    }
}
