//! Discovery, authentication, heartbeats and calls between instances, and rejection of invalid
//! messages.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use endivefork::peer::{
    CallError, Evidence, Gossip, Heartbeat, Layout, MAX_FRAME, Member, Members, Options, PeerKey,
    Peers, Reach, Tag,
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between heartbeats in these tests.
const PERIOD: Duration = Duration::from_millis(50);

/// Timeout for conditions and calls.
const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Query {
    text: String,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Reply {
    from: String,
    text: String,
}

fn member(name: &str, addr: SocketAddr) -> Member {
    Member {
        name: name.into(),
        addr,
        domain: "a".into(),
        region: "r".into(),
        capacity: 0,
    }
}

async fn instance(name: &str, key: &str, seeds: Vec<SocketAddr>) -> Peers {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    instance_behind(listener, addr, name, key, seeds)
}

/// Starts an instance that advertises `addr` as its address.
fn instance_behind(
    listener: TcpListener,
    addr: SocketAddr,
    name: &str,
    key: &str,
    seeds: Vec<SocketAddr>,
) -> Peers {
    let me = member(name, addr);
    let opts = Options {
        me,
        key: PeerKey::new(key),
        period: PERIOD,
        seeds,
        layout: Layout::Mesh,
    };
    let peers = Peers::start(listener, opts);
    peers.on(Tag::Config, |from, query: Query| async move {
        Reply {
            from: from.to_string(),
            text: query.text,
        }
    });
    peers
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Forwards connections to the address sent on the first channel. A change on the second one stops
/// forwarding on all open connections without closing them.
async fn forwarder() -> (
    SocketAddr,
    watch::Sender<Option<SocketAddr>>,
    watch::Sender<u32>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let to = watch::Sender::new(None);
    let silent = watch::Sender::new(0);
    let (target, silenced) = (to.subscribe(), silent.subscribe());
    tokio::spawn(async move {
        while let Ok((mut inbound, _)) = listener.accept().await {
            let Some(to) = *target.borrow() else { continue };
            let mut silenced = silenced.clone();
            silenced.mark_unchanged();
            tokio::spawn(async move {
                let mut outbound = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound) => {}
                    _ = silenced.changed() => std::future::pending().await,
                }
            });
        }
    });
    (addr, to, silent)
}

/// Forwards one direction of a connection, each piece after a delay.
async fn copy_late(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        tokio::time::sleep(delay).await;
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

/// Forwards connections to the address sent on the channel, each piece after a delay.
async fn late_forwarder(delay: Duration) -> (SocketAddr, watch::Sender<Option<SocketAddr>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let to = watch::Sender::new(None);
    let target = to.subscribe();
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let Some(to) = *target.borrow() else { continue };
            let outbound = TcpStream::connect(to).await.unwrap();
            let ((in_read, in_write), (out_read, out_write)) =
                (inbound.into_split(), outbound.into_split());
            tokio::spawn(copy_late(in_read, out_write, delay));
            tokio::spawn(copy_late(out_read, in_write, delay));
        }
    });
    (addr, to)
}

async fn open(
    addr: SocketAddr,
    path: &str,
    version: &str,
) -> (h2::client::ResponseFuture, h2::SendStream<Bytes>) {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post(format!("http://peer{path}"))
        .header("x-protocol", version)
        .body(())
        .unwrap();
    let mut sender = sender.ready().await.unwrap();
    sender.send_request(request, false).unwrap()
}

async fn raw(addr: SocketAddr, path: &str, version: &str, body: Bytes) -> StatusCode {
    let (response, mut stream) = open(addr, path, version).await;
    stream.send_data(body, true).unwrap();
    response.await.unwrap().status()
}

#[tokio::test]
async fn instances_discover_each_other_through_a_seed() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    let c = instance("c", "key", vec![a.me().addr]).await;

    for peers in [&a, &b, &c] {
        until("all alive", || peers.alive().len() == 2).await;
    }
}

#[tokio::test]
async fn a_call_is_answered_and_carries_the_senders_name() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    until("b knows a", || b.alive().len() == 1).await;

    let query = Query { text: "hi".into() };
    let reply: Reply = b.call("a", Tag::Config, &query, TIMEOUT).await.unwrap();
    let unhandled: Result<Reply, _> = b.call("a", Tag::Usage, &query, TIMEOUT).await;
    let unknown: Result<Reply, _> = b.call("z", Tag::Config, &query, TIMEOUT).await;

    assert_eq!(reply.from, "b");
    assert_eq!(reply.text, "hi");
    assert_eq!(unhandled, Err(CallError::Malformed));
    assert_eq!(unknown, Err(CallError::Unknown));
}

#[tokio::test]
async fn a_wrong_key_is_rejected_by_both_sides() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "other", vec![]).await;
    b.list(&[a.me().clone()]);

    until("a fails authentication", || {
        b.reach("a") == Reach::Unauthenticated
    })
    .await;

    assert!(a.alive().is_empty());
}

#[tokio::test]
async fn an_unauthenticated_call_is_rejected_and_counted() {
    let a = instance("a", "key", vec![]).await;

    let status = raw(a.me().addr, "/m/4", "11", Bytes::from_static(b"x")).await;

    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert_eq!(a.counts().unauthenticated, 1);
}

#[tokio::test]
async fn other_protocol_versions_get_upgrade_required() {
    let a = instance("a", "key", vec![]).await;

    for version in ["10", "12", "none"] {
        let status = raw(a.me().addr, "/hello", version, Bytes::new()).await;
        assert_eq!(status, StatusCode::UPGRADE_REQUIRED, "version {version}");
    }

    assert_eq!(a.counts().foreign, 3);
}

#[tokio::test]
async fn malformed_and_oversized_hellos_are_rejected_and_counted() {
    let a = instance("a", "key", vec![]).await;
    let large = Bytes::from(vec![0; MAX_FRAME + 1]);

    let malformed = raw(a.me().addr, "/hello", "11", Bytes::from_static(&[255; 40])).await;
    let oversized = raw(a.me().addr, "/hello", "11", large).await;

    assert_eq!(malformed, StatusCode::BAD_REQUEST);
    assert_eq!(oversized, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(a.counts().malformed, 2);
}

/// A peer whose answers to all calls are cut inside, by the end of the stream or by a reset.
async fn cutting_peer(reason: Option<h2::Reason>) -> (SocketAddr, watch::Receiver<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (calls, count) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = h2::server::handshake(stream).await.unwrap();
            let calls = calls.clone();
            tokio::spawn(async move {
                while let Some(Ok((_, mut respond))) = connection.accept().await {
                    let mut body = respond
                        .send_response(http::Response::new(()), false)
                        .unwrap();
                    // The half of a challenge and a proof.
                    let half = Bytes::from_static(&[1; 32]);
                    body.send_data(half, reason.is_none()).unwrap();
                    reason.into_iter().for_each(|r| body.send_reset(r));
                    calls.send_modify(|n| *n += 1);
                }
            });
        }
    });
    (addr, count)
}

#[tokio::test]
async fn message_that_is_cut_inside_is_not_taken_for_whole() {
    for reason in [h2::Reason::NO_ERROR, h2::Reason::CANCEL] {
        let a = instance("a", "key", vec![]).await;
        let (_response, mut body) = open(a.me().addr, "/hello", "11").await;
        body.send_data(Bytes::from_static(&[1; 20]), false).unwrap();
        tokio::time::sleep(PERIOD).await;
        body.send_reset(reason);
        until("the cut call is counted", || a.counts().malformed == 1).await;
    }
    for reason in [None, Some(h2::Reason::NO_ERROR), Some(h2::Reason::CANCEL)] {
        let (addr, mut calls) = cutting_peer(reason).await;
        let a = instance("a", "key", vec![addr]).await;

        calls.wait_for(|calls| *calls >= 3).await.unwrap();

        assert!(a.alive().is_empty(), "{reason:?}");
    }
}

#[tokio::test]
async fn a_malformed_message_from_a_peer_is_counted() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    until("b knows a", || b.alive().len() == 1).await;

    let answer: Result<Reply, _> = b.call("a", Tag::Config, &u64::MAX, TIMEOUT).await;

    assert_eq!(answer, Err(CallError::Malformed));
    assert_eq!(a.counts().malformed, 1);
}

#[tokio::test]
async fn a_stopped_process_is_dead_and_an_unresponsive_one_silent() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let c = member("c", unresponsive.local_addr().unwrap());
    a.list(&[c]);
    until("a knows b", || a.reach("b") == Reach::Alive).await;

    b.close();

    until("b is dead", || a.reach("b") == Reach::Dead).await;
    until("c is silent", || a.reach("c") == Reach::Silent).await;
}

#[tokio::test]
async fn a_stalled_connection_is_replaced_after_a_timeout() {
    let (behind, to, silent) = forwarder().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    to.send_replace(Some(listener.local_addr().unwrap()));
    let b = instance_behind(listener, behind, "b", "key", vec![]);
    let a = instance("a", "key", vec![behind]).await;
    until("a knows b", || a.alive().len() == 1).await;
    let query = Query { text: "hi".into() };
    let reply: Reply = a.call("b", Tag::Config, &query, TIMEOUT).await.unwrap();

    silent.send_modify(|n| *n += 1);
    let begun = Instant::now();
    let limit = Duration::from_millis(100);
    let lost: Result<Reply, _> = a.call("b", Tag::Config, &query, limit).await;
    let again: Result<Reply, _> = a.call("b", Tag::Config, &query, limit).await;

    assert_eq!(reply.from, "a");
    assert_eq!(lost, Err(CallError::Lost));
    assert_eq!(again.unwrap().text, "hi");
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(a.reach("b"), Reach::Alive);
    drop(b);
}

/// Guards against an instance that takes itself for alone behind a slow path: each of its calls gave up
/// the handshake, and the next one began it anew.
#[tokio::test]
async fn connection_whose_handshake_outlasts_each_call_is_opened() {
    let (behind, to) = late_forwarder(Duration::from_millis(150)).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    to.send_replace(Some(listener.local_addr().unwrap()));
    let b = instance_behind(listener, behind, "b", "key", vec![]);
    let a = instance("a", "key", vec![behind]).await;

    until("a knows b", || a.alive().len() == 1).await;
    let query = Query { text: "hi".into() };
    let limit = Duration::from_millis(500);
    let reply: Result<Reply, _> = a.call("b", Tag::Config, &query, limit).await;

    assert_eq!(reply.map(|reply| reply.text), Ok("hi".into()));
    drop(b);
}

#[tokio::test]
async fn a_leaving_peer_is_not_alive() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    until("a knows b", || a.alive().len() == 1).await;

    b.leave();

    until("b has left", || a.alive().is_empty()).await;
    assert_eq!(a.reach("b"), Reach::Alive);
}

#[test]
fn a_domain_is_partitioned_when_none_of_its_instances_answers() {
    let now = Instant::now();
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut members = Members::new("me".into(), PERIOD);
    let (b, c) = (member("b", addr), member("c", addr));
    members.apply_list(&[b.clone(), c.clone()], now);
    let beat = |from: Member| Heartbeat {
        from,
        incarnation: 1,
        leaving: false,
        wants_members: false,
        others: vec![],
    };
    members.receive(&beat(b), now);
    members.receive(&beat(c), now);

    members.record("b", Evidence::TimedOut, now + PERIOD);
    let early = members.reach("b");
    members.record("b", Evidence::TimedOut, now + 4 * PERIOD);
    let one = members.is_partitioned("a");
    members.record("c", Evidence::TimedOut, now + 4 * PERIOD);

    assert_eq!(early, Reach::Alive, "one missed heartbeat is no evidence");
    assert!(!one);
    assert!(members.is_partitioned("a"));
}

#[test]
fn an_instance_does_not_add_itself_from_gossip() {
    let now = Instant::now();
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let (me, other) = (member("me", at(1)), member("b", at(2)));
    let mut members = Members::new("me".into(), PERIOD);

    let gossip = Gossip {
        member: me.clone(),
        reach: Reach::Alive,
    };
    members.receive(
        &Heartbeat {
            from: other,
            incarnation: 1,
            leaving: false,
            wants_members: false,
            others: vec![gossip],
        },
        now,
    );

    assert_eq!(members.reach("me"), Reach::Unknown);
    assert!(
        !members.has_uncontacted(&me.domain),
        "it would wait for a heartbeat from itself"
    );
}

/// Guards against an instance that takes the fleet for known because it has heard nothing.
#[test]
fn introduced_instance_is_met_once_it_was_heard_or_its_process_is_gone() {
    let now = Instant::now();
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let [heard, gone, silent] = [member("a", at(1)), member("b", at(2)), member("c", at(3))];
    let mut members = Members::new("me".into(), PERIOD);

    let contacted = members.introduce(&[heard.clone(), gone, silent, member("me", at(4))], now);
    let beat = Heartbeat {
        from: heard,
        incarnation: 7,
        leaving: false,
        wants_members: false,
        others: vec![],
    };
    members.receive(&beat, now);
    members.record("b", Evidence::Refused, now);
    members.record("c", Evidence::TimedOut, now + 10 * PERIOD);

    assert_eq!(contacted.len(), 3);
    assert_eq!(
        ["a", "b", "c"].map(|name| members.has_met(name)),
        [true, true, false]
    );
    let processes: Vec<_> = members.processes().collect();
    assert_eq!(processes, [(&"a".into(), 7)]);
    members.forget("a");
    members.forget("c");
    assert_eq!(members.all().count(), 2);
}

#[test]
fn gossip_covers_all_members_in_batches_of_bounded_size() {
    let now = Instant::now();
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut members = Members::new("me".into(), PERIOD);
    for n in 0..100 {
        let from = member(&format!("i{n}"), at(n));
        let beat = Heartbeat {
            from,
            incarnation: 1,
            leaving: false,
            wants_members: false,
            others: vec![],
        };
        members.receive(&beat, now);
    }

    let batches: Vec<_> = (0..13).map(|_| members.gossip_batch(8, now)).collect();

    assert!(batches.iter().all(|t| t.len() <= 8));
    let gossiped: std::collections::HashSet<_> =
        batches.iter().flatten().map(|g| &g.member.name).collect();
    assert_eq!(gossiped.len(), 100);
    let later = members.gossip_batch(8, now + 6 * PERIOD);
    assert!(
        later.is_empty(),
        "gossip goes on though no member was added"
    );
}

#[test]
fn a_new_instance_learns_a_settled_fleet_within_five_heartbeats() {
    let begin = Instant::now();
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let all: Vec<_> = (0..80).map(|n| member(&format!("i{n}"), at(n))).collect();
    let beat = |from: &Member, others| Heartbeat {
        from: from.clone(),
        incarnation: 1,
        leaving: false,
        wants_members: false,
        others,
    };
    let settled = |me: &Member| {
        let mut members = Members::new(me.name.clone(), PERIOD);
        let others = all[..79].iter().filter(|m| m.name != me.name);
        others.for_each(|m| members.receive(&beat(m, vec![]), begin));
        members
    };
    let mut fleet: Vec<_> = all[..79].iter().map(settled).collect();
    let new = &all[79];
    let mut newcomer = Members::new(new.name.clone(), PERIOD);
    newcomer.apply_list(&all[..1], begin);

    let begin = begin + 100 * PERIOD;
    for round in 0..5 {
        let now = begin + PERIOD * round;
        let known: Vec<_> = newcomer.all().cloned().collect();
        for peer in known {
            let n = all.iter().position(|m| m.name == peer.name).unwrap();
            let gossiped = newcomer.gossip_batch(8, now);
            fleet[n].receive(&beat(new, gossiped), now);
            let answered = fleet[n].gossip_batch(8, now);
            newcomer.receive(&beat(&peer, answered), now);
        }
    }

    assert_eq!(newcomer.alive().count(), 79);
}

#[tokio::test]
async fn heartbeats_to_other_domains_of_a_large_fleet_alternate() {
    // Arrange
    let now = Instant::now();
    let mut members = Members::new("me".into(), Duration::from_secs(1));
    let member = |n: u16| Member {
        name: format!("i{n}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], n + 1)),
        domain: if n < 10 { "near".into() } else { "far".into() },
        region: "r".into(),
        capacity: 0,
    };
    for n in 0..50 {
        let beat = Heartbeat {
            from: member(n),
            incarnation: 1,
            leaving: false,
            wants_members: false,
            others: Vec::new(),
        };
        members.receive(&beat, now);
    }
    members.record("i20", Evidence::Refused, now);

    // Act
    let rounds = (0..4).map(|round| {
        let due = members.due("near", round);
        due.map(|m| m.name.clone()).collect::<Vec<_>>()
    });
    let rounds: Vec<_> = rounds.collect();

    // Assert
    for due in &rounds {
        let near = due.iter().filter(|name| name.len() == 2).count();
        assert_eq!(near, 10);
        assert!(
            due.contains(&"i20".into()),
            "the dead instance gets no heartbeat in this round"
        );
        assert!(due.len() <= 10 + 1 + 10, "{due:?}");
    }
    for n in 0..50 {
        let name = member(n).name;
        assert!(rounds.iter().any(|due| due.contains(&name)), "{name}");
    }
}
