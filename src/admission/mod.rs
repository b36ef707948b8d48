//! Admission: who may start work, who waits and who is refused early.
//!
//! Each service has a [`Line`], a plain aggregate that shares the service's capacity among client
//! accounts by weight. A [`Gate`] holds the lines and makes callers wait for their permits.
//! A [`Budget`] bounds retries. [`Usage`] is what instances tell each other.

mod ask;
mod book;
mod budget;
mod flow;
mod gate;
mod line;
mod meter;
mod share;

pub use ask::{Ask, Decision, Grant, Reason, Refusal, Ticket, Waiter};
pub use book::Promise;
pub use budget::Budget;
pub use gate::{Gate, Permit};
pub use line::Line;
pub use share::{AccountUse, Split, Usage, part, split};
