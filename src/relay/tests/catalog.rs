use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::fleet::Target;
use crate::relay::catalog::{Catalog, Change, Registration, TargetInfo, TargetsCopy};
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

/// A copy from an instance that has read for a long time without a failure.
fn copy(revs: (u64, u64), list: Vec<Registration>) -> TargetsCopy {
    TargetsCopy {
        revs,
        list,
        known: Duration::from_secs(60),
        ..TargetsCopy::default()
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

    catalog.remove("t", None, now);

    assert!(names(&mut catalog, now).is_empty());
}

#[test]
fn reader_that_learns_of_a_removal_by_a_list_appears_ahead_of_its_followers() {
    let now = Instant::now();
    let both = vec![registration("gone", 1, 3), registration("t", 1, 4)];
    let mut reader = Catalog::default();
    let mut follower = Catalog::default();
    reader.apply_list(4, both.clone(), now);
    follower.apply_copy(copy((4, 4), both), now);

    reader.apply_list(9, vec![registration("t", 1, 4)], now);

    assert!(reader.newest() > follower.newest());
    follower.apply_copy(reader.copy(now).unwrap(), now);
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
    catalog.remove("a", None, now);
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

    catalog.apply_changes(7, &[put.clone(), removed], None, now);
    catalog.apply_changes(6, &[put], None, now);

    assert_eq!(names(&mut catalog, now), ["a"]);
    assert_eq!((catalog.newest(), catalog.as_of), (Some(7), Some(7)));
}

#[test]
fn an_older_copy_does_not_restore_removed_targets() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.apply_list(9, vec![registration("a", 1, 3)], now);

    let theirs = vec![registration("a", 1, 3), registration("b", 1, 5)];
    catalog.apply_copy(copy((6, 5), theirs), now);

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
    catalog.apply_changes(6, &[change("a", 6, None)], None, now);
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
    catalog.apply_changes(7, &[put, change("a", 7, None)], None, now);
    names(&mut catalog, now);

    let adopted = catalog.add_unregistered(info("a", 1), now);

    assert!(
        !adopted,
        "a target whose registration was removed is shutting down"
    );
}

/// A catalog with one target, `t`, that has been known for a minute at `now`.
fn with_target(now: Instant) -> Catalog {
    let mut catalog = Catalog::default();
    let before = now.checked_sub(Duration::from_secs(60)).unwrap();
    catalog.apply_list(5, vec![registration("t", 1, 5)], before);
    catalog
}

/// Time after which a removed target is used only because of a grace period.
const SOON: Duration = Duration::from_millis(100);

/// Time after which no grace period that began before is in force.
const LATE: Duration = Duration::from_secs(3);

/// Guards against taking the failed reads of a rejected instance for an outage of the platform.
#[test]
fn a_removal_forwarded_by_a_reader_without_a_gap_takes_effect_despite_own_failures() {
    let now = Instant::now();
    for outage in [None, now.checked_sub(LATE)] {
        let mut rejected = with_target(now);
        rejected.record_outage(now);

        rejected.apply_changes(6, &[change("t", 6, None)], outage, now);

        assert!(names(&mut rejected, now).is_empty(), "{outage:?}");
    }
}

/// Guards against dropping targets that lost their registration in an outage of the platform.
#[test]
fn a_removal_forwarded_by_a_reader_with_a_recent_gap_is_deferred() {
    let now = Instant::now();
    let mut follower = with_target(now);

    follower.apply_changes(6, &[change("t", 6, None)], Some(now), now);

    assert_eq!(names(&mut follower, now + SOON), ["t"]);
    assert!(names(&mut follower, now + LATE).is_empty());
}

/// Guards against keeping a removed target that another domain's reader saw removed.
#[test]
fn a_removal_in_a_copy_takes_effect_despite_own_failures() {
    let now = Instant::now();
    let (mut reader, mut rejected) = (with_target(now), with_target(now));
    rejected.record_outage(now);
    reader.apply_changes(6, &[change("t", 6, None)], None, now);

    rejected.apply_copy(reader.copy(now).unwrap(), now);

    assert!(names(&mut rejected, now).is_empty());
}

/// Guards against a rejected instance passing its own failures on with what another one read.
#[test]
fn a_removal_in_a_copy_of_a_copy_is_judged_by_the_reader() {
    let now = Instant::now();
    for (outage, kept) in [(None, 0), (Some(now), 1)] {
        let (mut reader, mut first, mut second) =
            (with_target(now), with_target(now), with_target(now));
        let failed = if kept == 0 { &mut first } else { &mut reader };
        failed.record_outage(now);
        reader.apply_changes(6, &[change("t", 6, None)], outage, now);

        first.apply_copy(reader.copy(now).unwrap(), now);
        second.apply_copy(first.copy(now + SOON).unwrap(), now + SOON);

        assert_eq!(names(&mut second, now + SOON).len(), kept, "{outage:?}");
        assert!(names(&mut second, now + LATE).is_empty(), "{outage:?}");
    }
}

/// Guards against forwarding a peer's outage, which would defer removals that this instance reads.
#[test]
fn outages_of_peers_are_not_forwarded_as_own() {
    let now = Instant::now();
    let (mut reader, mut follower) = (with_target(now), with_target(now));
    reader.record_outage(now);
    reader.apply_list(6, Vec::new(), now);

    follower.apply_copy(reader.copy(now).unwrap(), now);
    follower.record_peer_outage(Some(now));

    assert_eq!(follower.last_outage(), None);
    assert_eq!(follower.copy(now).unwrap().outage, None);
}

/// Guards against dropping all targets because of an instance that started after the outage in
/// which they lost their registrations, and saw no failed read.
#[test]
fn a_copy_of_an_instance_that_has_just_started_defers_removals_after_own_failures() {
    let now = Instant::now();
    let (mut new, mut old) = (Catalog::default(), with_target(now));
    old.record_outage(now);
    new.apply_list(9, Vec::new(), now);

    old.apply_copy(new.copy(now).unwrap(), now);

    assert_eq!(names(&mut old, now + SOON), ["t"]);
    assert!(names(&mut old, now + LATE).is_empty());
}

/// Guards against using a removed target again when the rejected instance reads for itself.
#[test]
fn an_instance_that_reads_again_does_not_restore_removed_targets() {
    let now = Instant::now();
    let (mut reader, mut rejected) = (with_target(now), with_target(now));
    rejected.record_outage(now);
    reader.apply_changes(6, &[change("t", 6, None)], None, now);
    rejected.apply_copy(reader.copy(now).unwrap(), now);

    rejected.apply_list(5, vec![registration("t", 1, 5)], now);
    let after_old_list = names(&mut rejected, now);
    rejected.apply_changes(7, &[change("t", 6, None)], Some(now), now);
    let after_changes = names(&mut rejected, now);
    rejected.apply_list(8, Vec::new(), now);
    let after_list = names(&mut rejected, now);

    assert!(after_old_list.is_empty(), "a list from before the removal");
    assert!(after_changes.is_empty(), "the removal read once more");
    assert!(after_list.is_empty(), "a list without the target");
    assert!(rejected.copy(now).unwrap().kept.is_empty());
}

/// Guards against dropping a restarted engine that can't register because the platform is down.
#[test]
fn an_unregistered_target_is_kept_during_an_outage_that_a_peer_reports() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.add_unregistered(info("found", 1), now);
    let later = now + Duration::from_secs(8);

    catalog.record_peer_outage(Some(later));

    assert_eq!(names(&mut catalog, later), ["found"]);
}

/// Guards against using a removed target again when a watch that began before the removal was known
/// from a peer returns the target's last registration together with the removal.
#[test]
fn changes_from_before_a_copy_do_not_restore_removed_targets() {
    let now = Instant::now();
    let mut rejected = with_target(now);
    rejected.record_outage(now);
    rejected.apply_copy(copy((8, 7), Vec::new()), now);

    let put = change("t", 6, Some(info("t", 1)));
    rejected.apply_changes(9, &[put, change("t", 7, None)], Some(now), now);

    assert!(names(&mut rejected, now).is_empty());
}

/// Guards against keeping a target that a rejected instance, once it could read again, saw removed
/// by itself, though another domain read its removal without a gap.
#[test]
fn a_copy_of_a_reader_without_a_gap_ends_the_grace_period() {
    let now = Instant::now();
    let (mut reader, mut rejected) = (with_target(now), with_target(now));
    rejected.record_outage(now);
    rejected.apply_list(9, Vec::new(), now);
    let before = reader.copy(now).unwrap();
    reader.apply_changes(6, &[change("t", 6, None)], None, now);

    let unread = rejected.apply_copy(before, now);
    let kept = names(&mut rejected, now + SOON);
    let settled = rejected.apply_copy(reader.copy(now).unwrap(), now);

    assert!(unread.is_empty(), "the reader has not read the removal");
    assert_eq!(kept, ["t"]);
    assert_eq!(settled, ["t"]);
    assert!(names(&mut rejected, now + SOON).is_empty());
}

/// Guards against ending the grace period after an outage of the platform: no copy of an instance
/// that had a gap itself, or has just started, is a proof.
#[test]
fn a_copy_of_a_reader_with_a_gap_does_not_end_the_grace_period() {
    let now = Instant::now();
    let (mut reader, mut new, mut other) = (with_target(now), Catalog::default(), with_target(now));
    reader.record_outage(now);
    other.record_outage(now);
    for catalog in [&mut reader, &mut new, &mut other] {
        catalog.apply_list(9, Vec::new(), now);
    }

    for sender in [&reader, &new] {
        let settled = other.apply_copy(sender.copy(now).unwrap(), now);
        assert!(settled.is_empty());
    }

    assert_eq!(names(&mut other, now + SOON), ["t"]);
}

/// Guards against followers keeping a target whose removal has been confirmed to their reader.
#[test]
fn a_final_removal_that_is_forwarded_again_ends_the_grace_period() {
    let now = Instant::now();
    let mut follower = with_target(now);
    let removed = [change("t", 6, None)];
    follower.apply_changes(6, &removed, Some(now), now);

    follower.apply_changes(6, &removed, Some(now), now);
    let kept = names(&mut follower, now + SOON);
    follower.apply_changes(6, &removed, None, now);

    assert_eq!(kept, ["t"]);
    assert!(names(&mut follower, now + SOON).is_empty());
}

/// Guards against dropping a target that has registered again since.
#[test]
fn a_final_removal_that_is_forwarded_again_spares_a_new_registration() {
    let now = Instant::now();
    let mut follower = with_target(now);
    let removed = [change("t", 6, None)];
    follower.apply_changes(6, &removed, Some(now), now);
    follower.apply_changes(7, &[change("t", 7, Some(info("t", 1)))], None, now);

    follower.apply_changes(6, &removed, None, now);

    assert_eq!(names(&mut follower, now), ["t"]);
}

/// Guards against a live target that an overlapping batch of changes removes.
#[test]
fn known_removal_does_not_drop_a_target_that_has_registered_again() {
    let now = Instant::now();
    let mut catalog = with_target(now);
    let removed = change("t", 7, None);
    let returned = change("t", 8, Some(info("t", 2)));
    catalog.apply_changes(7, std::slice::from_ref(&removed), None, now);
    catalog.apply_changes(8, std::slice::from_ref(&returned), None, now);

    let other = change("x", 9, Some(info("x", 1)));
    catalog.apply_changes(9, &[removed, returned, other], None, now);

    assert_eq!(names(&mut catalog, now), ["t", "x"]);
}

/// Guards against a follower that drops all targets as its reader starts anew after an outage.
#[test]
fn outage_of_a_peer_defers_what_an_inconclusive_copy_lacks() {
    let now = Instant::now();
    let mut follower = with_target(now);
    follower.record_peer_outage(Some(now));
    let mut reader = Catalog::default();
    reader.apply_list(20, Vec::new(), now);

    follower.apply_copy(reader.copy(now).unwrap(), now);

    assert_eq!(names(&mut follower, now), ["t"]);
}
