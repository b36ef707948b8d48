//! The HTTP front for callers: keys, limits, generations, plain calls and graceful shutdown.

mod answer;
mod completions;
mod event;
mod front;
mod identity;
mod server;
mod services;

pub(crate) use front::say_close;
pub use front::{Front, router};
pub(crate) use server::Running;
pub use server::{Drain, serve};
