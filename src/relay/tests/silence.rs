use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::relay::retries::{Allowance, Coverage, Loan, RetryBudget, Usage};
use crate::relay::silence::{RetryShare, Silence};

#[test]
fn short_silence_leaves_what_a_loss_would_need() {
    let (short, long) = (Duration::from_millis(1500), Duration::from_secs(4));
    let cases = [
        (short, true, 0, None),
        (short, true, 1, None),
        (short, true, 2, Some(RetryShare::Spare)),
        (short, false, 4, None),
        (long, true, 0, None),
        (long, true, 1, Some(RetryShare::SpareOrLoan)),
        (long, true, 4, Some(RetryShare::SpareOrLoan)),
        (long, false, 4, None),
    ];

    for (time, is_repeatable, attempts_left, expected) in cases {
        let silence = Silence {
            time,
            is_repeatable,
            attempts_left,
        };
        assert_eq!(silence.may_move().ok(), expected, "{silence:?}");
    }
}

#[test]
fn silences_leave_a_part_of_the_retry_budget() {
    let now = Instant::now();
    let allowance = Allowance {
        ratio: 0.0,
        slack: 25.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::new(allowance, now);
    let service = SmolStr::from("llm");

    let spare = (0..100).filter(|_| budget.take_spare(&service, Some(1), now));
    let spare = spare.count();
    let rest = (0..100)
        .filter(|_| budget.take(&service, Some(1), now))
        .count();

    assert_eq!((spare, rest), (10, 10));
}

/// Retries that a fleet takes within a window beside silences at all its instances, each of which
/// tries `take` ten times a second. Usage is known to all a second later.
fn retries_beside_silences(take: impl Fn(&mut [RetryBudget], usize, Instant) -> bool) -> usize {
    const INSTANCES: usize = 12;
    const STEP: Duration = Duration::from_millis(100);
    let base = Instant::now();
    let allowance = Allowance {
        ratio: 0.0,
        slack: 250.0,
        window: Duration::from_secs(10),
    };
    let mut fleet: Vec<_> = (0..INSTANCES as u64)
        .map(|n| RetryBudget::new(allowance, base).salted(n))
        .collect();
    let mut sums = vec![0; 11];
    let mut taken = 0;
    for step in 1..=95 {
        let now = base + STEP * step;
        let known = Usage {
            service: "llm".into(),
            requests: 0,
            retries: sums[sums.len() - 11],
        };
        for one in &mut fleet {
            let of = Coverage {
                members: INSTANCES as u32,
                settled: INSTANCES as u32,
                known: INSTANCES,
            };
            one.set_fleet_usage(vec![known.clone()], of, now);
        }
        for n in 0..INSTANCES {
            taken += usize::from(take(&mut fleet, n, now));
        }
        sums.push(taken as u32);
    }
    taken
}

/// Half of the 200 retries that 250 allow.
const SPARE_MAX: usize = 100;

#[test]
fn silences_leave_a_part_of_the_retry_budget_of_a_fleet() {
    let service = SmolStr::from("llm");

    let taken =
        retries_beside_silences(|fleet, n, now| fleet[n].take_spare(&service, Some(12), now));

    assert!((20..=SPARE_MAX).contains(&taken), "{taken}");
}

#[test]
fn silences_leave_a_part_of_the_loans_of_a_fleet() {
    let service = SmolStr::from("llm");
    let loan = Loan {
        service: service.clone(),
        spare: true,
    };

    let taken = retries_beside_silences(|fleet, n, now| {
        let is_taken = fleet[n].take_spare(&service, Some(12), now);
        let is_lent =
            !is_taken && fleet[n].may_borrow_spare(&service, now) && fleet[0].lend(&loan, 12, now);
        if is_lent {
            fleet[n].record_retry(&service, now);
        }
        is_taken || is_lent
    });

    // Until its usage is known, the fleet may lend as many again as it takes.
    assert!(
        (SPARE_MAX / 2..=SPARE_MAX * 5 / 4).contains(&taken),
        "{taken}"
    );
}
