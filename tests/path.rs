//! End-to-end path through separate processes, without failures.

mod support;

use std::time::Duration;

use http::Method;
use serde_json::json;
use support::caller::CallerRequest;
use support::world::World;

#[tokio::test(flavor = "multi_thread")]
async fn generation_is_the_same_through_two_instances() {
    let world = World::usual(2, 2, &["--token-ms", "2"]).await;

    let first = CallerRequest::completion(world.entries[0].caller, "llm", "tell me", 50);
    let seen = first.all(&world.client).await;
    let other = first.clone().at(world.entries[1].caller);
    let again = other.all(&world.client).await;

    assert!(seen.done, "{seen:?}");
    assert_eq!(seen.tokens.len(), 50);
    assert!(seen.in_order(0));
    assert_eq!(seen.finish.as_deref(), Some("length"));
    assert_eq!(seen.texts(), again.texts());
}

#[tokio::test(flavor = "multi_thread")]
async fn unstreamed_answer_has_the_same_text() {
    let world = World::usual(1, 1, &["--token-ms", "2"]).await;
    let ask = CallerRequest::completion(world.entries[0].caller, "llm", "tell me", 20);

    let seen = ask.all(&world.client).await;
    let mut body = ask.body.clone();
    body["stream"] = false.into();
    let (status, complete) = ask.clone().body(body).whole(&world.client).await.unwrap();

    assert_eq!(status, 200, "{complete}");
    assert_eq!(complete["choices"][0]["text"], seen.texts().concat());
    assert_eq!(complete["usage"]["completion_tokens"], 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn read_and_action_are_served() {
    let world = World::usual(0, 2, &[]).await;
    let entry = world.entries[0].caller;

    let read = CallerRequest::service(entry, Method::GET, "desk", "/jobs/7");
    let action = CallerRequest::service(entry, Method::POST, "desk", "/actions/deposit")
        .key("deposit-1")
        .body(json!({"amount": 5}));
    let read = read.whole(&world.client).await.unwrap();
    let first = action.whole(&world.client).await.unwrap();
    let second = action.at(world.entries[1].caller);
    let second = second.whole(&world.client).await.unwrap();

    assert!(read.0.is_success(), "{read:?}");
    assert!(first.0.is_success(), "{first:?}");
    assert_eq!(first, second);
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_no_stream_and_refuses_no_connection() {
    const STREAMS: usize = 200;
    let mut world = World::usual(4, 2, &["--token-ms", "20", "--slots", "128"]).await;
    let entry = world.entries[0].caller;
    let asks = (0..STREAMS).map(|i| {
        CallerRequest::completion(entry, "llm", &format!("stream {i}"), 100 + (i as u32 % 50))
    });
    let streams: Vec<_> = asks
        .map(|ask| {
            let client = world.client.clone();
            tokio::spawn(async move {
                let seen = ask.all(&client).await;
                if !seen.done {
                    eprintln!(
                        "BAD {:?} {:?} {}",
                        seen.status,
                        seen.error,
                        seen.tokens.len()
                    );
                }
                (seen, ask)
            })
        })
        .collect();
    support::world::until("all streams run", async || {
        let load = world
            .engines
            .iter()
            .map(|e| world.read(e.addr, "/control/log"));
        let mut starts = 0;
        for log in load {
            starts += count_starts(&log.await);
        }
        starts >= STREAMS
    })
    .await;

    world.entries[0].process.signal("TERM");
    let served = requests_until_not_ready(&world, entry).await;
    let mut cut = 0;
    for stream in streams {
        let (seen, ask) = stream.await.unwrap();
        let complete =
            seen.done && seen.tokens.len() as u64 == ask.body["max_tokens"].as_u64().unwrap();
        cut += usize::from(!complete);
    }

    assert_eq!(cut, 0, "streams were cut");
    assert!(served > 0, "new connections arrived while it drained");
    let ended = world.entries[0].process.ended(Duration::from_secs(20));
    assert_eq!(ended, Some(true));
}

fn count_starts(log: &serde_json::Value) -> usize {
    let entries = log["entries"].as_array().map_or(&[][..], Vec::as_slice);
    entries.iter().filter(|e| e["op"] == "start").count()
}

/// Sends short requests over new connections while the instance drains, as a load balancer does
/// that observes the readiness late. Returns the number served when the instance reports that it is
/// not ready.
async fn requests_until_not_ready(world: &World, entry: std::net::SocketAddr) -> usize {
    let mut served = 0;
    loop {
        let ask = CallerRequest::completion(entry, "llm", &format!("late {served}"), 2);
        let seen = ask.all(&world.client).await;
        assert!(seen.done, "a new request was cut or refused: {seen:?}");
        served += 1;
        let url = format!("http://{entry}/readyz");
        let ready = endivefork::http::request(Method::GET, &url, "");
        let ready = world
            .client
            .send(endivefork::http::Via::Fresh, ready, support::world::LIMIT)
            .await;
        if ready.is_ok_and(|a| a.status == 503) && served > 20 {
            return served;
        }
    }
}

/// Connections of a burst, several times the usual accept queue of 128.
const BURST: usize = 1000;

#[tokio::test(flavor = "multi_thread")]
async fn burst_of_connections_waits_to_be_accepted() {
    let listener = endivefork::listen::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();

    let limit = Duration::from_millis(500);
    let connect = move || std::net::TcpStream::connect_timeout(&addr, limit);
    let open: Vec<_> = (0..BURST).map(|_| connect()).collect();

    let refused = open.iter().filter(|c| c.is_err()).count();
    assert_eq!(refused, 0, "of {BURST} connections nobody accepted yet");
}
