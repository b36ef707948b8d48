//! Age of knowledge: what another instance's answer proves, when an instance reads for itself, and
//! how two readers take turns.

use std::time::{Duration, Instant};

use crate::relay::freshness::{Age, AgeLimits, Ages, Freshness};
use crate::relay::platform_watch::Topic;

const TIMEOUT: Duration = Duration::from_secs(3);

const RECOVERY: Duration = Duration::from_secs(4);

/// Time in which a reader learns that the other one has read.
const NEWS_DELAY: Duration = Duration::from_millis(250);

fn seconds(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

fn known(age: Duration) -> Age {
    Age {
        known: Some(age),
        read: None,
    }
}

#[test]
fn answer_that_was_held_up_does_not_make_knowledge_younger() {
    let start = Instant::now();
    let asked = start + seconds(10.0);
    let received = asked + seconds(5.0);
    let mut freshness = Freshness::default();

    freshness.learn(Topic::Rules, known(seconds(0.5)), asked);

    assert_eq!(freshness.age(Topic::Rules, received), Some(seconds(5.5)));
    assert_eq!(freshness.age(Topic::Targets, received), None);
}

#[test]
fn older_knowledge_does_not_replace_younger() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.record_read(Topic::Rules, start + seconds(9.0));

    freshness.learn(Topic::Rules, known(seconds(4.0)), start + seconds(10.0));

    let now = start + seconds(10.0);
    assert_eq!(freshness.age(Topic::Rules, now), Some(seconds(1.0)));
    assert_eq!(freshness.read_age(Topic::Rules, now), Some(seconds(1.0)));
}

#[test]
fn word_of_another_reader_is_no_knowledge() {
    let now = Instant::now() + seconds(10.0);
    let read = Age {
        known: Some(seconds(1.0)),
        read: Some(seconds(1.0)),
    };
    let ages = Ages {
        rules: read,
        targets: Age::default(),
    };
    let mut freshness = Freshness::default();

    freshness.record_reader(ages, now);

    assert_eq!(freshness.age(Topic::Rules, now), None);
    assert_eq!(freshness.others_age(Topic::Rules, now), Some(seconds(1.0)));
}

#[test]
fn stale_knowledge_is_read_anew_with_a_quarter_of_the_time_left() {
    let limits = AgeLimits::new(TIMEOUT, RECOVERY);

    assert!(limits.stale(0.0) < limits.stale(1.0));
    assert!(limits.stale(1.0) <= TIMEOUT.mul_f64(0.75));
}

/// Guards against an instance that is alone in its failure domain and holds outdated knowledge for
/// current for two periods of its watches.
#[test]
fn knowledge_of_an_instance_alone_is_stale_once_its_watch_is_overdue() {
    for recovery in [RECOVERY, seconds(5.0)] {
        let limits = AgeLimits::new(TIMEOUT, recovery);
        let longest_wait = (0..100)
            .map(|n| limits.wait_alone(Topic::Rules, seconds(0.1) * n))
            .max()
            .unwrap();

        assert!(limits.stale_alone() < TIMEOUT.max(recovery));
        assert!(limits.stale_alone() > longest_wait.min(recovery - seconds(0.5)));
    }
}

/// Ends of the watches of two readers that begin at the same time, for a minute.
fn watches(limits: &AgeLimits) -> [Vec<Duration>; 2] {
    let mut ends = [vec![Duration::ZERO], vec![Duration::ZERO]];
    let last = |ends: &[Duration]| *ends.last().unwrap();
    while ends.iter().any(|ends| last(ends) < seconds(60.0)) {
        let next = usize::from(last(&ends[1]) < last(&ends[0]));
        let now = last(&ends[next]);
        let told = ends[1 - next].iter().rfind(|end| **end + NEWS_DELAY <= now);
        let wait = limits.watch_wait(told.map(|end| now - *end), next == 1);
        ends[next].push(now + wait);
    }
    ends
}

#[test]
fn watches_of_two_readers_end_by_turns() {
    let limits = AgeLimits::new(TIMEOUT, RECOVERY);

    let ends = watches(&limits);

    let mut all: Vec<_> = ends.concat();
    all.sort_unstable();
    let settled = all.iter().position(|end| *end > limits.period * 4).unwrap();
    let gaps = all[settled..].windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().unwrap();
    assert!(longest < limits.period.mul_f64(0.55), "{longest:?}");
    let per_period = all.len() as f64 / 60.0 * limits.period.as_secs_f64();
    assert!(per_period < 2.3, "{per_period} watches in a period");
}

#[test]
fn reader_without_another_one_takes_both_turns() {
    let limits = AgeLimits::new(TIMEOUT, RECOVERY);

    for others in [None, Some(limits.period * 2)] {
        assert_eq!(limits.watch_wait(others, false), limits.period / 2);
        assert_eq!(limits.watch_wait(others, true), limits.period / 2);
    }
}

/// Guards against a silent connection that an instance alone in its failure domain notices only when
/// limits on time hold again.
#[test]
fn instance_alone_notices_a_silent_watch_before_limits_hold_again() {
    for (timeout, recovery) in [
        (3.0, 4.0),
        (4.0, 5.0),
        (5.0, 5.0),
        (5.0, 1.0),
        (0.001, 0.001),
    ] {
        let limits = AgeLimits::new(seconds(timeout), seconds(recovery));
        let bound = seconds(timeout.max(recovery));
        for millis in 0..20_000 {
            let uptime = Duration::from_millis(millis);
            for topic in [Topic::Rules, Topic::Targets] {
                let wait = limits.wait_alone(topic, uptime);
                let noticed = wait + limits.response_timeout_alone();
                let is_in_time = noticed + NEWS_DELAY.div_f64(2.0) < bound;
                assert!(
                    is_in_time || bound < seconds(1.0),
                    "{noticed:?} of {bound:?}"
                );
                assert!(!wait.is_zero());
            }
        }
    }
}
