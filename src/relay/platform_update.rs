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

use super::catalog::{Change, TargetsCopy};
use super::freshness::{Age, Ages};
use super::platform_watch::{HeldRevisions, Origin, Sources, Topic};
use super::relay::Relay;
use crate::peer::{Tag, encode};

/// Timeout for a peer's answer to an update.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a peer's copy: one that is late still tells what this instance lacks.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest time between two questions to peers that may have fresher knowledge.
const ASK_PERIOD: Duration = Duration::from_millis(150);

/// Rules and targets that one instance sends to another that lacks them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Config {
    /// JSON text of the rules, if the requesting instance's are older.
    rules: Option<String>,
    /// Registrations, if the requesting instance's are older.
    targets: Option<TargetsCopy>,
    /// What the sender holds.
    held: HeldRevisions,
    /// Ages of what it knows.
    ages: Ages,
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
        /// Time since the last failed read of the platform by the sender, which read the changes.
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
            PlatformUpdate::Rules(text) => {
                self.apply_rules_text(sources, &text, Origin::Update(from));
            }
            PlatformUpdate::Targets { era, .. } if era < self.catalog.lock().era => {}
            PlatformUpdate::Targets {
                era,
                since,
                as_of,
                changes,
                outage,
            } => {
                let at = outage.and_then(|outage| Instant::now().checked_sub(outage));
                let mut catalog = self.catalog.lock();
                catalog.record_peer_outage(at);
                let is_stale = catalog.era < era || catalog.newest() < Some(since);
                drop(catalog);
                match is_stale {
                    true => {
                        let (me, from) = (Arc::clone(self), from.clone());
                        tokio::spawn(async move { me.fetch_config(sources, &from).await });
                    }
                    false => {
                        self.apply_changes(as_of, &changes, at);
                        self.confirm_removals(sources);
                    }
                }
            }
        }
    }

    fn apply_rules_text(&self, sources: Sources, text: &str, origin: Origin<'_>) {
        let value = serde_json::from_str(text).map_err(|e| e.to_string());
        let read = value.and_then(|value| Ok(((sources.read_rules)(&value)?, value)));
        match read {
            Ok((rules, value)) => {
                self.put_rules(rules, &value, origin);
            }
            Err(e) => warn!(self.decisions.log, "rules: could not parse the rules of a peer";
                "peer" => origin.sender(), "error" => e),
        }
    }

    /// The rules and targets that a peer with `held` lacks.
    fn config_for(&self, held: HeldRevisions) -> Config {
        // Ages are taken before what they belong to, as a read in between makes both younger.
        let ages = self.freshness.lock().ages(Instant::now());
        let own = self.held_revisions();
        let text = self.rules_text.lock().clone();
        let catalog = self.catalog.lock();
        let rules = (catalog.version() > held.rules).then_some(text).flatten();
        let is_newer = own.progress() > held.progress() || own.keeps_out_others(&held);
        let copy = || catalog.copy(Instant::now());
        Config {
            rules: rules.map(|text| text.to_string()),
            targets: is_newer.then(copy).flatten(),
            held: own,
            ages,
        }
    }

    /// Fetches from the peer `name` the rules and targets that this instance lacks.
    /// Does nothing while it is being asked already.
    pub(crate) async fn fetch_config(self: &Arc<Self>, sources: Sources, name: &SmolStr) {
        if !self.asked_peers.lock().insert(name.clone()) {
            return;
        }
        self.fetch_copy(sources, name, COPY_TIMEOUT).await;
        self.asked_peers.lock().swap_remove(name);
    }

    /// Fetches from a peer that answers within `limit`.
    pub(crate) async fn fetch_copy(
        self: &Arc<Self>,
        sources: Sources,
        name: &SmolStr,
        limit: Duration,
    ) {
        let mut held = self.held_revisions();
        if self.catalog.lock().has_lapsed() {
            // A copy that is no newer may tell that removals are final.
            held.targets = None;
        }
        let asked = Instant::now();
        let config = self
            .peers
            .call::<_, Config>(name, Tag::Config, &held, limit)
            .await;
        let config = match config {
            Ok(config) => config,
            Err(e) => {
                info!(self.decisions.log, "rules: could not fetch from a peer"; "peer" => name.as_str(), "error" => %e);
                return;
            }
        };
        if let Some(text) = config.rules {
            self.apply_rules_text(sources, &text, Origin::Copy(name));
        }
        if let Some(targets) = config.targets {
            self.apply_copy(sources, targets, name);
        }
        self.learn_ages(name, &config.held, config.ages, asked);
    }

    /// Applies a peer's copy of the targets.
    fn apply_copy(self: &Arc<Self>, sources: Sources, mut targets: TargetsCopy, name: &SmolStr) {
        let departures = std::mem::take(&mut targets.departures);
        self.platform.learn_era(targets.era);
        let mut catalog = self.catalog.lock();
        if !self.enter_era(&mut catalog, targets.era, targets.revs.0, name) {
            return;
        }
        let settled = catalog.apply_copy(targets, Instant::now());
        catalog.learn_departures(departures);
        drop(catalog);
        if !settled.is_empty() {
            info!(self.decisions.log, "target: removals confirmed by a peer";
                "peer" => name.as_str(), "targets" => settled.join(","));
        }
        self.refresh_targets();
        self.forward_settled(settled);
        self.confirm_removals(sources);
    }

    /// Learns how old the knowledge of a peer is that answered a message sent at `asked`, by topic
    /// once this instance knows as much.
    pub(crate) fn learn_ages(&self, peer: &str, held: &HeldRevisions, ages: Ages, asked: Instant) {
        let own = self.held_revisions();
        let mut freshness = self.freshness.lock();
        if own.rules >= held.rules {
            freshness.learn(Topic::Rules, ages.rules, asked);
        }
        if own.era == held.era && own.progress() >= held.progress() {
            freshness.learn(Topic::Targets, ages.targets, asked);
        }
        drop(freshness);
        self.record_reader_ages(peer, ages);
    }

    /// Asks a peer what it knows if that is fresher than what this instance knows, which is older
    /// than the readers' watches should leave it. Its message alone doesn't show that: it may have
    /// been on its way for long.
    pub(crate) fn ask_fresher(self: &Arc<Self>, sources: Sources, peer: &SmolStr, ages: Ages) {
        let now = Instant::now();
        let own = self.freshness.lock().ages(now);
        let is_fresher = |theirs: Age, own: Age| match (theirs.known, own.known) {
            (Some(theirs), Some(own)) => self.age_limits.is_fresher(theirs, own),
            _ => false,
        };
        let is_other = *peer != self.settings.instance.name;
        let is_fresher = is_fresher(ages.rules, own.rules) || is_fresher(ages.targets, own.targets);
        if is_other && is_fresher {
            self.ask_knowledge(sources, vec![peer.clone()], now);
        }
    }

    /// Asks peers what they know, once in [`ASK_PERIOD`].
    pub(crate) fn ask_knowledge(
        self: &Arc<Self>,
        sources: Sources,
        peers: Vec<SmolStr>,
        now: Instant,
    ) {
        let mut asked = self.knowledge_asked.lock();
        if asked.is_some_and(|at| now < at + ASK_PERIOD) {
            return;
        }
        *asked = Some(now);
        drop(asked);
        for peer in peers {
            let me = Arc::clone(self);
            tokio::spawn(async move { me.fetch_config(sources, &peer).await });
        }
    }

    /// Records when a peer of this failure domain last read the platform.
    pub(crate) fn record_reader_ages(&self, peer: &str, ages: Ages) {
        if self.peers.in_domain(peer) {
            self.freshness.lock().record_reader(ages, Instant::now());
        }
    }
}
