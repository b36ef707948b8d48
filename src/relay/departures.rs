//! Departures of targets, which keep entries of a store that returned from a copy out of use. Pure
//! state, without I/O.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::catalog::Registration;
use crate::ident::digest;

/// Departures that are remembered: more than a large fleet's targets leave in the seconds that a
/// copy may be old.
const DEPARTURES_MAX: usize = 1024;

/// A target that was known to be leaving or gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    pub(crate) name: SmolStr,
    pub(crate) incarnation: u64,
    pub(crate) is_gone: bool,
    /// Highest revision of its entries from before the departure: a later one says otherwise.
    pub(crate) rev: u64,
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
    /// Departed targets that have written an entry since the restore.
    rewritten: IndexSet<SmolStr>,
    /// Without a restore, an entry is never older than a departure.
    is_restored: bool,
}

impl Departures {
    /// Records a departure. What is known of an earlier one of the same start still counts.
    fn record(&mut self, departure: Departure) {
        let earlier = self.known.shift_remove(&departure.name);
        let earlier = earlier.filter(|d| d.incarnation == departure.incarnation);
        let is_gone = departure.is_gone || earlier.as_ref().is_some_and(|d| d.is_gone);
        let rev = earlier.map_or(departure.rev, |d| d.rev.max(departure.rev));
        if self.known.len() >= DEPARTURES_MAX {
            self.known.shift_remove_index(0);
        }
        self.known.insert(
            departure.name.clone(),
            Departure {
                is_gone,
                rev,
                ..departure
            },
        );
    }

    /// Records that a target is leaving, by its entry and the one before.
    pub(crate) fn record_leaving(&mut self, before: Option<&Registration>, entry: &Registration) {
        let info = &entry.info;
        let before = before.filter(|b| b.info.incarnation == info.incarnation);
        let is_known = before.is_some_and(|b| b.info.leaving);
        if !info.leaving || is_known && self.known.contains_key(&info.name) {
            return;
        }
        let ready = before.filter(|b| !b.info.leaving).map(|b| b.rev);
        self.record(Departure {
            name: info.name.clone(),
            incarnation: info.incarnation,
            is_gone: false,
            rev: ready.unwrap_or(entry.rev.saturating_sub(1)),
        });
    }

    /// Records that a target is gone, by its last entry.
    pub(crate) fn record_gone(&mut self, last: &Registration) {
        self.record(Departure {
            name: last.info.name.clone(),
            incarnation: last.info.incarnation,
            is_gone: true,
            rev: last.rev,
        });
    }

    /// Records that an entry was written after all that could be in the copy.
    pub(crate) fn record_written(&mut self, entry: &Registration) {
        let name = &entry.info.name;
        match self.known.get_mut(name) {
            Some(departure) if entry.info.leaving => departure.is_gone = false,
            Some(_) => {
                self.known.shift_remove(name);
                self.rewritten
                    .extend(self.is_restored.then(|| name.clone()));
            }
            None => {}
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
    entry.info.incarnation <= departure.incarnation && entry.rev <= departure.rev
}
