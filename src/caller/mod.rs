//! The HTTP server for callers: authentication, limits, generations, plain calls and graceful
//! shutdown.
//!
//! First stage of every request: it authenticates the account, reads the body within the limits
//! and hands the request to the instance.

mod answer;
mod close;
mod completions;
mod connection;
mod drain;
mod durations;
mod event;
mod front;
mod identity;
mod open;
mod request_body;
mod server;
mod services;
mod signals;

pub use drain::Drain;
pub(crate) use durations::StreamDurations;
pub(crate) use front::close_on_drain;
pub use front::{Front, router};
pub(crate) use open::OpenRequest;
pub use server::serve;
pub(crate) use signals::Signals;
