//! Configuration objects as the platform stores them, and the view that combines them.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ident::RequestKey;
use crate::rollout::{Move, Phase};

/// The kind of a service's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines that stream tokens.
    Generation,
    /// A plain HTTP service.
    Plain,
}

/// Whether a call may be sent to a target more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Idempotent: may be retried.
    Safe,
    /// At most once.
    #[default]
    Never,
}

/// A route of a plain service. The first matching route applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method, or `*`.
    pub method: SmolStr,
    /// Path prefix, beginning with `/`.
    pub path: SmolStr,
    /// Whether its calls may be retried.
    #[serde(default)]
    pub repeat: Repeat,
    /// Path of the service's status call, if any.
    #[serde(default)]
    pub status: Option<SmolStr>,
}

/// A version of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Model that the version's engines load; empty for plain services.
    #[serde(default)]
    pub model: SmolStr,
    /// Adapters that the version's engines load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<SmolStr>,
    /// Role of the version's engines; if empty, each engine chooses its own.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub role: SmolStr,
}

/// Whether a service's targets check the fencing number of an engine command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The target rejects a command with an outdated fencing number.
    Checked,
    /// The target accepts every command.
    #[default]
    Ignored,
}

/// A service that the system routes to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of its targets.
    pub kind: Kind,
    /// The version that serves traffic while no move is running.
    pub version: SmolStr,
    /// All versions by name.
    pub versions: IndexMap<SmolStr, Version>,
    /// Routes of a plain service.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Whether its targets check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Response timeout of a plain call in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

impl Service {
    /// The first route that matches a call. A call without a route must not be retried.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let matches_method = |r: &&Route| r.method == "*" || r.method.eq_ignore_ascii_case(method);
        self.routes
            .iter()
            .filter(matches_method)
            .find(|r| path.starts_with(r.path.as_str()))
    }
}

fn default_timeout() -> u64 {
    10_000
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Hex SHA-256 of the account's key.
    pub key_sha256: SmolStr,
    /// Weight for fair sharing of capacity.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_concurrency() -> u32 {
    256
}

/// An object with its platform revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revised<T> {
    /// Platform revision.
    pub rev: u64,
    /// The object; shared and immutable.
    pub value: Arc<T>,
}

/// A consistent snapshot of the configuration.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Highest platform revision applied.
    pub rev: u64,
    /// Services by name.
    pub services: IndexMap<SmolStr, Revised<Service>>,
    /// Accounts by name.
    pub accounts: IndexMap<SmolStr, Revised<Account>>,
    /// Account name by hex SHA-256 of its key.
    pub keys: IndexMap<SmolStr, SmolStr>,
    /// The latest move of each service, by service name.
    pub moves: IndexMap<SmolStr, Revised<Move>>,
}

impl View {
    /// The version of `service` that serves `key` according to the stored objects. The result of
    /// a finished move applies until the service itself is changed afterwards.
    #[must_use]
    pub fn version_for(&self, service: &str, key: RequestKey) -> Option<&SmolStr> {
        let found = self.services.get(service)?;
        match self.moves.get(service) {
            Some(m) if !m.value.phase.is_final() => Some(m.value.version_for(key)),
            Some(m) if m.value.phase == Phase::Done && m.rev > found.rev => Some(&m.value.to),
            Some(m) if m.rev > found.rev => Some(&m.value.from),
            _ => Some(&found.value.version),
        }
    }
}
