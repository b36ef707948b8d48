//! Load reports from instances to the aggregator of their failure domain, and summaries between
//! aggregators, in a large fleet.
//!
//! Each sender has at most one message in flight and sends its newest state once that is answered.
//! A slow aggregator therefore receives fewer messages rather than a growing backlog.

use std::collections::VecDeque;
use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::info;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::aggregate::{LoadDelta, LoadReplica, LoadSummary, Origin, Version};
use super::freshness::Ages;
use super::limits::Statement;
use super::platform_watch::{HeldRevisions, Sources};
use super::relay::Relay;
use super::retries::Coverage;
use super::run_location::RunLocation;
use super::runs::RUN_TTL;
use super::telling::Told;
use crate::peer::{CANDIDATES, Member, Tag, ranked};
use crate::quarantine;

/// Timeout for sending a report or summary.
const SEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Consecutive failed reports after which the next candidate is used.
const FAILURES_MAX: u32 = 2;

/// How long an instance that failed is ranked last.
const FAILURE_MEMORY: Duration = Duration::from_secs(4);

/// Time between two summaries to the same aggregator.
const SUMMARY_PERIOD: Duration = Duration::from_millis(250);

/// Run locations queued for other aggregators: those that a fleet of hundreds of instances starts
/// in a few seconds.
const QUEUE_MAX: usize = 4_000;

/// Instances to which a message failed recently, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentFailures(IndexMap<SmolStr, Instant>);

impl RecentFailures {
    pub(crate) fn record(&mut self, name: &SmolStr, now: Instant) {
        self.0
            .retain(|_, at| now.saturating_duration_since(*at) < FAILURE_MEMORY);
        self.0.insert(name.clone(), now);
    }

    pub(crate) fn is_recent(&self, name: &str, now: Instant) -> bool {
        let at = self.0.get(name);
        at.is_some_and(|at| now.saturating_duration_since(*at) < FAILURE_MEMORY)
    }
}

/// An instance's report to its aggregator.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Report {
    load: LoadSummary,
    held: HeldRevisions,
    ages: Ages,
    runs: Vec<RunLocation>,
    known: Version,
    /// Time since the last report that this aggregator answered, if it answered any.
    answered: Option<Duration>,
    limits: Vec<Statement>,
    suspects: Vec<quarantine::Report>,
}

/// The aggregator's reply to a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ReportReply {
    delta: LoadDelta,
    held: HeldRevisions,
    ages: Ages,
    limits: Vec<Statement>,
    suspects: Vec<quarantine::Report>,
    told: Told,
}

/// An aggregator's summary, sent to the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Summary {
    load: LoadSummary,
    held: HeldRevisions,
    runs: Vec<RunLocation>,
    limits: Vec<Statement>,
    suspects: Vec<quarantine::Report>,
}

/// State of an instance's reports to its aggregator.
#[derive(Debug, Default)]
pub(crate) struct Reporter {
    aggregator: SmolStr,
    failures: u32,
    /// When the last report was sent that the aggregator answered.
    answered: Option<Instant>,
    replica: LoadReplica,
    /// Run locations that no aggregator has acknowledged.
    runs: Vec<RunLocation>,
}

impl Reporter {
    /// Sets the aggregator for the next report. Returns whether it has changed.
    pub(crate) fn retarget(&mut self, aggregator: &SmolStr) -> bool {
        let changed = self.aggregator != *aggregator;
        if changed {
            self.aggregator = aggregator.clone();
            self.failures = 0;
            self.answered = None;
        }
        changed
    }

    /// Counts a failed report. Returns whether the aggregator is to be ranked last.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_MAX
    }

    /// Records the answer to a report that was sent at `sent`.
    pub(crate) fn record_success(&mut self, sent: Instant) {
        self.failures = 0;
        self.answered = Some(sent);
    }
}

/// Queue of run locations for other aggregators.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Sequence number of the first entry.
    base: u64,
    entries: VecDeque<RunLocation>,
    /// Sequence number after the last entry acknowledged by each aggregator, and when the message
    /// with that was sent.
    acked: IndexMap<SmolStr, (u64, Instant)>,
}

impl Outbox {
    pub(crate) fn push(&mut self, location: RunLocation) {
        self.entries.push_back(location);
        if self.entries.len() > QUEUE_MAX {
            self.entries.pop_front();
            self.base += 1;
        }
    }

    /// Entries that `to` has not acknowledged, and the sequence number after them.
    fn pending(&self, to: &str) -> (Vec<RunLocation>, u64) {
        let acked = self.acked.get(to).map_or(0, |(next, _)| *next);
        let skip = acked.saturating_sub(self.base) as usize;
        let entries = self.entries.iter().skip(skip).cloned().collect();
        (entries, self.base + self.entries.len() as u64)
    }

    /// When the last message was sent that `to` acknowledged.
    fn acked_at(&self, to: &str) -> Option<Instant> {
        self.acked.get(to).map(|(_, sent)| *sent)
    }

    fn ack(&mut self, to: &str, next: u64, sent: Instant) {
        self.acked.insert(to.into(), (next, sent));
    }

    /// Drops the positions of aggregators that are no longer recipients.
    fn retain(&mut self, recipients: &[SmolStr]) {
        self.acked.retain(|name, _| recipients.contains(name));
    }
}

impl Relay {
    /// Registers the handlers of reports and summaries.
    pub(crate) fn handle_exchange(self: &Arc<Self>, sources: Sources) {
        let me = Arc::clone(self);
        self.peers.on(Tag::Report, move |from, report: Report| {
            let me = Arc::clone(&me);
            async move {
                let runs = report.runs.clone();
                let reply = me.handle_report(sources, &from, report);
                ReportReply {
                    told: me.tell_aggregators(&runs).await,
                    ..reply
                }
            }
        });
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Begun, move |_, runs| ready(me.learn_begun(runs)));
        let me = Arc::clone(self);
        self.peers.on(Tag::Summary, move |from, summary: Summary| {
            let now = Instant::now();
            me.learn_limits(&from, &summary.limits);
            me.learn_suspects(summary.suspects);
            me.check_revisions(sources, from.clone(), summary.held, now);
            me.aggregate
                .lock()
                .update(Origin::Aggregator(from), summary.load, now);
            me.learn_begun(summary.runs);
            ready(())
        });
    }

    fn handle_report(
        self: &Arc<Self>,
        sources: Sources,
        from: &SmolStr,
        report: Report,
    ) -> ReportReply {
        let now = Instant::now();
        let mut runs = self.runs.lock();
        let mut outbox = self.outbox.lock();
        for location in report.runs {
            outbox.push(location.clone());
            runs.insert(location, true, now);
        }
        drop((runs, outbox));
        self.record_reader_ages(from, report.ages);
        self.ask_fresher(sources, from, report.ages);
        self.check_revisions(sources, from.clone(), report.held, now);
        self.learn_limits(from, &report.limits);
        self.learn_suspects(report.suspects);
        // The answered report may have been handled by a timeout sooner after it was sent.
        let answered = report
            .answered
            .and_then(|age| now.checked_sub(age.saturating_add(SEND_TIMEOUT)));
        let suspects = self.suspect_reports_since(answered);
        let limits = self.limits.lock().news_since(answered, now);
        let ages = self.freshness.lock().ages(now);
        let held = self.held_revisions();
        let mut aggregate = self.aggregate.lock();
        aggregate.update(Origin::Member(from.clone()), report.load, now);
        ReportReply {
            delta: aggregate.delta(from, report.known),
            held,
            ages,
            limits,
            suspects,
            told: Told::default(),
        }
    }

    /// Reachable candidates for aggregator of this failure domain, this instance included, in order
    /// of rank; those that failed recently come last.
    pub(crate) fn aggregators(&self) -> Vec<Member> {
        let me = self.peers.me();
        let alive = self.peers.alive();
        let ranked = ranked(&me.domain, alive.iter().chain([me]));
        let mut ranking: Vec<_> = ranked.into_iter().cloned().collect();
        let failed = self.failed_peers.lock();
        let now = Instant::now();
        ranking.sort_by_key(|m| failed.is_recent(&m.name, now));
        ranking
    }

    /// Whether this instance is the aggregator of its failure domain, by its own view.
    pub(crate) fn is_aggregator(&self) -> bool {
        let first = self.aggregators().into_iter().next();
        first.is_some_and(|m| m.name == self.settings.instance.name)
    }

    /// Whether this instance may become the aggregator of its failure domain.
    pub(crate) fn is_candidate(&self) -> bool {
        let mut candidates = self.aggregators().into_iter().take(CANDIDATES);
        candidates.any(|m| m.name == self.settings.instance.name)
    }

    /// Reports to the aggregator, and applies the load that it returns.
    pub(crate) async fn report(self: &Arc<Self>, sources: Sources, reporter: &mut Reporter) {
        let me = &self.settings.instance.name;
        let now = Instant::now();
        let (usage, is_settled) = {
            let retries = self.retries.lock();
            (retries.usage(now), retries.is_settled(now))
        };
        let load = LoadSummary {
            report: self.router.peer_report(now),
            usage,
            members: 1,
            settled: u32::from(is_settled),
        };
        let mut runs = std::mem::take(&mut reporter.runs);
        runs.extend(self.runs.lock().take_unsent());
        let to = self.aggregators().into_iter().next();
        let to = to.map_or_else(|| me.clone(), |m| m.name);
        if reporter.retarget(&to) {
            runs.extend(self.runs.lock().own(now));
            info!(self.decisions.log, "load: reported to an aggregator"; "aggregator" => to.as_str());
        }
        let ages = self.freshness.lock().ages(now);
        let report = Report {
            load,
            held: self.held_revisions(),
            ages,
            runs,
            known: reporter.replica.version(),
            answered: reporter.answered.map(|at| at.elapsed()),
            limits: self.limits.lock().news_since(reporter.answered, now),
            suspects: self.suspect_reports_since(reporter.answered),
        };
        if to == *me {
            let (me, runs) = (Arc::clone(self), report.runs.clone());
            tokio::spawn(async move {
                let told = me.tell_aggregators(&runs).await;
                me.record_told(&runs, told);
            });
            let reply = self.handle_report(sources, &to, report);
            self.apply_delta(reporter, reply.delta);
            return;
        }
        let asked = Instant::now();
        let sent = self
            .peers
            .call::<_, ReportReply>(&to, Tag::Report, &report, SEND_TIMEOUT);
        match sent.await {
            Ok(reply) => {
                reporter.record_success(asked);
                self.record_told(&report.runs, reply.told);
                self.learn_limits(&to, &reply.limits);
                self.learn_suspects(reply.suspects);
                self.learn_ages(&to, &reply.held, reply.ages, asked);
                self.check_revisions(sources, to, reply.held, Instant::now());
                self.apply_delta(reporter, reply.delta);
            }
            Err(e) => {
                reporter.runs = report.runs;
                let is_unreliable = reporter.record_failure();
                metrics::counter!("endivefork_reports_untaken_total").increment(1);
                info!(self.decisions.log, "load: report not taken";
                    "aggregator" => to.as_str(), "misses" => reporter.failures, "error" => %e,
                    "limit_ms" => SEND_TIMEOUT.as_millis() as u64);
                if is_unreliable {
                    self.failed_peers.lock().record(&to, Instant::now());
                }
            }
        }
    }

    fn apply_delta(&self, reporter: &mut Reporter, delta: LoadDelta) {
        let now = Instant::now();
        let of = Coverage {
            members: delta.members,
            settled: delta.settled,
            known: self.peers.others() + 1,
        };
        self.retries
            .lock()
            .set_fleet_usage(delta.usage.clone(), of, now);
        self.router.set_instances(delta.members.max(1) as usize);
        let report = reporter.replica.apply(delta);
        self.router.apply_peer_report("fleet", &report, now);
    }

    /// Sends summaries to other aggregators while this instance is one.
    pub(crate) async fn send_summaries(self: Arc<Self>) {
        let busy = Arc::new(Mutex::new(IndexSet::new()));
        let mut active_since = None;
        loop {
            sleep(SUMMARY_PERIOD).await;
            if !self.peers.is_tiered() {
                continue;
            }
            let me = self.settings.instance.name.clone();
            let now = Instant::now();
            let is_first = self.is_aggregator();
            let mut aggregate = self.aggregate.lock();
            aggregate.expire(now);
            let is_active = is_first || aggregate.has_reporters(&me);
            let load = is_active.then(|| aggregate.summary());
            drop(aggregate);
            let Some(load) = load else {
                active_since = None;
                self.runs_requested.store(false, Ordering::Relaxed);
                self.runs.lock().set_unreported();
                continue;
            };
            let active_since = *active_since.get_or_insert(now);
            let recipients = self.summary_recipients();
            self.outbox.lock().retain(&recipients);
            match recipients.first() {
                Some(peer) => self.fetch_runs(peer),
                // The runs that were told to an earlier aggregator have expired by then.
                None if now - active_since >= RUN_TTL => self.runs.lock().set_fetched(false),
                None => {}
            }
            for name in recipients {
                if !busy.lock().insert(name.clone()) {
                    continue;
                }
                let (me, busy, load) = (Arc::clone(&self), Arc::clone(&busy), load.clone());
                tokio::spawn(async move {
                    me.send_summary(&name, load).await;
                    busy.lock().swap_remove(&name);
                });
            }
        }
    }

    /// Aggregators that receive this one's summary: the first of each other failure domain, and
    /// that of its own domain while instances still report to this one.
    fn summary_recipients(&self) -> Vec<SmolStr> {
        let me = self.peers.me();
        let local = self.aggregators().into_iter().next();
        let local = local.filter(|m| m.name != me.name);
        let recipients = self.remote_aggregators().into_iter().chain(local);
        recipients.map(|m| m.name).collect()
    }

    /// The aggregator of each other failure domain, by this instance's view.
    pub(crate) fn remote_aggregators(&self) -> Vec<Member> {
        let me = &self.settings.instance;
        let now = Instant::now();
        let failed = self.failed_peers.lock();
        let domains = self
            .settings
            .domain_regions
            .keys()
            .filter(|d| **d != me.domain);
        let aggregators = domains.filter_map(|domain| {
            let mut candidates = self.peers.candidates(domain);
            candidates.sort_by_key(|m| failed.is_recent(&m.name, now));
            candidates.into_iter().next()
        });
        aggregators.collect()
    }

    async fn send_summary(&self, name: &SmolStr, load: LoadSummary) {
        let (runs, next) = self.outbox.lock().pending(name);
        let acked = self.outbox.lock().acked_at(name);
        let sent_at = Instant::now();
        let summary = Summary {
            load,
            held: self.held_revisions(),
            runs,
            limits: self.limits.lock().news_since(acked, sent_at),
            suspects: self.suspect_reports_since(acked),
        };
        let sent = self
            .peers
            .call::<_, ()>(name, Tag::Summary, &summary, SEND_TIMEOUT);
        match sent.await {
            Ok(()) => {
                self.outbox.lock().ack(name, next, sent_at);
                self.runs.lock().set_told(&summary.runs);
            }
            Err(e) => {
                metrics::counter!("endivefork_summaries_untaken_total").increment(1);
                info!(self.decisions.log, "load: summary not taken";
                    "aggregator" => name.as_str(), "error" => %e,
                    "limit_ms" => SEND_TIMEOUT.as_millis() as u64);
                self.failed_peers.lock().record(name, Instant::now());
            }
        }
    }
}
