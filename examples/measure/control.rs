//! What control costs each instance, while one size varies and the others stay.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use endivefork::http::{Client, Via, request};
use futures_util::stream::{self, StreamExt as _, TryStreamExt as _};
use http::Method;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::Budget;
use super::child::Process;
use super::lab::Lab;
use super::line::Line;
use super::table::Table;

/// Key of the operator who reads the counts.
const OPERATOR: &str = "measure-operator";

/// Longest wait for one call.
const LIMIT: Duration = Duration::from_secs(30);

/// Time after the start in which listings, elections and first polls pass.
const SETTLE: Duration = Duration::from_secs(4);

/// Shortest time over which use is counted.
const LEAST_WINDOW: Duration = Duration::from_secs(3);

/// Points of a run, for the share of the time that each gets.
const POINTS: u32 = 15;

/// Calls at once while a point is prepared.
const AT_ONCE: usize = 32;

/// The sizes of one point.
#[derive(Clone, Copy, Debug)]
struct Size {
    peers: usize,
    targets: usize,
    accounts: usize,
    changes: f64,
}

/// The sizes that stay while another varies.
const BASE: Size = Size {
    peers: 2,
    targets: 36,
    accounts: 10,
    changes: 0.0,
};

/// Mean use of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    /// Per cent of one processor.
    cpu: f64,
    /// Bytes of memory.
    memory: f64,
    /// Bytes a second sent to peers.
    bytes: f64,
    /// Platform calls a second.
    calls: f64,
}

/// One part of the use.
type Part = fn(&Use) -> f64;

struct Series {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, Size)>,
}

fn series() -> Vec<Series> {
    let peers = [2, 4, 8].map(|peers| (peers as f64, Size { peers, ..BASE }));
    let targets = [36, 250, 1000].map(|targets| (targets as f64, Size { targets, ..BASE }));
    let accounts = [10, 5000, 23000].map(|accounts| (accounts as f64, Size { accounts, ..BASE }));
    let changes = [1.0, 5.0, 20.0].map(|changes| (changes, Size { changes, ..BASE }));
    let many = Size {
        accounts: 23000,
        ..BASE
    };
    let changes_many = [0.5, 1.0, 2.0].map(|changes| (changes, Size { changes, ..many }));
    vec![
        Series {
            name: "peers",
            unit: "peer",
            points: peers.to_vec(),
        },
        Series {
            name: "targets",
            unit: "target",
            points: targets.to_vec(),
        },
        Series {
            name: "accounts",
            unit: "account",
            points: accounts.to_vec(),
        },
        Series {
            name: "changes/s",
            unit: "change/s",
            points: changes.to_vec(),
        },
        Series {
            name: "changes/s, 23000 accounts",
            unit: "change/s",
            points: changes_many.to_vec(),
        },
    ]
}

/// Measures three points of each series and fits a line through them.
pub async fn measure(budget: Budget) -> anyhow::Result<Vec<Table>> {
    let window = (budget.time / (2 * POINTS)).max(LEAST_WINDOW);
    let mut points = Table::new(
        format!(
            "mean use of one instance over {:.1} s; what does not vary: {} peers, {} targets, {} accounts, no changes",
            window.as_secs_f64(),
            BASE.peers,
            BASE.targets,
            BASE.accounts
        ),
        &[
            "varies",
            "size",
            "cpu %",
            "memory MB",
            "peer B/s",
            "platform calls/s",
        ],
    );
    let mut slopes = Table::new(
        "least squares: use = base + slope * size, with the root of the mean squared residual",
        &["varies", "use", "base", "slope", "per", "error"],
    );
    for series in series() {
        let mut seen = Vec::new();
        for (x, size) in &series.points {
            let used = point(*size, window)
                .await
                .with_context(|| format!("could not measure {size:?}"))?;
            points.row([
                series.name.to_owned(),
                x.to_string(),
                format!("{:.2}", used.cpu),
                format!("{:.1}", used.memory / 1e6),
                format!("{:.0}", used.bytes),
                format!("{:.2}", used.calls),
            ]);
            seen.push((*x, used));
        }
        let uses: [(&str, Part); 4] = [
            ("cpu %", |used| used.cpu),
            ("memory MB", |used| used.memory / 1e6),
            ("peer B/s", |used| used.bytes),
            ("platform calls/s", |used| used.calls),
        ];
        for (name, of) in uses {
            let line = Line::fit(
                &seen
                    .iter()
                    .map(|(x, used)| (*x, of(used)))
                    .collect::<Vec<_>>(),
            );
            slopes.row([
                series.name.to_owned(),
                name.to_owned(),
                format!("{:.3}", line.base),
                format!("{:.6}", line.slope),
                series.unit.to_owned(),
                format!("{:.3}", line.error),
            ]);
        }
    }
    Ok(vec![points, slopes])
}

/// Entry instances as processes of their own.
struct Fleet {
    lab: Lab,
    entries: Vec<Process>,
    _engines: Process,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    cpu: Duration,
    bytes: f64,
    calls: f64,
}

async fn point(size: Size, window: Duration) -> anyhow::Result<Use> {
    let fleet = Fleet::start(size).await?;
    tokio::time::sleep(SETTLE).await;
    let before = fleet.readings().await?;
    let begun = Instant::now();
    fleet.change(size.changes, window).await?;
    tokio::time::sleep(window.saturating_sub(begun.elapsed())).await;
    let took = begun.elapsed().as_secs_f64();
    let after = fleet.readings().await?;
    let count = fleet.entries.len() as f64;
    let mut used = Use::default();
    for (before, after) in before.iter().zip(&after) {
        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
        used.cpu += 100.0 * cpu / took / count;
        used.bytes += (after.bytes - before.bytes) / took / count;
        used.calls += (after.calls - before.calls) / took / count;
    }
    let memory: u64 = fleet.entries.iter().map(Process::memory).sum();
    used.memory = memory as f64 / count;
    Ok(used)
}

impl Fleet {
    async fn start(size: Size) -> anyhow::Result<Self> {
        let lab = Lab::new().await?;
        let engines = Process::start(&["child-engines", &size.targets.to_string()])?;
        for (i, addr) in engines.banner.split_whitespace().enumerate() {
            lab.list(json!({
                "name": format!("engine-{i}"), "role": "engine", "addr": addr, "domain": "d1",
                "region": "r1", "service": "llm", "version": "v1", "state": "live",
            }))
            .await?;
        }
        let accounts = stream::iter(2..=size.accounts).map(|i| put_account(&lab, i, 1, 0));
        accounts
            .buffer_unordered(AT_ONCE)
            .try_collect::<Vec<_>>()
            .await?;
        let mut fleet = Self {
            lab,
            entries: Vec::new(),
            _engines: engines,
        };
        for i in 0..size.peers {
            let entry = start_entry(&fleet.lab, &format!("entry-{i}")).await?;
            fleet.entries.push(entry);
        }
        for entry in &fleet.entries {
            until_ready(&fleet.lab, entry).await?;
        }
        Ok(fleet)
    }

    async fn readings(&self) -> anyhow::Result<Vec<Reading>> {
        let mut all = Vec::new();
        for entry in &self.entries {
            let admin = entry.addr("admin")?;
            let metrics = read(&self.lab.client, &format!("http://{admin}/metrics")).await?;
            let status = read(&self.lab.client, &format!("http://{admin}/v1/status")).await?;
            let status: Value = serde_json::from_str(&status)?;
            let counts = status["platform"]
                .as_object()
                .context("no platform counts")?;
            all.push(Reading {
                cpu: entry.cpu(),
                bytes: sample(&metrics, "endivefork_peer_bytes_total{direction=\"sent\"}"),
                calls: counts.values().filter_map(Value::as_f64).sum(),
            });
        }
        Ok(all)
    }

    /// Changes one account so many times a second.
    async fn change(&self, rate: f64, window: Duration) -> anyhow::Result<()> {
        if rate <= 0.0 {
            return Ok(());
        }
        let mut rev = put_account(&self.lab, 0, 1, 0).await?;
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
        let end = Instant::now() + window;
        for weight in 2.. {
            ticks.tick().await;
            if Instant::now() >= end {
                break;
            }
            rev = put_account(&self.lab, 0, weight, rev).await?;
        }
        Ok(())
    }
}

/// Starts an entry instance as a process and lists it.
pub async fn start_entry(lab: &Lab, name: &str) -> anyhow::Result<Process> {
    let file = settings_file(name, &lab.settings_text(name))?;
    let process = Process::start(&["child-entry", &file.to_string_lossy()]);
    let _ = std::fs::remove_file(&file);
    let process = process?;
    let (caller, peer) = (process.addr("caller")?, process.addr("peer")?);
    lab.list(json!({
        "name": name, "role": "entry", "addr": caller, "peer": peer, "domain": "d1",
        "region": "r1", "state": "live",
    }))
    .await?;
    Ok(process)
}

/// Waits until an entry instance takes requests.
pub async fn until_ready(lab: &Lab, entry: &Process) -> anyhow::Result<()> {
    let end = Instant::now() + LIMIT;
    let url = format!("http://{}/readyz", entry.addr("caller")?);
    loop {
        let asked = request(Method::GET, &url, "");
        match lab.client.send(Via::Fresh, asked, LIMIT).await {
            Ok(answer) if answer.status.is_success() => return Ok(()),
            _ => ensure!(Instant::now() < end, "an instance is not ready"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn put_account(lab: &Lab, i: usize, weight: u32, base: u64) -> anyhow::Result<u64> {
    let account = json!({
        "key_sha256": hex::encode(Sha256::digest(format!("key-{i}"))),
        "weight": weight,
    });
    let platform = lab.platform;
    let url = format!("http://{platform}/v1/objects/account/account-{i}?if_rev={base}");
    let asked = request(Method::PUT, &url, account.to_string());
    let answer = lab.client.send(Via::Pool, asked, LIMIT).await?;
    ensure!(
        answer.status.is_success(),
        "the platform answered {}",
        answer.status
    );
    let written: Value = answer.json()?;
    written["rev"].as_u64().context("no revision")
}

async fn read(client: &Client, url: &str) -> anyhow::Result<String> {
    let mut asked = request(Method::GET, url, "");
    let key = format!("Bearer {OPERATOR}").parse()?;
    asked.headers_mut().insert("authorization", key);
    let answer = client.send(Via::Pool, asked, LIMIT).await?;
    ensure!(
        answer.status.is_success(),
        "{url} answered {}",
        answer.status
    );
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

fn sample(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0)
}

fn settings_file(name: &str, text: &str) -> anyhow::Result<PathBuf> {
    let digest = hex::encode(Sha256::digest(OPERATOR));
    let file = std::env::temp_dir().join(format!("measure-{}-{name}.ini", std::process::id()));
    std::fs::write(
        &file,
        format!("{text}[operators]\nmeasure = {digest}\n[log]\nlevel = critical\n"),
    )?;
    Ok(file)
}
