//! The lines of all services, and the wait for a permit.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::ask::{Ask, Decision, Grant, Reason, Refusal, Ticket, Waiter};
use super::line::Line;
use super::share::Usage;
use crate::failure::Failure;

/// Admission to all services. Cheap to share.
#[derive(Debug)]
pub struct Gate {
    epoch: u64,
    lanes: RwLock<IndexMap<SmolStr, Arc<Lane>>>,
}

/// One service's line with those who wait in it.
#[derive(Debug)]
struct Lane {
    service: SmolStr,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    line: Line,
    waiting: HashMap<Waiter, oneshot::Sender<Permit>>,
}

impl Gate {
    /// A gate without services. `epoch` differs between lives of the process.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            lanes: RwLock::default(),
        }
    }

    /// Waits for a permit to start one request at `service`.
    ///
    /// Dropping the future gives up the place in the line.
    ///
    /// # Errors
    /// A refusal, `not_run`, as early as it is known.
    pub async fn admit(&self, service: &str, ask: &Ask) -> Result<Permit, Failure> {
        self.lane(service).admit(ask).await.map_err(failure)
    }

    /// Counts a request that runs already, whatever the limit.
    #[must_use]
    pub fn count(&self, service: &str, ask: &Ask) -> Permit {
        let lane = self.lane(service);
        let ticket = lane.inner.lock().line.count(ask, Instant::now());
        lane.permit(ticket)
    }

    /// Takes the slots of the service's fit targets and the number of instances on the list.
    pub fn supply(&self, service: &str, slots: u32, members: usize) {
        let lane = self.lane(service);
        lane.update(|line| line.supply(slots, members, Instant::now()));
    }

    /// What this instance tells its peers, one message a service.
    #[must_use]
    pub fn usages(&self) -> Vec<Usage> {
        let now = Instant::now();
        let lanes: Vec<_> = self.lanes.read().values().cloned().collect();
        lanes
            .iter()
            .map(|lane| lane.inner.lock().line.usage(&lane.service, self.epoch, now))
            .collect()
    }

    /// Takes the usage of the peer `origin`.
    pub fn merge(&self, origin: &str, usage: &Usage) {
        let lane = self.lane(&usage.service);
        lane.inner.lock().line.merge(origin, usage, Instant::now());
    }

    /// Requests that run and that wait at a service.
    #[must_use]
    pub fn load(&self, service: &str) -> (u32, usize) {
        let lane = self.lane(service);
        let inner = lane.inner.lock();
        (inner.line.running(), inner.line.waiting())
    }

    fn lane(&self, service: &str) -> Arc<Lane> {
        if let Some(lane) = self.lanes.read().get(service) {
            return Arc::clone(lane);
        }
        let mut lanes = self.lanes.write();
        let lane = lanes.entry(service.into()).or_insert_with(|| {
            Arc::new(Lane {
                service: service.into(),
                inner: Mutex::default(),
            })
        });
        Arc::clone(lane)
    }
}

impl Lane {
    async fn admit(self: &Arc<Self>, ask: &Ask) -> Result<Permit, Refusal> {
        let (mut place, until) = match self.offer(ask) {
            Step::Done(result) => return result,
            Step::Wait(place, until) => (place, until),
        };
        let granted = tokio::time::timeout_at(until.into(), &mut place.receiver).await;
        match granted {
            Ok(Ok(permit)) => Ok(permit),
            _ => place.give_up(ask),
        }
    }

    fn offer(self: &Arc<Self>, ask: &Ask) -> Step {
        let mut inner = self.inner.lock();
        match inner.line.offer(ask, Instant::now()) {
            Decision::Run(ticket) => Step::Done(Ok(self.permit(ticket))),
            Decision::Refuse(refusal) => Step::Done(Err(refusal)),
            Decision::Wait(waiter, until) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(waiter, sender);
                let lane = Arc::clone(self);
                let place = Place {
                    lane,
                    waiter,
                    receiver,
                };
                Step::Wait(place, until)
            }
        }
    }

    /// Changes the line and hands out what the change granted, outside of the lock.
    fn update(self: &Arc<Self>, change: impl FnOnce(&mut Line) -> Vec<Grant>) {
        let mut inner = self.inner.lock();
        let grants = change(&mut inner.line);
        let granted: Vec<_> = grants
            .into_iter()
            .map(|grant| {
                let sender = inner.waiting.remove(&grant.waiter);
                (sender, self.permit(grant.ticket))
            })
            .collect();
        drop(inner);
        for (sender, permit) in granted {
            // A caller that is gone drops the permit, which releases it.
            let _ = sender.map(|sender| sender.send(permit));
        }
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit {
            lane: Arc::clone(self),
            ticket: Some(ticket),
            actual: None,
        }
    }
}

/// What an offer came to.
enum Step {
    Done(Result<Permit, Refusal>),
    Wait(Place, Instant),
}

/// A place in a line; dropping it gives it up.
struct Place {
    lane: Arc<Lane>,
    waiter: Waiter,
    receiver: oneshot::Receiver<Permit>,
}

impl Place {
    /// Leaves the line, unless the permit came at the last moment.
    fn give_up(mut self, ask: &Ask) -> Result<Permit, Refusal> {
        let mut inner = self.lane.inner.lock();
        inner.waiting.remove(&self.waiter);
        let left = inner.line.cancel(self.waiter);
        let refusal = left.then(|| inner.line.expire(ask, Instant::now()));
        drop(inner);
        match refusal {
            Some(refusal) => Err(refusal),
            None => self.receiver.try_recv().map_err(|_| Refusal {
                reason: Reason::Deadline,
                wait: None,
            }),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = self.lane.inner.lock();
        if inner.waiting.remove(&self.waiter).is_some() {
            inner.line.cancel(self.waiter);
        }
    }
}

/// The right to hold one slot of a service. Dropping it lets the next request start.
pub struct Permit {
    lane: Arc<Lane>,
    ticket: Option<Ticket>,
    actual: Option<u64>,
}

impl Permit {
    /// Tells the true cost, in the unit of [`Ask::cost`].
    pub fn charge(&mut self, cost: u64) {
        self.actual = Some(cost);
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Permit").field(&self.lane.service).finish()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let actual = self.actual;
            self.lane
                .update(|line| line.release(ticket, actual, Instant::now()));
        }
    }
}

fn name(reason: Reason) -> &'static str {
    match reason {
        Reason::OverShare => "over_share",
        Reason::Early => "came_early",
        Reason::Deadline => "deadline",
        Reason::NoTarget => "no_target",
    }
}

fn failure(refusal: Refusal) -> Failure {
    let (status, message) = match refusal.reason {
        Reason::OverShare => (429, "the account's share of the service is used up"),
        Reason::Early => (429, "the request comes before the time it was given"),
        Reason::Deadline => (503, "the request could not start before its deadline"),
        Reason::NoTarget => (503, "no target of the service is fit"),
    };
    let failure = Failure::not_run(status, name(refusal.reason), message);
    match refusal.wait {
        Some(wait) => failure.retry_after(wait),
        None => failure,
    }
}
