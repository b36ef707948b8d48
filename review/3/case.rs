//! The machines of a zone are stopped in turn under steady traffic of streams. Most streams are short,
//! some are long, and nothing in a request tells which.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Answer, End};
use crate::config::{Route, config, stream_request};
use crate::program::{Folder, Place, Program};
use crate::record::Record;
use crate::replica::{Cluster, Manner, Replica};
use crate::store::Store;

/// Every so many streams one is long.
const LONG_EVERY: usize = 25;
const SHORT_EVENTS: u64 = 20;
const LONG_EVENTS: u64 = 130;
const EVENT_GAP_MS: u64 = 50;

/// Streams a second.
const RATE: f64 = 45.0;

/// Pause between the stops of two machines, as in the site file's `roll_term` (1.3 s).
const STOP_GAP: Duration = Duration::from_millis(1300);

/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Requests that are sent later than this after SIGTERM have no excuse when they are cut at the end.
const EXCUSED: Duration = Duration::from_secs(3);

/// The platform's balancer for one zone.
#[derive(Clone)]
struct Balancer {
    fronts: Vec<SocketAddr>,
    misses: Arc<Vec<AtomicUsize>>,
}

impl Balancer {
    fn start(places: &[Place]) -> Self {
        let balancer = Self {
            fronts: places.iter().map(|p| p.front).collect(),
            misses: Arc::new(places.iter().map(|_| AtomicUsize::new(0)).collect()),
        };
        for (n, place) in places.iter().enumerate() {
            let (misses, ready) = (Arc::clone(&balancer.misses), place.ready);
            thread::spawn(move || {
                loop {
                    match client::is_ready(ready) {
                        true => misses[n].store(0, Ordering::SeqCst),
                        false => {
                            misses[n].fetch_add(1, Ordering::SeqCst);
                        }
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    /// The machine that gets the channel of a client: one of those in rotation or, if these are
    /// fewer than half, of all.
    fn pick(&self, client: usize) -> usize {
        let is_in = |n: &usize| self.misses[*n].load(Ordering::SeqCst) < 2;
        let inside: Vec<_> = (0..self.fronts.len()).filter(is_in).collect();
        match 2 * inside.len() < self.fronts.len() {
            true => client % self.fronts.len(),
            false => inside[client % inside.len()],
        }
    }
}

struct Sent {
    id: String,
    machine: usize,
    answer: Answer,
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let route = Route {
        name: "draft",
        host: "rack.example",
        prefix: "/draft/",
        kind: "streaming",
        service: "drafting-llm",
    };
    let text = config(7, &[route], &["drafting-llm"], &[], &["key-1"]);
    store.put("config", "main", &text);
    let cluster = Cluster::default();
    let manner = Manner {
        events: Arc::new(|head| match head.get("x-request-id") {
            Some(id) if id.contains("long") => LONG_EVENTS,
            _ => SHORT_EVENTS,
        }),
        ..Manner::steady(100, EVENT_GAP_MS, 0)
    };
    for n in 0..6 {
        let name = format!("i-{n}");
        let zone = ["za", "zb", "zc"][n % 3];
        let replica = Replica::start(
            (&name, "drafting-llm", zone),
            manner.clone(),
            &cluster,
            record,
        );
        store.put("servers", &name, &replica.registration("ready"));
    }
    let places: Vec<_> = (1..=3)
        .map(|n| Place::new(&format!("front-za-{n}"), "za", store.addr))
        .collect();
    let mut programs = Program::start_all(&places, &folder, record);
    thread::sleep(Duration::from_secs(5));

    let balancer = Balancer::start(&places);
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let done = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (all, done, record) = (Arc::clone(&all), Arc::clone(&done), record.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            let mut number = 0;
            let begun = Instant::now();
            while !done.load(Ordering::SeqCst) {
                number += 1;
                let next = begun + Duration::from_secs_f64(f64::from(number as u32) / RATE);
                thread::sleep(next.saturating_duration_since(Instant::now()));
                let (all, balancer, record) = (Arc::clone(&all), balancer.clone(), record.clone());
                clients.push(thread::spawn(move || {
                    one_client(number, &balancer, &all, &record)
                }));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        })
    };
    thread::sleep(Duration::from_secs(12));
    let mut stops = [None; 3];
    let first = Instant::now();
    for n in 0..2 {
        thread::sleep((first + STOP_GAP * n as u32).saturating_duration_since(Instant::now()));
        if trouble {
            programs[n].signal("TERM");
            stops[n] = Some(Instant::now());
        }
    }
    // The platform starts each again a little after its end, and kills it after the grace time.
    let until = first + GRACE + STOP_GAP + Duration::from_secs(3);
    while Instant::now() < until {
        for n in 0..2 {
            let Some(at) = stops[n] else { continue };
            if at.elapsed() >= GRACE && !programs[n].has_ended() {
                programs[n].kill();
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    done.store(true, Ordering::SeqCst);
    let _ = traffic.join();

    let runs = cluster.runs.lock().unwrap();
    let all = all.lock().unwrap();
    let mut lost = Vec::new();
    for sent in all.iter() {
        let Some(stop) = stops[sent.machine] else {
            continue;
        };
        let answer = &sent.answer;
        let was_run = runs.iter().any(|r| r.id == sent.id);
        let in_window = answer.sent + Duration::from_secs(25) > stop && answer.sent < stop + GRACE;
        let is_cut = answer.end == End::Broken && was_run;
        if in_window && is_cut && answer.ended > stop {
            let after = record.seconds(answer.sent) - record.seconds(stop);
            let excused = answer.sent <= stop + EXCUSED;
            record.line(&format!(
                "cut: {} sent {after:.3} s after the SIGTERM of its machine, ended {:.3} s after it{}",
                sent.id,
                record.seconds(answer.ended) - record.seconds(stop),
                if excused { " (not counted)" } else { "" }
            ));
            if !excused {
                lost.push(sent.id.clone());
            }
        }
    }
    let whole = all
        .iter()
        .filter(|s| s.answer.end == End::Complete && s.answer.status() == 200);
    record.line(&format!(
        "{} streams sent, {} answered whole",
        all.len(),
        whole.count()
    ));
    match lost.first() {
        None => Ok(()),
        Some(first) => Err(format!(
            "LOST: {} streams that were read whole later than 3 s after SIGTERM and passed on to a \
             replica were cut; first: {first}",
            lost.len()
        )),
    }
}

fn one_client(number: usize, balancer: &Balancer, all: &Mutex<Vec<Sent>>, record: &Record) {
    let length = if number % LONG_EVERY == 0 {
        "long"
    } else {
        "short"
    };
    let mut last = 0;
    for attempt in 0..3 {
        let id = format!("s{number}-{length}-{attempt}");
        let machine = balancer.pick(number * 7 + attempt);
        let parts = format!("5c1e07a2:200,{number:08x}:1000");
        let request = stream_request(("rack.example", "/draft/a"), &id, &parts, last, "{}");
        let answer = client::send(
            balancer.fronts[machine],
            &request,
            Duration::from_secs(25),
            |_| {},
        );
        last = last.max(answer.last_event);
        let is_whole = answer.end == End::Complete && answer.status() == 200;
        if !is_whole || length == "long" {
            record.line(&format!(
                "client: {id} sent {:.3} to machine {} answered {} up to event {last}, {:?}",
                record.seconds(answer.sent),
                machine + 1,
                answer.status(),
                answer.end
            ));
        }
        let wait = answer.retry_after();
        all.lock().unwrap().push(Sent {
            id,
            machine,
            answer,
        });
        if is_whole {
            return;
        }
        thread::sleep(wait.unwrap_or(Duration::from_millis(50)));
    }
}
