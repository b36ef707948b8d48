//! Pacing of gossip: sent at once when a run begins, rarely when nothing has changed, and never
//! faster than an instance can send.

use std::time::{Duration, Instant};

use crate::relay::pacing::{Decision, Pacing, Snapshot};
use crate::routing::{InflightCount, PeerReport, Work};

fn snapshot(peers: usize, runs: u32) -> Snapshot {
    let work = Work {
        prompt: 8_000,
        memory: 8_650,
        runs: 1,
    };
    let count = |n: u32| InflightCount {
        target: format!("engine-{n}").into(),
        count: 1,
        work,
    };
    Snapshot {
        report: PeerReport {
            counts: (0..runs).map(count).collect(),
            ..PeerReport::default()
        },
        recipients: (0..peers).map(|n| format!("i{n}").into()).collect(),
        ..Snapshot::default()
    }
}

/// Number of messages sent in `length` when a run begins every `every`, with a check every 200 ms.
fn messages(peers: usize, every: Duration, length: Duration) -> usize {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    let mut now = begin;
    let mut sent = 0;
    let mut runs = 0;
    let mut next = begin + every;
    while now < begin + length {
        now = next.min(now + Duration::from_millis(200));
        let urgent = now == next;
        if urgent {
            runs += 1;
            next += every;
        }
        if let Decision::After(wait) = pacing.schedule(&snapshot(peers, runs % 8), urgent, now) {
            sent += peers;
            now += wait;
            next = next.max(now);
        }
    }
    sent
}

#[test]
fn a_new_run_is_sent_at_once() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    let now = begin + Duration::from_secs(2);
    pacing.schedule(&snapshot(67, 0), false, now);

    let now = now + Duration::from_millis(900);
    let decision = pacing.schedule(&snapshot(67, 1), true, now);

    assert_eq!(decision, Decision::After(Duration::ZERO));
}

#[test]
fn unchanged_state_is_sent_once_a_second() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    let sent = (1..=50u32).filter(|n| {
        let now = begin + Duration::from_millis(200) * *n;
        pacing.schedule(&snapshot(6, 2), false, now) != Decision::Skip
    });

    assert_eq!(sent.count(), 10);
}

#[test]
fn a_plain_call_in_flight_is_not_sent_early() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    pacing.schedule(&snapshot(6, 2), false, begin);
    let mut with_call = snapshot(6, 2);
    with_call.report.counts.push(InflightCount {
        target: "desk-1".into(),
        count: 1,
        work: Work::default(),
    });

    let decision = pacing.schedule(&with_call, false, begin + Duration::from_millis(200));

    assert_eq!(decision, Decision::Skip);
}

#[test]
fn a_new_peer_is_sent_the_state_at_the_next_check() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    pacing.schedule(&snapshot(6, 2), false, begin);

    let decision = pacing.schedule(&snapshot(7, 2), false, begin + Duration::from_millis(200));

    assert_eq!(decision, Decision::After(Duration::ZERO));
}

#[test]
fn message_rate_is_bounded_at_any_fleet_size() {
    let length = Duration::from_secs(20);
    for peers in [6, 67, 319, 999] {
        for every in [1000, 100, 10] {
            let sent = messages(peers, Duration::from_millis(every), length);

            let limit = 400 * length.as_secs() as usize + 2 * peers;
            assert!(sent <= limit, "{peers} peers, {every} ms: {sent}");
        }
    }
}
