use std::time::{Duration, Instant};

use crate::peer::Member;
use crate::relay::registry::Registry;

fn entry(name: &str, rev: u64) -> (Member, u64) {
    let member = Member {
        name: name.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "za".into(),
        region: "ra".into(),
        capacity: 0,
    };
    (member, rev)
}

/// Guards against an instance that waits for one whose entry was removed.
#[test]
fn read_shows_which_instances_are_no_longer_registered() {
    let now = Instant::now();
    let mut registry = Registry::default();

    let first = registry.update(vec![entry("a", 1), entry("b", 2)], 0, now);
    let second = registry.update(vec![entry("b", 3), entry("c", 4)], 0, now);

    assert!(first.is_empty());
    assert_eq!(second, ["a"]);
}

/// Guards against an instance that slept, or was cut off from the platform, and takes the fleet for
/// known as it was before.
#[test]
fn registry_is_known_only_for_a_time_after_its_read() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let before = registry.is_current(now);

    registry.update(Vec::new(), 0, now);

    assert!(!before);
    assert!(registry.is_current(now + Duration::from_secs(29)));
    assert!(!registry.is_current(now + Duration::from_secs(30)));
}

/// Guards against two instances that do not reach each other, remove each other's entries and both
/// take the fleet for known.
#[test]
fn instance_whose_entry_was_removed_does_not_know_the_fleet_until_others_have_read_again() {
    let now = Instant::now();
    let later = now + Duration::from_secs(30);
    let [mut removed, mut new] = [Registry::default(), Registry::default()];
    removed.update(Vec::new(), 0, now);

    for registry in [&mut removed, &mut new] {
        registry.record_removal(now);
        registry.update(Vec::new(), 0, now);
    }

    assert!(new.is_current(now), "it was never registered before");
    assert!(!removed.is_current(now));
    removed.update(Vec::new(), 0, later);
    assert!(removed.is_current(later));
}
