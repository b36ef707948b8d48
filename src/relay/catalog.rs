//! Targets and rules as read from the platform. Pure state, without I/O.
//!
//! Every routing decision uses the targets and rules held here. They arrive as full lists and
//! changes from the platform, or as copies from a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::departures::{Departure, Departures};
use super::rules::Rules;
use crate::fleet::Target;
use crate::ident::TargetKey;
use crate::platform::is_restored;

/// How long a target that is missing after a platform outage is still used. Targets register again
/// within two seconds of the platform's return; the rest allows for propagation of the
/// registration.
const OUTAGE_GRACE: Duration = Duration::from_millis(2500);

/// Time within which a target registers after its start, or after the platform's return.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(4);

/// How long the key of a removed target is not reused, so that a delayed report about the old
/// target is not applied to the new one.
const KEY_REUSE_DELAY: Duration = Duration::from_secs(600);

/// A target's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Name.
    pub name: SmolStr,
    /// Identifies one start of the target, so that a restart under the same name counts as a new
    /// target.
    pub incarnation: u64,
    /// Service.
    pub service: SmolStr,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Software version.
    pub version: SmolStr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target is shutting down and accepts no new work.
    pub leaving: bool,
}

/// A registration with its platform revision, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Revision.
    pub rev: u64,
    /// The target.
    pub info: TargetInfo,
}

/// A registration that was made, changed or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Name of the target.
    pub(crate) name: SmolStr,
    /// Revision.
    pub(crate) rev: u64,
    /// The registration; `None` when it was removed or could not be parsed.
    pub(crate) info: Option<TargetInfo>,
}

/// All registrations known to one instance, for another one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TargetsCopy {
    /// Era of the platform in which they were read.
    pub(crate) era: Option<u64>,
    /// Platform revision up to which the list is complete, and the highest revision in it.
    pub(crate) revs: (u64, u64),
    pub(crate) list: Vec<Registration>,
    /// Departures that keep some of them out of use.
    pub(crate) departures: Vec<Departure>,
    /// Names of targets that have written an entry since the platform was restored.
    pub(crate) rewritten: Vec<SmolStr>,
    /// Names of removed targets that the sender still uses, and for how long.
    pub(crate) kept: Vec<(SmolStr, Duration)>,
    /// Time since the last failed read of the sender.
    pub(crate) outage: Option<Duration>,
    /// Time for which the sender has known targets.
    pub(crate) known: Duration,
}

impl TargetsCopy {
    /// Whether a target that the copy lacks was removed while the platform served the sender, or
    /// its time after an outage is over. A sender that has known targets for a shorter time may
    /// have missed an outage.
    fn is_conclusive(&self) -> bool {
        self.known >= OUTAGE_GRACE
    }
}

/// Until when a removed target is used, if the reader of the removal last failed to read at
/// `outage`.
fn grace(outage: Option<Instant>, now: Instant) -> Option<Instant> {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < OUTAGE_GRACE;
    outage.is_some_and(is_recent).then(|| now + OUTAGE_GRACE)
}

#[derive(Debug)]
struct KeyEntry {
    incarnation: u64,
    key: TargetKey,
    unused: Option<Instant>,
}

/// The rules and targets in force at one instance.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    rules: Option<Arc<Rules>>,
    targets: IndexMap<SmolStr, Registration>,
    lapsed: IndexMap<SmolStr, (Registration, Instant)>,
    unregistered: IndexMap<SmolStr, (TargetInfo, Instant)>,
    keys: IndexMap<SmolStr, Vec<KeyEntry>>,
    next_key: u32,
    /// Platform revision up to which the targets are known.
    pub(crate) as_of: Option<u64>,
    /// Highest platform revision among the known registrations and removals. Unlike
    /// [`Self::as_of`], it does not advance when other objects are written.
    newest: Option<u64>,
    /// Last failed read of this instance.
    outage: Option<Instant>,
    /// Last failed read of a peer that forwarded what it read.
    peer_outage: Option<Instant>,
    /// When targets became known.
    known: Option<Instant>,
    /// Era of the platform in which the targets were read.
    pub(crate) era: Option<u64>,
    /// Whether no list was applied since the platform was restored.
    is_restored: bool,
    departures: Departures,
    /// Fingerprint of the targets that departures keep out of use; 0 when there are none.
    kept_out: u64,
}

/// How an era relates to that of the targets held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EraChange {
    Same,
    /// The targets read then are outdated.
    Earlier,
    /// The platform was restored since the targets of this era and revision were read.
    Restored {
        era_before: Option<u64>,
        as_of: Option<u64>,
    },
}

impl Catalog {
    /// Prepares for a full list read in `era`, whose revisions may be lower.
    pub(crate) fn enter_era(&mut self, era: Option<u64>) -> EraChange {
        if era < self.era {
            return EraChange::Earlier;
        }
        let era_before = std::mem::replace(&mut self.era, era);
        if !is_restored(era_before, era) {
            return EraChange::Same;
        }
        self.is_restored = true;
        self.newest = None;
        // Targets may not have registered again yet: what is missing now is not gone.
        self.known = None;
        // Revisions are comparable only within one era.
        self.lapsed.values_mut().for_each(|(r, _)| r.rev = 0);
        self.departures.restore();
        EraChange::Restored {
            era_before,
            as_of: self.as_of.take(),
        }
    }

    /// Fingerprint of the targets that departures keep out of use; 0 when there are none.
    pub(crate) fn kept_out(&self) -> u64 {
        self.kept_out
    }

    /// Departures that keep targets out of use, for a peer.
    pub(crate) fn departures(&self) -> Vec<Departure> {
        let registered = self.targets.values();
        let kept_out = registered.filter_map(|r| self.departures.of(r));
        kept_out.cloned().collect()
    }

    /// Learns departures that keep targets out of use at a peer.
    pub(crate) fn learn_departures(&mut self, departures: Vec<Departure>) {
        for departure in departures {
            let entry = self.targets.get(&departure.name);
            self.departures.learn(departure, entry);
        }
    }

    /// The rules in force.
    pub(crate) fn rules(&self) -> Option<&Arc<Rules>> {
        self.rules.as_ref()
    }

    /// Version of the rules in force; 0 when there are none.
    pub(crate) fn version(&self) -> u64 {
        self.rules.as_ref().map_or(0, |r| r.version)
    }

    /// Whether rules and targets are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.rules.is_some() && self.as_of.is_some()
    }

    /// Highest platform revision among the known registrations and removals.
    pub(crate) fn newest(&self) -> Option<u64> {
        self.newest
    }

    /// Applies rules unless the same or newer ones are in force.
    pub(crate) fn apply_rules(&mut self, rules: Rules) -> bool {
        let is_newer = rules.version > self.version();
        if is_newer {
            self.rules = Some(Arc::new(rules));
        }
        is_newer
    }

    /// Records a failed read of the platform.
    pub(crate) fn record_outage(&mut self, now: Instant) {
        self.outage = self.outage.max(Some(now));
    }

    /// Records a peer's last failed read.
    pub(crate) fn record_peer_outage(&mut self, at: Option<Instant>) {
        self.peer_outage = self.peer_outage.max(at);
    }

    /// When a read of the platform by this instance last failed.
    pub(crate) fn last_outage(&self) -> Option<Instant> {
        self.outage
    }

    /// Replaces all registrations by a list that this instance read at revision `as_of`.
    pub(crate) fn apply_list(&mut self, as_of: u64, list: Vec<Registration>, now: Instant) {
        let until = grace(self.outage, now);
        self.replace(as_of, list, |_| until, now);
    }

    /// Replaces all registrations; `until` tells how long one that the list lacks is still used.
    fn replace(
        &mut self,
        as_of: u64,
        list: Vec<Registration>,
        until: impl Fn(&str) -> Option<Instant>,
        now: Instant,
    ) {
        if self.as_of.is_some_and(|known| known > as_of) {
            return;
        }
        let mut old = std::mem::take(&mut self.targets);
        for registration in list {
            let before = old.swap_remove(&registration.info.name);
            self.departures
                .record_leaving(before.as_ref(), &registration);
            self.put(registration);
        }
        // The list does not tell the revisions of removals.
        let removed = (!old.is_empty()).then_some(as_of);
        let is_restored = std::mem::take(&mut self.is_restored);
        for (name, registration) in old {
            match is_restored && self.departures.of(&registration).is_none() {
                // It may have registered after the copy was made, and registers again. Its revision
                // is not comparable with those of this era.
                true => {
                    self.key(&registration.info, now);
                    self.departures.forget(&name);
                    let unregistered = Registration {
                        rev: 0,
                        ..registration
                    };
                    self.lapsed.insert(name, (unregistered, now + OUTAGE_GRACE));
                }
                false => self.lapse(registration, until(&name), now),
            }
        }
        if is_restored {
            let targets = &self.targets;
            self.departures
                .retain_listed(|name| targets.contains_key(name));
        }
        self.as_of = Some(as_of);
        self.known.get_or_insert(now);
        let newest = self.targets.values().map(|r| r.rev).max();
        self.newest = self.newest.max(newest).max(removed).max(Some(0));
    }

    /// Applies a peer's full list of registrations. The removals that it shows were judged by the
    /// instance that read them: failed reads of this one do not mean that the platform was down.
    /// Returns the names of the targets whose grace period here is ended by the copy. A copy of
    /// another era than that entered changes nothing.
    pub(crate) fn apply_copy(&mut self, copy: TargetsCopy, now: Instant) -> Vec<SmolStr> {
        if copy.era != self.era {
            return Vec::new();
        }
        let at = copy.outage.and_then(|outage| now.checked_sub(outage));
        self.record_peer_outage(at);
        let settled = self.settle(&copy);
        let (as_of, newest) = copy.revs;
        // Targets known here up to a later revision include the peer's.
        if self.as_of < Some(as_of) {
            let unknown = match copy.is_conclusive() {
                true => None,
                false => grace(self.outage.max(self.peer_outage), now),
            };
            let kept: IndexMap<_, _> = copy.kept.into_iter().collect();
            let until = |name: &str| kept.get(name).map(|left| now + *left).or(unknown);
            self.replace(as_of, copy.list, until, now);
        }
        for name in &copy.rewritten {
            if let Some(entry) = self.targets.get(name) {
                self.departures.learn_rewritten(entry);
            }
        }
        self.newest = self.newest.max(Some(newest));
        settled
    }

    /// Ends the grace period of targets whose removal is final at the sender of a copy.
    fn settle(&mut self, copy: &TargetsCopy) -> Vec<SmolStr> {
        let listed = copy.list.iter().map(|r| &r.info.name);
        let used: IndexSet<_> = listed.chain(copy.kept.iter().map(|(n, _)| n)).collect();
        let is_final =
            |name: &SmolStr, r: &Registration| r.rev <= copy.revs.0 && !used.contains(name);
        let lapsed = self.lapsed.iter();
        let settled = lapsed.filter(|(name, (r, _))| copy.is_conclusive() && is_final(name, r));
        let settled: Vec<_> = settled.map(|(name, _)| name.clone()).collect();
        self.lapsed.retain(|name, (registration, _)| {
            let is_settled = settled.contains(name);
            if is_settled {
                self.departures.record_gone(registration);
            }
            !is_settled
        });
        settled
    }

    /// Whether removed targets are in use for a grace period.
    pub(crate) fn has_lapsed(&self) -> bool {
        !self.lapsed.is_empty()
    }

    /// Applies the changes up to revision `as_of`, in order. Some may have been applied before: the
    /// last change of a target decides. `outage` is the last failed read of the instance that read
    /// them.
    pub(crate) fn apply_changes(
        &mut self,
        as_of: u64,
        changes: &[Change],
        outage: Option<Instant>,
        now: Instant,
    ) {
        let removed = changes.iter().filter(|c| c.info.is_none());
        for change in removed.filter(|_| grace(outage, now).is_none()) {
            let is_older = |(r, _): &(Registration, Instant)| r.rev <= change.rev;
            if self.lapsed.get(&change.name).is_some_and(is_older) {
                let lapsed = self.lapsed.swap_remove(&change.name);
                lapsed
                    .iter()
                    .for_each(|(r, _)| self.departures.record_gone(r));
            }
        }
        if self.as_of >= Some(as_of) {
            return;
        }
        for change in changes {
            self.newest = self.newest.max(Some(change.rev));
            match &change.info {
                // Known, or removed since: the target would be used again until the removal.
                Some(_) if self.as_of >= Some(change.rev) => {}
                Some(info) => {
                    let entry = Registration {
                        rev: change.rev,
                        info: info.clone(),
                    };
                    let before = self.targets.get(&change.name);
                    self.departures.record_leaving(before, &entry);
                    self.departures.record_written(&entry);
                    self.put(entry);
                }
                // Registered again since.
                None if self.is_newer_known(change) => {}
                None => self.remove(&change.name, outage, now),
            }
        }
        self.as_of = Some(as_of);
    }

    /// Whether a registration is known that was made after a change.
    fn is_newer_known(&self, change: &Change) -> bool {
        let known = self.targets.get(&change.name);
        known.is_some_and(|r| r.rev > change.rev)
    }

    /// Inserts or updates one registration.
    pub(crate) fn put(&mut self, registration: Registration) {
        let name = registration.info.name.clone();
        self.departures.admit(&registration);
        self.departures.note(&registration);
        self.lapsed.swap_remove(&name);
        let addr = registration.info.addr;
        self.unregistered.retain(|_, (info, _)| info.addr != addr);
        match self.targets.get(&name) {
            Some(current) if current.rev > registration.rev => {}
            _ => {
                self.targets.insert(name, registration);
            }
        }
    }

    /// Removes a registration; `outage` is the last failed read of the instance that read the
    /// removal.
    pub(crate) fn remove(&mut self, name: &str, outage: Option<Instant>, now: Instant) {
        if let Some(registration) = self.targets.swap_remove(name) {
            self.lapse(registration, grace(outage, now), now);
        }
    }

    fn lapse(&mut self, registration: Registration, until: Option<Instant>, now: Instant) {
        // Records the incarnation, even if the target was added and removed in one batch.
        self.key(&registration.info, now);
        let is_departed = self.departures.of(&registration).is_some();
        if let Some(until) = until.filter(|_| !is_departed) {
            let name = registration.info.name.clone();
            self.lapsed.insert(name, (registration, until));
            return;
        }
        self.departures.record_gone(&registration);
    }

    /// Adds a target that was found at the address of a removed one and has not registered yet.
    /// Returns whether the target is new: a target that still answers after its registration was
    /// removed is shutting down and is not added.
    pub(crate) fn add_unregistered(&mut self, info: TargetInfo, now: Instant) -> bool {
        let name = info.name.clone();
        let is_same = |k: &KeyEntry| k.incarnation == info.incarnation;
        let is_known = self.keys.get(&name).is_some_and(|k| k.iter().any(is_same))
            || self.targets.contains_key(&name)
            || self.unregistered.contains_key(&name);
        if !is_known {
            self.unregistered.insert(name, (info, now));
        }
        !is_known
    }

    /// Registration of a target, by name.
    pub(crate) fn info(&self, name: &str) -> Option<&TargetInfo> {
        let registered = self.targets.get(name).map(|r| &r.info);
        registered.or_else(|| self.unregistered.get(name).map(|(info, _)| info))
    }

    /// Drops unregistered targets whose time to register is over.
    fn expire_unregistered(&mut self, now: Instant) {
        let mut unregistered = std::mem::take(&mut self.unregistered);
        unregistered.retain(|_, (_, since)| self.may_register(*since, now));
        self.unregistered = unregistered;
    }

    /// All registrations, for a peer; `None` when none were read.
    pub(crate) fn copy(&self, now: Instant) -> Option<TargetsCopy> {
        let left = |until: &Instant| until.saturating_duration_since(now);
        let kept = self.lapsed.iter().map(|(n, (_, u))| (n.clone(), left(u)));
        let since = |at: Instant| now.saturating_duration_since(at);
        Some(TargetsCopy {
            era: self.era,
            revs: self.as_of.zip(self.newest)?,
            list: self.targets.values().cloned().collect(),
            departures: self.departures(),
            rewritten: self.departures.rewritten(),
            kept: kept.filter(|(_, left)| !left.is_zero()).collect(),
            outage: self.outage.map(since),
            known: self.known.map_or(Duration::ZERO, since),
        })
    }

    /// Whether a target is in use whose time without a registration is over.
    pub(crate) fn has_expired(&self, now: Instant) -> bool {
        let is_overdue = |since: &Instant| !self.may_register(*since, now);
        self.lapsed.values().any(|(_, until)| *until <= now)
            || self
                .unregistered
                .values()
                .any(|(_, since)| is_overdue(since))
    }

    /// Whether a target that was found at `since` still has time to register.
    fn may_register(&self, since: Instant, now: Instant) -> bool {
        let outage = self.outage.max(self.peer_outage);
        let since = outage.map_or(since, |outage| outage.max(since));
        now.saturating_duration_since(since) < REGISTRATION_TIMEOUT
    }

    /// The targets in use, each with the key of its incarnation and its number of slots. `region`
    /// maps a failure domain to its region.
    pub(crate) fn targets(
        &mut self,
        region: impl Fn(&str) -> SmolStr,
        now: Instant,
    ) -> Vec<(Target, u32)> {
        self.lapsed.retain(|_, (registration, until)| {
            let is_left = *until > now;
            if !is_left {
                self.departures.record_gone(registration);
            }
            is_left
        });
        self.expire_unregistered(now);
        let mut all: Vec<TargetInfo> = Vec::with_capacity(self.targets.len());
        self.kept_out = 0;
        for registration in self.targets.values() {
            let departure = self.departures.of(registration);
            self.kept_out ^= departure.map_or(0, Departure::fingerprint);
            let info = &registration.info;
            match departure {
                Some(departure) if departure.is_gone => {}
                departure => all.push(TargetInfo {
                    leaving: info.leaving || departure.is_some(),
                    ..info.clone()
                }),
            }
        }
        let unregistered = self.unregistered.values().map(|(info, _)| info);
        let lapsed = self.lapsed.values().map(|(r, _)| &r.info);
        all.extend(lapsed.chain(unregistered).cloned());
        for keys in self.keys.values_mut().flatten() {
            keys.unused.get_or_insert(now);
        }
        let target = |info: &TargetInfo, key| Target {
            key,
            name: info.name.clone(),
            incarnation: info.incarnation,
            addr: info.addr,
            domain: info.domain.clone(),
            region: region(&info.domain),
            service: info.service.clone(),
            version: SmolStr::default(),
            leaving: info.leaving,
        };
        let targets = all.iter().map(|info| {
            let key = self.key(info, now);
            (target(info, key), info.slots)
        });
        targets.collect()
    }

    fn key(&mut self, info: &TargetInfo, now: Instant) -> TargetKey {
        let entries = self.keys.entry(info.name.clone()).or_default();
        let same = |k: &&mut KeyEntry| k.incarnation == info.incarnation;
        if let Some(known) = entries.iter_mut().find(same) {
            known.unused = None;
            return known.key;
        }
        let key = self.free_key(now);
        let new = KeyEntry {
            incarnation: info.incarnation,
            key,
            unused: None,
        };
        self.keys.entry(info.name.clone()).or_default().push(new);
        key
    }

    fn free_key(&mut self, now: Instant) -> TargetKey {
        let is_reusable = |k: &KeyEntry| {
            let unused = k.unused.map(|at| now.saturating_duration_since(at));
            unused.is_some_and(|elapsed| elapsed > KEY_REUSE_DELAY)
        };
        for keys in self.keys.values_mut() {
            if let Some(at) = keys.iter().position(is_reusable) {
                return keys.swap_remove(at).key;
            }
        }
        self.next_key += 1;
        TargetKey(self.next_key - 1)
    }
}
