//! Processes that this program starts of itself, and what the system says of them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::Context as _;
use endivefork::settings::Settings;
use tokio::net::TcpListener;

use super::engine::{self, options::Options};

/// Clock ticks a second of /proc on Linux.
const TICKS: f64 = 100.0;

/// Bytes of a page.
const PAGE: u64 = 4096;

/// Serves as an entry instance until it is killed.
pub async fn entry(file: &Path) -> anyhow::Result<()> {
    let load = || Settings::read(file);
    endivefork::serve::run(load()?, load).await
}

/// Serves so many engines in one process and prints their addresses in one line.
pub async fn engines(count: usize) -> anyhow::Result<()> {
    let mut addrs = Vec::new();
    for i in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addrs.push(listener.local_addr()?.to_string());
        let options = Options {
            name: format!("engine-{i}"),
            token: Duration::from_millis(5),
            slots: 128,
            ..Options::default()
        };
        tokio::spawn(engine::serve(listener, options));
    }
    println!("{}", addrs.join(" "));
    std::future::pending().await
}

/// A running process of this program; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Its first line of output.
    pub banner: String,
}

impl Process {
    pub fn start(args: &[&str]) -> anyhow::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .context("could not start a process")?;
        let out = child.stdout.take().context("no output")?;
        let mut banner = String::new();
        BufReader::new(out).read_line(&mut banner)?;
        Ok(Self { child, banner })
    }

    /// The address that follows `word` in the first line.
    pub fn addr(&self, word: &str) -> anyhow::Result<SocketAddr> {
        let mut words = self.banner.split_whitespace();
        words.find(|found| *found == word);
        let addr = words.next().with_context(|| format!("no {word} address"))?;
        Ok(addr.parse()?)
    }

    /// Processor time used so far.
    pub fn cpu(&self) -> Duration {
        let text = self.proc("stat");
        let fields: Vec<_> = text
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |i: usize| {
            fields
                .get(i)
                .and_then(|t| t.parse::<u64>().ok())
                .unwrap_or(0)
        };
        Duration::from_secs_f64((ticks(11) + ticks(12)) as f64 / TICKS)
    }

    /// Bytes of resident memory.
    pub fn memory(&self) -> u64 {
        let text = self.proc("statm");
        let pages = text
            .split_whitespace()
            .nth(1)
            .and_then(|t| t.parse::<u64>().ok());
        pages.unwrap_or(0) * PAGE
    }

    fn proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
