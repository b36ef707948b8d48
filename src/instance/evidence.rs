//! Records outcomes of requests as rollout evidence about versions.

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

/// Losses of one target within this time count as one failure.
const FAILURE_WINDOW: Duration = Duration::from_secs(5);

/// Limit of remembered failures, and of remembered requests.
const REMEMBERED_MAX: usize = 1024;

/// Length from which a prompt counts as a separate route, in bytes.
const LONG_PROMPT: usize = 8192;

/// Status code from which an answer of a plain service counts as failed.
const FAILURE_STATUS: u16 = 500;

/// A request as sent to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest<'a> {
    pub(super) service: &'a str,
    pub(super) version: &'a str,
    pub(super) route: &'a str,
    pub(super) key: TargetKey,
    /// Digest of the request's content; the same for every attempt.
    pub(super) digest: u128,
}

/// Records evidence in the registry of moves.
#[derive(Debug)]
pub(super) struct EvidenceRecorder {
    registry: Arc<MoveRegistry>,
    router: Arc<Router>,
    failures: Mutex<IndexMap<TargetKey, Instant>>,
    lost_requests: Mutex<IndexMap<u128, ()>>,
    unserved: Mutex<IndexMap<RequestKey, ()>>,
}

impl EvidenceRecorder {
    pub(super) fn new(registry: Arc<MoveRegistry>, router: Arc<Router>) -> Self {
        Self {
            registry,
            router,
            failures: Mutex::default(),
            lost_requests: Mutex::default(),
            unserved: Mutex::default(),
        }
    }

    /// Records an observation of a generation.
    pub(super) fn observed(&self, start: &GenerationRequest, key: TargetKey, seen: Observation) {
        let request = SentRequest {
            service: &start.service,
            version: &start.version,
            route: route(start),
            key,
            digest: start.body_digest,
        };
        match seen {
            Observation::FirstToken(wait) => self.record(request, Sample::FirstToken(wait)),
            Observation::MeanGap(gap) => self.record(request, Sample::TokenGap(gap)),
            Observation::EngineError => self.record(request, Sample::Failed),
            Observation::Completed => self.record(request, Sample::Answered),
            // Refusals need no sample: if all targets refuse, the request is recorded as unserved.
            Observation::Refused
            | Observation::Lost(Loss::Leaving)
            | Observation::Gap(_)
            | Observation::Suspected
            | Observation::Resumed(_)
            | Observation::Lasted(_) => {}
            Observation::Lost(_) => self.record_loss(request),
        }
    }

    /// Records a failure when no target of the version accepted the request; once for each request.
    pub(super) fn unserved(&self, start: &GenerationRequest) {
        let mut unserved = self.unserved.lock();
        let first = unserved.insert(start.key, ()).is_none();
        trim(&mut unserved);
        drop(unserved);
        if !first {
            return;
        }
        let (service, version) = (&start.service, &start.version);
        self.registry
            .record(service, version, route(start), Band::High, Sample::Failed);
    }

    /// Records the outcome of a plain call with latency `took`.
    pub(super) fn reported(&self, request: SentRequest<'_>, report: TargetResult, took: Duration) {
        match report {
            TargetResult::Answered(status) => {
                self.record(request, Sample::FirstToken(took));
                let failed = status >= FAILURE_STATUS;
                let sample = if failed {
                    Sample::Failed
                } else {
                    Sample::Answered
                };
                self.record(request, sample);
            }
            TargetResult::Unreachable | TargetResult::Lost => self.record_loss(request),
            TargetResult::Unused => {}
        }
    }

    fn record(&self, request: SentRequest<'_>, sample: Sample) {
        let load = self.router.utilisation(request.key, Instant::now());
        let band = Band::of(load.unwrap_or(0.0));
        self.registry.record(
            request.service,
            request.version,
            request.route,
            band,
            sample,
        );
    }

    /// Records the failure of a target, once for each target and once for each request, so that a
    /// request that crashes targets is not held against the version that it was sent to.
    fn record_loss(&self, request: SentRequest<'_>) {
        let now = Instant::now();
        let mut failures = self.failures.lock();
        let last = failures.insert(request.key, now);
        let fresh = last.is_none_or(|last| now - last > FAILURE_WINDOW);
        trim(&mut failures);
        drop(failures);
        let mut lost_requests = self.lost_requests.lock();
        let first = lost_requests.insert(request.digest, ()).is_none();
        trim(&mut lost_requests);
        drop(lost_requests);
        if fresh && first {
            self.record(request, Sample::TargetLost);
        }
    }
}

/// Route of a generation, by prompt length, since its cost grows with the prompt.
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
    if map.len() > REMEMBERED_MAX {
        map.shift_remove_index(0);
    }
}
