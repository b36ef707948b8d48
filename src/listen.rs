//! TCP listeners with an accept queue that is long enough for a burst of connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Length of the accept queue. The usual 128 overflows when a load balancer moves all callers of a
/// failed instance here at once, and each dropped connection delays its caller by a second.
const BACKLOG: u32 = 4096;

/// Listens on `addr`. Must be called within a Tokio runtime.
///
/// # Errors
/// When the address cannot be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
