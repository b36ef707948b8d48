//! When refused callers come back: not all at once to full queues.

use std::time::Duration;

use crate::relay::answer::come_back;

/// Targets of a small service, what each runs at once and keeps waiting, and the time of a call.
const TARGETS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const CALL: Duration = Duration::from_millis(60);

/// Least time to come back.
const LEAST: Duration = Duration::from_millis(250);

/// Of callers that arrive at these times beside a usual 78 a second, how many find a full queue.
fn refused(returns: &[Duration]) -> usize {
    let usual = (0..156).map(|n| (Duration::from_secs(1) * n / 78, false));
    let mut arrivals: Vec<_> = usual.chain(returns.iter().map(|at| (*at, true))).collect();
    arrivals.sort_unstable();
    // When each place of each target is free again.
    let mut free = [[Duration::ZERO; SLOTS]; TARGETS];
    let mut refused = 0;
    for (at, returned) in arrivals {
        let busy = |slots: &[Duration; SLOTS]| -> Duration {
            slots.iter().map(|until| until.saturating_sub(at)).sum()
        };
        let target = free.iter_mut().min_by_key(|slots| busy(slots));
        let slots = target.expect("there are targets");
        if busy(slots) > CALL * (QUEUE + SLOTS) as u32 {
            refused += usize::from(returned);
            continue;
        }
        let slot = slots.iter_mut().min().expect("there are places");
        *slot = at.max(*slot) + CALL;
    }
    refused
}

/// The load: 200 callers that were refused while the targets were away, as after the loss of all
/// instances. Each comes back once.
#[test]
fn callers_refused_together_are_served_when_they_come_back() {
    let ids: Vec<_> = (0..200).map(|n| format!("request-{n}")).collect();
    let spread: Vec<_> = ids.iter().map(|id| come_back(LEAST, id)).collect();

    let (at_once, by_turns) = (refused(&[LEAST; 200]), refused(&spread));

    println!("refused again: {at_once} at once, {by_turns} by turns");
    assert!(at_once > 80);
    assert!(
        by_turns * 20 <= ids.len(),
        "one in twenty may find a queue full again"
    );
}

#[test]
fn a_caller_is_never_told_to_come_back_too_early_or_late() {
    for n in 0..1000 {
        let back = come_back(LEAST, &format!("request-{n}"));

        assert!((LEAST..=LEAST * 3).contains(&back));
    }
}
