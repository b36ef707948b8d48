//! Keeps the catalog up to the platform: a list, then watches, by the instances on duty.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::time::sleep;

use super::catalog::{Change, Listed, Registration};
use super::news::News;
use super::relay::Relay;
use super::rules::Rules;
use crate::platform::{self, Error};

/// Longest wait of a watch. One whose connection has gone silent delays news by this much, unless
/// a peer tells them; each watch is billed.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Pause between two watches of the targets: registrations come in groups, and each call is
/// billed. Far below the seconds in which a leaving target must be left alone.
const TARGETS_PAUSE: Duration = Duration::from_millis(300);

/// The same for the rules.
const RULES_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a first failed call; it doubles with each further one.
const RETRY_MIN: Duration = Duration::from_millis(250);

/// Longest pause after failed calls: the platform's return is to be noticed within a second.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Time between two looks whether this instance has come on duty: far below the seconds in which
/// rules must be in force.
const STAND_BY: Duration = Duration::from_millis(200);

/// Longest wait at the start for other instances, before the platform is read: the way to a seed of
/// the own region and back.
const MEET_MAX: Duration = Duration::from_millis(100);

/// The same when the whole system starts, and callers come seconds later: some heartbeats.
const MEET_FIRST: Duration = Duration::from_secs(3);

/// Time between two looks for other instances at the start.
const MEET_LOOK: Duration = Duration::from_millis(10);

/// How the platform's objects are read.
#[derive(Clone, Copy)]
pub struct Sources {
    /// Kind and name of the object with the rules.
    pub rules: (&'static str, &'static str),
    /// Kind of the targets' registrations.
    pub targets: &'static str,
    /// Reads the rules.
    pub read_rules: fn(&Value) -> Result<Rules, String>,
    /// Reads a registration.
    pub read_target: fn(&str, &Value) -> Result<Listed, String>,
}

impl std::fmt::Debug for Sources {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sources")
    }
}

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// The rules.
    Rules,
    /// The targets.
    Targets,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Self::Rules => "rules",
            Self::Targets => "targets",
        }
    }

    fn pause(self) -> Duration {
        match self {
            Self::Rules => RULES_PAUSE,
            Self::Targets => TARGETS_PAUSE,
        }
    }
}

/// What an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Held {
    /// Version of the rules.
    pub(crate) rules: u64,
    /// Platform revision of the newest registration or removal.
    pub(crate) targets: Option<u64>,
    /// Whether it reads the platform.
    pub(crate) reads: bool,
}

impl Relay {
    pub(crate) fn held(&self) -> Held {
        let reads = self.reading.lock().is_whole();
        let catalog = self.catalog.lock();
        Held {
            rules: catalog.version(),
            targets: catalog.newest(),
            reads,
        }
    }

    /// Reads the platform while on duty.
    pub(crate) async fn follow(self: Arc<Self>, sources: Sources, topic: Topic) {
        self.meet().await;
        let mut from = None;
        let mut pause = RETRY_MIN;
        loop {
            if !self.is_reader() {
                self.set_reading(topic, false);
                sleep(STAND_BY).await;
                continue;
            }
            let read = match topic {
                Topic::Rules => self.read_rules(sources, from).await,
                Topic::Targets => self.read_targets(sources, from).await,
            };
            match read {
                Ok(rev) => {
                    self.regained(topic, &mut pause);
                    from = Some(rev);
                    sleep(topic.pause()).await;
                }
                Err(Error::Gone) => from = None,
                Err(e) => self.failed(topic, &e, &mut pause).await,
            }
        }
    }

    /// Waits until it shows whether the fleet is large, where others may read for this instance.
    pub(crate) async fn meet(&self) {
        let longest = match self.settings.first_start {
            true => MEET_FIRST,
            false => MEET_MAX,
        };
        let until = Instant::now() + longest;
        while Instant::now() < until && !(self.peers.is_tiered() && self.has_met()) {
            sleep(MEET_LOOK).await;
        }
    }

    fn set_reading(&self, topic: Topic, reads: bool) {
        let mut reading = self.reading.lock();
        match topic {
            Topic::Rules => reading.rules = reads,
            Topic::Targets => reading.targets = reads,
        }
    }

    async fn read_rules(
        self: &Arc<Self>,
        sources: Sources,
        from: Option<u64>,
    ) -> Result<u64, Error> {
        let (kind, name) = sources.rules;
        let Some(from) = from else {
            let list = self.platform.list(kind, "").await?;
            let found = list.items.iter().find(|o| o.name == name);
            if let Some(object) = found {
                self.take_rules(sources, &object.value, "platform");
            }
            return Ok(list.rev);
        };
        let changes = self.platform.watch(kind, from, WATCH_WAIT).await?;
        let newest = changes.events.iter().filter(|e| e.name == name);
        if let Some(value) = newest.filter_map(|e| e.value.as_ref()).next_back()
            && self.take_rules(sources, value, "platform")
        {
            self.pass_on(News::Rules(value.to_string()));
        }
        Ok(changes.rev)
    }

    pub(crate) fn take_rules(&self, sources: Sources, value: &Value, source: &str) -> bool {
        let rules = match (sources.read_rules)(value) {
            Ok(rules) => rules,
            Err(e) => {
                warn!(self.record.log, "rules: could not be read, the former stay in force";
                    "error" => e);
                return false;
            }
        };
        let version = rules.version;
        let routes = rules.routes().count();
        let newer = self.catalog.lock().take_rules(rules);
        if newer {
            *self.rules_text.lock() = Some(value.to_string().into());
            self.refresh_rules();
            info!(self.record.log, "rules: in force";
                "version" => version, "routes" => routes, "from" => source);
        }
        newer
    }

    async fn read_targets(
        self: &Arc<Self>,
        sources: Sources,
        from: Option<u64>,
    ) -> Result<u64, Error> {
        let kind = sources.targets;
        // Peers may have told of later changes than the last watch.
        let from = from.and_then(|from| self.catalog.lock().as_of.max(Some(from)));
        let Some(from) = from else {
            let list = self.platform.list(kind, "").await?;
            let read = |o: &platform::Object| {
                let listed = self.registration(sources, &o.name, o.rev, &o.value)?;
                Some(Registration { rev: o.rev, listed })
            };
            let registrations = list.items.iter().filter_map(read).collect();
            let now = Instant::now();
            self.catalog.lock().take_list(list.rev, registrations, now);
            self.refresh_targets();
            return Ok(list.rev);
        };
        let changes = self.platform.watch(kind, from, WATCH_WAIT).await?;
        let change = |e: &platform::Event| Change {
            name: e.name.clone(),
            rev: e.rev,
            listed: self.change(sources, e),
        };
        let list: Vec<_> = changes.events.iter().map(change).collect();
        let since = self.catalog.lock().newest().unwrap_or_default();
        self.take_changes(changes.rev, &list);
        if !list.is_empty() {
            let away = self.catalog.lock().last_away();
            self.pass_on(News::Targets {
                since,
                as_of: changes.rev,
                changes: list,
                away: away.map(|at| at.elapsed()),
            });
        }
        Ok(changes.rev)
    }

    pub(crate) fn take_changes(&self, as_of: u64, changes: &[Change]) {
        let now = Instant::now();
        self.catalog.lock().take_changes(as_of, changes, now);
        if !changes.is_empty() {
            self.refresh_targets();
        }
    }

    fn change(&self, sources: Sources, event: &platform::Event) -> Option<Listed> {
        let Some(value) = &event.value else {
            info!(self.record.log, "target: registration removed";
                "target" => event.name.as_str(), "rev" => event.rev);
            return None;
        };
        self.registration(sources, &event.name, event.rev, value)
    }

    /// Reads one registration; one that cannot be read names no target.
    fn registration(
        &self,
        sources: Sources,
        name: &SmolStr,
        rev: u64,
        value: &Value,
    ) -> Option<Listed> {
        match (sources.read_target)(name, value) {
            Ok(listed) => {
                info!(self.record.log, "target: registered";
                    "target" => name.as_str(), "rev" => rev, "service" => listed.service.as_str(),
                    "leaving" => listed.leaving);
                Some(listed)
            }
            Err(e) => {
                warn!(self.record.log, "target: registration passed over";
                    "target" => name.as_str(), "rev" => rev, "error" => e);
                None
            }
        }
    }

    fn regained(&self, topic: Topic, pause: &mut Duration) {
        if *pause != RETRY_MIN {
            info!(self.record.log, "platform: regained"; "for" => topic.name());
        }
        *pause = RETRY_MIN;
        self.set_reading(topic, true);
    }

    async fn failed(&self, topic: Topic, error: &Error, pause: &mut Duration) {
        if *pause == RETRY_MIN {
            warn!(self.record.log, "platform: lost"; "for" => topic.name(), "error" => %error);
        }
        self.set_reading(topic, false);
        self.catalog.lock().platform_away(Instant::now());
        sleep(error.wait().unwrap_or(*pause).min(RETRY_MAX)).await;
        *pause = (*pause * 2).min(RETRY_MAX);
    }
}
