//! Opens TCP connections within a time limit that allows for stops of this process.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

#[cfg(test)]
mod tests;

/// Time allowed for events that the reactor has not delivered yet.
const EVENT_GRACE: Duration = Duration::from_millis(3);

/// Opens a connection, which fails unless the peer accepts it within `limit`.
///
/// # Errors
/// If the peer refuses the connection or does not accept it in time.
pub(crate) async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    within(limit, TcpStream::connect(addr)).await?
}

/// Waits for `operation`, at most for `limit`. If this process was stopped meanwhile, the limit may
/// have passed although the operation is complete, which only the reactor can tell.
pub(crate) async fn within<F: Future>(limit: Duration, operation: F) -> Result<F::Output, Elapsed> {
    let mut operation = pin!(operation);
    match timeout(limit, operation.as_mut()).await {
        Ok(output) => Ok(output),
        Err(_) => timeout(EVENT_GRACE, operation).await,
    }
}
