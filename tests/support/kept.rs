//! A faulty target that writes an earlier answer once more on a kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time from the repeated answer to the own one.
pub const PAUSE: Duration = Duration::from_millis(20);

/// A target that gives the first answer to the first request on a connection. To each further one,
/// it writes that answer once more before the other.
pub async fn target(first: String, own: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let mut is_first = true;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut answers = match std::mem::take(&mut is_first) {
                true => [String::new(), first.clone()],
                false => [String::new(), own.clone()],
            };
            let repeated = [first.clone(), own.clone()];
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while matches!(stream.read(&mut buffer).await, Ok(n) if n > 0) {
                    for answer in std::mem::replace(&mut answers, repeated.clone()) {
                        let _ = stream.write_all(answer.as_bytes()).await;
                        sleep(PAUSE).await;
                    }
                }
            });
        }
    });
    addr
}

/// A complete answer.
pub fn answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
