//! Orders to targets, derived from the difference between their desired and reported state.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::Service;

/// Loads per second that the weight store sustains.
const LOAD_RATE: f64 = 2.0;

/// Burst of loads after an idle period.
const LOAD_BURST: f64 = 4.0;

/// Operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Loads a model.
    LoadModel,
    /// Loads an adapter.
    LoadAdapter,
    /// Loads a version.
    LoadVersion,
    /// Changes the target's role.
    Role,
}

/// One order in the format that targets accept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Operation.
    pub op: Op,
    /// Model, adapter, version or role that it applies to.
    pub name: SmolStr,
}

impl Order {
    /// Whether the order makes the target read from the weight store.
    #[must_use]
    pub fn loads(&self) -> bool {
        self.op != Op::Role
    }
}

/// State reported by a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Loaded {
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<SmolStr>,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<SmolStr>,
    /// Loaded versions.
    #[serde(default)]
    pub versions: Vec<SmolStr>,
    /// Current role.
    #[serde(default)]
    pub role: SmolStr,
    /// Highest fencing number seen.
    #[serde(default)]
    pub fence: u64,
}

/// The orders that bring a target of `version` to its desired state, in the sequence in which they
/// must be sent. Empty for a version that the service does not have.
#[must_use]
pub fn missing(service: &Service, version: &str, loaded: &Loaded) -> Vec<Order> {
    let Some(wanted) = service.versions.get(version) else {
        return Vec::new();
    };
    let order = |op, name: &SmolStr| Order {
        op,
        name: name.clone(),
    };
    let mut orders = Vec::new();
    if !wanted.model.is_empty() && !loaded.models.contains(&wanted.model) {
        orders.push(order(Op::LoadModel, &wanted.model));
    }
    let adapters = wanted.adapters.iter();
    orders.extend(
        adapters
            .filter(|name| !loaded.adapters.contains(name))
            .map(|name| order(Op::LoadAdapter, name)),
    );
    if !loaded.versions.iter().any(|v| v == version) {
        orders.push(order(Op::LoadVersion, &version.into()));
    }
    if !wanted.role.is_empty() && wanted.role != loaded.role {
        orders.push(order(Op::Role, &wanted.role));
    }
    orders
}

/// Token bucket that limits loads to the rate of the weight store.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    tokens: f64,
    last: Instant,
}

impl LoadBudget {
    /// A full bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: LOAD_BURST,
            last: now,
        }
    }

    /// Takes a token for one load if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.last).as_secs_f64();
        self.tokens = (self.tokens + elapsed * LOAD_RATE).min(LOAD_BURST);
        self.last = now;
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}
