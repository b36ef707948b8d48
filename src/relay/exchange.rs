//! Reports of instances to the aggregator of their failure domain, and summaries between
//! aggregators, in a large fleet.
//!
//! Each sender has one message in flight and sends its newest state when that was answered: a slow
//! aggregator is told less often, and gets no more work by being slow.

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

use super::aggregate::{Origin, Part, Seen, Version, View};
use super::follow::{Held, Sources};
use super::relay::Relay;
use super::runs::Note;
use crate::peer::{CANDIDATES, Member, Tag, ranked};

/// Longest wait for an aggregator to take a report or a summary.
const LIMIT: Duration = Duration::from_millis(800);

/// Reports in a row that an aggregator did not take before the next candidate gets them.
const MISSES_MAX: u32 = 2;

/// For how long an instance that took nothing is asked last.
const AVOID: Duration = Duration::from_secs(4);

/// Time between two summaries to another aggregator.
const SUMMARY_PERIOD: Duration = Duration::from_millis(250);

/// Notes of runs kept for other aggregators: what a fleet of hundreds begins in some seconds.
const NOTES_MAX: usize = 4_000;

/// Instances that took nothing, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failed(IndexMap<SmolStr, Instant>);

impl Failed {
    pub(crate) fn note(&mut self, name: &SmolStr, now: Instant) {
        self.0
            .retain(|_, at| now.saturating_duration_since(*at) < AVOID);
        self.0.insert(name.clone(), now);
    }

    pub(crate) fn lately(&self, name: &str, now: Instant) -> bool {
        let at = self.0.get(name);
        at.is_some_and(|at| now.saturating_duration_since(*at) < AVOID)
    }
}

/// What an instance reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Report {
    part: Part,
    held: Held,
    runs: Vec<Note>,
    have: Version,
}

/// What it is answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Answer {
    view: View,
    held: Held,
    /// Whether another instance of the failure domain than the one that reports reads the platform.
    read: bool,
}

/// What an aggregator tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Summary {
    part: Part,
    held: Held,
    runs: Vec<Note>,
}

/// An instance's side of its reports.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    to: SmolStr,
    misses: u32,
    seen: Seen,
    /// Notes that no aggregator has taken.
    runs: Vec<Note>,
}

impl Reports {
    /// Takes whom the next report goes to; whether that is another one than before.
    pub(crate) fn turn(&mut self, to: &SmolStr) -> bool {
        let other = self.to != *to;
        if other {
            self.to = to.clone();
            self.misses = 0;
        }
        other
    }

    /// A report was not taken; whether the aggregator is to be asked last from now on.
    pub(crate) fn missed(&mut self) -> bool {
        self.misses += 1;
        self.misses >= MISSES_MAX
    }

    pub(crate) fn answered(&mut self) {
        self.misses = 0;
    }
}

/// Notes of runs on their way to other aggregators.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Number of the first note.
    first: u64,
    notes: VecDeque<Note>,
    /// Number after the last note that each aggregator has taken.
    taken: IndexMap<SmolStr, u64>,
}

impl Outbox {
    pub(crate) fn push(&mut self, note: Note) {
        self.notes.push_back(note);
        if self.notes.len() > NOTES_MAX {
            self.notes.pop_front();
            self.first += 1;
        }
    }

    /// Notes that `to` has not taken, and the number after them.
    fn pending(&self, to: &str) -> (Vec<Note>, u64) {
        let taken = self.taken.get(to).copied().unwrap_or_default();
        let skip = taken.saturating_sub(self.first) as usize;
        let notes = self.notes.iter().skip(skip).cloned().collect();
        (notes, self.first + self.notes.len() as u64)
    }

    fn taken(&mut self, to: &str, next: u64) {
        self.taken.insert(to.into(), next);
    }

    /// Forgets aggregators that are no longer told.
    fn retain(&mut self, told: &[SmolStr]) {
        self.taken.retain(|name, _| told.contains(name));
    }
}

impl Relay {
    /// Answers reports and takes summaries.
    pub(crate) fn hear_exchange(self: &Arc<Self>, sources: Sources) {
        let me = Arc::clone(self);
        self.peers.on(Tag::Report, move |from, report: Report| {
            ready(me.take_report(sources, &from, report))
        });
        let me = Arc::clone(self);
        self.peers.on(Tag::Summary, move |from, summary: Summary| {
            let now = Instant::now();
            me.compare(sources, from.clone(), summary.held, now);
            me.aggregate
                .lock()
                .take(Origin::Aggregator(from), summary.part, now);
            let mut runs = me.runs.lock();
            let notes = summary.runs.into_iter();
            notes.for_each(|note| runs.hear(note, false, now));
            ready(())
        });
    }

    fn take_report(self: &Arc<Self>, sources: Sources, from: &SmolStr, report: Report) -> Answer {
        let now = Instant::now();
        let mut runs = self.runs.lock();
        let mut outbox = self.outbox.lock();
        for note in report.runs {
            outbox.push(note.clone());
            runs.hear(note, true, now);
        }
        drop((runs, outbox));
        self.readers.lock().insert(from.clone(), report.held.reads);
        self.compare(sources, from.clone(), report.held, now);
        let (held, read) = (self.held(), self.is_read_beside(from));
        let mut aggregate = self.aggregate.lock();
        aggregate.take(Origin::Member(from.clone()), report.part, now);
        Answer {
            view: aggregate.view(from, report.have),
            held,
            read,
        }
    }

    /// Aggregators of this failure domain that answer, this instance included, best first; those
    /// that took nothing lately last.
    pub(crate) fn aggregators(&self) -> Vec<Member> {
        let me = self.peers.me();
        let alive = self.peers.alive();
        let order = ranked(&me.domain, alive.iter().chain([me]));
        let mut order: Vec<_> = order.into_iter().cloned().collect();
        let untold = self.untold.lock();
        let now = Instant::now();
        order.sort_by_key(|m| untold.lately(&m.name, now));
        order
    }

    /// Whether this instance is the aggregator of its failure domain, as far as it knows.
    pub(crate) fn is_aggregator(&self) -> bool {
        let first = self.aggregators().into_iter().next();
        first.is_some_and(|m| m.name == self.settings.instance.name)
    }

    /// Whether this instance may become the aggregator of its failure domain.
    pub(crate) fn is_candidate(&self) -> bool {
        let mut first = self.aggregators().into_iter().take(CANDIDATES);
        first.any(|m| m.name == self.settings.instance.name)
    }

    /// Reports to the aggregator, and takes what it knows of all others.
    pub(crate) async fn report(self: &Arc<Self>, sources: Sources, reports: &mut Reports) {
        let me = &self.settings.instance.name;
        let now = Instant::now();
        let part = Part {
            word: self.router.peer_report(now),
            usage: self.retries.lock().usage(now),
            members: 1,
        };
        let mut runs = std::mem::take(&mut reports.runs);
        runs.extend(self.runs.lock().news());
        let to = self.aggregators().into_iter().next();
        let to = to.map_or_else(|| me.clone(), |m| m.name);
        if reports.turn(&to) {
            info!(self.record.log, "load: reported to an aggregator"; "aggregator" => to.as_str());
        }
        let report = Report {
            part,
            held: self.held(),
            runs,
            have: reports.seen.version(),
        };
        if to == *me {
            let answer = self.take_report(sources, me, report);
            self.take_view(reports, answer.view);
            return;
        }
        let sent = self
            .peers
            .call::<_, Answer>(&to, Tag::Report, &report, LIMIT);
        match sent.await {
            Ok(answer) => {
                reports.answered();
                self.readers.lock().insert(to.clone(), answer.held.reads);
                self.note_read(answer.read);
                self.compare(sources, to, answer.held, Instant::now());
                self.take_view(reports, answer.view);
            }
            Err(e) => {
                reports.runs = report.runs;
                let avoided = reports.missed();
                metrics::counter!("endivefork_reports_untaken_total").increment(1);
                info!(self.record.log, "load: report not taken";
                    "aggregator" => to.as_str(), "misses" => reports.misses, "error" => %e,
                    "limit_ms" => LIMIT.as_millis() as u64);
                if avoided {
                    self.untold.lock().note(&to, Instant::now());
                }
            }
        }
    }

    fn take_view(&self, reports: &mut Reports, view: View) {
        let now = Instant::now();
        let members = view.members.max(1);
        self.retries
            .lock()
            .share(view.usage.clone(), members, self.peers.others() + 1, now);
        self.router.set_instances(members as usize);
        let word = reports.seen.apply(view);
        self.router.apply_peer_report("fleet", &word, now);
    }

    /// Tells other aggregators what this one's instances do, while it is one.
    pub(crate) async fn exchange(self: Arc<Self>) {
        let busy = Arc::new(Mutex::new(IndexSet::new()));
        loop {
            sleep(SUMMARY_PERIOD).await;
            if !self.peers.is_tiered() {
                continue;
            }
            let me = self.settings.instance.name.clone();
            let now = Instant::now();
            let first = self.is_aggregator();
            let mut aggregate = self.aggregate.lock();
            aggregate.expire(now);
            let active = first || aggregate.is_used(&me);
            let part = active.then(|| aggregate.summary());
            drop(aggregate);
            let Some(part) = part else {
                self.greeted.store(false, Ordering::Relaxed);
                continue;
            };
            let told = self.told_summaries();
            self.outbox.lock().retain(&told);
            if let Some(other) = told.first() {
                self.greet(other);
            }
            for name in told {
                if !busy.lock().insert(name.clone()) {
                    continue;
                }
                let (me, busy, part) = (Arc::clone(&self), Arc::clone(&busy), part.clone());
                tokio::spawn(async move {
                    me.tell_summary(&name, part).await;
                    busy.lock().swap_remove(&name);
                });
            }
        }
    }

    /// Aggregators that get this one's summary: the first of each other failure domain, and that of
    /// its own while instances report to this one instead.
    fn told_summaries(&self) -> Vec<SmolStr> {
        let me = self.peers.me();
        let near = self.aggregators().into_iter().next();
        let near = near.filter(|m| m.name != me.name);
        let told = self.far_aggregators().into_iter().chain(near);
        told.map(|m| m.name).collect()
    }

    /// The aggregator of each other failure domain, as far as this instance knows.
    pub(crate) fn far_aggregators(&self) -> Vec<Member> {
        let me = &self.settings.instance;
        let now = Instant::now();
        let untold = self.untold.lock();
        let domains = self.settings.domains.keys().filter(|d| **d != me.domain);
        let first = domains.filter_map(|domain| {
            let mut candidates = self.peers.candidates(domain);
            candidates.sort_by_key(|m| untold.lately(&m.name, now));
            candidates.into_iter().next()
        });
        first.collect()
    }

    async fn tell_summary(&self, name: &SmolStr, part: Part) {
        let (runs, next) = self.outbox.lock().pending(name);
        let summary = Summary {
            part,
            held: self.held(),
            runs,
        };
        let told = self
            .peers
            .call::<_, ()>(name, Tag::Summary, &summary, LIMIT);
        match told.await {
            Ok(()) => self.outbox.lock().taken(name, next),
            Err(e) => {
                metrics::counter!("endivefork_summaries_untaken_total").increment(1);
                info!(self.record.log, "load: summary not taken";
                    "aggregator" => name.as_str(), "error" => %e,
                    "limit_ms" => LIMIT.as_millis() as u64);
                self.untold.lock().note(name, Instant::now());
            }
        }
    }
}
