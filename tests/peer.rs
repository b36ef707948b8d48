//! Instances find, prove and hear each other, and refuse what is not a proper message.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use endivefork::peer::{
    CallError, Evidence, Gossip, Heartbeat, Layout, MAX_FRAME, Member, Members, Options, PeerKey,
    Peers, Reach, Tag,
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between heartbeats in these tests.
const PERIOD: Duration = Duration::from_millis(50);

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Ask {
    text: String,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Told {
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

/// An instance that tells others to reach it at `addr`.
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
    peers.on(Tag::Config, |from, ask: Ask| async move {
        Told {
            from: from.to_string(),
            text: ask.text,
        }
    });
    peers
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Forwards connections to `to`. Raising the number silences every connection open by then.
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
        while let Ok((mut near, _)) = listener.accept().await {
            let Some(to) = *target.borrow() else { continue };
            let mut silenced = silenced.clone();
            silenced.mark_unchanged();
            tokio::spawn(async move {
                let mut far = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    _ = silenced.changed() => std::future::pending().await,
                }
            });
        }
    });
    (addr, to, silent)
}

async fn raw(addr: SocketAddr, path: &str, version: &str, body: Bytes) -> StatusCode {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post(format!("http://peer{path}"))
        .header("x-protocol", version)
        .body(())
        .unwrap();
    let mut sender = sender.ready().await.unwrap();
    let (response, mut stream) = sender.send_request(request, false).unwrap();
    stream.send_data(body, true).unwrap();
    response.await.unwrap().status()
}

#[tokio::test]
async fn a_seed_leads_to_everyone() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    let c = instance("c", "key", vec![a.me().addr]).await;

    for peers in [&a, &b, &c] {
        until("all alive", || peers.alive().len() == 2).await;
    }
}

#[tokio::test]
async fn a_call_is_answered_and_knows_its_sender() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    until("b knows a", || b.alive().len() == 1).await;

    let ask = Ask { text: "hi".into() };
    let told: Told = b.call("a", Tag::Config, &ask, PATIENCE).await.unwrap();
    let unheard: Result<Told, _> = b.call("a", Tag::Usage, &ask, PATIENCE).await;
    let unknown: Result<Told, _> = b.call("z", Tag::Config, &ask, PATIENCE).await;

    assert_eq!(told.from, "b");
    assert_eq!(told.text, "hi");
    assert_eq!(unheard, Err(CallError::Malformed));
    assert_eq!(unknown, Err(CallError::Unknown));
}

#[tokio::test]
async fn another_key_is_refused_by_both_sides() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "other", vec![]).await;
    b.list(&[a.me().clone()]);

    until("b sees a stranger", || b.reach("a") == Reach::Stranger).await;

    assert!(a.alive().is_empty());
}

#[tokio::test]
async fn a_call_without_a_proof_is_refused_and_counted() {
    let a = instance("a", "key", vec![]).await;

    let status = raw(a.me().addr, "/m/4", "2", Bytes::from_static(b"x")).await;

    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert_eq!(a.counts().strangers, 1);
}

#[tokio::test]
async fn other_versions_are_told_so() {
    let a = instance("a", "key", vec![]).await;

    for version in ["1", "3", "none"] {
        let status = raw(a.me().addr, "/hello", version, Bytes::new()).await;
        assert_eq!(status, StatusCode::UPGRADE_REQUIRED, "version {version}");
    }

    assert_eq!(a.counts().foreign, 3);
}

#[tokio::test]
async fn malformed_and_oversized_hellos_are_refused_and_counted() {
    let a = instance("a", "key", vec![]).await;
    let large = Bytes::from(vec![0; MAX_FRAME + 1]);

    let malformed = raw(a.me().addr, "/hello", "2", Bytes::from_static(&[255; 40])).await;
    let oversized = raw(a.me().addr, "/hello", "2", large).await;

    assert_eq!(malformed, StatusCode::BAD_REQUEST);
    assert_eq!(oversized, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(a.counts().malformed, 2);
}

#[tokio::test]
async fn a_malformed_message_of_a_peer_is_counted() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    until("b knows a", || b.alive().len() == 1).await;

    let answer: Result<Told, _> = b.call("a", Tag::Config, &u64::MAX, PATIENCE).await;

    assert_eq!(answer, Err(CallError::Malformed));
    assert_eq!(a.counts().malformed, 1);
}

#[tokio::test]
async fn a_process_that_is_gone_is_told_from_one_that_is_silent() {
    let a = instance("a", "key", vec![]).await;
    let b = instance("b", "key", vec![a.me().addr]).await;
    let mute = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let c = member("c", mute.local_addr().unwrap());
    a.list(&[c]);
    until("a knows b", || a.reach("b") == Reach::Alive).await;

    b.close();

    until("b is dead", || a.reach("b") == Reach::Dead).await;
    until("c is silent", || a.reach("c") == Reach::Silent).await;
}

#[tokio::test]
async fn a_connection_that_went_silent_is_replaced() {
    let (behind, to, silent) = forwarder().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    to.send_replace(Some(listener.local_addr().unwrap()));
    let b = instance_behind(listener, behind, "b", "key", vec![]);
    let a = instance("a", "key", vec![behind]).await;
    until("a knows b", || a.alive().len() == 1).await;
    let ask = Ask { text: "hi".into() };
    let told: Told = a.call("b", Tag::Config, &ask, PATIENCE).await.unwrap();

    silent.send_modify(|n| *n += 1);
    let begun = Instant::now();
    let limit = Duration::from_millis(100);
    let lost: Result<Told, _> = a.call("b", Tag::Config, &ask, limit).await;
    let again: Result<Told, _> = a.call("b", Tag::Config, &ask, limit).await;

    assert_eq!(told.from, "a");
    assert_eq!(lost, Err(CallError::Lost));
    assert_eq!(again.unwrap().text, "hi");
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(a.reach("b"), Reach::Alive);
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
fn a_domain_is_cut_off_when_nobody_in_it_answers() {
    let now = Instant::now();
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut members = Members::new("me".into(), PERIOD);
    let (b, c) = (member("b", addr), member("c", addr));
    members.list(&[b.clone(), c.clone()], now);
    let beat = |from: Member| Heartbeat {
        from,
        incarnation: 1,
        leaving: false,
        asks: false,
        others: vec![],
    };
    members.hear(&beat(b), now);
    members.hear(&beat(c), now);

    members.witness("b", Evidence::TimedOut, now + PERIOD);
    let early = members.reach("b");
    members.witness("b", Evidence::TimedOut, now + 4 * PERIOD);
    let one = members.cut_off("a");
    members.witness("c", Evidence::TimedOut, now + 4 * PERIOD);

    assert_eq!(early, Reach::Alive, "one missed heartbeat is no evidence");
    assert!(!one);
    assert!(members.cut_off("a"));
}

#[test]
fn an_instance_that_peers_tell_of_itself_stays_out_of_its_members() {
    let now = Instant::now();
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let (me, other) = (member("me", at(1)), member("b", at(2)));
    let mut members = Members::new("me".into(), PERIOD);

    let told = Gossip {
        member: me.clone(),
        reach: Reach::Alive,
    };
    members.hear(
        &Heartbeat {
            from: other,
            incarnation: 1,
            leaving: false,
            asks: false,
            others: vec![told],
        },
        now,
    );

    assert_eq!(members.reach("me"), Reach::Unknown);
    assert!(!members.untried(&me.domain), "it would wait for itself");
}

#[test]
fn heartbeats_introduce_all_others_by_turns_and_stay_small() {
    let now = Instant::now();
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut members = Members::new("me".into(), PERIOD);
    for n in 0..100 {
        let from = member(&format!("i{n}"), at(n));
        let beat = Heartbeat {
            from,
            incarnation: 1,
            leaving: false,
            asks: false,
            others: vec![],
        };
        members.hear(&beat, now);
    }

    let turns: Vec<_> = (0..13).map(|_| members.introduce(8, now)).collect();

    assert!(turns.iter().all(|t| t.len() <= 8));
    let told: std::collections::HashSet<_> =
        turns.iter().flatten().map(|g| &g.member.name).collect();
    assert_eq!(told.len(), 100);
    let later = members.introduce(8, now + 6 * PERIOD);
    assert!(later.is_empty(), "nobody has come since");
}

#[test]
fn a_newcomer_to_a_settled_fleet_knows_all_within_five_heartbeats() {
    let begin = Instant::now();
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let all: Vec<_> = (0..80).map(|n| member(&format!("i{n}"), at(n))).collect();
    let beat = |from: &Member, others| Heartbeat {
        from: from.clone(),
        incarnation: 1,
        leaving: false,
        asks: false,
        others,
    };
    let settled = |me: &Member| {
        let mut members = Members::new(me.name.clone(), PERIOD);
        let others = all[..79].iter().filter(|m| m.name != me.name);
        others.for_each(|m| members.hear(&beat(m, vec![]), begin));
        members
    };
    let mut fleet: Vec<_> = all[..79].iter().map(settled).collect();
    let new = &all[79];
    let mut newcomer = Members::new(new.name.clone(), PERIOD);
    newcomer.list(&all[..1], begin);

    let begin = begin + 100 * PERIOD;
    for round in 0..5 {
        let now = begin + PERIOD * round;
        let known: Vec<_> = newcomer.all().cloned().collect();
        for peer in known {
            let n = all.iter().position(|m| m.name == peer.name).unwrap();
            let told = newcomer.introduce(8, now);
            fleet[n].hear(&beat(new, told), now);
            let answered = fleet[n].introduce(8, now);
            newcomer.hear(&beat(&peer, answered), now);
        }
    }

    assert_eq!(newcomer.alive().count(), 79);
}

#[tokio::test]
async fn far_instances_of_a_large_fleet_get_a_heartbeat_by_turns() {
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
            asks: false,
            others: Vec::new(),
        };
        members.hear(&beat, now);
    }
    members.witness("i20", Evidence::Refused, now);

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
        assert!(due.contains(&"i20".into()), "one that does not answer");
        assert!(due.len() <= 10 + 1 + 10, "{due:?}");
    }
    for n in 0..50 {
        let name = member(n).name;
        assert!(rounds.iter().any(|due| due.contains(&name)), "{name}");
    }
}
