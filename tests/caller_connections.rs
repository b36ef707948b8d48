//! Connections of callers, with a handler of the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::routing::get;
use endivefork::caller::{Drain, serve};
use endivefork::settings::Limits;
use futures_util::stream;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const MAX_WAIT: Duration = Duration::from_secs(10);

const LIMITS: Limits = Limits {
    headers: 16 * 1024,
    body: 1024,
    receive: Duration::from_secs(5),
    idle: Duration::from_secs(5),
    connections: 100,
};

async fn start(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let drain = Arc::<Drain>::default();
    tokio::spawn(serve(listener, router, || LIMITS, drain, MAX_WAIT));
    addr
}

/// Sends a request for `path` and reads until the connection is closed.
async fn exchange(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = timeout(MAX_WAIT, read).await.expect("closed in time");
    String::from_utf8(bytes).unwrap()
}

async fn panics() -> &'static str {
    panic!("a fault of the test")
}

#[tokio::test]
async fn panic_in_a_handler_is_answered() {
    let addr = start(Router::new().route("/", get(panics))).await;

    let answer = exchange(addr, "/").await;

    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer:?}");
}

#[tokio::test]
async fn panic_in_a_body_ends_the_answer_incomplete() {
    let body = || async {
        Body::from_stream(stream::unfold(0, |n| async move {
            sleep(Duration::from_millis(50 * n)).await;
            assert_eq!(n, 0, "a fault of the test");
            Some((Ok::<_, std::io::Error>("event"), n + 1))
        }))
    };
    let addr = start(Router::new().route("/", get(body))).await;

    let answer = exchange(addr, "/").await;

    assert!(answer.contains("event"), "{answer:?}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer:?}");
}
