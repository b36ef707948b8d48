//! Time and message sizes of admission as the number of accounts grows.

use std::time::{Duration, Instant};

use endivefork::admission::{Ask, Decision, Line};
use endivefork::ident::RequestKey;
use endivefork::peer::encode;

const REQUESTS: u32 = 50_000;

/// An offer and its release must stay far below a hop, also in a build without optimisation.
const REQUEST_MAX: Duration = Duration::from_micros(100);

/// The periodic division of the capacity must stay a small part of its period of 500 ms.
const DIVISION_MAX: Duration = Duration::from_millis(250);

fn ask(account: u32, request: u32) -> Ask {
    Ask {
        account: format!("account-{account}").into(),
        weight: 1,
        concurrency: 1_000,
        priority: 0,
        cost: 100,
        deadline: None,
        request: RequestKey(u128::from(request)),
    }
}

/// A line that runs and refuses requests of `accounts` accounts, and the mean time of one.
fn busy(accounts: u32) -> (Line, Duration) {
    let mut line = Line::new();
    let now = Instant::now();
    line.supply(288, 7, now);
    let asks: Vec<_> = (0..REQUESTS).map(|i| ask(i % accounts, i)).collect();
    let mut held = Vec::new();
    let begun = Instant::now();
    for (i, ask) in asks.iter().enumerate() {
        let at = now + Duration::from_micros(200) * i as u32;
        if let Decision::Run(ticket) = line.offer(ask, at) {
            held.push(ticket);
        }
        if i % 4 == 0 && !held.is_empty() {
            let grants = line.release(held.swap_remove(0), None, at);
            held.extend(grants.into_iter().map(|g| g.ticket));
        }
    }
    (line, begun.elapsed() / REQUESTS)
}

#[test]
fn a_request_costs_little_with_many_accounts() {
    for accounts in [10, 2_000, 23_000] {
        let (mut line, mean) = busy(accounts);
        let now = Instant::now();
        let begun = Instant::now();
        let usage = line.usage("drafting", 1, now);
        line.merge("peer", &usage, now);
        line.supply(288, 7, now);
        let division = begun.elapsed();
        println!(
            "{accounts} accounts: {} ns a request, {} us for an exchange, {} bytes for {} in use",
            mean.as_nanos(),
            division.as_micros(),
            encode(&usage).len(),
            usage.accounts.len(),
        );
        assert!(mean <= REQUEST_MAX);
        assert!(division <= DIVISION_MAX);
    }
}
