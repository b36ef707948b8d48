//! What the platform says of targets and rules: an aggregate without input or output.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::rules::Rules;
use crate::fleet::Target;
use crate::ident::TargetKey;

/// How long a target that is missing after the platform was away is still used. Targets register
/// again within two seconds of its return; the rest is for the way of that news.
const RETURN_GRACE: Duration = Duration::from_millis(2500);

/// Time within which a target registers after its start, or after the platform's return.
const REGISTERS_WITHIN: Duration = Duration::from_secs(4);

/// How long the key of a target that is gone is kept from others, so that no late word of the
/// one counts for the other.
const KEY_REST: Duration = Duration::from_secs(600);

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name.
    pub name: SmolStr,
    /// Drawn or taken at its start, to tell two lives under one name apart.
    pub incarnation: u64,
    /// Service.
    pub service: SmolStr,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Version of its software.
    pub version: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One registration and the platform's revision of it, as instances pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Revision.
    pub rev: u64,
    /// The target.
    pub listed: Listed,
}

/// A registration that was made, changed or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Name of the target.
    pub(crate) name: SmolStr,
    /// Revision.
    pub(crate) rev: u64,
    /// The registration; none when it was removed, or names no target any more.
    pub(crate) listed: Option<Listed>,
}

#[derive(Debug)]
struct Key {
    incarnation: u64,
    key: TargetKey,
    gone: Option<Instant>,
}

/// The rules and targets in force at one instance.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    rules: Option<Arc<Rules>>,
    targets: IndexMap<SmolStr, Registration>,
    lapsed: IndexMap<SmolStr, (Registration, Instant)>,
    adopted: IndexMap<SmolStr, (Listed, Instant)>,
    keys: IndexMap<SmolStr, Vec<Key>>,
    next: u32,
    /// Platform revision up to which the targets are known.
    pub(crate) as_of: Option<u64>,
    /// Highest platform revision of what is known of the targets: unlike [`Self::as_of`], it stays
    /// while others write other objects.
    newest: Option<u64>,
    away: Option<Instant>,
}

impl Catalog {
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

    /// Highest platform revision of what is known of the targets.
    pub(crate) fn newest(&self) -> Option<u64> {
        self.newest
    }

    /// Takes rules unless newer ones are in force.
    pub(crate) fn take_rules(&mut self, rules: Rules) -> bool {
        let newer = rules.version > self.version();
        if newer {
            self.rules = Some(Arc::new(rules));
        }
        newer
    }

    /// The platform could not be read.
    pub(crate) fn platform_away(&mut self, now: Instant) {
        self.away = self.away.max(Some(now));
    }

    /// When the platform was last found away.
    pub(crate) fn last_away(&self) -> Option<Instant> {
        self.away
    }

    /// Takes a whole list.
    pub(crate) fn take_list(&mut self, as_of: u64, list: Vec<Registration>, now: Instant) {
        if self.as_of.is_some_and(|known| known > as_of) {
            return;
        }
        let mut old = std::mem::take(&mut self.targets);
        for registration in list {
            old.swap_remove(&registration.listed.name);
            self.put(registration);
        }
        for (_, registration) in old {
            self.lapse(registration, now);
        }
        self.as_of = Some(as_of);
        let newest = self.targets.values().map(|r| r.rev).max();
        self.newest = self.newest.max(newest).max(Some(0));
    }

    /// Takes what a peer knows as a whole, with the revision of the newest of it.
    pub(crate) fn take_copy(
        &mut self,
        (as_of, newest): (u64, u64),
        list: Vec<Registration>,
        now: Instant,
    ) {
        // What is known here up to a later revision includes theirs.
        if self.as_of < Some(as_of) {
            self.take_list(as_of, list, now);
        }
        self.newest = self.newest.max(Some(newest));
    }

    /// Takes the changes up to revision `as_of`, in their order, from one at which this is known.
    /// Some of them may be known already: that the last ones hold is what counts.
    pub(crate) fn take_changes(&mut self, as_of: u64, changes: &[Change], now: Instant) {
        if self.as_of >= Some(as_of) {
            return;
        }
        for change in changes {
            self.newest = self.newest.max(Some(change.rev));
            match &change.listed {
                Some(listed) => self.put(Registration {
                    rev: change.rev,
                    listed: listed.clone(),
                }),
                None => self.remove(&change.name, now),
            }
        }
        self.as_of = Some(as_of);
    }

    /// Takes one registration.
    pub(crate) fn put(&mut self, registration: Registration) {
        let name = registration.listed.name.clone();
        self.lapsed.swap_remove(&name);
        let addr = registration.listed.addr;
        self.adopted.retain(|_, (listed, _)| listed.addr != addr);
        match self.targets.get(&name) {
            Some(held) if held.rev > registration.rev => {}
            _ => {
                self.targets.insert(name, registration);
            }
        }
    }

    /// A registration was removed.
    pub(crate) fn remove(&mut self, name: &str, now: Instant) {
        if let Some(registration) = self.targets.swap_remove(name) {
            self.lapse(registration, now);
        }
    }

    fn lapse(&mut self, registration: Registration, now: Instant) {
        // Its life is remembered, also when it came and went in one batch.
        self.key(&registration.listed, now);
        let returned = |away: Instant| now.saturating_duration_since(away) < RETURN_GRACE;
        if self.away.is_some_and(returned) {
            let name = registration.listed.name.clone();
            self.lapsed.insert(name, (registration, now + RETURN_GRACE));
        }
    }

    /// Takes a target that was found at the address of one that is gone, before it has registered.
    /// Returns whether it is new: one whose registration was removed leaves, though it answers.
    pub(crate) fn adopt(&mut self, listed: Listed, now: Instant) -> bool {
        let name = listed.name.clone();
        let life = |k: &Key| k.incarnation == listed.incarnation;
        let known = self.keys.get(&name).is_some_and(|k| k.iter().any(life))
            || self.targets.contains_key(&name)
            || self.adopted.contains_key(&name);
        if !known {
            self.adopted.insert(name, (listed, now));
        }
        !known
    }

    /// The registration of a name.
    pub(crate) fn listed(&self, name: &str) -> Option<&Listed> {
        let registered = self.targets.get(name).map(|r| &r.listed);
        registered.or_else(|| self.adopted.get(name).map(|(listed, _)| listed))
    }

    /// Drops adopted targets that should have registered by now.
    fn disown(&mut self, now: Instant) {
        let mut adopted = std::mem::take(&mut self.adopted);
        adopted.retain(|_, (_, since)| self.may_wait(*since, now));
        self.adopted = adopted;
    }

    /// Registrations to pass on.
    pub(crate) fn registrations(&self) -> Vec<Registration> {
        self.targets.values().cloned().collect()
    }

    /// Whether a target is used whose time without a registration is over.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let late = |since: &Instant| !self.may_wait(*since, now);
        self.lapsed.values().any(|(_, until)| *until <= now)
            || self.adopted.values().any(|(_, since)| late(since))
    }

    /// Whether a target that was found at `since` may still register.
    fn may_wait(&self, since: Instant, now: Instant) -> bool {
        let since = self.away.map_or(since, |away| away.max(since));
        now.saturating_duration_since(since) < REGISTERS_WITHIN
    }

    /// The targets to use, with the key of each life. `region` tells the region of a domain.
    pub(crate) fn targets(
        &mut self,
        region: impl Fn(&str) -> SmolStr,
        now: Instant,
    ) -> Vec<(Target, u32)> {
        self.lapsed.retain(|_, (_, until)| *until > now);
        self.disown(now);
        let adopted = self.adopted.values().map(|(listed, _)| listed);
        let lapsed = self.lapsed.values().map(|(r, _)| &r.listed);
        let held = self.targets.values().map(|r| &r.listed);
        let all: Vec<Listed> = held.chain(lapsed).chain(adopted).cloned().collect();
        for keys in self.keys.values_mut().flatten() {
            keys.gone.get_or_insert(now);
        }
        let target = |listed: &Listed, key| Target {
            key,
            name: listed.name.clone(),
            addr: listed.addr,
            domain: listed.domain.clone(),
            region: region(&listed.domain),
            service: listed.service.clone(),
            version: SmolStr::default(),
            leaving: listed.leaving,
        };
        let targets = all.iter().map(|listed| {
            let key = self.key(listed, now);
            (target(listed, key), listed.slots)
        });
        targets.collect()
    }

    fn key(&mut self, listed: &Listed, now: Instant) -> TargetKey {
        let mine = self.keys.entry(listed.name.clone()).or_default();
        let same = |k: &&mut Key| k.incarnation == listed.incarnation;
        if let Some(known) = mine.iter_mut().find(same) {
            known.gone = None;
            return known.key;
        }
        let key = self.free_key(now);
        let new = Key {
            incarnation: listed.incarnation,
            key,
            gone: None,
        };
        self.keys.entry(listed.name.clone()).or_default().push(new);
        key
    }

    fn free_key(&mut self, now: Instant) -> TargetKey {
        let rested = |k: &Key| {
            let gone = k.gone.map(|at| now.saturating_duration_since(at));
            gone.is_some_and(|age| age > KEY_REST)
        };
        for keys in self.keys.values_mut() {
            if let Some(at) = keys.iter().position(rested) {
                return keys.swap_remove(at).key;
            }
        }
        self.next += 1;
        TargetKey(self.next - 1)
    }
}
