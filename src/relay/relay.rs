//! The parts of one relaying instance, and the choice of targets by them.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};

use super::aggregate::Aggregate;
use super::bodies::Bodies;
use super::catalog::Catalog;
use super::copies::{CopySource, RunCopy};
use super::dialect::Dialect;
use super::election::ReadState;
use super::exchange::{Outbox, RecentFailures};
use super::links::Links;
use super::probe::Probes;
use super::record::Record;
use super::retries::RetryBudget;
use super::rules::{Engine, Rules};
use super::runs::{RunDirectory, RunLocation};
use super::settings::Settings;
use crate::ident::TargetKey;
use crate::peer::Peers;
use crate::platform;
use crate::routing::{Costs, EngineCapacity, Lease, Policy, Query, Router, Work};
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
    /// Answers of targets that are held whole.
    pub(crate) bodies: Bodies,
    pub(crate) probes: Arc<Probes>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) runs: Mutex<RunDirectory>,
    /// Peers that have not taken a report or a summary.
    pub(crate) untold: Mutex<RecentFailures>,
    /// Load of the fleet, while this instance is an aggregator.
    pub(crate) aggregate: Mutex<Aggregate>,
    /// Runs to tell other aggregators.
    pub(crate) outbox: Mutex<Outbox>,
    /// Wakes the word to the peers.
    pub(crate) news: Notify,
    /// Whether a peer was asked for its runs.
    pub(crate) greeted: AtomicBool,
    /// JSON text of the rules in force, to pass on.
    pub(crate) rules_text: Mutex<Option<Arc<str>>>,
    /// Whether this instance reads the platform for others.
    pub(crate) reading: Mutex<ReadState>,
    /// What peers have last said of that.
    pub(crate) readers: Mutex<IndexMap<SmolStr, bool>>,
    /// Since when no other instance of this failure domain reads the platform.
    pub(crate) unread: Mutex<Option<Instant>>,
    /// A peer that has newer targets, and since when.
    pub(crate) behind: Mutex<Option<(SmolStr, Instant)>>,
    begun: watch::Sender<bool>,
}

/// Where a target is looked for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Wanted<'a> {
    pub(crate) service: &'a str,
    pub(crate) work: Option<Work>,
    pub(crate) avoid: &'a [SmolStr],
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
        let retries = RetryBudget::new(settings.retries, Instant::now()).salted(rand::random());
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
            bodies: Bodies::default(),
            probes: Arc::default(),
            retries: Mutex::new(retries),
            runs: Mutex::default(),
            untold: Mutex::default(),
            aggregate: Mutex::new(Aggregate::new(rand::random())),
            outbox: Mutex::default(),
            news: Notify::new(),
            greeted: AtomicBool::new(false),
            rules_text: Mutex::default(),
            reading: Mutex::default(),
            readers: Mutex::default(),
            unread: Mutex::default(),
            behind: Mutex::default(),
            begun: watch::Sender::new(false),
        }
    }

    /// The rules in force.
    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.catalog.lock().rules().cloned()
    }

    /// Whether it knows the rules and the targets.
    pub(crate) fn ready(&self) -> bool {
        *self.begun.borrow()
    }

    /// Waits until it knows the rules and the targets.
    pub(crate) async fn started(&self) {
        let mut begun = self.begun.subscribe();
        // The sender lives as long as the relay.
        let _ = begun.wait_for(|begun| *begun).await;
    }

    /// Drops targets from the router whose time without a registration is over.
    pub(crate) fn settle_targets(&self, now: Instant) {
        if self.catalog.lock().has_expired(now) {
            self.refresh_targets();
        }
    }

    /// Brings the router up to the catalog.
    pub(crate) fn refresh_targets(&self) {
        let mut catalog = self.catalog.lock();
        let now = Instant::now();
        let targets = catalog.targets(|domain| self.region(domain), now);
        let slots: Vec<_> = targets.iter().map(|(t, slots)| (t.key, *slots)).collect();
        self.router
            .sync(targets.into_iter().map(|(t, _)| t).collect());
        for (key, slots) in slots {
            self.router.set_slots(key, slots);
        }
        drop(catalog);
        self.begin();
    }

    /// Brings the router up to the rules in force.
    pub(crate) fn refresh_rules(&self) {
        for (name, service) in self.rules().iter().flat_map(|r| &r.services) {
            if let Some(engine) = service.engine {
                let capacity = EngineCapacity {
                    memory: engine.memory,
                    prefill_rate: READ_RATE,
                };
                self.router.set_capacity(name, capacity);
            }
        }
        self.begin();
    }

    /// Wakes who waits for rules and targets, once both are known.
    fn begin(&self) {
        let ready = self.catalog.lock().is_complete();
        self.begun
            .send_if_modified(|begun| !std::mem::replace(begun, ready) && ready);
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
            excluded_domains: wanted.avoid,
            work: wanted.work,
        };
        self.router.choose(&query, Instant::now())
    }

    /// Whether the engines of a service copy the memory of their runs.
    pub(crate) fn keeps_copies(&self, service: &str) -> bool {
        self.engine(service).is_some_and(|e| e.backups)
    }

    /// Whether the engines of a service copy the memory of a run by order.
    pub(crate) fn copies_by_order(&self, service: &str) -> bool {
        self.engine(service).is_some_and(|e| e.copies)
    }

    fn engine(&self, service: &str) -> Option<Engine> {
        self.rules()?.services.get(service)?.engine
    }

    /// Tells peers where the copy of a run lies.
    pub(crate) fn note_run(&self, source: &CopySource, copy: Option<&RunCopy>) {
        let note = RunLocation {
            digest: source.digest,
            engine: copy.map(|c| c.lease.name()),
            copied: copy.map(|c| c.copied.clone()),
        };
        self.runs.lock().record(note, Instant::now());
    }

    /// The copy of a run of this content at this instance or another one.
    pub(crate) async fn known_copy(&self, digest: u128) -> Option<RunCopy> {
        let own = self.runs.lock().take(digest, Instant::now());
        let (engine, copied) = match own {
            Some(known) => known,
            None => self.find_run(digest).await?,
        };
        let now = Instant::now();
        let key = self.router.key_named(&engine)?;
        let lease = self
            .router
            .claim(key, &self.settings.instance.region, now)?;
        Some(RunCopy::new(lease, copied))
    }

    /// Takes a retry of this instance's part of the budget, or one that its aggregator lends.
    pub(crate) async fn take_retry(&self, service: &SmolStr) -> bool {
        let members = self.peers.others() + 1;
        let own = self.retries.lock().take(service, members, Instant::now());
        let taken = own || self.borrow_retry(service).await;
        if !taken {
            metrics::counter!("endivefork_retries_denied_total").increment(1);
        }
        taken
    }

    /// Asks after a target.
    pub(crate) fn probe(&self, lease: &Lease) {
        if let Some(subject) = lease.probe_target() {
            self.probes.probe(&self.router, &self.record, subject);
        }
    }

    /// Expected time until a target has read all prompts that it holds.
    pub(crate) fn reading_time(&self, key: TargetKey) -> Duration {
        let prompt = self.router.work(key, Instant::now()).prompt;
        Duration::from_secs_f64(f64::from(prompt) / READ_RATE)
    }
}
