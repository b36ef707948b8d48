//! Tasks that keep the instance's picture of the fleet and the configuration.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use slog::{debug, info, warn};
use smol_str::SmolStr;
use tokio::time::{MissedTickBehavior, interval};

use super::Instance;
use crate::config::{Entry, Feed, Message, Reply};
use crate::peer::Tag;
use crate::platform::{self, InstanceList};

/// Pause after a failed call of the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait of a watch. A watch whose connection has gone silent costs this and a timeout.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Time between two looks at whether this instance must read by itself.
const IDLE_PAUSE: Duration = Duration::from_millis(250);

/// Time between two comparisons with peers.
const COMPARE_PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for a peer's answer.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Bytes of values in one answer; the rest is asked for again.
const REPLY_BYTES: usize = 2 << 20;

impl Instance {
    pub(super) async fn follow_fleet(self: Arc<Self>) {
        loop {
            match self.platform.instances().await {
                Ok(list) => self.take_list(list),
                Err(e) => {
                    debug!(self.log, "fleet: could not read the instance list"; "error" => %e);
                    if !self.listed.load(Ordering::Acquire) {
                        self.ask_list().await;
                    }
                }
            }
            tokio::time::sleep(self.settings.platform.poll).await;
        }
    }

    /// Takes over the instance list unless a newer one is known.
    fn take_list(&self, list: InstanceList) {
        let mut listing = self.listing.lock();
        if listing.as_ref().is_some_and(|held| held.rev > list.rev) {
            return;
        }
        self.fleet.sync(&list.items, Instant::now());
        self.router.sync(self.fleet.roster().targets.clone());
        self.list_peers();
        *listing = Some(list);
        self.listed.store(true, Ordering::Release);
    }

    /// Takes the instance list from a peer, while the platform has not given one.
    async fn ask_list(&self) {
        let replies = self
            .peers
            .ask_all::<_, Reply>(Tag::Config, &Message::List, ASK_LIMIT)
            .await;
        let lists = replies.into_iter().filter_map(|(_, r)| r.list);
        let lists = lists.filter_map(|text| serde_json::from_str::<InstanceList>(&text).ok());
        if let Some(list) = lists.max_by_key(|list| list.rev) {
            info!(self.log, "fleet: took the instance list from a peer"; "rev" => list.rev);
            self.take_list(list);
        }
    }

    pub(super) async fn follow_config(self: Arc<Self>, kind: &'static str) {
        let mut rev = None;
        loop {
            if !self.reads_platform() {
                rev = None;
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            }
            match self.follow_kind(kind, rev).await {
                Ok(next) => {
                    self.feed.lock().read(Instant::now());
                    rev = Some(next);
                }
                Err(platform::Error::Gone) => rev = None,
                Err(e) => {
                    warn!(self.log, "config: could not follow the platform"; "kind" => kind, "error" => %e);
                    tokio::time::sleep(e.wait().unwrap_or(RETRY_PAUSE)).await;
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

    /// Reads a listing, or waits for what came after `rev`; returns where to go on.
    async fn follow_kind(
        &self,
        kind: &'static str,
        rev: Option<u64>,
    ) -> Result<u64, platform::Error> {
        let Some(rev) = rev else {
            let list = self.platform.list(kind, "").await?;
            let entries: Vec<_> = list.items.iter().map(entry).collect();
            self.config.apply_listing(kind, list.rev, &entries);
            return Ok(list.rev);
        };
        let changes = self.platform.watch(kind, rev, WATCH_WAIT).await?;
        for event in &changes.events {
            self.config
                .apply(kind, &event.name, event.rev, event.value.as_ref());
        }
        Ok(changes.rev)
    }

    /// Answers peers that tell of or ask for configuration.
    pub(super) fn hear_config(self: &Arc<Self>) {
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
                self.take_entries(&entries);
                self.feed.lock().record_report(from, report, now);
            }
            Message::Pull(held) => reply.entries = first_bytes(self.config.newer_than(&held)),
            Message::List => {
                let listing = self.listing.lock();
                reply.list = listing.as_ref().map(|l| serde_json::json!(l).to_string());
            }
        }
        reply.report = self.feed.lock().report(&self.config, now);
        reply
    }

    fn take_entries(&self, entries: &[Entry]) {
        self.feed.lock().mark_known(entries);
        self.config.apply_all(entries);
    }

    /// Tells all peers at once of what this instance learnt itself.
    pub(super) async fn push_config(self: Arc<Self>) {
        let mut changes = self.config.subscribe();
        while changes.changed().await.is_ok() {
            changes.borrow_and_update();
            let news = {
                let mut feed = self.feed.lock();
                let news = first_bytes(self.config.newer_than(&feed.known()));
                feed.mark_known(&news);
                news
            };
            if news.is_empty() {
                continue;
            }
            let report = self.feed.lock().report(&self.config, Instant::now());
            let (peers, message) = (self.peers.clone(), Message::Push(report, news));
            tokio::spawn(async move {
                peers
                    .ask_all::<_, Reply>(Tag::Config, &message, ASK_LIMIT)
                    .await
            });
        }
    }

    /// Compares with all peers now and then, and asks one that differs for what is lacking.
    pub(super) async fn compare_config(self: Arc<Self>) {
        let mut ticks = interval(COMPARE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let report = self.feed.lock().report(&self.config, Instant::now());
            let replies = self
                .peers
                .ask_all::<_, Reply>(Tag::Config, &Message::Report(report), ASK_LIMIT)
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
            .call::<_, Reply>(name, Tag::Config, &message, ASK_LIMIT)
            .await;
        if let Ok(reply) = reply {
            self.take_entries(&reply.entries);
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

/// As many entries as fit into one message.
fn first_bytes(entries: Vec<Entry>) -> Vec<Entry> {
    let mut room = REPLY_BYTES;
    let fits = |entry: &Entry| {
        let size = entry.value.as_ref().map_or(0, |v| v.len()) + entry.name.len();
        let fits = room > 0;
        room = room.saturating_sub(size);
        fits
    };
    entries.into_iter().take_while(fits).collect()
}
