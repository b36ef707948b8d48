//! Clients: one request a call, on a new channel.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer was received.
    Complete,
    /// The channel ended before the answer was complete.
    Broken,
    /// There was no answer within the client's time limit.
    TimedOut,
    /// The channel could not be opened.
    Unreachable,
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub sent: Instant,
    pub ended: Instant,
    pub end: End,
    pub head: Head,
    pub body: String,
    /// Id of the last event that was received whole.
    pub last_event: u64,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    pub fn retry_after(&self) -> Option<Duration> {
        let seconds = self.head.get("retry-after")?.parse().ok()?;
        Some(Duration::from_secs_f64(seconds))
    }
}

/// Sends a request, and calls `on_event` for each event of a stream.
pub fn send(
    addr: SocketAddr,
    request: &[u8],
    limit: Duration,
    mut on_event: impl FnMut(u64),
) -> Answer {
    send_kept(addr, None, request, limit, &mut on_event)
}

/// Like [`send`], on a channel that has carried the request `first` if there is one. An answer whose
/// `end` is [`End::Unreachable`] means that `request` was not sent.
pub fn send_kept(
    addr: SocketAddr,
    first: Option<&[u8]>,
    request: &[u8],
    limit: Duration,
    on_event: &mut impl FnMut(u64),
) -> Answer {
    let sent = Instant::now();
    let mut answer = Answer {
        sent,
        ended: sent,
        end: End::Unreachable,
        head: Head::default(),
        body: String::new(),
        last_event: 0,
    };
    let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        answer.ended = Instant::now();
        return answer;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let mut reader = Reader::new(stream);
    if let Some(first) = first {
        let mut earlier = answer.clone();
        if exchange(&mut reader, first, &mut earlier, &mut |_| {}).is_err() {
            answer.ended = Instant::now();
            return answer;
        }
    }
    answer.sent = Instant::now();
    let result = exchange(&mut reader, request, &mut answer, on_event);
    answer.ended = Instant::now();
    answer.end = match result {
        Ok(()) => End::Complete,
        Err(e)
            if matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            End::TimedOut
        }
        Err(_) => End::Broken,
    };
    answer
}

fn exchange(
    reader: &mut Reader,
    request: &[u8],
    answer: &mut Answer,
    on_event: &mut impl FnMut(u64),
) -> std::io::Result<()> {
    reader.send(request)?;
    let head = reader.head()?;
    answer.head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let is_chunked = answer.head.get("transfer-encoding").is_some();
    if !is_chunked {
        let body = reader.body(&answer.head)?;
        answer.body = String::from_utf8_lossy(&body).into_owned();
        return Ok(());
    }
    loop {
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&chunk);
        answer.body.push_str(&text);
        for id in text.lines().filter_map(|l| l.strip_prefix("id: ")) {
            answer.last_event = id.trim().parse().unwrap_or(0);
            on_event(answer.last_event);
        }
    }
}

/// Whether the readiness check answers 200.
pub fn is_ready(addr: SocketAddr) -> bool {
    let request = b"GET /endivefork/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    send(addr, request, Duration::from_millis(500), |_| {}).status() == 200
}
