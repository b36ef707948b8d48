use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::ident::TargetKey;
use crate::relay::connections::{ConnectionPool, get_request};
use crate::relay::tests::heads::cut_answers;

/// Number of times that a connection is released while another one is acquired.
const ROUNDS: usize = 4_000;

const BODY: &str = r#"{"handle":"h"}"#;

/// A target that sends `answer`, and then closes or resets the connection.
async fn target(answer: String, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 1024];
        let _ = stream.read(&mut buffer).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(30)).await;
        if reset {
            stream.set_zero_linger().unwrap();
        }
    });
    addr
}

/// Guards reports, health checks and copies against answers that a reset has cut.
#[tokio::test]
async fn own_request_has_an_answer_only_if_its_connection_is_closed_cleanly() {
    let unframed = format!("HTTP/1.1 200 OK\r\n\r\n{BODY}");
    let mut cases = vec![(unframed.clone(), false, true), (unframed, true, false)];
    let cuts = cut_answers("", BODY).into_iter();
    cases.extend(cuts.flat_map(|cut| [(cut.clone(), false, false), (cut, true, false)]));
    for (text, reset, is_answered) in cases {
        let addr = target(text.clone(), reset).await;
        let request = get_request(addr, "/report").unwrap();

        let answer = ConnectionPool::default()
            .request(TargetKey(0), addr, request)
            .await;

        assert_eq!(answer.is_some(), is_answered, "reset: {reset}, {text:?}");
    }
}

/// A target that accepts connections and sends nothing.
async fn silent_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move { stream.read_u8().await });
        }
    });
    addr
}

/// Guards a call that may not repeat against a connection that is released at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn new_connection_is_never_one_that_was_just_released() {
    let (key, addr) = (TargetKey(0), silent_target().await);
    let pool = Arc::new(ConnectionPool::default());
    for round in 0..ROUNDS {
        let kept = pool
            .acquire(key, addr, Some(&round.to_string()))
            .await
            .unwrap();
        let start = Arc::new(Barrier::new(2));
        let releasing = {
            let (pool, start) = (Arc::clone(&pool), Arc::clone(&start));
            tokio::task::spawn_blocking(move || {
                start.wait();
                pool.release(key, kept, &round.to_string(), None);
            })
        };
        let acquiring = {
            let pool = Arc::clone(&pool);
            tokio::task::spawn_blocking(move || {
                start.wait();
                tokio::runtime::Handle::current().block_on(pool.acquire(key, addr, None))
            })
        };

        releasing.await.unwrap();
        let acquired = acquiring.await.unwrap().unwrap();

        assert!(!acquired.is_reused(), "reused in round {round}");
    }
}
