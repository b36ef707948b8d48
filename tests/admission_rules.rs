//! Invariants and single decisions of admission.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use endivefork::admission::{
    AccountUsage, AdmissionControl, AdmissionRequest, Decision, FairQueue, Grant, Reason,
    RetryBudget, Ticket, Waiter, allocate,
};
use endivefork::failure::Certainty;
use endivefork::ident::RequestKey;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn request(account: &str, key: u128) -> AdmissionRequest {
    AdmissionRequest {
        account: account.into(),
        weight: 1,
        concurrency: 1_000,
        priority: 0,
        cost: 100,
        deadline: None,
        key: RequestKey(key),
    }
}

fn queue(slots: u32) -> (FairQueue, Instant) {
    let mut queue = FairQueue::new();
    let now = Instant::now();
    assert!(queue.set_capacity(slots, 1, now).is_empty());
    (queue, now)
}

fn run(queue: &mut FairQueue, request: &AdmissionRequest, now: Instant) -> Ticket {
    match queue.submit(request, now) {
        Decision::Run(ticket) => ticket,
        other => panic!("request was not started: {other:?}"),
    }
}

fn wait(queue: &mut FairQueue, request: &AdmissionRequest, now: Instant) -> Waiter {
    match queue.submit(request, now) {
        Decision::Wait(waiter, _) => waiter,
        other => panic!("request was not queued: {other:?}"),
    }
}

/// Submits requests until one is refused with a reserved retry.
fn refuse(queue: &mut FairQueue, account: &str, now: Instant) -> (AdmissionRequest, Duration) {
    for key in 1_000.. {
        let request = request(account, key);
        if let Decision::Refuse(refusal) = queue.submit(&request, now) {
            assert_eq!(refusal.reason, Reason::OverShare);
            return (request, refusal.retry_after.expect("a reserved retry"));
        }
    }
    unreachable!()
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u8, u64, i64),
    Release(usize),
    Cancel(usize),
    SetCapacity(u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..6, 1_u64..500, -2_i64..3).prop_map(|(a, c, p)| Step::Submit(a, c, p)),
        3 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0_u32..12).prop_map(Step::SetCapacity),
        1 => (1_u64..3_000).prop_map(Step::Advance),
    ]
}

#[derive(Default)]
struct State {
    tickets: Vec<Ticket>,
    waiters: Vec<Waiter>,
    limit: usize,
}

impl State {
    fn grant(&mut self, grants: Vec<Grant>) {
        for grant in grants {
            let at = self.waiters.iter().position(|w| *w == grant.waiter);
            self.waiters
                .swap_remove(at.expect("the granted request is waiting"));
            self.tickets.push(grant.ticket);
        }
    }
}

proptest! {
    #[test]
    fn permits_are_conserved(steps in prop::collection::vec(step(), 1..300)) {
        let (mut queue, mut now) = queue(8);
        let mut state = State { limit: 8, ..State::default() };
        for (i, step) in steps.into_iter().enumerate() {
            let before = state.tickets.len();
            match step {
                Step::Submit(account, cost, priority) => {
                    let name = format!("account-{account}");
                    let request = AdmissionRequest {
                        cost,
                        priority,
                        concurrency: 4,
                        ..request(&name, i as u128)
                    };
                    match queue.submit(&request, now) {
                        Decision::Run(ticket) => state.tickets.push(ticket),
                        Decision::Wait(waiter, _) => state.waiters.push(waiter),
                        Decision::Refuse(_) => {}
                    }
                }
                Step::Release(at) if !state.tickets.is_empty() => {
                    let ticket = state.tickets.swap_remove(at % state.tickets.len());
                    state.grant(queue.release(ticket, None, now));
                }
                Step::Cancel(at) if !state.waiters.is_empty() => {
                    let waiter = state.waiters.swap_remove(at % state.waiters.len());
                    prop_assert!(queue.cancel(waiter));
                    prop_assert!(!queue.cancel(waiter));
                }
                Step::SetCapacity(slots) => {
                    state.limit = slots as usize;
                    state.grant(queue.set_capacity(slots, 1, now));
                }
                Step::Advance(ms) => now += Duration::from_millis(ms),
                _ => {}
            }
            prop_assert_eq!(queue.running() as usize, state.tickets.len());
            prop_assert_eq!(queue.waiting(), state.waiters.len());
            let grew = state.tickets.len() > before;
            prop_assert!(!grew || state.tickets.len() <= state.limit);
        }

        state.grant(queue.set_capacity(8, 1, now));
        while let Some(ticket) = state.tickets.pop() {
            state.grant(queue.release(ticket, None, now));
        }
        prop_assert!(state.waiters.is_empty(), "a waiting request was never started");
        prop_assert_eq!(queue.running(), 0);
    }

    #[test]
    fn capacity_shares_of_reporting_instances_sum_to_their_portion(
        demands in prop::collection::vec(prop::collection::vec(0.0_f64..50.0, 5), 1..8),
        silent in 0_usize..4,
    ) {
        let usages: Vec<Vec<AccountUsage>> = demands
            .iter()
            .map(|instance| instance.iter().enumerate().map(|(i, d)| usage(i, *d)).collect())
            .collect();
        let members = usages.len() + silent;

        let total: f64 = (0..usages.len())
            .map(|own| {
                let peers: Vec<Vec<_>> = (0..usages.len())
                    .filter(|peer| *peer != own)
                    .map(|peer| usages[peer].iter().collect())
                    .collect();
                allocate(&usages[own], &peers, 96.0, members).share
            })
            .sum();

        let expected = usages.len() as f64 / members as f64;
        prop_assert!((total - expected).abs() < 1e-6, "shares sum to {total} instead of {expected}");
    }
}

fn usage(account: usize, demand: f64) -> AccountUsage {
    AccountUsage {
        account: format!("account-{account}").into(),
        weight: 1 + account as u32,
        running: 0,
        demand,
    }
}

#[test]
fn account_stays_within_its_concurrency_limit() {
    let (mut queue, now) = queue(10);
    let capped = |key| AdmissionRequest {
        concurrency: 2,
        ..request("capped", key)
    };
    let ticket = run(&mut queue, &capped(1), now);
    let _second = run(&mut queue, &capped(2), now);

    let waiter = wait(&mut queue, &capped(3), now);
    let _other = run(&mut queue, &request("other", 4), now);
    let grants = queue.release(ticket, None, now + SECOND);

    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].waiter, waiter);
}

#[test]
fn concurrency_limit_includes_requests_at_peers() {
    let (mut queue, now) = queue(10);
    let mut peer = FairQueue::new();
    let capped = |key| AdmissionRequest {
        concurrency: 2,
        ..request("capped", key)
    };
    let _remote = run(&mut peer, &capped(1), now);
    let _local = run(&mut queue, &capped(2), now);

    queue.merge("peer", &peer.usage("drafting", 1, now), now);
    queue.set_capacity(10, 2, now);

    let _waiter = wait(&mut queue, &capped(3), now);
}

#[test]
fn priority_then_deadline_order_an_accounts_requests() {
    let (mut queue, now) = queue(1);
    let first = run(&mut queue, &request("a", 1), now);
    let later = now + 50 * SECOND;
    let plain = wait(&mut queue, &request("a", 2), now);
    let urgent = AdmissionRequest {
        deadline: Some(later),
        cost: 1,
        ..request("a", 3)
    };
    let urgent = wait(&mut queue, &urgent, now);
    let high = AdmissionRequest {
        priority: 5,
        cost: 1,
        ..request("a", 4)
    };
    let high = wait(&mut queue, &high, now);

    let mut order = Vec::new();
    let mut grants = queue.release(first, None, now + MILLI);
    while let Some(grant) = grants.pop() {
        order.push(grant.waiter);
        grants = queue.release(grant.ticket, None, now + 2 * MILLI);
    }

    assert_eq!(order, [high, urgent, plain]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let (mut queue, start) = queue(1);
    let measured = run(&mut queue, &request("a", 0), start);
    let now = start + 2 * SECOND;
    queue.release(measured, None, now);
    let _running = run(&mut queue, &request("a", 1), now);
    let urgent = AdmissionRequest {
        deadline: Some(now + MILLI),
        ..request("a", 2)
    };

    let decision = queue.submit(&urgent, now);

    let Decision::Refuse(refusal) = decision else {
        panic!("request was not refused: {decision:?}")
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (Reason::Deadline, None)
    );
}

#[test]
fn no_request_is_refused_before_throughput_is_measured() {
    let (mut queue, now) = queue(1);
    let _running = run(&mut queue, &request("a", 0), now);

    for key in 1..100 {
        wait(&mut queue, &request("a", key), now);
    }
}

#[test]
fn early_retry_is_refused_with_the_remaining_wait() {
    let (mut queue, now) = queue(1);
    let (refused, retry_after) = refuse(&mut queue, "a", now);

    let decision = queue.submit(&refused, now + retry_after / 2);

    let Decision::Refuse(refusal) = decision else {
        panic!("request was not refused: {decision:?}")
    };
    assert_eq!(refusal.reason, Reason::Early);
    assert_eq!(refusal.retry_after, Some(retry_after - retry_after / 2));
}

#[test]
fn peer_honours_a_reservation() {
    let (mut queue, now) = queue(1);
    let (mut peer, _) = self::queue(1);
    let (refused, retry_after) = refuse(&mut queue, "a", now);
    let (_, _) = refuse(&mut peer, "a", now);

    peer.merge("origin", &queue.usage("drafting", 1, now), now);
    let reserved = peer.submit(&refused, now + retry_after);
    let unreserved = peer.submit(&request("a", 9), now + retry_after);

    assert!(matches!(reserved, Decision::Wait(..)), "{reserved:?}");
    assert!(matches!(unreserved, Decision::Refuse(_)), "{unreserved:?}");
}

#[test]
fn refusal_without_targets_has_a_retry_time() {
    let (mut queue, now) = queue(0);

    let decision = queue.submit(&request("a", 1), now);

    let Decision::Refuse(refusal) = decision else {
        panic!("request was not refused: {decision:?}")
    };
    assert_eq!(refusal.reason, Reason::NoTarget);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn idle_accounts_are_removed() {
    let (mut queue, now) = queue(4);
    for account in 0..23_000 {
        let ticket = run(&mut queue, &request(&format!("account-{account}"), 1), now);
        queue.release(ticket, None, now);
    }
    assert_eq!(queue.accounts(), 23_000);
    let later = now + 61 * SECOND;

    for key in 0..23_000 {
        let ticket = run(&mut queue, &request("busy", key), later);
        queue.release(ticket, None, later);
    }

    assert!(queue.accounts() < 100, "{}", queue.accounts());
}

#[test]
fn retries_add_at_most_a_tenth() {
    let budget = RetryBudget::new();
    let start = Instant::now();
    let mut retries = HashMap::<usize, usize>::new();
    let attempts = 20_000;

    for i in 0..attempts {
        let now = start + i as u32 * MILLI;
        let account = i % 10;
        let name = format!("account-{account}");
        budget.deposit(&name, "drafting", now);
        // Every attempt fails, and every account retries as often as its budget allows.
        while budget.try_withdraw(&name, "drafting", now) {
            *retries.entry(account).or_default() += 1;
        }
    }

    let total: usize = retries.values().sum();
    println!("{total} retries of {attempts} attempts");
    assert!(
        total * 10 <= attempts + 10 * 10 * 4,
        "each account starts with three retries"
    );
    let maximum = retries.values().max().copied().unwrap_or_default();
    assert!(maximum <= attempts / 100 + 4);
}

#[test]
fn new_account_can_retry() {
    let budget = RetryBudget::new();

    assert!(budget.try_withdraw("idle", "drafting", Instant::now()));
}

#[tokio::test]
async fn dropped_permit_admits_the_next_request() {
    let request = |account, key| AdmissionRequest {
        cost: 1,
        ..request(account, key)
    };
    let gate = AdmissionControl::new(1);
    gate.set_capacity("drafting", 1, 1);
    let first = gate
        .admit("drafting", &request("a", 1))
        .await
        .expect("a permit");

    let next = request("b", 2);
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
async fn cancelled_request_leaves_the_queue() {
    let request = |account, key| AdmissionRequest {
        cost: 1,
        ..request(account, key)
    };
    let gate = AdmissionControl::new(1);
    gate.set_capacity("drafting", 1, 1);
    let permit = gate
        .admit("drafting", &request("a", 1))
        .await
        .expect("a permit");

    let admitted = tokio::time::timeout(20 * MILLI, gate.admit("drafting", &request("b", 2))).await;

    assert!(admitted.is_err());
    assert_eq!(gate.load("drafting"), (1, 0));
    drop(permit);
    assert_eq!(gate.load("drafting"), (0, 0));
}

#[tokio::test]
async fn refusal_is_not_run_and_has_a_retry_time() {
    let gate = AdmissionControl::new(1);
    gate.set_capacity("drafting", 0, 1);

    let refused = gate.admit("drafting", &request("a", 1)).await;

    let failure = refused.expect_err("no target");
    assert_eq!(failure.outcome, Certainty::NotRun);
    assert_eq!((failure.status, failure.reason), (503, "no_target"));
    assert!(failure.retry_after.is_some());
}
