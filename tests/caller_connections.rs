//! Connections of callers, with handlers of the test.

use std::future::pending;
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::routing::get;
use endivefork::caller::{Drain, serve};
use endivefork::settings::Limits;
use futures_util::stream;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const MAX_WAIT: Duration = Duration::from_secs(10);

/// After this time a draining server closes idle connections and its listener.
const LINGER: Duration = Duration::from_secs(3);

const SHORT: Duration = Duration::from_millis(300);

const LONG: Duration = Duration::from_secs(60);

struct Server {
    addr: SocketAddr,
    limits: Arc<Mutex<Limits>>,
    drain: Arc<Drain>,
    serving: JoinHandle<()>,
}

impl Server {
    async fn start(router: Router) -> Self {
        Self::start_with(router, LONG, 100).await
    }

    async fn start_with(router: Router, idle: Duration, connections: usize) -> Self {
        Self::start_until(router, idle, connections, MAX_WAIT).await
    }

    async fn start_until(
        router: Router,
        idle: Duration,
        connections: usize,
        longest: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let limits = Arc::new(Mutex::new(Limits {
            headers: 8 * 1024,
            body: 1024,
            receive: LONG,
            idle,
            connections,
        }));
        let drain = Arc::new(Drain::new(longest));
        let current = Arc::clone(&limits);
        let current = move || *current.lock();
        let serving = serve(listener, router, current, Arc::clone(&drain));
        Self {
            addr,
            limits,
            drain,
            serving: tokio::spawn(serving),
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.unwrap()
    }
}

fn fine() -> Router {
    Router::new().route("/", get(|| async { "fine" }))
}

fn head(extra: &str) -> String {
    format!("GET / HTTP/1.1\r\nHost: h\r\n{extra}\r\n")
}

/// Sends a request on a kept connection and returns its answer; empty if the connection is closed.
async fn ask(stream: &mut TcpStream, extra: &str) -> String {
    let mut bytes = vec![0; 4096];
    if stream.write_all(head(extra).as_bytes()).await.is_err() {
        return String::new();
    }
    let read = timeout(MAX_WAIT, stream.read(&mut bytes)).await;
    let n = read.expect("answered in time").unwrap_or(0);
    String::from_utf8_lossy(&bytes[..n]).into_owned()
}

/// Reads until the connection is closed.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(MAX_WAIT, stream.read_to_end(&mut bytes));
    let _ = read.await.expect("closed in time");
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn panics() -> &'static str {
    panic!("a fault of the test")
}

#[tokio::test]
async fn panic_in_a_handler_is_answered() {
    let server = Server::start(Router::new().route("/", get(panics))).await;

    let answer = ask(&mut server.connect().await, "").await;

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
    let server = Server::start(Router::new().route("/", get(body))).await;
    let mut stream = server.connect().await;
    stream.write_all(head("").as_bytes()).await.unwrap();

    let answer = read_all(&mut stream).await;

    assert!(answer.contains("event"), "{answer:?}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer:?}");
}

/// A body that has its chunks and its error ready at once.
fn broken(chunks: usize) -> Body {
    let chunks = (0..chunks).map(|_| Ok("event"));
    let error = Err(std::io::Error::other("a fault of the test"));
    Body::from_stream(stream::iter(chunks.chain([error])))
}

/// Guards against answers of which the caller saw nothing, as their error overtook their first bytes.
#[tokio::test]
async fn answer_that_breaks_off_at_once_arrives_up_to_its_error() {
    for chunks in [0, 1, 3] {
        let router = Router::new().route("/", get(move || async move { broken(chunks) }));
        let server = Server::start(router).await;
        let mut stream = server.connect().await;
        stream.write_all(head("").as_bytes()).await.unwrap();

        let answer = read_all(&mut stream).await;

        assert!(answer.starts_with("HTTP/1.1 200 "), "{chunks}: {answer:?}");
        assert_eq!(answer.matches("event").count(), chunks, "{answer:?}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer:?}");
        assert_eq!(server.drain.running(), 0);
    }
}

/// Guards against a reset that overtakes an answer which is still being sent to a slow reader.
#[tokio::test]
async fn last_answer_of_a_connection_arrives_beside_unread_bytes() {
    const SIZE: usize = 1024 * 1024;
    let body = || async { vec![b'x'; SIZE] };
    let server = Server::start(Router::new().route("/", get(body))).await;
    for extra in [1, 100_000] {
        let mut stream = server.connect().await;
        let last = head("Connection: close\r\n");
        stream.write_all(last.as_bytes()).await.unwrap();
        sleep(SHORT / 3).await;
        stream.write_all(&vec![b'x'; extra]).await.unwrap();
        sleep(SHORT).await;

        let answer = read_all(&mut stream).await;

        assert!(answer.len() > SIZE, "{extra}: {} bytes", answer.len());
    }
}

#[tokio::test]
async fn raised_idle_time_holds_for_open_connections() {
    let server = Server::start_with(fine(), SHORT, 100).await;
    let mut stream = server.connect().await;
    ask(&mut stream, "").await;

    server.limits.lock().idle = LONG;
    sleep(SHORT * 3).await;

    let answer = ask(&mut stream, "").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
}

#[tokio::test]
async fn lowered_idle_time_holds_for_open_connections() {
    let server = Server::start(fine()).await;
    let mut stream = server.connect().await;
    ask(&mut stream, "").await;

    server.limits.lock().idle = SHORT;

    let closed = timeout(Duration::from_secs(3), read_all(&mut stream)).await;
    assert_eq!(closed.expect("closed in time"), "");
}

#[tokio::test]
async fn changed_header_limit_holds_for_open_connections() {
    let server = Server::start(fine()).await;
    let mut stream = server.connect().await;
    ask(&mut stream, "").await;
    let large = format!("X-Large: {}\r\n", "x".repeat(20_000));

    server.limits.lock().headers = 64 * 1024;
    let raised = ask(&mut stream, &large).await;
    server.limits.lock().headers = 8 * 1024;
    let lowered = ask(&mut stream, &large).await;

    assert!(raised.starts_with("HTTP/1.1 200 "), "{raised:?}");
    assert!(lowered.starts_with("HTTP/1.1 431 "), "{lowered:?}");
}

#[tokio::test]
async fn slow_sender_of_a_head_is_cut_off() {
    let server = Server::start_with(fine(), SHORT, 100).await;
    let (mut reader, mut writer) = server.connect().await.into_split();
    let sending = tokio::spawn(async move {
        while writer.write_all(b"G").await.is_ok() {
            sleep(SHORT / 6).await;
        }
    });

    let closed = timeout(SHORT * 6, reader.read(&mut [0; 16])).await;

    assert!(!matches!(closed, Ok(Ok(1..)) | Err(_)), "{closed:?}");
    sending.await.unwrap();
}

/// Connections on which a request is written while the runtime is blocked, so that the server sees
/// it together with the end of a time limit.
fn write_blocked(streams: &mut [std::net::TcpStream], block: Duration) {
    for stream in streams {
        stream.write_all(head("").as_bytes()).unwrap();
    }
    std::thread::sleep(block);
}

/// Number of connections that got an answer.
async fn answered(streams: Vec<std::net::TcpStream>) -> usize {
    let mut count = 0;
    for stream in streams {
        stream.set_nonblocking(true).unwrap();
        let mut stream = TcpStream::from_std(stream).unwrap();
        let mut bytes = [0; 1024];
        let read = timeout(MAX_WAIT, stream.read(&mut bytes)).await;
        count += usize::from(matches!(read, Ok(Ok(1..))));
    }
    count
}

/// Opens kept connections that have each been used once.
async fn used(server: &Server, count: usize) -> Vec<std::net::TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        let mut stream = server.connect().await;
        ask(&mut stream, "").await;
        let stream = stream.into_std().unwrap();
        stream.set_nonblocking(false).unwrap();
        streams.push(stream);
    }
    streams
}

#[tokio::test]
async fn request_that_arrives_as_the_idle_time_ends_is_served() {
    let server = Server::start_with(fine(), SHORT, 100).await;
    let mut streams = used(&server, 16).await;
    sleep(SHORT / 2).await;

    write_blocked(&mut streams, SHORT);

    assert_eq!(answered(streams).await, 16);
}

#[tokio::test]
async fn request_on_a_kept_connection_as_the_server_stops_is_served() {
    let server = Server::start(fine()).await;
    let mut streams = used(&server, 16).await;
    server.drain.begin();
    sleep(LINGER - SHORT).await;

    write_blocked(&mut streams, SHORT * 2);

    assert_eq!(answered(streams).await, 16);
}

#[tokio::test]
async fn request_in_the_accept_queue_as_the_server_stops_is_served() {
    let mut servers = Vec::new();
    for _ in 0..8 {
        servers.push(Server::start(fine()).await);
        servers.last().unwrap().drain.begin();
    }
    sleep(LINGER - SHORT).await;
    let connect = |s: &Server| std::net::TcpStream::connect(s.addr).unwrap();
    let mut streams: Vec<_> = servers.iter().map(connect).collect();

    write_blocked(&mut streams, SHORT * 2);

    assert_eq!(answered(streams).await, 8);
}

#[tokio::test]
async fn server_stops_after_the_last_byte_of_a_slow_reader() {
    const SIZE: usize = 16 * 1024 * 1024;
    let body = || async { vec![b'x'; SIZE] };
    let server = Server::start(Router::new().route("/", get(body))).await;
    let mut stream = server.connect().await;
    stream
        .write_all(head("Connection: close\r\n").as_bytes())
        .await
        .unwrap();
    sleep(SHORT).await;
    server.drain.begin();

    sleep(LINGER + Duration::from_secs(2)).await;
    assert!(!server.serving.is_finished());

    assert!(read_all(&mut stream).await.len() > SIZE);
    timeout(MAX_WAIT, server.serving).await.unwrap().unwrap();
    assert_eq!(server.drain.running(), 0);
}

#[tokio::test]
async fn head_that_arrives_slowly_as_the_server_stops_is_served() {
    let server = Server::start(fine()).await;
    let mut streams = [server.connect().await, server.connect().await];
    ask(&mut streams[0], "").await;
    server.drain.begin();
    sleep(LINGER - SHORT).await;
    for stream in &mut streams {
        stream.write_all(&head("").as_bytes()[..9]).await.unwrap();
    }

    sleep(SHORT * 2).await;

    for stream in &mut streams {
        stream.write_all(&head("").as_bytes()[9..]).await.unwrap();
    }
    for stream in &mut streams {
        let answer = read_all(stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    }
}

#[tokio::test]
async fn idle_connections_give_way_to_new_ones() {
    let server = Server::start_with(fine(), LONG, 8).await;
    let mut kept = used(&server, 8).await;

    let asked = async { ask(&mut server.connect().await, "").await };
    let answer = timeout(Duration::from_secs(1), asked).await;

    assert!(
        answer
            .expect("accepted in time")
            .starts_with("HTTP/1.1 200 ")
    );
    kept[0].set_nonblocking(true).unwrap();
    assert_eq!(kept[0].read(&mut [0]).unwrap(), 0, "the oldest is closed");
}

/// Guards new connections against a wait for one that its caller does not close after its last answer.
#[tokio::test]
async fn idle_connections_give_way_beside_one_that_its_caller_leaves_open() {
    let server = Server::start_with(fine(), LONG, 4).await;
    let mut left_open = server.connect().await;
    ask(&mut left_open, "Connection: close\r\n").await;
    let _kept = used(&server, 3).await;
    sleep(SHORT).await;

    let asked = async { ask(&mut server.connect().await, "").await };
    let answer = timeout(Duration::from_secs(1), asked).await;

    assert!(
        answer
            .expect("accepted in time")
            .starts_with("HTTP/1.1 200 ")
    );
}

#[tokio::test]
async fn requests_that_wait_for_a_place_are_answered_before_the_end_of_a_drain() {
    let router = fine().route("/busy", get(pending::<()>));
    let server = Server::start_until(router, LONG, 1, LINGER).await;
    let mut busy = server.connect().await;
    let request = head("").replace("GET /", "GET /busy");
    busy.write_all(request.as_bytes()).await.unwrap();
    sleep(SHORT).await;
    let mut waiting = [server.connect().await, server.connect().await];
    server.drain.begin();

    for stream in &mut waiting {
        let answer = ask(stream, "").await;

        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    }
}

#[tokio::test]
async fn connection_that_waits_for_a_place_as_a_quiet_server_stops_is_answered() {
    let server = Server::start_with(fine(), LONG, 1).await;
    let mut slow = server.connect().await;
    slow.write_all(&head("").as_bytes()[..9]).await.unwrap();
    sleep(SHORT).await;
    let mut waiting = server.connect().await;
    waiting.write_all(head("").as_bytes()).await.unwrap();
    sleep(SHORT).await;
    server.drain.begin();

    let answer = read_all(&mut waiting).await;

    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
}
