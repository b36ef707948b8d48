//! One entry is cut off from the platform in the middle of an action while the others are not.

use std::net::SocketAddr;
use std::time::Duration;

use endivefork::action::{Call, Point};
use endivefork::platform::Client;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fixture::{Gate, PLATFORM_TIMEOUT, World, call, until, word};

/// A link that can be cut: nothing passes, and what was on its way stays unanswered.
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
                tokio::spawn(relay(near, target, watched.subscribe()));
            }
        });
        Self { addr, cut }
    }
}

async fn relay(mut near: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    cut.wait_for(|cut| !cut).await.ok();
    let mut far = TcpStream::connect(target).await.unwrap();
    // The cut is looked at first, so that nothing passes after it.
    tokio::select! {
        biased;
        _ = cut.wait_for(|cut| *cut) => {}
        _ = copy_bidirectional(&mut near, &mut far) => {}
    }
    // A cut connection stays open and silent at the entry's end.
    tokio::time::sleep(Duration::from_secs(30)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_from_the_platform() {
    let table = [
        // cut before, told by the cut entry, told meanwhile elsewhere, told there after it healed
        (Point::Claim, "not_run", "ok", "ok"),
        (Point::Mark, "not_run", "ok", "ok"),
        (Point::Send, "ok", "unknown", "ok"),
        (Point::Store, "ok", "unknown", "ok"),
    ];
    for (point, expected, meanwhile, healed) in table {
        let world = World::start().await;
        let link = Link::to(world.platform).await;
        let (gate, hook) = Gate::at(point);
        let client = Client::new(link.addr, PLATFORM_TIMEOUT);
        let rules = crate::fixture::rules();
        let cut_off = world.entry_with("a", rules, client, Some(hook));
        let other = world.entry("b", None);
        let long = Call {
            deadline: Duration::from_secs(6),
            ..call("k")
        };

        let first = tokio::spawn({
            let entry = cut_off.clone();
            async move { entry.run(long).await }
        });
        gate.reached().await;
        link.cut.send_replace(true);
        gate.open();
        let told = first.await.unwrap();
        let elsewhere = other.run(call("k")).await;
        link.cut.send_replace(false);
        until("leftovers settled", || async { cut_off.unsettled() == 0 }).await;
        let after = other.run(call("k")).await;

        assert_eq!(word(&told), expected, "{point:?}: {told:?}");
        assert_eq!(word(&elsewhere), meanwhile, "{point:?}: {elsewhere:?}");
        assert_eq!(word(&after), healed, "{point:?}: {after:?}");
        assert_eq!(world.runs("k").await, 1, "{point:?}");
        if let (Ok(told), Ok(after)) = (told, after) {
            assert_eq!(told, after, "{point:?}: word for word");
        }
    }
}
