//! Priorities of requests. Pure state, without I/O.

use indexmap::IndexSet;

use super::rules::{Account, Route};

/// Number of levels.
pub(crate) const LEVEL_COUNT: usize = 10;

/// Urgency of a request. 0 is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(u8);

impl Priority {
    /// The priority of a level in `0..=9`.
    #[must_use]
    pub fn new(level: u8) -> Option<Self> {
        (usize::from(level) < LEVEL_COUNT).then_some(Self(level))
    }

    /// Level in `0..=9`.
    #[must_use]
    pub fn level(self) -> u8 {
        self.0
    }
}

impl Default for Priority {
    /// The level that engines apply to a request without one.
    fn default() -> Self {
        Self(5)
    }
}

/// Priority of a request of `route` and, if the caller is known, of `account`.
pub(crate) fn effective(route: &Route, account: Option<&Account>) -> Priority {
    account.and_then(|a| a.priority).unwrap_or(route.priority)
}

/// Whether the requests of `routes` can have different priorities. `accounts` holds the priorities
/// of all accounts, or `None` if callers need no key.
pub(crate) fn are_distinct<'a>(
    routes: impl Iterator<Item = &'a Route>,
    accounts: Option<&IndexSet<Option<Priority>>>,
) -> bool {
    let mut found = IndexSet::new();
    for route in routes {
        let known = accounts.into_iter().flatten();
        found.extend(known.map(|account| account.unwrap_or(route.priority)));
        if route.public || accounts.is_none() {
            found.insert(route.priority);
        }
    }
    found.len() > 1
}
