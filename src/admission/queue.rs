//! The admission queue of one service. It does no input or output: callers pass in the time.
//!
//! Start-time fair queuing shares the capacity among accounts, by the cost of their requests. An
//! account's weight is divided among the instances by its demand at each. A request that would wait
//! too long is refused at once; as long as the account's share has room, a retry is reserved for
//! it.

mod estimate;
mod exchange;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::flow::{FlowKey, Flows, span};
use super::meter::Throughput;
use super::request::{AdmissionRequest, Decision, Grant, Reason, Refusal, Ticket, Waiter};
use super::reservations::{Reservations, RetryTiming};
use super::share::Peers;

/// Number of slots assumed until the capacity is known.
const SLOTS_DEFAULT: f64 = 64.0;

/// One slot in this many is reserved for accounts that use less than their share.
const RESERVE_DIVISOR: u32 = 48;

/// Allowance for rounding errors in the division of slots.
const ROUNDING_ERROR: f64 = 1e-6;

/// Time for which one unit of cost is assumed to hold a slot, until it is measured.
const UNIT_HOLD_DEFAULT: Duration = Duration::from_millis(20);

/// Minimum burst: an account may catch up on this much unused time of its share. A quarter of the
/// time that a request holds its slot applies if that is longer.
const BURST_MIN: Duration = Duration::from_secs(2);

/// The admission queue of one service.
#[derive(Debug)]
pub struct FairQueue {
    capacity: Option<f64>,
    share: f64,
    running: u32,
    virtual_time: u64,
    seq: u64,
    flows: Flows,
    /// Flows with a waiting request that may start, by virtual start time.
    ready: BTreeSet<(u64, FlowKey)>,
    active_weights: u64,
    throughput: Throughput,
    usage_seq: u64,
    reservations: Reservations,
    peers: Peers,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            capacity: None,
            share: 1.0,
            running: 0,
            virtual_time: 0,
            seq: 0,
            flows: Flows::default(),
            ready: BTreeSet::new(),
            active_weights: 0,
            throughput: Throughput::new(UNIT_HOLD_DEFAULT),
            usage_seq: 0,
            reservations: Reservations::default(),
            peers: Peers::default(),
        }
    }

    /// Decides whether a request starts, waits or is refused.
    pub fn submit(&mut self, request: &AdmissionRequest, now: Instant) -> Decision {
        self.flows.sweep(now);
        if self.limit() == 0 {
            return Decision::Refuse(self.no_target(request.key));
        }
        let window = self.throughput.window();
        let timing = self.reservations.check(request.key, now);
        if let RetryTiming::Early(left) = timing {
            return Decision::Refuse(Refusal {
                reason: Reason::Early,
                retry_after: Some(left),
            });
        }
        let cost = request.cost.max(1);
        let key = self.touch_flow(request, now);
        self.flows[key].offered.add(cost as f64, window, now);
        let is_retry = timing == RetryTiming::Due;
        if is_retry {
            self.flows[key].retried.add(cost as f64, window, now);
        }
        let flow = &self.flows[key];
        if flow.may_start() && flow.waiting.is_empty() && self.has_slot(key) {
            return Decision::Run(self.start_request(key, cost, now));
        }
        self.queue_or_refuse(key, request, cost, is_retry, now)
    }

    /// Counts a request that is already running, such as one taken over from another instance.
    pub fn add_running(&mut self, request: &AdmissionRequest, now: Instant) -> Ticket {
        let key = self.touch_flow(request, now);
        self.start_request(key, request.cost.max(1), now)
    }

    /// Releases a slot and starts waiting requests. `actual` is the actual cost, if known.
    pub fn release(&mut self, ticket: Ticket, actual: Option<u64>, now: Instant) -> Vec<Grant> {
        let held = now.saturating_duration_since(ticket.started);
        let cost = actual.unwrap_or(ticket.cost).max(1);
        self.throughput.record(cost as f64, held, now);
        self.running -= 1;
        let flow = &mut self.flows[ticket.flow];
        flow.running -= 1;
        flow.last_used = now;
        flow.finish_tag =
            (flow.finish_tag + flow.span(cost)).saturating_sub(flow.span(ticket.cost));
        self.update_flow(ticket.flow);
        self.dispatch(now)
    }

    /// Removes a waiting request; returns false if it has already been granted a slot.
    pub fn cancel(&mut self, waiter: Waiter) -> bool {
        let Some(flow) = self.flows.get_mut(waiter.flow) else {
            return false;
        };
        let Some(cost) = flow.waiting.remove(&waiter.rank) else {
            return false;
        };
        flow.waiting_cost -= cost;
        self.update_flow(waiter.flow);
        true
    }

    /// Returns the refusal for a waiting request whose wait has timed out.
    pub fn expire(&mut self, request: &AdmissionRequest, now: Instant) -> Refusal {
        let key = self.touch_flow(request, now);
        self.refuse(key, request, now)
    }

    /// Number of slots that this instance may use.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let slots = self.capacity.unwrap_or(SLOTS_DEFAULT) * self.share;
        (slots - ROUNDING_ERROR).ceil() as u32
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.flows.iter().map(|f| f.waiting.len()).sum()
    }

    /// Number of accounts for which state is kept.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.flows.len()
    }

    /// Whether a slot is free for the flow. The last slots are reserved for flows below their
    /// share.
    fn has_slot(&self, key: FlowKey) -> bool {
        let limit = self.limit();
        let flow = &self.flows[key];
        let total_weight = self.active_weights - flow.counted_weight + flow.scaled_weight();
        let fair = f64::from(limit) * flow.scaled_weight() as f64 / total_weight as f64;
        match f64::from(flow.running) < fair {
            true => self.running < limit,
            false => self.running + limit / RESERVE_DIVISOR < limit,
        }
    }

    /// Starts waiting requests while slots are free, in the order of virtual start times.
    fn dispatch(&mut self, now: Instant) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some((_, key)) = self.ready.first().copied().filter(|r| self.has_slot(r.1)) {
            let flow = &mut self.flows[key];
            let Some((rank, cost)) = flow.waiting.pop_first() else {
                break;
            };
            flow.waiting_cost -= cost;
            let ticket = self.start_request(key, cost, now);
            let waiter = Waiter { flow: key, rank };
            grants.push(Grant { waiter, ticket });
        }
        self.update_saturation(now);
        grants
    }

    /// Records whether all slots but the reserved ones are taken.
    fn update_saturation(&mut self, now: Instant) {
        let limit = self.limit();
        let saturated = self.running + limit / RESERVE_DIVISOR >= limit;
        self.throughput.set_saturated(saturated, now);
    }

    fn start_request(&mut self, key: FlowKey, cost: u64, now: Instant) -> Ticket {
        let floor = self.virtual_floor();
        let flow = &mut self.flows[key];
        let start = flow.finish_tag.max(floor);
        flow.start(cost, start);
        self.virtual_time = self.virtual_time.max(start);
        self.running += 1;
        self.update_flow(key);
        self.update_saturation(now);
        Ticket {
            flow: key,
            cost,
            started: now,
        }
    }

    /// Updates a flow's position among the ready flows and its weight among the active ones.
    fn update_flow(&mut self, key: FlowKey) {
        let floor = self.virtual_floor();
        let flow = &mut self.flows[key];
        self.ready.remove(&(flow.start_tag, key));
        if !flow.waiting.is_empty() && flow.may_start() {
            flow.start_tag = flow.finish_tag.max(floor);
            self.ready.insert((flow.start_tag, key));
        }
        let counted_weight = if flow.active() {
            flow.scaled_weight()
        } else {
            0
        };
        self.active_weights = self.active_weights + counted_weight - flow.counted_weight;
        flow.counted_weight = counted_weight;
    }

    /// Earliest virtual start time: lets an account that used less than its share catch up by a
    /// limited burst.
    fn virtual_floor(&self) -> u64 {
        let quarter_hold = Duration::from_secs_f64(self.throughput.request_hold() / 4.0);
        let burst = self.virtual_span(quarter_hold.max(BURST_MIN));
        self.virtual_time.saturating_sub(burst)
    }

    /// Virtual time that passes during `time` while all slots are in use.
    fn virtual_span(&self, time: Duration) -> u64 {
        let rate = f64::from(self.limit()) / self.throughput.unit_hold();
        let share = rate * time.as_secs_f64() / self.active_weights.max(1) as f64;
        span(share as u64, 1)
    }

    /// Returns the account's flow with the settings of this request; creates it if there is none.
    fn touch_flow(&mut self, request: &AdmissionRequest, now: Instant) -> FlowKey {
        let key = self.flows.find_or_insert(&request.account, now);
        let flow = &mut self.flows[key];
        flow.weight = request.weight.max(1);
        flow.concurrency = request.concurrency.max(1);
        flow.last_used = now;
        flow.reserved_until = flow.reserved_until.max(now);
        key
    }
}

impl Default for FairQueue {
    fn default() -> Self {
        Self::new()
    }
}
