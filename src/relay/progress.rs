//! Asks an engine how far a run is that has brought no event yet: a long queue explains silence, an
//! answer that was lost on its way does not.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::timeout;

use super::relay::Relay;
use crate::ident::TargetKey;
use crate::routing::Lease;

/// Longest wait for an engine's report: two round trips between regions and a busy engine.
const LIMIT: Duration = Duration::from_millis(400);

/// Events made by which the first must have arrived: the report itself is older than its way.
const ARRIVED: u64 = 2;

/// What an engine reports of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Drawn or taken at the engine's start.
    pub incarnation: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that wait to be read.
    pub waiting: u32,
    /// Requests that are read or have made events.
    pub running: u32,
    /// Runs that have made events by their request's id, with the number of these.
    pub runs: Vec<(SmolStr, u64)>,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Its prompt is read or waits to be.
    Reading,
    /// It has made events, which have not arrived.
    Made,
    /// The engine does not know it.
    Unknown,
    /// The engine did not say.
    NoAnswer,
}

impl Progress {
    /// How far the run `id` is by a report.
    pub(crate) fn of(report: &Report, id: &str) -> Self {
        let run = report.runs.iter().find(|(run, _)| run == id);
        match run {
            Some((_, events)) if *events >= ARRIVED => Self::Made,
            Some(_) => Self::Reading,
            // One that is read is counted, not listed.
            None if report.waiting > 0 => Self::Reading,
            None if report.running as usize > report.runs.len() => Self::Reading,
            None => Self::Unknown,
        }
    }
}

/// Asks the engine of `lease` about the run `id`.
pub(crate) async fn progress(relay: &Relay, lease: &Lease, id: &str) -> Progress {
    let report = timeout(LIMIT, report(relay, lease.key, lease.addr));
    let report = report.await.ok().flatten();
    report.map_or(Progress::NoAnswer, |r| Progress::of(&r, id))
}

/// Reads an engine's report.
pub(crate) async fn report(relay: &Relay, key: TargetKey, addr: SocketAddr) -> Option<Report> {
    let answer = relay.links.get(key, addr, relay.dialect.report).await?;
    (relay.dialect.read_report)(answer.body())
}
