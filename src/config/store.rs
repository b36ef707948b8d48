//! Stores the configuration in force. The revision of an object never decreases, whatever the
//! order in which changes, listings and peers' copies arrive.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::model::{Revised, View};

/// Object kinds that make up the configuration.
pub const KINDS: [&str; 3] = ["service", "account", "move"];

/// Tombstones retained per kind after a full listing covers them.
const TOMBSTONES: usize = 1024;

/// One object at one revision, as instances exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Object kind.
    pub kind: SmolStr,
    /// Object name.
    pub name: SmolStr,
    /// Platform revision.
    pub rev: u64,
    /// JSON text; `None` for a tombstone.
    pub value: Option<Arc<str>>,
}

/// The revision of an object that an instance has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectRevision {
    /// Object kind.
    pub kind: SmolStr,
    /// Object name.
    pub name: SmolStr,
    /// Platform revision.
    pub rev: u64,
}

/// A digest by which two instances compare their configurations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Highest revision applied.
    pub rev: u64,
    /// Digest over all live objects and their revisions, independent of their order.
    pub digest: u128,
}

#[derive(Debug, Default)]
struct State {
    objects: IndexMap<(SmolStr, SmolStr), Slot>,
    listed_revs: IndexMap<SmolStr, u64>,
    summary: Summary,
    unreadable: u64,
    complete: bool,
}

#[derive(Debug)]
struct Slot {
    rev: u64,
    value: Option<Arc<str>>,
}

/// Holds the view in force and notifies subscribers of changes.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    view: watch::Sender<Arc<View>>,
}

impl Store {
    /// An empty view at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            view: watch::Sender::new(Arc::default()),
        }
    }

    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Subscribes to changes of the view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Applies one object unless the same or a newer revision is already stored; `None` deletes it.
    /// Returns whether anything changed.
    pub fn apply(&self, kind: &str, name: &str, rev: u64, value: Option<&Value>) -> bool {
        let entry = Entry {
            kind: kind.into(),
            name: name.into(),
            rev,
            value: value.map(|v| v.to_string().into()),
        };
        self.apply_all(std::slice::from_ref(&entry)) > 0
    }

    /// Applies several objects as one change of the view. Returns how many of them were newer.
    pub fn apply_all(&self, entries: &[Entry]) -> usize {
        let mut state = self.state.lock();
        let newer: Vec<_> = entries.iter().filter(|e| state.accept(e)).collect();
        if newer.is_empty() {
            return 0;
        }
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            for entry in &newer {
                state.unreadable += u64::from(!put(view, entry));
            }
            view.rev = state.summary.rev;
        });
        newer.len()
    }

    /// Applies a complete listing of `kind` as of revision `at`: older objects that are not in it
    /// have been deleted. Returns how many objects changed.
    pub fn apply_listing(&self, kind: &str, at: u64, entries: &[Entry]) -> usize {
        let deleted = self.state.lock().missing(kind, at, entries);
        let count = self.apply_all(entries) + self.apply_all(&deleted);
        self.state.lock().record_listing(kind, at);
        count
    }

    /// Whether every kind has been listed completely at least once, here or at an instance with
    /// the same summary.
    #[must_use]
    pub fn complete(&self) -> bool {
        let state = self.state.lock();
        state.complete
            || KINDS
                .iter()
                .all(|kind| state.listed_revs.contains_key(*kind))
    }

    /// Marks the configuration as complete, because a complete peer has the same summary.
    pub fn mark_complete(&self) {
        self.state.lock().complete = true;
    }

    /// The digest that two instances compare before they exchange objects.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.state.lock().summary
    }

    /// All objects and tombstones with their revisions.
    #[must_use]
    pub fn held(&self) -> Vec<ObjectRevision> {
        let state = self.state.lock();
        let held = |((kind, name), slot): (&(SmolStr, SmolStr), &Slot)| ObjectRevision {
            kind: kind.clone(),
            name: name.clone(),
            rev: slot.rev,
        };
        state.objects.iter().map(held).collect()
    }

    /// Objects and tombstones that are newer than those in `have`.
    #[must_use]
    pub fn newer_than(&self, have: &[ObjectRevision]) -> Vec<Entry> {
        let state = self.state.lock();
        let have: IndexMap<_, _> = have
            .iter()
            .map(|h| ((h.kind.as_str(), h.name.as_str()), h.rev))
            .collect();
        let known = |kind: &str, name: &str| have.get(&(kind, name)).copied().unwrap_or(0);
        state
            .objects
            .iter()
            .filter(|((kind, name), slot)| slot.rev > known(kind, name))
            .map(|((kind, name), slot)| Entry {
                kind: kind.clone(),
                name: name.clone(),
                rev: slot.rev,
                value: slot.value.clone(),
            })
            .collect()
    }

    /// Number of revisions that could not be decoded; the previous value stays in force.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.state.lock().unreadable
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    fn accept(&mut self, entry: &Entry) -> bool {
        let id = (entry.kind.clone(), entry.name.clone());
        let listed_rev = self.listed_revs.get(&entry.kind).copied().unwrap_or(0);
        match self.objects.get(&id) {
            Some(slot) if slot.rev >= entry.rev => return false,
            None if entry.rev <= listed_rev || !KINDS.contains(&entry.kind.as_str()) => {
                return false;
            }
            Some(slot) => self.summary.digest ^= object_digest(&entry.kind, &entry.name, slot),
            None => {}
        }
        self.summary.rev = self.summary.rev.max(entry.rev);
        let slot = Slot {
            rev: entry.rev,
            value: entry.value.clone(),
        };
        self.summary.digest ^= object_digest(&entry.kind, &entry.name, &slot);
        self.objects.insert(id, slot);
        true
    }

    fn missing(&self, kind: &str, at: u64, listed: &[Entry]) -> Vec<Entry> {
        let listed: std::collections::HashSet<_> = listed.iter().map(|e| e.name.as_str()).collect();
        let deleted = |((k, name), slot): &(&(SmolStr, SmolStr), &Slot)| {
            *k == kind && slot.rev < at && slot.value.is_some() && !listed.contains(name.as_str())
        };
        self.objects
            .iter()
            .filter(deleted)
            .map(|((kind, name), _)| Entry {
                kind: kind.clone(),
                name: name.clone(),
                rev: at,
                value: None,
            })
            .collect()
    }

    /// Records a complete listing. An unknown object at or below its revision has been deleted, so
    /// the oldest tombstones can be dropped.
    fn record_listing(&mut self, kind: &str, at: u64) {
        let listed_rev = self.listed_revs.entry(kind.into()).or_default();
        *listed_rev = at.max(*listed_rev);
        let mut dead: Vec<_> = self
            .objects
            .iter()
            .filter(|((k, _), slot)| k == kind && slot.value.is_none() && slot.rev <= at)
            .map(|((_, name), slot)| (slot.rev, name.clone()))
            .collect();
        dead.sort_unstable();
        let excess = dead.len().saturating_sub(TOMBSTONES);
        for (_, name) in dead.into_iter().take(excess) {
            self.objects.swap_remove(&(SmolStr::from(kind), name));
        }
    }
}

/// Puts an object into the view; returns `false` if its value cannot be decoded.
fn put(view: &mut View, entry: &Entry) -> bool {
    match entry.kind.as_str() {
        "service" => put_object(&mut view.services, entry),
        "move" => put_object(&mut view.moves, entry),
        _ => put_account(view, entry),
    }
}

/// Updates an account and the key index. Scans all accounts only when an account drops a key.
fn put_account(view: &mut View, entry: &Entry) -> bool {
    let name = &entry.name;
    let key = |view: &View| Some(view.accounts.get(name)?.value.key_sha256.clone());
    let old = key(view);
    let done = put_object(&mut view.accounts, entry);
    let new = key(view);
    match old {
        old if old == new => return done,
        Some(old) if view.keys.get(&old) == Some(name) => reassign_key(view, &old),
        _ => {}
    }
    if let Some(new) = new {
        view.keys.insert(new, name.clone());
    }
    done
}

/// Reassigns a key to another account that uses it, if any; otherwise removes it.
fn reassign_key(view: &mut View, key: &SmolStr) {
    let mut accounts = view.accounts.iter();
    let other = accounts.find(|(_, a)| a.value.key_sha256 == *key);
    match other.map(|(name, _)| name.clone()) {
        Some(name) => view.keys.insert(key.clone(), name),
        None => view.keys.swap_remove(key),
    };
}

fn put_object<T: DeserializeOwned>(map: &mut IndexMap<SmolStr, Revised<T>>, entry: &Entry) -> bool {
    let Some(text) = &entry.value else {
        map.shift_remove(&entry.name);
        return true;
    };
    let Ok(value) = serde_json::from_str(text) else {
        return false;
    };
    let revised = Revised {
        rev: entry.rev,
        value: Arc::new(value),
    };
    map.insert(entry.name.clone(), revised);
    true
}

/// An object's part of the digest. Tombstones contribute nothing, because instances drop them at
/// different times.
fn object_digest(kind: &str, name: &str, slot: &Slot) -> u128 {
    match slot.value {
        Some(_) => crate::ident::digest(&[kind, name, &slot.rev.to_string()]),
        None => 0,
    }
}
