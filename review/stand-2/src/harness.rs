//! Processes, clients and the record of one case.

use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::free_addr;

/// Zones of the deployment and their regions.
pub const ZONES: [(&str, &str); 3] = [
    ("colombo-a", "western"),
    ("kandy-a", "central"),
    ("galle-a", "southern"),
];

/// Program of the deploy file, started in the root of the repository.
const PROGRAM: &str = "target/release/endivefork-platform";

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Writes to the path in `RECORD`.
    pub fn open() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        let _ = self.file.lock().write_all(line.as_bytes());
    }
}

/// Whether the case is to be played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Folder for the files of one play.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").unwrap_or_else(|_| "/tmp".into()))
}

/// Notes a process that was started, so that the script ends it in any case.
pub fn note_process(child: &Child) {
    let path = folder().join("pids");
    let file = File::options().create(true).append(true).open(path);
    let _ = file.map(|mut f| writeln!(f, "{}", child.id()));
}

/// Ends a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    std::process::exit(2);
}

/// One machine: its addresses and its settings, kept over restarts.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    pub child: Option<Child>,
    starts: u32,
    store: SocketAddr,
    zone: usize,
    seeds: Vec<SocketAddr>,
    more: String,
}

impl Machine {
    pub fn new(name: &str, zone: usize, store: SocketAddr) -> Self {
        Self {
            name: name.into(),
            front: free_addr(),
            ready: free_addr(),
            control: free_addr(),
            settings: folder().join(format!("{name}-{}.conf", std::process::id())),
            child: None,
            starts: 0,
            store,
            zone,
            seeds: Vec::new(),
            more: String::new(),
        }
    }

    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    pub fn add_settings(&mut self, more: &str) {
        self.more.push_str(more);
    }

    /// Starts the process with settings like those of `sites/rackshare-lk.toml`.
    pub fn start(&mut self) {
        let (zone, region) = ZONES[self.zone];
        let zones: String = ZONES
            .iter()
            .map(|(z, r)| format!("zones.{z}={r}\n"))
            .collect();
        let seeds: Vec<_> = self.seeds.iter().map(ToString::to_string).collect();
        let bootstrap = self.starts == 0;
        let text = format!(
            "node_name={}\nrole=entry\nmachine_class=front\nserves=front,control\nip=127.0.0.1\n\
             zone={zone}\nregion={region}\n{zones}\
             listen_addrs.front={}\nlisten_addrs.ready={}\nlisten_addrs.control={}\n\
             seed_nodes={}\nbootstrap={bootstrap}\nloss_counts=false\n\
             limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry_point=virtual_ip\n\
             heartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             contract_params.seed_lag_s=3\ncontract_params.addr_reuse_s=2\n\
             contract_params.contact_ms=4000\ncontract_params.ack_ms=5000\n\
             contract_params.sync_time_s=4\ncontract_params.drain_ms=3000\n\
             contract_params.grace_s=8\ncontract_params.loss_slack_ms=200\n\
             contract_params.config_apply_ms=3000\ncontract_params.rollback_slack_ms=250\n\
             contract_params.max_stretch_ms=6000\ncontract_params.revoke_strict=false\n\
             contract_params.revoke_ms=5000\ncontract_params.retry_budget_ratio=0.8\n\
             contract_params.budget_window_s=10\ncontract_params.retry_slack=150\n\
             contract_params.expose_share=0.1\ncontract_params.exposure_slack=50\n\
             contract_params.rollback_ms=5000\ncontract_params.recovery_s=12\n\
             contract_params.pass_ms=400\ncontract_params.retry_after_s=4.9\n\
             platform.address={}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_ms=1000\n{}",
            self.name, self.front, self.ready, self.control, seeds.join(","), self.store, self.more
        );
        std::fs::write(&self.settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder().join(format!("{}.log", self.name)));
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let child = Command::new(PROGRAM)
            .env("ENDIVEFORK_SETTINGS", &self.settings)
            .stdout(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{PROGRAM}: {e}")));
        note_process(&child);
        self.child = Some(child);
        self.starts += 1;
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub async fn readiness(&self) -> u16 {
        crate::support::program::readiness(self.ready).await
    }

    pub async fn is_ready_within(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.readiness().await != 200 {
            if Instant::now() > until {
                return false;
            }
            sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> usize {
        let text = std::fs::read_to_string(format!("/proc/{}/statm", self.pid()));
        let pages = text.ok().and_then(|t| t.split(' ').nth(1)?.parse::<usize>().ok());
        pages.unwrap_or(0) * 4096
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A configuration like that of `sites/rackshare-lk.toml`: one route of each kind.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            { "name": "deposit-post", "host": "h.example", "path_prefix": "/once/",
              "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 200,
              "priority": 2, "service": "booking-app", "max_attempts": 1,
              "public_access": false, "session_affinity": false },
            { "name": "stock-lookup", "host": "h.example", "path_prefix": "/safe/",
              "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 200,
              "priority": 2, "service": "booking-app", "max_attempts": 2,
              "public_access": false, "session_affinity": false },
            { "name": "dispute-summary", "host": "h.example", "path_prefix": "/flow/",
              "kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 4500,
              "priority": 1, "service": "drafting-llm", "max_attempts": 5,
              "public_access": false, "session_affinity": true, "stream_resume": true,
              "gap_aim_ms": 700 },
        ],
        "services": [
            { "name": "booking-app", "health_path": "/health", "max_connections": 100 },
            { "name": "drafting-llm", "health_path": "/health", "max_connections": 300,
              "engine": { "slots": 48, "kv_capacity_tokens": 88000, "kv_token_bytes": 192_512,
                "link_mbps": 1_500_000.0, "moves": true, "backups": true, "handle_s": 4.0 } },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "hule930", "keys": ["key-1"] }],
    })
}

/// The registration of a replica.
pub fn registration(service: &str, addr: SocketAddr, zone: usize, slots: u32, born: u64) -> Value {
    json!({
        "service": service, "address": addr.to_string(), "zone": ZONES[zone].0, "version": "v1",
        "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born,
    })
}

/// A request in the form of PROTOCOL.md.
pub fn request(method: &str, path: &str, id: &str, deadline: u32, extra: &str, body: &str) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline}\r\nX-Api-Key: key-1\r\n{length}{extra}\r\n{body}"
    )
}

/// A client's channel with what has arrived on it.
pub struct Channel {
    pub stream: TcpStream,
    pub bytes: Vec<u8>,
}

impl Channel {
    pub async fn open(addr: SocketAddr) -> Option<Self> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(addr)).await;
        let stream = stream.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Self {
            stream,
            bytes: Vec::new(),
        })
    }

    pub async fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// Reads more; `false` at the end of the channel or after `limit`.
    pub async fn read(&mut self, limit: Duration) -> bool {
        let read = timeout(limit, self.stream.read_buf(&mut self.bytes)).await;
        matches!(read, Ok(Ok(n)) if n > 0)
    }

    /// Reads until `done` holds of the text; `false` if it does not within `limit`.
    pub async fn read_until(&mut self, limit: Duration, done: impl Fn(&str) -> bool) -> bool {
        let until = Instant::now() + limit;
        while !done(&self.text()) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.read(left).await {
                return done(&self.text());
            }
        }
        true
    }

    pub fn status(&self) -> u16 {
        let text = self.text();
        text.split(' ').nth(1).and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    /// Ids and data of the events that have arrived.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = self.text();
        let mut events = Vec::new();
        let mut id = None;
        for line in text.lines() {
            if let Some(v) = line.strip_prefix("id: ") {
                id = v.trim().parse().ok();
            }
            if let (Some(n), Some(data)) = (id, line.strip_prefix("data: ")) {
                events.push((n, data.trim().to_owned()));
                id = None;
            }
        }
        events
    }
}
