//! Admission requests and the decisions on them.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::flow::{FlowKey, Rank};
use crate::ident::RequestKey;

/// A request for admission to a service.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Client account.
    pub account: SmolStr,
    /// The account's weight in the division of the capacity.
    pub weight: u32,
    /// Maximum number of the account's requests that run at once.
    pub concurrency: u32,
    /// Requests of higher priority start first, among those of the same account.
    pub priority: i64,
    /// Expected cost, for example in tokens; at least 1.
    pub cost: u64,
    /// Time at which the caller gives up.
    pub deadline: Option<Instant>,
    /// Identifies the request, so that its reserved retry is recognised.
    pub key: RequestKey,
}

/// The right to hold one slot of the service.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(crate) flow: FlowKey,
    pub(crate) cost: u64,
    pub(crate) started: Instant,
}

/// A request's position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter {
    pub(crate) flow: FlowKey,
    pub(crate) rank: Rank,
}

/// A queued request that may start now.
#[derive(Debug, PartialEq, Eq)]
pub struct Grant {
    /// The request's position in the queue.
    pub waiter: Waiter,
    /// The slot given to it.
    pub ticket: Ticket,
}

/// The reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The account uses all of its share.
    OverShare,
    /// The client retried before the time given in `Retry-After`.
    Early,
    /// The request could not start before its deadline.
    Deadline,
    /// No target of the service can take requests.
    NoTarget,
}

/// A refusal. No part of the request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Time after which the client may retry; none if no retry is reserved.
    pub retry_after: Option<Duration>,
}

/// The decision on an admission request.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start now.
    Run(Ticket),
    /// Wait in the queue, at most until the given time.
    Wait(Waiter, Instant),
    /// The request is refused.
    Refuse(Refusal),
}
