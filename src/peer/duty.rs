//! Which instances of a failure domain take on a duty for all of it.

use super::member::Member;
use crate::ident::{digest, rendezvous};

/// Instances below which each speaks with all others itself: a word from each to all others is then
/// 240 messages at most.
pub const SMALL_FLEET: usize = 16;

/// Instances of a failure domain that stand ready for its duties in a large fleet.
pub const CANDIDATES: usize = 3;

/// The first `most` of `names` for a duty of a failure domain: all that see the same names choose
/// the same, and few change when one name comes or goes.
#[must_use]
pub fn on_duty<'a>(
    duty: &str,
    domain: &str,
    names: impl Iterator<Item = &'a str>,
    most: usize,
) -> Vec<&'a str> {
    let mut order = rendezvous(digest(&[duty, domain]), names);
    order.truncate(most);
    order
}

/// The members of a failure domain in the order in which they take on its duties in a large fleet:
/// those with the most processor first. All that see the same members choose the same.
#[must_use]
pub fn ranked<'a>(domain: &str, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let key = digest(&["aggregator", domain]).to_string();
    let inside = members.filter(|m| m.domain == domain);
    let mut scored: Vec<_> = inside
        .map(|m| ((m.capacity, digest(&[&key, &m.name])), m))
        .collect();
    scored.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
    scored.into_iter().map(|(_, m)| m).collect()
}
