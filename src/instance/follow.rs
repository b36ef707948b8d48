//! Tasks that keep the instance's picture of the fleet and the configuration.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use slog::{debug, warn};

use super::Instance;
use crate::{config, platform};

/// Pause after a failed call of the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);

impl Instance {
    pub(super) async fn follow_fleet(self: Arc<Self>) {
        loop {
            match self.platform.instances().await {
                Ok(list) => {
                    self.fleet.sync(&list.items, Instant::now());
                    self.router.sync(self.fleet.roster().targets.clone());
                    self.list_peers();
                    self.listed.store(true, Ordering::Release);
                }
                Err(e) => {
                    debug!(self.log, "fleet: could not read the instance list"; "error" => %e);
                }
            }
            tokio::time::sleep(self.settings.platform.poll).await;
        }
    }

    pub(super) async fn follow_config(self: Arc<Self>, kind: &'static str) {
        loop {
            if let Err(e) = self.follow_kind(kind).await {
                warn!(self.log, "config: could not follow the platform"; "kind" => kind, "error" => %e);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn follow_kind(&self, kind: &'static str) -> Result<(), platform::Error> {
        let list = self.platform.list(kind, "").await?;
        let entries: Vec<_> = list.items.iter().map(entry).collect();
        self.config.apply_listing(kind, list.rev, &entries);
        let mut rev = list.rev;
        loop {
            let changes = self.platform.watch(kind, rev, WATCH_WAIT).await?;
            for event in &changes.events {
                self.config
                    .apply(kind, &event.name, event.rev, event.value.as_ref());
            }
            rev = changes.rev;
        }
    }
}

fn entry(object: &platform::Object) -> config::Entry {
    config::Entry {
        kind: object.kind.clone(),
        name: object.name.clone(),
        rev: object.rev,
        value: Some(object.value.to_string().into()),
    }
}
