//! Journals of other instances' generations, kept for the case that their owner is lost.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::ident::RequestKey;
use crate::target::engine::Reason;

/// Number of shards, each under its own lock.
const SHARDS: usize = 16;

/// How long an ended generation's journal is kept for a caller that returns.
const KEEP_ENDED: Duration = Duration::from_secs(60);

/// How long a journal is kept after its owner was last heard.
const KEEP_RUNNING: Duration = Duration::from_secs(300);

/// Most tokens that one shard holds.
const SHARD_TOKENS: usize = 1 << 19;

/// Where an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Number of the attempt.
    pub number: u32,
    /// Name of the attempt at the engine.
    pub attempt: SmolStr,
    /// Name of the target.
    pub target: SmolStr,
    /// Address of the target.
    pub addr: SocketAddr,
}

/// What is needed to go on with a generation, together with its request's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Names the request.
    pub key: RequestKey,
    /// Higher after each takeover.
    pub epoch: u64,
    /// Digest of the request's body.
    pub body: u128,
    /// Version that it stays on.
    pub version: SmolStr,
    /// Model.
    pub model: SmolStr,
    /// Where its newest attempt runs.
    pub place: Option<Place>,
    /// All tokens.
    pub tokens: Vec<SmolStr>,
    /// Why it ended, if it is whole.
    pub whole: Option<Reason>,
}

/// A change of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The whole journal.
    Snapshot(Journal),
    /// A new attempt.
    Place(Place),
    /// Tokens from an index on.
    Tokens(u64, Vec<SmolStr>),
    /// It is whole.
    Whole(Reason),
    /// It was given up.
    Failed,
}

/// A change with what it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub key: RequestKey,
    /// Epoch of the owner that writes.
    pub epoch: u64,
    /// The change.
    pub change: Change,
}

/// Answer to a batch of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Requests that have an owner of a higher epoch.
    pub stale: Vec<RequestKey>,
    /// Requests whose journal is missing or has a hole here.
    pub missing: Vec<RequestKey>,
}

#[derive(Debug)]
struct Kept {
    journal: Journal,
    heard: Instant,
}

type Shard = Mutex<IndexMap<RequestKey, Kept>>;

/// Journals kept for others.
#[derive(Debug, Default)]
pub struct Journals {
    shards: [Shard; SHARDS],
}

impl Journals {
    /// Applies a batch.
    pub fn write(&self, entries: Vec<Entry>, now: Instant) -> Ack {
        let mut ack = Ack::default();
        for entry in entries {
            let key = entry.key;
            let mut shard = self.shard(key).lock();
            match apply(&mut shard, entry, now) {
                Applied::Done => {}
                Applied::Stale => ack.stale.push(key),
                Applied::Missing => ack.missing.push(key),
            }
        }
        ack
    }

    /// The journal of a request.
    #[must_use]
    pub fn get(&self, key: RequestKey) -> Option<Journal> {
        let shard = self.shard(key).lock();
        shard.get(&key).map(|kept| kept.journal.clone())
    }

    /// Drops what is old, and the least recently written beyond the bound.
    pub fn sweep(&self, now: Instant) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.retain(|_, kept| !expired(kept, now));
            let mut tokens: usize = shard.values().map(|k| k.journal.tokens.len()).sum();
            if tokens > SHARD_TOKENS {
                shard.sort_by(|_, a, _, b| b.heard.cmp(&a.heard));
            }
            while tokens > SHARD_TOKENS {
                let Some((_, kept)) = shard.pop() else { break };
                tokens -= kept.journal.tokens.len();
            }
        }
    }

    /// Number of journals kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, key: RequestKey) -> &Shard {
        &self.shards[key.0 as usize % SHARDS]
    }
}

enum Applied {
    Done,
    Stale,
    Missing,
}

fn apply(shard: &mut IndexMap<RequestKey, Kept>, entry: Entry, now: Instant) -> Applied {
    let kept = shard.get_mut(&entry.key);
    match (entry.change, kept) {
        (_, Some(kept)) if kept.journal.epoch > entry.epoch => Applied::Stale,
        (Change::Snapshot(journal), _) => {
            let heard = now;
            shard.insert(entry.key, Kept { journal, heard });
            Applied::Done
        }
        (Change::Failed, _) => {
            shard.swap_remove(&entry.key);
            Applied::Done
        }
        (_, None) => Applied::Missing,
        (_, Some(kept)) if kept.journal.epoch < entry.epoch => Applied::Missing,
        (change, Some(kept)) => {
            kept.heard = now;
            extend(&mut kept.journal, change)
        }
    }
}

fn extend(journal: &mut Journal, change: Change) -> Applied {
    match change {
        Change::Place(place) => journal.place = Some(place),
        Change::Whole(reason) => journal.whole = Some(reason),
        Change::Tokens(from, texts) => {
            let known = journal.tokens.len() as u64;
            if from > known {
                return Applied::Missing;
            }
            let skip = (known - from) as usize;
            journal.tokens.extend(texts.into_iter().skip(skip));
        }
        Change::Snapshot(_) | Change::Failed => {}
    }
    Applied::Done
}

fn expired(kept: &Kept, now: Instant) -> bool {
    let limit = match kept.journal.whole {
        Some(_) => KEEP_ENDED,
        None => KEEP_RUNNING,
    };
    now.saturating_duration_since(kept.heard) > limit
}
