//! The same prompt is sent to two services, under two hosts, and the process that relays both streams
//! is killed. The clients resume at another process.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, End};
use crate::config::{Route, config, stream_request};
use crate::program::{Folder, Place, Program, give_up};
use crate::record::Record;
use crate::replica::{Cluster, Manner, Replica};
use crate::store::Store;

const PATH: &str = "/v1/draft/";

/// Prompts that are each sent to both services.
const PROMPTS: usize = 8;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let routes = [
        ("draft-now", "now.example", "draft-a"),
        ("draft-next", "next.example", "draft-b"),
    ];
    let routes = routes.map(|(name, host, service)| Route {
        name,
        host,
        prefix: "/v1/",
        kind: "streaming",
        service,
    });
    let engines = ["draft-a", "draft-b"];
    store.put(
        "config",
        "main",
        &config(7, &routes, &engines, &[], &["key-1"]),
    );
    let cluster = Cluster::default();
    let mut replicas = Vec::new();
    for service in engines {
        for zone in ["za", "zb"] {
            let name = format!("i-{service}-{zone}");
            let manner = Manner::steady(300, 50, 130);
            let replica = Replica::start((&name, service, zone), manner, &cluster, record);
            store.put("servers", &name, &replica.registration("ready"));
            replicas.push(replica);
        }
    }
    let places = [
        Place::new("front-za-1", "za", store.addr),
        Place::new("front-za-2", "za", store.addr),
    ];
    let mut programs = Program::start_all(&places, &folder, record);
    // The processes get to know each other, and are in touch.
    thread::sleep(Duration::from_secs(5));

    let progress = Arc::new(Mutex::new(vec![0; 2 * PROMPTS]));
    let mut clients = Vec::new();
    for prompt in 0..PROMPTS {
        for (n, host) in ["now.example", "next.example"].into_iter().enumerate() {
            let (record, progress) = (record.clone(), Arc::clone(&progress));
            let fronts = [places[0].front, places[1].front];
            clients.push(thread::spawn(move || {
                let mut last = 0;
                for (attempt, front) in fronts.into_iter().enumerate() {
                    let id = format!("p{prompt}-{host}-{attempt}");
                    let parts = format!("5c1e07a2:200,91bd3f0{prompt}:8000");
                    let body = format!("{{\"prompt\":\"notes {prompt}\"}}");
                    let request = stream_request((host, PATH), &id, &parts, last, &body);
                    record.line(&format!(
                        "client sends {id} to process {} after event {last}",
                        attempt + 1
                    ));
                    let answer = client::send(front, &request, Duration::from_secs(25), |event| {
                        progress.lock().unwrap()[2 * prompt + n] = event;
                    });
                    last = last.max(answer.last_event);
                    record.line(&format!(
                        "client: {id} answered {} up to event {last}, {:?}",
                        answer.status(),
                        answer.end
                    ));
                    if answer.end == End::Complete {
                        return;
                    }
                }
            }));
        }
    }
    let until = Instant::now() + Duration::from_secs(10);
    while progress.lock().unwrap().iter().any(|event| *event < 20) {
        if Instant::now() > until {
            give_up("the streams do not begin");
        }
        thread::sleep(Duration::from_millis(20));
    }
    if trouble {
        programs[0].kill();
    }
    for client in clients {
        let _ = client.join();
    }
    let service_of = |host: &str| {
        if host == "now.example" {
            "draft-a"
        } else {
            "draft-b"
        }
    };
    let runs = cluster.runs.lock().unwrap();
    let wrong: Vec<_> = runs
        .iter()
        .filter(|r| r.service != service_of(&r.host))
        .collect();
    let foreign =
        |r: &&&crate::replica::Run| r.went_on_from.as_ref().is_some_and(|o| o.host != r.host);
    let foreign = wrong.iter().filter(foreign).count();
    match wrong.first() {
        None => Ok(()),
        Some(first) => Err(format!(
            "ROUTE: {} of {} runs by a service to which no configuration sends them, {foreign} of them \
             from the memory of another request; first: {} for {} ran at {} of {}",
            wrong.len(),
            runs.len(),
            first.id,
            first.host,
            first.replica,
            first.service
        )),
    }
}
