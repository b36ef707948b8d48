//! The line before one service: an aggregate without input or output.
//!
//! Capacity is shared by start-time fair queuing over the accounts' costs; an account's weight is
//! divided among instances by its demand at each. A request that would wait too long is refused at
//! once, with a promise of when it may come back while the account's share has room for it.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::ask::{Ask, Decision, Grant, Reason, Refusal, Ticket, Waiter};
use super::book::{Book, Found};
use super::flow::{FlowKey, Flows, Rank, span};
use super::meter::Drain;
use super::share::{AccountUse, Peers, Usage};
use crate::ident::RequestKey;

/// Longest expected wait of a request that is let in.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Longest expected wait of a request that comes back as promised.
const RETURN_WAIT_MAX: Duration = Duration::from_secs(6);

/// How far ahead promises are made.
const HORIZON: Duration = Duration::from_secs(60);

/// Part of an account's share that promises may use.
const PROMISED_PART: f64 = 0.8;

/// Shortest time after which a refused request may come back.
const RETURN_MIN: Duration = Duration::from_secs(1);

/// Time for which slots that all were lost are thought to stay away.
const LOST_RETURN: Duration = Duration::from_secs(5);

/// Slots assumed until the supply is known.
const SLOTS_DEFAULT: f64 = 64.0;

/// One slot in so many is kept for accounts that use less than their share.
const RESERVE: u32 = 48;

/// Waiting requests of an account up to which nothing is refused before the drain is measured.
const QUEUE_UNMEASURED: usize = 256;

/// Error of the floating-point division of slots.
const ROUNDING: f64 = 1e-6;

/// Time that one unit of cost holds a slot, until it is measured.
const HOLD_DEFAULT: Duration = Duration::from_millis(20);

/// Slots below which an account's demand is left out.
const DEMAND_MIN: f64 = 0.01;

/// Most accounts in one usage message.
const USAGE_ACCOUNTS: usize = 2_048;

/// Time of its share that an account may save up and use in a burst.
const CREDIT_MAX: Duration = Duration::from_secs(2);

/// Deadline of a request that names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(3_600);

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
        let found = self.book.find(ask.request, now);
        if let Found::Early(left) = found {
            return Decision::Refuse(Refusal {
                reason: Reason::Early,
                wait: Some(left),
            });
        }
        let cost = ask.cost.max(1);
        let key = self.enter(ask, now);
        self.flows[key].offered.add(cost as f64, now);
        let returns = found == Found::Due;
        if returns {
            self.flows[key].returned.add(cost as f64, now);
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

    /// Takes the slots of all fit targets and the number of instances on the list.
    pub fn supply(&mut self, slots: u32, members: usize, now: Instant) -> Vec<Grant> {
        self.supply = Some(f64::from(slots));
        self.peers.forget(now);
        let own = self.uses(now);
        let split = self.peers.split(&own, f64::from(slots), members);
        self.part = split.part;
        for used in &own {
            let Some(key) = self.flows.find(&used.account) else {
                continue;
            };
            let fraction = split.fractions.get(&used.account);
            let remote = self.peers.running(&used.account);
            let flow = &mut self.flows[key];
            flow.fraction = fraction.copied().unwrap_or(1.0);
            flow.remote = remote;
            self.settle(key);
        }
        self.dispatch(now)
    }

    /// What this instance tells its peers.
    pub fn usage(&mut self, service: &str, epoch: u64, now: Instant) -> Usage {
        self.told += 1;
        let mut accounts = self.uses(now);
        if accounts.len() > USAGE_ACCOUNTS {
            accounts.sort_by(|a, b| b.demand.total_cmp(&a.demand));
            accounts.truncate(USAGE_ACCOUNTS);
        }
        Usage {
            service: service.into(),
            epoch,
            seq: self.told,
            accounts,
            promises: self.book.recent(now),
        }
    }

    /// Takes a peer's usage. Older messages than the newest one change nothing.
    pub fn merge(&mut self, origin: &str, usage: &Usage, now: Instant) {
        self.book.merge(&usage.promises, now);
        self.peers.merge(origin, usage, now);
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

    /// Use by account, of those that ask for something.
    fn uses(&self, now: Instant) -> Vec<AccountUse> {
        let hold = self.drain.hold();
        let flows = self.flows.iter();
        let uses = flows.map(|flow| AccountUse {
            account: flow.account.clone(),
            weight: flow.weight,
            running: flow.running,
            demand: f64::from(flow.running).max(flow.offered.rate(now) * hold),
        });
        uses.filter(|used| used.demand > DEMAND_MIN).collect()
    }

    fn queue_or_refuse(
        &mut self,
        key: FlowKey,
        ask: &Ask,
        cost: u64,
        returns: bool,
        now: Instant,
    ) -> Decision {
        self.seq += 1;
        let rank = Rank {
            fresh: !returns,
            priority: Reverse(ask.priority),
            deadline: ask.deadline.unwrap_or(now + DEADLINE_DEFAULT),
            seq: self.seq,
        };
        let longest = if returns { RETURN_WAIT_MAX } else { WAIT_MAX };
        let wait = match self.drain.measured() || self.flows[key].queue.len() > QUEUE_UNMEASURED {
            true => self.expected(key, &rank, cost, now),
            false => Duration::ZERO,
        };
        if now + wait > rank.deadline {
            let reason = Reason::Deadline;
            return Decision::Refuse(Refusal { reason, wait: None });
        }
        if wait > longest {
            return Decision::Refuse(self.refuse(key, ask, now));
        }
        let flow = &mut self.flows[key];
        flow.queue.insert(rank, cost);
        flow.queued += cost;
        self.settle(key);
        let until = rank.deadline.min(now + 2 * longest);
        Decision::Wait(Waiter { flow: key, rank }, until)
    }

    /// Expected wait of a request of the flow: what starts before it, at the drain rate.
    ///
    /// That is what waits before it in its own flow, and of each other flow with a waiting request
    /// what fair queuing lets start until the flow's virtual time has come.
    fn expected(&self, key: FlowKey, rank: &Rank, cost: u64, now: Instant) -> Duration {
        let flow = &self.flows[key];
        let whole = self.drain.rate(f64::from(self.limit()), now);
        let horizon = RETURN_WAIT_MAX.as_secs_f64();
        let returns = match rank.fresh {
            true => flow.returned.rate(now) * WAIT_MAX.as_secs_f64(),
            false => 0.0,
        };
        let own = flow.ahead(rank) as f64 + returns;
        let start = flow.finish.max(self.virtual_floor()) + flow.span(own as u64);
        let mut ahead = own + cost as f64;
        for (tag, rival) in self.ready.range(..(start, key)).filter(|r| r.1 != key) {
            let rival = &self.flows[*rival];
            let fair = rival.cost_of(start - tag);
            let most = rival.queued as f64 + rival.offered.rate(now) * horizon;
            ahead += fair.min(most);
            if ahead > whole * horizon {
                break;
            }
        }
        Duration::from_secs_f64((ahead / whole.max(1e-6)).min(1e6))
    }

    /// Cost a second that the flow can expect: its share, or more when it lately got more.
    fn rate(&self, key: FlowKey, now: Instant) -> f64 {
        let flow = &self.flows[key];
        let weight = flow.share();
        let rivals = match flow.active() {
            true => self.weights,
            false => self.weights + weight,
        };
        let whole = self.drain.rate(f64::from(self.limit()), now);
        let share = whole * weight as f64 / rivals as f64;
        let own = f64::from(flow.concurrency) / self.drain.hold();
        share.max(flow.rate.rate(now)).min(own).max(1e-6)
    }

    /// Refuses, with a promise while the account's share has room for one.
    fn refuse(&mut self, key: FlowKey, ask: &Ask, now: Instant) -> Refusal {
        let cost = ask.cost.max(1) as f64;
        let rate = self.rate(key, now);
        let flow = &mut self.flows[key];
        let step = Duration::from_secs_f64((cost / rate / PROMISED_PART).min(1e6));
        let due = (flow.promised + step).max(now + RETURN_MIN);
        let useful = ask.deadline.is_none_or(|deadline| due < deadline);
        let wait = match due <= now + HORIZON && useful {
            true if self.book.add(ask.request, due, now) => {
                self.flows[key].promised = due;
                Some(due - now)
            }
            _ => None,
        };
        let reason = Reason::OverShare;
        Refusal { reason, wait }
    }

    /// Spreads the returns by request, as no rate is known.
    fn no_target(&self, request: RequestKey) -> Refusal {
        Refusal {
            reason: Reason::NoTarget,
            wait: Some(LOST_RETURN.mul_f64(1.0 + request.fraction())),
        }
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
        flow.start(cost, start, now);
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
        let credit = self.virtual_span(CREDIT_MAX);
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
