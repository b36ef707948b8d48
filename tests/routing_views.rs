//! Load polling: which instances poll a target, and how their results reach the others.

use std::time::{Duration, Instant};

use axum::Json;
use axum::routing::get;
use endivefork::fleet::Target;
use endivefork::http::Client;
use endivefork::ident::TargetKey;
use endivefork::routing::{
    Costs, LoadReport, LoadViews, Policy, PollOutcome, Poller, Query, Router, poll,
};
use serde_json::json;

const PERIOD: Duration = Duration::from_millis(500);

fn poller(name: &str, domain: &str) -> Poller {
    Poller {
        name: name.into(),
        domain: domain.into(),
    }
}

fn targets() -> Vec<Target> {
    (0..30)
        .map(|key| {
            let domain = ["a", "b", "c"][key as usize % 3];
            Target {
                key: TargetKey(key),
                name: format!("engine-{key}").into(),
                incarnation: 0,
                addr: ([127, 0, 0, 1], 9000).into(),
                domain: domain.into(),
                region: domain.into(),
                service: "drafting".into(),
                version: "v1".into(),
                leaving: false,
            }
        })
        .collect()
}

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        queued: 0,
        slots: 8,
        age: Duration::from_secs(2),
        leaving: false,
    }
}

/// Three instances in domain `a`, two in `b`, none in `c`.
fn instances() -> Vec<Poller> {
    [
        ("a1", "a"),
        ("a2", "a"),
        ("a3", "a"),
        ("b1", "b"),
        ("b2", "b"),
    ]
    .map(|(name, domain)| poller(name, domain))
    .to_vec()
}

fn peers_of(me: &Poller) -> Vec<Poller> {
    instances().into_iter().filter(|p| p != me).collect()
}

#[test]
fn two_instances_poll_each_target_of_their_domain() {
    let now = Instant::now();

    let polls: Vec<_> = instances()
        .into_iter()
        .flat_map(|me| {
            let due = LoadViews::new(me.clone()).due(&targets(), &peers_of(&me), now);
            due.into_iter().map(move |target| (me.clone(), target))
        })
        .collect();

    for target in targets() {
        let pollers: Vec<_> = polls.iter().filter(|(_, t)| *t == target).collect();
        assert_eq!(pollers.len(), 2, "{}", target.name);
        let near = pollers.iter().all(|(me, _)| me.domain == target.domain);
        assert!(near || target.domain == "c");
    }
}

#[test]
fn all_targets_are_polled_when_peers_send_no_loads() {
    let me = poller("a1", "a");
    let (views, router) = (LoadViews::new(me.clone()), router());
    let now = Instant::now();
    let assigned = views.due(&targets(), &peers_of(&me), now).len();
    let peer = LoadViews::new(poller("b1", "b"));
    peer.due(&targets(), &peers_of(&poller("b1", "b")), now);
    let at = now + Duration::from_secs(2);
    for target in targets() {
        peer.record_poll(&router, &target, PollOutcome::Load(report(1)), now);
    }
    views.apply_peer_view(&router, "b1", &peer.peer_view(&router, now), at);

    let after_view = views.due(&targets(), &peers_of(&me), at + 2 * PERIOD).len();
    let after_silence = views.due(&targets(), &peers_of(&me), at + 6 * PERIOD).len();

    assert_eq!(after_view, assigned);
    assert_eq!(after_silence, targets().len());
}

#[test]
fn poll_results_of_a_peer_reach_the_router() {
    let me = poller("a1", "a");
    let (here, there) = (router(), router());
    let now = Instant::now();
    let (views, peer) = (
        LoadViews::new(me.clone()),
        LoadViews::new(poller("a2", "a")),
    );
    views.due(&targets(), &peers_of(&me), now);
    peer.due(&targets(), &peers_of(&me), now);
    peer.record_poll(&there, &targets()[0], PollOutcome::Load(report(5)), now);
    peer.record_poll(&there, &targets()[3], PollOutcome::Refused, now);

    views.apply_peer_view(&here, "a2", &peer.peer_view(&there, now), now);

    assert_eq!(here.estimate(TargetKey(0), now), Some(5));
    let dead = TargetKey(3);
    let excluded: Vec<_> = (0..30).map(TargetKey).filter(|k| *k != dead).collect();
    assert!(here.choose(&query(&excluded), now).is_none());
}

#[test]
fn peer_that_reaches_a_target_overrides_one_that_does_not() {
    let me = poller("a1", "a");
    let (here, near, far) = (router(), router(), router());
    let now = Instant::now();
    let views = LoadViews::new(me);
    let (neighbour, cut_off) = (
        LoadViews::new(poller("a2", "a")),
        LoadViews::new(poller("b1", "b")),
    );
    for view in [&views, &neighbour, &cut_off] {
        view.due(&targets(), &[], now);
    }
    let target = &targets()[0];
    cut_off.record_poll(&far, target, PollOutcome::Refused, now);
    neighbour.record_poll(&near, target, PollOutcome::Load(report(1)), now);
    let excluded: Vec<_> = (1..30).map(TargetKey).collect();
    let later = Instant::now();

    views.apply_peer_view(&here, "b1", &cut_off.peer_view(&far, later), later);
    let before = here.choose(&query(&excluded), later).is_some();
    let then = later + Duration::from_millis(1);
    neighbour.record_poll(&near, target, PollOutcome::Load(report(1)), then);
    views.apply_peer_view(&here, "a2", &neighbour.peer_view(&near, then), then);
    let after = here.choose(&query(&excluded), then).is_some();
    views.apply_peer_view(&here, "b1", &cut_off.peer_view(&far, then), then);
    let again = here.choose(&query(&excluded), then).is_some();

    assert_eq!((before, after, again), (false, true, true));
}

#[test]
fn target_that_never_answers_becomes_suspect_then_dead() {
    let (views, router) = (LoadViews::new(poller("a1", "a")), router());
    let now = Instant::now();
    let target = &targets()[0];
    views.due(&targets(), &[], now);
    let excluded: Vec<_> = (1..30).map(TargetKey).collect();

    views.record_poll(&router, target, PollOutcome::NoAnswer, now);
    let suspect = router.choose(&query(&excluded), Instant::now());
    views.record_poll(&router, target, PollOutcome::NoAnswer, now);
    views.record_poll(&router, target, PollOutcome::NoAnswer, now);
    let dead = router.choose(&query(&excluded), Instant::now());

    assert!(
        suspect.is_some(),
        "a suspect target is used when no other is left"
    );
    assert!(dead.is_none());
    views.record_poll(&router, target, PollOutcome::Alive, Instant::now());
    assert!(router.choose(&query(&excluded), Instant::now()).is_some());
}

#[tokio::test]
async fn poll_reads_the_report_and_distinguishes_refused_from_unanswered() {
    let body = json!({"running": 3, "queued": 1, "slots": 8, "leaving": true, "age_ms": 700});
    let routes = axum::Router::new().route("/v1/load", get(|| async { Json(body) }));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async { axum::serve(listener, routes).await });
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_addr = closed.local_addr().unwrap();
    drop(closed);
    let unresponsive = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new();

    let answered = poll(&client, addr).await;
    let refused = poll(&client, closed_addr).await;
    let unanswered = poll(&client, unresponsive.local_addr().unwrap()).await;

    let expected = LoadReport {
        running: 3,
        queued: 1,
        slots: 8,
        age: Duration::from_millis(700),
        leaving: true,
    };
    assert_eq!(answered, PollOutcome::Load(expected));
    assert_eq!(refused, PollOutcome::Refused);
    assert_eq!(unanswered, PollOutcome::NoAnswer);
}

fn router() -> Router {
    let router = Router::new(Policy::Cost, Costs::default());
    router.sync(targets());
    router
}

fn query(excluded: &[TargetKey]) -> Query<'_> {
    Query {
        excluded_domains: &[],
        work: None,
        service: "drafting",
        version: "v1",
        domain: "a",
        region: "a",
        prefix: None,
        excluded,
        bytes: 4_000,
    }
}
