//! What instances tell each other: their load at targets, dead and leaving ones, and which rules
//! they have.

use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use slog::info;
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use super::exchange::Reports;
use super::follow::{Held, Sources};
use super::pacing::{Pacing, State, Tell};
use super::relay::Relay;
use super::runs::Note;
use crate::peer::{Tag, encode};
use crate::routing::PeerReport;

/// Time between two looks at what could be told: a fraction of a prompt's reading time.
const PERIOD: Duration = Duration::from_millis(200);

/// Wait for further runs that begin at once. Below the way between two regions.
const TOGETHER: Duration = Duration::from_millis(15);

/// Longest wait for a peer to take a word.
const TELL_LIMIT: Duration = Duration::from_millis(400);

/// How far a peer's targets may be ahead before they are taken from it: the time in which the
/// platform tells this instance itself.
const BEHIND_MAX: Duration = Duration::from_secs(1);

/// The same for an instance that is told what others read.
const UNTOLD_MAX: Duration = Duration::from_millis(300);

/// What one instance tells the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Told {
    word: PeerReport,
    held: Held,
    runs: Vec<Note>,
}

impl Relay {
    /// Answers what peers tell and ask.
    pub(crate) fn hear_peers(self: &Arc<Self>, sources: Sources) {
        let me = Arc::clone(self);
        self.peers.on(Tag::Load, move |from, told: Told| {
            me.take_word(sources, from, told);
            ready(())
        });
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Journal, move |_, ()| ready(me.runs.lock().all()));
        self.hear_news(sources);
        self.hear_exchange(sources);
        self.hear_queries();
    }

    fn take_word(self: &Arc<Self>, sources: Sources, from: SmolStr, told: Told) {
        let now = Instant::now();
        self.router.apply_peer_report(&from, &told.word, now);
        let near = self.peers.is_near(&from);
        let mut runs = self.runs.lock();
        let notes = told.runs.into_iter();
        notes.for_each(|note| runs.hear(note, near, now));
        drop(runs);
        self.readers.lock().insert(from.clone(), told.held.reads);
        self.greet(&from);
        self.compare(sources, from, told.held, now);
    }

    /// Takes the runs that the first peer heard of knows: their callers may come here.
    pub(crate) fn greet(self: &Arc<Self>, peer: &SmolStr) {
        if self.greeted.swap(true, Ordering::Relaxed) {
            return;
        }
        let (me, peer) = (Arc::clone(self), peer.clone());
        tokio::spawn(async move {
            let runs = me
                .peers
                .call::<(), Vec<Note>>(&peer, Tag::Journal, &(), TELL_LIMIT);
            match runs.await {
                Ok(runs) => {
                    info!(me.record.log, "runs: taken from a peer"; "peer" => peer.as_str(), "runs" => runs.len());
                    let now = Instant::now();
                    let mut known = me.runs.lock();
                    runs.into_iter()
                        .for_each(|note| known.hear(note, false, now));
                }
                Err(e) => {
                    info!(me.record.log, "runs: could not ask a peer"; "peer" => peer.as_str(), "error" => %e);
                    me.greeted.store(false, Ordering::Relaxed);
                }
            }
        });
    }

    /// Asks a peer that has newer rules, or targets that this instance has lacked for a while.
    pub(crate) fn compare(
        self: &Arc<Self>,
        sources: Sources,
        from: SmolStr,
        theirs: Held,
        now: Instant,
    ) {
        let mine = self.held();
        let mut behind = self.behind.lock();
        match theirs.targets > mine.targets {
            true => {
                behind.get_or_insert((from.clone(), now));
            }
            // Another one that lacks the same says nothing.
            false => *behind = behind.take().filter(|(ahead, _)| *ahead != from),
        }
        // One that does not read the platform is told by the reader, which is as far.
        let reads = self.reading.lock().is_whole() || !self.peers.is_tiered();
        let most = if reads { BEHIND_MAX } else { UNTOLD_MAX };
        let late = |at: &Instant| now.saturating_duration_since(*at) > most;
        let lagging = behind.as_ref().is_some_and(|(_, at)| late(at));
        if lagging {
            *behind = None;
        }
        drop(behind);
        if theirs.rules > mine.rules || lagging || mine.targets.is_none() {
            let me = Arc::clone(self);
            tokio::spawn(async move { me.take_copy(sources, &from).await });
        }
    }

    /// Tells all peers what has changed, again and again; in a large fleet the aggregator.
    pub(crate) async fn tell_peers(self: Arc<Self>, sources: Sources) {
        let mut reports = Reports::default();
        let mut pacing = Pacing::new(Instant::now());
        loop {
            // A run that begins is told at once: others would choose its engine too.
            let urgent = timeout(PERIOD, self.news.notified()).await.is_ok();
            if urgent {
                sleep(TOGETHER).await;
            }
            self.links.sweep();
            if self.peers.is_tiered() {
                self.report(sources, &mut reports).await;
                continue;
            }
            let now = Instant::now();
            let alive = self.peers.alive();
            self.router.set_instances(alive.len() + 1);
            let state = State {
                word: self.router.peer_report(now),
                held: self.held(),
                audience: alive.into_iter().map(|m| m.name).collect(),
            };
            let noted = self.runs.lock().has_news();
            let wait = match pacing.tell(&state, urgent || noted, now) {
                Tell::Nothing => continue,
                Tell::In(wait) => wait,
            };
            sleep(wait).await;
            let told = Told {
                word: self.router.peer_report(Instant::now()),
                held: state.held,
                runs: self.runs.lock().news(),
            };
            self.spread(state.audience, &told);
        }
    }

    fn spread(self: &Arc<Self>, audience: Vec<SmolStr>, told: &Told) {
        let body = encode(told);
        for name in audience {
            let (me, body) = (Arc::clone(self), body.clone());
            tokio::spawn(async move {
                let sent = me.peers.send(&name, Tag::Load, body, TELL_LIMIT);
                if sent.await.is_err() {
                    metrics::counter!("endivefork_words_untold_total").increment(1);
                }
            });
        }
    }
}
