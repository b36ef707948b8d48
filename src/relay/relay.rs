//! Shared state of one relay instance and the choice of targets from it.

use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use super::aggregate::Aggregate;
use super::buffers::ResponseBuffers;
use super::catalog::Catalog;
use super::connections::ConnectionPool;
use super::copies::RunCopy;
use super::dialect::Dialect;
use super::election::TopicFlags;
use super::exchange::{Outbox, RecentFailures};
use super::freshness::{AgeLimits, Freshness};
use super::limits::{Issuer, Limits};
use super::missed_runs::MissedRuns;
use super::placing::WaitLine;
use super::probe::Probes;
use super::quarantine;
use super::record::DecisionLog;
use super::registry::Registry;
use super::request_memory::RequestMemory;
use super::retries::RetryBudget;
use super::rules::{Engine, Rules};
use super::run_location::{RunKey, RunLocation};
use super::runs::RunDirectory;
use super::settings::Settings;
use super::shared_contents::SharedContents;
use super::silence::RetryShare;
use super::startup::{Known, WaitingRoom};
use crate::caller::{Drain, StreamDurations};
use crate::ident::TargetKey;
use crate::peer::{Gossip, Peers, Reach};
use crate::platform;
use crate::quarantine::Suspects;
use crate::routing::{Costs, EngineCapacity, Lease, Policy, Query, Router, Work};
use crate::telemetry::Metrics;

/// Prefill rate of an engine in prompt tokens per second, from the data sheets of both deployments.
pub(crate) const PREFILL_RATE: f64 = 8_000.0;

/// Bytes of a request and its response that cross between regions: a prompt of 8,000 bytes and 130
/// events of 45.
const CROSS_REGION_BYTES: u64 = 14_000;

/// Time in which instances that start together get to know each other: a few heartbeats.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Time in which an ending process closes its sockets one after the other.
const EXIT_TIME: Duration = Duration::from_millis(5);

/// State of one relay instance.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    pub(crate) decisions: DecisionLog,
    pub(crate) metrics: Metrics,
    pub(crate) platform: platform::Client,
    pub(crate) peers: Peers,
    pub(crate) drain: Arc<Drain>,
    /// How long streams last, by service.
    pub(crate) stream_durations: StreamDurations,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) router: Arc<Router>,
    pub(crate) pool: ConnectionPool,
    /// Buffers for complete responses of targets.
    pub(crate) buffers: ResponseBuffers,
    /// Memory for the bodies of requests.
    pub(crate) request_memory: Arc<RequestMemory>,
    pub(crate) probes: Arc<Probes>,
    pub(crate) retries: Mutex<RetryBudget>,
    /// Limits that targets state.
    pub(crate) limits: Mutex<Limits>,
    /// Permits that this instance issues for limited targets.
    pub(crate) issuer: Mutex<Issuer>,
    /// Instances that did not answer an ask for permits.
    pub(crate) failed_issuers: Mutex<RecentFailures>,
    /// Wakes the requests that wait for a permit.
    pub(crate) permits_changed: Notify,
    /// Requests that wait for a permit, by service.
    pub(crate) wait_lines: Mutex<IndexMap<SmolStr, Arc<WaitLine>>>,
    pub(crate) runs: Mutex<RunDirectory>,
    /// Run locations that peers have missed.
    pub(crate) missed_runs: Mutex<MissedRuns>,
    /// Instances that are registered on the platform.
    pub(crate) registry: Mutex<Registry>,
    /// Processes of other instances whose own runs were read.
    pub(crate) synced: Mutex<IndexMap<SmolStr, u64>>,
    /// Instances whose own runs are being read.
    pub(crate) syncing: Mutex<IndexSet<SmolStr>>,
    /// Contents that several runs may share.
    pub(crate) shared_contents: SharedContents,
    /// Requests that may crash their targets.
    pub(crate) suspects: Mutex<Suspects>,
    /// Number of quarantines in force.
    pub(crate) quarantines: AtomicUsize,
    /// Notified when a quarantine begins.
    pub(crate) quarantined: Notify,
    /// Targets that were dead at the last check.
    pub(crate) known_dead: Mutex<IndexSet<TargetKey>>,
    /// Peers that failed to accept a report or a summary.
    pub(crate) failed_peers: Mutex<RecentFailures>,
    /// Load of the fleet, maintained while this instance is an aggregator.
    pub(crate) aggregate: Mutex<Aggregate>,
    /// Locations of runs to be sent to the other aggregators.
    pub(crate) outbox: Mutex<Outbox>,
    /// Wakes the gossip task.
    pub(crate) gossip_wakeup: Notify,
    /// Whether a peer was asked for its run locations.
    pub(crate) runs_requested: AtomicBool,
    /// JSON text of the rules in force, to be forwarded to peers.
    pub(crate) rules_text: Mutex<Option<Arc<str>>>,
    /// How old the knowledge of rules and targets is.
    pub(crate) freshness: Mutex<Freshness>,
    /// Limits on their age.
    pub(crate) age_limits: AgeLimits,
    /// When an instance with fresher knowledge was last asked for it.
    pub(crate) knowledge_asked: Mutex<Option<Instant>>,
    /// Instances that are being asked for their rules and targets.
    pub(crate) asked_peers: Mutex<IndexSet<SmolStr>>,
    /// Whether knowledge was stale at the last look.
    pub(crate) stale_topics: Mutex<TopicFlags>,
    /// Which topics this instance reads from the platform.
    pub(crate) reader_role: Mutex<TopicFlags>,
    /// When targets were last fetched because a peer keeps out others.
    pub(crate) departures_fetched: Mutex<Option<Instant>>,
    /// Whether other failure domains are being asked about removed targets.
    pub(crate) confirming: AtomicBool,
    /// A peer that has newer targets, and since when.
    pub(crate) newer_peer: Mutex<Option<(SmolStr, Instant)>>,
    /// Whether all seeds refused this instance at the last look.
    pub(crate) refused: AtomicBool,
    /// Requests that wait for the rules.
    pub(crate) waiting_room: WaitingRoom,
    started: Instant,
    known: watch::Sender<Known>,
    ready_at: OnceLock<Instant>,
}

/// Constraints on the choice of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetCriteria<'a> {
    pub(crate) service: &'a str,
    pub(crate) work: Option<Work>,
    pub(crate) avoid_domains: &'a [SmolStr],
    pub(crate) excluded: &'a [TargetKey],
}

impl Relay {
    pub(crate) fn new(
        settings: Settings,
        dialect: Dialect,
        record: DecisionLog,
        platform: platform::Client,
        peers: Peers,
        drain: Arc<Drain>,
    ) -> Self {
        let retries =
            RetryBudget::new(settings.retry_budget, Instant::now()).salted(rand::random());
        let retries = match settings.first_start {
            true => retries,
            false => retries.restarted(),
        };
        let request_memory = RequestMemory::new(settings.memory);
        let age_limits = AgeLimits::new(settings.change_timeout, settings.recovery_time);
        Self {
            settings,
            dialect,
            decisions: record,
            metrics: Metrics::new(),
            platform,
            peers,
            drain,
            stream_durations: StreamDurations::default(),
            catalog: Mutex::default(),
            router: Arc::new(Router::new(Policy::Cost, Costs::default())),
            pool: ConnectionPool::default(),
            buffers: ResponseBuffers::default(),
            request_memory,
            probes: Arc::default(),
            retries: Mutex::new(retries),
            limits: Mutex::default(),
            issuer: Mutex::default(),
            failed_issuers: Mutex::default(),
            permits_changed: Notify::new(),
            wait_lines: Mutex::default(),
            runs: Mutex::default(),
            missed_runs: Mutex::default(),
            registry: Mutex::default(),
            synced: Mutex::default(),
            syncing: Mutex::default(),
            shared_contents: SharedContents::default(),
            suspects: Mutex::new(Suspects::new(quarantine::policy())),
            quarantines: AtomicUsize::new(0),
            quarantined: Notify::new(),
            known_dead: Mutex::default(),
            failed_peers: Mutex::default(),
            aggregate: Mutex::new(Aggregate::new(rand::random())),
            outbox: Mutex::default(),
            gossip_wakeup: Notify::new(),
            runs_requested: AtomicBool::new(false),
            rules_text: Mutex::default(),
            freshness: Mutex::default(),
            age_limits,
            knowledge_asked: Mutex::default(),
            asked_peers: Mutex::default(),
            stale_topics: Mutex::default(),
            reader_role: Mutex::default(),
            departures_fetched: Mutex::default(),
            confirming: AtomicBool::new(false),
            newer_peer: Mutex::default(),
            refused: AtomicBool::new(false),
            waiting_room: WaitingRoom::default(),
            started: Instant::now(),
            known: watch::Sender::default(),
            ready_at: OnceLock::new(),
        }
    }

    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.catalog.lock().rules().cloned()
    }

    /// Time since the start of the process.
    pub(crate) fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether the rules and the targets are known.
    pub(crate) fn ready(&self) -> bool {
        *self.known.borrow() == Known::All
    }

    /// When the rules and the targets were first known.
    pub(crate) fn ready_at(&self) -> Option<Instant> {
        self.ready_at.get().copied()
    }

    /// Waits until this much is known.
    pub(crate) async fn wait_known(&self, wanted: Known) {
        let mut known = self.known.subscribe();
        // Cannot fail: the sender lives as long as the relay.
        let _ = known.wait_for(|known| *known >= wanted).await;
    }

    /// Removes targets from the router whose registration has expired.
    pub(crate) fn expire_targets(&self, now: Instant) {
        if self.catalog.lock().has_expired(now) {
            self.refresh_targets();
        }
    }

    /// Updates the router from the catalog.
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
        self.signal_ready();
    }

    /// Updates the router from the rules in force.
    pub(crate) fn refresh_rules(&self) {
        for (name, service) in self.rules().iter().flat_map(|r| &r.services) {
            if let Some(engine) = service.engine {
                let capacity = EngineCapacity {
                    memory: engine.kv_tokens,
                    prefill_rate: PREFILL_RATE,
                };
                self.router.set_capacity(name, capacity);
            }
        }
        self.signal_ready();
    }

    /// Wakes the tasks that wait for rules and targets, once they are known.
    fn signal_ready(&self) {
        let catalog = self.catalog.lock();
        let now_known = match catalog.is_complete() {
            true => Known::All,
            false if catalog.rules().is_some() => Known::Rules,
            false => Known::Nothing,
        };
        if now_known == Known::All {
            self.ready_at.get_or_init(Instant::now);
        }
        self.known
            .send_if_modified(|known| std::mem::replace(known, now_known) < now_known);
    }

    fn region(&self, domain: &str) -> SmolStr {
        let region = self.settings.domain_regions.get(domain);
        region.cloned().unwrap_or_else(|| domain.into())
    }

    pub(crate) fn choose(&self, wanted: TargetCriteria<'_>) -> Option<Lease> {
        self.router.choose(&self.query(wanted), Instant::now())
    }

    /// The target that [`Self::choose`] would choose.
    pub(crate) fn preferred(&self, wanted: TargetCriteria<'_>) -> Option<TargetKey> {
        self.router.preferred(&self.query(wanted), Instant::now())
    }

    fn query<'a>(&'a self, wanted: TargetCriteria<'a>) -> Query<'a> {
        let me = &self.settings.instance;
        Query {
            service: wanted.service,
            version: "",
            domain: &me.domain,
            region: &me.region,
            prefix: None,
            excluded: wanted.excluded,
            bytes: CROSS_REGION_BYTES,
            excluded_domains: wanted.avoid_domains,
            work: wanted.work,
        }
    }

    /// Whether the service's targets are engines.
    pub(crate) fn has_engines(&self, service: &str) -> bool {
        self.engine(service).is_some()
    }

    /// Whether the service's engines continuously copy the KV cache of their runs.
    pub(crate) fn keeps_copies(&self, service: &str) -> bool {
        self.engine(service).is_some_and(|e| e.backups)
    }

    /// Whether the service's engines copy the KV cache of a run on request.
    pub(crate) fn copies_on_request(&self, service: &str) -> bool {
        self.engine(service).is_some_and(|e| e.copies)
    }

    fn engine(&self, service: &str) -> Option<Engine> {
        self.rules()?.services.get(service)?.engine
    }

    /// Records the location of a run's copy, to be gossiped to peers.
    pub(crate) fn record_run(&self, run: RunKey, copy: Option<&RunCopy>) {
        let location = RunLocation {
            engine: copy.map(|c| c.lease.name()),
            copied: copy.map(|c| c.copied.clone()),
            ..RunLocation::without_copy(run)
        };
        self.runs.lock().record(location, Instant::now());
    }

    /// Whether there is no other instance from which runs can be known: none that is registered, and
    /// none that this one has heard of, has a process.
    pub(crate) fn is_alone(&self) -> bool {
        let is_gone = |m: Gossip| m.reach == Reach::Dead;
        self.knows_fleet() && self.peers.view().into_iter().all(is_gone)
    }

    /// Number of instances, if it is known: in a small fleet once all registered ones are, in a large
    /// one after the time in which they get to know each other.
    fn fleet_size(&self) -> Option<usize> {
        let is_known = match self.peers.is_tiered() {
            true => self.age() >= DISCOVERY_TIME,
            false => self.unmet_instances().is_some(),
        };
        is_known.then(|| self.peers.others() + 1)
    }

    /// Takes a retry from this instance's share of the retry budget or, if that is spent, from a
    /// loan of its aggregator. An instance that has just started may not know its share yet.
    pub(crate) async fn take_retry(&self, service: &SmolStr) -> bool {
        let is_new = !self.has_read_registry();
        let mut taken = self.take_shared_retry(service).await;
        if !taken && is_new && self.registry_read_at_start().await {
            taken = self.take_shared_retry(service).await;
        }
        if !taken {
            metrics::counter!("endivefork_retries_denied_total").increment(1);
        }
        taken
    }

    async fn take_shared_retry(&self, service: &SmolStr) -> bool {
        let members = self.fleet_size();
        let own = self.retries.lock().take(service, members, Instant::now());
        own || self.borrow_retry(service, false).await
    }

    /// Takes a retry for a run that may not need it, from what remains after a reserve for real
    /// losses.
    pub(crate) async fn take_spare_retry(&self, service: &SmolStr, share: RetryShare) -> bool {
        let members = self.fleet_size();
        let now = Instant::now();
        let own = self.retries.lock().take_spare(service, members, now);
        own || self.may_borrow_spare(service, share) && self.borrow_retry(service, true).await
    }

    /// Whether [`Self::take_spare_retry`] may take a retry. Asked first, as a target's permit and a
    /// connection to it would be wasted without one.
    pub(crate) fn may_have_spare_retry(&self, service: &SmolStr, share: RetryShare) -> bool {
        let members = self.fleet_size();
        let now = Instant::now();
        let has_own = self.retries.lock().has_spare(service, members, now);
        has_own || self.may_borrow_spare(service, share)
    }

    fn may_borrow_spare(&self, service: &SmolStr, share: RetryShare) -> bool {
        share == RetryShare::SpareOrLoan
            && self.peers.is_tiered()
            && self
                .retries
                .lock()
                .may_borrow_spare(service, Instant::now())
    }

    /// Probes a target.
    pub(crate) fn probe(&self, lease: &Lease) {
        if let Some(subject) = lease.probe_target() {
            self.probes.probe(&self.router, &self.decisions, subject);
        }
    }

    /// Whether a target outlived an answer without a length. A process that is killed closes its
    /// connections as one does that has answered.
    pub(crate) async fn has_outlived_answer(&self, lease: &Lease) -> bool {
        let Some(target) = lease.probe_target() else {
            return false;
        };
        sleep(EXIT_TIME).await;
        let (router, record) = (&self.router, &self.decisions);
        self.probes.takes_connections(router, record, &target).await
    }

    /// Time since a target last showed life.
    pub(crate) fn alive_age(&self, lease: &Lease) -> Option<Duration> {
        self.router.alive_age(lease.key, Instant::now())
    }

    /// Expected time until a target has prefilled all prompts queued at it.
    pub(crate) fn prefill_backlog(&self, key: TargetKey) -> Duration {
        let prompt = self.router.work(key, Instant::now()).prompt;
        Duration::from_secs_f64(f64::from(prompt) / PREFILL_RATE)
    }
}
