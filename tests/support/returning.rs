//! Callers that return elsewhere when their connection breaks or goes silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivefork::http::Client;
use parking_lot::Mutex;

use super::caller::{Ask, Seen, Token};

/// A caller gives a connection up when it is silent this long.
const SILENCE: Duration = Duration::from_secs(2);

/// Most returns of one caller.
const RETURNS: usize = 8;

/// What a caller got over all its connections.
#[derive(Debug, Default)]
pub struct Story {
    pub tokens: Vec<Token>,
    pub done: bool,
    pub finish: Option<String>,
    pub error: Option<serde_json::Value>,
    /// Time from each return to the first token after it.
    pub returns: Vec<Duration>,
}

impl Story {
    /// Panics unless the answer is whole, in order and made of the stand-in's tokens.
    pub fn assert_exact(&self, prompt: &str, total: u64, token: impl Fn(&str, u64) -> String) {
        assert!(self.done, "{prompt}: not whole: {:?}", self.error);
        assert_eq!(self.tokens.len() as u64, total, "{prompt}");
        for (i, seen) in self.tokens.iter().enumerate() {
            assert_eq!(seen.id, i as u64, "{prompt}: order");
            assert_eq!(seen.text, token(prompt, i as u64), "{prompt}: token {i}");
        }
    }

    /// The longest time between two tokens.
    pub fn worst_gap(&self) -> Duration {
        let gaps = self.tokens.windows(2).map(|w| w[1].at - w[0].at);
        gaps.max().unwrap_or_default()
    }
}

/// Sends `ask` and follows its answer to the end, going to the next of `entries` whenever the
/// connection breaks or goes silent.
pub async fn follow(client: &Client, ask: Ask, entries: &[SocketAddr]) -> Story {
    let mut story = Story::default();
    let first = entries.iter().position(|e| *e == ask.addr).unwrap_or(0);
    for turn in 0..=RETURNS {
        let mut ask = ask.clone().at(entries[(first + turn) % entries.len()]);
        ask.last = story.tokens.last().map(|t| t.id);
        let begun = Instant::now();
        let (tokens, seen) = listen(client, &ask).await;
        if let Some(token) = tokens.first().filter(|_| turn > 0) {
            story.returns.push(token.at - begun);
        }
        story.tokens.extend(tokens);
        if let Some(seen) = seen {
            story.done = seen.done;
            story.finish = seen.finish;
            story.error = seen.error;
        }
        let superseded = |e: &serde_json::Value| e["error"]["reason"] == "superseded";
        if story.done || story.error.as_ref().is_some_and(|e| !superseded(e)) {
            break;
        }
    }
    story
}

/// Reads one connection until it ends or goes silent.
async fn listen(client: &Client, ask: &Ask) -> (Vec<Token>, Option<Seen>) {
    let heard = Arc::new(Mutex::new((Vec::new(), Instant::now())));
    let sink = Arc::clone(&heard);
    let stream = ask.stream(client, move |token| {
        let mut sink = sink.lock();
        sink.0.push(token.clone());
        sink.1 = Instant::now();
        false
    });
    let silent = async {
        while heard.lock().1.elapsed() < SILENCE {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let seen = tokio::select! {
        seen = stream => Some(seen),
        () = silent => None,
    };
    let tokens = heard.lock().0.clone();
    (tokens, seen)
}
