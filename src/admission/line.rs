//! The line before one service: an aggregate without input or output.
//!
//! Capacity is shared by start-time fair queuing over the accounts' costs; an account's weight is
//! divided among instances by its demand at each. A request that would wait too long is refused at
//! once, with a promise of when it may come back while the account's share has room for it.

mod estimate;
mod exchange;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::ask::{Ask, Decision, Grant, Reason, Refusal, Ticket, Waiter};
use super::book::{Book, Found};
use super::flow::{FlowKey, Flows, span};
use super::meter::Drain;
use super::share::Peers;

/// Slots assumed until the supply is known.
const SLOTS_DEFAULT: f64 = 64.0;

/// One slot in so many is kept for accounts that use less than their share.
const RESERVE: u32 = 48;

/// Error of the floating-point division of slots.
const ROUNDING: f64 = 1e-6;

/// Time that one unit of cost holds a slot, until it is measured.
const HOLD_DEFAULT: Duration = Duration::from_millis(20);

/// Least time of its share that an account may save up and use in a burst; a quarter of the time
/// that a request holds its slot where that is longer.
const CREDIT_MIN: Duration = Duration::from_secs(2);

/// The line before one service.
#[derive(Debug)]
pub struct Line {
    supply: Option<f64>,
    part: f64,
    running: u32,
    virtual_now: u64,
    seq: u64,
    flows: Flows,
    /// Flows with a waiting request that may start, by virtual start.
    ready: BTreeSet<(u64, FlowKey)>,
    weights: u64,
    drain: Drain,
    told: u64,
    book: Book,
    peers: Peers,
}

impl Line {
    /// An empty line.
    #[must_use]
    pub fn new() -> Self {
        Self {
            supply: None,
            part: 1.0,
            running: 0,
            virtual_now: 0,
            seq: 0,
            flows: Flows::default(),
            ready: BTreeSet::new(),
            weights: 0,
            drain: Drain::new(HOLD_DEFAULT),
            told: 0,
            book: Book::default(),
            peers: Peers::default(),
        }
    }

    /// Decides on a request.
    pub fn offer(&mut self, ask: &Ask, now: Instant) -> Decision {
        self.flows.sweep(now);
        if self.limit() == 0 {
            return Decision::Refuse(self.no_target(ask.request));
        }
        let window = self.drain.window();
        let found = self.book.find(ask.request, now);
        if let Found::Early(left) = found {
            return Decision::Refuse(Refusal {
                reason: Reason::Early,
                wait: Some(left),
            });
        }
        let cost = ask.cost.max(1);
        let key = self.enter(ask, now);
        self.flows[key].offered.add(cost as f64, window, now);
        let returns = found == Found::Due;
        if returns {
            self.flows[key].returned.add(cost as f64, window, now);
        }
        let flow = &self.flows[key];
        if flow.free() && flow.queue.is_empty() && self.spare(key) {
            return Decision::Run(self.run(key, cost, now));
        }
        self.queue_or_refuse(key, ask, cost, returns, now)
    }

    /// Counts a request that runs already, as one that is taken over from another instance.
    pub fn count(&mut self, ask: &Ask, now: Instant) -> Ticket {
        let key = self.enter(ask, now);
        self.run(key, ask.cost.max(1), now)
    }

    /// Ends a ticket. `actual` is the true cost when it is known.
    pub fn release(&mut self, ticket: Ticket, actual: Option<u64>, now: Instant) -> Vec<Grant> {
        let held = now.saturating_duration_since(ticket.started);
        let cost = actual.unwrap_or(ticket.cost).max(1);
        self.drain.ended(cost as f64, held, now);
        self.running -= 1;
        let flow = &mut self.flows[ticket.flow];
        flow.running -= 1;
        flow.used = now;
        flow.finish = (flow.finish + flow.span(cost)).saturating_sub(flow.span(ticket.cost));
        self.settle(ticket.flow);
        self.dispatch(now)
    }

    /// Gives up a place in the line; false when the waiter was already granted.
    pub fn cancel(&mut self, waiter: Waiter) -> bool {
        let Some(flow) = self.flows.get_mut(waiter.flow) else {
            return false;
        };
        let Some(cost) = flow.queue.remove(&waiter.rank) else {
            return false;
        };
        flow.queued -= cost;
        self.settle(waiter.flow);
        true
    }

    /// A refusal for a waiter whose time ran out.
    pub fn expire(&mut self, ask: &Ask, now: Instant) -> Refusal {
        let key = self.enter(ask, now);
        self.refuse(key, ask, now)
    }

    /// Slots that this instance may use.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let slots = self.supply.unwrap_or(SLOTS_DEFAULT) * self.part;
        (slots - ROUNDING).ceil() as u32
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.flows.iter().map(|f| f.queue.len()).sum()
    }

    /// Accounts that are remembered.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is a slot for the flow: the last ones are kept for those below their share.
    fn spare(&self, key: FlowKey) -> bool {
        let limit = self.limit();
        let flow = &self.flows[key];
        let rivals = self.weights - flow.weighed + flow.share();
        let fair = f64::from(limit) * flow.share() as f64 / rivals as f64;
        match f64::from(flow.running) < fair {
            true => self.running < limit,
            false => self.running + limit / RESERVE < limit,
        }
    }

    /// Starts waiting requests while there are slots, least virtual start first.
    fn dispatch(&mut self, now: Instant) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some((_, key)) = self.ready.first().copied().filter(|r| self.spare(r.1)) {
            let flow = &mut self.flows[key];
            let Some((rank, cost)) = flow.queue.pop_first() else {
                break;
            };
            flow.queued -= cost;
            let ticket = self.run(key, cost, now);
            let waiter = Waiter { flow: key, rank };
            grants.push(Grant { waiter, ticket });
        }
        self.note_full(now);
        grants
    }

    /// Tells the drain whether all slots but the kept ones are taken.
    fn note_full(&mut self, now: Instant) {
        let limit = self.limit();
        let full = self.running + limit / RESERVE >= limit;
        self.drain.full(full, now);
    }

    fn run(&mut self, key: FlowKey, cost: u64, now: Instant) -> Ticket {
        let floor = self.virtual_floor();
        let flow = &mut self.flows[key];
        let start = flow.finish.max(floor);
        flow.start(cost, start);
        self.virtual_now = self.virtual_now.max(start);
        self.running += 1;
        self.settle(key);
        self.note_full(now);
        Ticket {
            flow: key,
            cost,
            started: now,
        }
    }

    /// Brings a flow's place among the ready ones up to date.
    fn settle(&mut self, key: FlowKey) {
        let floor = self.virtual_floor();
        let flow = &mut self.flows[key];
        self.ready.remove(&(flow.tag, key));
        if !flow.queue.is_empty() && flow.free() {
            flow.tag = flow.finish.max(floor);
            self.ready.insert((flow.tag, key));
        }
        let weighed = if flow.active() { flow.share() } else { 0 };
        self.weights = self.weights + weighed - flow.weighed;
        flow.weighed = weighed;
    }

    /// Earliest virtual start: an account that used less than its share may catch up a little.
    fn virtual_floor(&self) -> u64 {
        let memory = Duration::from_secs_f64(self.drain.request() / 4.0);
        let credit = self.virtual_span(memory.max(CREDIT_MIN));
        self.virtual_now.saturating_sub(credit)
    }

    /// Virtual time that passes in `time` at full use.
    fn virtual_span(&self, time: Duration) -> u64 {
        let whole = f64::from(self.limit()) / self.drain.hold();
        let share = whole * time.as_secs_f64() / self.weights.max(1) as f64;
        span(share as u64, 1)
    }

    /// Finds the account's flow or makes one.
    fn enter(&mut self, ask: &Ask, now: Instant) -> FlowKey {
        let key = self.flows.enter(&ask.account, now);
        let flow = &mut self.flows[key];
        flow.weight = ask.weight.max(1);
        flow.concurrency = ask.concurrency.max(1);
        flow.used = now;
        flow.promised = flow.promised.max(now);
        key
    }
}

impl Default for Line {
    fn default() -> Self {
        Self::new()
    }
}
