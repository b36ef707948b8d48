//! Listeners with a queue long enough for a burst of connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted. The usual 128 overflows when a balancer moves the
/// callers of a lost instance here at once, and each overflow costs its caller a second.
const BACKLOG: u32 = 4096;

/// Listens on `addr`. Must be called within a runtime.
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
