//! Relays requests of callers, with head and body unchanged, to targets that register themselves on
//! the platform.
//!
//! The protocols of callers, targets and the platform are supplied by a [`Platform`] of plain
//! functions. This module decides on routes, targets, retries, copies of runs and refusals.

mod aggregate;
mod buffers;
mod call;
mod caller_request;
mod catalog;
mod connections;
mod copies;
mod copy_lookup;
mod departures;
mod dialect;
mod election;
mod equal_runs;
mod events;
mod exchange;
mod freshness;
mod front;
mod gossip;
mod hearing;
mod lateness;
mod limits;
mod lists;
mod local_reply;
mod missed_runs;
mod notices;
mod pacing;
mod permits;
mod placing;
mod platform_update;
mod platform_watch;
mod priority;
mod probe;
mod progress;
mod quarantine;
mod queries;
mod record;
mod recovery;
mod registry;
#[expect(
    clippy::module_inception,
    reason = "the aggregate that the module is named after"
)]
mod relay;
mod removals;
mod request_memory;
mod retries;
mod round_trips;
mod rules;
mod run;
mod run_location;
mod run_store;
mod runs;
mod settings;
mod shared_contents;
mod shutdown;
mod silence;
mod stall;
mod stall_timeouts;
mod startup;
mod store_era;
mod stream;
mod successor;
mod telling;
#[cfg(test)]
mod tests;
mod wait_order;

pub use catalog::{Registration, TargetInfo};
pub use dialect::{AttemptHead, CopyRef, Dialect, Notice, QuietTime, RequestHead, ResponseHead};
pub use limits::Rate;
pub use platform_watch::Sources;
pub use priority::Priority;
pub use progress::EngineReport;
pub use retries::Allowance;
pub use rules::{Account, Engine, Kind, Limits, Route, Rules, Service, TrafficShare};
pub use run::{Platform, main};
pub use settings::Settings;
