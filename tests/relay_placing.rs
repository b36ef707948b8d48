//! Simulates the peak load of a day on engines that prefill one prompt after another, and checks
//! that streams get their first event on time.
//!
//! Instances place the streams of a burst while some of the engines are lost. Each instance knows
//! its own runs at once, and those of the others after a delay.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Costs, EngineCapacity, Lease, PeerReport, Policy, Query, Router, Work};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Number of simulated bursts on the small fleet.
const SMALL_SEEDS: u64 = 20;

/// Number of simulated bursts on the large fleet.
const LARGE_SEEDS: u64 = 3;

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    instances: usize,
    engines: u32,
    domains: u32,
    /// Streams per second.
    rate: f64,
    length: Duration,
    /// Delay until the other instances know of a placement.
    delay: Duration,
    /// Number of placing instances that each router assumes.
    assumed: usize,
}

/// A burst of 1.7 times the usual 9.4 streams per second, on two thirds of the engines.
const SMALL: Scenario = Scenario {
    instances: 7,
    engines: 24,
    domains: 2,
    rate: 16.0,
    length: Duration::from_secs(30),
    delay: Duration::from_millis(45),
    assumed: 7,
};

/// A burst of 1.7 times the usual 47 streams per second, on five sixths of the engines. Peer
/// reports of other domains are batched for 100 ms on the way.
const LARGE: Scenario = Scenario {
    instances: 82,
    engines: 150,
    domains: 5,
    rate: 80.0,
    length: Duration::from_secs(12),
    delay: Duration::from_millis(150),
    assumed: 82,
};

/// Prompt tokens prefilled per second.
const PREFILL_RATE: f64 = 8_000.0;

/// Time to generate 650 tokens.
const DECODE: Duration = Duration::from_secs(4);

/// Latency objective of the first event.
const OBJECTIVE: Duration = Duration::from_millis(4500);

/// Latencies of first events.
#[derive(Debug, Default)]
struct Latencies {
    streams: usize,
    on_time: usize,
    waits: Duration,
}

impl Latencies {
    fn share(&self) -> f64 {
        self.on_time as f64 / self.streams as f64
    }

    fn mean(&self) -> Duration {
        self.waits / self.streams as u32
    }
}

fn fleet(scenario: Scenario) -> Vec<Target> {
    let domain = |n: u32| format!("d{}", n % scenario.domains);
    let target = |n: u32| Target {
        key: TargetKey(n),
        name: format!("engine-{n}").into(),
        incarnation: 0,
        addr: SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)),
        domain: domain(n).into(),
        region: domain(n).into(),
        service: "llm".into(),
        version: "".into(),
        leaving: false,
    };
    (0..scenario.engines).map(target).collect()
}

fn router(scenario: Scenario, policy: Policy, seed: u64) -> Router {
    let router = Router::seeded(policy, Costs::default(), seed);
    router.sync(fleet(scenario));
    router.set_instances(scenario.assumed);
    let capacity = EngineCapacity {
        memory: 88_000,
        prefill_rate: PREFILL_RATE,
    };
    router.set_capacity("llm", capacity);
    router
}

struct Running {
    lease: Lease,
    prefill_end: Instant,
    ends: Instant,
    prefilled: bool,
}

fn simulate(scenario: Scenario, policy: Policy, seed: u64) -> Latencies {
    let mut rng = StdRng::seed_from_u64(seed);
    let base = Instant::now();
    let routers: Vec<_> = (0..scenario.instances)
        .map(|_| router(scenario, policy, rng.random()))
        .collect();
    let mut free = vec![base; scenario.engines as usize];
    let mut running: Vec<Running> = Vec::new();
    let mut reports: Vec<(Instant, usize, PeerReport)> = Vec::new();
    let mut latencies = Latencies::default();
    let mut now = base;
    while now < base + scenario.length {
        now += Duration::from_secs_f64(-rng.random::<f64>().ln() / scenario.rate);
        for run in running
            .iter_mut()
            .filter(|r| !r.prefilled && r.prefill_end <= now)
        {
            run.lease.prefill_done();
            run.prefilled = true;
        }
        running.retain(|r| r.ends > now);
        for (at, from, report) in reports.extract_if(.., |(at, ..)| *at <= now) {
            let others = routers.iter().enumerate().filter(|(n, _)| *n != from);
            others.for_each(|(_, r)| r.apply_peer_report(&format!("i{from}"), &report, at));
        }
        let me = rng.random_range(0..scenario.instances);
        let prompt = rng.random_range(4_500..11_500);
        let domain = format!("d{}", me % scenario.domains as usize);
        let query = Query {
            service: "llm",
            version: "",
            domain: &domain,
            region: &domain,
            prefix: None,
            excluded: &[],
            bytes: 14_000,
            excluded_domains: &[],
            work: Some(Work {
                prompt,
                memory: prompt + 650,
                runs: 1,
            }),
        };
        let lease = routers[me]
            .choose(&query, now)
            .expect("an engine is available");
        let engine = lease.key.0 as usize;
        let prefill = Duration::from_secs_f64(f64::from(prompt) / PREFILL_RATE);
        let prefill_end = free[engine].max(now) + prefill;
        free[engine] = prefill_end;
        latencies.streams += 1;
        latencies.on_time += usize::from(prefill_end - now <= OBJECTIVE);
        latencies.waits += prefill_end - now;
        running.push(Running {
            lease,
            prefill_end,
            ends: prefill_end + DECODE,
            prefilled: false,
        });
        reports.push((now + scenario.delay, me, routers[me].peer_report(now)));
    }
    latencies
}

#[test]
fn burst_on_two_thirds_of_the_engines_starts_on_time() {
    for seed in 0..SMALL_SEEDS {
        let latencies = simulate(SMALL, Policy::Cost, seed);

        assert!(latencies.share() > 0.99, "seed {seed}: {latencies:?}");
    }
}

#[test]
fn placing_by_pending_prefill_beats_the_baselines() {
    for seed in 0..SMALL_SEEDS {
        let cost = simulate(SMALL, Policy::Cost, seed);
        for baseline in [Policy::Random, Policy::RoundRobin, Policy::TwoChoices] {
            let other = simulate(SMALL, baseline, seed);

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

/// When every instance evaluates every engine, instances that learn of each other's placements late
/// place on the same engines.
#[test]
fn burst_on_a_large_fleet_starts_on_time() {
    for seed in 0..LARGE_SEEDS {
        let latencies = simulate(LARGE, Policy::Cost, seed);
        let all = Scenario {
            assumed: 1,
            ..LARGE
        };
        let full_scan = simulate(all, Policy::Cost, seed);

        println!("seed {seed}: {latencies:?}; evaluating all engines: {full_scan:?}");
        assert!(latencies.share() > 0.99, "seed {seed}: {latencies:?}");
        assert!(latencies.mean().as_secs_f64() < 0.9 * full_scan.mean().as_secs_f64());
    }
}
