//! Settings of a relay instance.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::retries::Allowance;
use crate::settings::{Identity, Log, Secret};

/// Settings of a relay instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name and location of the instance.
    pub instance: Identity,
    /// Listen address for requests of callers.
    pub front_addr: SocketAddr,
    /// Listen address for readiness checks and metrics.
    pub status_addr: SocketAddr,
    /// Listen address for messages of other instances.
    pub peer_addr: SocketAddr,
    /// Addresses of other instances to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Key shared by all instances.
    pub key: Secret,
    /// Region of each failure domain.
    pub domain_regions: IndexMap<SmolStr, SmolStr>,
    /// Address of the platform's object API.
    pub platform_addr: SocketAddr,
    /// CPU capacity of this instance in millicores.
    pub cpu_millicores: u32,
    /// Memory of this instance in bytes, if it is limited.
    pub memory: Option<usize>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Time within which a change that the platform has acknowledged takes effect.
    pub change_timeout: Duration,
    /// Time without a disturbance from which limits on time hold for an instance.
    pub recovery_time: Duration,
    /// Time after which the address of a target that is gone may be another service's.
    pub address_reuse: Duration,
    /// Whether targets are ejected that fail their calls although they pass health checks.
    pub ejects_outliers: bool,
    /// Maximum wait for running requests at a graceful shutdown.
    pub drain_timeout: Duration,
    /// Retry budget of the whole fleet.
    pub retry_budget: Allowance,
    /// Log output.
    pub log: Log,
}
