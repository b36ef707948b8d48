//! The rules that operators set: routes, services, client accounts and limits.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// What a request of a route may be asked to bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    Once,
    /// Its answer is a stream of numbered events. Runs at most once unless it may be resumed.
    Stream {
        /// Whether another run may continue it after its last event.
        resume: bool,
    },
}

impl Kind {
    /// Whether a second run does no harm.
    #[must_use]
    pub fn repeats(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resume: true })
    }
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Service that gets them.
    pub service: SmolStr,
    /// Weight among the route's parts.
    pub weight: f64,
}

/// Requests that are handled alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host, without a port.
    pub host: SmolStr,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: SmolStr,
    /// What its requests bear.
    pub kind: Kind,
    /// Longest time that a request may wait for its whole answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, within which it is on time.
    pub objective: Duration,
    /// Targets on which one request may run.
    pub attempts: u32,
    /// Services that take its requests.
    pub shares: Vec<Share>,
    /// Whether it needs no key.
    pub open: bool,
}

impl Route {
    /// The service for a request at `point` in `0.0..1.0`.
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

/// What an engine can carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Tokens of memory.
    pub memory: u32,
    /// Whether it sends a run's memory to another engine while it runs.
    pub backups: bool,
    /// Whether it copies a run's memory by order.
    pub copies: bool,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Path of its targets' health check.
    pub health: SmolStr,
    /// Its engines, when it serves models.
    pub engine: Option<Engine>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all headers of a request.
    pub headers: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Idle time that callers may rely on.
    pub idle: Duration,
}

/// One version of all rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Version; higher is newer.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<SmolStr, Service>,
    /// Bounds.
    pub limits: Limits,
    /// Accounts by key; none when no keys are asked for.
    pub accounts: Option<IndexMap<SmolStr, SmolStr>>,
    hosts: IndexMap<SmolStr, Vec<Route>>,
}

impl Rules {
    /// Rules of `routes`.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: IndexMap<SmolStr, Service>,
        limits: Limits,
        accounts: Option<IndexMap<SmolStr, SmolStr>>,
    ) -> Self {
        let mut hosts: IndexMap<SmolStr, Vec<Route>> = IndexMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            accounts,
            hosts,
        }
    }

    /// The route with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether `service` is the only one with engines.
    #[must_use]
    pub fn only_engines(&self, service: &str) -> bool {
        let mut engines = self.services.iter().filter(|(_, s)| s.engine.is_some());
        engines.next().is_some_and(|(name, _)| name == service) && engines.next().is_none()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }
}
