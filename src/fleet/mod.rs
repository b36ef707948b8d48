//! Instances and targets of the fleet as this instance sees them, leaving, and orders.

mod roster;

pub use roster::{Entry, Fleet, Roster, Target};
