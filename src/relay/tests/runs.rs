use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::{Duration, Instant};

use crate::relay::dialect::CopyRef;
use crate::relay::equal_runs::EqualRuns;
use crate::relay::run_location::{RunId, RunKey, RunLocation};
use crate::relay::runs::{RUN_TTL, RunDirectory, Telling};

fn key(digest: u128, id: u64) -> RunKey {
    RunKey {
        digest,
        id: RunId(id),
        follows: None,
    }
}

fn location(digest: u128, handle: Option<&str>) -> RunLocation {
    located(key(digest, 1), handle)
}

fn located(key: RunKey, handle: Option<&str>) -> RunLocation {
    let copied = handle.map(|handle| CopyRef {
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        handle: handle.into(),
    });
    RunLocation {
        engine: copied.as_ref().map(|_| "engine".into()),
        copied,
        ..RunLocation::without_copy(key)
    }
}

/// A directory to which no run is missing.
fn directory() -> RunDirectory {
    let mut runs = RunDirectory::default();
    runs.set_fetched(true);
    runs
}

/// Takes the copy of the only run with this content.
fn take(runs: &mut RunDirectory, digest: u128, now: Instant) -> Option<CopyRef> {
    let found = runs.equals(digest, false, now).only()?;
    runs.take(digest, found.id);
    Some(found.copied)
}

#[test]
fn a_copy_is_returned_once() {
    let now = Instant::now();
    let mut runs = directory();
    runs.insert(location(1, Some("a")), false, now);

    let first = take(&mut runs, 1, now);

    assert_eq!(first.map(|c| c.handle), Some("a".into()));
    assert_eq!(take(&mut runs, 1, now), None);
}

#[test]
fn the_newest_location_of_a_run_wins() {
    let now = Instant::now();
    let mut runs = directory();
    runs.insert(location(1, Some("a")), false, now);
    runs.insert(location(1, None), false, now);

    assert_eq!(take(&mut runs, 1, now), None);
}

#[test]
fn a_stored_location_does_not_replace_a_known_one() {
    let now = Instant::now();
    let mut runs = directory();
    runs.insert(location(1, Some("new")), false, now);

    runs.recall(location(1, Some("old")), now);
    runs.recall(location(2, Some("lost")), now);

    let handle = |copy: Option<CopyRef>| copy.map(|c| c.handle);
    assert_eq!(handle(take(&mut runs, 1, now)), Some("new".into()));
    assert_eq!(handle(take(&mut runs, 2, now)), Some("lost".into()));
}

#[test]
fn an_old_location_expires() {
    let now = Instant::now();
    let mut runs = directory();
    runs.insert(location(1, Some("a")), false, now);

    assert_eq!(take(&mut runs, 1, now + Duration::from_secs(90)), None);
}

#[test]
fn only_local_runs_in_progress_with_a_copy_are_stored() {
    let now = Instant::now();
    let mut runs = directory();
    runs.insert(location(1, Some("a")), false, now);
    runs.record(location(2, Some("b")), now);
    runs.record(location(3, Some("c")), now);
    runs.record(location(4, None), now);
    runs.end(key(3, 1));

    let stored = runs.take_changed(now, false).unwrap();

    let digests: Vec<_> = stored.iter().map(|n| n.digest).collect();
    assert_eq!(digests, [2]);
    assert_eq!(runs.take_changed(now, false), None);
}

#[test]
fn only_own_runs_are_sent_to_peers() {
    let now = Instant::now();
    let mut runs = directory();
    runs.insert(location(1, Some("a")), false, now);
    runs.record(location(2, Some("b")), now);

    let sent: Vec<_> = runs.take_unsent().iter().map(|n| n.digest).collect();

    assert_eq!(sent, [2]);
    assert!(runs.take_unsent().is_empty());
}

#[test]
fn only_runs_of_the_failure_domain_are_stored() {
    let now = Instant::now();
    let mut runs = directory();
    runs.insert(location(1, Some("a")), true, now);
    runs.insert(location(2, Some("b")), false, now);

    let stored = runs.take_changed(now, false).unwrap_or_default();

    assert_eq!(stored, [location(1, Some("a"))]);
}

/// A run goes on from the memory of another one with the same content.
#[test]
fn copies_of_runs_with_the_same_content_are_not_used() {
    let now = Instant::now();
    let mut runs = directory();
    runs.record(located(key(1, 1), Some("a")), now);
    runs.insert(located(key(1, 2), Some("b")), false, now);

    assert_eq!(take(&mut runs, 1, now), None);
    assert_eq!(take(&mut runs, 1, now), None);
}

/// The caller of the ended run may not have got its last events.
#[test]
fn run_that_has_ended_still_shares_its_content() {
    let now = Instant::now();
    let mut runs = directory();
    runs.record(located(key(1, 1), Some("a")), now);
    runs.end(key(1, 1));
    runs.record(located(key(1, 2), Some("b")), now);

    assert_eq!(take(&mut runs, 1, now), None);
}

#[test]
fn content_is_no_longer_shared_once_the_other_runs_expire() {
    let now = Instant::now();
    let later = now + RUN_TTL - Duration::from_secs(1);
    let mut runs = directory();
    for id in 1..=20 {
        runs.insert(located(key(1, id), Some("a")), false, now);
    }
    runs.insert(located(key(1, 21), Some("b")), false, later);

    assert_eq!(take(&mut runs, 1, later), None);
    let handle = take(&mut runs, 1, now + RUN_TTL).map(|c| c.handle);
    assert_eq!(handle, Some("b".into()));
}

/// Otherwise no stream could be resumed from a copy twice.
#[test]
fn run_replaces_the_one_that_it_follows() {
    let now = Instant::now();
    let follower = RunKey {
        follows: Some(RunId(1)),
        ..key(1, 2)
    };
    for is_first in [true, false] {
        let mut runs = directory();
        let mut locations = [located(key(1, 1), Some("a")), located(follower, Some("b"))];
        if !is_first {
            locations.reverse();
        }

        for location in locations {
            runs.insert(location, false, now);
        }

        let handle = take(&mut runs, 1, now).map(|c| c.handle);
        assert_eq!(handle, Some("b".into()));
    }
}

#[test]
fn run_whose_caller_got_nothing_shares_no_content() {
    let now = Instant::now();
    let mut runs = directory();
    runs.record(located(key(1, 1), Some("a")), now);
    runs.record(located(key(1, 2), Some("b")), now);

    runs.withdraw(key(1, 1), now);

    let handle = take(&mut runs, 1, now).map(|c| c.handle);
    assert_eq!(handle, Some("b".into()));
    let sent: Vec<_> = runs
        .take_unsent()
        .into_iter()
        .map(|l| l.withdrawn)
        .collect();
    assert_eq!(sent, [false, false, true]);
}

#[test]
fn no_copy_is_used_while_runs_may_be_missing() {
    let now = Instant::now();
    let known = |runs: &RunDirectory| runs.equals(1, false, now).only().is_some();
    let mut runs = RunDirectory::default();
    runs.insert(located(key(1, 1), Some("a")), false, now);
    assert!(!known(&runs), "nothing that was before is known");

    runs.set_stored();
    assert!(!known(&runs), "runs since the last write are missing");
    runs.set_fetched(false);
    assert!(known(&runs));

    runs.set_unreported();
    assert!(!known(&runs), "runs are reported to another aggregator");
}

#[test]
fn runs_that_share_their_content_are_stored_without_copies() {
    let now = Instant::now();
    let mut runs = directory();
    runs.record(located(key(1, 1), Some("a")), now);
    runs.take_changed(now, false);

    runs.insert(located(key(1, 2), Some("b")), false, now);

    let stored = runs.take_changed(now, false).unwrap();
    assert_eq!(stored, [located(key(1, 1), None)]);
}

/// A version without ids stored one of several runs with the same content.
#[test]
fn copy_of_a_stored_run_without_an_id_is_not_used() {
    let now = Instant::now();
    let mut runs = directory();

    runs.recall(located(key(1, 0), Some("a")), now);

    assert_eq!(take(&mut runs, 1, now), None);
}

#[test]
fn what_aggregators_know_together_decides_whether_a_run_is_the_only_one() {
    let equals = |runs: &[RunLocation], is_whole| EqualRuns {
        runs: runs.to_vec(),
        is_crowded: false,
        is_whole,
    };
    let (a, b) = (located(key(1, 1), Some("a")), located(key(1, 2), Some("b")));
    let follower = RunLocation {
        follows: Some(RunId(1)),
        ..b.clone()
    };
    for (others, found) in [
        (vec![equals(&[], true)], Some(1)),
        (vec![equals(from_ref(&a), true)], Some(1)),
        (vec![equals(from_ref(&b), true)], None),
        (vec![equals(&[], false)], None),
        (vec![equals(from_ref(&b), false), equals(&[], true)], None),
        (
            vec![equals(&[follower], true), equals(from_ref(&a), true)],
            Some(2),
        ),
    ] {
        let mut known = equals(from_ref(&a), false);

        others.into_iter().for_each(|other| known.merge(other));

        assert_eq!(known.only().map(|run| run.id.0), found);
    }
}

#[test]
fn run_is_told_once_every_other_instance_was_sent_it() {
    let now = Instant::now();
    let mut runs = directory();
    runs.record(located(key(1, 1), Some("a")), now);
    assert_eq!(runs.telling(RunId(1)), Telling::Pending);

    let sent = runs.take_unsent();
    assert_eq!(runs.telling(RunId(1)), Telling::Pending);
    runs.set_told(&sent);

    assert_eq!(runs.telling(RunId(1)), Telling::Done);
}

/// Guards against the copy of another run: in a large fleet no instance but the aggregators can tell
/// that two runs have the same content.
#[test]
fn other_runs_with_the_same_content_are_told_without_their_copies() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    let (a, b) = (located(key(1, 1), Some("a")), located(key(1, 2), Some("b")));
    runs.insert(a, true, now);
    runs.insert(b.clone(), false, now);
    runs.insert(located(key(2, 3), Some("c")), false, now);

    let equals = runs.equal_to(from_ref(&b), now);

    assert_eq!(equals, [located(key(1, 1), None)]);
    assert!(runs.equal_to(from_ref(&b), now + RUN_TTL).is_empty());
}

#[test]
fn run_that_could_not_be_told_to_all_is_not_taken_for_told() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.record(located(key(1, 1), Some("a")), now);
    let sent = runs.take_unsent();

    runs.set_telling(&sent, false);

    assert_eq!(runs.telling(RunId(1)), Telling::Failed);
    assert!(!runs.is_shared(1, now));
    runs.insert(located(key(1, 2), None), false, now);
    assert!(runs.is_shared(1, now));
}

/// Guards against the copy of another run: runs beyond the bound were forgotten, and with them what
/// showed two runs to be equal.
#[test]
fn all_contents_count_as_shared_once_a_run_was_forgotten_for_want_of_room() {
    let now = Instant::now();
    let mut runs = directory();
    for digest in 0..=20_000 {
        runs.insert(located(key(digest, 1), Some("a")), false, now);
    }

    assert!(runs.is_shared(7, now));
    assert!(runs.equals(7, false, now).only().is_none());
    assert!(!runs.is_shared(7, now + RUN_TTL));
}
