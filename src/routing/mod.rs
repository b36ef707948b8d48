//! Choice of a target for one attempt: locality, load, prefix affinity and health.
//!
//! A [`Router`] is fed by the fleet (which targets exist), by load reports (which lag), by peers
//! (their in-flight counts and the targets that they found dead) and by its own leases.

mod health;
mod lease;
mod load;
mod policy;
mod poll;
mod router;
mod table;
mod trouble;
mod word;

pub use lease::{Lease, Subject};
pub use load::{Report, Work};
pub use policy::{Capacity, Costs, Policy};
pub use poll::{Polled, Poller, Sight, TargetLoad, Views, poll};
pub use router::{Query, Router, Supply};
pub use word::{Count, Word};
