//! Rules for the evaluation of one move at one instance.

use std::time::{Duration, Instant};

use endivefork::ident::RequestKey;
use endivefork::rollout::{Band, ClusterState, Evaluator, Move, Phase, Proposal, SHARES, Sample};
use proptest::prelude::*;
use smol_str::SmolStr;

/// Unix milliseconds at the start of the move.
const START_MS: u64 = 1_700_000_000_000;
const DURATION: Duration = Duration::from_secs(1000);

fn plan() -> Move {
    let finish = START_MS + DURATION.as_millis() as u64;
    Move::new("m", "llm", "old", "new", START_MS, finish, 1.0)
}

fn evaluator(name: &str, base: Instant) -> Evaluator {
    Evaluator::new(name, 1, 1, plan(), base)
}

fn three_live() -> ClusterState {
    ClusterState {
        live_instances: ["a", "b", "c"].map(SmolStr::new_static).to_vec(),
        platform_up: true,
    }
}

fn fail(evaluator: &mut Evaluator, count: usize) {
    for _ in 0..count {
        evaluator.record("new", "chat", Band::Low, Sample::Failed);
    }
}

/// Ticks `evaluator` once a second until the deadline of the move, with a snapshot from each of
/// `peers` before every tick.
fn run(
    evaluator: &mut Evaluator,
    peers: &mut [Evaluator],
    base: Instant,
    cluster: &ClusterState,
) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    for s in 1..DURATION.as_secs() {
        let (now, wall_ms) = (base + Duration::from_secs(s), START_MS + s * 1000);
        for peer in peers.iter_mut() {
            evaluator.merge(&peer.snapshot(0, wall_ms), now);
        }
        proposals.extend(evaluator.tick(now, wall_ms, cluster));
    }
    proposals
}

#[test]
fn an_instance_without_a_majority_never_advances() {
    let base = Instant::now();
    let mut isolated = evaluator("a", base);
    let mut connected = evaluator("a", base);

    let without = run(&mut isolated, &mut [], base, &three_live());
    let with = run(
        &mut connected,
        &mut [evaluator("b", base)],
        base,
        &three_live(),
    );

    assert!(without.is_empty(), "{without:?}");
    assert!(matches!(with.first(), Some(Proposal::Advance(_))));
}

#[test]
fn an_instance_without_the_platform_never_advances() {
    let base = Instant::now();
    let mut evaluator = evaluator("a", base);
    let cluster = ClusterState {
        platform_up: false,
        ..three_live()
    };

    let proposals = run(
        &mut evaluator,
        &mut [self::evaluator("b", base)],
        base,
        &cluster,
    );

    assert!(proposals.is_empty(), "{proposals:?}");
}

#[test]
fn an_isolated_instance_rolls_back_on_its_own_evidence() {
    let base = Instant::now();
    let mut evaluator = evaluator("a", base);
    fail(&mut evaluator, 10);

    let proposal = evaluator.tick(base, START_MS, &ClusterState::default());

    assert!(
        matches!(proposal, Some(Proposal::Withdraw(_))),
        "{proposal:?}"
    );
    assert_eq!(evaluator.version_for(RequestKey(0)), "old");
}

#[test]
fn a_peer_applies_a_rollback_before_it_is_stored() {
    let base = Instant::now();
    let (mut first, mut second) = (evaluator("a", base), evaluator("b", base));
    fail(&mut first, 10);
    first.tick(base, START_MS, &ClusterState::default());

    second.merge(&first.snapshot(0, START_MS), base);

    assert!(second.withdrawn().is_some());
    assert_eq!(second.version_for(RequestKey(0)), "old");
}

#[test]
fn duplicate_and_reordered_snapshots_count_once() {
    let base = Instant::now();
    let mut peer = evaluator("b", base);
    fail(&mut peer, 1);
    let first = peer.snapshot(0, START_MS);
    fail(&mut peer, 1);
    let second = peer.snapshot(0, START_MS);
    let evidence = |snapshots: &[_]| {
        let mut evaluator = evaluator("a", base);
        for snapshot in snapshots {
            evaluator.merge(snapshot, base);
        }
        evaluator.tick(base, START_MS, &ClusterState::default());
        evaluator.max_ln_evidence()
    };

    let once = evidence(std::slice::from_ref(&second));
    let again = evidence(&[second.clone(), first.clone(), second, first]);

    assert_eq!(once, again);
}

#[test]
fn one_clock_far_ahead_does_not_advance_a_move() {
    let base = Instant::now();
    let mut ahead = evaluator("a", base);
    let mut peers = [evaluator("b", base), evaluator("c", base)];
    let ahead_ms = START_MS + DURATION.as_millis() as u64;

    let mut proposals = Vec::new();
    for s in 1..100 {
        let now = base + Duration::from_secs(s);
        for peer in &mut peers {
            ahead.merge(&peer.snapshot(0, START_MS + s * 1000), now);
        }
        proposals.extend(ahead.tick(now, ahead_ms + s * 1000, &three_live()));
    }

    assert!(proposals.is_empty(), "{proposals:?}");
}

#[test]
fn an_ended_move_never_restarts_and_a_step_never_decreases() {
    let base = Instant::now();
    let with = |phase, step| Move {
        phase,
        step,
        ..plan()
    };
    let mut evaluator = evaluator("a", base);

    evaluator.observe(3, &with(Phase::Advancing, 4), base);
    evaluator.observe(2, &with(Phase::Advancing, 5), base);
    evaluator.observe(4, &with(Phase::Advancing, 1), base);
    assert_eq!((evaluator.rev(), evaluator.stored().step), (3, 4));
    evaluator.observe(5, &with(Phase::Withdrawn, 4), base);
    evaluator.observe(6, &with(Phase::Advancing, 5), base);

    assert_eq!(evaluator.stored().phase, Phase::Withdrawn);
    assert!(!with(Phase::Done, 6).may_follow(&with(Phase::Withdrawn, 6)));
}

proptest! {
    /// A repeated request stays on the new version while the share grows.
    #[test]
    fn a_key_never_returns_to_the_old_version_while_the_share_grows(key in any::<u128>()) {
        let key = RequestKey(key);
        let mut moved = false;
        for step in 0..SHARES.len() as u32 {
            let now = Move { step, ..plan() };
            let new = now.version_for(key) == "new";
            prop_assert!(new || !moved);
            moved = new;
        }
    }
}
