//! The view in force, which never goes backwards.

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

/// Tombstones kept for each kind once a full listing covers them.
const TOMBSTONES: usize = 1024;

/// One object at one revision, as instances pass it on.
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

/// An object's name and the revision that an instance has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Object kind.
    pub kind: SmolStr,
    /// Object name.
    pub name: SmolStr,
    /// Platform revision.
    pub rev: u64,
}

/// A short comparison of two instances' configurations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Highest revision applied.
    pub rev: u64,
    /// Digest over all live objects and their revisions, independent of their order.
    pub digest: u128,
}

#[derive(Debug, Default)]
struct Ledger {
    objects: IndexMap<(SmolStr, SmolStr), Slot>,
    floors: IndexMap<SmolStr, u64>,
    summary: Summary,
    unreadable: u64,
    complete: bool,
}

#[derive(Debug)]
struct Slot {
    rev: u64,
    value: Option<Arc<str>>,
}

/// Holds the view in force and tells its readers of changes.
#[derive(Debug)]
pub struct Store {
    ledger: Mutex<Ledger>,
    view: watch::Sender<Arc<View>>,
}

impl Store {
    /// An empty view at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            ledger: Mutex::default(),
            view: watch::Sender::new(Arc::default()),
        }
    }

    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Follows the view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Applies one object unless the same or a newer revision of it is known; `None` deletes it.
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

    /// Applies several objects as one change of the view. Returns how many were new.
    pub fn apply_all(&self, entries: &[Entry]) -> usize {
        let mut ledger = self.ledger.lock();
        let fresh: Vec<_> = entries.iter().filter(|e| ledger.accept(e)).collect();
        if fresh.is_empty() {
            return 0;
        }
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            for entry in &fresh {
                ledger.unreadable += u64::from(!put(view, entry));
            }
            view.rev = ledger.summary.rev;
        });
        fresh.len()
    }

    /// Applies a complete listing of `kind` as of revision `at`: what it lacks was deleted by
    /// then. Returns how many objects changed.
    pub fn apply_listing(&self, kind: &str, at: u64, entries: &[Entry]) -> usize {
        let gone = self.ledger.lock().missing(kind, at, entries);
        let count = self.apply_all(entries) + self.apply_all(&gone);
        self.ledger.lock().raise_floor(kind, at);
        count
    }

    /// Whether every kind was listed as a whole at least once, here or at an instance that holds
    /// the same.
    #[must_use]
    pub fn complete(&self) -> bool {
        let ledger = self.ledger.lock();
        ledger.complete || KINDS.iter().all(|kind| ledger.floors.contains_key(*kind))
    }

    /// Takes the word of an instance that is complete and holds the same.
    pub fn mark_complete(&self) {
        self.ledger.lock().complete = true;
    }

    /// What two instances compare first.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.ledger.lock().summary
    }

    /// All objects and tombstones with their revisions.
    #[must_use]
    pub fn held(&self) -> Vec<Held> {
        let ledger = self.ledger.lock();
        let held = |((kind, name), slot): (&(SmolStr, SmolStr), &Slot)| Held {
            kind: kind.clone(),
            name: name.clone(),
            rev: slot.rev,
        };
        ledger.objects.iter().map(held).collect()
    }

    /// What an instance that holds `have` lacks, tombstones included.
    #[must_use]
    pub fn newer_than(&self, have: &[Held]) -> Vec<Entry> {
        let ledger = self.ledger.lock();
        let have: IndexMap<_, _> = have
            .iter()
            .map(|h| ((h.kind.as_str(), h.name.as_str()), h.rev))
            .collect();
        let known = |kind: &str, name: &str| have.get(&(kind, name)).copied().unwrap_or(0);
        ledger
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

    /// Objects that could not be read and whose former value stays in force.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.ledger.lock().unreadable
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl Ledger {
    fn accept(&mut self, entry: &Entry) -> bool {
        let id = (entry.kind.clone(), entry.name.clone());
        let floor = self.floors.get(&entry.kind).copied().unwrap_or(0);
        match self.objects.get(&id) {
            Some(slot) if slot.rev >= entry.rev => return false,
            None if entry.rev <= floor || !KINDS.contains(&entry.kind.as_str()) => return false,
            Some(slot) => self.summary.digest ^= mark(&entry.kind, &entry.name, slot),
            None => {}
        }
        self.summary.rev = self.summary.rev.max(entry.rev);
        let slot = Slot {
            rev: entry.rev,
            value: entry.value.clone(),
        };
        self.summary.digest ^= mark(&entry.kind, &entry.name, &slot);
        self.objects.insert(id, slot);
        true
    }

    fn missing(&self, kind: &str, at: u64, listed: &[Entry]) -> Vec<Entry> {
        let listed: std::collections::HashSet<_> = listed.iter().map(|e| e.name.as_str()).collect();
        let gone = |((k, name), slot): &(&(SmolStr, SmolStr), &Slot)| {
            *k == kind && slot.rev < at && slot.value.is_some() && !listed.contains(name.as_str())
        };
        self.objects
            .iter()
            .filter(gone)
            .map(|((kind, name), _)| Entry {
                kind: kind.clone(),
                name: name.clone(),
                rev: at,
                value: None,
            })
            .collect()
    }

    /// Objects unknown below the floor were deleted, so their tombstones may go.
    fn raise_floor(&mut self, kind: &str, at: u64) {
        let floor = self.floors.entry(kind.into()).or_default();
        *floor = at.max(*floor);
        let mut dead: Vec<_> = self
            .objects
            .iter()
            .filter(|((k, _), slot)| k == kind && slot.value.is_none() && slot.rev <= at)
            .map(|((_, name), slot)| (slot.rev, name.clone()))
            .collect();
        dead.sort_unstable();
        let spare = dead.len().saturating_sub(TOMBSTONES);
        for (_, name) in dead.into_iter().take(spare) {
            self.objects.swap_remove(&(SmolStr::from(kind), name));
        }
    }
}

/// Puts an object into the view; `false` when its value cannot be read.
fn put(view: &mut View, entry: &Entry) -> bool {
    match entry.kind.as_str() {
        "service" => put_in(&mut view.services, entry),
        "move" => put_in(&mut view.moves, entry),
        _ => put_account(view, entry),
    }
}

/// Keeps the keys in step without a look at all accounts, unless a key is given up.
fn put_account(view: &mut View, entry: &Entry) -> bool {
    let name = &entry.name;
    let key = |view: &View| Some(view.accounts.get(name)?.value.key_sha256.clone());
    let old = key(view);
    let done = put_in(&mut view.accounts, entry);
    let new = key(view);
    match old {
        old if old == new => return done,
        Some(old) if view.keys.get(&old) == Some(name) => release(view, &old),
        _ => {}
    }
    if let Some(new) = new {
        view.keys.insert(new, name.clone());
    }
    done
}

/// Gives a key to another account that has it, if there is one.
fn release(view: &mut View, key: &SmolStr) {
    let mut accounts = view.accounts.iter();
    let other = accounts.find(|(_, a)| a.value.key_sha256 == *key);
    match other.map(|(name, _)| name.clone()) {
        Some(name) => view.keys.insert(key.clone(), name),
        None => view.keys.swap_remove(key),
    };
}

fn put_in<T: DeserializeOwned>(map: &mut IndexMap<SmolStr, Revised<T>>, entry: &Entry) -> bool {
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

/// Tombstones weigh nothing, since instances drop them at different times.
fn mark(kind: &str, name: &str, slot: &Slot) -> u128 {
    match slot.value {
        Some(_) => crate::ident::digest(&[kind, name, &slot.rev.to_string()]),
        None => 0,
    }
}
