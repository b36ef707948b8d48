//! Generations whose next attempt answers with something other than the rest of the tokens.

#[path = "support/engines.rs"]
mod engines;
#[path = "support/entries.rs"]
mod entries;
#[path = "support/heads.rs"]
mod heads;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use endivefork::generation::{Generations, Hooks, Lease, Target};
use endivefork::http::Client;
use engines::engine::options::Options;
use engines::{Fleet, Seen, read, start};
use heads::cut_answers;
use smol_str::{SmolStr, format_smolstr};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Tokens of the whole answer, and those that the first attempt sends before it is reset.
const TOKENS: u64 = 6;
const SENT: u64 = 3;

const OK: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// Answers that do not continue after the third token.
const FAULTS: [&str; 17] = [
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"error\":\"oops\"}",
    "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n<p>oops</p>\n\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\n{\"message\":\"oops\"}\n{\"i\":3,\"t\":\"oops\"}\n",
    "HTTP/1.1 200 OK\r\n\r\n{\"error\":\"oops\"}\n",
    "HTTP/1.1 200 OK\r\n\r\n{\"error\":\"oops\"}\n{\"i\":3,\"t\":\"oops\"}\n",
    "HTTP/1.1 200 OK\r\n\r\n{\"error\":\"oops\"}\n{\"end\":\"stop\",\"n\":3}\n",
    "HTTP/1.1 200 OK\r\n\r\n{\"next\":3}\n{\"i\":9,\"t\":\"oops\"}\n{\"i\":9,\"t\":\"oops\"}\n{\"i\":3,\"t\":\"oops\"}\n",
    "HTTP/1.1 200 OK\r\n\r\n{\"next\":0}\n{\"i\":0,\"t\":\"oops\"}\n{\"i\":1,\"t\":\"oops\"}\n{\"end\":\"stop\",\"n\":2}\n",
    "HTTP/1.1 200 OK\r\n\r\n{\"next\":3}\n{\"i\":3,\"t\":\"oops\"",
    "HTTP/1.1 200 OK\r\n\r\n{\"next\":3}\n{\"end\":\"stop\",\"n\":9}\n",
    "HTTP/1.1 400 oops\r\nContent-Length: 16\r\n\r\n{\"error\":\"oops\"}",
    "HTTP/1.1 500 oops\r\n\r\n{\"i\":3,\"t\":\"oops\"}\n",
    "HTTP/1.1 503 oops\r\n\r\n{\"error\":\"oops\",\"not_run\":true}",
    "HTTP/1.1 302 oops\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 500 oo",
    "oops\r\n\r\n",
];

fn text(index: u64) -> SmolStr {
    format_smolstr!("t{index}")
}

/// The lines of a stream from the third token on.
fn rest() -> String {
    let end = format!("{{\"end\":\"stop\",\"n\":{TOKENS}}}\n");
    format!("{{\"next\":{SENT}}}\n{}{end}", tokens(SENT, TOKENS))
}

fn tokens(from: u64, until: u64) -> String {
    let line = |i| format!("{{\"i\":{i},\"t\":\"{}\"}}\n", text(i));
    (from..until).map(line).collect()
}

/// Which call of the generation gets the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Resume,
    NextAttempt,
    /// The first one of another instance, whose predecessor was lost during the first attempt.
    Takeover,
}

/// Starts an engine that answers the first attempt with three tokens and a reset, `at` with `fault`,
/// and later attempts with the rest.
async fn engine(fault: &'static str, at: Call) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let attempts = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, Arc::clone(&attempts), fault, at));
        }
    });
    Target {
        name: "engine".into(),
        addr,
    }
}

async fn answer(
    mut stream: TcpStream,
    attempts: Arc<AtomicUsize>,
    fault: &'static str,
    at: Call,
) -> Option<()> {
    let mut call = vec![0; 8192];
    let size = stream.read(&mut call).await.ok()?;
    let is_attempt = call[..size].starts_with(b"POST");
    let is_resume = call[..size].starts_with(b"GET");
    let number = match is_attempt {
        true => attempts.fetch_add(1, Ordering::Relaxed),
        false => 0,
    };
    let text = match number {
        0 if is_attempt => format!("{OK}{{\"next\":0}}\n{}", tokens(0, SENT)),
        0 if is_resume && at != Call::NextAttempt => fault.to_owned(),
        0 => return None,
        1 if at == Call::NextAttempt => fault.to_owned(),
        _ => format!("{OK}{}", rest()),
    };
    stream.write_all(text.as_bytes()).await.ok()?;
    let is_open = at == Call::Takeover && number == 0 && is_attempt;
    let pause = if is_open { 10_000 } else { 30 };
    tokio::time::sleep(Duration::from_millis(pause)).await;
    if number == 0 && is_attempt {
        stream.set_zero_linger().ok()?;
    }
    Some(())
}

async fn generate(fault: &'static str, at: Call) -> Seen {
    let target = engine(fault, at).await;
    let hooks = Hooks {
        choose: Box::new(move |_| {
            Ok(Lease {
                target: target.clone(),
                guard: Box::new(()),
            })
        }),
        observe: Box::new(|_, _, _| {}),
        retry: Box::new(|_| true),
    };
    let generations = Generations::new(hooks, Client::new());
    let mut reader = generations.open(start("k", "p", 10), None).await.unwrap();
    let seen = read(&mut reader, usize::MAX);
    tokio::time::timeout(Duration::from_secs(20), seen)
        .await
        .unwrap()
}

#[tokio::test]
async fn error_of_the_next_attempt_does_not_get_into_a_generation() {
    let expected: Vec<_> = (0..TOKENS).map(|i| (i, text(i))).collect();
    let cuts = cut_answers("", &rest()).into_iter();
    let cuts = cuts.map(|cut| &*cut.leak());
    let faults: Vec<_> = FAULTS.into_iter().chain(cuts).collect();
    let mut defects = Vec::new();
    for at in [Call::NextAttempt, Call::Resume] {
        for &fault in &faults {
            let seen = generate(fault, at).await;

            if seen.tokens != expected || seen.total != Some(TOKENS) {
                defects.push(format!("{at:?} {fault:?}\n    -> {seen:?}"));
            }
        }
    }
    assert!(
        defects.is_empty(),
        "{}:\n{}",
        defects.len(),
        defects.join("\n")
    );
}

/// Loses the instance of a generation after three tokens, and reads on at another one.
async fn take_over(fault: &'static str) -> Seen {
    let target = engine(fault, Call::Takeover).await;
    let mut fleet = Fleet::start(0, &Options::default()).await;
    let targets = &mut Arc::get_mut(&mut fleet).unwrap().targets;
    targets.extend((0..4).map(|i| Target {
        name: format_smolstr!("engine-{i}"),
        ..target.clone()
    }));
    let mut entries = entries::entries(&fleet, 2).await;
    let mut reader = entries[0].open(start("k", "p", 10), None).await;
    read(&mut reader, SENT as usize).await;

    entries[0].kill();
    let mut reader = entries[1].open(start("k", "p", 10), Some(SENT - 1)).await;
    let seen = read(&mut reader, usize::MAX);
    tokio::time::timeout(Duration::from_secs(20), seen)
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn error_after_a_takeover_does_not_get_into_a_generation() {
    let expected: Vec<_> = (SENT..TOKENS).map(|i| (i, text(i))).collect();
    for fault in FAULTS {
        let seen = take_over(fault).await;

        assert_eq!(seen.tokens, expected, "{fault:?}: {seen:?}");
        assert_eq!(seen.total, Some(TOKENS), "{fault:?}: {seen:?}");
    }
}
