use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::relay::retries::{Allowance, RetryBudget};
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

    let spare = (0..100).filter(|_| budget.take_spare(&service, 1, now));
    let spare = spare.count();
    let rest = (0..100).filter(|_| budget.take(&service, 1, now)).count();

    assert_eq!((spare, rest), (10, 10));
}
