//! Starts the program of the deploy file with its settings.

use std::fs::File;
use std::io::Read as _;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

/// The command of `deploy/system.toml`, run in the repository's root.
const COMMAND: &str = "target/release/endivefork-platform";

/// Ports below the range that the system hands out by itself, so that a restarted process finds its
/// own free.
const FIRST_PORT: u32 = 11_000;
const PORT_COUNT: u32 = 18_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script as one that could not run, and all processes that it started.
pub fn give_up(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    for id in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    std::process::exit(2);
}

pub fn free_addr() -> SocketAddr {
    let base = std::process::id() * 131;
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (base + offset) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("endivefork-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Name, zone and addresses of an instance.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    /// Address of the store as this instance knows it.
    pub store: SocketAddr,
}

impl Place {
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            front: free_addr(),
            ready: free_addr(),
            control: free_addr(),
            store,
        }
    }

    /// The settings of a small deployment: those of rackshare-lk on loopback addresses.
    fn settings(&self, seeds: &str, is_first: bool) -> String {
        let Self {
            name,
            zone,
            front,
            ready,
            control,
            store,
        } = self;
        format!(
            "node_name={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip=127.0.0.1\n\
             zone={zone}\nregion=r-{zone}\nzones.za=r-za\nzones.zb=r-zb\nzones.zc=r-zc\n\
             listen_addrs.front={front}\nlisten_addrs.ready={ready}\nlisten_addrs.control={control}\n\
             seed_nodes={seeds}\nbootstrap={is_first}\nloss_counts=false\n\
             limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry_point=virtual_ip\n\
             heartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,platform\n\
             contract_params.seed_lag_s=3\ncontract_params.addr_reuse_s=2\n\
             contract_params.contact_ms=4000\ncontract_params.ack_ms=5000\n\
             contract_params.sync_time_s=4\ncontract_params.drain_ms=3000\n\
             contract_params.grace_s=8\ncontract_params.loss_slack_ms=200\n\
             contract_params.config_apply_ms=3000\ncontract_params.rollback_slack_ms=250\n\
             contract_params.max_stretch_ms=6000\ncontract_params.retry_budget_ratio=0.8\n\
             contract_params.budget_window_s=10\ncontract_params.retry_slack=150\n\
             contract_params.recovery_s=12\n\
             platform.address={store}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_ms=1000\n"
        )
    }
}

/// A running instance; killed when dropped.
pub struct Program {
    pub place: Place,
    child: Child,
    record: Record,
}

impl Drop for Program {
    fn drop(&mut self) {
        self.end();
    }
}

impl Program {
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }

    pub fn start(place: &Place, all: &[Place], folder: &Folder, record: &Record) -> Self {
        Self::launch(place, all, true, folder, record)
    }

    /// Starts a process again while the rest of the system runs.
    pub fn restart(place: &Place, all: &[Place], folder: &Folder, record: &Record) -> Self {
        Self::launch(place, all, false, folder, record)
    }

    fn launch(
        place: &Place,
        all: &[Place],
        is_first: bool,
        folder: &Folder,
        record: &Record,
    ) -> Self {
        let seeds: Vec<_> = all.iter().take(3).map(|p| p.control.to_string()).collect();
        let settings = folder.0.join(format!("{}.conf", place.name));
        std::fs::write(&settings, place.settings(&seeds.join(","), is_first))
            .expect("settings are written");
        let log = match std::env::var_os("CASE_LOGS") {
            Some(logs) => File::options()
                .create(true)
                .append(true)
                .open(PathBuf::from(logs).join(format!("{}.log", place.name)))
                .map_or_else(|_| Stdio::null(), Stdio::from),
            None => Stdio::null(),
        };
        let child = Command::new(COMMAND)
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .into_iter()
                    .filter_map(|n| Some((n, std::env::var_os(n)?))),
            )
            .env("ENDIVEFORK_SETTINGS", &settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let Ok(child) = child else {
            give_up("the program of the deploy file is not built");
        };
        RUNNING.lock().unwrap().push(child.id());
        record.line(&format!(
            "instance {} starts in zone {}",
            place.name, place.zone
        ));
        Self {
            place: place.clone(),
            child,
            record: record.clone(),
        }
    }

    pub fn start_all(places: &[Place], folder: &Folder, record: &Record) -> Vec<Self> {
        let all = places
            .iter()
            .map(|p| Self::start(p, places, folder, record));
        let all: Vec<_> = all.collect();
        let until = Instant::now() + Duration::from_secs(15);
        for place in places {
            while !client::is_ready(place.ready) {
                if Instant::now() > until {
                    give_up("an instance is not ready in 15 s");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        record.line("all instances are ready");
        all
    }

    pub fn signal(&self, signal: &str) {
        self.record
            .line(&format!("instance {} gets SIG{signal}", self.place.name));
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.record
            .line(&format!("instance {} gets SIGKILL", self.place.name));
        self.end();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> usize {
        let mut text = String::new();
        let path = format!("/proc/{}/status", self.child.id());
        let read = File::open(path).and_then(|mut f| f.read_to_string(&mut text));
        let line = text.lines().find(|l| l.starts_with("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<usize>().ok());
        read.map_or(0, |_| kb.unwrap_or(0) * 1024)
    }
}
