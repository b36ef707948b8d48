//! Turns what happens to requests into evidence about versions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::action::TargetResult;
use crate::generation::{GenerationRequest, Loss, Observation};
use crate::ident::{RequestKey, TargetKey};
use crate::rollout::{Band, MoveRegistry, Sample};
use crate::routing::Router;

/// Losses of one target within this time are one death.
const SAME_DEATH: Duration = Duration::from_secs(5);

/// Deaths and requests remembered.
const REMEMBERED: usize = 1024;

/// Prompts at least this long, in bytes, count as a route of their own.
const LONG_PROMPT: usize = 8192;

/// Status from which an answer of a plain service counts as its failure.
const FAILURE_STATUS: u16 = 500;

/// What a target is asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked<'a> {
    pub(super) service: &'a str,
    pub(super) version: &'a str,
    pub(super) route: &'a str,
    pub(super) key: TargetKey,
    /// Names the request's content, however often it is sent.
    pub(super) digest: u128,
}

/// Records evidence in the book of moves.
#[derive(Debug)]
pub(super) struct Witness {
    book: Arc<MoveRegistry>,
    router: Arc<Router>,
    deaths: Mutex<IndexMap<TargetKey, Instant>>,
    killers: Mutex<IndexMap<u128, ()>>,
    unserved: Mutex<IndexMap<RequestKey, ()>>,
}

impl Witness {
    pub(super) fn new(book: Arc<MoveRegistry>, router: Arc<Router>) -> Self {
        Self {
            book,
            router,
            deaths: Mutex::default(),
            killers: Mutex::default(),
            unserved: Mutex::default(),
        }
    }

    /// An observation of a generation.
    pub(super) fn observed(&self, start: &GenerationRequest, key: TargetKey, seen: Observation) {
        let asked = Asked {
            service: &start.service,
            version: &start.version,
            route: route(start),
            key,
            digest: start.body_digest,
        };
        match seen {
            Observation::FirstToken(wait) => self.record(asked, Sample::FirstToken(wait)),
            Observation::MeanGap(gap) => self.record(asked, Sample::TokenGap(gap)),
            Observation::EngineError => self.record(asked, Sample::Failed),
            Observation::Completed => self.record(asked, Sample::Answered),
            // A version that refuses everywhere leaves its requests unserved, which counts.
            Observation::Refused
            | Observation::Lost(Loss::Leaving)
            | Observation::Gap(_)
            | Observation::Suspected
            | Observation::Resumed(_) => {}
            Observation::Lost(_) => self.died(asked),
        }
    }

    /// No target of the version took the request; counted once for each request.
    pub(super) fn unserved(&self, start: &GenerationRequest) {
        let mut unserved = self.unserved.lock();
        let first = unserved.insert(start.key, ()).is_none();
        trim(&mut unserved);
        drop(unserved);
        if !first {
            return;
        }
        let (service, version) = (&start.service, &start.version);
        self.book
            .record(service, version, route(start), Band::High, Sample::Failed);
    }

    /// The outcome of a plain call that took `took`.
    pub(super) fn reported(&self, asked: Asked<'_>, report: TargetResult, took: Duration) {
        match report {
            TargetResult::Answered(status) => {
                self.record(asked, Sample::FirstToken(took));
                let failed = status >= FAILURE_STATUS;
                let sample = if failed {
                    Sample::Failed
                } else {
                    Sample::Answered
                };
                self.record(asked, sample);
            }
            TargetResult::Unreachable | TargetResult::Lost => self.died(asked),
            TargetResult::Unused => {}
        }
    }

    fn record(&self, asked: Asked<'_>, sample: Sample) {
        let load = self.router.utilisation(asked.key, Instant::now());
        let band = Band::of(load.unwrap_or(0.0));
        self.book
            .record(asked.service, asked.version, asked.route, band, sample);
    }

    /// Counts a death once for each target, and once for each request, so that a request that
    /// kills targets does not speak against the version that it happens to meet.
    fn died(&self, asked: Asked<'_>) {
        let now = Instant::now();
        let mut deaths = self.deaths.lock();
        let last = deaths.insert(asked.key, now);
        let fresh = last.is_none_or(|last| now - last > SAME_DEATH);
        trim(&mut deaths);
        drop(deaths);
        let mut killers = self.killers.lock();
        let first = killers.insert(asked.digest, ()).is_none();
        trim(&mut killers);
        drop(killers);
        if fresh && first {
            self.record(asked, Sample::TargetLost);
        }
    }
}

/// Route of a generation: its cost grows with its prompt.
fn route(start: &GenerationRequest) -> &'static str {
    match start.prompt.len() {
        n if n >= LONG_PROMPT => "long prompt",
        _ => "short prompt",
    }
}

/// Route of a plain call: method and configured path.
pub(super) fn plain_route(method: &str, path: Option<&str>) -> SmolStr {
    match path {
        Some(path) => smol_str::format_smolstr!("{method} {path}"),
        None => "other".into(),
    }
}

fn trim<K, V>(map: &mut IndexMap<K, V>) {
    if map.len() > REMEMBERED {
        map.shift_remove_index(0);
    }
}
