//! Background tasks that keep the fleet and the configuration up to date, from the platform and
//! from peers.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use slog::{debug, info, warn};
use smol_str::SmolStr;
use tokio::time::{MissedTickBehavior, interval};

use super::Instance;
use crate::config::{Entry, Feed, Message, Reply};
use crate::peer::Tag;
use crate::platform::{self, CatchUp, InstanceList};

/// Delay after a failed call of the platform.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum wait of a watch. One on a dead connection takes this plus a timeout to fail.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Time between checks whether this instance must read the platform itself.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time between comparisons of the configuration with peers.
const COMPARE_PERIOD: Duration = Duration::from_millis(500);

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Size limit of the entries in one message, in bytes. Further ones follow with later messages.
const REPLY_BYTES: usize = 2 << 20;

impl Instance {
    pub(super) async fn follow_fleet(self: Arc<Self>) {
        loop {
            match self.platform.instances().await {
                Ok(list) => self.apply_list(list),
                Err(e) => {
                    debug!(self.log, "fleet: could not read the instance list"; "error" => %e);
                    if !self.listed.load(Ordering::Acquire) {
                        self.request_list().await;
                    }
                }
            }
            tokio::time::sleep(self.settings.platform.poll).await;
        }
    }

    /// Applies the instance list unless a newer one is known.
    fn apply_list(&self, list: InstanceList) {
        let mut listing = self.listing.lock();
        if listing.as_ref().is_some_and(|held| held.rev > list.rev) {
            return;
        }
        self.fleet.sync(&list.items, Instant::now());
        self.router.sync(self.fleet.roster().targets.clone());
        self.list_peers();
        // Measured without these targets, the capacity would refuse requests until the next time.
        self.measure_capacity();
        *listing = Some(list);
        self.listed.store(true, Ordering::Release);
    }

    /// Requests the instance list from peers, until the platform has provided one.
    async fn request_list(&self) {
        let replies = self
            .peers
            .call_all::<_, Reply>(Tag::Config, &Message::List, CALL_TIMEOUT)
            .await;
        let lists = replies.into_iter().filter_map(|(_, r)| r.list);
        let lists = lists.filter_map(|text| InstanceList::read(text.as_bytes()).ok());
        if let Some((list, _)) = lists.max_by_key(|(list, _)| list.rev) {
            info!(self.log, "fleet: received the instance list from a peer"; "rev" => list.rev);
            self.apply_list(list);
        }
    }

    pub(super) async fn follow_config(self: Arc<Self>, kind: &'static str) {
        let mut rev = None;
        loop {
            if !self.reads_platform() {
                rev = None;
                tokio::time::sleep(READER_CHECK_PERIOD).await;
                continue;
            }
            match self.follow_kind(kind, rev).await {
                Ok((next, as_of)) => {
                    self.feed.lock().read(as_of);
                    rev = Some(next);
                }
                Err(platform::Error::Gone) => rev = None,
                Err(e) => {
                    warn!(self.log, "config: could not follow the platform"; "kind" => kind, "error" => %e);
                    tokio::time::sleep(e.wait().unwrap_or(RETRY_DELAY)).await;
                }
            }
        }
    }

    fn reads_platform(&self) -> bool {
        let me = &self.settings.instance;
        let alive = self.peers.alive();
        let near = alive.iter().filter(|m| m.domain == me.domain);
        let near = near.map(|m| m.name.as_str());
        Feed::is_watcher(&me.name, &me.domain, near) || self.feed.lock().is_stale(Instant::now())
    }

    /// Reads all objects of a kind, or waits for changes after `rev`. Returns the revision to continue
    /// from, and the moment as of which the platform's state is known.
    async fn follow_kind(
        &self,
        kind: &'static str,
        rev: Option<u64>,
    ) -> Result<(u64, Instant), platform::Error> {
        let Some(rev) = rev else {
            let as_of = Instant::now();
            let list = self.platform.list(kind, "").await?;
            let entries: Vec<_> = list.items.iter().map(entry).collect();
            self.config.apply_listing(kind, list.rev, &entries);
            return Ok((list.rev, as_of));
        };
        let watch = self
            .platform
            .watch_doubted(pending(), CatchUp::Changes, kind, rev, WATCH_WAIT);
        let platform::Watched { changes, as_of, .. } = watch.await?;
        for event in &changes.events {
            self.config
                .apply(kind, &event.name, event.rev, event.value.as_ref());
        }
        Ok((changes.rev, as_of))
    }

    /// Registers the handler of configuration messages.
    pub(super) fn handle_config(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers.on(Tag::Config, move |from, message: Message| {
            std::future::ready(me.answer_config(&from, message))
        });
    }

    fn answer_config(&self, from: &str, message: Message) -> Reply {
        let now = Instant::now();
        let mut reply = Reply::default();
        match message {
            Message::Report(report) => self.feed.lock().record_report(from, report, now),
            Message::Push(report, entries) => {
                self.apply_entries(&entries);
                self.feed.lock().record_report(from, report, now);
            }
            Message::Pull(held) => reply.entries = first_entries(self.config.newer_than(&held)),
            Message::List => {
                let listing = self.listing.lock();
                reply.list = listing.as_ref().map(|l| serde_json::json!(l).to_string());
            }
        }
        reply.report = self.feed.lock().report(&self.config, now);
        reply
    }

    fn apply_entries(&self, entries: &[Entry]) {
        self.feed.lock().mark_known(entries);
        self.config.apply_all(entries);
    }

    /// Sends configuration changes that this instance read from the platform to all peers.
    pub(super) async fn push_config(self: Arc<Self>) {
        let mut changes = self.config.subscribe();
        while changes.changed().await.is_ok() {
            changes.borrow_and_update();
            let entries = {
                let mut feed = self.feed.lock();
                let entries = first_entries(self.config.newer_than(&feed.known()));
                feed.mark_known(&entries);
                entries
            };
            if entries.is_empty() {
                continue;
            }
            let report = self.feed.lock().report(&self.config, Instant::now());
            let (peers, message) = (self.peers.clone(), Message::Push(report, entries));
            tokio::spawn(async move {
                peers
                    .call_all::<_, Reply>(Tag::Config, &message, CALL_TIMEOUT)
                    .await
            });
        }
    }

    /// Periodically compares the configuration with all peers and pulls what is missing from those
    /// that differ.
    pub(super) async fn compare_config(self: Arc<Self>) {
        let mut ticks = interval(COMPARE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let report = self.feed.lock().report(&self.config, Instant::now());
            let replies = self
                .peers
                .call_all::<_, Reply>(Tag::Config, &Message::Report(report), CALL_TIMEOUT)
                .await;
            for (name, reply) in replies {
                self.feed
                    .lock()
                    .record_report(&name, reply.report, Instant::now());
                if reply.report.summary.digest != self.config.summary().digest {
                    self.pull_config(&name).await;
                } else if reply.report.complete {
                    self.config.mark_complete();
                }
            }
        }
    }

    async fn pull_config(&self, name: &SmolStr) {
        let message = Message::Pull(self.config.held());
        let reply = self
            .peers
            .call::<_, Reply>(name, Tag::Config, &message, CALL_TIMEOUT)
            .await;
        if let Ok(reply) = reply {
            self.apply_entries(&reply.entries);
        }
    }
}

fn entry(object: &platform::Object) -> Entry {
    Entry {
        kind: object.kind.clone(),
        name: object.name.clone(),
        rev: object.rev,
        value: Some(object.value.to_string().into()),
    }
}

/// The first entries up to [`REPLY_BYTES`].
fn first_entries(entries: Vec<Entry>) -> Vec<Entry> {
    let mut room = REPLY_BYTES;
    let fits = |entry: &Entry| {
        let size = entry.value.as_ref().map_or(0, |v| v.len()) + entry.name.len();
        let fits = room > 0;
        room = room.saturating_sub(size);
        fits
    };
    entries.into_iter().take_while(fits).collect()
}
