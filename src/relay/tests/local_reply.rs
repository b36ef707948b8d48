//! Guards against synchronised retries: callers that are refused together must not return together
//! to queues that are still full.

use std::time::Duration;

use crate::relay::local_reply::retry_after;

/// Targets of a small service, with the slots and queue length of each and the duration of a call.
const TARGETS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const CALL_TIME: Duration = Duration::from_millis(60);

/// Shortest `Retry-After`.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);

/// Number of callers that find a full queue when they return at these times, on top of a base load
/// of 78 calls a second.
fn refused(returns: &[Duration]) -> usize {
    let usual = (0..156).map(|n| (Duration::from_secs(1) * n / 78, false));
    let mut arrivals: Vec<_> = usual.chain(returns.iter().map(|at| (*at, true))).collect();
    arrivals.sort_unstable();
    // When each slot of each target is free again.
    let mut free = [[Duration::ZERO; SLOTS]; TARGETS];
    let mut refused = 0;
    for (at, is_retry) in arrivals {
        let busy = |slots: &[Duration; SLOTS]| -> Duration {
            slots.iter().map(|until| until.saturating_sub(at)).sum()
        };
        let target = free.iter_mut().min_by_key(|slots| busy(slots));
        let slots = target.expect("there are targets");
        if busy(slots) > CALL_TIME * (QUEUE + SLOTS) as u32 {
            refused += usize::from(is_retry);
            continue;
        }
        let slot = slots.iter_mut().min().expect("there are slots");
        *slot = at.max(*slot) + CALL_TIME;
    }
    refused
}

/// Load: 200 callers refused while no target was available, as after the loss of all instances.
/// Each of them returns once.
#[test]
fn callers_refused_together_are_served_on_retry() {
    let ids: Vec<_> = (0..200).map(|n| format!("request-{n}")).collect();
    let spread: Vec<_> = ids
        .iter()
        .map(|id| retry_after(RETRY_AFTER_MIN, id))
        .collect();

    let (together, spread_out) = (refused(&[RETRY_AFTER_MIN; 200]), refused(&spread));

    println!("refused again: {together} without spread, {spread_out} with spread");
    assert!(together > 80);
    assert!(
        spread_out * 20 <= ids.len(),
        "at most one in twenty may be refused again"
    );
}

#[test]
fn retry_after_stays_within_its_bounds() {
    for n in 0..1000 {
        let retry_after = retry_after(RETRY_AFTER_MIN, &format!("request-{n}"));

        assert!((RETRY_AFTER_MIN..=RETRY_AFTER_MIN * 3).contains(&retry_after));
    }
}
