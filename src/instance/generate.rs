//! Connects generations with admission, routing, retry budget and rollout evidence.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;

use super::Instance;
use super::evidence::EvidenceRecorder;
use crate::admission::{AdmissionControl, AdmissionRequest, RetryBudget};
use crate::caller::StreamDurations;
use crate::config::{self, Account};
use crate::failure::Failure;
use crate::fleet::Fleet;
use crate::generation::{
    Admit, GenerationRequest, Hooks, Lease, Loss, Observation, Reader, Release, Target, TargetQuery,
};
use crate::ident::TargetKey;
use crate::routing::{Query, Router};
use crate::settings::Identity;
use crate::telemetry::{Metrics, Stage};
use xxhash_rust::xxh3::xxh3_64;

/// Length of the prompt prefix that is hashed for cache affinity, in bytes.
const PREFIX_BYTES: usize = 256;

/// Bytes of a prompt that cost as much as one token of the answer.
const PREFILL_BYTES: u64 = 64;

/// `Retry-After` when no target is available.
const NO_TARGET_WAIT: Duration = Duration::from_secs(1);

/// Estimated bytes transferred for each token of an answer.
const TOKEN_BYTES: u64 = 24;

impl Instance {
    /// Opens a generation and reads it from the token after `last`.
    ///
    /// # Errors
    /// When the request is refused, or its key was used for another request.
    pub(crate) async fn generate(
        &self,
        start: GenerationRequest,
        last: Option<u64>,
        _account: &Account,
    ) -> Result<Reader, Failure> {
        self.generations.open(start, last).await
    }
}

/// Builds the hook that admits generations by their account's share and adds to the retry budget
/// for each first attempt.
pub(super) fn admission(
    config: &Arc<config::Store>,
    gate: &Arc<AdmissionControl>,
    budget: &Arc<RetryBudget>,
    metrics: &Metrics,
) -> Box<Admit> {
    let (config, gate) = (Arc::clone(config), Arc::clone(gate));
    let (budget, metrics) = (Arc::clone(budget), metrics.clone());
    Box::new(move |start, runs| {
        let view = config.view();
        let account = view.accounts.get(&start.account).map(|a| &a.value);
        let request = admission_request(start, account.map(|a| &**a));
        let service = start.service.clone();
        let gate = Arc::clone(&gate);
        let budget = Arc::clone(&budget);
        let prefill = prefill(start);
        let span = metrics.span(&start.account);
        async move {
            let asked = Instant::now();
            let mut permit = match runs {
                true => gate.add_running(&service, &request),
                false => gate.admit(&service, &request).await?,
            };
            if !runs {
                budget.deposit(&request.account, &service, Instant::now());
            }
            span.record(Stage::Admission, asked.elapsed());
            let release: Release = Box::new(move |tokens| permit.charge(prefill + tokens));
            Ok(release)
        }
        .boxed()
    })
}

fn admission_request(start: &GenerationRequest, account: Option<&Account>) -> AdmissionRequest {
    AdmissionRequest {
        account: start.account.clone(),
        weight: account.map_or(1, |a| a.weight),
        concurrency: account.map_or(1, |a| a.concurrency),
        priority: start.priority,
        cost: prefill(start) + start.max_tokens,
        deadline: Some(start.deadline.into()),
        key: start.key,
    }
}

/// Admission cost of a prompt, in tokens of the answer.
fn prefill(start: &GenerationRequest) -> u64 {
    start.prompt.len() as u64 / PREFILL_BYTES
}

/// Builds the hooks through which generations select targets, report observations and take
/// retries.
pub(super) fn hooks(
    identity: &Identity,
    fleet: &Arc<Fleet>,
    router: &Arc<Router>,
    budget: &Arc<RetryBudget>,
    recorder: &Arc<EvidenceRecorder>,
    metrics: &Metrics,
    durations: &Arc<StreamDurations>,
) -> Hooks {
    let metrics = metrics.clone();
    let chooser = Chooser {
        identity: identity.clone(),
        fleet: Arc::clone(fleet),
        router: Arc::clone(router),
        recorder: Arc::clone(recorder),
    };
    let (recorder, durations) = (Arc::clone(recorder), Arc::clone(durations));
    let (fleet, router, budget) = (Arc::clone(fleet), Arc::clone(router), Arc::clone(budget));
    Hooks {
        choose: Box::new(move |choice| chooser.choose(choice)),
        observe: Box::new(move |start, target, seen| {
            match seen {
                Observation::Resumed(gap) => {
                    metrics.span(&start.account).record(Stage::ResumeGap, gap);
                }
                Observation::Lasted(time) => {
                    let tokens = u32::try_from(start.max_tokens).unwrap_or(u32::MAX);
                    durations.record(&start.service, tokens, time);
                }
                _ => {}
            }
            if let Some(key) = fleet.key(&target.name) {
                recorder.observed(start, key, seen);
                observe(&router, key, seen);
            }
        }),
        retry: Box::new(move |start| {
            budget.try_withdraw(&start.account, &start.service, Instant::now())
        }),
    }
}

struct Chooser {
    identity: Identity,
    fleet: Arc<Fleet>,
    router: Arc<Router>,
    recorder: Arc<EvidenceRecorder>,
}

impl Chooser {
    fn choose(&self, choice: &TargetQuery<'_>) -> Result<Lease, Failure> {
        let start = choice.request;
        let excluded: Vec<_> = choice
            .excluded
            .iter()
            .filter_map(|name| self.fleet.key(name))
            .collect();
        let head = start.prompt.len().min(PREFIX_BYTES);
        let query = Query {
            excluded_domains: &[],
            work: None,
            service: &start.service,
            version: &start.version,
            domain: &self.identity.domain,
            region: &self.identity.region,
            prefix: Some(xxh3_64(&start.prompt.as_bytes()[..head])),
            excluded: &excluded,
            bytes: start.prompt.len() as u64 + start.max_tokens * TOKEN_BYTES,
        };
        let lease = self.router.choose(&query, Instant::now());
        let lease = lease.ok_or_else(|| {
            self.recorder.unserved(start);
            no_target(start)
        })?;
        Ok(Lease {
            target: Target {
                name: lease.name(),
                addr: lease.addr,
            },
            guard: Box::new(lease),
        })
    }
}

fn no_target(start: &GenerationRequest) -> Failure {
    let text = format!("no target of {} takes work now", start.service);
    Failure::not_run(503, "no_target", text).retry_after(NO_TARGET_WAIT)
}

fn observe(router: &Router, key: TargetKey, seen: Observation) {
    let now = Instant::now();
    match seen {
        Observation::Lost(Loss::Crashed | Loss::Unsent) => router.mark_dead(key, now),
        Observation::Lost(Loss::Leaving) => router.mark_leaving(key, now),
        Observation::Lost(_) => router.mark_suspect(key, now),
        Observation::FirstToken(took) => router.mark_alive(key, now - took),
        _ => {}
    }
}
