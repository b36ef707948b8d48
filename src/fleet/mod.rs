//! Instances and targets of the fleet as this instance sees them, leaving, and orders.

mod lease;
mod orders;
mod roster;

pub use lease::{Lease, LeaseObject, ORDER_LIMIT, Step, TERM};
pub use orders::{LoadBudget, Loaded, Op, Order, missing};
pub use roster::{Entry, Fleet, Roster, Target};
