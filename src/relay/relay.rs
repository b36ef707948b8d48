//! The parts of one relaying instance, and the choice of targets by them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;

use super::catalog::Catalog;
use super::dialect::Dialect;
use super::links::Links;
use super::probe::Probes;
use super::record::Record;
use super::retries::Retries;
use super::rules::Rules;
use super::settings::Settings;
use crate::ident::TargetKey;
use crate::peer::Peers;
use crate::platform;
use crate::routing::{Capacity, Costs, Lease, Policy, Query, Router, Subject, Work};
use crate::telemetry::Metrics;

/// Prompt tokens that an engine reads in a second, from the sheets of both deployments.
pub(crate) const READ_RATE: f64 = 8_000.0;

/// Bytes of a request and its answer that cross between regions: a prompt of 8,000 bytes and 130
/// events of 45.
const CROSSING_BYTES: u64 = 14_000;

/// One relaying instance.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    pub(crate) record: Record,
    pub(crate) metrics: Metrics,
    pub(crate) platform: platform::Client,
    pub(crate) peers: Peers,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) router: Arc<Router>,
    pub(crate) links: Links,
    pub(crate) probes: Arc<Probes>,
    pub(crate) retries: Mutex<Retries>,
    /// JSON text of the rules in force, to pass on.
    pub(crate) rules_text: Mutex<Option<Arc<str>>>,
    /// Since when peers have had newer targets.
    pub(crate) behind: Mutex<Option<Instant>>,
    rules: RwLock<Option<Arc<Rules>>>,
}

/// Where a target is looked for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Wanted<'a> {
    pub(crate) service: &'a str,
    pub(crate) work: Option<Work>,
    pub(crate) avoid: Option<&'a str>,
    pub(crate) excluded: &'a [TargetKey],
}

impl Relay {
    pub(crate) fn new(
        settings: Settings,
        dialect: Dialect,
        record: Record,
        platform: platform::Client,
        peers: Peers,
    ) -> Self {
        let retries = Retries::new(settings.retries, Instant::now());
        Self {
            settings,
            dialect,
            record,
            metrics: Metrics::new(),
            platform,
            peers,
            catalog: Mutex::default(),
            router: Arc::new(Router::new(Policy::Cost, Costs::default())),
            links: Links::default(),
            probes: Arc::default(),
            retries: Mutex::new(retries),
            rules_text: Mutex::default(),
            behind: Mutex::default(),
            rules: RwLock::default(),
        }
    }

    /// The rules in force.
    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.rules.read().clone()
    }

    /// Whether it knows the rules and the targets.
    pub(crate) fn ready(&self) -> bool {
        self.rules.read().is_some() && self.catalog.lock().as_of.is_some()
    }

    /// Brings the router and the rules in force up to the catalog.
    pub(crate) fn refresh(&self) {
        let now = Instant::now();
        let mut catalog = self.catalog.lock();
        let targets = catalog.targets(|domain| self.region(domain), now);
        let slots: Vec<_> = targets.iter().map(|(t, slots)| (t.key, *slots)).collect();
        self.router
            .sync(targets.into_iter().map(|(t, _)| t).collect());
        for (key, slots) in slots {
            self.router.slots(key, slots);
        }
        let rules = catalog.rules().cloned();
        drop(catalog);
        for (name, service) in rules.iter().flat_map(|r| &r.services) {
            if let Some(engine) = service.engine {
                let capacity = Capacity {
                    memory: engine.memory,
                    rate: READ_RATE,
                };
                self.router.size(name, capacity);
            }
        }
        *self.rules.write() = rules;
    }

    fn region(&self, domain: &str) -> SmolStr {
        let region = self.settings.domains.get(domain);
        region.cloned().unwrap_or_else(|| domain.into())
    }

    /// Chooses a target.
    pub(crate) fn choose(&self, wanted: Wanted<'_>) -> Option<Lease> {
        let me = &self.settings.instance;
        let query = Query {
            service: wanted.service,
            version: "",
            domain: &me.domain,
            region: &me.region,
            prefix: None,
            excluded: wanted.excluded,
            bytes: CROSSING_BYTES,
            avoid: wanted.avoid,
            work: wanted.work,
        };
        self.router.choose(&query, Instant::now())
    }

    /// Takes a retry of this instance's part of the budget.
    pub(crate) fn take_retry(&self, service: &SmolStr) -> bool {
        let members = self.peers.view().len() + 1;
        let taken = self.retries.lock().take(service, members, Instant::now());
        if !taken {
            metrics::counter!("endivefork_retries_denied_total").increment(1);
        }
        taken
    }

    /// Asks after a target.
    pub(crate) fn probe(&self, lease: &Lease) {
        self.probe_target(lease.subject());
    }

    /// Asks after a target that need not have a request.
    pub(crate) fn probe_target(&self, subject: Subject) {
        self.probes.probe(&self.router, &self.record, subject);
    }

    /// Expected time until a target has read all prompts that it holds.
    pub(crate) fn reading_time(&self, key: TargetKey) -> Duration {
        let prompt = self.router.prompt_queue(key, Instant::now());
        Duration::from_secs_f64(f64::from(prompt) / READ_RATE)
    }
}
