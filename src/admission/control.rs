//! Admission to all services: holds a queue for each and lets callers wait for permits.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::queue::FairQueue;
use super::request::{AdmissionRequest, Decision, Grant, Reason, Refusal, Ticket, Waiter};
use super::share::Usage;
use crate::failure::Failure;

/// Admission control for all services.
#[derive(Debug)]
pub struct AdmissionControl {
    epoch: u64,
    queues: RwLock<IndexMap<SmolStr, Arc<ServiceQueue>>>,
}

/// The queue of one service and the callers that wait in it.
#[derive(Debug)]
struct ServiceQueue {
    service: SmolStr,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    fair: FairQueue,
    waiting: HashMap<Waiter, oneshot::Sender<Permit>>,
}

impl AdmissionControl {
    /// Creates admission control without any services. `epoch` must differ after each restart of
    /// the process.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            queues: RwLock::default(),
        }
    }

    /// Waits for a permit to start one request at `service`.
    ///
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    /// Fails with `not_run` as soon as it is known that the request can't start in time.
    pub async fn admit(
        &self,
        service: &str,
        request: &AdmissionRequest,
    ) -> Result<Permit, Failure> {
        self.queue(service).admit(request).await.map_err(failure)
    }

    /// Counts a request that is already running, even above the limit.
    #[must_use]
    pub fn add_running(&self, service: &str, request: &AdmissionRequest) -> Permit {
        let queue = self.queue(service);
        let ticket = queue.inner.lock().fair.add_running(request, Instant::now());
        queue.permit(ticket)
    }

    /// Sets the number of slots of the service's available targets and the number of instances in
    /// the member list.
    pub fn set_capacity(&self, service: &str, slots: u32, members: usize) {
        let queue = self.queue(service);
        queue.update(|fair| fair.set_capacity(slots, members, Instant::now()));
    }

    /// Returns the usage messages for peers, one for each service.
    #[must_use]
    pub fn usages(&self) -> Vec<Usage> {
        let now = Instant::now();
        let queues: Vec<_> = self.queues.read().values().cloned().collect();
        queues
            .iter()
            .map(|queue| {
                queue
                    .inner
                    .lock()
                    .fair
                    .usage(&queue.service, self.epoch, now)
            })
            .collect()
    }

    /// Applies a usage message of the peer `origin`.
    pub fn merge(&self, origin: &str, usage: &Usage) {
        let queue = self.queue(&usage.service);
        queue.inner.lock().fair.merge(origin, usage, Instant::now());
    }

    /// Returns the numbers of running and of waiting requests of a service.
    #[must_use]
    pub fn load(&self, service: &str) -> (u32, usize) {
        let queue = self.queue(service);
        let inner = queue.inner.lock();
        (inner.fair.running(), inner.fair.waiting())
    }

    fn queue(&self, service: &str) -> Arc<ServiceQueue> {
        if let Some(queue) = self.queues.read().get(service) {
            return Arc::clone(queue);
        }
        let mut queues = self.queues.write();
        let queue = queues.entry(service.into()).or_insert_with(|| {
            Arc::new(ServiceQueue {
                service: service.into(),
                inner: Mutex::default(),
            })
        });
        Arc::clone(queue)
    }
}

impl ServiceQueue {
    async fn admit(self: &Arc<Self>, request: &AdmissionRequest) -> Result<Permit, Refusal> {
        let (mut entry, wait_end) = match self.submit(request) {
            Submission::Done(result) => return result,
            Submission::Wait(entry, wait_end) => (entry, wait_end),
        };
        let granted = tokio::time::timeout_at(wait_end.into(), &mut entry.receiver).await;
        match granted {
            Ok(Ok(permit)) => Ok(permit),
            _ => entry.leave(request),
        }
    }

    fn submit(self: &Arc<Self>, request: &AdmissionRequest) -> Submission {
        let mut inner = self.inner.lock();
        match inner.fair.submit(request, Instant::now()) {
            Decision::Run(ticket) => Submission::Done(Ok(self.permit(ticket))),
            Decision::Refuse(refusal) => Submission::Done(Err(refusal)),
            Decision::Wait(waiter, wait_end) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(waiter, sender);
                let queue = Arc::clone(self);
                let entry = QueueEntry {
                    queue,
                    waiter,
                    receiver,
                };
                Submission::Wait(entry, wait_end)
            }
        }
    }

    /// Changes the queue and sends the resulting permits after the lock is released.
    fn update(self: &Arc<Self>, change: impl FnOnce(&mut FairQueue) -> Vec<Grant>) {
        let mut inner = self.inner.lock();
        let grants = change(&mut inner.fair);
        let granted: Vec<_> = grants
            .into_iter()
            .map(|grant| {
                let sender = inner.waiting.remove(&grant.waiter);
                (sender, self.permit(grant.ticket))
            })
            .collect();
        drop(inner);
        for (sender, permit) in granted {
            // If the caller is gone, the permit is dropped, which releases its slot.
            let _ = sender.map(|sender| sender.send(permit));
        }
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit {
            queue: Arc::clone(self),
            ticket: Some(ticket),
            actual_cost: None,
        }
    }
}

/// Result of submitting a request.
enum Submission {
    Done(Result<Permit, Refusal>),
    Wait(QueueEntry, Instant),
}

/// A position in the queue; dropping it removes the request from the queue.
struct QueueEntry {
    queue: Arc<ServiceQueue>,
    waiter: Waiter,
    receiver: oneshot::Receiver<Permit>,
}

impl QueueEntry {
    /// Removes the request from the queue, unless its permit has been sent in the meantime.
    fn leave(mut self, request: &AdmissionRequest) -> Result<Permit, Refusal> {
        let mut inner = self.queue.inner.lock();
        inner.waiting.remove(&self.waiter);
        let removed = inner.fair.cancel(self.waiter);
        let refusal = removed.then(|| inner.fair.expire(request, Instant::now()));
        drop(inner);
        match refusal {
            Some(refusal) => Err(refusal),
            None => self.receiver.try_recv().map_err(|_| Refusal {
                reason: Reason::Deadline,
                retry_after: None,
            }),
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut inner = self.queue.inner.lock();
        if inner.waiting.remove(&self.waiter).is_some() {
            inner.fair.cancel(self.waiter);
        }
    }
}

/// The right to hold one slot of a service. Dropping it releases the slot for the next request.
pub struct Permit {
    queue: Arc<ServiceQueue>,
    ticket: Option<Ticket>,
    actual_cost: Option<u64>,
}

impl Permit {
    /// Sets the actual cost, in the unit of [`AdmissionRequest::cost`].
    pub fn charge(&mut self, cost: u64) {
        self.actual_cost = Some(cost);
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Permit").field(&self.queue.service).finish()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let actual_cost = self.actual_cost;
            self.queue
                .update(|fair| fair.release(ticket, actual_cost, Instant::now()));
        }
    }
}

fn code(reason: Reason) -> &'static str {
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
        Reason::Early => (
            429,
            "the request was retried before the time given in Retry-After",
        ),
        Reason::Deadline => (503, "the request could not start before its deadline"),
        Reason::NoTarget => (503, "no target of the service is available"),
    };
    let failure = Failure::not_run(status, code(refusal.reason), message);
    match refusal.retry_after {
        Some(wait) => failure.retry_after(wait),
        None => failure,
    }
}
