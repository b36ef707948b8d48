//! Entries of lists and watches, decoded one by one, and a report of those that can't be decoded.

use std::fmt::Display;

use indexmap::IndexSet;
use parking_lot::Mutex;
use serde_json::Value;
use slog::{Discard, Logger, o, warn};
use smol_str::SmolStr;

use super::{Changes, Event, List, Object};
use crate::json::{Listing, SplitError, decode, field};

/// Maximum number of reported entries that are remembered.
const MAX_REMEMBERED: usize = 1000;

/// Maximum length of a cause and of a name in a report, in characters.
const MAX_TEXT: usize = 200;

/// An entry that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Name, if it can be decoded.
    pub name: Option<SmolStr>,
    /// Revision, if it can be decoded.
    pub rev: Option<u64>,
    /// Why the entry can't be decoded.
    pub cause: String,
}

/// How an API represents the objects of a list or of changes.
#[derive(Clone, Copy)]
pub struct EntryFormat {
    /// Name of the field with the entries.
    pub entries: &'static str,
    /// Name of the field with the revision up to which the response is complete.
    pub rev: &'static str,
    /// The object within an entry; `None` when there is none.
    pub object: fn(entry: &[u8]) -> Option<&[u8]>,
    /// The part of an object with its name and revision.
    pub identity: fn(object: &[u8]) -> Option<&[u8]>,
    /// Name of the field with an object's revision.
    pub object_rev: &'static str,
}

impl std::fmt::Debug for EntryFormat {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EntryFormat")
    }
}

/// The decoded entries of a response.
struct Entries<T> {
    /// Revision of the response; `None` when it follows an unclosed entry.
    rev: Option<u64>,
    items: Vec<T>,
    unreadable: Vec<Unreadable>,
    /// Number of all entries.
    count: usize,
    /// Whether the last entry is unclosed, so that those after it are missing.
    is_cut: bool,
}

impl EntryFormat {
    /// Decodes a list, and returns how many entries it has. An entry that can't be decoded becomes
    /// an object with the value null, or is left out when its name can't be decoded either.
    ///
    /// # Errors
    /// When the response as a whole has another format, or an unclosed entry has no name from which
    /// the list could be continued.
    pub fn read_list(
        self,
        kind: &str,
        body: &[u8],
        read: impl Fn(&[u8]) -> Result<Object, String>,
    ) -> Result<(List, usize), String> {
        let replace = |name, rev, _: &[u8]| Object {
            kind: kind.into(),
            name,
            rev,
            value: Value::Null,
            status: None,
        };
        let found = self.read(body, read, replace)?;
        let last = found.unreadable.last();
        if found.is_cut && last.is_none_or(|u| u.name.is_none()) {
            return Err("an unclosed entry has no name".into());
        }
        let list = List {
            rev: found.rev.unwrap_or_default(),
            items: found.items,
            unreadable: found.unreadable,
            is_cut: found.is_cut,
        };
        Ok((list, found.count))
    }

    /// Decodes changes, like [`Self::read_list`]. `is_removal` tells whether an entry that can't be
    /// decoded is the removal of its object.
    ///
    /// # Errors
    /// When the response as a whole has another format.
    pub fn read_changes(
        self,
        kind: &str,
        body: &[u8],
        read: impl Fn(&[u8]) -> Result<Event, String>,
        is_removal: impl Fn(&[u8]) -> bool,
    ) -> Result<Changes, String> {
        let replace = |name, rev, entry: &[u8]| Event {
            kind: kind.into(),
            name,
            rev,
            value: Some(Value::Null).filter(|_| !is_removal(entry)),
        };
        let found = self.read(body, read, replace)?;
        let last = found.unreadable.last().filter(|u| u.name.is_some());
        let rev = match found.is_cut {
            true => last.and_then(|u| u.rev),
            false => found.rev,
        };
        Ok(Changes {
            rev: rev.unwrap_or_default(),
            events: found.items,
            unreadable: found.unreadable,
            is_cut: found.is_cut,
        })
    }

    fn read<T>(
        self,
        body: &[u8],
        read: impl Fn(&[u8]) -> Result<T, String>,
        replace: impl Fn(SmolStr, u64, &[u8]) -> T,
    ) -> Result<Entries<T>, String> {
        let text = |e: SplitError| e.to_string();
        let listing = Listing::split(body, self.entries).map_err(text)?;
        let is_cut = listing.unclosed.is_some();
        let rev: Option<u64> = match listing.field(self.rev) {
            Some(rev) => Some(decode(rev)?),
            None if is_cut => None,
            None => return Err(text(SplitError::Missing(self.rev))),
        };
        let whole = listing.elements.iter().map(|entry| (*entry, None));
        let cut = listing.unclosed.iter().map(|(rest, e)| (*rest, Some(*e)));
        let count = listing.elements.len() + usize::from(is_cut);
        let mut found = Entries {
            rev,
            items: Vec::with_capacity(count),
            unreadable: Vec::new(),
            count,
            is_cut,
        };
        for (entry, error) in whole.chain(cut) {
            // Derived decoders accept arrays in place of objects.
            let read = match entry.first() {
                _ if error.is_some() => Err(error.map(text).unwrap_or_default()),
                Some(b'{') => read(entry),
                _ => Err("not an object".to_owned()),
            };
            match read {
                Ok(item) => found.items.push(item),
                Err(cause) => {
                    let unreadable = self.unreadable(entry, cause);
                    // An unknown revision is at most that of the response.
                    let rev = unreadable.rev.or(rev).unwrap_or_default();
                    let item = unreadable.name.clone().map(|n| replace(n, rev, entry));
                    found.items.extend(item);
                    found.unreadable.push(unreadable);
                }
            }
        }
        Ok(found)
    }

    fn unreadable(self, entry: &[u8], cause: String) -> Unreadable {
        let identity = (self.object)(entry).and_then(self.identity);
        let identity = identity.unwrap_or_default();
        let name: Option<SmolStr> = field(identity, "name").and_then(|n| decode(n).ok());
        Unreadable {
            name: name.filter(|n| !n.is_empty()),
            rev: field(identity, self.object_rev).and_then(|r| decode(r).ok()),
            cause,
        }
    }
}

/// Kind, name, revision and cause of a reported entry.
type Seen = (SmolStr, SmolStr, Option<u64>, SmolStr);

/// Logs and counts each entry that can't be read, once for each of its revisions.
#[derive(Debug)]
pub(super) struct Reports {
    log: Logger,
    seen: Mutex<IndexSet<Seen>>,
}

impl Default for Reports {
    fn default() -> Self {
        Self::new(Logger::root(Discard, o!()))
    }
}

impl Reports {
    pub(super) fn new(log: Logger) -> Self {
        let seen = Mutex::default();
        Self { log, seen }
    }

    pub(super) fn add(&self, kind: &str, name: &str, rev: Option<u64>, cause: &dyn Display) {
        let short = |text: &str| text.chars().take(MAX_TEXT).collect::<SmolStr>();
        let (name, cause) = (short(name), short(&cause.to_string()));
        let is_new = {
            let mut seen = self.seen.lock();
            if seen.len() >= MAX_REMEMBERED {
                seen.shift_remove_index(0);
            }
            seen.insert((kind.into(), name.clone(), rev, cause.clone()))
        };
        if is_new {
            warn!(self.log, "platform: entry could not be read";
                "kind" => kind, "name" => name.as_str(), "rev" => rev, "error" => cause.as_str());
            metrics::counter!("endivefork_entries_unreadable_total", "kind" => kind.to_owned())
                .increment(1);
        }
    }

    pub(super) fn add_all(&self, kind: &str, entries: &[Unreadable]) {
        for entry in entries {
            let name = entry.name.as_deref().unwrap_or_default();
            self.add(kind, name, entry.rev, &entry.cause);
        }
    }
}
