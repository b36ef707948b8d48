//! Connections that can go silent or be reset, and a listening socket that can be closed.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Time between tries to listen again.
const LISTEN_RETRY: Duration = Duration::from_millis(5);

/// State that all connections of an engine share.
#[derive(Debug, Default)]
pub struct Link {
    opened: AtomicU64,
    silent: AtomicU64,
    closed: Mutex<Option<Instant>>,
    closing: tokio::sync::Notify,
    /// Cancelled by a crash.
    pub dead: CancellationToken,
}

impl Link {
    /// Silences every connection that is open now.
    pub fn silence(&self) {
        self.silent
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Closes the listening socket for `time`.
    pub fn close(&self, time: Duration) {
        *self.closed.lock() = Some(Instant::now() + time);
        self.closing.notify_one();
    }

    fn closed_until(&self) -> Option<Instant> {
        self.closed.lock().filter(|until| *until > Instant::now())
    }
}

/// A listening socket whose connections obey a [`Link`].
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    inner: Option<TcpListener>,
    link: Arc<Link>,
}

impl Listener {
    /// Wraps `inner`.
    pub fn new(inner: TcpListener, link: Arc<Link>) -> io::Result<Self> {
        Ok(Self {
            addr: inner.local_addr()?,
            inner: Some(inner),
            link,
        })
    }

    async fn reopen(&mut self, until: Instant) {
        self.inner = None;
        tokio::time::sleep_until(until).await;
        while self.inner.is_none() {
            self.inner = endivefork::listen::listen(self.addr).ok();
            tokio::time::sleep(LISTEN_RETRY).await;
        }
    }
}

impl axum::serve::Listener for Listener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        loop {
            if let Some(until) = self.link.closed_until() {
                self.reopen(until).await;
            }
            let Some(inner) = &self.inner else { continue };
            tokio::select! {
                accepted = inner.accept() => match accepted {
                    Ok((stream, addr)) => return (Connection::new(stream, &self.link), addr),
                    Err(_) => tokio::time::sleep(LISTEN_RETRY).await,
                },
                () = self.link.closing.notified() => {}
            }
        }
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        Ok(self.addr)
    }
}

/// One accepted connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    number: u64,
    link: Arc<Link>,
    dead: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Connection {
    fn new(stream: TcpStream, link: &Arc<Link>) -> Self {
        drop(stream.set_nodelay(true));
        Self {
            stream,
            number: link.opened.fetch_add(1, Ordering::SeqCst) + 1,
            link: Arc::clone(link),
            dead: Box::pin(link.dead.clone().cancelled_owned()),
        }
    }

    fn gate(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.dead.as_mut().poll(cx) {
            Poll::Ready(()) => {
                drop(self.stream.set_zero_linger());
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            Poll::Pending if self.number <= self.link.silent.load(Ordering::SeqCst) => {
                Poll::Pending
            }
            Poll::Pending => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.gate(cx))?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
