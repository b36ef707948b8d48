//! Compares the router's cost policy with the baseline policies in a simulation on a virtual clock,
//! with load reports that are 2 s old.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Costs, Lease, LoadReport, Policy, Query, Router};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const REGIONS: [&str; 3] = ["west", "centre", "south"];
/// Fraction of the requests that enter in each region.
const SKEW: [f64; 3] = [0.4, 0.3, 0.3];
const TARGETS: u32 = 36;
const INSTANCES: usize = 6;
const SLOTS: u32 = 8;
/// Number of prefixes that a target's cache holds.
const CACHE: usize = 24;
/// Number of different prefixes.
const PREFIXES: usize = 400;
/// Seconds of prefill for a prefix that is not cached, and for one that is.
const PREFILL: [f64; 2] = [0.6, 0.05];
/// Mean seconds of decoding.
const DECODE: f64 = 3.0;
/// Bytes of a request and its answer together.
const BYTES: u64 = 30_000;
const REPORT_AGE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(500);
const WARMUP: Duration = Duration::from_secs(30);
const LENGTH: Duration = Duration::from_secs(180);

#[derive(Default)]
struct Engine {
    running: u32,
    queue: VecDeque<Job>,
    cache: VecDeque<u64>,
    reports: VecDeque<(Instant, u32, u32)>,
}

struct Job {
    lease: Lease,
    prefix: u64,
    arrived: Instant,
}

enum Event {
    New,
    End(Lease),
    Tick,
}

#[derive(Debug, Default)]
struct Outcome {
    waits: Vec<Duration>,
    hits: usize,
    cross_region: usize,
}

impl Outcome {
    fn wait(&self, q: f64) -> f64 {
        let mut sorted = self.waits.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() as f64 * q) as usize).min(sorted.len() - 1);
        sorted[at].as_secs_f64()
    }

    fn hit_rate(&self) -> f64 {
        self.hits as f64 / self.waits.len() as f64
    }

    /// Billed bytes per request.
    fn billed(&self) -> f64 {
        self.cross_region as f64 * BYTES as f64 / self.waits.len() as f64
    }
}

struct Simulation {
    rng: StdRng,
    now: Instant,
    base: Instant,
    seq: u64,
    heap: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    rate: f64,
    gossip: bool,
    outcome: Outcome,
}

fn targets() -> Vec<Target> {
    (0..TARGETS)
        .map(|key| {
            let region = REGIONS[key as usize % REGIONS.len()];
            Target {
                key: TargetKey(key),
                name: format!("engine-{key}").into(),
                incarnation: 0,
                addr: ([127, 0, 0, 1], 9000).into(),
                domain: region.into(),
                region: region.into(),
                service: "drafting".into(),
                version: "v1".into(),
                leaving: false,
            }
        })
        .collect()
}

/// Simulates `load` times the request rate that the targets can serve with cold caches.
fn run(policy: Policy, load: f64, gossip: bool, seed: u64) -> Outcome {
    let capacity = f64::from(TARGETS * SLOTS) / (DECODE + PREFILL[0]);
    let base = Instant::now();
    let router = || {
        let router = Router::new(policy, Costs::default());
        router.sync(targets());
        router
    };
    let mut simulation = Simulation {
        rng: StdRng::seed_from_u64(seed),
        now: base,
        base,
        seq: 0,
        heap: BinaryHeap::new(),
        events: HashMap::new(),
        routers: (0..INSTANCES).map(|_| router()).collect(),
        engines: (0..TARGETS).map(|_| Engine::default()).collect(),
        rate: capacity * load,
        gossip,
        outcome: Outcome::default(),
    };
    simulation.schedule(base, Event::New);
    simulation.schedule(base, Event::Tick);
    while let Some(Reverse((at, seq))) = simulation.heap.pop() {
        if at > base + LENGTH {
            break;
        }
        simulation.now = at;
        match simulation.events.remove(&seq).expect("each event once") {
            Event::New => simulation.arrive(),
            Event::End(lease) => simulation.end(lease),
            Event::Tick => simulation.tick(),
        }
    }
    simulation.outcome
}

impl Simulation {
    fn schedule(&mut self, at: Instant, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let draw = 1.0 - self.rng.random::<f64>();
        Duration::from_secs_f64(-mean * draw.ln())
    }

    /// Draws a prefix: a few are frequent, most are rare.
    fn prefix(&mut self) -> u64 {
        let draw = self.rng.random::<f64>();
        (draw * draw * PREFIXES as f64) as u64
    }

    fn region(&mut self) -> usize {
        let draw = self.rng.random::<f64>();
        match () {
            () if draw < SKEW[0] => 0,
            () if draw < SKEW[0] + SKEW[1] => 1,
            () => 2,
        }
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / self.rate);
        self.schedule(self.now + gap, Event::New);
        let region = self.region();
        let half = self.rng.random_range(0..2);
        let prefix = self.prefix();
        let query = Query {
            excluded_domains: &[],
            work: None,
            service: "drafting",
            version: "v1",
            domain: REGIONS[region],
            region: REGIONS[region],
            prefix: Some(prefix.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            excluded: &[],
            bytes: BYTES,
        };
        let router = &self.routers[region + 3 * half];
        let lease = router.choose(&query, self.now).expect("a target");
        let engine = &mut self.engines[lease.key.0 as usize];
        engine.queue.push_back(Job {
            lease,
            prefix,
            arrived: self.now,
        });
        let at = engine
            .queue
            .back()
            .map_or(0, |job| job.lease.key.0 as usize);
        self.serve(at);
    }

    fn serve(&mut self, at: usize) {
        while self.engines[at].running < SLOTS {
            let Some(job) = self.engines[at].queue.pop_front() else {
                break;
            };
            self.engines[at].running += 1;
            let hit = self.engines[at].touch(job.prefix);
            if self.now >= self.base + WARMUP {
                self.outcome.waits.push(self.now - job.arrived);
                self.outcome.hits += usize::from(hit);
                self.outcome.cross_region += usize::from(job.lease.cross_region);
            }
            let prefill = Duration::from_secs_f64(PREFILL[usize::from(hit)]);
            let held = prefill + self.exponential(DECODE);
            self.schedule(self.now + held, Event::End(job.lease));
        }
    }

    fn end(&mut self, lease: Lease) {
        let at = lease.key.0 as usize;
        lease.finish(self.now);
        self.engines[at].running -= 1;
        self.serve(at);
    }

    fn tick(&mut self) {
        let now = self.now;
        for (key, engine) in self.engines.iter_mut().enumerate() {
            let queued = engine.queue.len() as u32;
            engine.reports.push_back((now, engine.running, queued));
            while engine.reports.len() > 1 && engine.reports[1].0 + REPORT_AGE <= now {
                engine.reports.pop_front();
            }
            let (at, running, queued) = engine.reports[0];
            if at + REPORT_AGE > now {
                continue;
            }
            let report = LoadReport {
                running,
                queued,
                slots: SLOTS,
                age: now - at,
                leaving: false,
            };
            for router in &self.routers {
                router.apply_load_report(TargetKey(key as u32), report, now);
            }
        }
        if self.gossip {
            self.exchange();
        }
        self.schedule(now + TICK, Event::Tick);
    }

    fn exchange(&mut self) {
        let reports: Vec<_> = self
            .routers
            .iter()
            .map(|r| r.peer_report(self.now))
            .collect();
        for (to, router) in self.routers.iter().enumerate() {
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
                router.apply_peer_report(&format!("instance-{from}"), report, self.now);
            }
        }
    }
}

impl Engine {
    /// Looks a prefix up and caches it; true when it was cached.
    fn touch(&mut self, prefix: u64) -> bool {
        let hit = self.cache.iter().position(|p| *p == prefix);
        if let Some(at) = hit {
            self.cache.remove(at);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        hit.is_some()
    }
}

#[test]
fn cost_policy_beats_the_baselines_with_stale_reports() {
    const BASELINES: [Policy; 4] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoices,
        Policy::LeastReported,
    ];
    println!("load policy seed p50_s p95_s p99_s hit_rate billed_bytes");
    for load in [0.7, 0.9] {
        for seed in [21, 22] {
            let ours = run(Policy::Cost, load, true, seed);
            print(load, Policy::Cost, seed, &ours);
            for policy in BASELINES {
                let base = run(policy, load, true, seed);
                print(load, policy, seed, &base);
                assert!(ours.wait(0.95) <= base.wait(0.95), "p95 wait");
                assert!(ours.wait(0.99) <= base.wait(0.99), "p99 wait");
                assert!(ours.hit_rate() > base.hit_rate(), "prefix hits");
                assert!(ours.billed() < base.billed() / 2.0, "billed bytes");
            }
        }
    }
}

#[test]
fn cost_policy_does_not_herd_without_peer_reports() {
    let ours = run(Policy::Cost, 0.7, false, 23);
    let reported = run(Policy::LeastReported, 0.7, false, 23);

    print(0.7, Policy::Cost, 23, &ours);
    print(0.7, Policy::LeastReported, 23, &reported);
    assert!(ours.wait(0.99) < reported.wait(0.99) / 2.0);
}

fn print(load: f64, policy: Policy, seed: u64, outcome: &Outcome) {
    println!(
        "{load} {policy:?} {seed} {:.3} {:.3} {:.3} {:.3} {:.0}",
        outcome.wait(0.5),
        outcome.wait(0.95),
        outcome.wait(0.99),
        outcome.hit_rate(),
        outcome.billed(),
    );
}
