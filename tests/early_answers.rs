//! Answers of targets on endivefork's own interface, and of the platform: a part of one without a
//! length, sent while the request is still being written and followed by a reset, and a status that is
//! none.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use endivefork::http::{Client, Error, Via, request};
use endivefork::target::engine::{Engine, Line, Refusal, Start};
use endivefork::target::plain::{Connection, SendError};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Size of a request that is not written at once, as it exceeds the buffers of a connection.
const LONG_BODY: usize = 12 << 20;

const PART: &str = "HTTP/1.1 200 OK\r\n\r\n{\"state\":\"done\"}\n";

const TOKENS: &str =
    "HTTP/1.1 200 OK\r\n\r\n{\"i\":0,\"t\":\"x\"}\n{\"i\":1,\"t\":\"y\"}\n{\"end\":";

const ZEROS: &str = "HTTP/1.1 000 Nothing\r\nContent-Length: 2\r\n\r\n{}";

/// Times between the answer and the reset.
const PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(1),
    Duration::from_millis(10),
    Duration::from_millis(60),
];

/// A target that answers each call once its head has arrived, and resets the connection.
async fn target(answer: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                let _ = stream.read(&mut buffer).await;
                let _ = stream.write_all(answer.as_bytes()).await;
                sleep(pause).await;
                stream.set_zero_linger().unwrap();
            });
        }
    });
    addr
}

async fn call_plain(addr: SocketAddr, body: usize) -> Result<(), SendError> {
    let connection = Connection::open(addr).await.unwrap();
    let body = Bytes::from(vec![b'x'; body]);
    let request = connection
        .request(Method::POST, "/a", &HeaderMap::new(), body)
        .unwrap();
    connection.send(request, TIMEOUT).await.map(drop)
}

async fn call_client(addr: SocketAddr, body: usize) -> Result<(), Error> {
    let url = format!("http://{addr}/a");
    let request = request(Method::POST, &url, vec![b'x'; body]);
    Client::new()
        .send(Via::Fresh, request, TIMEOUT)
        .await
        .map(drop)
}

#[tokio::test(flavor = "multi_thread")]
async fn part_of_an_early_answer_without_length_is_no_answer() {
    for pause in PAUSES {
        for body in [800, LONG_BODY] {
            let addr = target(PART, pause).await;

            let plain = call_plain(addr, body).await;
            let client = call_client(addr, body).await;

            let case = format!("{body} bytes, {pause:?}");
            assert!(
                matches!(plain, Err(SendError::Lost(_))),
                "{case}: {plain:?}"
            );
            assert!(matches!(client, Err(Error::Lost(_))), "{case}: {client:?}");
        }
    }
}

/// Starts an attempt with a prompt of `bytes` and reads its stream to the end.
async fn generate(addr: SocketAddr, bytes: usize) -> Vec<Line> {
    let prompt = "x".repeat(bytes);
    let start = Start {
        attempt: "a",
        request: "r",
        model: "m",
        version: "v1",
        prompt: &prompt,
        prefix: &[],
        max_tokens: 10,
        priority: 0,
        deadline_ms: 2_000,
    };
    let engine = Engine::new(Client::new(), addr);
    let mut lines = Vec::new();
    if let Ok(mut stream) = engine.start(&start, TIMEOUT).await {
        let mut more = Vec::new();
        while stream.read(&mut more).await {
            lines.append(&mut more);
        }
        lines.append(&mut more);
    }
    lines
}

#[tokio::test(flavor = "multi_thread")]
async fn part_of_an_early_stream_does_not_end_a_generation() {
    for pause in PAUSES {
        for bytes in [800, LONG_BODY] {
            let addr = target(TOKENS, pause).await;

            let lines = generate(addr, bytes).await;

            let has_end = lines.iter().any(|line| matches!(line, Line::End(..)));
            assert!(!has_end, "{bytes} bytes, {pause:?}: {lines:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_status_of_zeros_is_no_answer() {
    let addr = target(ZEROS, PAUSES[3]).await;

    let plain = call_plain(addr, 800).await;
    let client = call_client(addr, 800).await;
    let engine = Engine::new(Client::new(), addr);
    let resumed = engine.resume("a", 0, TIMEOUT).await.map(drop);

    assert!(matches!(plain, Err(SendError::Lost(_))), "{plain:?}");
    assert!(matches!(client, Err(Error::Lost(_))), "{client:?}");
    assert!(matches!(resumed, Err(Refusal::Lost)), "{resumed:?}");
}
