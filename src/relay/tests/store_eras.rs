//! Targets while the platform returns from a copy.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::relay::catalog::{Catalog, Change, EraChange, Registration, TargetInfo};

fn entry(name: &str, rev: u64) -> Registration {
    Registration {
        rev,
        info: TargetInfo {
            name: name.into(),
            incarnation: 1,
            service: "llm".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 9)),
            domain: "a".into(),
            version: "v1".into(),
            slots: 6,
            leaving: false,
        },
    }
}

fn leaving(name: &str, rev: u64) -> Registration {
    let mut entry = entry(name, rev);
    entry.info.leaving = true;
    entry
}

fn change(entry: Registration) -> Change {
    Change {
        name: entry.info.name.clone(),
        rev: entry.rev,
        info: Some(entry.info),
    }
}

fn removal(name: &str, rev: u64) -> Change {
    Change {
        name: name.into(),
        rev,
        info: None,
    }
}

/// Names of the targets in use that take requests.
fn ready(catalog: &mut Catalog, now: Instant) -> Vec<String> {
    let targets = catalog.targets(|_| "r".into(), now);
    let ready = targets.iter().filter(|(t, _)| !t.leaving);
    let mut names: Vec<_> = ready.map(|(t, _)| t.name.to_string()).collect();
    names.sort();
    names
}

/// A catalog of the first era in which `a` is ready, `b` leaving and `c` gone.
fn catalog(now: Instant) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.enter_era(Some(1));
    catalog.apply_list(10, vec![entry("a", 1), entry("b", 2), entry("c", 3)], now);
    let changes = [
        change(leaving("b", 11)),
        change(leaving("c", 12)),
        removal("c", 13),
    ];
    catalog.apply_changes(13, &changes, None, now);
    catalog
}

fn copied() -> Vec<Registration> {
    vec![entry("a", 1), entry("b", 2), entry("c", 3)]
}

/// Guards against a list that is ignored as an old one, and against departed targets in it.
#[test]
fn lower_list_of_a_later_era_applies_without_departed_targets() {
    let now = Instant::now();
    let mut catalog = catalog(now);

    let change = catalog.enter_era(Some(2));
    let mut list = copied();
    list.push(entry("d", 5));
    catalog.apply_list(5, list, now);

    let (era_before, as_of) = (Some(1), Some(13));
    assert_eq!(change, EraChange::Restored { era_before, as_of });
    assert_eq!(ready(&mut catalog, now), ["a", "d"]);
    assert_eq!(catalog.departures().len(), 2);
    assert_ne!(catalog.kept_out(), 0);
}

/// Guards against targets that stay out of use for good.
#[test]
fn departed_target_is_used_after_a_watched_change_a_new_revision_or_a_newer_start() {
    let now = Instant::now();
    let mut restarted = entry("c", 3);
    restarted.info.incarnation = 2;
    let cases: [(Vec<Registration>, Vec<Change>, &[&str]); 5] = [
        (copied(), vec![change(entry("b", 5))], &["a", "b"]),
        (copied(), vec![change(entry("c", 6))], &["a", "c"]),
        (vec![entry("a", 1), entry("b", 4)], Vec::new(), &["a", "b"]),
        (vec![entry("a", 1), entry("c", 4)], Vec::new(), &["a", "c"]),
        (vec![entry("a", 1), restarted], Vec::new(), &["a", "c"]),
    ];

    for (list, changes, expected) in cases {
        let mut catalog = catalog(now);
        catalog.enter_era(Some(2));
        catalog.apply_list(4, list, now);
        catalog.apply_changes(6, &changes, None, now);

        assert_eq!(ready(&mut catalog, now), expected);
    }
}

/// Guards against departures that a second restore forgets.
#[test]
fn departed_targets_stay_out_of_use_over_two_eras() {
    let now = Instant::now();
    let mut catalog = catalog(now);

    for era in [2, 3] {
        catalog.enter_era(Some(era));
        catalog.apply_list(4, copied(), now);
        assert_eq!(ready(&mut catalog, now), ["a"], "era {era}");
    }
}

/// Guards against a target that is dropped as it registered after the copy was made, and against
/// one that is kept out when it registers again.
#[test]
fn target_missing_from_the_copy_is_kept_for_the_grace_period() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut catalog = catalog(now);

    catalog.enter_era(Some(2));
    catalog.apply_list(4, vec![entry("b", 2)], now);

    assert_eq!(ready(&mut catalog, now), ["a"]);
    assert!(ready(&mut catalog, later).is_empty());
    catalog.apply_list(5, vec![entry("a", 1), entry("b", 2)], later);
    assert_eq!(ready(&mut catalog, later), ["a"]);
}

#[test]
fn targets_of_an_earlier_era_are_outdated() {
    let now = Instant::now();
    let mut catalog = catalog(now);
    catalog.enter_era(Some(3));

    assert_eq!(catalog.enter_era(Some(2)), EraChange::Earlier);
    assert_eq!(catalog.enter_era(None), EraChange::Earlier);
    assert_eq!(catalog.era, Some(3));
}

/// Guards against departures that take effect where the platform was never restored.
#[test]
fn departures_have_no_effect_without_a_restore() {
    let now = Instant::now();
    let mut catalog = catalog(now);

    catalog.enter_era(Some(1));
    catalog.apply_list(14, copied(), now);

    assert_eq!(ready(&mut catalog, now), ["a", "b", "c"]);
}

/// Guards against an instance that knows only the copy, and against one that keeps out what has
/// written again.
#[test]
fn departures_are_learned_unless_the_target_has_written_again() {
    let now = Instant::now();
    let mut known = catalog(now);
    known.enter_era(Some(2));
    known.apply_list(4, copied(), now);
    let mut fresh = Catalog::default();
    fresh.enter_era(Some(2));
    fresh.apply_list(4, copied(), now);
    let departures = known.departures();

    fresh.learn_departures(departures.clone());
    let learned = ready(&mut fresh, now);
    fresh.apply_changes(5, &[change(entry("c", 5))], None, now);
    fresh.learn_departures(departures);

    assert_eq!(learned, ["a"]);
    assert_eq!(ready(&mut fresh, now), ["a", "c"]);
}

/// Guards against a target that is gone and counts as leaving again by its last entry.
#[test]
fn target_that_was_leaving_before_it_went_stays_gone() {
    let now = Instant::now();
    let mut catalog = catalog(now);

    catalog.enter_era(Some(2));
    catalog.apply_list(
        12,
        vec![entry("a", 1), leaving("b", 11), leaving("c", 12)],
        now,
    );
    let targets = catalog.targets(|_| "r".into(), now);

    let names: Vec<_> = targets.iter().map(|(t, _)| t.name.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(ready(&mut catalog, now), ["a"]);
}

/// Guards against a copy of an earlier era that ends the grace period of a target, as its revisions
/// are higher, and against a target that no copy of the new era ends, as its revisions are lower.
#[test]
fn only_a_copy_of_the_same_era_ends_a_grace_period() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut earlier = catalog(now);
    earlier.apply_changes(14, &[removal("a", 14)], None, now);
    let mut restored = catalog(now);
    restored.enter_era(Some(2));
    restored.apply_list(0, Vec::new(), now);
    let mut same = Catalog::default();
    same.enter_era(Some(2));
    same.apply_list(0, Vec::new(), now);

    let of_earlier = restored.apply_copy(earlier.copy(later).unwrap(), now);
    let kept = ready(&mut restored, now);
    let unread = restored.apply_copy(same.copy(now).unwrap(), now);
    let settled = restored.apply_copy(same.copy(later).unwrap(), now);

    assert!(of_earlier.is_empty() && unread.is_empty());
    assert_eq!(kept, ["a"]);
    // `b` is leaving, but not gone: it is kept for its open requests, and takes no new ones.
    assert_eq!(settled, ["a", "b"]);
    assert!(ready(&mut restored, now).is_empty());
}

/// Guards against a live target that is kept out where its new entry is known by a copy only.
#[test]
fn target_that_registers_again_after_a_restore_is_used_by_those_that_learn_it_by_a_copy() {
    let now = Instant::now();
    let restored = |as_of, list| {
        let mut catalog = Catalog::default();
        catalog.enter_era(Some(1));
        catalog.apply_list(40, vec![entry("a", 1)], now);
        let changes = [change(entry("t", 45)), removal("t", 46)];
        catalog.apply_changes(46, &changes, None, now);
        catalog.enter_era(Some(2));
        if let Some(list) = list {
            catalog.apply_list(as_of, list, now);
        }
        catalog
    };
    let mut watching = restored(30, Some(vec![entry("a", 1)]));
    let (mut listed, mut copying) = (restored(30, Some(vec![entry("a", 1)])), restored(0, None));
    watching.apply_changes(31, &[change(entry("t", 31))], None, now);

    for other in [&mut listed, &mut copying] {
        other.apply_copy(watching.copy(now).unwrap(), now);

        assert_eq!(ready(other, now), ["a", "t"]);
        watching.learn_departures(other.departures());
    }
    assert_eq!(ready(&mut watching, now), ["a", "t"]);
}
