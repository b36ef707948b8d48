//! Counts the bytes of connections between instances, since traffic between regions is billed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use metrics::counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that counts its bytes in both directions.
#[derive(Debug)]
pub(crate) struct Metered(pub(crate) TcpStream);

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(cx, buf);
        count("received", buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            count("sent", written);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(written)) = polled {
            count("sent", written);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

fn count(direction: &'static str, bytes: usize) {
    if bytes > 0 {
        counter!("endivefork_peer_bytes_total", "direction" => direction).increment(bytes as u64);
    }
}
