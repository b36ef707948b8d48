//! Keeps the catalog up to the platform: a list, then watches; from peers while it is away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::time::sleep;

use super::catalog::{Listed, Registration};
use super::relay::Relay;
use super::rules::Rules;
use crate::peer::Tag;
use crate::platform::{Error, Object};

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

/// Longest wait for a peer's answer.
const ASK_LIMIT: Duration = Duration::from_millis(500);

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

/// What one instance passes on to another that lacks it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Copy {
    /// JSON text of the rules, if the asking instance's are older.
    rules: Option<String>,
    /// Registrations and the platform revision that they are as of.
    targets: Option<(u64, Vec<Registration>)>,
}

/// What an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Held {
    /// Version of the rules.
    pub(crate) rules: u64,
    /// Platform revision of the targets.
    pub(crate) targets: Option<u64>,
}

impl Relay {
    pub(crate) fn held(&self) -> Held {
        let catalog = self.catalog.lock();
        Held {
            rules: catalog.version(),
            targets: catalog.as_of,
        }
    }

    pub(crate) async fn follow_rules(self: Arc<Self>, sources: Sources) {
        let mut from = None;
        let mut pause = RETRY_MIN;
        loop {
            match self.read_rules(sources, from).await {
                Ok(rev) => {
                    self.regained("rules", &mut pause);
                    from = Some(rev);
                    sleep(RULES_PAUSE).await;
                }
                Err(Error::Gone) => from = None,
                Err(e) => self.failed("rules", &e, &mut pause).await,
            }
        }
    }

    async fn read_rules(&self, sources: Sources, from: Option<u64>) -> Result<u64, Error> {
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
        if let Some(value) = newest.filter_map(|e| e.value.as_ref()).next_back() {
            self.take_rules(sources, value, "platform");
        }
        Ok(changes.rev)
    }

    fn take_rules(&self, sources: Sources, value: &Value, source: &str) {
        match (sources.read_rules)(value) {
            Ok(rules) => {
                let version = rules.version;
                let routes = rules.routes().count();
                if self.catalog.lock().take_rules(rules) {
                    *self.rules_text.lock() = Some(value.to_string().into());
                    self.refresh();
                    info!(self.record.log, "rules: in force";
                        "version" => version, "routes" => routes, "from" => source);
                }
            }
            Err(e) => {
                warn!(self.record.log, "rules: could not be read, the former stay in force";
                    "error" => e);
            }
        }
    }

    pub(crate) async fn follow_targets(self: Arc<Self>, sources: Sources) {
        let mut from = None;
        let mut pause = RETRY_MIN;
        loop {
            match self.read_targets(sources, from).await {
                Ok(rev) => {
                    self.regained("targets", &mut pause);
                    from = Some(rev);
                    sleep(TARGETS_PAUSE).await;
                }
                Err(Error::Gone) => from = None,
                Err(e) => self.failed("targets", &e, &mut pause).await,
            }
        }
    }

    async fn read_targets(&self, sources: Sources, from: Option<u64>) -> Result<u64, Error> {
        let kind = sources.targets;
        let Some(from) = from else {
            let list = self.platform.list(kind, "").await?;
            let read = |o: &Object| self.registration(sources, &o.name, o.rev, &o.value);
            let registrations = list.items.iter().filter_map(read).collect();
            let now = Instant::now();
            self.catalog.lock().take_list(list.rev, registrations, now);
            self.refresh();
            return Ok(list.rev);
        };
        let changes = self.platform.watch(kind, from, WATCH_WAIT).await?;
        let now = Instant::now();
        let mut catalog = self.catalog.lock();
        for event in &changes.events {
            let read = |v| self.registration(sources, &event.name, event.rev, v);
            match event.value.as_ref() {
                None => {
                    info!(self.record.log, "target: registration removed";
                        "target" => event.name.as_str(), "rev" => event.rev);
                    catalog.remove(&event.name, now);
                }
                Some(value) => match read(value) {
                    Some(registration) => catalog.put(registration),
                    None => catalog.remove(&event.name, now),
                },
            }
        }
        catalog.as_of = catalog.as_of.max(Some(changes.rev));
        let unsettled = catalog.is_unsettled();
        drop(catalog);
        if !changes.events.is_empty() || unsettled {
            self.refresh();
        }
        Ok(changes.rev)
    }

    /// Reads one registration; one that cannot be read names no target.
    fn registration(
        &self,
        sources: Sources,
        name: &SmolStr,
        rev: u64,
        value: &Value,
    ) -> Option<Registration> {
        match (sources.read_target)(name, value) {
            Ok(listed) => {
                info!(self.record.log, "target: registered";
                    "target" => name.as_str(), "rev" => rev, "service" => listed.service.as_str(),
                    "leaving" => listed.leaving);
                Some(Registration { rev, listed })
            }
            Err(e) => {
                warn!(self.record.log, "target: registration passed over";
                    "target" => name.as_str(), "rev" => rev, "error" => e);
                None
            }
        }
    }

    fn regained(&self, what: &str, pause: &mut Duration) {
        if *pause != RETRY_MIN {
            info!(self.record.log, "platform: regained"; "for" => what);
        }
        *pause = RETRY_MIN;
    }

    async fn failed(&self, what: &str, error: &Error, pause: &mut Duration) {
        if *pause == RETRY_MIN {
            warn!(self.record.log, "platform: lost"; "for" => what, "error" => %error);
        }
        self.catalog.lock().platform_away(Instant::now());
        sleep(error.wait().unwrap_or(*pause).min(RETRY_MAX)).await;
        *pause = (*pause * 2).min(RETRY_MAX);
    }

    /// Answers a peer that lacks something.
    pub(crate) fn copy_for(&self, held: Held) -> Copy {
        let text = self.rules_text.lock().clone();
        let catalog = self.catalog.lock();
        let rules = (catalog.version() > held.rules).then_some(text).flatten();
        let newer = catalog.as_of.filter(|mine| Some(*mine) > held.targets);
        Copy {
            rules: rules.map(|text| text.to_string()),
            targets: newer.map(|as_of| (as_of, catalog.registrations())),
        }
    }

    /// Takes from the peer `name` what this instance lacks.
    pub(crate) async fn take_copy(&self, sources: Sources, name: &SmolStr) {
        let held = self.held();
        let copy = self
            .peers
            .call::<_, Copy>(name, Tag::Config, &held, ASK_LIMIT)
            .await;
        let copy = match copy {
            Ok(copy) => copy,
            Err(e) => {
                info!(self.record.log, "rules: could not ask a peer"; "peer" => name.as_str(), "error" => %e);
                return;
            }
        };
        if let Some(value) = copy.rules.and_then(|t| serde_json::from_str(&t).ok()) {
            self.take_rules(sources, &value, name);
        }
        if let Some((as_of, registrations)) = copy.targets {
            let now = Instant::now();
            self.catalog.lock().take_list(as_of, registrations, now);
            self.refresh();
        }
    }
}
