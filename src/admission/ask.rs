//! What a line is asked and what it answers.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::flow::{FlowKey, Rank};
use crate::ident::RequestKey;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Client account.
    pub account: SmolStr,
    /// The account's weight.
    pub weight: u32,
    /// The account's most requests at once.
    pub concurrency: u32,
    /// Higher goes first among the account's own requests.
    pub priority: i64,
    /// Expected cost, as in tokens; at least 1.
    pub cost: u64,
    /// When the caller gives up.
    pub deadline: Option<Instant>,
    /// The request, by which a promised return is known.
    pub request: RequestKey,
}

/// The right to hold one slot.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(crate) flow: FlowKey,
    pub(crate) cost: u64,
    pub(crate) started: Instant,
}

/// A place in the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter {
    pub(crate) flow: FlowKey,
    pub(crate) rank: Rank,
}

/// A waiter that may start.
#[derive(Debug, PartialEq, Eq)]
pub struct Grant {
    /// Its place.
    pub waiter: Waiter,
    /// Its right.
    pub ticket: Ticket,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The account uses all of its share.
    OverShare,
    /// It comes back before its time.
    Early,
    /// It could not start before its deadline.
    Deadline,
    /// No target is fit.
    NoTarget,
}

/// A refusal. Nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When coming back helps.
    pub wait: Option<Duration>,
}

/// The answer to an ask.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start now.
    Run(Ticket),
    /// Wait, at most until the time given.
    Wait(Waiter, Instant),
    /// Refused.
    Refuse(Refusal),
}
