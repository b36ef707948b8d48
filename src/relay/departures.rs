//! Departures of targets, which keep entries of a store that returned from a copy out of use. Pure
//! state, without I/O.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::catalog::Registration;
use crate::ident::digest;

/// Targets whose entries and departures are remembered: more than a large fleet has, with those
/// that leave in the seconds that a copy may be old.
const DEPARTURES_MAX: usize = 1024;

/// Revisions of a target's entries that are remembered: those of the seconds that a copy may be
/// old.
const REVISIONS_MAX: usize = 8;

/// A target that was known to be leaving or gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    pub(crate) name: SmolStr,
    pub(crate) incarnation: u64,
    pub(crate) is_gone: bool,
    /// Revisions of its last entries. Another one, unless it is lower than all, says otherwise.
    pub(crate) revs: Vec<u64>,
}

impl Departure {
    /// A number by which two sets of departures can be compared.
    pub(crate) fn fingerprint(&self) -> u64 {
        digest(&[&self.name]) as u64
    }
}

/// Departures of an instance's targets.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    known: IndexMap<SmolStr, Departure>,
    /// Revisions of each target's last entries, oldest first.
    written: IndexMap<SmolStr, Vec<u64>>,
    /// Targets that have written an entry since the restore.
    rewritten: IndexSet<SmolStr>,
    /// Without a restore, an entry is never older than a departure.
    is_restored: bool,
}

impl Departures {
    /// Records that a target has an entry.
    pub(crate) fn note(&mut self, entry: &Registration) {
        // Removed and added again, so that the target written longest ago is forgotten first.
        let written = self.written.shift_remove(&entry.info.name);
        let mut revs = written.unwrap_or_default();
        revs.retain(|rev| *rev != entry.rev);
        if revs.len() >= REVISIONS_MAX {
            revs.remove(0);
        }
        revs.push(entry.rev);
        if self.written.len() >= DEPARTURES_MAX {
            self.written.shift_remove_index(0);
        }
        let name = entry.info.name.clone();
        self.written.insert(name, revs);
    }

    /// Forgets the revisions of a target's entries, none of which the copy has.
    pub(crate) fn forget(&mut self, name: &str) {
        self.written.shift_remove(name);
    }

    /// Records a departure. What is known of an earlier one of the same start still counts.
    fn record(&mut self, mut departure: Departure) {
        let earlier = self.known.shift_remove(&departure.name);
        if let Some(earlier) = earlier.filter(|d| d.incarnation == departure.incarnation) {
            departure.is_gone |= earlier.is_gone;
            let missing = earlier.revs.iter().filter(|r| !departure.revs.contains(r));
            let missing: Vec<_> = missing.copied().collect();
            departure.revs.extend(missing);
        }
        departure.revs.truncate(REVISIONS_MAX);
        self.rewritten.shift_remove(&departure.name);
        if self.known.len() >= DEPARTURES_MAX {
            self.known.shift_remove_index(0);
        }
        self.known.insert(departure.name.clone(), departure);
    }

    /// Records that a target has written an entry since the restore.
    fn record_rewritten(&mut self, name: &SmolStr) {
        if self.rewritten.len() >= DEPARTURES_MAX {
            self.rewritten.shift_remove_index(0);
        }
        self.rewritten.insert(name.clone());
    }

    /// Records that a target is leaving, if its entry says so and the one before did not.
    pub(crate) fn record_leaving(&mut self, before: Option<&Registration>, entry: &Registration) {
        let info = &entry.info;
        let is_same = |b: &Registration| b.info.incarnation == info.incarnation && b.info.leaving;
        let is_known = before.is_some_and(is_same) && self.known.contains_key(&info.name);
        if info.leaving && !is_known {
            self.note(entry);
            self.record_departure(entry, false);
        }
    }

    /// Records that a target is gone, by its last entry, unless the copy never had one.
    pub(crate) fn record_gone(&mut self, last: &Registration) {
        self.record_departure(last, true);
    }

    fn record_departure(&mut self, last: &Registration, is_gone: bool) {
        let name = &last.info.name;
        let revs = self.written.get(name).cloned();
        let departure = revs.map(|revs| Departure {
            name: name.clone(),
            incarnation: last.info.incarnation,
            is_gone,
            revs,
        });
        departure.into_iter().for_each(|d| self.record(d));
    }

    /// Records that an entry was written after all that could be in the copy.
    pub(crate) fn record_written(&mut self, entry: &Registration) {
        let name = &entry.info.name;
        match self.known.get_mut(name) {
            Some(departure) if entry.info.leaving => departure.is_gone = false,
            _ => {
                self.known.shift_remove(name);
                if self.is_restored {
                    self.record_rewritten(name);
                }
            }
        }
    }

    /// Drops the departures of targets that the first list since the restore lacks: any later entry
    /// of theirs is new.
    pub(crate) fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.known.retain(|name, _| is_listed(name));
    }

    /// Departed targets, and others, that are known to have written an entry since the restore.
    pub(crate) fn rewritten(&self) -> Vec<SmolStr> {
        self.rewritten.iter().cloned().collect()
    }

    /// Learns that a target with an entry has written it since the restore.
    pub(crate) fn learn_rewritten(&mut self, entry: &Registration) {
        if !entry.info.leaving {
            self.known.shift_remove(&entry.info.name);
            self.record_rewritten(&entry.info.name);
        }
    }

    /// Drops the departure of a target whose entry says otherwise.
    pub(crate) fn admit(&mut self, entry: &Registration) {
        let known = self.known.get(&entry.info.name);
        if known.is_some_and(|d| !entry.info.leaving && !covers(d, entry)) {
            self.known.shift_remove(&entry.info.name);
        }
    }

    /// Lets the departures keep out older entries from now on.
    pub(crate) fn restore(&mut self) {
        self.is_restored = true;
        self.rewritten.clear();
    }

    /// The departure that keeps a target out, or makes it leave, against its entry.
    pub(crate) fn of(&self, entry: &Registration) -> Option<&Departure> {
        let known = self.known.get(&entry.info.name);
        known.filter(|d| self.is_restored && covers(d, entry) && (d.is_gone || !entry.info.leaving))
    }

    /// Learns a departure that keeps a target out at another instance, unless the target's entry
    /// says otherwise here.
    pub(crate) fn learn(&mut self, departure: Departure, entry: Option<&Registration>) {
        let is_written = self.rewritten.contains(&departure.name)
            || entry.is_some_and(|entry| !covers(&departure, entry));
        if !is_written {
            self.is_restored = true;
            self.record(departure);
        }
    }
}

/// Whether an entry may be from before a departure.
fn covers(departure: &Departure, entry: &Registration) -> bool {
    let is_older = departure.revs.iter().all(|rev| entry.rev < *rev);
    let is_known = is_older || departure.revs.contains(&entry.rev);
    entry.info.incarnation <= departure.incarnation && is_known
}
