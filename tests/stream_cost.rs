//! Cost of streams to an instance: processor time per token, memory per stream and added latency of
//! the first token. Prints the figures, which are meaningful with `--release`.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use endivefork::http::{Client, Via, request};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use support::process::Process;
use support::world::World;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// Clock ticks per second in the processor times of `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a memory page.
const PAGE_BYTES: usize = 4096;

/// Maximum memory of one open stream, in bytes: the 256 MB of an instance divided by the 436
/// streams that it has open when 320 instances stream 3.4 million tokens per second in total, with
/// 41 ms between the tokens of a stream; rounded down.
const MAX_STREAM_BYTES: usize = 512 << 10;

/// Time after which new streams have allocated their memory.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Serializes the tests, because other load on the machine distorts the figures.
static SERIAL: Mutex<()> = Mutex::const_new(());

/// Returns the processor time of a process in seconds.
fn processor(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).expect("it runs");
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .expect("a name")
        .split_whitespace()
        .collect();
    let ticks = |i: usize| fields[i].parse::<f64>().expect("a number");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process in bytes.
fn memory(process: &Process) -> usize {
    let stat = std::fs::read_to_string(format!("/proc/{}/statm", process.id())).expect("it runs");
    let pages = stat.split_whitespace().nth(1).expect("a number");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

fn build_request(entry: SocketAddr, i: usize, tokens: usize) -> Request<Full<Bytes>> {
    let body = json!({
        "model": "llm", "prompt": format!("cost {i}"), "max_tokens": tokens, "stream": true,
    });
    let url = format!("http://{entry}/v1/completions");
    let mut request = request(Method::POST, &url, body.to_string());
    let account = ["one", "two"][i % 2];
    let bearer = format!("Bearer key-{account}").parse().expect("a header");
    request.headers_mut().insert("authorization", bearer);
    request
}

/// Returns the number of lines that begin with `prefix` in an answer, without decoding them, and
/// the time to the first.
async fn drain(client: &Client, request: Request<Full<Bytes>>, prefix: &[u8]) -> (usize, Duration) {
    let started = Instant::now();
    let limit = Duration::from_secs(60);
    let response = client
        .open(Via::Pool, request, limit)
        .await
        .expect("it answers");
    let status = response.status();
    let mut body = response.into_body();
    if !status.is_success() {
        panic!("{status}: {:?}", body.collect().await.map(|b| b.to_bytes()));
    }
    let mut count = 0;
    let mut rest = Vec::new();
    let mut first = Duration::ZERO;
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        rest.extend_from_slice(&data);
        count += rest.windows(prefix.len()).filter(|w| *w == prefix).count();
        rest.drain(..rest.len().saturating_sub(prefix.len() - 1));
        if first.is_zero() && count > 0 {
            first = started.elapsed();
        }
    }
    (count, first)
}

#[tokio::test(flavor = "multi_thread")]
async fn processor_time_per_token() {
    const STREAMS: usize = 256;
    let tokens = if cfg!(debug_assertions) { 200 } else { 4000 };
    let _serial = SERIAL.lock().await;
    let world = World::usual(4, 2, &["--token-ms", "2", "--slots", "128"]).await;
    let entry = &world.entries[0];

    let before = processor(&entry.process);
    let started = Instant::now();
    let streams = (0..STREAMS).map(|i| {
        let client = world.client.clone();
        let request = build_request(entry.caller, i, tokens);
        tokio::spawn(async move { drain(&client, request, b"id: ").await.0 })
    });
    let streams: Vec<_> = streams.collect();
    let mut read = 0;
    for stream in streams {
        read += stream.await.unwrap();
    }
    let time = started.elapsed().as_secs_f64();
    let used = processor(&entry.process) - before;

    println!(
        "{STREAMS} streams: {:.0} tokens a second, {:.1} us of processor time a token, {:.2} cores",
        read as f64 / time,
        used * 1e6 / read as f64,
        used / time,
    );
    assert_eq!(read, STREAMS * tokens);
}

#[tokio::test(flavor = "multi_thread")]
async fn added_latency_of_the_first_token() {
    const CALLS: usize = 200;
    let _serial = SERIAL.lock().await;
    let world = World::usual(2, 3, &["--token-ms", "5", "--slots", "128"]).await;
    let engine = world.engines[0].addr;
    let mut direct = Vec::new();
    let mut proxied = Vec::new();

    for i in 0..CALLS {
        let body =
            json!({"attempt": format!("direct-{i}"), "prompt": format!("d {i}"), "max_tokens": 2});
        let url = format!("http://{engine}/v1/attempts");
        let call = request(Method::POST, &url, body.to_string());
        direct.push(drain(&world.client, call, b"{\"i\":").await.1);
        let call = build_request(world.entries[0].caller, i, 2);
        proxied.push(drain(&world.client, call, b"id: ").await.1);
    }

    direct.sort();
    proxied.sort();
    let (half, high) = (CALLS / 2, CALLS * 99 / 100);
    println!(
        "first token: direct {:?} median {:?} p99, through an instance {:?} median {:?} p99",
        direct[half], direct[high], proxied[half], proxied[high],
    );
    assert!(proxied[half] < direct[half] + Duration::from_millis(50));
}

/// Opens `count` streams, with enough `tokens` that they still run when the memory is read.
fn open_streams(world: &World, from: usize, count: usize, tokens: usize) -> Vec<JoinHandle<usize>> {
    let entry = world.entries[0].caller;
    let streams = (from..from + count).map(|i| {
        let client = world.client.clone();
        tokio::spawn(async move {
            drain(&client, build_request(entry, i, tokens), b"id: ")
                .await
                .0
        })
    });
    streams.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_of_open_streams_beside_a_stalled_reader() {
    const FEW: usize = 40;
    const MANY: usize = 200;
    const TOKENS: usize = 400;
    let _serial = SERIAL.lock().await;
    let world = World::usual(4, 2, &["--token-ms", "41", "--slots", "256"]).await;
    let entry = &world.entries[0];

    let start = memory(&entry.process);
    let stalled = build_request(entry.caller, FEW + MANY, 2000);
    let limit = Duration::from_secs(30);
    let stalled = world
        .client
        .open(Via::Fresh, stalled, limit)
        .await
        .expect("it answers");
    let mut streams = open_streams(&world, 0, FEW, TOKENS);
    tokio::time::sleep(SETTLE_TIME).await;
    let few = memory(&entry.process);
    streams.extend(open_streams(&world, FEW, MANY, TOKENS));
    tokio::time::sleep(SETTLE_TIME).await;
    let many = memory(&entry.process);
    let mut read = 0;
    for stream in streams {
        read += stream.await.unwrap();
    }
    drop(stalled);

    let each = many.saturating_sub(few) / MANY;
    println!(
        "memory: {start} bytes at the start, {few} with {FEW} streams, {many} with {MANY} more: {each} each"
    );
    assert_eq!(read, (FEW + MANY) * TOKENS);
    assert!(each < MAX_STREAM_BYTES, "{each} bytes");
}
