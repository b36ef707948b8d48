//! One entry instance: its parts and how they are wired.

mod act;
mod balance;
mod follow;
mod generate;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use slog::Logger;
use smol_str::SmolStr;

use crate::action::{Actions, Rules};
use crate::admission::{Budget, Gate};
use crate::config;
use crate::fleet::Fleet;
use crate::generation::Generations;
use crate::http::Client;
use crate::ident::RequestKey;
use crate::peer::Peers;
use crate::platform;
use crate::routing::{Costs, Policy, Router, Views};
use crate::settings::Settings;
use crate::telemetry::Metrics;

/// The parts of one entry instance.
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
    /// The configuration in force.
    pub config: Arc<config::Store>,
    /// The fleet's roster.
    pub fleet: Arc<Fleet>,
    /// The choice of targets.
    pub router: Arc<Router>,
    /// The generations that run here.
    pub generations: Generations,
    /// Calls of plain services.
    pub actions: Actions,
    /// Who may start work.
    pub gate: Arc<Gate>,
    /// Retries left.
    pub budget: Arc<Budget>,
    /// What is known of the targets' loads.
    pub views: Arc<Views>,
    peers: OnceLock<Peers>,
    listed: AtomicBool,
}

impl Instance {
    /// An instance that has not read anything yet. Must be called within a runtime.
    #[must_use]
    pub fn new(settings: Settings, log: Logger) -> Self {
        let fleet = Arc::<Fleet>::default();
        let router = Arc::new(Router::new(Policy::Cost, Costs::default()));
        let budget = Arc::<Budget>::default();
        let gate = Arc::new(Gate::new(rand::random()));
        let hooks = generate::hooks(&settings.instance, &fleet, &router, &budget);
        let platform = platform::Client::new(settings.platform.addr, settings.platform.timeout);
        let config = Arc::<config::Store>::default();
        let choose = act::chooser(&settings.instance, &config, &router);
        let name = settings.instance.name.clone();
        let actions = Actions::new(name, platform.clone(), choose, Rules::default());
        let metrics = Metrics::new();
        let generations = Generations::new(hooks, Client::new());
        generations.gate(generate::admission(&config, &gate, &budget, &metrics));
        let views = Views::new(balance::poller(&settings));
        Self {
            settings,
            log,
            metrics,
            platform: Arc::new(platform),
            config,
            fleet,
            router,
            generations,
            actions,
            gate,
            budget,
            views: Arc::new(views),
            peers: OnceLock::new(),
            listed: AtomicBool::new(false),
        }
    }

    /// Whether it knows the configuration and the fleet.
    #[must_use]
    pub fn ready(&self) -> bool {
        let known = self.config.view().rev > 0;
        known && self.listed.load(Ordering::Acquire)
    }

    /// The version that serves `key`.
    #[must_use]
    pub fn version(&self, service: &str, key: RequestKey) -> SmolStr {
        let view = self.config.view();
        view.version_for(service, key).cloned().unwrap_or_default()
    }

    /// Starts the tasks that keep the instance's picture of the world.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow_fleet());
        tokio::spawn(Arc::clone(self).poll_loads());
        tokio::spawn(Arc::clone(self).share_capacity());
        for kind in config::KINDS {
            tokio::spawn(Arc::clone(self).follow_config(kind));
        }
    }
}
