//! State machine of one generation under random and chosen orders of inputs.
//!
//! Guards against tokens that are lost, repeated or taken from an outdated attempt, against
//! generations that never end, and against targets that are given up while they still answer.

use std::time::Duration;

use endivefork::generation::{Command, GapEstimator, Generation, Input, Loss, Outcome};
use endivefork::target::engine::{Phase, Position, Reason, Refusal};
use proptest::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

/// Tokens of the complete answer.
const TOTAL: u64 = 12;

/// A random input from the driver.
#[derive(Clone, Debug)]
enum Step {
    Opened,
    Token { back: u64, ahead: u64 },
    OldToken(u64),
    End(bool),
    EngineError,
    Disconnected,
    Refused(u8),
    Position(u8, u64),
    NoPosition(bool),
    NoTarget,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Opened),
        8 => (0_u64..2, 0_u64..2).prop_map(|(back, ahead)| Step::Token { back, ahead }),
        2 => (0..TOTAL).prop_map(Step::OldToken),
        1 => any::<bool>().prop_map(Step::End),
        1 => Just(Step::EngineError),
        2 => Just(Step::Disconnected),
        2 => (0_u8..5).prop_map(Step::Refused),
        2 => (0_u8..4, 0..TOTAL).prop_map(|(state, next)| Step::Position(state, next)),
        1 => any::<bool>().prop_map(Step::NoPosition),
        1 => Just(Step::NoTarget),
        6 => (0_u64..1500).prop_map(Step::Wait),
    ]
}

fn text(index: u64) -> SmolStr {
    format_smolstr!(" t{index}")
}

fn input(step: &Step, next: u64) -> Input {
    match *step {
        Step::Opened => Input::Opened,
        Step::Token { back, ahead } => {
            let index = (next + ahead).saturating_sub(back);
            Input::Token(index, text(index))
        }
        Step::OldToken(index) => Input::Token(index, "crossed".into()),
        Step::End(true) => Input::Ended(Reason::Length, next),
        Step::End(false) => Input::Ended(Reason::Length, next + 1),
        Step::EngineError => Input::EngineError("internal".into()),
        Step::Disconnected => Input::Disconnected,
        Step::Refused(kind) => Input::Refused(refusal(kind)),
        Step::Position(state, next) => Input::Position(Position {
            state: [Phase::Queued, Phase::Running, Phase::Done, Phase::Cancelled][state as usize],
            next,
        }),
        Step::NoPosition(true) => Input::NoPosition(Refusal::Silent),
        Step::NoPosition(false) => Input::NoPosition(Refusal::Unsent),
        Step::NoTarget => Input::NoTarget(endivefork::failure::Failure::not_run(
            503,
            "no_target",
            "none",
        )),
        Step::Wait(_) => Input::Tick,
    }
}

fn refusal(kind: u8) -> Refusal {
    match kind {
        0 => Refusal::Unsent,
        1 => Refusal::Lost,
        2 => Refusal::Silent,
        3 => Refusal::Unknown,
        _ => Refusal::NotRun("full".into()),
    }
}

/// Seed of all random cases.
const SEED: u64 = 4;

fn config() -> ProptestConfig {
    println!("seed {SEED}");
    ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn tokens_are_delivered_in_order_once_and_only_from_the_newest_attempt(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut now = Instant::now();
        let deadline = now + Duration::from_secs(60);
        let mut generation = Generation::new(0, deadline, now);
        let mut delivered = 0;
        let mut finished = 0;
        let mut newest = 0;
        for step in &steps {
            if let Step::Wait(ms) = step {
                now += Duration::from_millis(*ms);
            }
            let attempt = match step {
                Step::OldToken(_) => newest + 1000,
                _ => generation.attempt(),
            };
            let ended = finished > 0;
            for command in generation.apply(attempt, input(step, delivered), now) {
                prop_assert!(!ended, "{command:?} after the end");
                match command {
                    Command::Deliver(token) => {
                        prop_assert_eq!(token, text(delivered));
                        delivered += 1;
                    }
                    Command::Start(number) => {
                        prop_assert!(number > newest);
                        newest = number;
                    }
                    Command::Finish(_) => finished += 1,
                    _ => {}
                }
            }
            prop_assert_eq!(generation.next(), delivered);
            prop_assert!(finished <= 1);
        }
    }

    #[test]
    fn generation_always_ends_without_further_input(
        steps in proptest::collection::vec(step(), 0..40),
    ) {
        let mut now = Instant::now();
        let deadline = now + Duration::from_secs(60);
        let mut generation = Generation::new(0, deadline, now);
        let mut ended = false;
        for step in &steps {
            let attempt = generation.attempt();
            let next = generation.next();
            let commands = generation.apply(attempt, input(step, next), now);
            ended |= commands.iter().any(|c| matches!(c, Command::Finish(_)));
        }
        while !ended && now < deadline + Duration::from_secs(1) {
            now = generation.wake().max(now + Duration::from_millis(1));
            let commands = generation.apply(generation.attempt(), Input::Tick, now);
            ended = commands.iter().any(|c| matches!(c, Command::Finish(_)));
        }
        prop_assert!(ended);
    }

    #[test]
    fn silence_timeout_stays_within_its_bounds(gaps in proptest::collection::vec(0_u64..5000, 0..200)) {
        let mut estimator = GapEstimator::default();
        let mut now = Instant::now();
        for gap in gaps {
            now += Duration::from_millis(gap);
            estimator.observe(Duration::from_millis(gap), now);
        }
        let timeout = estimator.timeout();
        prop_assert!(timeout >= Duration::from_millis(300), "{timeout:?}");
        prop_assert!(timeout <= Duration::from_millis(800), "{timeout:?}");
    }
}

/// Returns a generation whose attempt 1 has generated a token.
fn streaming(now: Instant) -> Generation {
    let mut generation = Generation::new(0, now + Duration::from_secs(60), now);
    generation.apply(0, Input::Tick, now);
    generation.apply(1, Input::Opened, now);
    generation.apply(1, Input::Token(0, text(0)), now);
    generation.set_silence_timeout(Duration::from_millis(300));
    generation
}

#[test]
fn silent_target_is_probed_before_it_counts_as_lost() {
    let started = Instant::now();
    let mut generation = streaming(started);

    let now = started + Duration::from_millis(300);
    let probed = generation.apply(1, Input::Tick, now);
    let lost = generation.apply(1, Input::NoPosition(Refusal::Silent), now);

    assert!(matches!(probed[..], [Command::Probe]), "{probed:?}");
    assert!(
        matches!(
            lost[..],
            [Command::ReportLost(Loss::Silent), Command::Cancel(1)]
        ),
        "{lost:?}"
    );
}

#[test]
fn a_target_that_is_ahead_is_read_over_a_new_connection() {
    let started = Instant::now();
    let mut generation = streaming(started);
    let now = started + Duration::from_millis(300);
    generation.apply(1, Input::Tick, now);
    let state = Phase::Running;

    let commands = generation.apply(1, Input::Position(Position { state, next: 5 }), now);

    assert!(matches!(commands[..], [Command::Resume]), "{commands:?}");
    assert_eq!(generation.losses(), 0);
}

#[test]
fn a_slow_target_that_answers_is_kept() {
    let started = Instant::now();
    let mut generation = streaming(started);
    let now = started + Duration::from_millis(300);
    generation.apply(1, Input::Tick, now);
    let state = Phase::Running;

    let commands = generation.apply(1, Input::Position(Position { state, next: 1 }), now);
    let token = generation.apply(1, Input::Token(1, text(1)), now);

    assert!(commands.is_empty(), "{commands:?}");
    assert!(matches!(token[..], [Command::Deliver(_)]), "{token:?}");
}

#[test]
fn end_before_the_last_token_resumes_the_stream() {
    let now = Instant::now();
    let mut generation = streaming(now);

    let early = generation.apply(1, Input::Ended(Reason::Stop, 3), now);
    generation.apply(1, Input::Opened, now);
    let mut rest = generation.apply(1, Input::Token(1, text(1)), now);
    rest.extend(generation.apply(1, Input::Token(2, text(2)), now));
    rest.extend(generation.apply(1, Input::Ended(Reason::Stop, 3), now));

    assert!(matches!(early[..], [Command::Resume]), "{early:?}");
    let last = rest.last();
    assert!(
        matches!(last, Some(Command::Finish(Outcome::Complete(Reason::Stop)))),
        "{last:?}"
    );
}

#[test]
fn unconfirmed_start_whose_connection_broke_is_no_loss() {
    let now = Instant::now();
    let mut generation = Generation::new(0, now + Duration::from_secs(60), now);
    generation.apply(0, Input::Tick, now);

    let broken = generation.apply(1, Input::Refused(Refusal::Lost), now);
    let unknown = generation.apply(1, Input::Refused(Refusal::Unknown), now);
    let again = generation.apply(1, Input::Tick, now);

    assert!(matches!(broken[..], [Command::Resume]), "{broken:?}");
    assert!(unknown.is_empty(), "{unknown:?}");
    assert!(matches!(again[..], [Command::Start(2)]), "{again:?}");
    assert_eq!(generation.losses(), 0);
}

#[test]
fn draining_target_is_no_crash_and_another_is_tried() {
    let now = Instant::now();
    let mut generation = Generation::new(0, now + Duration::from_secs(60), now);
    generation.apply(0, Input::Tick, now);

    let refused = generation.apply(1, Input::Refused(Refusal::NotRun("leaving".into())), now);
    let again = generation.apply(1, Input::Tick, now);

    assert!(
        matches!(refused[..], [Command::ReportLost(Loss::Leaving)]),
        "{refused:?}"
    );
    assert!(matches!(again[..], [Command::Start(2)]), "{again:?}");
}

#[test]
fn generation_without_tokens_fails_after_four_refusals() {
    let now = Instant::now();
    let mut generation = Generation::new(0, now + Duration::from_secs(60), now);
    let mut last = Vec::new();

    for attempt in 1..=4 {
        generation.apply(attempt - 1, Input::Tick, now);
        last = generation.apply(attempt, Input::Refused(Refusal::NotRun("full".into())), now);
    }

    let Some(Command::Finish(Outcome::Failed(failure))) = last.last() else {
        panic!("{last:?}");
    };
    assert_eq!(failure.outcome, endivefork::failure::Certainty::NotRun);
    assert!(failure.retry_after.is_some());
}

#[test]
fn long_gap_is_remembered_at_any_token_rate() {
    let mut now = Instant::now();
    let mut estimator = GapEstimator::default();
    estimator.observe(Duration::from_millis(400), now);

    let initial = estimator.timeout();
    for _ in 0..15_000 {
        now += Duration::from_millis(2);
        estimator.observe(Duration::from_millis(41), now);
    }
    let later = estimator.timeout();
    for _ in 0..30_000 {
        now += Duration::from_millis(10);
        estimator.observe(Duration::from_millis(41), now);
    }

    assert!(initial >= Duration::from_millis(600), "{initial:?}");
    assert!(later >= Duration::from_millis(400), "{later:?}");
    assert!(
        estimator.timeout() < Duration::from_millis(330),
        "{:?}",
        estimator.timeout()
    );
}

#[test]
fn unknown_attempt_of_an_earlier_owner_is_no_crash() {
    let now = Instant::now();
    let mut generation = Generation::attached(5, 2, now + Duration::from_secs(60), now);

    let unknown = generation.apply(2, Input::Refused(Refusal::Unknown), now);
    let again = generation.apply(2, Input::Tick, now);

    assert!(unknown.is_empty(), "{unknown:?}");
    assert!(matches!(again[..], [Command::Start(3)]), "{again:?}");
    assert_eq!(generation.losses(), 0);
}
