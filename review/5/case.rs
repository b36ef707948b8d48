//! The open channels to the store go silent, while new ones work. A second later the operator moves a
//! route to another service and withdraws a key.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client;
use crate::config::{Route, call_request, config};
use crate::program::{Folder, Place, Program};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::replica::{Cluster, Manner, Replica};
use crate::store::Store;

/// `contact_ms` of the settings: the machines are in touch again after it.
const CONTACT: Duration = Duration::from_millis(4000);

/// `config_apply_ms` of the settings.
const APPLY: Duration = Duration::from_millis(3000);

/// Added to both bounds, for the precision of the script's own clock.
const MARGIN: Duration = Duration::from_millis(100);

fn version(version: u64, service: &str, keys: &[&str]) -> String {
    let route = |name, prefix, kind| Route {
        name,
        host: "rack.example",
        prefix,
        kind,
        service,
    };
    let routes = [
        route("deposit-post", "/deposit/", "non_idempotent"),
        route("stock-lookup", "/stock/", "idempotent"),
    ];
    config(version, &routes, &[], &["booking-old", "booking-new"], keys)
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    store.put(
        "config",
        "main",
        &version(7, "booking-old", &["key-1", "key-2"]),
    );
    let cluster = Cluster::default();
    for service in ["booking-old", "booking-new"] {
        for zone in ["za", "zb"] {
            let name = format!("i-{service}-{zone}");
            let manner = Manner::steady(15, 0, 0);
            let replica = Replica::start((&name, service, zone), manner, &cluster, record);
            store.put("servers", &name, &replica.registration("ready"));
        }
    }
    let proxies = [Proxy::start(store.addr), Proxy::start(store.addr)];
    let places = [
        Place::new("front-za-1", "za", proxies[0].addr),
        Place::new("front-zb-1", "zb", proxies[1].addr),
    ];
    let _programs = Program::start_all(&places, &folder, record);
    thread::sleep(Duration::from_secs(5));

    let acked = store.put(
        "config",
        "main",
        &version(9, "booking-old", &["key-1", "key-2", "key-3"]),
    );
    record.line("operator: version 9 acknowledged: a key more");
    thread::sleep(Duration::from_millis(300).saturating_sub(acked.elapsed()));
    if trouble {
        proxies.iter().for_each(Proxy::silence);
        record.line("the open channels to the store go silent");
    }
    let silent = Instant::now();
    thread::sleep(Duration::from_millis(700));
    let acked = store.put(
        "config",
        "main",
        &version(12, "booking-new", &["key-1", "key-3"]),
    );
    record.line("operator: version 12 acknowledged: routes moved to booking-new, key-2 withdrawn");

    // From here on the rule holds for both machines.
    let from = (silent + CONTACT).max(acked + APPLY) + MARGIN;
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let mut broken = Vec::new();
    let mut sent = 0;
    while silent.elapsed() < Duration::from_millis(8000) {
        for (n, place) in places.iter().enumerate() {
            for (key, request) in [("key-1", "POST /deposit/a"), ("key-2", "GET /stock/a")] {
                let (method, path) = request.split_once(' ').unwrap_or_default();
                let id = format!("r{sent}-{key}-m{}", n + 1);
                sent += 1;
                let bytes = call_request((method, "rack.example", path), &id, key);
                let answer = client::send(place.front, &bytes, Duration::from_secs(2), |_| {});
                let after = record.seconds(answer.sent) - record.seconds(acked);
                record.line(&format!(
                    "client: {id} {request} sent {after:.3} s after the ack, answered {} {}",
                    answer.status(),
                    answer.body.trim()
                ));
                let runs = cluster.runs.lock().unwrap();
                let run = runs.iter().find(|r| r.id == id);
                match run {
                    Some(run) if key == "key-2" => broken.push(format!(
                        "{id} sent {after:.2} s after the ack ran with a withdrawn key at {}",
                        run.replica
                    )),
                    Some(run) if run.service == "booking-old" => broken.push(format!(
                        "{id} sent {after:.2} s after the ack was run by the old service at {}",
                        run.replica
                    )),
                    _ => {}
                }
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    match (broken.first(), broken.last()) {
        (Some(first), Some(last)) => Err(format!(
            "CONFIG: {} of {sent} requests; first: {first}; last: {last}",
            broken.len()
        )),
        _ => Ok(()),
    }
}
