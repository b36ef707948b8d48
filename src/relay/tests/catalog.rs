use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::fleet::Target;
use crate::relay::catalog::{Catalog, Change, Registration, TargetInfo};
use crate::relay::rules::{Limits, Rules};

fn info(name: &str, incarnation: u64) -> TargetInfo {
    TargetInfo {
        name: name.into(),
        incarnation,
        service: "llm".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: "a".into(),
        version: "v1".into(),
        slots: 6,
        leaving: false,
    }
}

fn registration(name: &str, incarnation: u64, rev: u64) -> Registration {
    Registration {
        rev,
        info: info(name, incarnation),
    }
}

fn rules(version: u64) -> Rules {
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 1,
        idle_timeout: Duration::ZERO,
    };
    Rules::new(version, Vec::new(), IndexMap::new(), limits, None)
}

fn names(catalog: &mut Catalog, now: Instant) -> Vec<SmolStr> {
    let targets = catalog.targets(|_| "r".into(), now);
    targets.into_iter().map(|(t, _)| t.name).collect()
}

fn only(catalog: &mut Catalog, now: Instant) -> Target {
    catalog.targets(|_| "r".into(), now).remove(0).0
}

#[test]
fn older_rules_are_ignored() {
    let mut catalog = Catalog::default();

    let applied = [3, 2, 3, 5, 4].map(|version| catalog.apply_rules(rules(version)));

    assert_eq!(applied, [true, false, false, true, false]);
    assert_eq!(catalog.version(), 5);
}

#[test]
fn older_lists_are_ignored() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(9, vec![registration("new", 1, 9)], now);

    catalog.apply_list(7, vec![registration("old", 1, 7)], now);

    assert_eq!(names(&mut catalog, now), ["new"]);
}

#[test]
fn removed_targets_are_dropped_at_once_without_an_outage() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(1, vec![registration("t", 1, 1)], now);

    catalog.remove("t", now);

    assert!(names(&mut catalog, now).is_empty());
}

#[test]
fn reader_that_learns_of_a_removal_by_a_list_appears_ahead_of_its_followers() {
    let now = Instant::now();
    let both = vec![registration("gone", 1, 3), registration("t", 1, 4)];
    let mut reader = Catalog::default();
    let mut follower = Catalog::default();
    reader.apply_list(4, both.clone(), now);
    follower.apply_copy((4, 4), both, now);

    reader.apply_list(9, vec![registration("t", 1, 4)], now);

    assert!(reader.newest() > follower.newest());
    let copy = (reader.as_of.unwrap(), reader.newest().unwrap());
    follower.apply_copy(copy, reader.registrations(), now);
    assert_eq!(names(&mut follower, now), ["t"]);
    assert_eq!(reader.newest(), follower.newest());
}

#[test]
fn targets_missing_after_an_outage_get_a_grace_period() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(1, vec![registration("t", 1, 1)], now);
    catalog.record_outage(now);

    catalog.apply_list(5, Vec::new(), now + Duration::from_millis(300));

    let soon = now + Duration::from_millis(2000);
    let late = now + Duration::from_millis(3000);
    assert_eq!(names(&mut catalog, soon), ["t"]);
    assert!(names(&mut catalog, late).is_empty());
}

#[test]
fn a_restarted_target_gets_a_new_key() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.put(registration("t", 1, 1));
    let first = only(&mut catalog, now).key;

    catalog.put(registration("t", 2, 2));
    let second = only(&mut catalog, now).key;

    assert_ne!(first, second);
}

#[test]
fn the_key_of_a_removed_target_is_not_reused_soon() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.put(registration("a", 1, 1));
    let first = only(&mut catalog, now).key;
    catalog.remove("a", now);
    catalog.put(registration("b", 1, 2));

    let soon = only(&mut catalog, now + Duration::from_secs(60)).key;

    assert_ne!(first, soon);
}

#[test]
fn a_registration_replaces_an_unregistered_target_at_its_address() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    assert!(catalog.add_unregistered(info("found", 1), now));
    assert_eq!(names(&mut catalog, now), ["found"]);

    catalog.put(registration("other", 2, 1));

    assert_eq!(names(&mut catalog, now), ["other"]);
}

#[test]
fn an_unregistered_target_expires() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.add_unregistered(info("found", 1), now);

    let later = now + Duration::from_secs(5);

    assert!(names(&mut catalog, later).is_empty());
}

#[test]
fn an_unregistered_target_is_kept_during_an_outage() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.add_unregistered(info("found", 1), now);
    let later = now + Duration::from_secs(8);
    catalog.record_outage(later);

    assert_eq!(names(&mut catalog, later), ["found"]);
}

fn change(name: &str, rev: u64, info: Option<TargetInfo>) -> Change {
    Change {
        name: name.into(),
        rev,
        info,
    }
}

#[test]
fn repeated_changes_are_applied_once() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(5, vec![registration("a", 1, 5)], now);
    let put = change("b", 6, Some(info("b", 1)));
    let removed = change("b", 7, None);

    catalog.apply_changes(7, &[put.clone(), removed], now);
    catalog.apply_changes(6, &[put], now);

    assert_eq!(names(&mut catalog, now), ["a"]);
    assert_eq!((catalog.newest(), catalog.as_of), (Some(7), Some(7)));
}

#[test]
fn an_older_copy_does_not_restore_removed_targets() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(9, vec![registration("a", 1, 3)], now);

    let theirs = vec![registration("a", 1, 3), registration("b", 1, 5)];
    catalog.apply_copy((6, 5), theirs, now);

    assert_eq!(names(&mut catalog, now), ["a"]);
    assert_eq!(catalog.newest(), Some(5), "the copy is not requested again");
}

#[test]
fn a_lapsed_target_expires_after_the_grace_period() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(5, vec![registration("a", 1, 5)], now);
    catalog.record_outage(now);
    catalog.apply_list(6, Vec::new(), now);

    let early = catalog.has_expired(now + Duration::from_secs(2));
    let late = catalog.has_expired(now + Duration::from_secs(3));

    assert_eq!((early, late), (false, true));
}

#[test]
fn a_target_whose_registration_was_removed_is_not_added_again() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(5, vec![registration("a", 1, 5)], now);
    names(&mut catalog, now);
    catalog.apply_changes(6, &[change("a", 6, None)], now);
    names(&mut catalog, now);

    let same = catalog.add_unregistered(info("a", 1), now);
    let restarted = catalog.add_unregistered(info("a", 2), now);

    assert!(
        !same,
        "a target whose registration was removed is shutting down"
    );
    assert!(restarted, "a new incarnation is a new target");
}

#[test]
fn an_incarnation_added_and_removed_in_one_batch_is_remembered() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(5, Vec::new(), now);
    let put = change("a", 6, Some(info("a", 1)));
    catalog.apply_changes(7, &[put, change("a", 7, None)], now);
    names(&mut catalog, now);

    let adopted = catalog.add_unregistered(info("a", 1), now);

    assert!(
        !adopted,
        "a target whose registration was removed is shutting down"
    );
}
