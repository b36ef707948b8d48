//! Entry instances in the test process, each with its own single-threaded runtime: shutting the
//! runtime down kills the instance, blocking its thread pauses it.

#![allow(dead_code, reason = "each test uses some of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use endivefork::failure::Failure;
use endivefork::generation::{GenerationRequest, Generations, Reader};
use endivefork::http::Client;
use endivefork::peer::{Layout, Member, Options, PeerKey, Peers};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use super::engines::Fleet;

/// Heartbeat interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Duration of a request's first quarantine.
pub const QUARANTINE: Duration = Duration::from_secs(4);

/// Timeout until all instances have discovered each other.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(10);

pub struct Entry {
    runtime: Option<Runtime>,
    pub generations: Generations,
    pub peers: Peers,
}

impl Entry {
    pub async fn start(
        fleet: &Arc<Fleet>,
        name: &str,
        domain: &str,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let hooks = fleet.hooks();
        let (name, domain) = (name.into(), domain.into());
        let started = runtime.spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let me = Member {
                name,
                addr: listener.local_addr().unwrap(),
                domain,
                region: "r".into(),
                capacity: 0,
            };
            let opts = Options {
                me,
                key: PeerKey::new("key"),
                period: HEARTBEAT_INTERVAL,
                seeds,
                layout: Layout::Mesh,
            };
            let peers = Peers::start(listener, opts);
            let generations = Generations::with_quarantine(hooks, Client::new(), QUARANTINE);
            generations.join(&peers);
            (generations, peers)
        });
        let (generations, peers) = started.await.unwrap();
        Self {
            runtime: Some(runtime),
            generations,
            peers,
        }
    }

    /// Opens a generation; panics if it is refused.
    pub async fn open(&self, start: GenerationRequest, from: Option<u64>) -> Reader {
        self.try_open(start, from).await.unwrap()
    }

    pub async fn try_open(
        &self,
        start: GenerationRequest,
        from: Option<u64>,
    ) -> Result<Reader, Failure> {
        let generations = self.generations.clone();
        let runtime = self.runtime.as_ref().unwrap();
        let opened = runtime.spawn(async move { generations.open(start, from).await });
        opened.await.unwrap()
    }

    pub fn kill(&mut self) {
        self.runtime.take().unwrap().shutdown_background();
    }

    pub fn pause(&self, time: Duration) {
        let runtime = self.runtime.as_ref().unwrap();
        runtime.spawn(async move { std::thread::sleep(time) });
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts `count` instances in one failure domain and waits until they have discovered each other.
pub async fn entries(fleet: &Arc<Fleet>, count: usize) -> Vec<Entry> {
    entries_in(fleet, &vec!["a"; count]).await
}

/// Starts an instance in each of `domains` and waits until they have discovered each other.
pub async fn entries_in(fleet: &Arc<Fleet>, domains: &[&str]) -> Vec<Entry> {
    let count = domains.len();
    let mut all: Vec<Entry> = Vec::new();
    for (i, domain) in domains.iter().enumerate() {
        let seeds = all.iter().map(|e| e.peers.me().addr).collect();
        all.push(Entry::start(fleet, &format!("entry-{i}"), domain, seeds).await);
    }
    let deadline = Instant::now() + DISCOVERY_TIMEOUT;
    while all.iter().any(|e| e.peers.alive().len() + 1 < count) {
        assert!(
            Instant::now() < deadline,
            "the instances have not discovered each other"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The list of replicas is refreshed shortly after the peers become alive.
    tokio::time::sleep(Duration::from_millis(150)).await;
    all
}
