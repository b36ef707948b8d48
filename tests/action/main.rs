//! Actions that must not repeat, against stand-ins in the same process.

#[allow(dead_code)]
#[path = "../../examples/standin/platform/mod.rs"]
mod platform;

#[allow(dead_code)]
#[path = "../../examples/standin/plain/mod.rs"]
mod plain;

mod aggregate;
mod contract;
mod cost;
mod cut;
mod faults;
mod fixture;
mod history;
mod lookup;
mod safe;
mod sweep;
