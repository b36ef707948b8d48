//! Takeover of a generation by the instance at which its caller reconnects.
//!
//! Runs before a generation starts here: the instance claims the request's journal from its peers
//! and becomes the owner of what it finds. Also registers the peer messages for journals, claims
//! and crashes.

use std::sync::{Arc, Weak};
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use super::journal::{Entry, Journal, Journals};
use super::replicator::Replicator;
use super::run::GenerationRequest;
use super::table::Shared;
use crate::failure::Failure;
use crate::ident::RequestKey;
use crate::peer::{CallError, Member, Peers, Tag};
use crate::quarantine::Crash;

/// Maximum wait for peers in one round when the caller already has tokens.
const RESUME_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum rounds in which peers that did not answer are asked when the caller already has tokens.
const MAX_RESUME_ROUNDS: u32 = 3;

/// Maximum further wait for peers after the first journal was received.
const STRAGGLER_WAIT: Duration = Duration::from_millis(50);

/// Retry-after time when peers that may have the generation did not answer.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum wait for peers when the request may be new.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum wait for peers to acknowledge a crash report.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Random bits of an epoch, which distinguish instances that take over at the same time.
const EPOCH_RANDOM_BITS: u32 = 16;

/// Message to peers: requests a generation's journal. An instance that runs it stops.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Claim {
    key: RequestKey,
    body: u128,
}

/// Answer to a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ClaimReply {
    Unknown,
    KeyReused,
    Found(Box<Journal>),
}

/// Returns an epoch above `old`, with random bits so that instances that take over at the same time
/// get different epochs.
pub(crate) fn next_epoch(old: u64) -> u64 {
    let random: u16 = rand::random();
    (((old >> EPOCH_RANDOM_BITS) + 1) << EPOCH_RANDOM_BITS) | u64::from(random)
}

/// Refusal of a key that was used with another body.
pub(crate) fn key_reused() -> Failure {
    Failure::not_run(
        422,
        "key_reused",
        "the key was already used for a request with another body",
    )
}

/// Registers the peer messages: writes journals to peers, stores theirs, and answers claims.
pub(crate) fn connect(shared: &Arc<Shared>, peers: &Peers) -> Arc<Replicator> {
    let weak = Arc::downgrade(shared);
    let replicator = Replicator::new(peers.clone(), move |stale| supersede(&weak, &stale));
    let weak = Arc::downgrade(shared);
    peers.on(Tag::Journal, move |_, entries: Vec<Entry>| {
        std::future::ready(match weak.upgrade() {
            Some(shared) => shared.apply_entries(entries),
            None => super::journal::Ack::default(),
        })
    });
    let weak = Arc::downgrade(shared);
    peers.on(Tag::Takeover, move |_, claim: Claim| {
        let shared = weak.upgrade();
        std::future::ready(shared.map_or(ClaimReply::Unknown, |shared| answer(&shared, claim)))
    });
    let weak = Arc::downgrade(shared);
    peers.on(Tag::Suspect, move |_, crash: Crash| {
        if let Some(shared) = weak.upgrade() {
            shared.record_crash(&crash);
        }
        std::future::ready(())
    });
    replicator
}

/// Claims a request's journal from the peers: those of the own failure domain, or all of them when
/// the caller already has tokens.
///
/// # Errors
/// When the key was used with another body, or when a caller with tokens must retry later because
/// peers that may have the generation did not answer.
pub(crate) async fn find(
    replicator: &Replicator,
    journals: &Journals,
    request: &GenerationRequest,
    resuming: bool,
) -> Result<Option<Journal>, Failure> {
    let claim = Claim {
        key: request.key,
        body: request.body_digest,
    };
    let (limit, rounds) = match resuming {
        true => (RESUME_TIMEOUT, MAX_RESUME_ROUNDS),
        false => (LOOKUP_TIMEOUT, 1),
    };
    let mut search = Search::new(stored(journals, claim))?;
    let domain = &replicator.peers.me().domain;
    let mut pending = replicator.peers.alive();
    pending.retain(|m| resuming || m.domain == *domain);
    for _ in 0..rounds {
        let silent = search.round(replicator, claim, &pending, limit).await?;
        if search.best.is_some() || silent.is_empty() {
            return Ok(search.best);
        }
        pending.retain(|m| silent.contains(&m.name));
    }
    match resuming {
        true => Err(unreachable()),
        false => Ok(None),
    }
}

/// The best journal received so far.
struct Search {
    best: Option<Journal>,
}

impl Search {
    fn new(stored: ClaimReply) -> Result<Self, Failure> {
        let mut search = Self { best: None };
        search.merge(stored)?;
        Ok(search)
    }

    fn merge(&mut self, reply: ClaimReply) -> Result<(), Failure> {
        match reply {
            ClaimReply::KeyReused => return Err(key_reused()),
            ClaimReply::Found(journal)
                if self.best.as_ref().is_none_or(|b| is_newer(&journal, b)) =>
            {
                self.best = Some(*journal);
            }
            ClaimReply::Found(_) | ClaimReply::Unknown => {}
        }
        Ok(())
    }

    /// Asks all `members` concurrently and returns those that did not answer. Once a journal has
    /// been received, waits only a little longer for the others, since one may be the paused owner.
    async fn round(
        &mut self,
        replicator: &Replicator,
        claim: Claim,
        members: &[Member],
        limit: Duration,
    ) -> Result<IndexSet<SmolStr>, Failure> {
        let mut silent: IndexSet<_> = members.iter().map(|m| m.name.clone()).collect();
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|member| async move {
                let name = member.name.as_str();
                let call =
                    replicator
                        .peers
                        .call::<_, ClaimReply>(name, Tag::Takeover, &claim, limit);
                (name, call.await)
            })
            .collect();
        let mut end = Instant::now() + limit;
        loop {
            if self.best.is_some() {
                end = end.min(Instant::now() + STRAGGLER_WAIT);
            }
            let Ok(Some((name, answer))) = timeout_at(end, calls.next()).await else {
                return Ok(silent);
            };
            match answer {
                Ok(reply) => {
                    silent.swap_remove(name);
                    self.merge(reply)?;
                }
                Err(CallError::Lost) => {}
                Err(_) => {
                    silent.swap_remove(name);
                }
            }
        }
    }
}

/// Failure when peers that may have the generation did not answer.
fn unreachable() -> Failure {
    let text = "peers that may have the generation did not answer";
    let failure = Failure::unknown("generation_unreachable", text);
    Failure {
        status: 503,
        ..failure
    }
    .retry_after(RETRY_AFTER)
}

/// Notifies all peers of a crash.
pub(crate) fn report_crash(replicator: &Arc<Replicator>, crash: Crash) {
    let replicator = Arc::clone(replicator);
    tokio::spawn(async move {
        replicator
            .peers
            .call_all::<_, ()>(Tag::Suspect, &crash, CRASH_REPORT_TIMEOUT)
            .await;
    });
}

/// Prefers the highest epoch, then the longest copy, then a complete one.
fn is_newer(a: &Journal, b: &Journal) -> bool {
    let rank = |j: &Journal| (j.epoch, j.tokens.len(), j.finish_reason.is_some());
    rank(a) > rank(b)
}

fn answer(shared: &Shared, claim: Claim) -> ClaimReply {
    let run = shared.run(claim.key).filter(|run| !run.failed());
    let journal = match run {
        Some(run) if run.request.body_digest != claim.body => return ClaimReply::KeyReused,
        Some(run) => {
            let journal = run.journal();
            if journal.finish_reason.is_none() {
                run.supersede();
            }
            journal
        }
        None => return stored(&shared.journals, claim),
    };
    ClaimReply::Found(Box::new(journal))
}

/// Answers a claim from the journals stored for other owners.
fn stored(journals: &Journals, claim: Claim) -> ClaimReply {
    match journals.get(claim.key) {
        None => ClaimReply::Unknown,
        Some(journal) if journal.body != claim.body => ClaimReply::KeyReused,
        Some(journal) => ClaimReply::Found(Box::new(journal)),
    }
}

fn supersede(shared: &Weak<Shared>, keys: &[RequestKey]) {
    let Some(shared) = shared.upgrade() else {
        return;
    };
    for key in keys {
        if let Some(run) = shared.run(*key) {
            run.supersede();
        }
    }
}
