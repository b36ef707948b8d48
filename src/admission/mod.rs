//! Admission control: decides which requests start, which wait and which are refused before any
//! work is done.
//!
//! Generations and plain calls pass through [`AdmissionControl`] at their entry instance before a
//! target is chosen. It holds one [`FairQueue`] for each service, which shares the service's
//! capacity among client accounts by weight, and lets callers wait for a [`Permit`]. Instances
//! exchange [`Usage`] messages, by which each computes its share of the capacity. A [`RetryBudget`]
//! limits the retries of failed attempts.
//!
//! Sized for tens of thousands of accounts at a service: the cost of a decision doesn't grow with
//! the number of idle accounts.

mod budget;
mod control;
mod flow;
mod meter;
mod queue;
mod request;
mod reservations;
mod share;

pub use budget::RetryBudget;
pub use control::{AdmissionControl, Permit};
pub use queue::FairQueue;
pub use request::{AdmissionRequest, Decision, Grant, Reason, Refusal, Ticket, Waiter};
pub use reservations::Reservation;
pub use share::{AccountUsage, Allocation, Usage, allocate, capacity_share};
