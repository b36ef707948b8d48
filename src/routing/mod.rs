//! Chooses a target for each attempt, by locality, load, prefix affinity and health.
//!
//! [`Router::choose`] is called for each attempt after admission, before a connection is made. Its
//! cost stays bounded for fleets of 11 000 targets: of large groups only a sample is evaluated.
//!
//! A [`Router`] takes its input from the fleet (which targets exist), from load reports (which
//! lag), from peers (their in-flight counts and the targets that they found dead) and from its own
//! leases.

mod health;
mod lease;
mod load;
mod notices;
mod outage;
mod outlier;
mod peer_report;
mod policy;
mod poll;
mod router;
mod table;

#[cfg(test)]
pub(crate) use health::DEPARTURE_NEWS_TIME;
pub(crate) use health::RETURN_INTERVAL;
pub use lease::{Lease, ProbeTarget};
pub use load::{LoadReport, Work};
pub use peer_report::{Departure, InflightCount, PeerReport};
pub use policy::{Costs, EngineCapacity, Policy};
pub use poll::{LoadViews, PeerView, PollOutcome, Poller, TargetLoad, poll};
pub use router::{Query, Router, ServingCapacity};
