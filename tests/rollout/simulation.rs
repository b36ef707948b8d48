//! Simulation of one move with a virtual clock: requests and their outcomes, exchange of snapshots
//! between instances, and the stored move on the platform, all in one thread without I/O.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use endivefork::ident::RequestKey;
use endivefork::rollout::{Band, ClusterState, Evaluator, Move, Phase, Proposal, Sample, Snapshot};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Routes and their shares of the requests.
pub const ROUTES: [(&str, f64); 3] = [("chat", 0.6), ("completions", 0.3), ("batch", 0.1)];
/// Ticks between two exchanges of snapshots.
const EXCHANGE_TICKS: u64 = 2;
/// Unix milliseconds at the start of the simulation.
const START_MS: u64 = 1_700_000_000_000;

/// When a fault becomes active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Onset {
    AtOnce,
    Later,
    UnderLoad,
}

/// Effect of a fault on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Fails with this probability.
    Fail(f64),
    /// All latencies grow by this factor.
    Slow(f64),
    /// The time to the first token grows by this factor.
    SlowFirst(f64),
}

/// A fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub onset: Onset,
    pub effect: Effect,
    pub one_route: bool,
}

/// A disturbance that is not caused by the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    None,
    /// Targets crash often.
    Crashes,
    /// Single requests crash two targets each.
    Poison,
    /// The clock of one instance is behind by 40% of the duration.
    LaggingClock,
    /// The platform is unreachable from 30% to 45% of the duration.
    PlatformDown,
}

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub duration_s: u64,
    /// Requests a second.
    pub rate: f64,
    /// Milliseconds between two evaluations at an instance.
    pub tick_ms: u64,
    pub instances: usize,
    pub fault: Option<Fault>,
    pub disturbance: Disturbance,
    pub policy: Policy,
}

/// How the share of the new version is decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// By the evaluators of the instances.
    Evidence,
    /// By central counters with a fixed wait at each step, for comparison.
    FixedSteps,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub phase: Option<Phase>,
    pub reason: String,
    /// Milliseconds since the start at which the move ended.
    pub ended_at: Option<u64>,
    pub requests: u64,
    /// Requests sent to the new version while its fault was active.
    pub exposed: u64,
    /// Requests sent to the new version before the end of the move or while its fault was active.
    pub sent_to_new: u64,
    /// When the evidence of all instances, pooled without delay, suffices for a rollback.
    pub refuted_at: Option<u64>,
    /// When the new version gave its fifth bad response.
    pub fifth_bad: Option<u64>,
    /// When the last request counted in `sent_to_new` was sent.
    pub last_sent: Option<u64>,
}

/// A sample that is recorded at a later time.
struct Event {
    instance: usize,
    version: &'static str,
    route: usize,
    band: Band,
    sample: Sample,
    bad: bool,
}

/// A message in transit.
enum Message {
    /// To an instance: the snapshot of a peer.
    Snapshot(usize, Snapshot),
    /// To an instance: a revision of the stored move.
    Stored(usize, u64, Move),
    /// To the platform: a new value and the revision that it replaces.
    Write(Move, u64),
}

struct Simulation {
    setup: Setup,
    rng: StdRng,
    base: Instant,
    now: u64,
    evaluators: Vec<Evaluator>,
    /// Receives all samples without delay; shows when the evidence suffices for a rollback.
    oracle: Evaluator,
    /// Sequence number of the last snapshot of each instance.
    last_seq: Vec<u64>,
    /// Time until which each instance waits after a write.
    next_write: Vec<u64>,
    /// Revision and value of the stored move.
    platform: (u64, Move),
    /// Times and indices of the events not yet recorded.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Event>,
    messages: Vec<(u64, Message)>,
    onset: Option<u64>,
    /// Start of the first load peak. Peaks last an eighth of the duration and recur every quarter.
    peak: u64,
    /// Route that a fault of one route affects.
    route: usize,
    bad: u64,
    fixed: FixedSteps,
    out: Outcome,
}

/// Central counters of both versions at the current step, for [`Policy::FixedSteps`].
#[derive(Default)]
struct FixedSteps {
    since: u64,
    ended: [u64; 2],
    failed: [u64; 2],
    first: [Vec<f64>; 2],
    gap: [Vec<f64>; 2],
}

pub fn run(setup: Setup) -> Outcome {
    let mut simulation = Simulation::new(setup);
    let end = setup.duration_s * 1000;
    while simulation.now < end {
        simulation.step();
    }
    simulation.out.phase = Some(simulation.platform.1.phase);
    simulation.out.reason = simulation.platform.1.reason.to_string();
    simulation.out
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let base = Instant::now();
        let end = setup.duration_s * 1000;
        let plan = Move::new("m", "drafting", "old", "new", START_MS, START_MS + end, 1.0);
        let evaluator = |name: &str| Evaluator::new(name, 1, 1, plan.clone(), base);
        let peak = (rng.random_range(0.0..0.25) * end as f64) as u64;
        let onset = match setup.fault.map(|f| f.onset) {
            None => None,
            Some(Onset::AtOnce) => Some(0),
            Some(Onset::Later) => Some((rng.random_range(0.1..0.74) * end as f64) as u64),
            Some(Onset::UnderLoad) => Some(peak),
        };
        Self {
            evaluators: (0..setup.instances)
                .map(|i| evaluator(&format!("entry-{i}")))
                .collect(),
            oracle: evaluator("oracle"),
            last_seq: vec![0; setup.instances],
            next_write: vec![0; setup.instances],
            platform: (1, plan),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            messages: Vec::new(),
            onset,
            peak,
            route: rng.random_range(0..ROUTES.len()),
            bad: 0,
            fixed: FixedSteps::default(),
            out: Outcome::default(),
            now: 0,
            base,
            rng,
            setup,
        }
    }

    fn step(&mut self) {
        self.now += self.setup.tick_ms;
        self.deliver();
        self.record_samples();
        self.send_requests();
        self.lose_targets();
        if self.now.is_multiple_of(EXCHANGE_TICKS * self.setup.tick_ms) {
            self.exchange();
        }
        match self.setup.policy {
            Policy::Evidence => self.decide(),
            Policy::FixedSteps => self.decide_fixed(),
        }
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    fn wall_ms(&self, instance: usize) -> u64 {
        let lag = match (self.setup.disturbance, instance) {
            (Disturbance::LaggingClock, 0) => self.setup.duration_s * 400,
            _ => 0,
        };
        START_MS + self.now - lag.min(START_MS)
    }

    fn platform_up(&self) -> bool {
        let end = self.setup.duration_s * 1000;
        let down = (end * 3 / 10, end * 45 / 100);
        self.setup.disturbance != Disturbance::PlatformDown || !(down.0..down.1).contains(&self.now)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = later;
        let due: Vec<(u64, Message)> = due;
        let at = self.instant();
        for (_, message) in due {
            match message {
                Message::Snapshot(to, snapshot) => self.evaluators[to].merge(&snapshot, at),
                Message::Stored(to, rev, stored) => self.evaluators[to].observe(rev, &stored, at),
                Message::Write(value, rev) => self.store(value, rev),
            }
        }
    }

    fn store(&mut self, value: Move, rev: u64) {
        if rev != self.platform.0 || !self.platform_up() {
            return;
        }
        if value.phase.is_final() {
            self.out.ended_at = Some(self.now);
        }
        self.platform = (rev + 1, value.clone());
        let at = self.instant();
        self.oracle.observe(rev + 1, &value, at);
        for instance in 0..self.evaluators.len() {
            let delay = self.rng.random_range(100..2000);
            let message = Message::Stored(instance, rev + 1, value.clone());
            self.messages.push((self.now + delay, message));
        }
    }

    fn record_samples(&mut self) {
        let now = self.now;
        while let Some(Reverse((at, index))) = self.queue.peek().copied() {
            if at > now {
                break;
            }
            self.queue.pop();
            let event = &self.events[index as usize];
            let route = ROUTES[event.route].0;
            self.evaluators[event.instance].record(event.version, route, event.band, event.sample);
            self.oracle
                .record(event.version, route, event.band, event.sample);
            self.fixed.record(event);
            self.bad += u64::from(event.bad);
            if self.bad >= 5 && self.out.fifth_bad.is_none() {
                self.out.fifth_bad = Some(at);
            }
        }
    }

    fn send_requests(&mut self) {
        let mut left = self.setup.rate * self.setup.tick_ms as f64 / 1e3;
        left += self.rng.random_range(-1.0..1.0) * left.sqrt().min(left);
        while left > 0.0 {
            if left >= 1.0 || self.rng.random::<f64>() < left {
                self.send_request();
            }
            left -= 1.0;
        }
    }

    fn send_request(&mut self) {
        let instance = self.rng.random_range(0..self.evaluators.len());
        let key = RequestKey(self.rng.random());
        let version = match self.evaluators[instance].version_for(key).as_str() {
            "new" => "new",
            _ => "old",
        };
        let route = self.pick_route();
        let band = self.pick_band();
        self.out.requests += 1;
        let active = self.is_active();
        let running = !self.platform.1.phase.is_final();
        if version == "new" && (running || active) {
            self.out.sent_to_new += 1;
            self.out.exposed += u64::from(active);
            self.out.last_sent = Some(self.now);
        }
        let effect = match self.setup.fault {
            Some(fault) if version == "new" && active && self.affects(fault, route, band) => {
                Some(fault.effect)
            }
            _ => None,
        };
        self.respond(instance, version, route, band, effect);
    }

    fn affects(&self, fault: Fault, route: usize, band: Band) -> bool {
        (!fault.one_route || route == self.route)
            && (fault.onset != Onset::UnderLoad || band == Band::High)
    }

    fn respond(
        &mut self,
        instance: usize,
        version: &'static str,
        route: usize,
        band: Band,
        effect: Option<Effect>,
    ) {
        let load_factor = match band {
            Band::Low => 1.0,
            Band::Medium => 1.4,
            Band::High => 2.5,
        };
        let (slow_first, slow_gap, failing) = match effect {
            Some(Effect::Slow(by)) => (by, by, 0.002),
            Some(Effect::SlowFirst(by)) => (by, 1.0, 0.002),
            Some(Effect::Fail(rate)) => (1.0, 1.0, rate),
            None => (1.0, 1.0, 0.002),
        };
        let first = 300.0 * load_factor * slow_first * self.noise(0.4);
        let gap = 30.0 * load_factor * slow_gap * self.noise(0.2);
        let failed = self.rng.random::<f64>() < failing;
        let first = Duration::from_secs_f64(first / 1e3);
        let gap = Duration::from_secs_f64(gap / 1e3);
        let sent_at = Duration::from_millis(self.now);
        let mut push = |after: Duration, sample, bad| {
            let event = Event {
                instance,
                version,
                route,
                band,
                sample,
                bad,
            };
            let at = (sent_at + after).as_millis() as u64;
            self.queue.push(Reverse((at, self.events.len() as u64)));
            self.events.push(event);
        };
        let slow = effect.is_some() && !matches!(effect, Some(Effect::Fail(_)));
        if failed {
            push(first, Sample::Failed, effect.is_some());
            return;
        }
        push(first, Sample::FirstToken(first), slow);
        push(first + gap * 30, Sample::TokenGap(gap), false);
        push(first + gap * 60, Sample::Answered, false);
    }

    /// Approximately log-normal noise with median 1.
    fn noise(&mut self, sigma: f64) -> f64 {
        let sum: f64 = (0..6).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 3.0) * std::f64::consts::SQRT_2 * sigma).exp()
    }

    fn pick_route(&mut self) -> usize {
        let mut x = self.rng.random::<f64>();
        let picks = |(_, share): &(&str, f64)| {
            x -= share;
            x < 0.0
        };
        ROUTES.iter().position(picks).unwrap_or(0)
    }

    fn is_peak(&self) -> bool {
        let end = self.setup.duration_s * 1000;
        self.now >= self.peak && (self.now - self.peak) % (end / 4) < end / 8
    }

    /// Whether the fault can affect a request sent now.
    fn is_active(&self) -> bool {
        let possible = match self.setup.fault {
            Some(fault) if fault.onset == Onset::UnderLoad => self.is_peak(),
            fault => fault.is_some(),
        };
        possible && self.onset.is_some_and(|at| self.now >= at)
    }

    fn pick_band(&mut self) -> Band {
        match self.rng.random::<f64>() {
            x if self.is_peak() && x < 0.7 => Band::High,
            x if x < 0.2 => Band::Medium,
            _ => Band::Low,
        }
    }

    /// Target losses that are not caused by the version.
    fn lose_targets(&mut self) {
        let chance = match self.setup.disturbance {
            Disturbance::Crashes => 1.0 / 100.0,
            Disturbance::Poison => 1.0 / 150.0,
            _ => 1.0 / 3600.0,
        };
        if self.rng.random::<f64>() > chance * self.setup.tick_ms as f64 / 1e3 {
            return;
        }
        let instance = self.rng.random_range(0..self.evaluators.len());
        let key = RequestKey(self.rng.random());
        let version = match self.evaluators[instance].version_for(key).as_str() {
            "new" => "new",
            _ => "old",
        };
        let route = self.pick_route();
        let losses = if self.setup.disturbance == Disturbance::Poison {
            2
        } else {
            1
        };
        for _ in 0..losses {
            let route = ROUTES[route].0;
            self.evaluators[instance].record(version, route, Band::Low, Sample::TargetLost);
            self.oracle
                .record(version, route, Band::Low, Sample::TargetLost);
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.evaluators.len() {
            let full = self.now.is_multiple_of(20 * self.setup.tick_ms);
            let since = if full { 0 } else { self.last_seq[from] };
            let wall_ms = self.wall_ms(from);
            let snapshot = self.evaluators[from].snapshot(since, wall_ms);
            self.last_seq[from] = snapshot.seq;
            for to in (0..self.evaluators.len()).filter(|to| *to != from) {
                if self.rng.random::<f64>() < 0.02 {
                    continue;
                }
                let delay = self.rng.random_range(5..120);
                let message = Message::Snapshot(to, snapshot.clone());
                self.messages.push((self.now + delay, message));
            }
        }
    }

    fn decide(&mut self) {
        let at = self.instant();
        let names = (0..self.evaluators.len()).map(|i| format!("entry-{i}").into());
        let cluster = ClusterState {
            live_instances: names.collect(),
            platform_up: self.platform_up(),
        };
        for instance in 0..self.evaluators.len() {
            let wall_ms = self.wall_ms(instance);
            let proposal = self.evaluators[instance].tick(at, wall_ms, &cluster);
            let value = match proposal {
                Some(Proposal::Advance(value) | Proposal::Withdraw(value)) => value,
                None => continue,
            };
            if self.now < self.next_write[instance] {
                continue;
            }
            self.next_write[instance] = self.now + 1000;
            let rev = self.evaluators[instance].rev();
            let delay = self.rng.random_range(5..60);
            self.messages
                .push((self.now + delay, Message::Write(value, rev)));
        }
        let _ = self
            .oracle
            .tick(at, START_MS + self.now, &ClusterState::default());
        if self.out.refuted_at.is_none() && self.oracle.withdrawn().is_some() {
            self.out.refuted_at = Some(self.now);
        }
    }

    fn decide_fixed(&mut self) {
        let wait = self.setup.duration_s * 100;
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
        self.fixed = FixedSteps {
            since: self.now,
            ..FixedSteps::default()
        };
        self.store(value, rev);
    }
}

impl FixedSteps {
    fn record(&mut self, event: &Event) {
        let side = usize::from(event.version == "new");
        match event.sample {
            Sample::Answered => self.ended[side] += 1,
            Sample::Failed => {
                self.ended[side] += 1;
                self.failed[side] += 1;
            }
            Sample::FirstToken(wait) => self.first[side].push(wait.as_secs_f64()),
            Sample::TokenGap(gap) => self.gap[side].push(gap.as_secs_f64()),
            Sample::TargetLost => {}
        }
    }

    fn worse(&mut self) -> bool {
        let rate = |i: usize| self.failed[i] as f64 / self.ended[i].max(1) as f64;
        let more_failures = rate(1) > rate(0) + 0.02;
        let mut slow = false;
        for [old, new] in [&mut self.first, &mut self.gap] {
            slow |= p95(new) > 1.5 * p95(old);
        }
        more_failures || slow
    }
}

fn p95(samples: &mut [f64]) -> f64 {
    samples.sort_unstable_by(f64::total_cmp);
    samples
        .get(samples.len() * 95 / 100)
        .copied()
        .unwrap_or(0.0)
}
