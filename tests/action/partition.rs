//! One entry is partitioned from the platform during an action while the others are not.

use std::net::SocketAddr;
use std::time::Duration;

use endivefork::action::{Call, Point};
use endivefork::platform::Client;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fixture::{Gate, PLATFORM_TIMEOUT, World, call, label, until};

/// A proxy that can be cut: after that it forwards nothing and leaves pending requests unanswered.
struct Link {
    addr: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Link {
    async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let cut = watch::Sender::new(false);
        let watched = cut.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(forward(near, target, watched.subscribe()));
            }
        });
        Self { addr, cut }
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    cut.wait_for(|cut| !cut).await.ok();
    let mut far = TcpStream::connect(target).await.unwrap();
    // The cut is checked first, so that nothing is forwarded after it.
    tokio::select! {
        biased;
        _ = cut.wait_for(|cut| *cut) => {}
        _ = copy_bidirectional(&mut near, &mut far) => {}
    }
    // A cut connection stays open, without data, on the entry's side.
    tokio::time::sleep(Duration::from_secs(30)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_from_platform() {
    let table = [
        // cut before, result at the partitioned entry, at another entry, and there after it healed
        (Point::Claim, "not_run", "ok", "ok"),
        (Point::Mark, "not_run", "ok", "ok"),
        (Point::Send, "ok", "unknown", "ok"),
        (Point::Store, "ok", "unknown", "ok"),
    ];
    for (point, expected, expected_elsewhere, expected_after) in table {
        let world = World::start().await;
        let link = Link::to(world.platform).await;
        let (gate, hook) = Gate::at(point);
        let client = Client::new(link.addr, PLATFORM_TIMEOUT);
        let limits = crate::fixture::limits();
        let partitioned = world.entry_with("a", limits, client, Some(hook));
        let other = world.entry("b", None);
        let long = Call {
            deadline: Duration::from_secs(6),
            ..call("k")
        };

        let first = tokio::spawn({
            let entry = partitioned.clone();
            async move { entry.run(long).await }
        });
        gate.reached().await;
        link.cut.send_replace(true);
        gate.open();
        let result = first.await.unwrap();
        let elsewhere = other.run(call("k")).await;
        link.cut.send_replace(false);
        until("deferred writes are complete", || async {
            partitioned.pending() == 0
        })
        .await;
        let after = other.run(call("k")).await;

        assert_eq!(label(&result), expected, "{point:?}: {result:?}");
        assert_eq!(
            label(&elsewhere),
            expected_elsewhere,
            "{point:?}: {elsewhere:?}"
        );
        assert_eq!(label(&after), expected_after, "{point:?}: {after:?}");
        assert_eq!(world.runs("k").await, 1, "{point:?}");
        if let (Ok(result), Ok(after)) = (result, after) {
            assert_eq!(result, after, "{point:?}: identical outcome");
        }
    }
}
