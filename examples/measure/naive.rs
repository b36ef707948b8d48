//! The baseline: a proxy without memory. It takes a random engine, gives up on a stream that is
//! silent for long, and starts again from the first token.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use endivefork::http::{Client, Via, request};
use http::Method;
use http_body_util::BodyExt as _;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

/// Silence after which a stream is given up.
pub const SILENCE: Duration = Duration::from_secs(5);

/// Longest time for one whole answer.
const PATIENCE: Duration = Duration::from_secs(40);

/// Pause before another try.
const PAUSE: Duration = Duration::from_millis(20);

/// What a caller of the baseline gets: when each token was new to it.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub times: Vec<Instant>,
    pub whole: bool,
    pub starts: u32,
}

/// The longest gap that ends after `moment`.
pub fn worst_gap(times: &[Instant], moment: Instant) -> Duration {
    let steps = times.windows(2).filter(|pair| pair[1] > moment);
    steps
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or_default()
}

/// One answer of `tokens` tokens, by as many starts as it takes. `cut` breaks the stream that
/// runs then, as the loss of the proxy does.
pub async fn generate(
    client: Client,
    engines: Vec<SocketAddr>,
    prompt: String,
    tokens: u64,
    mut rng: StdRng,
    cut: CancellationToken,
) -> Got {
    let begun = Instant::now();
    let mut cut = Some(cut);
    let mut got = Got::default();
    while !got.whole && begun.elapsed() < PATIENCE {
        let Some(addr) = engines.choose(&mut rng) else {
            break;
        };
        got.starts += 1;
        let stream = stream(&client, *addr, &prompt, tokens, &mut got);
        match &cut {
            None => stream.await,
            Some(token) => tokio::select! {
                () = token.cancelled() => cut = None,
                () = stream => {}
            },
        }
        if !got.whole {
            tokio::time::sleep(PAUSE).await;
        }
    }
    got
}

/// Reads one attempt until its end, its loss or its silence.
async fn stream(client: &Client, addr: SocketAddr, prompt: &str, tokens: u64, got: &mut Got) {
    let body = json!({
        "attempt": format!("naive-{prompt}-{}", got.starts),
        "request": prompt,
        "model": "m",
        "version": "v1",
        "prompt": prompt,
        "prefix": [],
        "max_tokens": tokens,
        "priority": 0,
    });
    let asked = request(
        Method::POST,
        &format!("http://{addr}/v1/attempts"),
        body.to_string(),
    );
    let Ok(response) = client.open(Via::Fresh, asked, SILENCE).await else {
        return;
    };
    let mut body = response.into_body();
    let mut rest = Vec::new();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(SILENCE, body.frame()).await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        rest.extend_from_slice(&data);
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<_> = rest.drain(..=end).collect();
            take(&line, got);
        }
    }
}

fn take(line: &[u8], got: &mut Got) {
    let Ok(line) = serde_json::from_slice::<Value>(line) else {
        return;
    };
    if line["i"].as_u64() == Some(got.times.len() as u64) {
        got.times.push(Instant::now());
    }
    got.whole |= line["end"].is_string();
}
