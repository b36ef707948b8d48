//! Time and message size of admission by the number of accounts.

use std::time::{Duration, Instant};

use endivefork::admission::{AdmissionRequest, Decision, FairQueue};
use endivefork::ident::RequestKey;
use endivefork::peer::encode;

const REQUESTS: u32 = 50_000;

/// Limit of one submission and its release: far below the delay of a network hop, also in a build
/// without optimisation.
const REQUEST_MAX: Duration = Duration::from_micros(100);

/// Limit of the periodic exchange of usage and division of the capacity: well within its period of
/// 500 ms.
const EXCHANGE_MAX: Duration = Duration::from_millis(250);

fn request(account: u32, key: u32) -> AdmissionRequest {
    AdmissionRequest {
        account: format!("account-{account}").into(),
        weight: 1,
        concurrency: 1_000,
        priority: 0,
        cost: 100,
        deadline: None,
        key: RequestKey(u128::from(key)),
    }
}

/// Returns a queue that has run and refused requests of `accounts` accounts, and the mean time of
/// one request.
fn busy(accounts: u32) -> (FairQueue, Duration) {
    let mut queue = FairQueue::new();
    let now = Instant::now();
    queue.set_capacity(288, 7, now);
    let requests: Vec<_> = (0..REQUESTS).map(|i| request(i % accounts, i)).collect();
    let mut running = Vec::new();
    let started = Instant::now();
    for (i, request) in requests.iter().enumerate() {
        let at = now + Duration::from_micros(200) * i as u32;
        if let Decision::Run(ticket) = queue.submit(request, at) {
            running.push(ticket);
        }
        if i % 4 == 0 && !running.is_empty() {
            let grants = queue.release(running.swap_remove(0), None, at);
            running.extend(grants.into_iter().map(|g| g.ticket));
        }
    }
    (queue, started.elapsed() / REQUESTS)
}

#[test]
fn cost_of_a_request_is_bounded_with_many_accounts() {
    for accounts in [10, 2_000, 23_000] {
        let (mut queue, mean) = busy(accounts);
        let now = Instant::now();
        let started = Instant::now();
        let usage = queue.usage("drafting", 1, now);
        queue.merge("peer", &usage, now);
        queue.set_capacity(288, 7, now);
        let exchange = started.elapsed();
        println!(
            "{accounts} accounts: {} ns per request, {} us for an exchange, {} bytes for {} in use",
            mean.as_nanos(),
            exchange.as_micros(),
            encode(&usage).len(),
            usage.accounts.len(),
        );
        assert!(mean <= REQUEST_MAX);
        assert!(exchange <= EXCHANGE_MAX);
    }
}
