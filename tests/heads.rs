//! Answers that end inside their head or their body, at the readers of targets and of the platform.

#[path = "support/heads.rs"]
mod heads;
#[path = "../platform/tests/support/replica.rs"]
#[allow(dead_code, reason = "only the replica is used")]
mod replica;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use endivefork::http::{Client, Error, Via, request};
use endivefork::platform::{Client as Platform, Error as PlatformError, Expect};
use endivefork::target::engine::{Engine, Line, Refusal};
use endivefork::target::plain::{Connection, SendError};
use futures_util::future::join_all;
use heads::cut_answers;
use http::{HeaderMap, Method};
use replica::{Action, Replica};

const TIMEOUT: Duration = Duration::from_secs(5);

const PAUSE: Duration = Duration::from_millis(20);

/// How long a faulty server waits before it ends an answer, and how it does.
const ENDS: [(Duration, Action); 4] = [
    (Duration::ZERO, Action::Close),
    (Duration::ZERO, Action::Reset),
    (PAUSE, Action::Close),
    (PAUSE, Action::Reset),
];

/// A server that answers the first `sound` requests of a connection with `body`, and then with `cut`.
async fn server(
    body: &str,
    sound: usize,
    cut: &str,
    (pause, end): (Duration, Action),
) -> SocketAddr {
    let size = body.len();
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{body}").into_bytes();
    let cut = cut.as_bytes().to_vec();
    let server = Replica::start(move |received| match received.earlier < sound {
        true => vec![Action::Send(whole.clone())],
        false => vec![Action::Send(cut.clone()), Action::Wait(pause), end.clone()],
    });
    server.await.addr
}

/// Calls `read` at servers with each cut and end, and fails with what it took for an answer.
async fn assert_refused(
    body: &str,
    sound: usize,
    read: impl AsyncFn(SocketAddr) -> Result<(), String>,
) {
    let cuts = cut_answers("", body);
    let cases = cuts.iter().flat_map(|cut| ENDS.map(|end| (cut, end)));
    let calls = cases.map(async |(cut, end)| {
        let addr = server(body, sound, cut, end.clone()).await;
        let seen = read(addr).await.err()?;
        Some(format!("{end:?} {cut:?}\n    -> {seen}"))
    });
    let defects: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
    assert!(defects.is_empty(), "{}", defects.join("\n"));
}

/// An error that leaves open whether the request was run.
fn is_open<T: std::fmt::Debug>(result: Result<T, Error>) -> Result<(), String> {
    match result {
        Err(Error::Lost(_)) => Ok(()),
        other => Err(format!("{other:?}")),
    }
}

#[tokio::test]
async fn cut_answer_of_a_plain_service_is_lost() {
    assert_refused("fine", 0, async |addr| {
        let connection = Connection::open(addr).await.unwrap();
        let request = connection.request(Method::POST, "/", &HeaderMap::new(), Bytes::new());
        match connection.send(request.unwrap(), TIMEOUT).await {
            Err(SendError::Lost(_)) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    })
    .await;
}

#[tokio::test]
async fn cut_answer_on_a_fresh_or_a_kept_connection_is_lost() {
    let get = |addr| request(Method::GET, &format!("http://{addr}/"), "");
    assert_refused("fine", 0, async |addr| {
        is_open(Client::new().send(Via::Fresh, get(addr), TIMEOUT).await)
    })
    .await;
    assert_refused("fine", 1, async |addr| {
        let client = Client::new();
        client.send(Via::Pool, get(addr), TIMEOUT).await.unwrap();
        tokio::time::sleep(PAUSE).await;
        is_open(client.send(Via::Pool, get(addr), TIMEOUT).await)
    })
    .await;
}

#[tokio::test]
async fn cut_answer_of_an_engine_is_no_whole_stream() {
    const BODY: &str = "{\"next\":0}\n{\"i\":0,\"t\":\"x\"}\n{\"end\":\"stop\",\"n\":1}\n";
    assert_refused(BODY, 0, async |addr| {
        let engine = Engine::new(Client::new(), addr);
        let Ok(mut stream) = engine.resume("a", 0, TIMEOUT).await else {
            return Ok(());
        };
        let mut lines = Vec::new();
        loop {
            let mut more = Vec::new();
            let is_open = stream.read(&mut more).await;
            lines.append(&mut more);
            match lines.last() {
                // The last line ends a stream, whatever follows it.
                Some(Line::End(..)) if lines.len() == 3 => return Ok(()),
                Some(Line::End(..)) => return Err(format!("{lines:?}")),
                _ if !is_open => return Ok(()),
                _ => {}
            }
        }
    })
    .await;
    assert_refused(r#"{"state":"running","next":3}"#, 0, async |addr| {
        let engine = Engine::new(Client::new(), addr);
        match engine.position("a", TIMEOUT).await {
            Err(Refusal::Lost) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    })
    .await;
}

/// A cut answer says neither that a write was applied nor that it was not.
#[tokio::test]
async fn cut_answer_of_the_platform_is_unknown() {
    const LIST: &str = r#"{"rev":3,"items":[{"kind":"k","name":"a","rev":3,"value":1}]}"#;
    const CHANGES: &str = r#"{"rev":4,"events":[{"kind":"k","name":"a","rev":4,"value":2}]}"#;
    const OBJECT: &str = r#"{"kind":"k","name":"a","rev":3,"value":1}"#;
    const INSTANCES: &str = r#"{"rev":3,"items":[]}"#;
    fn unknown<T: std::fmt::Debug>(result: Result<T, PlatformError>) -> Result<(), String> {
        match result {
            Err(PlatformError::Unknown(_)) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    }
    for sound in [0, 1] {
        let client = async |addr| {
            let client = Platform::new(addr, TIMEOUT);
            for _ in 0..sound {
                // Another call's answer can't be decoded, but its connection is kept.
                let _ = client.page("k", "", "", 1).await;
                tokio::time::sleep(PAUSE).await;
            }
            client
        };
        assert_refused(LIST, sound, async |addr| {
            unknown(client(addr).await.list("k", "").await)
        })
        .await;
        assert_refused(CHANGES, sound, async |addr| {
            unknown(client(addr).await.watch("k", 3, PAUSE).await)
        })
        .await;
        assert_refused(OBJECT, sound, async |addr| {
            unknown(client(addr).await.get("k", "a").await)
        })
        .await;
        assert_refused(INSTANCES, sound, async |addr| {
            unknown(client(addr).await.instances().await)
        })
        .await;
        assert_refused(OBJECT, sound, async |addr| {
            unknown(client(addr).await.put("k", "a", &1, Expect::Rev(2)).await)
        })
        .await;
        assert_refused(OBJECT, sound, async |addr| {
            unknown(client(addr).await.delete("k", "a", 2).await)
        })
        .await;
    }
}
