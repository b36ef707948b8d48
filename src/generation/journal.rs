//! In-memory store of other instances' generation journals.
//!
//! Every instance keeps replicas for its peers, so that a generation can resume here when its owner
//! is lost. Writes arrive in batches from the owners; a claim of a returning caller reads them.

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

/// Retention of an ended generation's journal, for callers that reconnect.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Retention of a running generation's journal after its owner's last write.
const RUNNING_RETENTION: Duration = Duration::from_secs(300);

/// Maximum tokens per shard.
const MAX_SHARD_TOKENS: usize = 1 << 19;

/// The target that runs an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptLocation {
    /// Number of the attempt.
    pub number: u32,
    /// Name of the attempt at the engine.
    pub attempt: SmolStr,
    /// Name of the target.
    pub target: SmolStr,
    /// Address of the target.
    pub addr: SocketAddr,
}

/// State that another instance needs to resume a generation, besides the request's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Key of the request.
    pub key: RequestKey,
    /// Owner's epoch; each takeover raises it.
    pub epoch: u64,
    /// Digest of the request's body.
    pub body: u128,
    /// Version to which the generation is pinned.
    pub version: SmolStr,
    /// Model.
    pub model: SmolStr,
    /// Target of the newest attempt.
    pub location: Option<AttemptLocation>,
    /// All tokens so far.
    pub tokens: Vec<SmolStr>,
    /// Finish reason of a complete generation.
    pub finish_reason: Option<Reason>,
}

/// A change of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The full journal.
    Snapshot(Journal),
    /// A new attempt.
    Attempt(AttemptLocation),
    /// Tokens that begin at an index.
    Tokens(u64, Vec<SmolStr>),
    /// The generation is complete.
    Complete(Reason),
    /// The generation failed; its journal is dropped.
    Failed,
}

/// A change with the request and the epoch that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub key: RequestKey,
    /// Epoch of the writing owner.
    pub epoch: u64,
    /// The change to apply.
    pub change: Change,
}

/// Answer to a batch of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Requests that an owner of a higher epoch has taken over.
    pub stale: Vec<RequestKey>,
    /// Requests whose journal is missing here or lacks tokens before the written ones.
    pub missing: Vec<RequestKey>,
}

#[derive(Debug)]
struct Replica {
    journal: Journal,
    written: Instant,
}

type Shard = Mutex<IndexMap<RequestKey, Replica>>;

/// Journal replicas of other instances' generations.
#[derive(Debug, Default)]
pub struct Journals {
    shards: [Shard; SHARDS],
}

impl Journals {
    /// Applies a batch of changes.
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

    /// Returns the journal of a request.
    #[must_use]
    pub fn get(&self, key: RequestKey) -> Option<Journal> {
        let shard = self.shard(key).lock();
        shard.get(&key).map(|replica| replica.journal.clone())
    }

    /// Drops expired journals, and the least recently written ones above [`MAX_SHARD_TOKENS`].
    pub fn sweep(&self, now: Instant) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.retain(|_, replica| !expired(replica, now));
            let mut tokens: usize = shard.values().map(|k| k.journal.tokens.len()).sum();
            if tokens > MAX_SHARD_TOKENS {
                shard.sort_by(|_, a, _, b| b.written.cmp(&a.written));
            }
            while tokens > MAX_SHARD_TOKENS {
                let Some((_, last)) = shard.pop() else { break };
                tokens -= last.journal.tokens.len();
            }
        }
    }

    /// Number of stored journals.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    /// Whether no journal is stored.
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

fn apply(shard: &mut IndexMap<RequestKey, Replica>, entry: Entry, now: Instant) -> Applied {
    let replica = shard.get_mut(&entry.key);
    match (entry.change, replica) {
        (_, Some(replica)) if replica.journal.epoch > entry.epoch => Applied::Stale,
        (Change::Snapshot(journal), _) => {
            let written = now;
            shard.insert(entry.key, Replica { journal, written });
            Applied::Done
        }
        (Change::Failed, _) => {
            shard.swap_remove(&entry.key);
            Applied::Done
        }
        (_, None) => Applied::Missing,
        (_, Some(replica)) if replica.journal.epoch < entry.epoch => Applied::Missing,
        (change, Some(replica)) => {
            replica.written = now;
            extend(&mut replica.journal, change)
        }
    }
}

fn extend(journal: &mut Journal, change: Change) -> Applied {
    match change {
        Change::Attempt(location) => journal.location = Some(location),
        Change::Complete(reason) => journal.finish_reason = Some(reason),
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

fn expired(replica: &Replica, now: Instant) -> bool {
    let limit = match replica.journal.finish_reason {
        Some(_) => ENDED_RETENTION,
        None => RUNNING_RETENTION,
    };
    now.saturating_duration_since(replica.written) > limit
}
