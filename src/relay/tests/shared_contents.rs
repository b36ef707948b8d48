use std::time::{Duration, Instant};

use crate::relay::runs::RUN_TTL;
use crate::relay::shared_contents::{MARKS_MAX, OwnMarks};

#[test]
fn mark_lasts_as_long_as_callers_may_come_back() {
    let now = Instant::now();
    let mut own = OwnMarks::default();
    own.add(1, now);
    own.add(2, now + Duration::from_secs(1));

    let later = own.current(now + RUN_TTL);

    assert!(!later.has(1));
    assert!(later.has(2));
}

#[test]
fn change_is_counted_only_for_a_new_mark() {
    let now = Instant::now();
    let mut own = OwnMarks::default();

    let versions = [own.add(1, now), own.add(1, now), own.add(2, now)];

    assert_eq!(versions, [1, 1, 2]);
}

/// Guards against the copy of another run: a restarted instance overwrote what its earlier process
/// had marked.
#[test]
fn marks_of_an_earlier_process_are_kept() {
    let now = Instant::now();
    let mut earlier = OwnMarks::default();
    earlier.add(1, now);
    let mut own = OwnMarks::default();
    own.add(2, now);

    own.inherit(earlier.current(now), now);

    let kept = own.current(now);
    assert!(kept.has(1) && kept.has(2) && !kept.has(3));
}

/// Guards against the copy of another run: marks beyond the bound were forgotten.
#[test]
fn all_contents_count_as_marked_beyond_the_bound() {
    let now = Instant::now();
    let mut own = OwnMarks::default();
    for digest in 0..=MARKS_MAX as u128 {
        own.add(digest, now);
    }

    assert!(own.current(now).has(0));
    assert!(!own.current(now + RUN_TTL).has(0));
}
