//! On each machine the open channel to the store on which it waits for changes of the configuration
//! goes silent; new channels work. A key is taken away. No request may run with it later than
//! `config_apply_ms` after that, once the machines are in touch again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use review_2::harness::{Channel, Machine, Record, cannot_run, config, has_trouble, registration, request};
use review_2::support::replica::{Action, ReceivedRequest, Replica, answer};
use review_2::support::store::Store;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const CONTACT: Duration = Duration::from_millis(4000);
const APPLY: Duration = Duration::from_millis(3000);
/// Added to both bounds for the times of this script.
const MARGIN: Duration = Duration::from_millis(100);

/// An open channel between a machine and the store.
struct Open {
    /// When a watch of the configuration was sent on it, while that one is the last call.
    watched: Mutex<Option<Instant>>,
    silent: AtomicBool,
}

/// A proxy in front of the store.
struct Link {
    addr: SocketAddr,
    open: Arc<Mutex<Vec<Arc<Open>>>>,
}

impl Link {
    async fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let addr = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let open: Arc<Mutex<Vec<Arc<Open>>>> = Arc::default();
        let all = Arc::clone(&open);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let channel = Arc::new(Open { watched: Mutex::default(), silent: AtomicBool::default() });
                all.lock().push(Arc::clone(&channel));
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(store).await else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (mut from_client, mut to_client) = client.into_split();
                    let (mut from_server, mut to_server) = server.into_split();
                    let seen = Arc::clone(&channel);
                    let up = async move {
                        let mut buffer = vec![0; 16 * 1024];
                        while let Ok(n) = from_client.read(&mut buffer).await {
                            let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                            let is_watch = text.starts_with("GET /endivefork/objects/config?watch=");
                            *seen.watched.lock() = is_watch.then(Instant::now);
                            if n == 0 || to_server.write_all(&buffer[..n]).await.is_err() {
                                break;
                            }
                        }
                    };
                    let quiet = Arc::clone(&channel);
                    let down = async move {
                        let mut buffer = vec![0; 16 * 1024];
                        while let Ok(n) = from_server.read(&mut buffer).await {
                            if quiet.silent.load(Ordering::SeqCst) {
                                std::future::pending::<()>().await;
                            }
                            if n == 0 || to_client.write_all(&buffer[..n]).await.is_err() {
                                break;
                            }
                            *quiet.watched.lock() = None;
                        }
                    };
                    tokio::join!(up, down);
                });
            }
        });
        Self { addr, open }
    }

    /// Since when a watch of the configuration waits.
    fn watched(&self) -> Option<Instant> {
        self.open.lock().iter().filter_map(|c| *c.watched.lock()).max()
    }

    fn silence(&self) -> usize {
        let open = self.open.lock();
        let waiting = open.iter().filter(|c| c.watched.lock().is_some());
        waiting.map(|c| c.silent.store(true, Ordering::SeqCst)).count()
    }
}

fn script(received: &ReceivedRequest) -> Vec<Action> {
    match received.id() {
        "" => vec![Action::Send(b"HTTP/1.1 200 OK\r\nX-Replica-Id: i-02d9e6b0\r\nContent-Length: 0\r\n\r\n".to_vec())],
        id => vec![Action::Send(answer("200 OK", id, "fine"))],
    }
}

#[tokio::main]
async fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    let store = Store::start().await;
    let with_keys = |version: u64, keys: &[&str]| {
        let mut next = config(version);
        next["tenants"][0]["keys"] = json!(keys);
        next
    };
    store.put("config", "main", with_keys(7, &["key-1", "key-2"]));
    let replica = Replica::start(script).await;
    store.put("servers", "i-02d9e6b0", registration("booking-app", replica.addr, 0, 6, 1_700_000_000_000));
    let names = ["front-colombo-a-1", "front-kandy-a-1", "front-galle-a-1"];
    let mut machines = Vec::new();
    let mut links = Vec::new();
    for zone in 0..3 {
        let link = Link::start(store.addr).await;
        machines.push(Machine::new(names[zone], zone, link.addr));
        links.push(link);
    }
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
    sleep(Duration::from_secs(8)).await;
    // The machines began within 0.3 s of each other, and so do their watches.
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let begun: Option<Vec<_>> = links.iter().map(Link::watched).collect();
        if begun.is_some_and(|b| b.iter().all(|at| at.elapsed() < Duration::from_millis(300))) {
            break;
        }
        if Instant::now() > until {
            cannot_run("the watches of the machines do not begin together");
        }
        sleep(Duration::from_millis(5)).await;
    }
    let silent = Instant::now();
    if trouble {
        let count: usize = links.iter().map(Link::silence).sum();
        record.line(&format!("{count} open channels to the store go silent; new ones work"));
    }
    sleep(Duration::from_millis(300)).await;
    store.put("config", "main", with_keys(8, &["key-1"]));
    let acked = Instant::now();
    record.line("the store acknowledges version 8, which takes key-2 away");
    let bound = (acked + APPLY).max(silent + CONTACT) + MARGIN;
    let (mut late, mut last, mut sent) = (0, Duration::ZERO, 0);
    while acked.elapsed() < Duration::from_secs(7) {
        for machine in &machines {
            let at = Instant::now();
            let id = format!("ff{sent:06}");
            let Some(mut channel) = Channel::open(machine.front).await else { continue };
            let text = request("POST", "/once/2f", &id, 2000, "Connection: close\r\n", "deposit");
            channel.send(&text.replace("key-1", "key-2")).await;
            channel.read_until(Duration::from_secs(3), |_| false).await;
            sent += 1;
            let has_run = replica.received().iter().any(|r| r.id() == id);
            if has_run && at >= bound {
                late += 1;
                last = last.max(at - acked);
                record.line(&format!("{}: request {id}, sent {:.3} s after the ack and {:.3} s after the silence began, ran with key-2: status {}",
                    machine.name, (at - acked).as_secs_f64(), (at - silent).as_secs_f64(), channel.status()));
            }
        }
        sleep(Duration::from_millis(15)).await;
    }
    drop(machines);
    record.line(&format!("{sent} requests with key-2, {late} of them ran later than both bounds, the last sent {:.3} s after the ack", last.as_secs_f64()));
    if late > 0 {
        record.line("BROKEN: requests ran with a key that had been taken away");
        std::process::exit(1);
    }
    record.line("held");
}
