//! Generations at sound targets that fall silent again and again.

use std::time::Duration;

use endivefork::generation::{Command, Generation, Input, Outcome};
use endivefork::target::engine::Refusal;
use smol_str::format_smolstr;
use tokio::time::Instant;

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
