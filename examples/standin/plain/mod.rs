//! A plain service in memory: it answers reads and counts how often an action ran.

// Loaded once by each stand-in, as a test may hold several of them.
#[allow(clippy::duplicate_mod)]
#[path = "../conn.rs"]
mod conn;
mod faults;
mod routes;

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;

pub use faults::Faults;

/// How the stand-in starts.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Version that the load report names.
    pub version: String,
    /// Faults from the start.
    pub faults: Faults,
}

/// Serves on `listener` for as long as it is polled.
pub async fn serve(listener: TcpListener, options: Options) -> io::Result<()> {
    let state = Arc::new(routes::Shared::new(options));
    conn::serve(listener, routes::router(state)).await
}
