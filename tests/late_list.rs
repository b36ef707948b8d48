//! An entry instance whose first instance list comes late.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::caller::CallerRequest;
use support::world::World;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, copy};
use tokio::net::{TcpListener, TcpStream};

/// Delay of the instance list: the capacity of the services has been measured without it.
const LIST_DELAY: Duration = Duration::from_millis(700);

/// Starts a proxy of the platform that delays the instance list.
async fn proxy(platform: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(platform).await.unwrap();
            let (mut asks, mut near) = near.into_split();
            let (mut answers, mut far) = far.into_split();
            tokio::spawn(async move { copy(&mut answers, &mut near).await });
            tokio::spawn(async move {
                let mut chunk = vec![0; 16 * 1024];
                while let Ok(read @ 1..) = asks.read(&mut chunk).await {
                    if chunk.starts_with(b"GET /v1/instances") {
                        tokio::time::sleep(LIST_DELAY).await;
                    }
                    far.write_all(&chunk[..read]).await.unwrap();
                }
            });
        }
    });
    addr
}

/// Guards against a ready instance that refuses requests, as it measured its capacity too early.
#[tokio::test(flavor = "multi_thread")]
async fn ready_instance_serves_though_its_list_came_late() {
    let mut world = World::new();
    world.configure().await;
    world.engine("v1", &[]).await;
    world.platform.addr = proxy(world.platform.addr).await;
    world.entry("").await;
    world.ready().await;

    let ask = CallerRequest::completion(world.entries[0].caller, "llm", "hello", 5);
    let seen = ask.key("k").all(&world.client).await;

    assert!(seen.done, "{seen:?}");
}
