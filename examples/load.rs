//! A load generator: streams generations from entry instances and prints what callers saw.
//!
//! `cargo run --release --example load -- --addr 127.0.0.1:8080 --key KEY --model llm`

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use argh::FromArgs;
use bytes::Bytes;
use endivefork::http::{Client, Via, request};
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use parking_lot::Mutex;

/// Longest wait for the head of an answer.
const HEAD_LIMIT: Duration = Duration::from_secs(30);

/// Largest latency that is told apart, in microseconds.
const MAX_US: u64 = 600_000_000;

/// Longest time of one stream.
const STREAM_LIMIT: Duration = Duration::from_secs(300);

/// Streams generations and prints rates and latencies.
#[derive(Clone, Debug, FromArgs)]
struct Args {
    /// caller address of an entry instance; may be given several times
    #[argh(option)]
    addr: Vec<SocketAddr>,
    /// account key
    #[argh(option, default = "String::from(\"key-one\")")]
    key: String,
    /// model to ask for
    #[argh(option, default = "String::from(\"llm\")")]
    model: String,
    /// streams at once
    #[argh(option, default = "100")]
    streams: usize,
    /// tokens of each answer
    #[argh(option, default = "200")]
    tokens: u32,
    /// seconds in which streams are begun
    #[argh(option, default = "10")]
    seconds: u64,
}

/// What all streams saw.
#[derive(Debug)]
struct Tally {
    tokens: AtomicU64,
    whole: AtomicU64,
    broken: AtomicU64,
    first: Mutex<Histogram<u64>>,
    gaps: Mutex<Histogram<u64>>,
}

impl Tally {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            tokens: AtomicU64::new(0),
            whole: AtomicU64::new(0),
            broken: AtomicU64::new(0),
            first: Mutex::new(Histogram::new_with_max(MAX_US, 3)?),
            gaps: Mutex::new(Histogram::new_with_max(MAX_US, 3)?),
        })
    }

    fn print(&self, elapsed: Duration) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        let rate = tokens as f64 / elapsed.as_secs_f64();
        println!(
            "streams whole {} broken {} tokens {tokens} tokens/s {rate:.0}",
            self.whole.load(Ordering::Relaxed),
            self.broken.load(Ordering::Relaxed),
        );
        print_line("first token", &self.first.lock());
        print_line("token gap", &self.gaps.lock());
    }
}

fn print_line(name: &str, histogram: &Histogram<u64>) {
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    println!(
        "{name:12} median {:.2} ms p95 {:.2} ms p99 {:.2} ms worst {:.2} ms",
        ms(0.5),
        ms(0.95),
        ms(0.99),
        histogram.max() as f64 / 1e3,
    );
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    anyhow::ensure!(!args.addr.is_empty(), "name at least one --addr");
    let args = Arc::new(args);
    let tally = Arc::new(Tally::new()?);
    let client = Client::connecting_within(HEAD_LIMIT);
    let begun = Instant::now();
    let lanes = (0..args.streams).map(|lane| {
        let (args, tally, client) = (Arc::clone(&args), Arc::clone(&tally), client.clone());
        tokio::spawn(async move { run_lane(lane, &args, &tally, &client, begun).await })
    });
    let lanes: Vec<_> = lanes.collect();
    for lane in lanes {
        lane.await.context("a stream panicked")?;
    }
    tally.print(begun.elapsed());
    Ok(())
}

/// Runs one stream after the other until the time is up.
async fn run_lane(lane: usize, args: &Args, tally: &Tally, client: &Client, begun: Instant) {
    let until = begun + Duration::from_secs(args.seconds);
    let addr = args.addr[lane % args.addr.len()];
    let mut round = 0;
    while Instant::now() < until {
        let prompt = format!("stream {lane} round {round}");
        let asked = ask(addr, args, &prompt);
        let stream = read_stream(client, asked, tally);
        let whole = tokio::time::timeout(STREAM_LIMIT, stream).await;
        let counter = match whole {
            Ok(true) => &tally.whole,
            _ => &tally.broken,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        round += 1;
    }
}

fn ask(addr: SocketAddr, args: &Args, prompt: &str) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": args.model,
        "prompt": prompt,
        "max_tokens": args.tokens,
        "stream": true,
    });
    let url = format!("http://{addr}/v1/completions");
    let mut asked = request(Method::POST, &url, body.to_string());
    let bearer = format!("Bearer {}", args.key);
    if let Ok(value) = bearer.parse() {
        asked.headers_mut().insert("authorization", value);
    }
    asked
}

/// Reads one answer; whether it came whole.
async fn read_stream(client: &Client, asked: Request<Full<Bytes>>, tally: &Tally) -> bool {
    let begun = Instant::now();
    let Ok(response) = client.open(Via::Pool, asked, HEAD_LIMIT).await else {
        return false;
    };
    let mut body = response.into_body();
    let mut last: Option<Instant> = None;
    let mut done = false;
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let count = events(&data);
        let now = Instant::now();
        match last {
            None if count > 0 => record(&tally.first, now - begun),
            Some(last) if count > 0 => record(&tally.gaps, now - last),
            _ => {}
        }
        if count > 0 {
            last = Some(now);
        }
        tally.tokens.fetch_add(count, Ordering::Relaxed);
        done |= data.ends_with(b"[DONE]\n\n");
    }
    done
}

/// Token events that begin in a piece of a stream.
fn events(data: &[u8]) -> u64 {
    data.windows(4).filter(|w| w == b"id: ").count() as u64
}

fn record(histogram: &Mutex<Histogram<u64>>, value: Duration) {
    histogram.lock().saturating_record(value.as_micros() as u64);
}
