//! Words to the peers: at once when something has begun, rarely when nothing has changed, and never
//! more than an instance can send.

use std::time::{Duration, Instant};

use crate::relay::pacing::{Pacing, State, Tell};
use crate::routing::{InflightCount, PeerReport, Work};

fn state(peers: usize, runs: u32) -> State {
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
    State {
        word: PeerReport {
            counts: (0..runs).map(count).collect(),
            ..PeerReport::default()
        },
        audience: (0..peers).map(|n| format!("i{n}").into()).collect(),
        ..State::default()
    }
}

/// Messages sent in `length` when a run begins every `every`, looked at every 200 ms.
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
        if let Tell::In(wait) = pacing.tell(&state(peers, runs % 8), urgent, now) {
            sent += peers;
            now += wait;
            next = next.max(now);
        }
    }
    sent
}

#[test]
fn a_run_that_begins_is_told_at_once() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    let now = begin + Duration::from_secs(2);
    pacing.tell(&state(67, 0), false, now);

    let now = now + Duration::from_millis(900);
    let told = pacing.tell(&state(67, 1), true, now);

    assert_eq!(told, Tell::In(Duration::ZERO));
}

#[test]
fn what_peers_know_is_told_once_a_second() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    let told = (1..=50u32).filter(|n| {
        let now = begin + Duration::from_millis(200) * *n;
        pacing.tell(&state(6, 2), false, now) != Tell::Nothing
    });

    assert_eq!(told.count(), 10);
}

#[test]
fn a_plain_call_in_flight_is_no_news() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    pacing.tell(&state(6, 2), false, begin);
    let mut with_call = state(6, 2);
    with_call.word.counts.push(InflightCount {
        target: "desk-1".into(),
        count: 1,
        work: Work::default(),
    });

    let told = pacing.tell(&with_call, false, begin + Duration::from_millis(200));

    assert_eq!(told, Tell::Nothing);
}

#[test]
fn a_new_peer_is_told_at_the_next_look() {
    let begin = Instant::now();
    let mut pacing = Pacing::new(begin);
    pacing.tell(&state(6, 2), false, begin);

    let told = pacing.tell(&state(7, 2), false, begin + Duration::from_millis(200));

    assert_eq!(told, Tell::In(Duration::ZERO));
}

#[test]
fn what_an_instance_sends_is_bounded_at_any_size() {
    let length = Duration::from_secs(20);
    for peers in [6, 67, 319, 999] {
        for every in [1000, 100, 10] {
            let sent = messages(peers, Duration::from_millis(every), length);

            let most = 400 * length.as_secs() as usize + 2 * peers;
            assert!(sent <= most, "{peers} peers, {every} ms: {sent}");
        }
    }
}
