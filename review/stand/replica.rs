//! A stand-in for the replicas of an engine service and of a plain service.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader, response};
use crate::record::Record;

/// A request that a replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub replica: String,
    pub service: String,
    pub id: String,
    pub host: String,
    pub path: String,
    pub kv_from: Option<String>,
    /// Request that wrote the copy from which this one went on.
    pub went_on_from: Option<Origin>,
}

/// What is known of the request that a copy of a run belongs to.
#[derive(Clone, Debug)]
pub struct Origin {
    pub id: String,
    pub host: String,
    pub service: String,
}

/// How an engine serves requests.
#[derive(Clone)]
pub struct Manner {
    /// Time to read a prompt.
    pub prefill: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Number of events of a stream, by its request.
    pub events: Arc<dyn Fn(&Head) -> u64 + Send + Sync>,
    /// Whether a request crashes the replica that begins to run it.
    pub deadly: Arc<dyn Fn(&Head) -> bool + Send + Sync>,
    /// Time for which a crashed replica is gone.
    pub down: Duration,
    /// Prefix of the paths that the service knows; others get its own 404.
    pub serves: &'static str,
    pub is_engine: bool,
}

impl Manner {
    pub fn steady(prefill_ms: u64, gap_ms: u64, events: u64) -> Self {
        Self {
            prefill: Duration::from_millis(prefill_ms),
            gap: Duration::from_millis(gap_ms),
            events: Arc::new(move |_| events),
            deadly: Arc::new(|_| false),
            down: Duration::from_secs(2),
            serves: "/",
            is_engine: true,
        }
    }

    /// A plain service, whose calls take `work_ms`.
    pub fn plain(serves: &'static str, work_ms: u64) -> Self {
        Self {
            serves,
            is_engine: false,
            ..Self::steady(work_ms, 0, 0)
        }
    }
}

/// What all replicas of a case share.
#[derive(Clone, Default)]
pub struct Cluster {
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Copies of runs, by the address of the engine that holds them and the id of the run.
    copies: Arc<Mutex<HashMap<(String, String), Origin>>>,
    pub crashes: Arc<Mutex<Vec<(Instant, String)>>>,
}

/// A running replica.
#[derive(Clone)]
pub struct Replica {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Number of the process that runs: a crash ends the requests of the one before.
    lifetime: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    manner: Manner,
    cluster: Cluster,
    record: Record,
}

impl Replica {
    pub fn start(
        (name, service, zone): (&str, &str, &str),
        manner: Manner,
        cluster: &Cluster,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        Self::start_on(listener, (name, service, zone), manner, cluster, record)
    }

    /// Starts a replica at the address of one that is gone.
    pub fn start_at(
        addr: SocketAddr,
        names: (&str, &str, &str),
        manner: Manner,
        cluster: &Cluster,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(addr).expect("the address is free again");
        Self::start_on(listener, names, manner, cluster, record)
    }

    fn start_on(
        listener: TcpListener,
        (name, service, zone): (&str, &str, &str),
        manner: Manner,
        cluster: &Cluster,
        record: &Record,
    ) -> Self {
        let replica = Self {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr().expect("it is bound"),
            lifetime: Arc::default(),
            open: Arc::default(),
            manner,
            cluster: cluster.clone(),
            record: record.clone(),
        };
        replica.listen(listener);
        replica
    }

    /// Accepts channels until the process of the replica ends.
    fn listen(&self, listener: TcpListener) {
        let clone = self.clone();
        let lifetime = self.lifetime.load(Ordering::SeqCst);
        listener
            .set_nonblocking(true)
            .expect("the listener is open");
        thread::spawn(move || {
            while clone.lifetime.load(Ordering::SeqCst) == lifetime {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(open) = stream.try_clone() {
                    let mut all = clone.open.lock().unwrap();
                    all.retain(|s| s.peer_addr().is_ok());
                    all.push(open);
                }
                let replica = clone.clone();
                thread::spawn(move || {
                    replica.serve(stream);
                });
            }
        });
    }

    /// The registration in the store.
    pub fn registration(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":48,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1764900000000}}",
            self.service, self.addr, self.zone
        )
    }

    /// Ends the process of the replica: its listener and all channels close.
    pub fn end(&self) {
        self.lifetime.fetch_add(1, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener is closed by its own thread.
        thread::sleep(Duration::from_millis(10));
    }

    fn crash(&self, id: &str) {
        let now = Instant::now();
        self.record
            .line(&format!("replica {} crashes on request {id}", self.name));
        self.cluster.crashes.lock().unwrap().push((now, id.into()));
        self.end();
        let clone = self.clone();
        thread::spawn(move || {
            thread::sleep(clone.manner.down);
            if let Ok(listener) = TcpListener::bind(clone.addr) {
                clone.listen(listener);
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            if reader.body(&head).is_err() || !self.answer(&mut reader, &head) {
                break;
            }
        }
        let _ = reader.stream.shutdown(Shutdown::Both);
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(&self, reader: &mut Reader, head: &Head) -> bool {
        let own = format!("X-Replica-Id: {}\r\n", self.name);
        let Some(id) = head.get("x-request-id") else {
            let answer = match head.path() {
                "/health" => response("200 OK", &own, ""),
                "/endivefork/report" if self.manner.is_engine => response(
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    "{\"stage\":\"both\",\"state\":\"ready\",\"born\":1764900000000,\"busy\":false,\
                     \"waiting\":0,\"running\":0,\"runs\":[],\"kv_used\":0,\"kv_total\":88000}",
                ),
                // Memory of runs can't be moved here now.
                _ if self.manner.is_engine => {
                    response("503 Service Unavailable", "X-Not-Executed: 1\r\n", "{}")
                }
                _ => response(
                    "404 Not Found",
                    "Content-Type: application/json\r\n",
                    "{\"error\":\"no such path\"}",
                ),
            };
            return reader.send(&answer).is_ok();
        };
        if head.get("x-expect-replica").is_some_and(|r| r != self.name) {
            return reader
                .send(&response("421 Misdirected Request", &own, ""))
                .is_ok();
        }
        let refused = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
        let kv_from = head.get("kv-from").map(ToOwned::to_owned);
        let mut went_on_from = None;
        if let Some(from) = &kv_from {
            let (addr, run) = from.split_once('/').unwrap_or((from, ""));
            let key = (addr.to_owned(), run.to_owned());
            let copy = match addr == self.addr.to_string() {
                true => self.cluster.copies.lock().unwrap().remove(&key),
                false => None,
            };
            match copy {
                Some(origin) => went_on_from = Some(origin),
                None => {
                    self.record.line(&format!(
                        "replica {} refuses {id}: no copy {from}",
                        self.name
                    ));
                    return reader
                        .send(&response("503 Service Unavailable", &refused, ""))
                        .is_ok();
                }
            }
        }
        let run = Run {
            at: Instant::now(),
            replica: self.name.clone(),
            service: self.service.clone(),
            id: id.into(),
            host: head.get("host").unwrap_or_default().into(),
            path: head.target().into(),
            kv_from,
            went_on_from,
        };
        self.record.line(&format!(
            "replica {} ({}) runs {id}: {} host {} tenant {} last-event {} kv-from {} copy-of {}",
            run.replica,
            run.service,
            head.line,
            run.host,
            head.get("x-tenant").unwrap_or("-"),
            head.get("last-event-id").unwrap_or("-"),
            run.kv_from.as_deref().unwrap_or("-"),
            run.went_on_from
                .as_ref()
                .map_or("-".into(), |o| format!("{} (host {})", o.id, o.host)),
        ));
        self.cluster.runs.lock().unwrap().push(run.clone());
        let seal = format!("X-Request-Id: {id}\r\nX-Response-Seal: seal.{id}\r\n");
        if !head.path().starts_with(self.manner.serves) {
            let json = format!("{seal}Content-Type: application/json\r\n");
            let answer = response("404 Not Found", &json, "{\"error\":\"no such path\"}");
            return reader.send(&answer).is_ok();
        }
        if head.get("x-token-count").is_none() {
            if (self.manner.deadly)(head) {
                self.crash(id);
                return false;
            }
            thread::sleep(self.manner.prefill);
            let body = format!("served by {} of {}\n", self.name, self.service);
            return reader.send(&response("200 OK", &seal, &body)).is_ok();
        }
        let is_whole = self.stream(reader, head, &run, &seal);
        let how = if is_whole { "ended" } else { "was cut" };
        self.record
            .line(&format!("replica {}: stream {id} {how}", self.name));
        false
    }

    /// Streams the events of a run. Returns whether all were sent.
    fn stream(&self, reader: &mut Reader, head: &Head, run: &Run, seal: &str) -> bool {
        let lifetime = self.lifetime.load(Ordering::SeqCst);
        let is_alive = || self.lifetime.load(Ordering::SeqCst) == lifetime;
        let backup = head.get("x-kv-backup").map(ToOwned::to_owned);
        let key = backup.map(|addr| (addr, run.id.clone()));
        if run.kv_from.is_none() {
            thread::sleep(self.manner.prefill);
        }
        let first = format!(
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        );
        if !is_alive() || reader.send(first.as_bytes()).is_err() {
            return false;
        }
        if (self.manner.deadly)(head) {
            self.crash(&run.id);
            return false;
        }
        let last = head.get("last-event-id").and_then(|v| v.parse().ok());
        let last: u64 = last.unwrap_or(0);
        for number in last + 1..=(self.manner.events)(head) {
            let text = format!(
                "id: {number}\ndata: piece {number} of {} by {}\n\n",
                run.host, self.service
            );
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if !is_alive() || reader.send(chunk.as_bytes()).is_err() {
                return false;
            }
            if let Some(key) = &key {
                let origin = Origin {
                    id: run.id.clone(),
                    host: run.host.clone(),
                    service: self.service.clone(),
                };
                self.cluster
                    .copies
                    .lock()
                    .unwrap()
                    .insert(key.clone(), origin);
            }
            thread::sleep(self.manner.gap);
        }
        if let Some(key) = &key {
            self.cluster.copies.lock().unwrap().remove(key);
        }
        reader.send(b"0\r\n\r\n").is_ok()
    }
}
