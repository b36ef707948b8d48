//! Expected waits, and the refusals and promises that follow from them.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::Line;
use crate::admission::ask::{Ask, Decision, Reason, Refusal, Waiter};
use crate::admission::flow::{FlowKey, Rank};
use crate::ident::RequestKey;

/// Longest expected wait of a request that is let in.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Longest expected wait of a request that comes back as promised, where requests are short.
const RETURN_WAIT_MIN: Duration = Duration::from_secs(6);

/// The same as a part of the time that a request holds its slot.
const RETURN_WAIT_PART: f64 = 0.1;

/// How far ahead promises are made.
const HORIZON: Duration = Duration::from_secs(60);

/// Part of an account's share that promises may use.
const PROMISED_PART: f64 = 0.6;

/// Shortest time after which a refused request may come back.
const RETURN_MIN: Duration = Duration::from_secs(1);

/// Waiting requests of an account up to which nothing is refused before the drain is measured.
const QUEUE_UNMEASURED: usize = 256;

/// Deadline of a request that names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(3_600);

/// Time for which slots that all were lost are thought to stay away.
const LOST_RETURN: Duration = Duration::from_secs(5);

/// Other flows looked at one by one for an expected wait.
const RIVALS_MAX: usize = 64;

impl Line {
    /// Lets a request wait unless it would wait too long.
    pub(super) fn queue_or_refuse(
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
        let longest = match returns {
            true => self.return_wait(),
            false => WAIT_MAX,
        };
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

    /// Longest expected wait of a request that comes back as promised: longer where a slot is held
    /// for long and so is free seldom.
    fn return_wait(&self) -> Duration {
        let part = Duration::from_secs_f64(self.drain.request() * RETURN_WAIT_PART);
        part.max(RETURN_WAIT_MIN)
    }

    /// Expected wait of a request of the flow: what starts before it, at the drain rate.
    ///
    /// That is what waits before it in its own flow, and of each other flow with a waiting request
    /// what fair queuing lets start until the flow's virtual time has come.
    fn expected(&self, key: FlowKey, rank: &Rank, cost: u64, now: Instant) -> Duration {
        let flow = &self.flows[key];
        let whole = self.drain.rate(f64::from(self.limit()), now);
        let horizon = self.return_wait().as_secs_f64();
        let returns = match rank.fresh {
            true => flow.returned.rate(self.drain.window(), now) * WAIT_MAX.as_secs_f64(),
            false => 0.0,
        };
        let own = flow.ahead(rank) as f64 + returns;
        let start = flow.finish.max(self.virtual_floor()) + flow.span(own as u64);
        let earlier = || self.ready.range(..(start, key)).filter(|r| r.1 != key);
        let mut rivals = 0.0;
        let mut seen = 0;
        for (tag, rival) in earlier().take(RIVALS_MAX) {
            let rival = &self.flows[*rival];
            let fair = rival.cost_of(start - tag);
            let most = rival.queued as f64 + rival.offered.rate(self.drain.window(), now) * horizon;
            rivals += fair.min(most);
            seen += 1;
        }
        // With many rivals the first stand for all.
        if seen == RIVALS_MAX {
            rivals *= self.ready.len() as f64 / seen as f64;
        }
        let ahead = own + cost as f64 + rivals;
        Duration::from_secs_f64((ahead / whole.max(1e-6)).min(1e6))
    }

    /// Cost a second that the flow can count on: its share while all active accounts want theirs.
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
        share.min(own).max(1e-6)
    }

    /// Refuses, with a promise while the account's share has room for one.
    pub(super) fn refuse(&mut self, key: FlowKey, ask: &Ask, now: Instant) -> Refusal {
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
    pub(super) fn no_target(&self, request: RequestKey) -> Refusal {
        Refusal {
            reason: Reason::NoTarget,
            wait: Some(LOST_RETURN.mul_f64(1.0 + request.fraction())),
        }
    }
}
