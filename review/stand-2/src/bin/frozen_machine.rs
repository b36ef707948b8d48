//! Two streams with the same content run at two machines. The second one begins while the first one's
//! machine is frozen, and its own machine is killed before the other one wakes. Its client returns
//! there. No request may go on from the memory of another one.

use std::time::Duration;

use review_2::engines::{Runs, begin, come_back, judge, start_engines};
use review_2::harness::{Machine, Record, cannot_run, config, has_trouble};
use review_2::support::store::Store;
use tokio::time::sleep;

#[tokio::main]
async fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    let runs = Runs::default();
    let store = Store::start().await;
    store.put("config", "main", config(7));
    let _engines = start_engines(&store, &runs, &record).await;
    let mut machines = [
        Machine::new("front-colombo-a-1", 0, store.addr),
        Machine::new("front-kandy-a-1", 1, store.addr),
        Machine::new("front-galle-a-1", 2, store.addr),
    ];
    let seeds: Vec<_> = machines.iter().map(|m| m.control).collect();
    for machine in &mut machines {
        machine.set_seeds(&seeds);
        machine.start();
    }
    for machine in &machines {
        if !machine.is_ready_within(Duration::from_secs(15)).await {
            cannot_run("not ready");
        }
    }
    sleep(Duration::from_secs(4)).await;
    let a = begin(&machines[0], "aaaa0001", 1, &record).await;
    sleep(Duration::from_millis(300)).await;
    if trouble {
        record.line(&format!("{} freezes", machines[0].name));
        machines[0].signal("-STOP");
    }
    sleep(Duration::from_millis(300)).await;
    let b = begin(&machines[1], "bbbb0001", 10, &record).await;
    sleep(Duration::from_millis(500)).await;
    let got = b.events().len() as u64;
    if trouble {
        record.line(&format!("{} is killed", machines[1].name));
        machines[1].kill();
        sleep(Duration::from_millis(300)).await;
        record.line(&format!("{} wakes", machines[0].name));
        machines[0].signal("-CONT");
    }
    drop(b);
    let (_, channel) = come_back(&machines[0], "bbbb", got, &record).await;
    drop((a, machines));
    judge(&channel, "aaaa", &record);
}
