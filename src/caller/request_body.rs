//! The body of a caller's request. What its handler leaves unread is discarded, because a caller
//! that is still sending would meet a closed connection in place of its answer.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::EXPECT;
use http::request::Parts;
use http::{HeaderMap, Version};
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::runtime::Handle;

use super::connection::Connection;
use super::open::OpenRequest;
use crate::http::{DISCARD_MAX, discard};

/// The body of a request; notes its end.
pub(super) struct RequestBody {
    /// Present until this is dropped.
    inner: Option<Incoming>,
    open: OpenRequest,
    connection: Arc<Connection>,
    is_http2: bool,
    /// Whether the caller still waits for a `100 Continue` before it sends anything.
    awaits_continue: bool,
}

impl RequestBody {
    pub(super) fn new(
        inner: Incoming,
        head: &Parts,
        open: OpenRequest,
        connection: Arc<Connection>,
    ) -> Self {
        if inner.is_end_stream() {
            open.whole_read();
        }
        Self {
            inner: Some(inner),
            open,
            connection,
            is_http2: head.version == Version::HTTP_2,
            awaits_continue: expects_continue(&head.headers),
        }
    }

    fn is_at_end(&self) -> bool {
        self.inner.as_ref().is_none_or(Incoming::is_end_stream)
    }

    /// Whether the caller reset its stream inside the body, which the HTTP library reports as its
    /// end if the reason is no error.
    fn is_cut(&self) -> bool {
        self.is_http2 && !self.is_at_end()
    }
}

fn expects_continue(headers: &HeaderMap) -> bool {
    let expectation = headers.get(EXPECT).map(|e| e.as_bytes());
    expectation.is_some_and(|e| e.eq_ignore_ascii_case(b"100-continue"))
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        self.awaits_continue = false;
        let Some(inner) = &mut self.inner else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(inner).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) && self.is_cut() {
            return Poll::Ready(Some(Err(axum::Error::new("the body broke off"))));
        }
        if matches!(polled, Poll::Ready(None)) || self.is_at_end() {
            self.open.whole_read();
        }
        polled.map_err(axum::Error::new)
    }

    fn is_end_stream(&self) -> bool {
        self.is_at_end()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner
            .as_ref()
            .map_or_else(SizeHint::default, Incoming::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let (Some(rest), Ok(runtime)) = (self.inner.take(), Handle::try_current()) else {
            return;
        };
        let is_long = rest.size_hint().lower() > DISCARD_MAX as u64;
        // Over HTTP/2, the end of a stream does not end its connection.
        if rest.is_end_stream() || is_long || self.is_http2 || self.awaits_continue {
            return;
        }
        let open = self.open.clone();
        let busy = self.connection.hold_open();
        runtime.spawn(async move {
            if discard(rest).await {
                open.whole_read();
            }
            drop(busy);
        });
    }
}
