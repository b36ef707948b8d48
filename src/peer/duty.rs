//! Which instances of a failure domain take on a duty for all of it.

use crate::ident::{digest, rendezvous};

/// Instances below which each speaks with all others itself: a word from each to all others is then
/// 240 messages at most.
pub const SMALL_FLEET: usize = 16;

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
