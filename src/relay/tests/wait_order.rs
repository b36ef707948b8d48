use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::relay::priority::Priority;
use crate::relay::wait_order::{WaitOrder, Waiting};

fn waiting(level: u8, since: Instant) -> Waiting {
    Waiting {
        priority: Priority::new(level).unwrap(),
        since,
        has_begun: false,
    }
}

fn begun(level: u8, since: Instant) -> Waiting {
    Waiting {
        has_begun: true,
        ..waiting(level, since)
    }
}

/// Numbers of the requests in the order in which they are placed, all at `now`.
fn placed_in_order(mut order: WaitOrder, now: Instant) -> Vec<u64> {
    let mut placed = Vec::new();
    while let Some(first) = order.first(now) {
        order.leave(first, true, now);
        placed.push(first);
    }
    placed
}

#[test]
fn urgent_requests_go_first_and_equal_ones_in_their_order_of_arrival() {
    let now = Instant::now();
    let mut order = WaitOrder::default();
    let levels = [5, 2, 5, 0, 2, 9];
    let numbers = levels.map(|level| order.enter(waiting(level, now)));
    let [a, b, c, d, e, f] = numbers;

    let ahead = numbers.map(|number| order.ahead_of(number, now));
    let before = [0, 2, 5, 9].map(|level| order.ahead(&waiting(level, now), now));

    assert_eq!((ahead, before), ([3, 1, 4, 0, 2, 5], [1, 3, 5, 6]));
    assert_eq!(order.last(now), Some(f));
    assert_eq!(placed_in_order(order, now), [d, b, e, a, c, f]);
}

/// Guards against a changed order in deployments without priorities.
#[test]
fn requests_of_one_priority_keep_their_order_of_arrival_whatever_happens() {
    let start = Instant::now();
    let mut order = WaitOrder::default();
    let now = start + Duration::from_secs(20);
    for n in 0..50 {
        order.record(Priority::default(), n % 7 == 0, start);
    }
    let kinds = [waiting(5, start), begun(5, start), waiting(5, now)];
    let numbers: Vec<_> = kinds.into_iter().map(|kind| order.enter(kind)).collect();

    assert_eq!(placed_in_order(order, now), numbers);
}

#[test]
fn stream_that_has_begun_rises_by_a_level_each_second_up_to_the_most_urgent() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut order = WaitOrder::default();
    let first = order.enter(waiting(1, start));
    let stream = order.enter(begun(4, start));
    let other = order.enter(waiting(4, start));
    let later = order.enter(waiting(1, start));

    let ahead = [0, 1, 2, 3, 60].map(|seconds| order.ahead_of(stream, after(seconds)));

    assert_eq!(ahead, [2, 2, 2, 1, 1]);
    let placed = placed_in_order(order, after(3));
    assert_eq!(placed, [first, stream, later, other]);
}

#[test]
fn priority_that_is_placed_too_seldom_is_owed_a_turn() {
    let now = Instant::now();
    let mut order = WaitOrder::default();
    let (urgent, other) = (waiting(0, now), waiting(9, now));
    order.record(urgent.priority, true, now);
    order.record(other.priority, false, now);
    let first = order.enter(urgent);
    let owed = order.enter(other);

    assert_eq!(order.first(now), Some(owed));
    order.leave(owed, true, now);
    assert_eq!(order.first(now), Some(first), "half of them are placed");
}

/// A burst of refusals is not made up for after the load has changed.
#[test]
fn old_outcomes_lose_their_weight() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut order = WaitOrder::default();
    let (urgent, other) = (waiting(0, now), waiting(9, now));
    for _ in 0..100 {
        order.record(other.priority, false, start);
    }
    order.record(urgent.priority, true, now);
    order.record(other.priority, true, now);
    order.enter(other);

    let first = order.enter(urgent);

    assert_eq!(order.first(now), Some(first));
}

/// Requests of one priority.
#[derive(Clone, Copy, Debug)]
struct Load {
    level: u8,
    /// Longest wait.
    patience: f64,
    /// Requests a second.
    rate: f64,
}

/// Requests a second that the targets take in a simulation.
const CAPACITY: f64 = 10.0;

/// Length of a simulation in seconds.
const LENGTH: f64 = 300.0;

/// The share of each load that is placed, and that of all. Requests arrive at random times and are
/// refused by the rules of `Relay::place`.
fn simulate(loads: &[Load], seed: u64) -> (Vec<f64>, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let mut order = WaitOrder::default();
    // Number, load and end of the wait of each request in line.
    let mut line: Vec<(u64, usize, f64)> = Vec::new();
    let mut next: Vec<f64> = loads.iter().map(|l| pause(&mut rng, l.rate)).collect();
    let mut turn = 0.0;
    let (mut asked, mut placed) = (vec![0.0; loads.len()], vec![0.0; loads.len()]);
    while turn < LENGTH {
        let (load, arrival) =
            next.iter()
                .copied()
                .enumerate()
                .fold((0, f64::INFINITY), |least, (load, at)| {
                    if at < least.1 { (load, at) } else { least }
                });
        let now = arrival.min(turn);
        let over = line.extract_if(.., |(_, _, end)| *end <= now);
        over.for_each(|(number, ..)| order.leave(number, false, at(now)));
        if turn <= arrival {
            turn += 1.0 / CAPACITY;
            let Some(first) = order.first(at(now)) else {
                continue;
            };
            order.leave(first, true, at(now));
            let taken = line.extract_if(.., |(number, ..)| *number == first);
            taken.for_each(|(_, load, _)| placed[load] += 1.0);
            continue;
        }
        let Load {
            level,
            patience,
            rate,
        } = loads[load];
        next[load] += pause(&mut rng, rate);
        asked[load] += 1.0;
        let request = waiting(level, at(now));
        let wait = |ahead: usize| (ahead + 1) as f64 / CAPACITY;
        if wait(order.ahead(&request, at(now))) > patience {
            order.record(request.priority, false, at(now));
            continue;
        }
        line.push((order.enter(request), load, now + patience));
        let last = order.last(at(now)).unwrap();
        let ahead = order.ahead_of(last, at(now));
        let hopeless = line.extract_if(.., |(number, _, end)| {
            *number == last && wait(ahead) > *end - now
        });
        hopeless.for_each(|(number, ..)| order.leave(number, false, at(now)));
    }
    let shares = placed.iter().zip(&asked).map(|(p, a)| p / a).collect();
    (
        shares,
        placed.iter().sum::<f64>() / asked.iter().sum::<f64>(),
    )
}

/// Time until the next arrival of a Poisson process.
fn pause(rng: &mut SmallRng, rate: f64) -> f64 {
    -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate
}

fn loads(kinds: &[(u8, f64, f64)]) -> Vec<Load> {
    let load = |(level, patience, rate): &(u8, f64, f64)| Load {
        level: *level,
        patience: *patience,
        rate: *rate,
    };
    kinds.iter().map(load).collect()
}

/// Kinds by level, patience and rate, the most urgent first.
const SCARCE: [&[(u8, f64, f64)]; 9] = [
    &[(0, 4.0, 4.0), (1, 5.0, 5.0), (2, 10.0, 4.0)],
    &[(0, 4.0, 6.0), (1, 5.0, 7.0), (2, 10.0, 7.0)],
    &[(0, 4.0, 12.0), (1, 5.0, 14.0), (2, 10.0, 14.0)],
    &[(0, 4.0, 1.0), (1, 5.0, 1.0), (2, 10.0, 18.0)],
    &[(0, 4.0, 18.0), (1, 5.0, 1.0), (2, 10.0, 1.0)],
    &[(0, 0.3, 8.0), (1, 0.5, 6.0), (2, 1.0, 6.0)],
    &[(0, 0.5, 20.0), (1, 0.5, 3.0), (2, 0.5, 3.0)],
    &[(0, 4.0, 12.0), (9, 10.0, 8.0)],
    &[(0, 2.0, 2.0), (9, 10.0, 18.0)],
];

/// Guards against both failures of a simpler order: by arrival, kinds with a long wait keep the others
/// out; by priority alone, the least urgent kind gets nothing.
#[test]
fn scarce_capacity_goes_to_urgent_kinds_and_none_starves() {
    for kinds in SCARCE {
        for seed in 1..=3 {
            let (shares, all) = simulate(&loads(kinds), seed);

            let case = format!("{kinds:?}, seed {seed}: {shares:.3?}, all {all:.3}");
            let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
            assert!(least >= 0.25 * all, "starves: {case}");
            for pair in shares.windows(2) {
                assert!(pair[0] >= 0.95 * pair[1], "out of order: {case}");
            }
        }
    }
}

/// Shows that the simulation tells orders apart.
#[test]
fn without_priorities_the_kind_that_waits_longest_is_placed_most() {
    let (shares, _) = simulate(&loads(&[(5, 4.0, 6.0), (5, 5.0, 7.0), (5, 10.0, 7.0)]), 1);

    assert!(shares[0] < 0.5 * shares[2], "{shares:?}");
}
