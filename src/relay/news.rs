//! What instances that read the platform pass on to the others, and what those ask for that missed
//! some of it.

use std::future::ready;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use smol_str::SmolStr;

use super::catalog::{Change, Registration};
use super::follow::{Held, Sources};
use super::relay::Relay;
use crate::peer::{Tag, encode};

/// Longest wait for a peer's answer.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// What one instance passes on to another that lacks it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Copy {
    /// JSON text of the rules, if the asking instance's are older.
    rules: Option<String>,
    /// Registrations, if the asking instance's are older.
    targets: Option<Targets>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Targets {
    /// Platform revision that they are as of, and that of the newest of them.
    revs: (u64, u64),
    list: Vec<Registration>,
    away: Option<Duration>,
}

/// What an instance on duty has read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum News {
    /// JSON text of the rules.
    Rules(String),
    /// Changes of targets.
    Targets {
        /// Revision of the newest change before these.
        since: u64,
        /// Platform revision after these.
        as_of: u64,
        changes: Vec<Change>,
        /// Time since the platform was away.
        away: Option<Duration>,
    },
}

impl Relay {
    /// Tells the instances that do not read the platform.
    pub(crate) fn pass_on(self: &Arc<Self>, news: News) {
        let listeners = self.listeners();
        if listeners.is_empty() {
            return;
        }
        let me = Arc::clone(self);
        let body = encode(&news);
        tokio::spawn(async move {
            join_all(listeners.iter().map(|name| me.tell(name, body.clone()))).await;
        });
    }

    async fn tell(&self, name: &SmolStr, news: Bytes) {
        let told = self.peers.send(name, Tag::News, news, ASK_LIMIT);
        if let Err(e) = told.await {
            info!(self.record.log, "platform: could not tell a peer";
                "peer" => name.as_str(), "error" => %e);
        }
    }

    /// Takes what instances on duty pass on, and answers those that lack something.
    pub(crate) fn hear_news(self: &Arc<Self>, sources: Sources) {
        let me = Arc::clone(self);
        self.peers.on(Tag::News, move |from, news: News| {
            me.take_news(sources, &from, news);
            ready(())
        });
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Config, move |_, held: Held| ready(me.copy_for(held)));
    }

    fn take_news(self: &Arc<Self>, sources: Sources, from: &SmolStr, news: News) {
        match news {
            News::Rules(text) => self.take_rules_text(sources, &text, from),
            News::Targets {
                since,
                as_of,
                changes,
                away,
            } => {
                self.note_away(away);
                let missed = self.catalog.lock().newest() < Some(since);
                match missed {
                    true => {
                        let (me, from) = (Arc::clone(self), from.clone());
                        tokio::spawn(async move { me.take_copy(sources, &from).await });
                    }
                    false => self.take_changes(as_of, &changes),
                }
            }
        }
    }

    fn take_rules_text(&self, sources: Sources, text: &str, from: &str) {
        match serde_json::from_str(text) {
            Ok(value) => {
                self.take_rules(sources, &value, from);
            }
            Err(e) => warn!(self.record.log, "rules: could not read a peer's";
                "peer" => from, "error" => %e),
        }
    }

    fn note_away(&self, away: Option<Duration>) {
        let at = away.and_then(|away| Instant::now().checked_sub(away));
        if let Some(at) = at {
            self.catalog.lock().platform_away(at);
        }
    }

    /// Answers a peer that lacks something.
    fn copy_for(&self, held: Held) -> Copy {
        let text = self.rules_text.lock().clone();
        let catalog = self.catalog.lock();
        let rules = (catalog.version() > held.rules).then_some(text).flatten();
        let newer = catalog.newest() > held.targets;
        let revs = catalog.as_of.zip(catalog.newest()).filter(|_| newer);
        Copy {
            rules: rules.map(|text| text.to_string()),
            targets: revs.map(|revs| Targets {
                revs,
                list: catalog.registrations(),
                away: catalog.last_away().map(|at| at.elapsed()),
            }),
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
        if let Some(text) = copy.rules {
            self.take_rules_text(sources, &text, name);
        }
        if let Some(targets) = copy.targets {
            self.note_away(targets.away);
            let now = Instant::now();
            self.catalog
                .lock()
                .take_copy(targets.revs, targets.list, now);
            self.refresh_targets();
        }
    }
}
