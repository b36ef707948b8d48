//! Elects, without messages, the instances of a failure domain that do shared work for all of it.

use super::member::Member;
use crate::ident::{digest, rendezvous};

/// Fleet size below which each instance sends to all others directly. One broadcast by every
/// instance is then at most 240 messages.
pub const SMALL_FLEET: usize = 16;

/// Number of aggregator candidates in each failure domain of a large fleet.
pub const CANDIDATES: usize = 3;

/// Elects up to `most` of `names` for a duty of a failure domain by rendezvous hashing. Instances
/// that know the same names elect the same ones, and few change when a name is added or removed.
#[must_use]
pub fn elected<'a>(
    duty: &str,
    domain: &str,
    names: impl Iterator<Item = &'a str>,
    most: usize,
) -> Vec<&'a str> {
    let mut order = rendezvous(digest(&[duty, domain]), names);
    order.truncate(most);
    order
}

/// The members of a failure domain in order of preference as its aggregator in a large fleet: the
/// highest CPU capacity first. Instances that know the same members get the same order.
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
