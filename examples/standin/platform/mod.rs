//! The platform in memory: objects with revisions, watches, the instance list, and faults.

// Loaded once by each stand-in, as a test may hold several of them.
#[allow(clippy::duplicate_mod)]
#[path = "../conn.rs"]
mod conn;
mod faults;
mod instances;
mod objects;
mod routes;
mod store;

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;

pub use faults::Faults;

/// How the stand-in starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Faults from the start.
    pub faults: Faults,
    /// Number of changes kept for watches; an older start answers 410.
    pub history: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            faults: Faults::default(),
            history: 10_000,
        }
    }
}

/// Serves on `listener` for as long as it is polled.
pub async fn serve(listener: TcpListener, options: Options) -> io::Result<()> {
    let state = Arc::new(routes::Shared::new(options));
    conn::serve(listener, routes::router(state)).await
}
