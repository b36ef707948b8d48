//! Discrete-event simulation of admission on a virtual clock: client accounts, the queues of
//! several instances, and the slots of the targets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use endivefork::admission::{AdmissionRequest, Decision, FairQueue, Grant, Ticket, Waiter};
use endivefork::ident::RequestKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One client account's behaviour.
#[derive(Clone, Debug)]
pub struct Caller {
    pub name: &'static str,
    pub weight: u32,
    /// New requests per second.
    pub rate: f64,
    /// Whether the client obeys `Retry-After`.
    pub obeys_retry: bool,
}

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub callers: Vec<Caller>,
    pub instances: usize,
    /// Whether instances receive each other's usage messages.
    pub exchanging: bool,
    /// Number of instances that receive client requests; the others get none.
    pub entry_instances: usize,
    pub slots: usize,
    /// Seconds for which one unit of cost holds a slot.
    pub unit_hold: f64,
    pub warmup: Duration,
    pub duration: Duration,
}

/// Results of one account after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub offered: usize,
    pub done: usize,
    pub cost: u64,
    pub waits: Vec<Duration>,
    pub refused: usize,
    pub refusal_waits: Vec<Duration>,
    pub reserved: usize,
    pub retried: usize,
    pub accepted: usize,
}

/// Mean cost of a request.
pub const COST: u64 = 100;

/// Interval of the exchange of usage messages among instances.
const EXCHANGE: Duration = Duration::from_millis(500);

enum Event {
    Arrival(usize),
    Retry(Request),
    Completion(Job),
    Timeout(usize, Waiter),
    Exchange,
}

#[derive(Clone)]
struct Request {
    caller: usize,
    key: RequestKey,
    cost: u64,
    reserved: bool,
    submitted: Instant,
}

struct Job {
    index: usize,
    ticket: Ticket,
    request: Request,
}

pub struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    start_time: Instant,
    now: Instant,
    seq: u64,
    heap: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    queues: Vec<FairQueue>,
    waiting: Vec<HashMap<Waiter, Request>>,
    slots_used: usize,
    backlog: VecDeque<Job>,
    stats: Vec<Stats>,
}

/// Runs the simulation and returns the results by caller.
pub fn run(scenario: &Scenario) -> Vec<Stats> {
    println!("seed {}", scenario.seed);
    let mut simulation = Simulation::new(scenario.clone());
    simulation.schedule_first();
    let end = simulation.start_time + scenario.duration;
    while let Some(Reverse((at, seq))) = simulation.heap.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        if let Some(event) = simulation.events.remove(&seq) {
            simulation.handle(event);
        }
    }
    simulation.stats
}

/// Requests per second that `slots` can serve if one unit of cost holds a slot for `unit_hold`
/// seconds.
pub fn capacity(slots: usize, unit_hold: f64) -> f64 {
    slots as f64 / (COST as f64 * unit_hold)
}

/// The value below which the fraction `q` of `values` lies.
pub fn quantile(values: &[Duration], q: f64) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * q) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let start_time = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            start_time,
            now: start_time,
            seq: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            queues: (0..scenario.instances).map(|_| FairQueue::new()).collect(),
            waiting: vec![HashMap::new(); scenario.instances],
            slots_used: 0,
            backlog: VecDeque::new(),
            stats: vec![Stats::default(); scenario.callers.len()],
            scenario,
        }
    }

    fn schedule_first(&mut self) {
        self.exchange();
        for caller in 0..self.scenario.callers.len() {
            self.schedule_arrival(caller);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(caller) => self.arrive(caller),
            Event::Retry(request) => self.submit(request),
            Event::Completion(job) => self.complete(job),
            Event::Timeout(index, waiter) => self.time_out(index, waiter),
            Event::Exchange => self.exchange(),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn schedule_arrival(&mut self, caller: usize) {
        let rate = self.scenario.callers[caller].rate;
        if rate > 0.0 {
            let gap = self.exponential(1.0 / rate);
            self.schedule(
                self.now + Duration::from_secs_f64(gap),
                Event::Arrival(caller),
            );
        }
    }

    fn arrive(&mut self, caller: usize) {
        self.schedule_arrival(caller);
        let request = Request {
            caller,
            key: RequestKey(self.rng.random()),
            cost: self.rng.random_range(COST / 2..=COST * 3 / 2),
            reserved: false,
            submitted: self.now,
        };
        if self.measuring() {
            self.stats[caller].offered += 1;
        }
        self.submit(request);
    }

    fn measuring(&self) -> bool {
        self.now >= self.start_time + self.scenario.warmup
    }

    fn admission_request(&self, request: &Request) -> AdmissionRequest {
        let caller = &self.scenario.callers[request.caller];
        AdmissionRequest {
            account: caller.name.into(),
            weight: caller.weight,
            concurrency: 10_000,
            priority: 0,
            cost: request.cost,
            deadline: None,
            key: request.key,
        }
    }

    fn submit(&mut self, mut request: Request) {
        let index = self.rng.random_range(0..self.scenario.entry_instances);
        request.submitted = self.now;
        let admission = self.admission_request(&request);
        let measuring = self.measuring();
        let stats = &mut self.stats[request.caller];
        let decision = self.queues[index].submit(&admission, self.now);
        if request.reserved && measuring {
            stats.retried += 1;
            stats.accepted += usize::from(!matches!(decision, Decision::Refuse(_)));
        }
        match decision {
            Decision::Run(ticket) => self.start(index, ticket, request),
            Decision::Wait(waiter, until) => {
                self.waiting[index].insert(waiter, request);
                self.schedule(until, Event::Timeout(index, waiter));
            }
            Decision::Refuse(refusal) => self.handle_refusal(request, refusal.retry_after),
        }
    }

    fn handle_refusal(&mut self, request: Request, wait: Option<Duration>) {
        let caller = &self.scenario.callers[request.caller];
        let waited = self.now - request.submitted;
        if self.measuring() {
            let stats = &mut self.stats[request.caller];
            stats.refused += 1;
            stats.reserved += usize::from(wait.is_some());
            stats.refusal_waits.push(waited);
        }
        if let Some(wait) = wait.filter(|_| caller.obeys_retry) {
            // The header has whole seconds, rounded up; the network delays the answer and the
            // retry.
            let header = Duration::from_secs(wait.as_secs_f64().ceil() as u64);
            let delay = Duration::from_millis(self.rng.random_range(2..80));
            let retry = Request {
                reserved: true,
                ..request
            };
            self.schedule(self.now + header + delay, Event::Retry(retry));
        }
    }

    fn time_out(&mut self, index: usize, waiter: Waiter) {
        let Some(request) = self.waiting[index].remove(&waiter) else {
            return;
        };
        assert!(
            self.queues[index].cancel(waiter),
            "a waiting request left the queue without a grant"
        );
        let admission = self.admission_request(&request);
        let refusal = self.queues[index].expire(&admission, self.now);
        if request.reserved && self.measuring() {
            let stats = &mut self.stats[request.caller];
            stats.accepted = stats.accepted.saturating_sub(1);
        }
        self.handle_refusal(request, refusal.retry_after);
    }

    fn start(&mut self, index: usize, ticket: Ticket, request: Request) {
        if self.measuring() {
            let waited = self.now - request.submitted;
            self.stats[request.caller].waits.push(waited);
        }
        let job = Job {
            index,
            ticket,
            request,
        };
        match self.slots_used < self.scenario.slots {
            true => self.serve(job),
            false => self.backlog.push_back(job),
        }
    }

    fn serve(&mut self, job: Job) {
        self.slots_used += 1;
        let held = job.request.cost as f64 * self.scenario.unit_hold;
        self.schedule(
            self.now + Duration::from_secs_f64(held),
            Event::Completion(job),
        );
    }

    fn complete(&mut self, job: Job) {
        self.slots_used -= 1;
        if self.measuring() {
            let stats = &mut self.stats[job.request.caller];
            stats.done += 1;
            stats.cost += job.request.cost;
        }
        let grants = self.queues[job.index].release(job.ticket, None, self.now);
        self.grant(job.index, grants);
        while self.slots_used < self.scenario.slots {
            let Some(next) = self.backlog.pop_front() else {
                break;
            };
            self.serve(next);
        }
    }

    fn grant(&mut self, index: usize, grants: Vec<Grant>) {
        for grant in grants {
            let request = self.waiting[index].remove(&grant.waiter);
            let request = request.expect("the granted request is waiting");
            self.start(index, grant.ticket, request);
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        let usages: Vec<_> = self
            .queues
            .iter_mut()
            .map(|queue| queue.usage("drafting", 1, now))
            .collect();
        for index in 0..self.queues.len() {
            for (origin, usage) in usages.iter().enumerate() {
                if self.scenario.exchanging && origin != index {
                    self.queues[index].merge(&format!("instance-{origin}"), usage, now);
                }
            }
            let slots = self.scenario.slots as u32;
            let grants = self.queues[index].set_capacity(slots, self.scenario.instances, now);
            self.grant(index, grants);
        }
        self.schedule(now + EXCHANGE, Event::Exchange);
    }
}
