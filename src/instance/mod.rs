//! One entry instance: builds its components, connects them and starts its background tasks.

mod act;
mod balance;
mod command;
mod evidence;
mod follow;
mod generate;
mod moves;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use indexmap::IndexSet;
use parking_lot::Mutex;
use slog::Logger;
use smol_str::SmolStr;
use tokio::net::TcpListener;

use crate::action::{Actions, Limits};
use crate::admission::{AdmissionControl, RetryBudget};
use crate::caller::StreamDurations;
use crate::config::{self, Feed};
use crate::fleet::Fleet;
use crate::generation::Generations;
use crate::http::Client;
use crate::ident::RequestKey;
use crate::peer::{Layout, Member, Options, PeerKey, Peers};
use crate::platform;
use crate::rollout::MoveRegistry;
use crate::routing::{Costs, LoadViews, Policy, Router};
use crate::settings::Settings;
use crate::telemetry::Metrics;

use evidence::EvidenceRecorder;

/// The components of one entry instance.
#[derive(Debug)]
pub struct Instance {
    /// Its settings.
    pub settings: Settings,
    /// Its log.
    pub log: Logger,
    /// Its metrics.
    pub metrics: Metrics,
    /// The platform's client.
    pub platform: Arc<platform::Client>,
    /// The current configuration.
    pub config: Arc<config::Store>,
    /// The fleet as this instance sees it.
    pub fleet: Arc<Fleet>,
    /// Selects targets.
    pub router: Arc<Router>,
    /// Load and health of targets, by poll or by report.
    pub views: LoadViews,
    /// Admission control.
    pub gate: Arc<AdmissionControl>,
    /// Retry budget.
    pub budget: Arc<RetryBudget>,
    /// Connections to other instances.
    pub peers: Peers,
    /// Client of the targets.
    pub client: Client,
    /// Generations that run on this instance.
    pub generations: Generations,
    /// Calls of plain services.
    pub actions: Actions,
    /// How long generations last.
    pub(crate) durations: Arc<StreamDurations>,
    /// Moves in progress and their evidence.
    pub moves: Arc<MoveRegistry>,
    storing: Mutex<IndexSet<SmolStr>>,
    /// Source of configuration updates: the platform or peers.
    pub feed: Mutex<Feed>,
    listing: Mutex<Option<platform::InstanceList>>,
    listed: AtomicBool,
    peers_contacted: AtomicBool,
}

impl Instance {
    /// Creates an instance that accepts connections of peers on `peer`. Must be called within a
    /// Tokio runtime.
    #[must_use]
    pub fn new(settings: Settings, log: Logger, peer: TcpListener) -> Self {
        let fleet = Arc::<Fleet>::default();
        let router = Arc::new(Router::new(Policy::Cost, Costs::default()));
        let budget = Arc::new(RetryBudget::new());
        let moves = Arc::new(MoveRegistry::new(
            settings.instance.name.clone(),
            rand::random(),
        ));
        let recorder = Arc::new(EvidenceRecorder::new(
            Arc::clone(&moves),
            Arc::clone(&router),
        ));
        let metrics = Metrics::new();
        let durations = Arc::<StreamDurations>::default();
        let hooks = generate::hooks(
            &settings.instance,
            &fleet,
            &router,
            &budget,
            &recorder,
            &metrics,
            &durations,
        );
        let gate = Arc::new(AdmissionControl::new(rand::random()));
        let peers = peers(&settings, peer);
        let generations = Generations::new(hooks, Client::new());
        generations.join(&peers);
        let views = LoadViews::new(balance::poller(&settings));
        let platform = platform::Client::new(settings.platform.addr, settings.platform.timeout)
            .with_log(log.clone());
        let config = Arc::<config::Store>::default();
        let choose = act::chooser(&settings.instance, &config, &router, &recorder, &moves);
        generations.set_admission(generate::admission(&config, &gate, &budget, &metrics));
        let name = settings.instance.name.clone();
        let actions = Actions::new(name, platform.clone(), choose, Limits::default());
        Self {
            settings,
            log,
            metrics,
            platform: Arc::new(platform),
            config,
            fleet,
            router,
            views,
            gate,
            budget,
            peers,
            client: Client::new(),
            generations,
            actions,
            durations,
            moves,
            storing: Mutex::default(),
            feed: Mutex::default(),
            listing: Mutex::default(),
            listed: AtomicBool::new(false),
            peers_contacted: AtomicBool::new(false),
        }
    }

    /// Whether the instance knows the configuration and the fleet, and has contacted its peers:
    /// before that no peer would keep a copy of a generation's journal.
    #[must_use]
    pub fn ready(&self) -> bool {
        let known = self.config.complete() && self.listed.load(Ordering::Acquire);
        if known && self.peers.has_contacted() {
            self.peers_contacted.store(true, Ordering::Release);
        }
        known && self.peers_contacted.load(Ordering::Acquire)
    }

    /// The version of `service` that serves the request `key`.
    #[must_use]
    pub fn version(&self, service: &str, key: RequestKey) -> SmolStr {
        let view = self.config.view();
        let moving = self.moves.version_for(service, key);
        moving
            .or_else(|| view.version_for(service, key).cloned())
            .unwrap_or_default()
    }

    /// Registers the message handlers and starts the background tasks.
    pub fn start(self: &Arc<Self>) {
        self.handle_loads();
        self.handle_evidence();
        tokio::spawn(Arc::clone(self).command_targets());
        self.handle_config();
        tokio::spawn(Arc::clone(self).push_config());
        tokio::spawn(Arc::clone(self).compare_config());
        tokio::spawn(Arc::clone(self).drive_moves());
        tokio::spawn(Arc::clone(self).follow_fleet());
        tokio::spawn(Arc::clone(self).poll_loads());
        tokio::spawn(Arc::clone(self).share_capacity());
        tokio::spawn(self.sweeper().run());
        for kind in config::KINDS {
            tokio::spawn(Arc::clone(self).follow_config(kind));
        }
    }
}

fn peers(settings: &Settings, listener: TcpListener) -> Peers {
    let bound = listener.local_addr().unwrap_or(settings.listen.peer);
    let addr = settings.peers.advertise.unwrap_or(bound);
    let me = Member {
        name: settings.instance.name.clone(),
        addr,
        domain: settings.instance.domain.clone(),
        region: settings.instance.region.clone(),
        capacity: 0,
    };
    let options = Options {
        me,
        key: PeerKey::new(&settings.peers.key.0),
        period: settings.peers.heartbeat,
        seeds: settings.peers.seeds.clone(),
        layout: Layout::Mesh,
    };
    Peers::start(listener, options)
}
