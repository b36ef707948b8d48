//! Rules of admission that hold for any order of events.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use endivefork::admission::{
    AccountUse, Ask, Budget, Decision, Gate, Grant, Line, Reason, Ticket, Waiter, split,
};
use endivefork::failure::Certainty;
use endivefork::ident::RequestKey;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn ask(account: &str, request: u128) -> Ask {
    Ask {
        account: account.into(),
        weight: 1,
        concurrency: 1_000,
        priority: 0,
        cost: 100,
        deadline: None,
        request: RequestKey(request),
    }
}

fn line(slots: u32) -> (Line, Instant) {
    let mut line = Line::new();
    let now = Instant::now();
    assert!(line.supply(slots, 1, now).is_empty());
    (line, now)
}

fn run(line: &mut Line, ask: &Ask, now: Instant) -> Ticket {
    match line.offer(ask, now) {
        Decision::Run(ticket) => ticket,
        other => panic!("not let in: {other:?}"),
    }
}

fn wait(line: &mut Line, ask: &Ask, now: Instant) -> Waiter {
    match line.offer(ask, now) {
        Decision::Wait(waiter, _) => waiter,
        other => panic!("does not wait: {other:?}"),
    }
}

/// Offers until one is refused with a time to come back.
fn refuse(line: &mut Line, account: &str, now: Instant) -> (Ask, Duration) {
    for request in 1_000.. {
        let ask = ask(account, request);
        if let Decision::Refuse(refusal) = line.offer(&ask, now) {
            assert_eq!(refusal.reason, Reason::OverShare);
            return (ask, refusal.wait.expect("a time to come back"));
        }
    }
    unreachable!()
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u8, u64, i64),
    Release(usize),
    Cancel(usize),
    Supply(u32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..6, 1_u64..500, -2_i64..3).prop_map(|(a, c, p)| Step::Offer(a, c, p)),
        3 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0_u32..12).prop_map(Step::Supply),
        1 => (1_u64..3_000).prop_map(Step::Pass),
    ]
}

#[derive(Default)]
struct Held {
    tickets: Vec<Ticket>,
    waiters: Vec<Waiter>,
    limit: usize,
}

impl Held {
    fn grant(&mut self, grants: Vec<Grant>) {
        for grant in grants {
            let at = self.waiters.iter().position(|w| *w == grant.waiter);
            self.waiters
                .swap_remove(at.expect("a grant names a waiter"));
            self.tickets.push(grant.ticket);
        }
    }
}

proptest! {
    #[test]
    fn permits_are_conserved(steps in prop::collection::vec(step(), 1..300)) {
        let (mut line, mut now) = line(8);
        let mut held = Held { limit: 8, ..Held::default() };
        for (i, step) in steps.into_iter().enumerate() {
            let before = held.tickets.len();
            match step {
                Step::Offer(account, cost, priority) => {
                    let name = format!("account-{account}");
                    let ask = Ask { cost, priority, concurrency: 4, ..ask(&name, i as u128) };
                    match line.offer(&ask, now) {
                        Decision::Run(ticket) => held.tickets.push(ticket),
                        Decision::Wait(waiter, _) => held.waiters.push(waiter),
                        Decision::Refuse(_) => {}
                    }
                }
                Step::Release(at) if !held.tickets.is_empty() => {
                    let ticket = held.tickets.swap_remove(at % held.tickets.len());
                    held.grant(line.release(ticket, None, now));
                }
                Step::Cancel(at) if !held.waiters.is_empty() => {
                    let waiter = held.waiters.swap_remove(at % held.waiters.len());
                    prop_assert!(line.cancel(waiter));
                    prop_assert!(!line.cancel(waiter));
                }
                Step::Supply(slots) => {
                    held.limit = slots as usize;
                    held.grant(line.supply(slots, 1, now));
                }
                Step::Pass(ms) => now += Duration::from_millis(ms),
                _ => {}
            }
            prop_assert_eq!(line.running() as usize, held.tickets.len());
            prop_assert_eq!(line.waiting(), held.waiters.len());
            let grew = held.tickets.len() > before;
            prop_assert!(!grew || held.tickets.len() <= held.limit);
        }

        held.grant(line.supply(8, 1, now));
        while let Some(ticket) = held.tickets.pop() {
            held.grant(line.release(ticket, None, now));
        }
        prop_assert!(held.waiters.is_empty(), "a waiter was forgotten");
        prop_assert_eq!(line.running(), 0);
    }

    #[test]
    fn parts_of_the_capacity_sum_to_no_more_than_all(
        demands in prop::collection::vec(prop::collection::vec(0.0_f64..50.0, 5), 1..8),
        silent in 0_usize..4,
    ) {
        let uses: Vec<Vec<AccountUse>> = demands
            .iter()
            .map(|instance| instance.iter().enumerate().map(|(i, d)| used(i, *d)).collect())
            .collect();
        let members = uses.len() + silent;

        let parts: f64 = (0..uses.len())
            .map(|own| {
                let peers: Vec<Vec<_>> = (0..uses.len())
                    .filter(|peer| *peer != own)
                    .map(|peer| uses[peer].iter().collect())
                    .collect();
                split(&uses[own], &peers, 96.0, members).part
            })
            .sum();

        let heard = uses.len() as f64 / members as f64;
        prop_assert!((parts - heard).abs() < 1e-6, "{parts} for {heard}");
    }
}

fn used(account: usize, demand: f64) -> AccountUse {
    AccountUse {
        account: format!("account-{account}").into(),
        weight: 1 + account as u32,
        running: 0,
        demand,
    }
}

#[test]
fn an_account_keeps_to_its_concurrency() {
    let (mut line, now) = line(10);
    let capped = |request| Ask {
        concurrency: 2,
        ..ask("capped", request)
    };
    let ticket = run(&mut line, &capped(1), now);
    let _second = run(&mut line, &capped(2), now);

    let waiter = wait(&mut line, &capped(3), now);
    let _other = run(&mut line, &ask("other", 4), now);
    let grants = line.release(ticket, None, now + SECOND);

    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].waiter, waiter);
}

#[test]
fn concurrency_counts_what_runs_at_peers() {
    let (mut line, now) = line(10);
    let mut peer = Line::new();
    let capped = |request| Ask {
        concurrency: 2,
        ..ask("capped", request)
    };
    let _far = run(&mut peer, &capped(1), now);
    let _near = run(&mut line, &capped(2), now);

    line.merge("peer", &peer.usage("drafting", 1, now), now);
    line.supply(10, 2, now);

    let _waiter = wait(&mut line, &capped(3), now);
}

#[test]
fn priority_then_deadline_order_an_accounts_requests() {
    let (mut line, now) = line(1);
    let first = run(&mut line, &ask("a", 1), now);
    let later = now + 50 * SECOND;
    let plain = wait(&mut line, &ask("a", 2), now);
    let pressed = Ask {
        deadline: Some(later),
        cost: 1,
        ..ask("a", 3)
    };
    let pressed = wait(&mut line, &pressed, now);
    let high = Ask {
        priority: 5,
        cost: 1,
        ..ask("a", 4)
    };
    let high = wait(&mut line, &high, now);

    let mut order = Vec::new();
    let mut grants = line.release(first, None, now + MILLI);
    while let Some(grant) = grants.pop() {
        order.push(grant.waiter);
        grants = line.release(grant.ticket, None, now + 2 * MILLI);
    }

    assert_eq!(order, [high, pressed, plain]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let (mut line, start) = line(1);
    let measured = run(&mut line, &ask("a", 0), start);
    let now = start + 2 * SECOND;
    line.release(measured, None, now);
    let _running = run(&mut line, &ask("a", 1), now);
    let hasty = Ask {
        deadline: Some(now + MILLI),
        ..ask("a", 2)
    };

    let decision = line.offer(&hasty, now);

    let Decision::Refuse(refusal) = decision else {
        panic!("not refused: {decision:?}")
    };
    assert_eq!((refusal.reason, refusal.wait), (Reason::Deadline, None));
}

#[test]
fn nothing_is_refused_by_a_guess_of_the_drain() {
    let (mut line, now) = line(1);
    let _running = run(&mut line, &ask("a", 0), now);

    for request in 1..100 {
        wait(&mut line, &ask("a", request), now);
    }
}

#[test]
fn a_return_before_its_time_is_told_what_is_left() {
    let (mut line, now) = line(1);
    let (refused, promised) = refuse(&mut line, "a", now);

    let decision = line.offer(&refused, now + promised / 2);

    let Decision::Refuse(refusal) = decision else {
        panic!("not refused: {decision:?}")
    };
    assert_eq!(refusal.reason, Reason::Early);
    assert_eq!(refusal.wait, Some(promised - promised / 2));
}

#[test]
fn a_peer_keeps_the_promise_too() {
    let (mut line, now) = line(1);
    let (mut peer, _) = self::line(1);
    let (refused, promised) = refuse(&mut line, "a", now);
    let (_, _) = refuse(&mut peer, "a", now);

    peer.merge("line", &line.usage("drafting", 1, now), now);
    let kept = peer.offer(&refused, now + promised);
    let fresh = peer.offer(&ask("a", 9), now + promised);

    assert!(matches!(kept, Decision::Wait(..)), "{kept:?}");
    assert!(matches!(fresh, Decision::Refuse(_)), "{fresh:?}");
}

#[test]
fn no_target_is_said_with_a_time_to_come_back() {
    let (mut line, now) = line(0);

    let decision = line.offer(&ask("a", 1), now);

    let Decision::Refuse(refusal) = decision else {
        panic!("not refused: {decision:?}")
    };
    assert_eq!(refusal.reason, Reason::NoTarget);
    assert!(refusal.wait.is_some());
}

#[test]
fn idle_accounts_are_forgotten() {
    let (mut line, now) = line(4);
    for account in 0..23_000 {
        let ticket = run(&mut line, &ask(&format!("account-{account}"), 1), now);
        line.release(ticket, None, now);
    }
    assert_eq!(line.accounts(), 23_000);
    let later = now + 61 * SECOND;

    for request in 0..23_000 {
        let ticket = run(&mut line, &ask("busy", request), later);
        line.release(ticket, None, later);
    }

    assert!(line.accounts() < 100, "{}", line.accounts());
}

#[test]
fn retries_add_at_most_a_tenth() {
    let budget = Budget::new();
    let start = Instant::now();
    let mut retries = HashMap::<usize, usize>::new();
    let tries = 20_000;

    for i in 0..tries {
        let now = start + i as u32 * MILLI;
        let account = i % 10;
        let name = format!("account-{account}");
        budget.earn(&name, "drafting", now);
        // Everything fails, and everyone tries again as often as the budget lets them.
        while budget.try_take(&name, "drafting", now) {
            *retries.entry(account).or_default() += 1;
        }
    }

    let total: usize = retries.values().sum();
    println!("{total} retries of {tries} tries");
    assert!(
        total * 10 <= tries + 10 * 10 * 4,
        "the reserve is three each"
    );
    let most = retries.values().max().copied().unwrap_or_default();
    assert!(most <= tries / 100 + 4);
}

#[test]
fn a_quiet_account_can_retry() {
    let budget = Budget::new();

    assert!(budget.try_take("quiet", "drafting", Instant::now()));
}

#[tokio::test]
async fn a_dropped_permit_wakes_the_next() {
    let ask = |account, request| Ask {
        cost: 1,
        ..ask(account, request)
    };
    let gate = Gate::new(1);
    gate.supply("drafting", 1, 1);
    let first = gate
        .admit("drafting", &ask("a", 1))
        .await
        .expect("a permit");

    let next = ask("b", 2);
    let (second, ()) = tokio::join!(gate.admit("drafting", &next), async {
        tokio::task::yield_now().await;
        assert_eq!(gate.load("drafting"), (1, 1));
        drop(first);
    });

    assert!(second.is_ok());
    assert_eq!(gate.load("drafting"), (1, 0));
    drop(second);
    assert_eq!(gate.load("drafting"), (0, 0));
}

#[tokio::test]
async fn a_caller_that_goes_away_leaves_the_line() {
    let ask = |account, request| Ask {
        cost: 1,
        ..ask(account, request)
    };
    let gate = Gate::new(1);
    gate.supply("drafting", 1, 1);
    let permit = gate
        .admit("drafting", &ask("a", 1))
        .await
        .expect("a permit");

    let gone = tokio::time::timeout(20 * MILLI, gate.admit("drafting", &ask("b", 2))).await;

    assert!(gone.is_err());
    assert_eq!(gate.load("drafting"), (1, 0));
    drop(permit);
    assert_eq!(gate.load("drafting"), (0, 0));
}

#[tokio::test]
async fn a_refusal_is_not_run_and_says_when_to_return() {
    let gate = Gate::new(1);
    gate.supply("drafting", 0, 1);

    let refused = gate.admit("drafting", &ask("a", 1)).await;

    let failure = refused.expect_err("no target");
    assert_eq!(failure.outcome, Certainty::NotRun);
    assert_eq!((failure.status, failure.reason), (503, "no_target"));
    assert!(failure.retry_after.is_some());
}
