use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::relay::dialect::CopyRef;
use crate::relay::runs::{RunDirectory, RunLocation};

fn location(digest: u128, handle: Option<&str>) -> RunLocation {
    let copied = handle.map(|handle| CopyRef {
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        handle: handle.into(),
    });
    RunLocation {
        digest,
        engine: copied.as_ref().map(|_| "engine".into()),
        copied,
    }
}

#[test]
fn a_copy_is_returned_once() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.insert(location(1, Some("a")), false, now);

    let first = runs.take(1, now);

    assert_eq!(first.map(|(_, c)| c.handle), Some("a".into()));
    assert_eq!(runs.take(1, now), None);
}

#[test]
fn the_newest_location_of_a_run_wins() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.insert(location(1, Some("a")), false, now);
    runs.insert(location(1, None), false, now);

    assert_eq!(runs.take(1, now), None);
}

#[test]
fn a_stored_location_does_not_replace_a_known_one() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.insert(location(1, Some("new")), false, now);

    runs.recall(location(1, Some("old")), now);
    runs.recall(location(2, Some("lost")), now);

    let handle = |run: Option<(_, CopyRef)>| run.map(|(_, copied)| copied.handle);
    assert_eq!(handle(runs.take(1, now)), Some("new".into()));
    assert_eq!(handle(runs.take(2, now)), Some("lost".into()));
}

#[test]
fn an_old_location_expires() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.insert(location(1, Some("a")), false, now);

    assert_eq!(runs.take(1, now + Duration::from_secs(90)), None);
}

#[test]
fn only_local_runs_in_progress_with_a_copy_are_stored() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.insert(location(1, Some("a")), false, now);
    runs.record(location(2, Some("b")), now);
    runs.record(location(3, Some("c")), now);
    runs.record(location(4, None), now);
    runs.remove(3);

    let stored = runs.take_changed(now, false).unwrap();

    let digests: Vec<_> = stored.iter().map(|n| n.digest).collect();
    assert_eq!(digests, [2]);
    assert_eq!(runs.take_changed(now, false), None);
}

#[test]
fn only_own_runs_are_sent_to_peers() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.insert(location(1, Some("a")), false, now);
    runs.record(location(2, Some("b")), now);

    let sent: Vec<_> = runs.take_unsent().iter().map(|n| n.digest).collect();

    assert_eq!(sent, [2]);
    assert!(runs.take_unsent().is_empty());
}

#[test]
fn only_runs_of_the_failure_domain_are_stored() {
    let now = Instant::now();
    let mut runs = RunDirectory::default();
    runs.insert(location(1, Some("a")), true, now);
    runs.insert(location(2, Some("b")), false, now);

    let stored = runs.take_changed(now, false).unwrap_or_default();

    assert_eq!(stored, [location(1, Some("a"))]);
}
