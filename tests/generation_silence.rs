//! Generations at sound targets that fall silent again and again.

#[path = "support/engines.rs"]
mod engines;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use endivefork::failure::Failure;
use endivefork::generation::{
    Command, Generation, Generations, Hooks, Input, Lease, Outcome, Target, TargetQuery,
};
use endivefork::http::Client;
use endivefork::target::engine::{Phase, Position, Refusal};
use engines::{Seen, read, start};
use smol_str::format_smolstr;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Tokens up to which each attempt comes before its target falls silent.
const ROUNDS: u64 = 12;

fn failed(commands: &[Command]) -> bool {
    let failed = |c: &Command| matches!(c, Command::Finish(Outcome::Failed(_)));
    commands.iter().any(failed)
}

/// Starts an attempt, which brings one token, and lets its target fall silent. Returns whether the
/// generation has failed.
fn play_round(generation: &mut Generation, now: Instant) -> bool {
    let mut commands = generation.apply(0, Input::Tick, now);
    let (attempt, next) = (generation.attempt(), generation.next());
    let token = Input::Token(next, format_smolstr!(" t{next}"));
    for input in [Input::Opened, token] {
        commands.extend(generation.apply(attempt, input, now));
    }
    let later = generation.wake();
    commands.extend(generation.apply(attempt, Input::Tick, later));
    let silent = Input::NoPosition(Refusal::Silent);
    commands.extend(generation.apply(attempt, silent, later));
    failed(&commands)
}

#[test]
fn silences_do_not_count_as_lost_targets() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let mut generation = Generation::new(0, deadline, now);

    let rounds = (0..ROUNDS).map(|n| now + Duration::from_secs(2 * n));
    let ended = rounds.filter(|at| play_round(&mut generation, *at)).count();

    assert_eq!((ended, generation.next()), (0, ROUNDS));
    assert!(failed(&generation.apply(0, Input::Tick, deadline)));
}

/// Starts an attempt, which brings one token, and lets it stall while its target reports its position.
/// Returns whether the generation has failed.
fn play_stall(generation: &mut Generation, now: Instant) -> bool {
    let mut commands = generation.apply(0, Input::Tick, now);
    let (attempt, next) = (generation.attempt(), generation.next());
    let token = Input::Token(next, format_smolstr!(" t{next}"));
    for input in [Input::Opened, token] {
        commands.extend(generation.apply(attempt, input, now));
    }
    let later = now + Duration::from_secs(4);
    commands.extend(generation.apply(attempt, Input::Tick, later));
    let position = Position {
        state: Phase::Running,
        next: next + 1,
    };
    commands.extend(generation.apply(attempt, Input::Position(position), later));
    failed(&commands)
}

#[test]
fn stalls_do_not_count_as_lost_targets() {
    let now = Instant::now();
    let mut generation = Generation::new(0, now + Duration::from_secs(120), now);

    let rounds = (0..ROUNDS).map(|n| now + Duration::from_secs(5 * n));
    let ended = rounds.filter(|at| play_stall(&mut generation, *at)).count();

    assert_eq!((ended, generation.next()), (0, ROUNDS));
}

/// Silence of an engine: longer than a start or a probe may take.
const SILENCE: Duration = Duration::from_millis(1300);

/// When an engine falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Point {
    Start,
    /// While the attempt waits for its first token.
    Probe,
}

/// Starts an engine that is silent once in each attempt and counts the attempts.
async fn engine(point: Point) -> (Target, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let attempts = Arc::<AtomicUsize>::default();
    let count = Arc::clone(&attempts);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, point, Arc::clone(&count)));
        }
    });
    let name = "engine".into();
    (Target { name, addr }, attempts)
}

async fn answer(mut stream: TcpStream, point: Point, attempts: Arc<AtomicUsize>) -> Option<()> {
    let mut call = vec![0; 8192];
    let size = stream.read(&mut call).await.ok()?;
    let is_start = call[..size].starts_with(b"POST");
    attempts.fetch_add(usize::from(is_start), Ordering::Relaxed);
    if !is_start || point == Point::Start {
        sleep(SILENCE).await;
    }
    if !is_start {
        let position =
            b"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"state\":\"queued\",\"next\":0}";
        return stream.write_all(position).await.ok();
    }
    let head = b"HTTP/1.1 200 OK\r\n\r\n{\"next\":0}\n";
    stream.write_all(head).await.ok()?;
    if point == Point::Probe {
        sleep(Duration::from_secs(1) + SILENCE).await;
    }
    let rest = b"{\"i\":0,\"t\":\"a\"}\n{\"end\":\"stop\",\"n\":1}\n";
    stream.write_all(rest).await.ok()
}

/// Runs a generation at an engine that is silent once. Returns what its reader got and the number of
/// attempts.
async fn generate(point: Point, has_retry: bool, has_other: bool) -> (Seen, usize) {
    let (target, attempts) = engine(point).await;
    let choose = move |query: &TargetQuery<'_>| match has_other || query.excluded.is_empty() {
        true => Ok(Lease {
            target: target.clone(),
            guard: Box::new(()),
        }),
        false => Err(Failure::not_run(503, "no_target", "none")),
    };
    let hooks = Hooks {
        retry: Box::new(move |_| has_retry),
        ..Hooks::with_choose(choose)
    };
    let generations = Generations::new(hooks, Client::new());
    let mut reader = generations.open(start("k", "p", 10), None).await.unwrap();
    let seen = read(&mut reader, usize::MAX).await;
    (seen, attempts.load(Ordering::Relaxed))
}

#[tokio::test]
async fn silence_before_the_first_token_fails_no_generation_without_another_attempt() {
    for point in [Point::Start, Point::Probe] {
        for (has_retry, has_other) in [(false, true), (true, false)] {
            let (seen, attempts) = generate(point, has_retry, has_other).await;

            let case = (point, has_retry, has_other);
            assert_eq!(seen.total, Some(1), "{case:?}: {seen:?}");
            assert_eq!(attempts, 1, "{case:?}");
        }
    }
}

#[tokio::test]
async fn silent_target_is_left_for_another_one_while_a_retry_is_left() {
    let limit = Duration::from_secs(3);
    let (target, attempts) = engine(Point::Start).await;
    let hooks = Hooks::with_choose(move |_| {
        Ok(Lease {
            target: target.clone(),
            guard: Box::new(()),
        })
    });
    let generations = Generations::new(hooks, Client::new());
    let mut reader = generations.open(start("k", "p", 10), None).await.unwrap();

    let _ = tokio::time::timeout(limit, read(&mut reader, usize::MAX)).await;

    assert!(attempts.load(Ordering::Relaxed) > 1);
}
