//! Gossip between instances: load at targets, dead and leaving targets, held revisions and run
//! locations.
//!
//! A small fleet gossips from each instance to all others; in a large one each instance reports to
//! its aggregator (see `exchange`). An instance that is behind a peer's revisions fetches the
//! difference from it.

use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use super::exchange::Reporter;
use super::freshness::Ages;
use super::lateness::Lateness;
use super::limits::Statement;
use super::pacing::{Decision, Pacing, Snapshot};
use super::platform_watch::{HeldRevisions, Sources};
use super::relay::Relay;
use super::run_location::RunLocation;
use super::telling::Told;
use crate::peer::{Reach, Tag, decode, encode};
use crate::quarantine::Report;
use crate::routing::PeerReport;
use crate::telemetry;

/// Time between two fetches because a peer keeps out other targets. The two may differ until a target
/// writes its entry again, and each fetch is a full copy.
const DEPARTURES_PERIOD: Duration = Duration::from_secs(1);

/// Time between two checks for changes to send: a fraction of the time that an engine needs to read
/// a prompt.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// How long a run's start waits to be sent in one message with others. Below the network delay
/// between two regions.
const BATCH_WINDOW: Duration = Duration::from_millis(15);

/// Timeout for sending a message to a peer.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a reader may be behind a peer's targets before it fetches them: the time in which the
/// platform itself delivers the change.
const READER_LAG_MAX: Duration = Duration::from_secs(1);

/// How long an instance that does not read the platform may be behind a peer's targets before it
/// fetches them.
const FOLLOWER_LAG_MAX: Duration = Duration::from_millis(300);

/// State that one instance sends to the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    report: PeerReport,
    held: HeldRevisions,
    ages: Ages,
    runs: Vec<RunLocation>,
    limits: Vec<Statement>,
    suspects: Vec<Report>,
}

/// Which runs an instance asks another one for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum JournalScope {
    /// All that it knows.
    All,
    /// Those that it relays itself.
    Own,
}

/// Runs that an instance knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Journal {
    runs: Vec<RunLocation>,
    /// Whether none is missing to it.
    is_whole: bool,
    /// Whether it tells the asking instance of later ones.
    knows_asker: bool,
}

impl Relay {
    /// Registers the handlers of messages from peers.
    pub(crate) fn register_handlers(self: &Arc<Self>, sources: Sources) {
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Load, move |from, message: GossipMessage| {
                ready(me.handle_gossip(sources, from, message))
            });
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Journal, move |from, scope: JournalScope| {
                ready(me.journal(&from, scope))
            });
        self.handle_platform_updates(sources);
        self.handle_exchange(sources);
        self.handle_queries();
        self.handle_permits();
        self.handle_suspects();
    }

    /// Applies a message. Returns which other runs have the same content as the sender's.
    fn handle_gossip(
        self: &Arc<Self>,
        sources: Sources,
        from: SmolStr,
        message: GossipMessage,
    ) -> Vec<RunLocation> {
        let now = Instant::now();
        self.router.apply_peer_report(&from, &message.report, now);
        self.learn_limits(&from, &message.limits);
        self.learn_suspects(message.suspects);
        let is_local = self.peers.in_domain(&from);
        let mut runs = self.runs.lock();
        for location in &message.runs {
            runs.insert(location.clone(), is_local, now);
        }
        let equals = runs.equal_to(&message.runs, now);
        drop(runs);
        self.record_reader_ages(&from, message.ages);
        self.fetch_runs(&from);
        self.check_revisions(sources, from, message.held, now);
        equals
    }

    fn journal(&self, asker: &str, scope: JournalScope) -> Journal {
        let is_alone = self.is_alone();
        let runs = self.runs.lock();
        let now = Instant::now();
        Journal {
            runs: match scope {
                JournalScope::All => runs.all(now),
                JournalScope::Own => runs.own(now),
            },
            is_whole: runs.is_whole(is_alone),
            knows_asker: self.peers.reach(asker) == Reach::Alive,
        }
    }

    /// Whether all instances of a small fleet are known and reached, so that they are told of runs
    /// and this one has their runs.
    pub(crate) fn reaches_fleet(&self) -> bool {
        let is_synced = {
            let synced = self.synced.lock();
            let processes = self.peers.processes();
            processes.iter().all(|p| synced.get(p.0) == Some(p.1))
        };
        is_synced && self.knows_fleet() && !self.peers.has_unreached()
    }

    /// Reads the own runs of each instance that was met anew: it tells this one only of later ones.
    fn sync_runs(self: &Arc<Self>) {
        let processes = self.peers.processes();
        let mut synced = self.synced.lock();
        synced.retain(|name, number| processes.get(name) == Some(number));
        let unsynced = processes.into_iter().filter(|p| !synced.contains_key(&p.0));
        let unsynced: Vec<_> = unsynced.collect();
        drop(synced);
        for (name, number) in unsynced {
            if !self.syncing.lock().insert(name.clone()) {
                continue;
            }
            let me = Arc::clone(self);
            tokio::spawn(async move {
                let scope = JournalScope::Own;
                let asked = me.peers.call(&name, Tag::Journal, &scope, SEND_TIMEOUT);
                if let Ok(Journal {
                    runs,
                    knows_asker: true,
                    ..
                }) = asked.await
                {
                    let now = Instant::now();
                    let mut known = me.runs.lock();
                    runs.into_iter().for_each(|run| known.recall(run, now));
                    drop(known);
                    me.synced.lock().insert(name.clone(), number);
                }
                me.syncing.lock().swap_remove(&name);
            });
        }
    }

    /// Fetches the known runs of the first reachable peer, since their callers may come to this
    /// instance.
    pub(crate) fn fetch_runs(self: &Arc<Self>, peer: &SmolStr) {
        if self.runs_requested.swap(true, Ordering::Relaxed) {
            return;
        }
        let (me, peer) = (Arc::clone(self), peer.clone());
        tokio::spawn(async move {
            me.fetch_suspects(&peer).await;
            let scope = JournalScope::All;
            let asked = me.peers.call(&peer, Tag::Journal, &scope, SEND_TIMEOUT);
            match asked.await {
                Ok(Journal { runs, is_whole, .. }) => {
                    info!(me.decisions.log, "runs: loaded from a peer"; "peer" => peer.as_str(), "runs" => runs.len());
                    let now = Instant::now();
                    let mut known = me.runs.lock();
                    runs.into_iter()
                        .for_each(|location| known.recall(location, now));
                    known.set_fetched(is_whole);
                }
                Err(e) => {
                    info!(me.decisions.log, "runs: could not load from a peer"; "peer" => peer.as_str(), "error" => %e);
                    me.runs_requested.store(false, Ordering::Relaxed);
                }
            }
        });
    }

    /// Fetches from a peer that has newer rules, or newer targets that this instance has lacked for
    /// too long.
    pub(crate) fn check_revisions(
        self: &Arc<Self>,
        sources: Sources,
        from: SmolStr,
        remote: HeldRevisions,
        now: Instant,
    ) {
        let own = self.held_revisions();
        let mut behind = self.newer_peer.lock();
        let is_ahead = remote.progress() > own.progress();
        match is_ahead {
            true => {
                behind.get_or_insert((from.clone(), now));
            }
            // A different peer that is also behind proves nothing.
            false => *behind = behind.take().filter(|(ahead, _)| *ahead != from),
        }
        // An instance that does not read the platform is updated by the reader, which is as far.
        let is_reader = self.reader_role.lock().all() || !self.peers.is_tiered();
        let lag_max = if is_reader {
            READER_LAG_MAX
        } else {
            FOLLOWER_LAG_MAX
        };
        let is_late = |at: &Instant| now.saturating_duration_since(*at) > lag_max;
        // A peer that is behind itself has nothing to fetch.
        let is_lagging = is_ahead && behind.as_ref().is_some_and(|(_, at)| is_late(at));
        if is_lagging {
            *behind = None;
        }
        drop(behind);
        let lacks_departures = remote.keeps_out_others(&own) && {
            let mut last = self.departures_fetched.lock();
            let is_due = last.is_none_or(|at| now >= at + DEPARTURES_PERIOD);
            *last = last.filter(|_| !is_due).or(Some(now));
            is_due
        };
        if remote.rules > own.rules || is_lagging || own.targets.is_none() || lacks_departures {
            let me = Arc::clone(self);
            tokio::spawn(async move { me.fetch_config(sources, &from).await });
        }
    }

    /// Sends changes to all peers, or in a large fleet to the aggregator. Runs until the process
    /// ends.
    pub(crate) async fn gossip(self: Arc<Self>, sources: Sources) {
        let mut reporter = Reporter::default();
        let mut pacing = Pacing::new(Instant::now());
        let mut lateness = Lateness::default();
        loop {
            let due = Instant::now() + CHECK_PERIOD;
            // The start of a run is sent immediately: otherwise other instances would choose its
            // engine too.
            let urgent = timeout(CHECK_PERIOD, self.gossip_wakeup.notified())
                .await
                .is_ok();
            if urgent {
                sleep(BATCH_WINDOW).await;
            }
            if let Some(late) = lateness.record(due, Instant::now()) {
                self.report_lateness(late);
            }
            self.pool.close_expired();
            self.tick_suspects();
            self.report_refusal();
            self.report_staleness();
            if self.peers.is_tiered() {
                self.report(sources, &mut reporter).await;
                continue;
            }
            self.sync_runs();
            self.ask_readers(sources);
            let now = Instant::now();
            let alive = self.peers.alive();
            self.router.set_instances(alive.len() + 1);
            let snapshot = Snapshot {
                report: self.router.peer_report(now),
                held: self.held_revisions(),
                recipients: alive.into_iter().map(|m| m.name).collect(),
            };
            let has_news =
                !self.limits.lock().news(now).is_empty() || self.suspects.lock().has_news(now);
            let has_unsent = self.runs.lock().has_unsent();
            let wait = match pacing.schedule(&snapshot, urgent || has_unsent || has_news, now) {
                Decision::Skip => continue,
                Decision::After(wait) => wait,
            };
            sleep(wait).await;
            let message = GossipMessage {
                report: self.router.peer_report(Instant::now()),
                held: snapshot.held,
                ages: self.freshness.lock().ages(Instant::now()),
                runs: self.runs.lock().take_unsent(),
                limits: self.limits.lock().news(Instant::now()),
                suspects: self.suspect_reports(false),
            };
            self.broadcast(snapshot.recipients, message);
        }
    }

    /// Logs how late timers were, and what fills the process meanwhile.
    fn report_lateness(&self, late: Duration) {
        metrics::gauge!("endivefork_timer_late_seconds").set(late.as_secs_f64());
        info!(self.decisions.log, "process: timers late"; "late_ms" => late.as_millis() as u64,
            "requests" => self.drain.running(),
            "reserved_kb" => self.request_memory.used() / 1024,
            "resident_kb" => telemetry::resident_kb());
    }

    /// Logs when all seeds begin to refuse this instance, and when one accepts it again.
    fn report_refusal(&self) {
        let is_refused = self.peers.is_refused();
        let was_refused = self.refused.swap(is_refused, Ordering::Relaxed);
        let log = &self.decisions.log;
        match (was_refused, is_refused) {
            (false, true) => warn!(log, "peers: all seeds refuse this instance: they have another \
                key or version"; "seeds" => ?self.settings.seeds),
            (true, false) => info!(log, "peers: no longer refused by all seeds"),
            _ => return,
        }
        metrics::gauge!("endivefork_peer_refused").set(f64::from(u8::from(is_refused)));
    }

    /// Sends a message to all recipients, each with the runs that it has missed.
    fn broadcast(self: &Arc<Self>, recipients: Vec<SmolStr>, message: GossipMessage) {
        let now = Instant::now();
        let own = || self.runs.lock().own(now);
        let mut missed = self.missed_runs.lock();
        let missed = missed.take(&recipients, &message.runs, own, now);
        let body = encode(&message);
        let sends = recipients.into_iter().zip(missed).map(|(name, mut runs)| {
            let is_up_to_date = runs.is_empty();
            runs.extend_from_slice(&message.runs);
            let body = match is_up_to_date {
                true => body.clone(),
                false => encode(&GossipMessage {
                    runs: runs.clone(),
                    ..message.clone()
                }),
            };
            let me = Arc::clone(self);
            async move {
                let sent = me.peers.send(&name, Tag::Load, body, SEND_TIMEOUT).await;
                let equals = sent.ok().and_then(|a| decode::<Vec<RunLocation>>(&a));
                if equals.is_none() {
                    metrics::counter!("endivefork_words_untold_total").increment(1);
                    me.missed_runs.lock().put_back(&name, &runs);
                }
                equals
            }
        });
        let sends: Vec<_> = sends.collect();
        let (me, runs) = (Arc::clone(self), message.runs);
        tokio::spawn(async move {
            let answers = join_all(sends).await;
            let told = Told {
                all: answers.iter().all(Option::is_some),
                equals: answers.into_iter().flatten().flatten().collect(),
            };
            me.record_told(&runs, told);
        });
    }
}
