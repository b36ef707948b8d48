//! Keeps the catalog in sync with the platform: the elected readers list the objects, then watch
//! for changes.

use std::future::pending;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::time::sleep;

use super::catalog::{Change, Registration, TargetInfo};
use super::election::Duty;
use super::platform_update::PlatformUpdate;
use super::relay::Relay;
use super::rules::Rules;
use crate::platform::{self, CatchUp, Error, Watched, is_restored};

/// Pause between two watches of the targets: registrations come in groups, and each call is billed.
/// Far below the seconds within which traffic to a leaving target must stop.
const TARGETS_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two watches of the rules.
const RULES_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a first failed call; it doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest pause after failed calls: the platform's return must be noticed within a second.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Time between two checks whether this instance is an elected reader: far below the seconds within
/// which rules must take effect.
const ELECTION_PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for other instances at the start, before the platform is read: one round trip to a
/// seed in the same region.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest wait for other instances when the whole system starts: a few heartbeats. Callers connect
/// seconds later.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two checks for other instances at the start.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(10);

/// Time after the end of a wait from which a response is reported as late.
const LATE_RESPONSE: Duration = Duration::from_millis(250);

/// Names and parsers of the platform's objects.
#[derive(Clone, Copy)]
pub struct Sources {
    /// Kind and name of the object that holds the rules.
    pub rules: (&'static str, &'static str),
    /// Kind of the targets' registrations.
    pub targets: &'static str,
    /// Parses the rules.
    pub read_rules: fn(&Value) -> Result<Rules, String>,
    /// Parses a registration.
    pub read_target: fn(&str, &Value) -> Result<TargetInfo, String>,
}

impl std::fmt::Debug for Sources {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sources")
    }
}

/// Kind of object that is watched.
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

/// Revisions of the rules and targets that an instance holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldRevisions {
    /// Era of the platform in which the targets were read.
    pub(crate) era: Option<u64>,
    /// Version of the rules.
    pub(crate) rules: u64,
    /// Platform revision of the newest registration or removal.
    pub(crate) targets: Option<u64>,
    /// Fingerprint of the targets that are kept out of use as the platform's entries are older; 0
    /// when there are none.
    pub(crate) kept_out: u64,
}

impl HeldRevisions {
    /// How far the targets are known. Revisions of an earlier era are behind all of a later one.
    pub(crate) fn progress(&self) -> (Option<u64>, Option<u64>) {
        (self.era, self.targets)
    }

    /// Whether an instance with `other` keeps out more targets or fewer.
    pub(crate) fn keeps_out_others(&self, other: &Self) -> bool {
        self.era == other.era && self.kept_out != other.kept_out
    }
}

/// How an instance received rules.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Origin<'a> {
    /// It read the platform.
    Store,
    /// A reader forwarded them.
    Update(&'a str),
    /// It fetched them from an instance that has newer ones.
    Copy(&'a str),
}

impl<'a> Origin<'a> {
    /// Name of the way for the log.
    fn way(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Update(_) => "update",
            Self::Copy(_) => "copy",
        }
    }

    pub(super) fn sender(self) -> &'a str {
        match self {
            Self::Store => "platform",
            Self::Update(name) | Self::Copy(name) => name,
        }
    }
}

/// A read of the platform.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Revision up to which it shows the platform's state.
    rev: u64,
    /// Moment as of which it shows that.
    as_of: Instant,
    /// Number of changes in its response.
    changes: usize,
}

/// Where the next watch starts.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    /// Era in which the revision was read.
    era: Option<u64>,
    rev: u64,
}

impl Relay {
    pub(crate) fn held_revisions(&self) -> HeldRevisions {
        let catalog = self.catalog.lock();
        HeldRevisions {
            era: catalog.era,
            rules: catalog.version(),
            targets: catalog.newest(),
            kept_out: catalog.kept_out(),
        }
    }

    /// Age of the knowledge of a topic in milliseconds, for the log.
    pub(super) fn known_ms(&self, topic: Topic) -> Option<u64> {
        let age = self.freshness.lock().age(topic, Instant::now());
        age.map(|age| age.as_millis() as u64)
    }

    /// Reads the platform while elected, or once what is known is stale.
    pub(crate) async fn watch_platform(self: Arc<Self>, sources: Sources, topic: Topic) {
        self.wait_for_peers().await;
        let mut cursor: Option<Cursor> = None;
        let mut pause = BACKOFF_MIN;
        let mut is_cut = false;
        let mut is_gone = false;
        loop {
            let Some(duty) = self.duty(topic) else {
                self.set_reading(topic, false);
                sleep(ELECTION_PERIOD).await;
                continue;
            };
            cursor = cursor.filter(|c| c.era == self.platform.era());
            cursor = match (duty, topic) {
                // A watch from long ago returns each version since, a list the newest alone.
                (Duty::Stale, Topic::Rules) => None,
                (Duty::Stale, Topic::Targets) if !is_gone => cursor.or_else(|| self.known_cursor()),
                _ => cursor,
            };
            let wait = match duty {
                Duty::Elected(rank) if !is_cut => self.watch_wait(topic, rank),
                _ => Duration::ZERO,
            };
            let from = cursor.map(|c| c.rev);
            let sent = Instant::now();
            let read = match topic {
                Topic::Rules => self.read_rules(sources, from, wait).await,
                Topic::Targets => self.read_targets(sources, from, wait).await,
            };
            let was_cut = std::mem::replace(&mut is_cut, false);
            let took = sent.elapsed();
            let is_late = took > wait + LATE_RESPONSE;
            if is_late {
                info!(self.decisions.log, "platform: late response"; "for" => topic.name(),
                    "wait_ms" => wait.as_millis() as u64, "took_ms" => took.as_millis() as u64,
                    "read" => read.is_ok());
            }
            match read {
                Ok(Read {
                    rev,
                    as_of,
                    changes,
                }) => {
                    self.freshness.lock().record_read(topic, as_of);
                    is_gone = false;
                    self.recover(topic, &mut pause);
                    let era = self.platform.era();
                    cursor = Some(Cursor { era, rev });
                    if is_late && topic == Topic::Rules && changes > 1 {
                        // The versions since then would come whole as well, and later still.
                        cursor = None;
                    }
                    if !was_cut {
                        sleep(topic.pause()).await;
                    }
                }
                Err(Error::Gone) => {
                    cursor = None;
                    is_gone = true;
                }
                // A watch that is cut off says nothing about the platform: the changes since are read
                // at once over another connection.
                Err(Error::Unknown(e)) if cursor.is_some() && !was_cut => {
                    info!(self.decisions.log, "platform: watch cut off";
                        "for" => topic.name(), "error" => e);
                    metrics::counter!("endivefork_watches_cut_total").increment(1);
                    is_cut = true;
                }
                Err(e) => {
                    cursor = cursor.filter(|_| topic == Topic::Targets);
                    self.back_off(topic, &e, &mut pause).await;
                }
            }
        }
    }

    /// Waits until the fleet is known to be large, in which case other instances may read for this
    /// one, or a timeout has passed. A request that waits for the rules ends it, as its caller may be
    /// lost by then.
    pub(crate) async fn wait_for_peers(&self) {
        let max_wait = match self.settings.first_start {
            _ if self.peers.has_no_seeds() => Duration::ZERO,
            true => BOOTSTRAP_TIMEOUT,
            false => DISCOVERY_TIMEOUT,
        };
        let deadline = Instant::now() + max_wait;
        while Instant::now() < deadline
            && self.waiting_room.is_empty()
            && !(self.peers.is_tiered() && self.has_reached_candidates())
        {
            sleep(DISCOVERY_PERIOD).await;
        }
    }

    /// Watches a kind. What others should have told is read beside the watch once it is stale.
    async fn watch(
        &self,
        topic: Topic,
        kind: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Watched, Error> {
        let stale = async {
            match wait.is_zero() {
                true => pending().await,
                false => self.grown_stale(topic).await,
            }
        };
        // The rules are one object, of which each version is complete.
        let catch_up = match topic {
            Topic::Rules => CatchUp::Objects,
            Topic::Targets => CatchUp::Changes,
        };
        let client = self.reads_through(wait);
        let watch = client.watch_doubted(stale, catch_up, kind, from, wait);
        let watched = watch.await?;
        if let Some(at) = watched.outage {
            self.catalog.lock().record_outage(at);
        }
        Ok(watched)
    }

    /// Client for a watch. One that does not wait reads what another one should have told, whose
    /// connection may be silent.
    fn reads_through(&self, wait: Duration) -> platform::Client {
        match wait.is_zero() {
            true => self.platform.with_new_connections(),
            false if self.is_alone_in_domain() => {
                let timeout = self.age_limits.response_timeout_alone();
                self.platform.with_timeout(timeout)
            }
            false => self.platform.clone(),
        }
    }

    /// Wait of a reader's watch that begins now.
    fn watch_wait(&self, topic: Topic, rank: usize) -> Duration {
        let limits = &self.age_limits;
        if self.is_alone_in_domain() {
            return limits.wait_alone(topic, self.age());
        }
        let stale_age = self.stale_age();
        let now = Instant::now();
        let freshness = self.freshness.lock();
        let others = freshness.others_age(topic, now);
        let wait = limits
            .watch_wait(others, rank > 0)
            .saturating_sub(topic.pause());
        // What a watch that found changes shows is as of its start. The next one of the first reader
        // ends before that is stale at others.
        let is_late = freshness
            .read_age(topic, now)
            .is_some_and(|age| age > limits.period / 4);
        let known = freshness.age(topic, now).filter(|_| is_late && rank == 0);
        let left = known.map(|age| stale_age.saturating_sub(limits.spread + age));
        let millis = left.map_or(wait, |left| wait.min(left)).as_millis();
        Duration::from_millis(millis as u64)
    }

    /// Waits until the knowledge of a topic is stale.
    async fn grown_stale(&self, topic: Topic) {
        while !self.is_stale(topic) {
            sleep(ELECTION_PERIOD).await;
        }
    }

    /// Where to continue from the targets that peers have told.
    fn known_cursor(&self) -> Option<Cursor> {
        let catalog = self.catalog.lock();
        let era = self.platform.era();
        let known = catalog.as_of.filter(|_| catalog.era == era);
        known.map(|rev| Cursor { era, rev })
    }

    /// Logs when the knowledge of a topic becomes stale, and when it no longer is.
    pub(crate) fn report_staleness(&self) {
        for topic in [Topic::Rules, Topic::Targets] {
            let is_stale = self.is_stale(topic);
            let was_stale = self.stale_topics.lock().replace(topic, is_stale);
            let log = &self.decisions.log;
            let age = self.known_ms(topic);
            match (was_stale, is_stale) {
                (false, true) => info!(log, "platform: knowledge is stale"; "for" => topic.name(),
                    "known_ms" => age, "duty" => ?self.duty(topic)),
                (true, false) => {
                    info!(log, "platform: knowledge is current"; "for" => topic.name(),
                    "known_ms" => age);
                }
                _ => {}
            }
        }
    }

    fn set_reading(&self, topic: Topic, reads: bool) {
        self.reader_role.lock().replace(topic, reads);
    }

    async fn read_rules(
        self: &Arc<Self>,
        sources: Sources,
        cursor: Option<u64>,
        wait: Duration,
    ) -> Result<Read, Error> {
        let (kind, name) = sources.rules;
        let Some(from) = cursor else {
            let as_of = Instant::now();
            let list = self.list_kind(kind).await?;
            let matching = list.items.iter().filter(|o| o.name == name);
            self.take_rules(sources, matching.map(|o| (o.rev, &o.value)));
            return Ok(Read {
                rev: list.rev,
                as_of,
                changes: 0,
            });
        };
        let Watched { changes, as_of, .. } = self.watch(Topic::Rules, kind, from, wait).await?;
        let matching = changes.events.iter().filter(|e| e.name == name);
        let values = matching.filter_map(|e| Some((e.rev, e.value.as_ref()?)));
        self.take_rules(sources, values);
        Ok(Read {
            rev: changes.rev,
            as_of,
            changes: changes.events.len(),
        })
    }

    /// Applies the newest of these versions that can be read, as each is complete. A reader forwards it.
    fn take_rules<'a>(
        self: &Arc<Self>,
        sources: Sources,
        versions: impl DoubleEndedIterator<Item = (u64, &'a Value)>,
    ) {
        let mut newest_first = versions.rev();
        let applied = newest_first
            .find_map(|(rev, value)| Some((self.apply_rules(sources, rev, value)?, value)));
        // At the start the others read for themselves.
        let forwards = self.ready_at().is_some() && self.is_elected_reader();
        if let Some((true, value)) = applied.filter(|_| forwards) {
            self.forward(PlatformUpdate::Rules(value.to_string()));
        }
    }

    /// Applies rules read from the platform. Returns whether they are newer than those in force; `None`
    /// when they can't be parsed, in which case the previous ones stay in force.
    fn apply_rules(&self, sources: Sources, rev: u64, value: &Value) -> Option<bool> {
        match (sources.read_rules)(value) {
            Ok(rules) => Some(self.put_rules(rules, value, Origin::Store)),
            Err(e) => {
                let (kind, name) = sources.rules;
                self.report_entry((kind, name, rev), value, &e);
                None
            }
        }
    }

    /// Reports an entry that could not be parsed. One without a value was reported when it was read.
    pub(super) fn report_entry(
        &self,
        (kind, name, rev): (&str, &str, u64),
        value: &Value,
        error: &str,
    ) {
        if !value.is_null() {
            self.platform.report(kind, name, rev, error);
        }
    }

    /// Puts rules in force unless the same or newer ones are.
    pub(crate) fn put_rules(&self, rules: Rules, value: &Value, origin: Origin<'_>) -> bool {
        let received = Instant::now();
        let version = rules.version;
        let routes = rules.routes().count();
        let ignored = rules.ignored.len();
        let first = rules.ignored.first().cloned().unwrap_or_default();
        let before = self.catalog.lock().version();
        let is_newer = self.catalog.lock().apply_rules(rules);
        if is_newer {
            *self.rules_text.lock() = Some(value.to_string().into());
            self.refresh_rules();
            info!(self.decisions.log, "rules: in force";
                "version" => version, "before" => before, "routes" => routes,
                "by" => origin.way(), "from" => origin.sender(),
                "known_ms" => self.known_ms(Topic::Rules),
                "apply_ms" => received.elapsed().as_millis() as u64);
        }
        if is_newer && ignored > 0 {
            warn!(self.decisions.log, "rules: values ignored";
                "version" => version, "count" => ignored, "first" => first);
        }
        is_newer
    }

    async fn read_targets(
        self: &Arc<Self>,
        sources: Sources,
        cursor: Option<u64>,
        wait: Duration,
    ) -> Result<Read, Error> {
        let kind = sources.targets;
        // Peers may have forwarded changes later than the last watch.
        let cursor = cursor.and_then(|from| self.catalog.lock().as_of.max(Some(from)));
        let Some(from) = cursor else {
            let as_of = Instant::now();
            let list = self.list_kind(kind).await?;
            let read = |o: &platform::Object| {
                let info = self.parse_target(sources, &o.name, o.rev, &o.value)?;
                Some(Registration { rev: o.rev, info })
            };
            let registrations = list.items.iter().filter_map(read).collect();
            self.apply_list(list.rev, registrations);
            self.confirm_removals(sources);
            return Ok(Read {
                rev: list.rev,
                as_of,
                changes: 0,
            });
        };
        let watched = self.watch(Topic::Targets, kind, from, wait).await?;
        let Watched { changes, as_of, .. } = watched;
        let to_change = |e: &platform::Event| Change {
            name: e.name.clone(),
            rev: e.rev,
            info: self.parse_change(sources, e),
        };
        let list: Vec<_> = changes.events.iter().map(to_change).collect();
        let since = self.catalog.lock().newest().unwrap_or_default();
        let outage = self.catalog.lock().last_outage();
        self.apply_changes(changes.rev, &list, outage);
        // Of the others, as many may read at once as are in the failure domain.
        if !list.is_empty() && self.is_elected_reader() {
            self.forward_targets(since, changes.rev, list, outage);
        }
        self.confirm_removals(sources);
        Ok(Read {
            rev: changes.rev,
            as_of,
            changes: changes.events.len(),
        })
    }

    /// Applies a list that was just read.
    fn apply_list(self: &Arc<Self>, as_of: u64, list: Vec<Registration>) {
        let mut catalog = self.catalog.lock();
        let era = self.platform.era();
        let is_later = is_restored(catalog.era, era);
        if self.enter_era(&mut catalog, era, as_of, "platform") {
            catalog.apply_list(as_of, list, Instant::now());
        }
        let newest = catalog.newest().unwrap_or_default();
        let outage = catalog.last_outage();
        drop(catalog);
        self.refresh_targets();
        // Makes the followers fetch the targets of the new era at once.
        if is_later {
            self.forward_targets(newest, as_of, Vec::new(), outage);
        }
    }

    /// Forwards changes; `outage` is the last failed read of the instance that read them.
    pub(crate) fn forward_targets(
        self: &Arc<Self>,
        since: u64,
        as_of: u64,
        changes: Vec<Change>,
        outage: Option<Instant>,
    ) {
        let era = self.catalog.lock().era;
        self.forward(PlatformUpdate::Targets {
            era,
            since,
            as_of,
            changes,
            outage: outage.map(|at| at.elapsed()),
        });
    }

    pub(crate) fn apply_changes(&self, as_of: u64, changes: &[Change], outage: Option<Instant>) {
        let now = Instant::now();
        let mut catalog = self.catalog.lock();
        catalog.apply_changes(as_of, changes, outage, now);
        drop(catalog);
        if !changes.is_empty() {
            self.refresh_targets();
        }
    }

    fn parse_change(&self, sources: Sources, event: &platform::Event) -> Option<TargetInfo> {
        let Some(value) = &event.value else {
            info!(self.decisions.log, "target: registration removed";
                "target" => event.name.as_str(), "rev" => event.rev);
            return None;
        };
        self.parse_target(sources, &event.name, event.rev, value)
    }

    /// Parses one registration; `None` when it is malformed.
    fn parse_target(
        &self,
        sources: Sources,
        name: &SmolStr,
        rev: u64,
        value: &Value,
    ) -> Option<TargetInfo> {
        match (sources.read_target)(name, value) {
            Ok(info) => {
                info!(self.decisions.log, "target: registered";
                    "target" => name.as_str(), "rev" => rev, "service" => info.service.as_str(),
                    "leaving" => info.leaving);
                Some(info)
            }
            Err(e) => {
                self.report_entry((sources.targets, name, rev), value, &e);
                None
            }
        }
    }

    fn recover(&self, topic: Topic, pause: &mut Duration) {
        if *pause != BACKOFF_MIN {
            info!(self.decisions.log, "platform: regained"; "for" => topic.name());
        }
        *pause = BACKOFF_MIN;
        self.set_reading(topic, true);
    }

    async fn back_off(&self, topic: Topic, error: &Error, pause: &mut Duration) {
        if *pause == BACKOFF_MIN {
            warn!(self.decisions.log, "platform: lost"; "for" => topic.name(), "error" => %error);
        }
        self.set_reading(topic, false);
        self.catalog.lock().record_outage(Instant::now());
        sleep(error.wait().unwrap_or(*pause).min(BACKOFF_MAX)).await;
        *pause = (*pause * 2).min(BACKOFF_MAX);
    }
}
