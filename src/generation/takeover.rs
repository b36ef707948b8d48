//! A caller returns at another instance: it finds the generation and becomes its owner.

use std::sync::{Arc, Weak};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::journal::{Entry, Journal, Journals};
use super::run::Start;
use super::suspect::Crash;
use super::table::Shared;
use super::writer::Net;
use crate::failure::Failure;
use crate::ident::RequestKey;
use crate::peer::{Peers, Tag};

/// Longest wait for peers when the caller has tokens already.
const RETURN_LIMIT: Duration = Duration::from_millis(300);

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
    let limit = match returning {
        true => RETURN_LIMIT,
        false => REPEAT_LIMIT,
    };
    let domain = &net.peers.me().domain;
    let mut asked = net.peers.alive();
    asked.retain(|m| returning || m.domain == *domain);
    let calls = asked.iter().map(|member| {
        net.peers
            .call::<_, Claimed>(&member.name, Tag::Takeover, &claim, limit)
    });
    let answers = futures_util::future::join_all(calls).await;
    let mut best: Option<Journal> = None;
    let kept = kept(own, claim);
    for answer in answers.into_iter().flatten().chain([kept]) {
        match answer {
            Claimed::Unknown => {}
            Claimed::Reused => return Err(key_reused()),
            Claimed::Found(journal) if best.as_ref().is_none_or(|b| better(&journal, b)) => {
                best = Some(*journal);
            }
            Claimed::Found(_) => {}
        }
    }
    Ok(best)
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
