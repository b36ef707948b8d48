//! Plays the load of a day's heaviest seconds on engines that read one prompt after another, and
//! checks what callers get: streams whose first event is on time, and engines whose memory holds.
//!
//! Seven instances place the streams of a burst while a third of the engines is lost; each knows
//! its own runs at once and the others' after the way between two regions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Capacity, Costs, Lease, Policy, Query, Router, Word, Work};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const INSTANCES: usize = 7;
const ENGINES: u32 = 24;
const DOMAINS: [&str; 2] = ["a", "b"];

/// Streams a second: a burst of 1.7 times the usual 9.4, on two thirds of the engines.
const RATE: f64 = 16.0;

/// Loads played.
const SEEDS: u64 = 20;

/// Time played.
const LENGTH: Duration = Duration::from_secs(30);

/// Time from one instance's placement to another's knowledge of it.
const LAG: Duration = Duration::from_millis(45);

/// Prompt tokens read in a second, and time of a step beside which nothing is read.
const READ_RATE: f64 = 8_000.0;

/// Time of 650 tokens.
const DECODE: Duration = Duration::from_secs(4);

/// The objective for the first event.
const OBJECTIVE: Duration = Duration::from_millis(4500);

/// What callers got.
#[derive(Debug, Default)]
struct Got {
    streams: usize,
    on_time: usize,
    waits: Duration,
}

impl Got {
    fn share(&self) -> f64 {
        self.on_time as f64 / self.streams as f64
    }

    fn mean(&self) -> Duration {
        self.waits / self.streams as u32
    }
}

fn fleet() -> Vec<Target> {
    let target = |n: u32| Target {
        key: TargetKey(n),
        name: format!("engine-{n}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)),
        domain: DOMAINS[n as usize % 2].into(),
        region: DOMAINS[n as usize % 2].into(),
        service: "llm".into(),
        version: "".into(),
        leaving: false,
    };
    (0..ENGINES).map(target).collect()
}

fn router(policy: Policy, seed: u64) -> Router {
    let router = Router::seeded(policy, Costs::default(), seed);
    router.sync(fleet());
    let capacity = Capacity {
        memory: 88_000,
        rate: READ_RATE,
    };
    router.size("llm", capacity);
    router
}

struct Running {
    lease: Lease,
    read_at: Instant,
    ends: Instant,
    read: bool,
}

fn play(policy: Policy, seed: u64) -> Got {
    let mut rng = StdRng::seed_from_u64(seed);
    let base = Instant::now();
    let routers: Vec<_> = (0..INSTANCES)
        .map(|_| router(policy, rng.random()))
        .collect();
    let mut free = vec![base; ENGINES as usize];
    let mut running: Vec<Running> = Vec::new();
    let mut words: Vec<(Instant, usize, Word)> = Vec::new();
    let mut got = Got::default();
    let mut now = base;
    while now < base + LENGTH {
        now += Duration::from_secs_f64(-rng.random::<f64>().ln() / RATE);
        for run in running.iter_mut().filter(|r| !r.read && r.read_at <= now) {
            run.lease.prompt_read();
            run.read = true;
        }
        running.retain(|r| r.ends > now);
        for (at, from, word) in words.extract_if(.., |(at, ..)| *at <= now) {
            let others = routers.iter().enumerate().filter(|(n, _)| *n != from);
            others.for_each(|(_, r)| r.peer_word(&format!("i{from}"), &word, at));
        }
        let me = rng.random_range(0..INSTANCES);
        let prompt = rng.random_range(4_500..11_500);
        let domain = DOMAINS[me % 2];
        let query = Query {
            service: "llm",
            version: "",
            domain,
            region: domain,
            prefix: None,
            excluded: &[],
            bytes: 14_000,
            avoid: &[],
            work: Some(Work {
                prompt,
                memory: prompt + 650,
                runs: 1,
            }),
        };
        let lease = routers[me].choose(&query, now).expect("engines are fit");
        let engine = lease.key.0 as usize;
        let reading = Duration::from_secs_f64(f64::from(prompt) / READ_RATE);
        let read_at = free[engine].max(now) + reading;
        free[engine] = read_at;
        got.streams += 1;
        got.on_time += usize::from(read_at - now <= OBJECTIVE);
        got.waits += read_at - now;
        running.push(Running {
            lease,
            read_at,
            ends: read_at + DECODE,
            read: false,
        });
        words.push((now + LAG, me, routers[me].word(now)));
    }
    got
}

#[test]
fn a_burst_on_two_thirds_of_the_engines_begins_on_time() {
    for seed in 0..SEEDS {
        let got = play(Policy::Cost, seed);

        assert!(got.share() > 0.99, "seed {seed}: {got:?}");
    }
}

#[test]
fn placing_by_unread_prompts_beats_what_does_not_know_them() {
    for seed in 0..SEEDS {
        let cost = play(Policy::Cost, seed);
        for baseline in [Policy::Random, Policy::RoundRobin, Policy::TwoChoices] {
            let other = play(baseline, seed);

            assert!(
                cost.mean().as_secs_f64() < 0.8 * other.mean().as_secs_f64(),
                "seed {seed}: {:?} against {:?} of {baseline:?}",
                cost.mean(),
                other.mean()
            );
            assert!(cost.share() >= other.share(), "seed {seed}, {baseline:?}");
        }
    }
}
