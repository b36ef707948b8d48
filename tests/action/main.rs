//! Tests of actions that must run at most once, against stand-ins for the platform and the service
//! in the same process.

#[allow(dead_code)]
#[path = "../../examples/standin/platform/mod.rs"]
mod platform;

#[allow(dead_code)]
#[path = "../../examples/standin/plain/mod.rs"]
mod plain;

#[path = "../support/kept.rs"]
mod kept;

mod contract;
mod cost;
mod faults;
mod fixture;
mod history;
mod kept_status;
mod partition;
mod safe;
mod state_machine;
mod status_lookup;
mod sweep;
