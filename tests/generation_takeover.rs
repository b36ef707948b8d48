//! Entry instances are lost or paused, and their callers reconnect at other instances.
//!
//! Guards against tokens that are lost, repeated or generated twice when another instance takes a
//! generation over, and against two owners that both continue it.

#[path = "support/engines.rs"]
mod engines;
#[path = "support/entries.rs"]
mod entries;

use std::sync::Arc;
use std::time::Duration;

use endivefork::generation::{Event, GenerationRequest, Reader};
use engines::engine::fault::Control;
use engines::engine::options::Options;
use engines::{Fleet, Seen, read, start};
use entries::Entry;
use tokio::time::Instant;

/// Time between tokens for which the limits hold.
const TOKEN_INTERVAL: Duration = Duration::from_millis(41);

/// Tokens of each stream.
const TOKENS: u64 = 60;

/// Tokens that a caller reads before its instance is lost.
const TOKENS_READ: usize = 15;

/// Maximum time from a caller's reconnect to its next token.
const RECONNECT_LIMIT: Duration = Duration::from_secs(1);

struct World {
    fleet: Arc<Fleet>,
    entries: Vec<Entry>,
}

/// Starts engines, and `count` connected instances in one failure domain.
async fn world(engines: usize, count: usize) -> World {
    world_in(engines, &vec!["a"; count]).await
}

async fn world_in(engines: usize, domains: &[&str]) -> World {
    let opts = Options {
        token: TOKEN_INTERVAL,
        ..Options::default()
    };
    let fleet = Fleet::start(engines, &opts).await;
    let entries = entries::entries_in(&fleet, domains).await;
    World { fleet, entries }
}

fn prompt(i: usize) -> String {
    format!("long transcript number {i}")
}

fn request(i: usize) -> GenerationRequest {
    start(&format!("key-{i}"), &prompt(i), TOKENS)
}

/// Opens `count` streams at the first instance and reads [`TOKENS_READ`] tokens of each.
async fn open_streams(world: &World, count: usize) -> Vec<(Reader, Seen)> {
    let mut readers = Vec::new();
    for i in 0..count {
        readers.push(world.entries[0].open(request(i), None).await);
    }
    let mut streams = Vec::new();
    for mut reader in readers {
        let seen = read(&mut reader, TOKENS_READ).await;
        streams.push((reader, seen));
    }
    streams
}

/// Reconnects at `entry`, with or without the last token's index, and reads to the end.
async fn reconnect(entry: &Entry, i: usize, last: Option<u64>) -> (Duration, Seen) {
    let started = Instant::now();
    let mut reader = entry.open(request(i), last).await;
    let first = read(&mut reader, 1).await;
    let elapsed = started.elapsed();
    let mut seen = read(&mut reader, usize::MAX).await;
    seen.tokens.splice(0..0, first.tokens);
    (elapsed, seen)
}

fn assert_times(what: &str, mut times: Vec<Duration>, fleet: &Fleet, count: usize) {
    times.sort();
    let worst = times.last().copied().unwrap_or_default();
    let due = count as u64 * TOKENS;
    println!(
        "{what}: rest after {:?} median, {worst:?} worst; {} tokens generated for {due}",
        times[times.len() / 2],
        fleet.tokens(),
    );
    assert!(worst <= RECONNECT_LIMIT, "{what}: {worst:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_reconnects_with_its_last_token() {
    const STREAMS: usize = 16;
    let mut world = world(3, 3).await;
    let streams = open_streams(&world, STREAMS).await;

    world.entries[0].kill();
    let mut times = Vec::new();
    let reconnects =
        (0..STREAMS).map(|i| reconnect(&world.entries[1 + i % 2], i, Some(TOKENS_READ as u64 - 1)));
    for (i, (elapsed, seen)) in futures_util::future::join_all(reconnects)
        .await
        .into_iter()
        .enumerate()
    {
        seen.assert_exact(&prompt(i), TOKENS_READ as u64, TOKENS);
        times.push(elapsed);
    }

    drop(streams);
    assert_times("entry killed", times, &world.fleet, STREAMS);
    assert_eq!(
        world.fleet.tokens(),
        STREAMS as u64 * TOKENS,
        "generated once"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_reconnects_without_its_last_token() {
    const STREAMS: usize = 16;
    let mut world = world(3, 3).await;
    let streams = open_streams(&world, STREAMS).await;

    world.entries[0].kill();
    let mut times = Vec::new();
    let reconnects = (0..STREAMS).map(|i| reconnect(&world.entries[1 + i % 2], i, None));
    for (i, (elapsed, seen)) in futures_util::future::join_all(reconnects)
        .await
        .into_iter()
        .enumerate()
    {
        seen.assert_exact(&prompt(i), 0, TOKENS);
        times.push(elapsed);
    }

    drop(streams);
    assert_times("entry killed, from the start", times, &world.fleet, STREAMS);
    assert_eq!(
        world.fleet.tokens(),
        STREAMS as u64 * TOKENS,
        "generated once"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_engine_are_lost_together() {
    const STREAMS: usize = 16;
    let mut world = world(3, 3).await;
    let streams = open_streams(&world, STREAMS).await;
    let received: Vec<_> = streams
        .iter()
        .map(|(_, seen)| seen.tokens.len() as u64)
        .collect();

    let control = Control {
        crash: true,
        ..Control::default()
    };
    world.fleet.engines[world.fleet.busiest()].control(control);
    world.entries[0].kill();
    let mut times = Vec::new();
    let reconnects =
        (0..STREAMS).map(|i| reconnect(&world.entries[1 + i % 2], i, Some(received[i] - 1)));
    for (i, (elapsed, seen)) in futures_util::future::join_all(reconnects)
        .await
        .into_iter()
        .enumerate()
    {
        seen.assert_exact(&prompt(i), received[i], TOKENS);
        times.push(elapsed);
    }

    assert_times("entry and engine killed", times, &world.fleet, STREAMS);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_owner_continues_while_the_new_one_streams() {
    let world = world(2, 3).await;
    let (mut old, _) = open_streams(&world, 1).await.remove(0);

    world.entries[0].pause(Duration::from_millis(1200));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (elapsed, seen) = reconnect(&world.entries[1], 0, Some(TOKENS_READ as u64 - 1)).await;
    let received = read(&mut old, usize::MAX).await;

    seen.assert_exact(&prompt(0), TOKENS_READ as u64, TOKENS);
    let failure = received.failure.expect("the old owner has stopped");
    assert_eq!(failure.reason, "superseded");
    assert!(elapsed <= RECONNECT_LIMIT, "{elapsed:?}");
    println!(
        "owner paused: rest after {elapsed:?}; old owner sent {} more tokens",
        received.tokens.len()
    );
    assert!(
        received.tokens.len() < TOKENS as usize - TOKENS_READ,
        "the old owner continued to the end"
    );
    assert_eq!(world.fleet.tokens(), TOKENS, "generated once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_owner_hands_over() {
    let world = world(2, 2).await;
    let (mut old, _) = open_streams(&world, 1).await.remove(0);

    let (elapsed, seen) = reconnect(&world.entries[1], 0, Some(TOKENS_READ as u64 - 1)).await;
    let event = old.next().await;

    seen.assert_exact(&prompt(0), TOKENS_READ as u64, TOKENS);
    assert!(elapsed <= RECONNECT_LIMIT, "{elapsed:?}");
    assert!(!matches!(event, Event::End { .. }), "{event:?}");
    assert_eq!(world.fleet.tokens(), TOKENS, "generated once");
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_generation_is_replayed_by_another_instance() {
    let mut world = world(2, 2).await;
    let mut reader = world.entries[0].open(request(0), None).await;
    let complete = read(&mut reader, usize::MAX).await;
    complete.assert_exact(&prompt(0), 0, TOKENS);

    world.entries[0].kill();
    let (_, seen) = reconnect(&world.entries[1], 0, Some(9)).await;

    seen.assert_exact(&prompt(0), 10, TOKENS);
    assert_eq!(world.fleet.tokens(), TOKENS, "generated once");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_body_is_refused_by_another_instance() {
    let world = world(1, 2).await;
    drop(open_streams(&world, 1).await);

    let other = start("key-0", "another prompt", TOKENS);
    let refused = world.entries[1].generations.open(other, None).await;

    assert_eq!(refused.unwrap_err().reason, "key_reused");
}

#[tokio::test(flavor = "multi_thread")]
async fn resuming_an_unknown_generation_fails() {
    let world = world(1, 2).await;

    let refused = world.entries[1].generations.open(request(7), Some(3)).await;

    assert_eq!(refused.unwrap_err().reason, "generation_unknown");
    assert_eq!(world.fleet.tokens(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn journal_traffic_is_bounded() {
    const STREAMS: usize = 32;
    let world = world(3, 3).await;

    let mut readers = Vec::new();
    for i in 0..STREAMS {
        readers.push(world.entries[0].open(request(i), None).await);
    }
    for reader in &mut readers {
        read(reader, usize::MAX).await;
    }
    let (tokens, bytes) = world.entries[0].generations.journal_traffic();

    let each = bytes as f64 / tokens as f64;
    println!("journals: {each:.1} bytes a token over 2 replicas, {tokens} tokens");
    assert_eq!(tokens, STREAMS as u64 * TOKENS);
    assert!(each < 200.0, "{each}");
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_reconnects_in_another_failure_domain() {
    let mut world = world_in(2, &["a", "a", "b"]).await;
    let streams = open_streams(&world, 4).await;

    world.entries[0].kill();
    let reconnects = (0..4).map(|i| reconnect(&world.entries[2], i, Some(TOKENS_READ as u64 - 1)));
    let reconnects = futures_util::future::join_all(reconnects).await;

    drop(streams);
    for (i, (elapsed, seen)) in reconnects.into_iter().enumerate() {
        seen.assert_exact(&prompt(i), TOKENS_READ as u64, TOKENS);
        assert!(elapsed <= RECONNECT_LIMIT, "{elapsed:?}");
    }
    assert_eq!(world.fleet.tokens(), 4 * TOKENS, "generated once");
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_alone_in_its_domain_journals_to_the_nearest_peers() {
    let mut world = world_in(2, &["a", "b"]).await;
    let streams = open_streams(&world, 4).await;

    let engine = world.fleet.busiest();
    world.fleet.engines[engine].control(Control {
        crash: true,
        ..Control::default()
    });
    world.entries[0].kill();
    let reconnects = (0..4).map(|i| reconnect(&world.entries[1], i, Some(TOKENS_READ as u64 - 1)));
    let reconnects = futures_util::future::join_all(reconnects).await;

    drop(streams);
    for (i, (_, seen)) in reconnects.into_iter().enumerate() {
        seen.assert_exact(&prompt(i), TOKENS_READ as u64, TOKENS);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_domain_continues_its_generations_and_others_refuse_them() {
    let fleet = Fleet::start(
        2,
        &Options {
            token: TOKEN_INTERVAL,
            ..Options::default()
        },
    )
    .await;
    let mut inside = entries::entries_in(&fleet, &["a", "a"]).await;
    let outside = entries::entries_in(&fleet, &["b"]).await;
    let mut reader = inside[0].open(request(0), None).await;
    read(&mut reader, TOKENS_READ).await;

    inside[0].kill();
    let last = Some(TOKENS_READ as u64 - 1);
    let refused = outside[0].try_open(request(0), last).await;
    let (_, seen) = reconnect(&inside[1], 0, last).await;

    assert_eq!(refused.unwrap_err().reason, "generation_unknown");
    seen.assert_exact(&prompt(0), TOKENS_READ as u64, TOKENS);
    assert_eq!(fleet.tokens(), TOKENS, "generated once");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_instances_take_over_concurrently() {
    let mut world = world(2, 3).await;
    drop(open_streams(&world, 1).await);
    world.entries[0].kill();

    let last = Some(TOKENS_READ as u64 - 1);
    let (one, two) = tokio::join!(
        reconnect(&world.entries[1], 0, last),
        reconnect(&world.entries[2], 0, last),
    );
    let (_, again) = reconnect(&world.entries[1], 0, last).await;

    let superseded = |seen: &Seen| {
        seen.failure
            .as_ref()
            .is_some_and(|f| f.reason == "superseded")
    };
    println!(
        "at once: failures {:?} and {:?}",
        one.1.failure, two.1.failure
    );
    assert!(
        !(superseded(&one.1) && superseded(&two.1)),
        "both generations were superseded"
    );
    for seen in [&one.1, &two.1] {
        let failed = seen.failure.is_some();
        assert!(!failed || superseded(seen), "{:?}", seen.failure);
        let texts = seen.tokens.iter().enumerate();
        for (k, (index, text)) in texts {
            let due = engines::engine::token::token(&prompt(0), *index);
            assert_eq!(
                (*index, text.as_str()),
                ((TOKENS_READ + k) as u64, due.as_str())
            );
        }
    }
    again.assert_exact(&prompt(0), TOKENS_READ as u64, TOKENS);
}
