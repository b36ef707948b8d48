//! Relays requests of callers, with head and body unchanged, to targets that register themselves on
//! the platform.
//!
//! The protocols of callers, targets and the platform are supplied by a [`Platform`] of plain
//! functions. This module decides on routes, targets, retries, copies of runs and refusals.

mod aggregate;
mod buffers;
mod call;
mod catalog;
mod connections;
mod copies;
mod dialect;
mod duty;
mod events;
mod exchange;
mod follow;
mod front;
mod gossip;
mod inquiry;
mod leaving;
mod ledger;
mod local_reply;
mod news;
mod pacing;
mod probe;
mod progress;
mod queries;
mod record;
#[expect(
    clippy::module_inception,
    reason = "the aggregate that the module is named after"
)]
mod relay;
mod retries;
mod revive;
mod rules;
mod run;
mod runs;
mod settings;
mod stall;
mod stall_timeouts;
mod stream;
#[cfg(test)]
mod tests;

pub use catalog::{Listed, Registration};
pub use dialect::{Ask, Attempt, Copied, Dialect, Head};
pub use follow::Sources;
pub use progress::Report;
pub use retries::Allowance;
pub use rules::{Engine, Kind, Limits, Route, Rules, Service, Share};
pub use run::{Platform, main};
pub use settings::Settings;
