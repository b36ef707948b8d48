//! Routing rules set by operators: routes, services, client accounts and limits. Every request is
//! matched against one immutable version of them.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::priority::{Priority, are_distinct};

/// How often the requests of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// The response is a stream of numbered events. Runs at most once unless it can be resumed.
    Stream {
        /// Whether another run may continue the stream after its last event.
        resume: bool,
    },
}

impl Kind {
    /// Whether running a request again is safe.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resume: true })
    }
}

/// Share of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficShare {
    /// Service that receives it.
    pub service: SmolStr,
    /// Weight relative to the route's other shares.
    pub weight: f64,
}

/// A class of requests that are handled alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host without a port.
    pub host: SmolStr,
    /// Path prefix that starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether its requests may be retried or resumed.
    pub kind: Kind,
    /// Timeout for the complete response.
    pub timeout: Duration,
    /// Latency objective, up to the response or a stream's first event.
    pub latency_objective: Duration,
    /// Maximum number of runs of one request.
    pub max_attempts: u32,
    /// Services that the traffic is split between.
    pub shares: Vec<TrafficShare>,
    /// Whether requests need no key.
    pub public: bool,
    /// Urgency of its requests, unless their account has one.
    pub priority: Priority,
}

impl Route {
    /// Selects the service for a request at `point` in `0.0..1.0` of the split.
    #[must_use]
    pub fn service(&self, point: f64) -> Option<&SmolStr> {
        let total: f64 = self.shares.iter().map(|s| s.weight).sum();
        let mut left = point * total;
        let pick = self.shares.iter().find(|share| {
            left -= share.weight;
            left < 0.0
        });
        pick.or(self.shares.last()).map(|s| &s.service)
    }
}

/// Capabilities of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// KV cache capacity in tokens.
    pub kv_tokens: u32,
    /// Whether it continuously copies a run's KV cache to a backup engine.
    pub backups: bool,
    /// Whether it copies a run's KV cache on request.
    pub copies: bool,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Path of its targets' health check.
    pub health_path: SmolStr,
    /// Capabilities of its targets if they are engines.
    pub engine: Option<Engine>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: SmolStr,
    /// Urgency of its requests; `None` if that of their routes applies.
    pub priority: Option<Priority>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of all request headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Idle time for which a caller's connection is guaranteed to stay open.
    pub idle_timeout: Duration,
}

/// The form in which names of hosts are compared: they know no case, and may end with the dot of the
/// root.
pub(crate) fn host_key(name: &str) -> SmolStr {
    let name = name.strip_suffix('.').unwrap_or(name);
    match name.bytes().any(|b| b.is_ascii_uppercase()) {
        true => name.to_ascii_lowercase().into(),
        false => name.into(),
    }
}

/// One version of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Version; higher is newer.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<SmolStr, Service>,
    /// Limits on requests.
    pub limits: Limits,
    /// Accounts by key; `None` if no keys are required.
    pub accounts: Option<IndexMap<SmolStr, Account>>,
    /// Values of the configuration that are not usable and for which a default applies, each with
    /// where it stands.
    pub ignored: Vec<String>,
    hosts: IndexMap<SmolStr, Vec<Route>>,
    /// Services with engines whose requests can have different priorities.
    ranked: IndexSet<SmolStr>,
}

impl Rules {
    /// Builds the rules from `routes`.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: IndexMap<SmolStr, Service>,
        limits: Limits,
        accounts: Option<IndexMap<SmolStr, Account>>,
    ) -> Self {
        let ranked = ranked_services(&routes, &services, accounts.as_ref());
        let mut hosts: IndexMap<SmolStr, Vec<Route>> = IndexMap::new();
        for route in routes {
            hosts.entry(host_key(&route.host)).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            accounts,
            ignored: Vec::new(),
            hosts,
            ranked,
        }
    }

    /// Finds the route of `host`, a name as [`host_key`] returns it, with the longest matching prefix
    /// of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether `service` is the only service with engines.
    #[must_use]
    pub fn is_sole_engine(&self, service: &str) -> bool {
        let mut engines = self.services.iter().filter(|(_, s)| s.engine.is_some());
        engines.next().is_some_and(|(name, _)| name == service) && engines.next().is_none()
    }

    /// Whether `service` has engines and its requests can have different priorities.
    #[must_use]
    pub fn is_ranked(&self, service: &str) -> bool {
        self.ranked.contains(service)
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }
}

fn ranked_services(
    routes: &[Route],
    services: &IndexMap<SmolStr, Service>,
    accounts: Option<&IndexMap<SmolStr, Account>>,
) -> IndexSet<SmolStr> {
    let priorities: Option<IndexSet<_>> =
        accounts.map(|accounts| accounts.values().map(|a| a.priority).collect());
    let engines = services.iter().filter(|(_, s)| s.engine.is_some());
    let ranked = engines.map(|(name, _)| name).filter(|name| {
        let uses = |r: &&Route| r.shares.iter().any(|s| s.service == **name);
        are_distinct(routes.iter().filter(uses), priorities.as_ref())
    });
    ranked.cloned().collect()
}
