use std::time::Duration;

use crate::relay::pace::Pace;
use crate::relay::progress::{Progress, Report};
use crate::relay::rules::Kind;
use crate::relay::shutdown;

const LATE: Duration = Duration::from_millis(700);

fn running(pauses: &[u64]) -> Pace {
    let mut pace = Pace::new(Duration::from_secs(1));
    pace.event(Duration::from_secs(1));
    for pause in pauses {
        pace.event(Duration::from_millis(*pause));
    }
    pace
}

fn report(waiting: u32, running: u32, runs: &[(&str, u64)]) -> Report {
    Report {
        incarnation: 1,
        leaving: false,
        waiting,
        running,
        runs: runs.iter().map(|(id, n)| ((*id).into(), *n)).collect(),
    }
}

#[test]
fn a_usual_run_is_left_for_its_copy_before_the_pause_is_late() {
    let pace = running(&[35, 31, 40, 155, 33]);

    assert!(pace.give_up_after(true) < LATE);
    assert!(pace.probe_after() < LATE / 4);
}

#[test]
fn pauses_beside_a_long_prompt_are_not_silence() {
    let pace = running(&[160, 155, 170, 160]);

    assert!(pace.give_up_after(true) > Duration::from_millis(2 * 170));
}

#[test]
fn a_slow_run_is_given_the_time_that_it_takes() {
    let pace = running(&[400, 380, 420]);

    assert!(pace.give_up_after(true) > Duration::from_secs(1));
}

#[test]
fn without_a_copy_waiting_is_cheaper_than_reading_again() {
    let pace = running(&[35, 31]);

    assert!(pace.give_up_after(false) >= Duration::from_secs(3));
}

#[test]
fn before_the_first_event_the_queue_ahead_is_waited_for() {
    let short = Pace::new(Duration::from_secs(1));
    let long = Pace::new(Duration::from_secs(4));

    assert!(long.give_up_after(false) > Duration::from_secs(8));
    assert!(long.ask_after() > short.ask_after());
}

#[test]
fn a_run_that_is_read_is_counted_but_not_listed() {
    let cases = [
        (report(0, 1, &[]), Progress::Reading),
        (report(2, 1, &[("other", 9)]), Progress::Reading),
        (report(0, 1, &[("other", 9)]), Progress::Unknown),
        (report(0, 0, &[]), Progress::Unknown),
        (report(0, 1, &[("mine", 1)]), Progress::Reading),
        (report(0, 1, &[("mine", 2)]), Progress::Made),
    ];

    for (report, expected) in cases {
        assert_eq!(Progress::of(&report, "mine"), expected, "{report:?}");
    }
}

#[test]
fn a_shutdown_takes_only_what_ends_in_time() {
    let stream = Kind::Stream { resume: true };
    let second = Duration::from_secs(1);

    assert!(shutdown::accepts(
        Kind::Once,
        second,
        5 * second,
        2 * second
    ));
    assert!(!shutdown::accepts(
        Kind::Once,
        2 * second,
        6 * second,
        second
    ));
    assert!(shutdown::accepts(stream, 25 * second, second, 6 * second));
    assert!(!shutdown::accepts(
        stream,
        25 * second,
        3 * second,
        5 * second
    ));
}
