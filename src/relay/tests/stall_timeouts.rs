use std::time::Duration;

use crate::caller::Drain;
use crate::relay::progress::{EngineReport, Progress};
use crate::relay::rules::Kind;
use crate::relay::shutdown;
use crate::relay::stall_timeouts::StallTimeouts;

const LATE_GAP: Duration = Duration::from_millis(700);

fn running(gaps: &[u64]) -> StallTimeouts {
    let mut timeouts = StallTimeouts::new(Duration::from_secs(1));
    timeouts.record_gap(Duration::from_secs(1));
    for gap in gaps {
        timeouts.record_gap(Duration::from_millis(*gap));
    }
    timeouts
}

fn report(waiting: u32, running: u32, runs: &[(&str, u64)]) -> EngineReport {
    EngineReport {
        incarnation: 1,
        draining: false,
        waiting,
        running,
        runs: runs.iter().map(|(id, n)| ((*id).into(), *n)).collect(),
    }
}

#[test]
fn stalled_run_is_resumed_from_its_copy_before_the_gap_is_late() {
    let timeouts = running(&[35, 31, 40, 155, 33]);

    assert!(timeouts.abandon_after(true) < LATE_GAP);
    assert!(timeouts.probe_after() < LATE_GAP / 4);
}

#[test]
fn gaps_during_a_long_prefill_are_not_a_stall() {
    let timeouts = running(&[160, 155, 170, 160]);

    assert!(timeouts.abandon_after(true) > Duration::from_millis(2 * 170));
}

#[test]
fn slow_run_gets_a_longer_timeout() {
    let timeouts = running(&[400, 380, 420]);

    assert!(timeouts.abandon_after(true) > Duration::from_secs(1));
}

#[test]
fn without_a_copy_the_timeout_exceeds_a_second_prefill() {
    let timeouts = running(&[35, 31]);

    assert!(timeouts.abandon_after(false) >= Duration::from_secs(3));
}

#[test]
fn first_event_timeout_grows_with_the_expected_wait() {
    let short = StallTimeouts::new(Duration::from_secs(1));
    let long = StallTimeouts::new(Duration::from_secs(4));

    assert!(long.abandon_after(false) > Duration::from_secs(8));
    assert!(long.query_after() > short.query_after());
}

#[test]
fn run_in_prefill_is_counted_but_not_listed() {
    let cases = [
        (report(0, 1, &[]), Progress::Prefilling),
        (report(2, 1, &[("other", 9)]), Progress::Prefilling),
        (report(0, 1, &[("other", 9)]), Progress::Unknown),
        (report(0, 0, &[]), Progress::Unknown),
        (report(0, 1, &[("mine", 1)]), Progress::Prefilling),
        (report(0, 1, &[("mine", 2)]), Progress::Produced),
    ];

    for (report, expected) in cases {
        assert_eq!(
            Progress::from_report(&report, "mine"),
            expected,
            "{report:?}"
        );
    }
}

#[test]
fn draining_instance_accepts_only_requests_that_end_in_time() {
    let second = Duration::from_secs(1);
    let drain = Drain::new(5 * second);
    drain.begin();
    let resumable = Kind::Stream { resume: true };
    let once = Kind::Stream { resume: false };

    for (kind, budget, expected, fits) in [
        (Kind::Once, 4 * second, None, true),
        (Kind::Once, 6 * second, None, false),
        (Kind::Idempotent, 4950 * second / 1000, None, false),
        (resumable, 25 * second, Some(2 * second), true),
        (resumable, 25 * second, Some(6 * second), false),
        (resumable, 25 * second, None, false),
        (resumable, 2 * second, Some(6 * second), true),
        (once, 25 * second, Some(2 * second), false),
        (once, 2 * second, None, true),
    ] {
        let needed = shutdown::time_needed(kind, budget, expected, Duration::ZERO);
        let context = format!("{kind:?} {budget:?} {expected:?}");
        assert_eq!(drain.has_time_for(needed), fits, "{context}");
    }
}

/// Load balancers have stopped to send requests by then, so a cut has no excuse.
#[test]
fn resumable_stream_that_comes_late_in_a_drain_is_accepted_only_if_its_budget_fits() {
    let second = Duration::from_secs(1);
    let resumable = Kind::Stream { resume: true };
    let needed = |budget, age| shutdown::time_needed(resumable, budget, Some(second), age);

    assert_eq!(needed(25 * second, 2 * second), second);
    assert_eq!(needed(25 * second, 3 * second), 25 * second);
    assert_eq!(needed(second / 2, 3 * second), second / 2);
}
