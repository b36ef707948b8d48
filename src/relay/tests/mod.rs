//! Unit tests of the relay's rules and decisions, without a network.

mod aggregate;
mod buffers;
mod catalog;
mod connections;
mod events;
mod freshness;
#[path = "../../../tests/support/heads.rs"]
mod heads;
mod limits;
mod local_reply;
mod missed_runs;
mod pacing;
mod probe;
mod registry;
mod retries;
mod round_trips;
mod rules;
mod run_store;
mod runs;
mod shared_contents;
mod silence;
mod stall_timeouts;
mod store_eras;
mod wait_order;
