//! The fleet as one instance sees it: entry instances and targets, which of them are leaving, and
//! the leases and orders by which targets load models.

mod lease;
mod orders;
mod roster;

pub use lease::{Lease, LeaseObject, ORDER_LIMIT, Step, TERM};
pub use orders::{LoadBudget, Loaded, Op, Order, missing};
pub use roster::{Entry, Fleet, Roster, Target};
