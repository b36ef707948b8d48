//! A caller's connection: its socket, and what is known of the requests on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::open::{OpenRequests, RequestKey};

/// State of a connection, shared by its socket and its requests.
#[derive(Debug)]
pub(crate) struct Connection {
    requests: Arc<OpenRequests>,
    /// Requests whose answer was produced and is not written yet.
    unwritten: Mutex<Vec<RequestKey>>,
}

impl Connection {
    pub(crate) fn new(requests: Arc<OpenRequests>) -> Self {
        Self {
            requests,
            unwritten: Mutex::default(),
        }
    }

    pub(crate) fn requests(&self) -> &Arc<OpenRequests> {
        &self.requests
    }

    /// Keeps a request open until the bytes of its answer are written.
    pub(crate) fn hold(&self, key: RequestKey) {
        self.unwritten.lock().push(key);
    }

    fn written(&self) {
        for key in self.unwritten.lock().drain(..) {
            self.requests.remove(key);
        }
    }
}

/// The socket of a connection.
#[derive(Debug)]
pub(crate) struct Socket {
    pub(crate) stream: TcpStream,
    pub(crate) connection: Arc<Connection>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The caller left before it had read the answer.
        self.written();
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called by the HTTP library once its buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.connection.written();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
