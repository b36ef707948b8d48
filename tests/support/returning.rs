//! Callers that resume at another instance when their connection breaks or stalls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::http::Client;
use parking_lot::Mutex;

use super::caller::{CallerRequest, Seen, Token};

/// Time without a token after which a caller closes the connection.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of resumes of one caller.
const MAX_RESUMES: usize = 8;

/// The answer that a caller received over all its connections.
#[derive(Debug, Default)]
pub struct ResumedAnswer {
    pub tokens: Vec<Token>,
    pub done: bool,
    pub finish: Option<String>,
    pub error: Option<serde_json::Value>,
    /// Time from each resume to its first token.
    pub returns: Vec<Duration>,
}

impl ResumedAnswer {
    /// Panics unless the answer is complete, in order and consists of the stub's tokens.
    pub fn assert_exact(&self, prompt: &str, total: u64, token: impl Fn(&str, u64) -> String) {
        assert!(self.done, "{prompt}: incomplete: {:?}", self.error);
        assert_eq!(self.tokens.len() as u64, total, "{prompt}");
        for (i, seen) in self.tokens.iter().enumerate() {
            assert_eq!(seen.id, i as u64, "{prompt}: order");
            assert_eq!(seen.text, token(prompt, i as u64), "{prompt}: token {i}");
        }
    }

    /// Largest gap between two tokens.
    pub fn worst_gap(&self) -> Duration {
        let gaps = self.tokens.windows(2).map(|w| w[1].at - w[0].at);
        gaps.max().unwrap_or_default()
    }
}

/// Sends `ask` and reads its answer to the end, resuming at the next of `entries` whenever the
/// connection breaks or stalls.
pub async fn follow(client: &Client, ask: CallerRequest, entries: &[SocketAddr]) -> ResumedAnswer {
    let mut answer = ResumedAnswer::default();
    let first = entries.iter().position(|e| *e == ask.addr).unwrap_or(0);
    for turn in 0..=MAX_RESUMES {
        let mut ask = ask.clone().at(entries[(first + turn) % entries.len()]);
        ask.last = answer.tokens.last().map(|t| t.id);
        let begun = Instant::now();
        let (tokens, seen) = read_connection(client, &ask).await;
        if let Some(token) = tokens.first().filter(|_| turn > 0) {
            answer.returns.push(token.at - begun);
        }
        answer.tokens.extend(tokens);
        if let Some(seen) = seen {
            answer.done = seen.done;
            answer.finish = seen.finish;
            answer.error = seen.error;
        }
        let superseded = |e: &serde_json::Value| e["error"]["reason"] == "superseded";
        if answer.done || answer.error.as_ref().is_some_and(|e| !superseded(e)) {
            break;
        }
    }
    answer
}

/// Reads one connection until it ends or stalls.
async fn read_connection(client: &Client, ask: &CallerRequest) -> (Vec<Token>, Option<Seen>) {
    let received = Arc::new(Mutex::new((Vec::new(), Instant::now())));
    let sink = Arc::clone(&received);
    let stream = ask.stream(client, move |token| {
        let mut sink = sink.lock();
        sink.0.push(token.clone());
        sink.1 = Instant::now();
        false
    });
    let stalled = async {
        while received.lock().1.elapsed() < STALL_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let seen = tokio::select! {
        seen = stream => Some(seen),
        () = stalled => None,
    };
    let tokens = received.lock().0.clone();
    (tokens, seen)
}
