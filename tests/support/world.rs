//! A platform stub, target stubs and entry instances, each as its own process.

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use endivefork::http::{Client, Via, request};
use http::Method;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::forwarder::Forwarder;
use super::process::{Process, example};

/// Timeout of a call or a condition.
pub const LIMIT: Duration = Duration::from_secs(20);

/// A stub's process with its name and address.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub addr: SocketAddr,
    pub process: Process,
}

/// An entry instance's process.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
    pub process: Process,
    pub settings: String,
}

/// The system under test.
#[derive(Debug)]
pub struct World {
    pub client: Client,
    pub platform: Node,
    pub engines: Vec<Node>,
    pub plains: Vec<Node>,
    pub entries: Vec<Instance>,
}

impl World {
    /// Starts a platform without targets or instances.
    pub fn new() -> Self {
        let mut command = Command::new(example("platform"));
        command.args(["--listen", "127.0.0.1:0"]);
        let process = Process::start(&mut command);
        Self {
            client: Client::connecting_within(LIMIT),
            platform: Node {
                name: "platform".into(),
                addr: process.addr("listening"),
                process,
            },
            engines: Vec::new(),
            plains: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// The standard setup: the services `llm` and `desk`, two accounts, `engines` engines, one plain
    /// target and `entries` entry instances, all in one failure domain and ready.
    pub async fn usual(engines: usize, entries: usize, engine_args: &[&str]) -> Self {
        let mut world = Self::new();
        world.configure().await;
        for _ in 0..engines {
            world.engine("v1", engine_args).await;
        }
        world.plain(&[]).await;
        for _ in 0..entries {
            world.entry("").await;
        }
        world.ready().await;
        world
    }

    /// Stores the services `llm` and `desk` and the accounts `one` and `two`.
    pub async fn configure(&self) {
        let llm = json!({
            "kind": "generation",
            "version": "v1",
            "versions": {"v1": {"model": "m1"}, "v2": {"model": "m2"}},
        });
        let desk = json!({
            "kind": "plain",
            "version": "v1",
            "versions": {"v1": {}},
            "routes": [
                {"method": "GET", "path": "/", "repeat": "safe"},
                {"method": "POST", "path": "/actions", "repeat": "never"},
            ],
        });
        self.store("service", "llm", &llm).await;
        self.store("service", "desk", &desk).await;
        for name in ["one", "two"] {
            let key = format!("key-{name}");
            let hash = hex::encode(Sha256::digest(key.as_bytes()));
            let account = json!({"key_sha256": hash});
            self.store("account", name, &account).await;
        }
    }

    /// Stores an object on the platform, replacing any previous one.
    pub async fn store(&self, kind: &str, name: &str, value: &Value) {
        let path = format!("/v1/objects/{kind}/{name}");
        let rev = self.read(self.platform.addr, &path).await["rev"].clone();
        let rev = rev.as_u64().unwrap_or(0);
        let url = format!("http://{}{path}?if_rev={rev}", self.platform.addr);
        let request = request(Method::PUT, &url, value.to_string());
        let answer = self.client.send(Via::Pool, request, LIMIT).await;
        let answer = answer.expect("the platform answers");
        assert!(answer.status.is_success(), "{answer:?}");
    }

    /// Sends `body` to a stub's control route and returns its answer.
    pub async fn control(&self, addr: SocketAddr, path: &str, body: &Value) -> Value {
        let url = format!("http://{addr}{path}");
        let request = request(Method::POST, &url, body.to_string());
        let answer = self.client.send(Via::Fresh, request, LIMIT).await;
        answer
            .ok()
            .and_then(|a| a.json().ok())
            .unwrap_or(Value::Null)
    }

    /// Reads JSON from `path` at `addr`.
    pub async fn read(&self, addr: SocketAddr, path: &str) -> Value {
        let url = format!("http://{addr}{path}");
        let answer = self
            .client
            .send(Via::Fresh, request(Method::GET, &url, ""), LIMIT)
            .await;
        answer
            .ok()
            .and_then(|a| a.json().ok())
            .unwrap_or(Value::Null)
    }

    /// Starts an engine of `llm` and adds it to the platform's instance list.
    pub async fn engine(&mut self, version: &str, args: &[&str]) -> usize {
        let name = format!("engine-{}", self.engines.len());
        let mut command = Command::new(example("engine"));
        command.args(["--listen", "127.0.0.1:0", "--name", &name]);
        command.args(["--service", "llm", "--version", version]);
        command.args(args);
        let process = Process::start(&mut command);
        let addr = process.addr("listening");
        self.list(&name, "engine", addr, None, Some(("llm", version)))
            .await;
        self.engines.push(Node {
            name,
            addr,
            process,
        });
        self.engines.len() - 1
    }

    /// Starts a target of `desk` and adds it to the platform's instance list.
    pub async fn plain(&mut self, args: &[&str]) -> usize {
        let name = format!("plain-{}", self.plains.len());
        let mut command = Command::new(example("plain"));
        command.args(["--listen", "127.0.0.1:0"]).args(args);
        let process = Process::start(&mut command);
        let addr = process.addr("listening");
        self.list(&name, "plain", addr, None, Some(("desk", "v1")))
            .await;
        self.plains.push(Node {
            name,
            addr,
            process,
        });
        self.plains.len() - 1
    }

    /// Starts an entry instance in failure domain `d1` with additional settings `more`, and adds it
    /// to the platform's instance list.
    pub async fn entry(&mut self, more: &str) -> usize {
        let name = format!("entry-{}", self.entries.len());
        let settings = self.settings(&name, more);
        let instance = start_entry(&name, settings);
        self.list(&name, "entry", instance.caller, Some(instance.peer), None)
            .await;
        self.entries.push(instance);
        self.entries.len() - 1
    }

    /// Like [`Self::entry`], but other instances reach it through a forwarder.
    pub async fn entry_behind(&mut self, forwarder: &Forwarder) -> usize {
        let name = format!("entry-{}", self.entries.len());
        let advertise = format!("[peers]\nadvertise = {}\n", forwarder.addr);
        let settings = self.settings(&name, "").replace("[peers]\n", &advertise);
        let instance = start_entry(&name, settings);
        forwarder.forward_to(instance.peer);
        self.list(&name, "entry", instance.caller, Some(forwarder.addr), None)
            .await;
        self.entries.push(instance);
        self.entries.len() - 1
    }

    fn settings(&self, name: &str, more: &str) -> String {
        let operator = hex::encode(Sha256::digest(b"operator-key"));
        format!(
            "[instance]\nname = {name}\ndomain = d1\nregion = r1\n\n\
             [listen]\ncaller = 127.0.0.1:0\nadmin = 127.0.0.1:0\npeer = 127.0.0.1:0\n\n\
             [platform]\naddr = {}\n\n\
             [peers]\nkey = a-key-that-all-instances-share\n\n\
             [operators]\nops = {operator}\n\n{more}\n",
            self.platform.addr,
        )
    }

    /// Adds an instance or target to the platform's instance list.
    pub async fn list(
        &self,
        name: &str,
        role: &str,
        addr: SocketAddr,
        peer: Option<SocketAddr>,
        serves: Option<(&str, &str)>,
    ) {
        let mut item = json!({
            "name": name, "role": role, "addr": addr, "domain": "d1", "region": "r1",
            "state": "live",
        });
        if let Some(peer) = peer {
            item["peer"] = json!(peer);
        }
        if let Some((service, version)) = serves {
            item["service"] = service.into();
            item["version"] = version.into();
        }
        self.control(self.platform.addr, "/control/instances", &item)
            .await;
    }

    /// Waits until every entry instance is ready.
    pub async fn ready(&self) {
        for entry in &self.entries {
            let url = format!("http://{}/readyz", entry.caller);
            until(&format!("{} is ready", entry.name), async || {
                let request = request(Method::GET, &url, "");
                let answer = self.client.send(Via::Fresh, request, LIMIT).await;
                answer.is_ok_and(|a| a.status.is_success())
            })
            .await;
        }
    }
}

/// Starts an entry instance's process.
pub fn start_entry(name: &str, settings: String) -> Instance {
    let file = std::env::temp_dir().join(format!(
        "endivefork-{}-{name}-{:x}.ini",
        std::process::id(),
        rand::random::<u64>()
    ));
    std::fs::write(&file, &settings).expect("could not write settings");
    let mut command = Command::new(env!("CARGO_BIN_EXE_endivefork"));
    command.args(["serve", "--config"]).arg(&file);
    let process = Process::start(&mut command);
    let _ = std::fs::remove_file(&file);
    Instance {
        name: name.into(),
        caller: process.addr("caller"),
        admin: process.addr("admin"),
        peer: process.addr("peer"),
        process,
        settings,
    }
}

/// Polls until `condition` holds; panics after [`LIMIT`].
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < LIMIT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
