//! Recent events as seen by this instance: configuration changes and operators' actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::extract::{Query, State};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use super::Shared;
use crate::config::{Store, View};
use crate::rollout::{Move, Phase};

/// Maximum number of retained events.
const MAX_EVENTS: usize = 1024;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number since this instance started, from 1.
    pub seq: u64,
    /// Unix milliseconds.
    pub at_ms: u64,
    /// Object kind or component.
    pub kind: SmolStr,
    /// Object name.
    pub name: SmolStr,
    /// Platform revision, or 0.
    pub rev: u64,
    /// One sentence.
    pub text: SmolStr,
}

#[derive(Debug, Default)]
struct Ring {
    last: u64,
    events: VecDeque<Event>,
}

/// Ring buffer of recent events, shared by all clones.
#[derive(Clone, Debug, Default)]
pub struct Events {
    ring: Arc<Mutex<Ring>>,
}

impl Events {
    /// An empty buffer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an event and drops the oldest one when the buffer is full.
    pub fn add(&self, kind: &str, name: &str, rev: u64, text: impl Into<SmolStr>) {
        let mut ring = self.ring.lock();
        ring.last += 1;
        let event = Event {
            seq: ring.last,
            at_ms: unix_ms(),
            kind: kind.into(),
            name: name.into(),
            rev,
            text: text.into(),
        };
        if ring.events.len() == MAX_EVENTS {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// The events with a sequence number above `seq`, oldest first.
    #[must_use]
    pub fn after(&self, seq: u64) -> Vec<Event> {
        let ring = self.ring.lock();
        let newer = ring.events.iter().filter(|event| event.seq > seq);
        newer.cloned().collect()
    }
}

/// Adds an event for every change of a service or move in the configuration in force. Accounts are
/// not included: there are too many to compare at each change.
pub async fn follow(store: Arc<Store>, events: Events) {
    let mut changes = store.subscribe();
    let mut old = store.view();
    while changes.changed().await.is_ok() {
        let new = changes.borrow_and_update().clone();
        for (kind, name, rev, text) in differences(&old, &new) {
            events.add(kind, &name, rev, text);
        }
        old = new;
    }
}

type Difference = (&'static str, SmolStr, u64, SmolStr);

fn differences(old: &View, new: &View) -> Vec<Difference> {
    let mut found = Vec::new();
    for (name, held) in &new.services {
        if old.services.get(name).map(|old| old.rev) != Some(held.rev) {
            let text = format_smolstr!("in force, version {}", held.value.version);
            found.push(("service", name.clone(), held.rev, text));
        }
    }
    for name in old
        .services
        .keys()
        .filter(|name| !new.services.contains_key(*name))
    {
        found.push(("service", name.clone(), new.rev, "deleted".into()));
    }
    for (name, held) in &new.moves {
        if old.moves.get(name).map(|old| old.rev) != Some(held.rev) {
            found.push(("move", name.clone(), held.rev, describe_move(&held.value)));
        }
    }
    found
}

fn describe_move(value: &Move) -> SmolStr {
    let Move {
        from, to, reason, ..
    } = value;
    match value.phase {
        Phase::Done => format_smolstr!("done: {from} to {to}, {reason}"),
        Phase::Withdrawn => format_smolstr!("withdrawn: {from} to {to}, {reason}"),
        Phase::Advancing | Phase::Watching => {
            let percent = value.share() * 100.0;
            format_smolstr!("{from} to {to} at {percent:.0}%: {reason}")
        }
    }
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct EventQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct EventPage {
    instance: SmolStr,
    items: Vec<Event>,
}

pub(crate) async fn list(
    State(context): Shared,
    Query(query): Query<EventQuery>,
) -> Json<EventPage> {
    Json(EventPage {
        instance: context.instance.name.clone(),
        items: context.events.after(query.after),
    })
}

pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
