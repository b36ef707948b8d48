//! Expected waits, by which requests are queued or refused, and the reservation of retries.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::FairQueue;
use crate::admission::flow::{FlowKey, Rank};
use crate::admission::request::{AdmissionRequest, Decision, Reason, Refusal, Waiter};
use crate::ident::RequestKey;

/// Maximum expected wait of a request that is queued.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Lower bound of the maximum expected wait of a reserved retry; applies where requests are short.
const RETRY_WAIT_MIN: Duration = Duration::from_secs(6);

/// Maximum expected wait of a reserved retry, as a fraction of the time that a request holds its
/// slot.
const RETRY_WAIT_FRACTION: f64 = 0.1;

/// How far ahead retries are reserved.
const RESERVATION_HORIZON: Duration = Duration::from_secs(60);

/// Fraction of an account's share that may be reserved for retries.
const RESERVED_FRACTION: f64 = 0.6;

/// Minimum time after which a refused request may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Number of an account's waiting requests up to which none is refused before the throughput is
/// measured.
const UNMEASURED_QUEUE_MAX: usize = 256;

/// Deadline of a request that specifies none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(3_600);

/// Expected time until a service without targets has one again.
const TARGET_RECOVERY: Duration = Duration::from_secs(5);

/// Maximum number of competing flows that are examined to estimate a wait.
const COMPETING_MAX: usize = 64;

impl FairQueue {
    /// Queues a request unless its expected wait is too long.
    pub(super) fn queue_or_refuse(
        &mut self,
        key: FlowKey,
        request: &AdmissionRequest,
        cost: u64,
        is_retry: bool,
        now: Instant,
    ) -> Decision {
        self.seq += 1;
        let rank = Rank {
            unreserved: !is_retry,
            priority: Reverse(request.priority),
            deadline: request.deadline.unwrap_or(now + DEADLINE_DEFAULT),
            seq: self.seq,
        };
        let wait_max = match is_retry {
            true => self.retry_wait_max(),
            false => WAIT_MAX,
        };
        let wait = match self.throughput.measured()
            || self.flows[key].waiting.len() > UNMEASURED_QUEUE_MAX
        {
            true => self.expected_wait(key, &rank, cost, now),
            false => Duration::ZERO,
        };
        if now + wait > rank.deadline {
            let reason = Reason::Deadline;
            return Decision::Refuse(Refusal {
                reason,
                retry_after: None,
            });
        }
        if wait > wait_max {
            return Decision::Refuse(self.refuse(key, request, now));
        }
        let flow = &mut self.flows[key];
        flow.waiting.insert(rank, cost);
        flow.waiting_cost += cost;
        self.update_flow(key);
        let wait_end = rank.deadline.min(now + 2 * wait_max);
        Decision::Wait(Waiter { flow: key, rank }, wait_end)
    }

    /// Maximum expected wait of a reserved retry. It grows with the time that requests hold a slot,
    /// as slots then become free less often.
    fn retry_wait_max(&self) -> Duration {
        let scaled = Duration::from_secs_f64(self.throughput.request_hold() * RETRY_WAIT_FRACTION);
        scaled.max(RETRY_WAIT_MIN)
    }

    /// Expected wait of a request of the flow: the cost that starts before it, divided by the
    /// throughput.
    ///
    /// That cost consists of the requests ahead of it in its own flow, and of what fair queuing
    /// lets each other flow with waiting requests start before this flow's virtual start time.
    fn expected_wait(&self, key: FlowKey, rank: &Rank, cost: u64, now: Instant) -> Duration {
        let flow = &self.flows[key];
        let throughput = self.throughput.rate(f64::from(self.limit()), now);
        let horizon = self.retry_wait_max().as_secs_f64();
        let retries = match rank.unreserved {
            true => flow.retried.rate(self.throughput.window(), now) * WAIT_MAX.as_secs_f64(),
            false => 0.0,
        };
        let own = flow.cost_ahead(rank) as f64 + retries;
        let start = flow.finish_tag.max(self.virtual_floor()) + flow.span(own as u64);
        let earlier = || self.ready.range(..(start, key)).filter(|r| r.1 != key);
        let mut competing = 0.0;
        let mut examined = 0;
        for (tag, other) in earlier().take(COMPETING_MAX) {
            let other = &self.flows[*other];
            let fair = other.cost_of(start - tag);
            let demand = other.waiting_cost as f64
                + other.offered.rate(self.throughput.window(), now) * horizon;
            competing += fair.min(demand);
            examined += 1;
        }
        // With more competing flows than the limit, extrapolates from those examined.
        if examined == COMPETING_MAX {
            competing *= self.ready.len() as f64 / examined as f64;
        }
        let ahead = own + cost as f64 + competing;
        Duration::from_secs_f64((ahead / throughput.max(1e-6)).min(1e6))
    }

    /// Throughput guaranteed to the flow, in cost per second: its share while all active accounts
    /// use theirs.
    fn guaranteed_rate(&self, key: FlowKey, now: Instant) -> f64 {
        let flow = &self.flows[key];
        let weight = flow.scaled_weight();
        let total_weight = match flow.active() {
            true => self.active_weights,
            false => self.active_weights + weight,
        };
        let throughput = self.throughput.rate(f64::from(self.limit()), now);
        let share = throughput * weight as f64 / total_weight as f64;
        let limit = f64::from(flow.concurrency) / self.throughput.unit_hold();
        share.min(limit).max(1e-6)
    }

    /// Refuses a request and reserves a retry if the account's share has room for it.
    pub(super) fn refuse(
        &mut self,
        key: FlowKey,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Refusal {
        let cost = request.cost.max(1) as f64;
        let rate = self.guaranteed_rate(key, now);
        let flow = &mut self.flows[key];
        let interval = Duration::from_secs_f64((cost / rate / RESERVED_FRACTION).min(1e6));
        let due = (flow.reserved_until + interval).max(now + RETRY_AFTER_MIN);
        let useful = request.deadline.is_none_or(|deadline| due < deadline);
        let retry_after = match due <= now + RESERVATION_HORIZON && useful {
            true if self.reservations.add(request.key, due, now) => {
                self.flows[key].reserved_until = due;
                Some(due - now)
            }
            _ => None,
        };
        let reason = Reason::OverShare;
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Spreads the retries over time by request key, as no throughput is known.
    pub(super) fn no_target(&self, request: RequestKey) -> Refusal {
        Refusal {
            reason: Reason::NoTarget,
            retry_after: Some(TARGET_RECOVERY.mul_f64(1.0 + request.fraction())),
        }
    }
}
