//! Requests over HTTP/2 whose body ends inside.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::Reason;
use http::Request;
use support::world::World;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How a caller ends a request inside its body.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Reset(Reason),
    Closed,
}

const CUTS: [Cut; 4] = [
    Cut::Reset(Reason::NO_ERROR),
    Cut::Reset(Reason::CANCEL),
    Cut::Reset(Reason::INTERNAL_ERROR),
    Cut::Closed,
];

/// Sends half of a request with the idempotency key `key`, and cuts it.
async fn send_half(addr: SocketAddr, key: &str, cut: Cut) {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let request = Request::post(format!("http://{addr}/services/desk/actions/deposit"))
        .header("authorization", "Bearer key-one")
        .header("idempotency-key", key)
        .body(())
        .unwrap();
    let mut sender = sender.ready().await.unwrap();
    let (_response, mut body) = sender.send_request(request, false).unwrap();
    body.send_data(Bytes::from_static(b"{\"amount\":1"), false)
        .unwrap();
    sleep(Duration::from_millis(100)).await;
    match cut {
        Cut::Reset(reason) => body.send_reset(reason),
        Cut::Closed => driver.abort(),
    }
    sleep(Duration::from_millis(400)).await;
}

#[tokio::test]
async fn request_that_is_cut_inside_its_body_is_not_run() {
    let world = World::usual(0, 1, &[]).await;
    for (n, cut) in CUTS.into_iter().enumerate() {
        send_half(world.entries[0].caller, &format!("k{n}"), cut).await;

        let log = world.read(world.plains[0].addr, "/control/log").await;
        let runs = &log["keys"][format!("one:k{n}")];
        assert!(runs.is_null(), "{cut:?}: {runs}");
    }
}
