//! What happened lately, as this instance saw it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::extract::{Query, State};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Shared;

/// Events kept.
const KEPT: usize = 1024;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number within this instance's life, from 1.
    pub seq: u64,
    /// Unix milliseconds.
    pub at_ms: u64,
    /// Object kind or part.
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

/// The latest events; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Events {
    ring: Arc<Mutex<Ring>>,
}

impl Events {
    /// No events yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an event; the oldest makes room.
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
        if ring.events.len() == KEPT {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// The events after number `seq`, oldest first.
    #[must_use]
    pub fn after(&self, seq: u64) -> Vec<Event> {
        let ring = self.ring.lock();
        let later = ring.events.iter().filter(|event| event.seq > seq);
        later.cloned().collect()
    }
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct After {
    #[serde(default)]
    after: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct Page {
    instance: SmolStr,
    items: Vec<Event>,
}

pub(crate) async fn list(State(parts): Shared, Query(query): Query<After>) -> Json<Page> {
    Json(Page {
        instance: parts.instance.name.clone(),
        items: parts.events.after(query.after),
    })
}

pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
