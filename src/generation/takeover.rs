//! A caller returns at another instance: it finds the generation and becomes its owner.

use std::sync::{Arc, Weak};
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use super::journal::{Entry, Journal, Journals};
use super::run::Start;
use super::suspect::Crash;
use super::table::Shared;
use super::writer::Net;
use crate::failure::Failure;
use crate::ident::RequestKey;
use crate::peer::{CallError, Member, Peers, Tag};

/// Longest wait for peers when the caller has tokens already.
const RETURN_LIMIT: Duration = Duration::from_millis(300);

/// Times that peers which do not answer are asked when the caller has tokens already.
const RETURN_ROUNDS: u32 = 3;

/// Longest further wait for peers once one has handed over a journal.
const GRACE: Duration = Duration::from_millis(50);

/// When a caller should come back whose generation could not be asked for.
const COME_BACK: Duration = Duration::from_secs(1);

/// Longest wait for peers when the request may be new.
const REPEAT_LIMIT: Duration = Duration::from_millis(100);

/// Longest wait for peers to hear of a crash.
const SUSPECT_LIMIT: Duration = Duration::from_millis(300);

/// Bits of an epoch that tell two instances apart that take over at once.
const DRAW_BITS: u32 = 16;

/// Asks for a generation; whoever runs it stops.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Claim {
    key: RequestKey,
    body: u128,
}

/// Answer to a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Claimed {
    Unknown,
    Reused,
    Found(Box<Journal>),
}

/// An epoch above `old` that no other instance draws.
pub(crate) fn next_epoch(old: u64) -> u64 {
    let draw: u16 = rand::random();
    (((old >> DRAW_BITS) + 1) << DRAW_BITS) | u64::from(draw)
}

/// The refusal of a key that belongs to another body.
pub(crate) fn key_reused() -> Failure {
    Failure::not_run(422, "key_reused", "the key belongs to another request")
}

/// Joins `shared` with the peers: journals go out and come in, and claims are answered.
pub(crate) fn join(shared: &Arc<Shared>, peers: &Peers) -> Arc<Net> {
    let weak = Arc::downgrade(shared);
    let net = Net::new(peers.clone(), move |stale| supersede(&weak, &stale));
    let weak = Arc::downgrade(shared);
    peers.on(Tag::Journal, move |_, entries: Vec<Entry>| {
        std::future::ready(match weak.upgrade() {
            Some(shared) => shared.write(entries),
            None => super::journal::Ack::default(),
        })
    });
    let weak = Arc::downgrade(shared);
    peers.on(Tag::Takeover, move |_, claim: Claim| {
        let shared = weak.upgrade();
        std::future::ready(shared.map_or(Claimed::Unknown, |shared| answer(&shared, claim)))
    });
    let weak = Arc::downgrade(shared);
    peers.on(Tag::Suspect, move |_, crash: Crash| {
        if let Some(shared) = weak.upgrade() {
            shared.hear_crash(&crash);
        }
        std::future::ready(())
    });
    net
}

/// Looks for a request's generation at the peers: in the own failure domain, or everywhere when
/// the caller has tokens of it.
///
/// # Errors
/// When the key belongs to another body, or when a caller that has tokens must come back because
/// peers that may know the generation do not answer.
pub(crate) async fn find(
    net: &Net,
    own: &Journals,
    start: &Start,
    returning: bool,
) -> Result<Option<Journal>, Failure> {
    let claim = Claim {
        key: start.key,
        body: start.body_digest,
    };
    let (limit, rounds) = match returning {
        true => (RETURN_LIMIT, RETURN_ROUNDS),
        false => (REPEAT_LIMIT, 1),
    };
    let mut search = Search::new(kept(own, claim))?;
    let domain = &net.peers.me().domain;
    let mut asked = net.peers.alive();
    asked.retain(|m| returning || m.domain == *domain);
    for _ in 0..rounds {
        let silent = search.round(net, claim, &asked, limit).await?;
        if search.best.is_some() || silent.is_empty() {
            return Ok(search.best);
        }
        asked.retain(|m| silent.contains(&m.name));
    }
    match returning {
        true => Err(unreachable()),
        false => Ok(None),
    }
}

/// The best journal found so far.
struct Search {
    best: Option<Journal>,
}

impl Search {
    fn new(kept: Claimed) -> Result<Self, Failure> {
        let mut search = Self { best: None };
        search.take(kept)?;
        Ok(search)
    }

    fn take(&mut self, answer: Claimed) -> Result<(), Failure> {
        match answer {
            Claimed::Reused => return Err(key_reused()),
            Claimed::Found(journal) if self.best.as_ref().is_none_or(|b| better(&journal, b)) => {
                self.best = Some(*journal);
            }
            Claimed::Found(_) | Claimed::Unknown => {}
        }
        Ok(())
    }

    /// Asks `members` at once; returns those that did not answer. Once there is a journal, the
    /// others, of which one may be the paused owner, are not waited for much longer.
    async fn round(
        &mut self,
        net: &Net,
        claim: Claim,
        members: &[Member],
        limit: Duration,
    ) -> Result<IndexSet<SmolStr>, Failure> {
        let mut silent: IndexSet<_> = members.iter().map(|m| m.name.clone()).collect();
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|member| async move {
                let name = member.name.as_str();
                let call = net
                    .peers
                    .call::<_, Claimed>(name, Tag::Takeover, &claim, limit);
                (name, call.await)
            })
            .collect();
        let mut end = Instant::now() + limit;
        loop {
            if self.best.is_some() {
                end = end.min(Instant::now() + GRACE);
            }
            let Ok(Some((name, answer))) = timeout_at(end, calls.next()).await else {
                return Ok(silent);
            };
            match answer {
                Ok(claimed) => {
                    silent.swap_remove(name);
                    self.take(claimed)?;
                }
                Err(CallError::Lost) => {}
                Err(_) => {
                    silent.swap_remove(name);
                }
            }
        }
    }
}

/// Peers that may know the generation did not answer.
fn unreachable() -> Failure {
    let text = "peers that may know the generation do not answer";
    let failure = Failure::unknown("generation_unreachable", text);
    Failure {
        status: 503,
        ..failure
    }
    .retry_after(COME_BACK)
}

/// Tells all peers of a crash.
pub(crate) fn spread(net: &Arc<Net>, crash: Crash) {
    let net = Arc::clone(net);
    tokio::spawn(async move {
        net.peers
            .ask_all::<_, ()>(Tag::Suspect, &crash, SUSPECT_LIMIT)
            .await;
    });
}

/// Only the newest owner's journal counts, and of that the longest copy.
fn better(a: &Journal, b: &Journal) -> bool {
    let rank = |j: &Journal| (j.epoch, j.tokens.len(), j.whole.is_some());
    rank(a) > rank(b)
}

fn answer(shared: &Shared, claim: Claim) -> Claimed {
    let run = shared.run(claim.key).filter(|run| !run.failed());
    let journal = match run {
        Some(run) if run.start.body_digest != claim.body => return Claimed::Reused,
        Some(run) => {
            let journal = run.journal();
            if journal.whole.is_none() {
                run.supersede();
            }
            journal
        }
        None => return kept(&shared.journals, claim),
    };
    Claimed::Found(Box::new(journal))
}

/// What is kept here for another owner.
fn kept(journals: &Journals, claim: Claim) -> Claimed {
    match journals.get(claim.key) {
        None => Claimed::Unknown,
        Some(journal) if journal.body != claim.body => Claimed::Reused,
        Some(journal) => Claimed::Found(Box::new(journal)),
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
