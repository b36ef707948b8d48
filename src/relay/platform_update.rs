//! Changes that readers of the platform forward to other instances, and full copies for those that
//! missed some.

use std::future::ready;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use smol_str::SmolStr;

use super::catalog::{Change, Registration};
use super::departures::Departure;
use super::platform_watch::{HeldRevisions, Sources};
use super::relay::Relay;
use crate::peer::{Tag, encode};

/// Timeout for a peer's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Rules and targets that one instance sends to another that lacks them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Config {
    /// JSON text of the rules, if the requesting instance's are older.
    rules: Option<String>,
    /// Registrations, if the requesting instance's are older.
    targets: Option<Targets>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Targets {
    /// Era of the platform in which they were read.
    era: Option<u64>,
    /// Platform revision up to which the list is complete, and the highest revision in it.
    revs: (u64, u64),
    list: Vec<Registration>,
    /// Departures that keep some of them out of use.
    departures: Vec<Departure>,
    outage: Option<Duration>,
}

/// Changes read from the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PlatformUpdate {
    /// JSON text of the rules.
    Rules(String),
    /// Changes of targets.
    Targets {
        /// Era of the platform in which they were read.
        era: Option<u64>,
        /// Revision of the newest change before these.
        since: u64,
        /// Platform revision after these.
        as_of: u64,
        changes: Vec<Change>,
        /// Time since the last failed read of the platform.
        outage: Option<Duration>,
    },
}

impl Relay {
    /// Forwards changes to the instances that do not read the platform.
    pub(crate) fn forward(self: &Arc<Self>, update: PlatformUpdate) {
        let followers = self.followers();
        if followers.is_empty() {
            return;
        }
        let me = Arc::clone(self);
        let body = encode(&update);
        tokio::spawn(async move {
            join_all(
                followers
                    .iter()
                    .map(|name| me.send_update(name, body.clone())),
            )
            .await;
        });
    }

    async fn send_update(&self, name: &SmolStr, update: Bytes) {
        let sent = self
            .peers
            .send(name, Tag::PlatformUpdate, update, CALL_TIMEOUT);
        if let Err(e) = sent.await {
            info!(self.decisions.log, "platform: could not tell a peer";
                "peer" => name.as_str(), "error" => %e);
        }
    }

    /// Registers the handlers of forwarded changes and of requests for a copy.
    pub(crate) fn handle_platform_updates(self: &Arc<Self>, sources: Sources) {
        let me = Arc::clone(self);
        self.peers
            .on(Tag::PlatformUpdate, move |from, update: PlatformUpdate| {
                me.handle_update(sources, &from, update);
                ready(())
            });
        let me = Arc::clone(self);
        self.peers.on(Tag::Config, move |_, held: HeldRevisions| {
            ready(me.config_for(held))
        });
    }

    fn handle_update(self: &Arc<Self>, sources: Sources, from: &SmolStr, update: PlatformUpdate) {
        match update {
            PlatformUpdate::Rules(text) => self.apply_rules_text(sources, &text, from),
            PlatformUpdate::Targets { era, .. } if era < self.catalog.lock().era => {}
            PlatformUpdate::Targets {
                era,
                since,
                as_of,
                changes,
                outage,
            } => {
                self.record_outage(outage);
                let catalog = self.catalog.lock();
                let is_stale = catalog.era < era || catalog.newest() < Some(since);
                drop(catalog);
                match is_stale {
                    true => {
                        let (me, from) = (Arc::clone(self), from.clone());
                        tokio::spawn(async move { me.fetch_config(sources, &from).await });
                    }
                    false => self.apply_changes(as_of, &changes),
                }
            }
        }
    }

    fn apply_rules_text(&self, sources: Sources, text: &str, from: &str) {
        let value = serde_json::from_str(text).map_err(|e| e.to_string());
        let read = value.and_then(|value| Ok(((sources.read_rules)(&value)?, value)));
        match read {
            Ok((rules, value)) => {
                self.put_rules(rules, &value, from);
            }
            Err(e) => warn!(self.decisions.log, "rules: could not parse the rules of a peer";
                "peer" => from, "error" => e),
        }
    }

    fn record_outage(&self, outage: Option<Duration>) {
        let at = outage.and_then(|outage| Instant::now().checked_sub(outage));
        if let Some(at) = at {
            self.catalog.lock().record_outage(at);
        }
    }

    /// The rules and targets that a peer with `held` lacks.
    fn config_for(&self, held: HeldRevisions) -> Config {
        let own = self.held_revisions();
        let text = self.rules_text.lock().clone();
        let catalog = self.catalog.lock();
        let rules = (catalog.version() > held.rules).then_some(text).flatten();
        let is_newer = own.progress() > held.progress() || own.keeps_out_others(&held);
        let revs = catalog.as_of.zip(catalog.newest()).filter(|_| is_newer);
        Config {
            rules: rules.map(|text| text.to_string()),
            targets: revs.map(|revs| Targets {
                era: catalog.era,
                revs,
                departures: catalog.departures(),
                list: catalog.registrations(),
                outage: catalog.last_outage().map(|at| at.elapsed()),
            }),
        }
    }

    /// Fetches from the peer `name` the rules and targets that this instance lacks.
    pub(crate) async fn fetch_config(&self, sources: Sources, name: &SmolStr) {
        let held = self.held_revisions();
        let config = self
            .peers
            .call::<_, Config>(name, Tag::Config, &held, CALL_TIMEOUT)
            .await;
        let config = match config {
            Ok(config) => config,
            Err(e) => {
                info!(self.decisions.log, "rules: could not fetch from a peer"; "peer" => name.as_str(), "error" => %e);
                return;
            }
        };
        if let Some(text) = config.rules {
            self.apply_rules_text(sources, &text, name);
        }
        if let Some(targets) = config.targets {
            self.record_outage(targets.outage);
            self.platform.learn_era(targets.era);
            let mut catalog = self.catalog.lock();
            if self.enter_era(&mut catalog, targets.era, targets.revs.0, name) {
                let now = Instant::now();
                catalog.apply_copy(targets.revs, targets.list, now);
                catalog.learn_departures(targets.departures);
            }
            drop(catalog);
            self.refresh_targets();
        }
    }
}
