//! A platform, engines and entry instances in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail, ensure};
use endivefork::caller::Drain;
use endivefork::http::{Client, Via, request};
use endivefork::serve::{self, Listeners};
use endivefork::settings::Settings;
use http::Method;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use super::{engine, platform};

/// Longest wait for the instances to be ready.
const READY: Duration = Duration::from_secs(10);

/// Key of the one client account.
pub const KEY: &str = "key-one";

/// Name of the one service.
pub const SERVICE: &str = "llm";

/// A running engine.
pub struct Target {
    pub name: String,
    pub addr: SocketAddr,
    pub engine: Arc<engine::Engine>,
}

/// A running entry instance with its own threads.
pub struct Entry {
    pub name: String,
    pub caller: SocketAddr,
    runtime: Option<Runtime>,
}

impl Entry {
    /// Ends it without notice: its threads and connections are dropped.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All that runs.
pub struct Lab {
    pub platform: SocketAddr,
    pub client: Client,
    pub targets: Vec<Target>,
    pub entries: Vec<Entry>,
}

impl Lab {
    /// A platform that holds one generation service and one account.
    pub async fn new() -> anyhow::Result<Self> {
        let listener = listen().await?;
        let lab = Self {
            platform: listener.local_addr()?,
            client: Client::new(),
            targets: Vec::new(),
            entries: Vec::new(),
        };
        tokio::spawn(platform::serve(listener, platform::Options::default()));
        let service = json!({
            "kind": "generation",
            "version": "v1",
            "versions": { "v1": { "model": "m" } },
            "fencing": "checked",
        });
        lab.store("service", SERVICE, &service).await?;
        let account = json!({
            "key_sha256": hex::encode(Sha256::digest(KEY)),
            "concurrency": 10_000,
        });
        lab.store("account", "one", &account).await?;
        Ok(lab)
    }

    /// Starts an engine in the usual place and lists it.
    pub async fn engine(&mut self, options: engine::options::Options) -> anyhow::Result<()> {
        self.engine_at(options, "d1", "r1").await
    }

    /// Starts an engine and lists it.
    pub async fn engine_at(
        &mut self,
        options: engine::options::Options,
        domain: &str,
        region: &str,
    ) -> anyhow::Result<()> {
        let listener = listen().await?;
        let addr = listener.local_addr()?;
        let name = options.name.clone();
        let running = engine::Engine::new(options);
        tokio::spawn(engine::run(listener, Arc::clone(&running)));
        self.list(json!({
            "name": name, "role": "engine", "addr": addr, "domain": domain, "region": region,
            "service": SERVICE, "version": "v1", "state": "live",
        }))
        .await?;
        self.targets.push(Target {
            name,
            addr,
            engine: running,
        });
        Ok(())
    }

    /// Starts an entry instance on threads of its own and lists it.
    pub async fn entry(&mut self) -> anyhow::Result<()> {
        let name = format!("entry-{}", self.entries.len() + 1);
        let settings = self.settings(&name)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let started = runtime.spawn(start_entry(settings)).await?;
        let (caller, peer) = match started {
            Ok(addrs) => addrs,
            Err(error) => {
                runtime.shutdown_background();
                return Err(error);
            }
        };
        self.entries.push(Entry {
            name: name.clone(),
            caller,
            runtime: Some(runtime),
        });
        self.list(json!({
            "name": name, "role": "entry", "addr": caller, "peer": peer, "domain": "d1",
            "region": "r1", "state": "live",
        }))
        .await
    }

    /// Waits until every entry instance takes requests.
    pub async fn ready(&self) -> anyhow::Result<()> {
        let end = Instant::now() + READY;
        for entry in &self.entries {
            let url = format!("http://{}/readyz", entry.caller);
            loop {
                let asked = request(Method::GET, &url, "");
                match self.client.send(Via::Fresh, asked, READY).await {
                    Ok(answer) if answer.status.is_success() => break,
                    _ if Instant::now() > end => bail!("{} is not ready", entry.name),
                    _ => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            }
        }
        Ok(())
    }

    /// The engine that runs most attempts, if any runs one.
    pub fn busiest(&self) -> Option<&Target> {
        let running = |target: &&Target| target.engine.running();
        let busiest = self.targets.iter().max_by_key(running)?;
        (busiest.engine.running() > 0).then_some(busiest)
    }

    async fn store(&self, kind: &str, name: &str, value: &Value) -> anyhow::Result<()> {
        let platform = self.platform;
        let url = format!("http://{platform}/v1/objects/{kind}/{name}?if_rev=0");
        self.send(Method::PUT, &url, value).await
    }

    /// Lists an instance on the platform.
    pub async fn list(&self, item: Value) -> anyhow::Result<()> {
        let url = format!("http://{}/control/instances", self.platform);
        self.send(Method::POST, &url, &item).await
    }

    async fn send(&self, method: Method, url: &str, value: &Value) -> anyhow::Result<()> {
        let asked = request(method, url, value.to_string());
        let answer = self.client.send(Via::Fresh, asked, READY).await?;
        ensure!(
            answer.status.is_success(),
            "{url} answered {}",
            answer.status
        );
        Ok(())
    }

    fn settings(&self, name: &str) -> anyhow::Result<Settings> {
        Ok(Settings::parse(&self.settings_text(name))?)
    }

    /// Settings of an entry instance in the usual place.
    pub fn settings_text(&self, name: &str) -> String {
        format!(
            "[instance]\nname = {name}\ndomain = d1\nregion = r1\n\
             [listen]\ncaller = 127.0.0.1:0\nadmin = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
             [platform]\naddr = {}\n[peers]\nkey = a-key-that-all-instances-share\n",
            self.platform
        )
    }
}

/// Starts an instance on the present runtime; returns its addresses for callers and for peers.
async fn start_entry(settings: Settings) -> anyhow::Result<(SocketAddr, SocketAddr)> {
    let listeners = Listeners::bind(&settings)?;
    let addrs = (listeners.caller.local_addr()?, listeners.peer.local_addr()?);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let drain = Arc::new(Drain::new(settings.drain));
    tokio::spawn(serve::serve(settings, log, listeners, drain));
    Ok(addrs)
}

async fn listen() -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener.context("could not listen on 127.0.0.1")
}
