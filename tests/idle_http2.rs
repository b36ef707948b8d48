//! HTTP/2 connections of callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Body;
use axum::routing::get;
use bytes::Bytes;
use endivefork::caller::{Drain, serve};
use endivefork::settings::Limits;
use futures_util::{StreamExt as _, stream};
use http_body_util::{BodyExt as _, Empty};
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const LONG: Duration = Duration::from_secs(60);

const CONNECTIONS: usize = 4;

async fn ask(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4096];
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        .await
        .unwrap();
    let n = stream.read(&mut bytes).await.unwrap_or(0);
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

async fn start(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = Limits {
        headers: 8 * 1024,
        body: 1024,
        receive: LONG,
        idle: LONG,
        connections: CONNECTIONS,
    };
    let drain = Arc::new(Drain::new(LONG));
    tokio::spawn(serve(listener, router, move || limits, drain));
    addr
}

async fn connect(addr: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    sender
}

fn get_root(addr: SocketAddr) -> http::Request<Empty<Bytes>> {
    let request = http::Request::get(format!("http://{addr}/"));
    request.body(Empty::new()).unwrap()
}

/// Guards against answers of which the caller saw nothing, as their reset overtook their first bytes.
#[tokio::test]
async fn answer_that_breaks_off_at_once_arrives_up_to_its_reset() {
    let body = || async {
        let error = Err(std::io::Error::other("a fault of the test"));
        Body::from_stream(stream::iter([Ok("event"), error]))
    };
    let addr = start(Router::new().route("/", get(body))).await;
    let mut sender = connect(addr).await;

    let answer = sender.send_request(get_root(addr)).await.unwrap();
    let mut body = answer.into_body();
    let first = body.frame().await.unwrap();

    assert_eq!(first.unwrap().into_data().unwrap(), "event");
    assert!(body.frame().await.unwrap().is_err());
}

/// Guards resets against a wait for bytes that were sent long before.
#[tokio::test]
async fn reset_of_a_stream_that_breaks_off_later_is_sent_at_once() {
    const PAUSE: Duration = Duration::from_millis(100);
    const TRIES: usize = 5;
    let body = || async {
        let error = stream::once(async {
            sleep(PAUSE).await;
            Err(std::io::Error::other("a fault of the test"))
        });
        Body::from_stream(stream::iter([Ok("event")]).chain(error))
    };
    let addr = start(Router::new().route("/", get(body))).await;
    let mut sender = connect(addr).await;
    let mut waits = Vec::new();

    for _ in 0..TRIES {
        let answer = sender.send_request(get_root(addr)).await.unwrap();
        let mut body = answer.into_body();
        assert!(body.frame().await.unwrap().is_ok());
        let begun = Instant::now();
        assert!(body.frame().await.unwrap().is_err());
        waits.push(begun.elapsed());
    }

    // A busy machine delays some of them.
    let least = waits.iter().min().unwrap();
    assert!(*least < 2 * PAUSE, "{waits:?}");
}

#[tokio::test]
async fn idle_http1_connection_gives_way_beside_an_older_http2_one() {
    let addr = start(Router::new().route("/", get(|| async { "fine" }))).await;
    let mut sender = connect(addr).await;
    // The settings are acknowledged before the second request.
    for _ in 0..2 {
        let answer = sender.send_request(get_root(addr)).await.unwrap();
        assert_eq!(answer.status(), 200);
        sleep(Duration::from_millis(50)).await;
    }
    let mut kept = Vec::new();
    for _ in 1..CONNECTIONS {
        kept.push(TcpStream::connect(addr).await.unwrap());
        ask(kept.last_mut().unwrap()).await;
    }
    sleep(Duration::from_millis(200)).await;

    let mut stream = TcpStream::connect(addr).await.unwrap();
    let answer = timeout(Duration::from_secs(2), ask(&mut stream)).await;

    let answer = answer.expect("accepted in time");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
}
