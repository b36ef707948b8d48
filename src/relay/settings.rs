//! Settings of a relaying instance.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::retries::Allowance;
use crate::settings::{Identity, Log, Secret};

/// Settings of a relaying instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who it is.
    pub instance: Identity,
    /// Where it takes requests of callers.
    pub callers: SocketAddr,
    /// Where it answers the readiness check and gives its metrics.
    pub status: SocketAddr,
    /// Where it takes messages of other instances.
    pub peer: SocketAddr,
    /// Other instances to try first.
    pub seeds: Vec<SocketAddr>,
    /// Key that all instances share.
    pub key: Secret,
    /// Region of each failure domain.
    pub domains: IndexMap<SmolStr, SmolStr>,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Processor that this instance may use, in thousandths of a core.
    pub capacity: u32,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Longest wait for running requests at a graceful stop.
    pub drain: Duration,
    /// Retries that all instances may make together.
    pub retries: Allowance,
    /// Log.
    pub log: Log,
}
