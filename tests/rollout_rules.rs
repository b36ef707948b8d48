//! Rules of one move at one instance.

use std::time::{Duration, Instant};

use endivefork::ident::RequestKey;
use endivefork::rollout::{Band, Move, Phase, Proposal, SHARES, Sample, Surroundings, Trial};
use proptest::prelude::*;
use smol_str::SmolStr;

const WALL: u64 = 1_700_000_000_000;
const WHOLE: Duration = Duration::from_secs(1000);

fn plan() -> Move {
    let finish = WALL + WHOLE.as_millis() as u64;
    Move::new("m", "llm", "old", "new", WALL, finish, 1.0)
}

fn trial(name: &str, base: Instant) -> Trial {
    Trial::new(name, 1, 1, plan(), base)
}

fn three_live() -> Surroundings {
    Surroundings {
        live: ["a", "b", "c"].map(SmolStr::new_static).to_vec(),
        platform: true,
    }
}

fn fail(trial: &mut Trial, count: usize) {
    for _ in 0..count {
        trial.record("new", "chat", Band::Low, Sample::Failed);
    }
}

/// Ticks `trial` until the end of the move's time while `peers` keep telling it.
fn run(
    trial: &mut Trial,
    peers: &mut [Trial],
    base: Instant,
    around: &Surroundings,
) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    for s in 1..WHOLE.as_secs() {
        let (now, wall) = (base + Duration::from_secs(s), WALL + s * 1000);
        for peer in peers.iter_mut() {
            trial.merge(&peer.snapshot(0, wall), now);
        }
        proposals.extend(trial.tick(now, wall, around));
    }
    proposals
}

#[test]
fn an_instance_that_is_cut_off_from_most_others_never_advances() {
    let base = Instant::now();
    let mut alone = trial("a", base);
    let mut joined = trial("a", base);

    let cut = run(&mut alone, &mut [], base, &three_live());
    let whole = run(&mut joined, &mut [trial("b", base)], base, &three_live());

    assert!(cut.is_empty(), "{cut:?}");
    assert!(matches!(whole.first(), Some(Proposal::Advance(_))));
}

#[test]
fn an_instance_without_the_platform_never_advances() {
    let base = Instant::now();
    let mut trial = trial("a", base);
    let around = Surroundings {
        platform: false,
        ..three_live()
    };

    let proposals = run(&mut trial, &mut [self::trial("b", base)], base, &around);

    assert!(proposals.is_empty(), "{proposals:?}");
}

#[test]
fn an_instance_that_is_cut_off_withdraws_by_its_own_evidence() {
    let base = Instant::now();
    let mut trial = trial("a", base);
    fail(&mut trial, 10);

    let proposal = trial.tick(base, WALL, &Surroundings::default());

    assert!(
        matches!(proposal, Some(Proposal::Withdraw(_))),
        "{proposal:?}"
    );
    assert_eq!(trial.version_for(RequestKey(0)), "old");
}

#[test]
fn a_peer_takes_over_a_withdrawal_before_it_is_stored() {
    let base = Instant::now();
    let (mut first, mut second) = (trial("a", base), trial("b", base));
    fail(&mut first, 10);
    first.tick(base, WALL, &Surroundings::default());

    second.merge(&first.snapshot(0, WALL), base);

    assert!(second.withdrawn().is_some());
    assert_eq!(second.version_for(RequestKey(0)), "old");
}

#[test]
fn evidence_that_comes_twice_or_late_counts_once() {
    let base = Instant::now();
    let mut peer = trial("b", base);
    fail(&mut peer, 1);
    let first = peer.snapshot(0, WALL);
    fail(&mut peer, 1);
    let second = peer.snapshot(0, WALL);
    let suspicion = |snapshots: &[_]| {
        let mut trial = trial("a", base);
        for snapshot in snapshots {
            trial.merge(snapshot, base);
        }
        trial.tick(base, WALL, &Surroundings::default());
        trial.suspicion()
    };

    let once = suspicion(std::slice::from_ref(&second));
    let again = suspicion(&[second.clone(), first.clone(), second, first]);

    assert_eq!(once, again);
}

#[test]
fn a_clock_far_ahead_at_one_instance_hurries_nothing() {
    let base = Instant::now();
    let mut wrong = trial("a", base);
    let mut peers = [trial("b", base), trial("c", base)];
    let ahead = WALL + WHOLE.as_millis() as u64;

    let mut proposals = Vec::new();
    for s in 1..100 {
        let now = base + Duration::from_secs(s);
        for peer in &mut peers {
            wrong.merge(&peer.snapshot(0, WALL + s * 1000), now);
        }
        proposals.extend(wrong.tick(now, ahead + s * 1000, &three_live()));
    }

    assert!(proposals.is_empty(), "{proposals:?}");
}

#[test]
fn an_ended_move_never_runs_again_and_a_step_never_falls() {
    let base = Instant::now();
    let with = |phase, step| Move {
        phase,
        step,
        ..plan()
    };
    let mut trial = trial("a", base);

    trial.observe(3, &with(Phase::Advancing, 4), base);
    trial.observe(2, &with(Phase::Advancing, 5), base);
    trial.observe(4, &with(Phase::Advancing, 1), base);
    assert_eq!((trial.rev(), trial.stored().step), (3, 4));
    trial.observe(5, &with(Phase::Withdrawn, 4), base);
    trial.observe(6, &with(Phase::Advancing, 5), base);

    assert_eq!(trial.stored().phase, Phase::Withdrawn);
    assert!(!with(Phase::Done, 6).may_follow(&with(Phase::Withdrawn, 6)));
}

proptest! {
    /// A repeat of a request stays on its version while the share grows.
    #[test]
    fn a_key_never_goes_back_while_the_share_grows(key in any::<u128>()) {
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
