//! A fleet in simulated time in front of one target with a limit. Messages take time and get lost;
//! instances learn of each other's failures late and at different times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{KEY, after, rate, target};
use crate::relay::limits::{Issuer, Limits, Permits, Statement};

/// Length of the windows in which requests are counted.
const WINDOW: f64 = 4.0;

/// Time after the first statement of a limit from which windows may end.
const CONTACT_TIME: f64 = 4.0;

/// Time after an answer with the limit from which an instance's requests count.
const TOLD_DELAY: f64 = 0.5;

/// Time after an outage of an instance in which its requests do not count.
const EXCUSED_TIME: f64 = 4.0;

/// Requests in a window on top of one and a half times the limit.
const SLACK: f64 = 5.0;

/// Longest delay of a message, one way.
const DELAY_MAX: f64 = 0.06;

/// Longest time to open a connection to the target.
const CONNECT_MAX: f64 = 0.3;

/// Time after which an ask counts as not answered.
const ASK_TIMEOUT: f64 = 0.3;

/// Time between two ticks of an issuer, and of the spreading of changed limits.
const TICK: f64 = 0.25;

/// Time until others notice that an instance has failed, and that it is back.
const NOTICE_LOSS: (f64, f64) = (0.3, 3.3);
const NOTICE_RETURN: (f64, f64) = (0.0, 1.3);

/// Failure domains; the target is in the first.
const DOMAINS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutageKind {
    /// The process ends and a new one starts.
    Kill,
    Freeze,
    /// Other instances are not reached; the target is.
    Cut,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub(super) instance: usize,
    pub(super) kind: OutageKind,
    pub(super) from: f64,
    pub(super) until: f64,
}

impl Outage {
    fn covers(&self, at: f64) -> bool {
        (self.from..self.until).contains(&at)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) members: usize,
    /// Requests per second of all instances together.
    pub(super) load: f64,
    /// Share of messages and answers that are lost.
    pub(super) lost: f64,
    /// What the target states from when on.
    pub(super) limits: Vec<(f64, Option<f64>)>,
    /// Whether requests wait for the answer to an ask; otherwise another target serves them.
    pub(super) waits: bool,
    pub(super) outages: Vec<Outage>,
    pub(super) length: f64,
}

#[derive(Debug)]
enum Event {
    Request(usize),
    Arrival(usize),
    Answer(usize, Option<f64>),
    Ask {
        from: usize,
        to: usize,
        at: f64,
        statement: Option<Statement>,
        count: u32,
    },
    Grant {
        to: usize,
        asked: f64,
        permits: Permits,
        statement: Option<Statement>,
    },
    Timeout {
        from: usize,
        asked: f64,
    },
    News(usize, Vec<Statement>),
    Tick(usize),
    Restart(usize),
}

/// Key of an event: time in nanoseconds, and a number that keeps the order.
type EventKey = (u64, usize);

struct Instance {
    limits: Limits,
    issuer: Issuer,
    /// When the ask under way was made.
    asked: Option<f64>,
    /// Requests that wait for its answer.
    waiting: u32,
    told: Option<f64>,
    /// Delays with which this one notices the loss and the return of others.
    notices: (f64, f64),
}

pub(super) struct Fleet {
    plan: Plan,
    base: Instant,
    rng: StdRng,
    all: Vec<Instance>,
    queue: BinaryHeap<Reverse<EventKey>>,
    events: Vec<Option<Event>>,
    /// Time of each request at the target, and whether it counts.
    arrivals: Vec<(f64, bool)>,
    asks: Vec<f64>,
}

impl Fleet {
    pub(super) fn play(plan: &Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let all = (0..plan.members).map(|_| Instance {
            limits: Limits::default(),
            issuer: Issuer::default(),
            asked: None,
            waiting: 0,
            told: None,
            notices: (
                rng.random_range(NOTICE_LOSS.0..NOTICE_LOSS.1),
                rng.random_range(NOTICE_RETURN.0..NOTICE_RETURN.1),
            ),
        });
        let mut fleet = Self {
            all: all.collect(),
            plan: plan.clone(),
            base: Instant::now(),
            rng,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            arrivals: Vec::new(),
            asks: Vec::new(),
        };
        fleet.schedule();
        while let Some(Reverse((nanos, number))) = fleet.queue.pop() {
            let at = nanos as f64 / 1e9;
            if let Some(event) = fleet.events[number].take().filter(|_| at < plan.length) {
                fleet.handle(event, at);
            }
        }
        fleet
    }

    fn schedule(&mut self) {
        let mut at = 0.0;
        while at < self.plan.length {
            at += -self.rng.random_range(1e-9..1.0_f64).ln() / self.plan.load;
            // Callers are spread unevenly.
            let draw = self.rng.random::<f64>().powf(1.5);
            let instance = (draw * self.plan.members as f64) as usize;
            self.push(at, Event::Request(instance));
        }
        for instance in 0..self.plan.members {
            let offset = self.rng.random_range(0.0..TICK);
            self.push(offset, Event::Tick(instance));
        }
        for outage in self.plan.outages.clone() {
            if outage.kind == OutageKind::Kill {
                self.push(outage.until, Event::Restart(outage.instance));
            }
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.queue
            .push(Reverse(((at * 1e9) as u64, self.events.len())));
        self.events.push(Some(event));
    }

    fn handle(&mut self, event: Event, at: f64) {
        let now = after(self.base, at);
        match event {
            Event::Request(n) if self.runs(n, at) => self.request(n, at),
            Event::Arrival(n) => {
                let told = self.all[n].told.is_some_and(|told| at >= told + TOLD_DELAY);
                let is_excused = self.is_excused(n, at);
                self.arrivals.push((at, told && !is_excused));
                let stated = self.stated(at);
                if self.rng.random::<f64>() >= self.plan.lost {
                    let delay = self.delay();
                    self.push(at + 0.015 + delay, Event::Answer(n, stated));
                }
            }
            Event::Answer(n, stated) if self.runs(n, at) => {
                if stated.is_some() {
                    self.all[n].told.get_or_insert(at);
                }
                self.all[n]
                    .limits
                    .observe(&target(), stated.and_then(rate), now);
            }
            Event::Ask {
                from,
                to,
                at: asked,
                statement,
                count,
            } if self.reaches(from, to, at) => {
                self.asks.push(at);
                let is_issuer = self.issuer(to, at) == to;
                let instance = &mut self.all[to];
                statement.iter().for_each(|s| {
                    instance.limits.learn(&target(), s, now);
                });
                let known = instance.limits.statement(KEY, now);
                let permits = match instance.limits.rate(KEY) {
                    Some(rate) if is_issuer => instance.issuer.issue(KEY, rate, count, 1.0, now),
                    _ => Permits {
                        count: 0,
                        wait: Duration::ZERO,
                    },
                };
                if self.rng.random::<f64>() >= self.plan.lost {
                    let delay = self.delay();
                    let grant = Event::Grant {
                        to: from,
                        asked,
                        permits,
                        statement: known,
                    };
                    self.push(at + delay, grant);
                }
            }
            Event::Grant {
                to,
                asked,
                permits,
                statement,
            } if self.runs(to, at) => {
                let instance = &mut self.all[to];
                if instance.asked.take_if(|a| *a == asked).is_some() {
                    let asked = after(self.base, asked);
                    statement.iter().for_each(|s| {
                        instance.limits.learn(&target(), s, now);
                    });
                    instance.limits.grant(KEY, permits, asked, now);
                    for _ in 0..std::mem::take(&mut instance.waiting) {
                        self.send(to, at);
                    }
                }
            }
            Event::Timeout { from, asked } => {
                let instance = &mut self.all[from];
                if instance.asked.take_if(|a| *a == asked).is_some() {
                    instance.waiting = 0;
                    instance.limits.ask_failed(KEY, now);
                }
            }
            Event::News(to, news) if self.runs(to, at) => {
                news.iter().for_each(|s| {
                    self.all[to].limits.learn(&target(), s, now);
                });
            }
            Event::Tick(n) => {
                self.push(at + TICK, Event::Tick(n));
                if self.runs(n, at) {
                    self.tick(n, at);
                }
            }
            Event::Restart(n) => {
                let instance = &mut self.all[n];
                instance.limits = Limits::default();
                instance.issuer = Issuer::default();
                instance.asked = None;
                instance.waiting = 0;
                instance.told = None;
            }
            _ => {}
        }
    }

    /// Sends a caller's request to the target if there is a permit, and asks for the next one.
    fn request(&mut self, n: usize, at: f64) {
        let now = after(self.base, at);
        let is_sent = self.send(n, at);
        let asks = self.all[n].limits.due_asks(&[target()], 1, now);
        for ask in asks {
            let to = self.issuer(n, at);
            let statement = self.all[n].limits.statement(KEY, now);
            self.all[n].asked = Some(at);
            self.all[n].waiting = u32::from(self.plan.waits && !is_sent);
            self.push(at + ASK_TIMEOUT, Event::Timeout { from: n, asked: at });
            if self.rng.random::<f64>() >= self.plan.lost {
                let delay = if to == n { 0.0 } else { self.delay() };
                let count = ask.count;
                self.push(
                    at + delay,
                    Event::Ask {
                        from: n,
                        to,
                        at,
                        statement,
                        count,
                    },
                );
            }
        }
    }

    /// Sends a request to the target if there is a permit.
    fn send(&mut self, n: usize, at: f64) -> bool {
        let is_permitted = self.all[n].limits.take(KEY, after(self.base, at));
        if is_permitted {
            let connect = self.rng.random_range(0.0..CONNECT_MAX);
            self.push(at + connect, Event::Arrival(n));
        }
        is_permitted
    }

    fn tick(&mut self, n: usize, at: f64) {
        let now = after(self.base, at);
        let is_issuer = self.issuer(n, at) == n;
        let is_isolated =
            self.plan.members > 1 && (0..self.plan.members).all(|m| m == n || !self.sees(n, m, at));
        self.all[n].issuer.tick(|_| is_issuer, is_isolated, now);
        self.all[n].limits.settle(|_| true, now);
        let news = self.all[n].limits.news(now);
        // As through an aggregator: a few instances at a time.
        for _ in 0..8 {
            let to = self.rng.random_range(0..self.plan.members);
            let is_lost = self.rng.random::<f64>() < self.plan.lost;
            if !news.is_empty() && !is_lost && self.reaches(n, to, at) {
                let delay = self.delay();
                self.push(at + delay, Event::News(to, news.clone()));
            }
        }
    }

    fn delay(&mut self) -> f64 {
        self.rng.random_range(0.001..DELAY_MAX)
    }

    fn stated(&self, at: f64) -> Option<f64> {
        let past = self.plan.limits.iter().rev().find(|(from, _)| *from <= at);
        past.and_then(|(_, limit)| *limit)
    }

    fn outages(&self, n: usize) -> impl Iterator<Item = &Outage> {
        self.plan.outages.iter().filter(move |o| o.instance == n)
    }

    /// Whether the process of an instance runs.
    fn runs(&self, n: usize, at: f64) -> bool {
        !self
            .outages(n)
            .any(|o| o.kind != OutageKind::Cut && o.covers(at))
    }

    fn is_excused(&self, n: usize, at: f64) -> bool {
        self.outages(n)
            .any(|o| at >= o.from && at < o.until + EXCUSED_TIME)
    }

    fn reaches(&self, from: usize, to: usize, at: f64) -> bool {
        let is_out = |n| self.outages(n).any(|o| o.covers(at));
        from == to && self.runs(to, at) || !is_out(from) && !is_out(to)
    }

    /// Whether `n` believes that `other` is alive.
    fn sees(&self, n: usize, other: usize, at: f64) -> bool {
        let (loss, back) = self.all[n].notices;
        let is_missed = |o: &Outage| at >= o.from + loss && at < o.until + back;
        let is_cut = |o: &Outage| o.kind == OutageKind::Cut && is_missed(o);
        n == other || !self.outages(other).any(is_missed) && !self.outages(n).any(is_cut)
    }

    /// The issuer in the view of `n`: the first instance that it sees in the target's domain, or
    /// else in the next one.
    fn issuer(&self, n: usize, at: f64) -> usize {
        let members = self.plan.members;
        let by_domain = (0..DOMAINS).flat_map(|d| (d..members).step_by(DOMAINS));
        let mut seen = by_domain.filter(|m| self.sees(n, *m, at));
        seen.next().unwrap_or(n)
    }

    pub(super) fn arrived_between(&self, from: f64, until: f64) -> usize {
        let within = |(at, _): &&(f64, bool)| *at >= from && *at < until;
        self.arrivals.iter().filter(within).count()
    }

    pub(super) fn asks_between(&self, from: f64, until: f64) -> usize {
        self.asks
            .iter()
            .filter(|at| **at >= from && **at < until)
            .count()
    }

    /// The worst window with more requests than the limit allows.
    pub(super) fn excess(&self) -> Option<String> {
        let first = self.plan.limits[0].0;
        let counted = self.arrivals.iter().filter(|(_, counts)| *counts);
        let counted: Vec<f64> = counted.map(|(at, _)| *at).collect();
        let mut start = 0;
        let mut worst: Option<(f64, String)> = None;
        for (number, end) in counted.iter().enumerate() {
            while counted[start] <= end - WINDOW {
                start += 1;
            }
            let Some(allowed) = self.allowance(end - WINDOW, *end) else {
                continue;
            };
            let allowed = 1.5 * allowed + SLACK;
            let got = (number + 1 - start) as f64;
            let over = got - allowed;
            let is_worst = worst.as_ref().is_none_or(|(most, _)| over > *most);
            if *end >= first + CONTACT_TIME && over > 0.0 && is_worst {
                worst = Some((
                    over,
                    format!("{got} requests until {end:.2} s, allowed {allowed:.1}"),
                ));
            }
        }
        worst.map(|(_, text)| text)
    }

    /// Requests that the stated limits allow in a window; `None` if there was none for a while. The
    /// first one counts as stated since ever.
    fn allowance(&self, start: f64, end: f64) -> Option<f64> {
        let limits = &self.plan.limits;
        let ends = limits
            .iter()
            .skip(1)
            .map(|(at, _)| *at)
            .chain([f64::INFINITY]);
        let mut spans = limits.iter().zip(ends).enumerate();
        spans.try_fold(0.0, |sum, (number, ((from, limit), until))| {
            let from = if number == 0 { start } else { from.max(start) };
            let span = (until.min(end) - from).max(0.0);
            match limit {
                Some(limit) => Some(sum + limit * span),
                None if span == 0.0 => Some(sum),
                None => None,
            }
        })
    }
}
