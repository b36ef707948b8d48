use std::time::Instant;

use smol_str::SmolStr;

use crate::relay::missed_runs::MissedRuns;
use crate::relay::run_location::{RunId, RunKey, RunLocation};

fn run(id: u64) -> RunLocation {
    RunLocation::without_copy(RunKey {
        digest: 1,
        id: RunId(id),
        follows: None,
    })
}

#[test]
fn peer_is_sent_the_runs_that_it_has_missed() {
    let now = Instant::now();
    let both: [SmolStr; 2] = ["a".into(), "b".into()];
    let mut missed = MissedRuns::default();
    let own = || vec![run(0)];
    let first = missed.take(&both, &[run(1)], own, now);
    assert_eq!(
        first,
        [vec![run(0)], vec![run(0)]],
        "a new peer has missed all"
    );

    missed.put_back("a", &[run(1)]);
    assert_eq!(missed.take(&both[1..], &[run(2)], own, now), [vec![]]);

    let taken = missed.take(&both, &[run(3)], own, now);
    assert_eq!(taken, [vec![run(1), run(2)], vec![]]);
}
