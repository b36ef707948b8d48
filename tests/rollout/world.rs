//! A virtual clock around the decision aggregate: requests, their outcomes, exchange between
//! instances and a platform object, as plain function calls.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use endivefork::ident::RequestKey;
use endivefork::rollout::{Band, Move, Phase, Proposal, Sample, Snapshot, Surroundings, Trial};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const ROUTES: [(&str, f64); 3] = [("chat", 0.6), ("completions", 0.3), ("batch", 0.1)];
/// Ticks between two exchanges.
const EXCHANGE: u64 = 2;
const WALL: u64 = 1_700_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Onset {
    AtOnce,
    Later,
    UnderLoad,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    Fail(f64),
    Slow(f64),
    SlowFirst(f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub onset: Onset,
    pub harm: Harm,
    pub one_route: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    None,
    Crashes,
    Poison,
    LaggingClock,
    PlatformDown,
}

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub whole_s: u64,
    pub rate: f64,
    /// Milliseconds between two decisions of an instance.
    pub tick: u64,
    pub instances: usize,
    pub fault: Option<Fault>,
    pub trouble: Trouble,
    pub policy: Policy,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    Evidence,
    FixedSteps,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub phase: Option<Phase>,
    pub reason: String,
    /// Milliseconds since the start at which the move ended.
    pub ended: Option<u64>,
    pub requests: u64,
    /// Requests sent to the new version while its fault was active.
    pub exposed: u64,
    /// All requests sent to a version whose fault had not been taken back.
    pub tried: u64,
    /// When all evidence, pooled without delay, refutes the new version.
    pub shown: Option<u64>,
    /// The fifth bad answer of the new version.
    pub fifth: Option<u64>,
    /// The last request sent to the new version before the end.
    pub last: Option<u64>,
}

struct Event {
    node: usize,
    version: &'static str,
    route: usize,
    band: Band,
    sample: Sample,
    bad: bool,
}

enum Mail {
    Evidence(usize, Snapshot),
    View(usize, u64, Move),
    Write(Move, u64),
}

struct World {
    setup: Setup,
    rng: StdRng,
    base: Instant,
    now: u64,
    nodes: Vec<Trial>,
    oracle: Trial,
    sent: Vec<u64>,
    writing: Vec<u64>,
    platform: (u64, Move),
    events: BinaryHeap<Reverse<(u64, u64)>>,
    outbox: Vec<Event>,
    mail: Vec<(u64, Mail)>,
    onset: Option<u64>,
    /// First peak of load; peaks last an eighth of the time and come every quarter of it.
    peak: u64,
    route: usize,
    bad: u64,
    fixed: Fixed,
    out: Outcome,
}

/// Central counters of one step for the fixed-step policy.
#[derive(Default)]
struct Fixed {
    since: u64,
    ended: [u64; 2],
    failed: [u64; 2],
    first: [Vec<f64>; 2],
    gap: [Vec<f64>; 2],
}

pub fn run(setup: Setup) -> Outcome {
    let mut world = World::new(setup);
    let end = setup.whole_s * 1000;
    while world.now < end {
        world.step();
    }
    world.out.phase = Some(world.platform.1.phase);
    world.out.reason = world.platform.1.reason.to_string();
    world.out
}

impl World {
    fn new(setup: Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let base = Instant::now();
        let end = setup.whole_s * 1000;
        let plan = Move::new("m", "drafting", "old", "new", WALL, WALL + end, 1.0);
        let trial = |name: &str| Trial::new(name, 1, 1, plan.clone(), base);
        let peak = (rng.random_range(0.0..0.25) * end as f64) as u64;
        let onset = match setup.fault.map(|f| f.onset) {
            None => None,
            Some(Onset::AtOnce) => Some(0),
            Some(Onset::Later) => Some((rng.random_range(0.1..0.74) * end as f64) as u64),
            Some(Onset::UnderLoad) => Some(peak),
        };
        Self {
            nodes: (0..setup.instances)
                .map(|i| trial(&format!("entry-{i}")))
                .collect(),
            oracle: trial("oracle"),
            sent: vec![0; setup.instances],
            writing: vec![0; setup.instances],
            platform: (1, plan),
            events: BinaryHeap::new(),
            outbox: Vec::new(),
            mail: Vec::new(),
            onset,
            peak,
            route: rng.random_range(0..ROUTES.len()),
            bad: 0,
            fixed: Fixed::default(),
            out: Outcome::default(),
            now: 0,
            base,
            rng,
            setup,
        }
    }

    fn step(&mut self) {
        self.now += self.setup.tick;
        self.deliver();
        self.outcomes();
        self.requests();
        self.troubles();
        if self.now.is_multiple_of(EXCHANGE * self.setup.tick) {
            self.exchange();
        }
        match self.setup.policy {
            Policy::Evidence => self.decide(),
            Policy::FixedSteps => self.decide_fixed(),
        }
    }

    fn at(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    fn wall(&self, node: usize) -> u64 {
        let lag = match (self.setup.trouble, node) {
            (Trouble::LaggingClock, 0) => self.setup.whole_s * 400,
            _ => 0,
        };
        WALL + self.now - lag.min(WALL)
    }

    fn platform_up(&self) -> bool {
        let end = self.setup.whole_s * 1000;
        let down = (end * 3 / 10, end * 45 / 100);
        self.setup.trouble != Trouble::PlatformDown || !(down.0..down.1).contains(&self.now)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.mail = later;
        let due: Vec<(u64, Mail)> = due;
        let at = self.at();
        for (_, mail) in due {
            match mail {
                Mail::Evidence(node, snapshot) => self.nodes[node].merge(&snapshot, at),
                Mail::View(node, rev, stored) => self.nodes[node].observe(rev, &stored, at),
                Mail::Write(value, rev) => self.store(value, rev),
            }
        }
    }

    fn store(&mut self, value: Move, rev: u64) {
        if rev != self.platform.0 || !self.platform_up() {
            return;
        }
        if value.phase.is_final() {
            self.out.ended = Some(self.now);
        }
        self.platform = (rev + 1, value.clone());
        let at = self.at();
        self.oracle.observe(rev + 1, &value, at);
        for node in 0..self.nodes.len() {
            let delay = self.rng.random_range(100..2000);
            let mail = Mail::View(node, rev + 1, value.clone());
            self.mail.push((self.now + delay, mail));
        }
    }

    fn outcomes(&mut self) {
        let at_ms = self.now;
        while let Some(Reverse((at, index))) = self.events.peek().copied() {
            if at > at_ms {
                break;
            }
            self.events.pop();
            let event = &self.outbox[index as usize];
            let route = ROUTES[event.route].0;
            self.nodes[event.node].record(event.version, route, event.band, event.sample);
            self.oracle
                .record(event.version, route, event.band, event.sample);
            self.fixed.record(event);
            self.bad += u64::from(event.bad);
            if self.bad >= 5 && self.out.fifth.is_none() {
                self.out.fifth = Some(at);
            }
        }
    }

    fn requests(&mut self) {
        let mut left = self.setup.rate * self.setup.tick as f64 / 1e3;
        left += self.rng.random_range(-1.0..1.0) * left.sqrt().min(left);
        while left > 0.0 {
            if left >= 1.0 || self.rng.random::<f64>() < left {
                self.request();
            }
            left -= 1.0;
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let key = RequestKey(self.rng.random());
        let version = match self.nodes[node].version_for(key).as_str() {
            "new" => "new",
            _ => "old",
        };
        let route = self.pick_route();
        let band = self.pick_band();
        self.out.requests += 1;
        let active = self.is_active();
        let running = !self.platform.1.phase.is_final();
        if version == "new" && (running || active) {
            self.out.tried += 1;
            self.out.exposed += u64::from(active);
            self.out.last = Some(self.now);
        }
        let harm = match self.setup.fault {
            Some(fault) if version == "new" && active && self.hits(fault, route, band) => {
                Some(fault.harm)
            }
            _ => None,
        };
        self.answer(node, version, route, band, harm);
    }

    fn hits(&self, fault: Fault, route: usize, band: Band) -> bool {
        (!fault.one_route || route == self.route)
            && (fault.onset != Onset::UnderLoad || band == Band::High)
    }

    fn answer(
        &mut self,
        node: usize,
        version: &'static str,
        route: usize,
        band: Band,
        harm: Option<Harm>,
    ) {
        let strain = match band {
            Band::Low => 1.0,
            Band::Medium => 1.4,
            Band::High => 2.5,
        };
        let (slow_first, slow_gap, failing) = match harm {
            Some(Harm::Slow(by)) => (by, by, 0.002),
            Some(Harm::SlowFirst(by)) => (by, 1.0, 0.002),
            Some(Harm::Fail(rate)) => (1.0, 1.0, rate),
            None => (1.0, 1.0, 0.002),
        };
        let first = 300.0 * strain * slow_first * self.noise(0.4);
        let gap = 30.0 * strain * slow_gap * self.noise(0.2);
        let failed = self.rng.random::<f64>() < failing;
        let first = Duration::from_secs_f64(first / 1e3);
        let gap = Duration::from_secs_f64(gap / 1e3);
        let sent = Duration::from_millis(self.now);
        let mut push = |after: Duration, sample, bad| {
            let event = Event {
                node,
                version,
                route,
                band,
                sample,
                bad,
            };
            let at = (sent + after).as_millis() as u64;
            self.events.push(Reverse((at, self.outbox.len() as u64)));
            self.outbox.push(event);
        };
        let slow = harm.is_some() && !matches!(harm, Some(Harm::Fail(_)));
        if failed {
            push(first, Sample::Failed, harm.is_some());
            return;
        }
        push(first, Sample::First(first), slow);
        push(first + gap * 30, Sample::Gap(gap), false);
        push(first + gap * 60, Sample::Answered, false);
    }

    /// Logarithmic normal noise with median 1.
    fn noise(&mut self, sigma: f64) -> f64 {
        let sum: f64 = (0..6).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 3.0) * std::f64::consts::SQRT_2 * sigma).exp()
    }

    fn pick_route(&mut self) -> usize {
        let mut x = self.rng.random::<f64>();
        let hit = |(_, share): &(&str, f64)| {
            x -= share;
            x < 0.0
        };
        ROUTES.iter().position(hit).unwrap_or(0)
    }

    fn is_peak(&self) -> bool {
        let end = self.setup.whole_s * 1000;
        self.now >= self.peak && (self.now - self.peak) % (end / 4) < end / 8
    }

    /// Whether the fault would show in a request sent now.
    fn is_active(&self) -> bool {
        let shows = match self.setup.fault {
            Some(fault) if fault.onset == Onset::UnderLoad => self.is_peak(),
            fault => fault.is_some(),
        };
        shows && self.onset.is_some_and(|at| self.now >= at)
    }

    fn pick_band(&mut self) -> Band {
        match self.rng.random::<f64>() {
            x if self.is_peak() && x < 0.7 => Band::High,
            x if x < 0.2 => Band::Medium,
            _ => Band::Low,
        }
    }

    /// Deaths of targets that say nothing about the version.
    fn troubles(&mut self) {
        let chance = match self.setup.trouble {
            Trouble::Crashes => 1.0 / 100.0,
            Trouble::Poison => 1.0 / 150.0,
            _ => 1.0 / 3600.0,
        };
        if self.rng.random::<f64>() > chance * self.setup.tick as f64 / 1e3 {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let key = RequestKey(self.rng.random());
        let version = match self.nodes[node].version_for(key).as_str() {
            "new" => "new",
            _ => "old",
        };
        let route = self.pick_route();
        let deaths = if self.setup.trouble == Trouble::Poison {
            2
        } else {
            1
        };
        for _ in 0..deaths {
            let route = ROUTES[route].0;
            self.nodes[node].record(version, route, Band::Low, Sample::Died);
            self.oracle.record(version, route, Band::Low, Sample::Died);
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.nodes.len() {
            let whole = self.now.is_multiple_of(20 * self.setup.tick);
            let since = if whole { 0 } else { self.sent[from] };
            let wall = self.wall(from);
            let snapshot = self.nodes[from].snapshot(since, wall);
            self.sent[from] = snapshot.seq;
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                if self.rng.random::<f64>() < 0.02 {
                    continue;
                }
                let delay = self.rng.random_range(5..120);
                let mail = Mail::Evidence(to, snapshot.clone());
                self.mail.push((self.now + delay, mail));
            }
        }
    }

    fn decide(&mut self) {
        let at = self.at();
        let names = (0..self.nodes.len()).map(|i| format!("entry-{i}").into());
        let around = Surroundings {
            live: names.collect(),
            platform: self.platform_up(),
        };
        for node in 0..self.nodes.len() {
            let wall = self.wall(node);
            let proposal = self.nodes[node].tick(at, wall, &around);
            let value = match proposal {
                Some(Proposal::Advance(value) | Proposal::Withdraw(value)) => value,
                None => continue,
            };
            if self.now < self.writing[node] {
                continue;
            }
            self.writing[node] = self.now + 1000;
            let rev = self.nodes[node].rev();
            let delay = self.rng.random_range(5..60);
            self.mail.push((self.now + delay, Mail::Write(value, rev)));
        }
        let _ = self
            .oracle
            .tick(at, WALL + self.now, &Surroundings::default());
        if self.out.shown.is_none() && self.oracle.withdrawn().is_some() {
            self.out.shown = Some(self.now);
        }
    }

    fn decide_fixed(&mut self) {
        let wait = self.setup.whole_s * 100;
        let (rev, stored) = self.platform.clone();
        if self.now < self.fixed.since + wait || stored.phase.is_final() {
            return;
        }
        let worse = self.fixed.worse();
        let value = match stored.step {
            _ if worse => Move {
                phase: Phase::Withdrawn,
                ..stored
            },
            6 => Move {
                phase: Phase::Done,
                ..stored
            },
            step => Move {
                step: step + 1,
                ..stored
            },
        };
        self.fixed = Fixed {
            since: self.now,
            ..Fixed::default()
        };
        self.store(value, rev);
    }
}

impl Fixed {
    fn record(&mut self, event: &Event) {
        let side = usize::from(event.version == "new");
        match event.sample {
            Sample::Answered => self.ended[side] += 1,
            Sample::Failed => {
                self.ended[side] += 1;
                self.failed[side] += 1;
            }
            Sample::First(wait) => self.first[side].push(wait.as_secs_f64()),
            Sample::Gap(gap) => self.gap[side].push(gap.as_secs_f64()),
            Sample::Died => {}
        }
    }

    fn worse(&mut self) -> bool {
        let rate = |i: usize| self.failed[i] as f64 / self.ended[i].max(1) as f64;
        let fails = rate(1) > rate(0) + 0.02;
        let mut slow = false;
        for [old, new] in [&mut self.first, &mut self.gap] {
            slow |= tail(new) > 1.5 * tail(old);
        }
        fails || slow
    }
}

fn tail(samples: &mut [f64]) -> f64 {
    samples.sort_unstable_by(f64::total_cmp);
    samples
        .get(samples.len() * 95 / 100)
        .copied()
        .unwrap_or(0.0)
}
