//! One entry instance: its parts and how they are wired.

mod act;
mod follow;
mod generate;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use slog::Logger;
use smol_str::SmolStr;

use crate::action::{Actions, Rules};
use crate::config;
use crate::fleet::Fleet;
use crate::generation::Generations;
use crate::http::Client;
use crate::ident::RequestKey;
use crate::platform;
use crate::routing::{Costs, Policy, Router};
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
    listed: AtomicBool,
}

impl Instance {
    /// An instance that has not read anything yet. Must be called within a runtime.
    #[must_use]
    pub fn new(settings: Settings, log: Logger) -> Self {
        let fleet = Arc::<Fleet>::default();
        let router = Arc::new(Router::new(Policy::Cost, Costs::default()));
        let hooks = generate::hooks(&settings.instance, &fleet, &router);
        let platform = platform::Client::new(settings.platform.addr, settings.platform.timeout);
        let config = Arc::<config::Store>::default();
        let choose = act::chooser(&settings.instance, &config, &router);
        let name = settings.instance.name.clone();
        let actions = Actions::new(name, platform.clone(), choose, Rules::default());
        Self {
            settings,
            log,
            metrics: Metrics::new(),
            platform: Arc::new(platform),
            config,
            fleet,
            router,
            generations: Generations::new(hooks, Client::new()),
            actions,
            listed: AtomicBool::new(false),
        }
    }

    /// Whether it knows the configuration and the fleet.
    #[must_use]
    pub fn ready(&self) -> bool {
        let known = self.config.complete();
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
        for kind in config::KINDS {
            tokio::spawn(Arc::clone(self).follow_config(kind));
        }
    }
}
