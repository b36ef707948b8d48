//! Requests that are refused before their body has arrived.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::world::{LIMIT, World};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Number of requests of each kind.
const ROUNDS: usize = 10;

/// Sends a POST for `path` whose body comes in pieces, then a readiness check, over one connection.
/// Returns the first lines of the answers.
async fn send_slowly(addr: SocketAddr, path: &str) -> std::io::Result<[String; 2]> {
    const BYTES: usize = 55_000;
    let mut stream = TcpStream::connect(addr).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer none\r\n\
         Content-Length: {BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for piece in [b'x'; BYTES].chunks(2_000) {
        sleep(Duration::from_millis(2)).await;
        stream.write_all(piece).await?;
    }
    let refusal = first_line(&mut stream).await?;
    let check = b"GET /readyz HTTP/1.1\r\nHost: h.example\r\n\r\n";
    stream.write_all(check).await?;
    Ok([refusal, first_line(&mut stream).await?])
}

async fn first_line(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut text = vec![0; 4096];
    let read = timeout(LIMIT, stream.read(&mut text)).await??;
    let text = String::from_utf8_lossy(&text[..read]);
    Ok(text.lines().next().unwrap_or_default().to_owned())
}

/// Guards refusals that are sent before the body has arrived against a reset of the connection, for
/// callers and operators.
#[tokio::test]
async fn caller_that_is_still_sending_gets_its_refusal_and_keeps_its_connection() {
    let world = World::usual(0, 1, &[]).await;
    world.ready().await;
    let entry = &world.entries[0];
    let ready = "HTTP/1.1 200 OK";
    for (addr, path, refusal) in [
        (entry.caller, "/elsewhere", "HTTP/1.1 404 Not Found"),
        (entry.caller, "/v1/completions", "HTTP/1.1 401 Unauthorized"),
        (
            entry.caller,
            "/services/desk/actions/deposit",
            "HTTP/1.1 401 Unauthorized",
        ),
        (entry.admin, "/v1/moves/desk", "HTTP/1.1 401 Unauthorized"),
    ] {
        for n in 0..ROUNDS {
            let answers = send_slowly(addr, path).await;
            let answers = answers.map_err(|e| e.to_string());

            assert_eq!(
                answers,
                Ok([refusal, ready].map(String::from)),
                "{path} {n}"
            );
        }
    }
}
