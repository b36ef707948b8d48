//! Discrete events on a virtual clock: callers with and without patience, lines, and slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use endivefork::admission::{Ask, Decision, Grant, Line, Ticket, Waiter};
use endivefork::ident::RequestKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One client account's behaviour.
#[derive(Clone, Debug)]
pub struct Caller {
    pub name: &'static str,
    pub weight: u32,
    /// New requests a second.
    pub rate: f64,
    /// Whether it obeys `Retry-After`.
    pub obeys: bool,
}

/// One measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub callers: Vec<Caller>,
    pub instances: usize,
    /// Whether each instance hears the others.
    pub linked: bool,
    /// Instances whose callers all are; others get none.
    pub entered: usize,
    pub slots: usize,
    /// Seconds that one unit of cost holds a slot.
    pub unit: f64,
    pub warmup: Duration,
    pub length: Duration,
}

/// What one account got after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub offered: usize,
    pub done: usize,
    pub cost: u64,
    pub waits: Vec<Duration>,
    pub refused: usize,
    pub refusal_waits: Vec<Duration>,
    pub promised: usize,
    pub returned: usize,
    pub let_in: usize,
}

/// Mean cost of a request.
pub const COST: u64 = 100;

/// Time between exchanges among instances.
const EXCHANGE: Duration = Duration::from_millis(500);

enum Event {
    New(usize),
    Return(Request),
    End(Work),
    Expire(usize, Waiter),
    Exchange,
}

#[derive(Clone)]
struct Request {
    caller: usize,
    key: RequestKey,
    cost: u64,
    promised: bool,
    asked: Instant,
}

struct Work {
    at: usize,
    ticket: Ticket,
    request: Request,
}

pub struct Driver {
    plan: Plan,
    rng: StdRng,
    base: Instant,
    now: Instant,
    seq: u64,
    heap: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    lines: Vec<Line>,
    waiting: Vec<HashMap<Waiter, Request>>,
    busy: usize,
    queue: VecDeque<Work>,
    got: Vec<Got>,
}

/// Runs the plan and returns what each caller got.
pub fn run(plan: &Plan) -> Vec<Got> {
    println!("seed {}", plan.seed);
    let mut driver = Driver::new(plan.clone());
    driver.prime();
    let end = driver.base + plan.length;
    while let Some(Reverse((at, seq))) = driver.heap.pop() {
        if at > end {
            break;
        }
        driver.now = at;
        if let Some(event) = driver.events.remove(&seq) {
            driver.step(event);
        }
    }
    driver.got
}

/// Requests a second that `slots` can carry when one unit of cost holds a slot for `unit` seconds.
pub fn capacity(slots: usize, unit: f64) -> f64 {
    slots as f64 / (COST as f64 * unit)
}

/// The value below which the part `q` of `values` lies.
pub fn quantile(values: &[Duration], q: f64) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * q) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

impl Driver {
    fn new(plan: Plan) -> Self {
        let base = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            base,
            now: base,
            seq: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            lines: (0..plan.instances).map(|_| Line::new()).collect(),
            waiting: vec![HashMap::new(); plan.instances],
            busy: 0,
            queue: VecDeque::new(),
            got: vec![Got::default(); plan.callers.len()],
            plan,
        }
    }

    fn prime(&mut self) {
        self.exchange();
        for caller in 0..self.plan.callers.len() {
            self.schedule_new(caller);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::New(caller) => self.new_request(caller),
            Event::Return(request) => self.offer(request),
            Event::End(work) => self.end(work),
            Event::Expire(at, waiter) => self.expire(at, waiter),
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

    fn schedule_new(&mut self, caller: usize) {
        let rate = self.plan.callers[caller].rate;
        if rate > 0.0 {
            let gap = self.exponential(1.0 / rate);
            self.schedule(self.now + Duration::from_secs_f64(gap), Event::New(caller));
        }
    }

    fn new_request(&mut self, caller: usize) {
        self.schedule_new(caller);
        let request = Request {
            caller,
            key: RequestKey(self.rng.random()),
            cost: self.rng.random_range(COST / 2..=COST * 3 / 2),
            promised: false,
            asked: self.now,
        };
        if self.counts() {
            self.got[caller].offered += 1;
        }
        self.offer(request);
    }

    fn counts(&self) -> bool {
        self.now >= self.base + self.plan.warmup
    }

    fn ask(&self, request: &Request) -> Ask {
        let caller = &self.plan.callers[request.caller];
        Ask {
            account: caller.name.into(),
            weight: caller.weight,
            concurrency: 10_000,
            priority: 0,
            cost: request.cost,
            deadline: None,
            request: request.key,
        }
    }

    fn offer(&mut self, mut request: Request) {
        let at = self.rng.random_range(0..self.plan.entered);
        request.asked = self.now;
        let ask = self.ask(&request);
        let counts = self.counts();
        let got = &mut self.got[request.caller];
        let decision = self.lines[at].offer(&ask, self.now);
        if request.promised && counts {
            got.returned += 1;
            got.let_in += usize::from(!matches!(decision, Decision::Refuse(_)));
        }
        match decision {
            Decision::Run(ticket) => self.start(at, ticket, request),
            Decision::Wait(waiter, until) => {
                self.waiting[at].insert(waiter, request);
                self.schedule(until, Event::Expire(at, waiter));
            }
            Decision::Refuse(refusal) => self.refused(request, refusal.wait),
        }
    }

    fn refused(&mut self, request: Request, wait: Option<Duration>) {
        let caller = &self.plan.callers[request.caller];
        let waited = self.now - request.asked;
        if self.counts() {
            let got = &mut self.got[request.caller];
            got.refused += 1;
            got.promised += usize::from(wait.is_some());
            got.refusal_waits.push(waited);
        }
        if let Some(wait) = wait.filter(|_| caller.obeys) {
            // The header has whole seconds, rounded up; the way there and back takes a little.
            let header = Duration::from_secs(wait.as_secs_f64().ceil() as u64);
            let way = Duration::from_millis(self.rng.random_range(2..80));
            let back = Request {
                promised: true,
                ..request
            };
            self.schedule(self.now + header + way, Event::Return(back));
        }
    }

    fn expire(&mut self, at: usize, waiter: Waiter) {
        let Some(request) = self.waiting[at].remove(&waiter) else {
            return;
        };
        assert!(
            self.lines[at].cancel(waiter),
            "a waiter left without a grant"
        );
        let ask = self.ask(&request);
        let refusal = self.lines[at].expire(&ask, self.now);
        if request.promised && self.counts() {
            let got = &mut self.got[request.caller];
            got.let_in = got.let_in.saturating_sub(1);
        }
        self.refused(request, refusal.wait);
    }

    fn start(&mut self, at: usize, ticket: Ticket, request: Request) {
        if self.counts() {
            let waited = self.now - request.asked;
            self.got[request.caller].waits.push(waited);
        }
        let work = Work {
            at,
            ticket,
            request,
        };
        match self.busy < self.plan.slots {
            true => self.serve(work),
            false => self.queue.push_back(work),
        }
    }

    fn serve(&mut self, work: Work) {
        self.busy += 1;
        let held = work.request.cost as f64 * self.plan.unit;
        self.schedule(self.now + Duration::from_secs_f64(held), Event::End(work));
    }

    fn end(&mut self, work: Work) {
        self.busy -= 1;
        if self.counts() {
            let got = &mut self.got[work.request.caller];
            got.done += 1;
            got.cost += work.request.cost;
        }
        let grants = self.lines[work.at].release(work.ticket, None, self.now);
        self.grant(work.at, grants);
        while self.busy < self.plan.slots {
            let Some(next) = self.queue.pop_front() else {
                break;
            };
            self.serve(next);
        }
    }

    fn grant(&mut self, at: usize, grants: Vec<Grant>) {
        for grant in grants {
            let request = self.waiting[at].remove(&grant.waiter);
            let request = request.expect("a grant names a waiter");
            self.start(at, grant.ticket, request);
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        let usages: Vec<_> = self
            .lines
            .iter_mut()
            .map(|line| line.usage("drafting", 1, now))
            .collect();
        for at in 0..self.lines.len() {
            for (origin, usage) in usages.iter().enumerate() {
                if self.plan.linked && origin != at {
                    self.lines[at].merge(&format!("instance-{origin}"), usage, now);
                }
            }
            let slots = self.plan.slots as u32;
            let grants = self.lines[at].supply(slots, self.plan.instances, now);
            self.grant(at, grants);
        }
        self.schedule(now + EXCHANGE, Event::Exchange);
    }
}
