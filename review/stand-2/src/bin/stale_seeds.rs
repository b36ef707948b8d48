//! Two machines are started while the seeds of their settings are down. Two streams with the same
//! content run at them. The second one's machine is stopped as planned, and cuts the stream at the
//! end of its time. Its client goes on at the other machine. No request may go on from the memory
//! of another one.

use std::time::Duration;

use review_2::engines::{Runs, begin, come_back, judge, set_pace, start_engines};
use review_2::harness::{Machine, Record, cannot_run, config, has_trouble};
use review_2::support::free_addr;
use review_2::support::store::Store;
use tokio::time::sleep;

#[tokio::main]
async fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    // The longest streams of the sheet, at the slower third of its engines.
    set_pace(180, 55);
    let runs = Runs::default();
    let store = Store::start().await;
    store.put("config", "main", config(7));
    let _engines = start_engines(&store, &runs, &record).await;
    let mut machines = [
        Machine::new("front-colombo-a-1", 0, store.addr),
        Machine::new("front-kandy-a-1", 1, store.addr),
    ];
    let seeds: Vec<_> = match trouble {
        true => (0..3).map(|_| free_addr()).collect(),
        false => machines.iter().map(|m| m.control).collect(),
    };
    record.line(&format!("seeds {seeds:?}, {}", if trouble { "all of them down" } else { "up" }));
    for machine in &mut machines {
        machine.set_seeds(&seeds);
        machine.start();
    }
    for machine in &machines {
        if !machine.is_ready_within(Duration::from_secs(15)).await {
            cannot_run("not ready");
        }
    }
    sleep(Duration::from_secs(5)).await;
    let a = begin(&machines[0], "aaaa0001", 1, &record).await;
    let mut b = begin(&machines[1], "bbbb0001", 1, &record).await;
    record.line(&format!("{} gets SIGTERM", machines[1].name));
    machines[1].signal("-TERM");
    // Reads until the channel ends.
    while b.read(Duration::from_secs(10)).await {}
    let got = b.events().len() as u64;
    if b.text().ends_with("0\r\n\r\n") {
        cannot_run("the second stream was complete before its machine ended");
    }
    record.line(&format!("the channel of bbbb0001 ended after {got} events"));
    drop(b);
    let (_, channel) = come_back(&machines[0], "bbbb", got, &record).await;
    drop((a, machines));
    judge(&channel, "aaaa", &record);
}
