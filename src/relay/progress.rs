//! Queries the progress of a run that has produced no event yet. A long queue at the engine
//! explains the wait; a response lost on the network path does not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::timeout;

use super::connections::get_request;
use super::limits::Purpose;
use super::relay::Relay;
use crate::ident::TargetKey;
use crate::routing::Lease;

/// Timeout for an engine's report: two round trips between regions plus the delay of a busy engine.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of produced events by which the first one must have arrived. A single one may still be
/// in flight, as the report travels no faster than the event.
const DELIVERED_EVENTS_MIN: u64 = 2;

/// An engine's report on its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Identifies one process lifetime of the engine.
    pub incarnation: u64,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Requests that wait for prefill.
    pub waiting: u32,
    /// Requests in prefill or in generation.
    pub running: u32,
    /// Request ids of the runs that have produced events, with the number of events.
    pub runs: Vec<(SmolStr, u64)>,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The prompt is in prefill or queued for it.
    Prefilling,
    /// Events were produced but have not arrived.
    Produced,
    /// The engine does not know the run.
    Unknown,
    /// The engine did not report.
    NoReport,
}

impl Progress {
    /// Progress of the run `id` according to a report.
    pub(crate) fn from_report(report: &EngineReport, id: &str) -> Self {
        let run = report.runs.iter().find(|(run, _)| run == id);
        match run {
            Some((_, events)) if *events >= DELIVERED_EVENTS_MIN => Self::Produced,
            Some(_) => Self::Prefilling,
            // A run in prefill is counted in `running` but not listed.
            None if report.waiting > 0 => Self::Prefilling,
            None if report.running as usize > report.runs.len() => Self::Prefilling,
            None => Self::Unknown,
        }
    }
}

/// Queries the engine of `lease` for the progress of the run `id`.
pub(crate) async fn query_progress(relay: &Arc<Relay>, lease: &Lease, id: &str) -> Progress {
    let report = timeout(REPORT_TIMEOUT, fetch_report(relay, lease.key, lease.addr));
    let report = report.await.ok().flatten();
    report.map_or(Progress::NoReport, |r| Progress::from_report(&r, id))
}

/// Fetches an engine's report.
pub(crate) async fn fetch_report(
    relay: &Arc<Relay>,
    key: TargetKey,
    addr: SocketAddr,
) -> Option<EngineReport> {
    let request = get_request(addr, relay.dialect.report_path)?;
    let response = relay.request(key, addr, request, Purpose::Probe).await?;
    let is_report = response.status().is_success();
    is_report.then(|| (relay.dialect.parse_report)(response.body()))?
}
