use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::fleet::Target;
use crate::relay::catalog::{Catalog, Change, Listed, Registration};
use crate::relay::rules::{Limits, Rules};

fn listed(name: &str, incarnation: u64) -> Listed {
    Listed {
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
        listed: listed(name, incarnation),
    }
}

fn rules(version: u64) -> Rules {
    let limits = Limits {
        headers: 1,
        body: 1,
        idle: Duration::ZERO,
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
fn rules_never_go_back() {
    let mut catalog = Catalog::default();

    let taken = [3, 2, 3, 5, 4].map(|version| catalog.take_rules(rules(version)));

    assert_eq!(taken, [true, false, false, true, false]);
    assert_eq!(catalog.version(), 5);
}

#[test]
fn an_older_list_changes_nothing() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(9, vec![registration("new", 1, 9)], now);

    catalog.take_list(7, vec![registration("old", 1, 7)], now);

    assert_eq!(names(&mut catalog, now), ["new"]);
}

#[test]
fn a_removed_target_is_gone_at_once_while_the_platform_is_well() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(1, vec![registration("t", 1, 1)], now);

    catalog.remove("t", now);

    assert!(names(&mut catalog, now).is_empty());
}

#[test]
fn registrations_that_lapsed_while_the_platform_was_away_get_time_to_return() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(1, vec![registration("t", 1, 1)], now);
    catalog.platform_away(now);

    catalog.take_list(5, Vec::new(), now + Duration::from_millis(300));

    let soon = now + Duration::from_millis(2000);
    let late = now + Duration::from_millis(3000);
    assert_eq!(names(&mut catalog, soon), ["t"]);
    assert!(names(&mut catalog, late).is_empty());
}

#[test]
fn a_name_that_starts_again_is_another_target() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.put(registration("t", 1, 1));
    let first = only(&mut catalog, now).key;

    catalog.put(registration("t", 2, 2));
    let second = only(&mut catalog, now).key;

    assert_ne!(first, second);
}

#[test]
fn the_key_of_a_gone_target_is_not_given_away_soon() {
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
fn an_adopted_target_gives_way_to_the_registration_at_its_address() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    assert!(catalog.adopt(listed("found", 1), now));
    assert_eq!(names(&mut catalog, now), ["found"]);

    catalog.put(registration("other", 2, 1));

    assert_eq!(names(&mut catalog, now), ["other"]);
}

#[test]
fn an_adopted_target_that_never_registers_is_dropped() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.adopt(listed("found", 1), now);

    let later = now + Duration::from_secs(5);

    assert!(names(&mut catalog, later).is_empty());
}

#[test]
fn an_adopted_target_is_kept_while_the_platform_is_away() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.adopt(listed("found", 1), now);
    let later = now + Duration::from_secs(8);
    catalog.platform_away(later);

    assert_eq!(names(&mut catalog, later), ["found"]);
}

fn change(name: &str, rev: u64, listed: Option<Listed>) -> Change {
    Change {
        name: name.into(),
        rev,
        listed,
    }
}

#[test]
fn changes_that_come_again_are_taken_once() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(5, vec![registration("a", 1, 5)], now);
    let put = change("b", 6, Some(listed("b", 1)));
    let removed = change("b", 7, None);

    catalog.take_changes(7, &[put.clone(), removed], now);
    catalog.take_changes(6, &[put], now);

    assert_eq!(names(&mut catalog, now), ["a"]);
    assert_eq!((catalog.newest(), catalog.as_of), (Some(7), Some(7)));
}

#[test]
fn an_older_copy_brings_no_removed_target_back() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(9, vec![registration("a", 1, 3)], now);

    let theirs = vec![registration("a", 1, 3), registration("b", 1, 5)];
    catalog.take_copy((6, 5), theirs, now);

    assert_eq!(names(&mut catalog, now), ["a"]);
    assert_eq!(catalog.newest(), Some(5), "it is not asked for again");
}

#[test]
fn a_lapsed_target_is_due_when_its_time_is_over() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(5, vec![registration("a", 1, 5)], now);
    catalog.platform_away(now);
    catalog.take_list(6, Vec::new(), now);

    let early = catalog.is_due(now + Duration::from_secs(2));
    let late = catalog.is_due(now + Duration::from_secs(3));

    assert_eq!((early, late), (false, true));
}

#[test]
fn a_target_whose_registration_was_removed_is_not_adopted() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(5, vec![registration("a", 1, 5)], now);
    names(&mut catalog, now);
    catalog.take_changes(6, &[change("a", 6, None)], now);
    names(&mut catalog, now);

    let same = catalog.adopt(listed("a", 1), now);
    let anew = catalog.adopt(listed("a", 2), now);

    assert!(!same, "it leaves without saying so");
    assert!(anew, "it started again under its name");
}

#[test]
fn a_registration_that_comes_and_goes_in_one_batch_is_remembered() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.take_list(5, Vec::new(), now);
    let put = change("a", 6, Some(listed("a", 1)));
    catalog.take_changes(7, &[put, change("a", 7, None)], now);
    names(&mut catalog, now);

    let adopted = catalog.adopt(listed("a", 1), now);

    assert!(!adopted, "it leaves without saying so");
}
