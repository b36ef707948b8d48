use std::time::{Duration, Instant};

use proptest::prelude::*;
use smol_str::SmolStr;

use crate::relay::retries::{Allowance, Retries};

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

proptest! {
    /// Any window of ten seconds, over all instances together.
    #[test]
    fn no_window_has_more_retries_than_are_allowed(
        members in 1_usize..9,
        steps in prop::collection::vec((0_u64..400, 0_u32..4, 0_u32..40), 1..120),
    ) {
        let base = Instant::now();
        let service = SmolStr::new("llm");
        let mut all: Vec<_> = (0..members).map(|_| Retries::new(ALLOWANCE, base)).collect();
        let mut now = base;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());

        for (pause, asked, wanted) in steps {
            now += Duration::from_millis(pause);
            for instance in &mut all {
                for _ in 0..asked {
                    instance.request(&service, now);
                    requests.push(now);
                }
                for _ in 0..wanted {
                    if instance.take(&service, members, now) {
                        retries.push(now);
                    }
                }
            }
        }

        let count = |times: &[Instant], end: Instant| {
            let within = |at: &&Instant| **at <= end && end - **at < ALLOWANCE.window;
            times.iter().filter(within).count() as f64
        };
        for end in &retries {
            // Requests count in that window, the one before it, or the one half a window before.
            let earlier = [Duration::ZERO, ALLOWANCE.window / 2, ALLOWANCE.window];
            let seen = earlier.iter().filter_map(|back| end.checked_sub(*back));
            let seen = seen.map(|end| count(&requests, end)).fold(0.0, f64::max);
            let made = count(&retries, *end);
            prop_assert!(made <= ALLOWANCE.ratio * seen + ALLOWANCE.slack, "{made} for {seen}");
        }
    }
}

#[test]
fn an_instance_that_sees_no_other_spends_no_more_than_the_slack() {
    let now = Instant::now();
    let mut retries = Retries::new(ALLOWANCE, now);
    let service = SmolStr::new("llm");

    let taken = (0..1000).filter(|_| retries.take(&service, 1, now)).count();

    assert!(taken as f64 <= ALLOWANCE.slack);
}
