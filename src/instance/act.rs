//! Runs calls of plain services: admission, choice of a target, and outcome reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use super::Instance;
use super::evidence::{EvidenceRecorder, SentRequest, plain_route};
use crate::action::{
    self, Call, ChooseTarget, ChosenTarget, Outcome, Retention, Sweeper, TargetQuery, TargetResult,
    claim_name,
};
use crate::admission::AdmissionRequest;
use crate::caller::Drain;
use crate::config::{self, Account, Repeat};
use crate::failure::Failure;
use crate::ident::TargetKey;
use crate::rollout::MoveRegistry;
use crate::routing::{Query, Router};
use crate::settings::Identity;
use smol_str::SmolStr;

/// Estimated bytes transferred by a plain call.
const CALL_BYTES: u64 = 4096;

/// Admission cost of a plain call.
const CALL_COST: u64 = 1;

impl Instance {
    /// Runs a call of a plain service after admission.
    ///
    /// # Errors
    /// When the call is refused, the service does not answer, or the instance shuts down before.
    pub(crate) async fn act(
        &self,
        call: Call,
        account: &Account,
        drain: &Drain,
    ) -> Result<Outcome, Failure> {
        let request = AdmissionRequest {
            account: call.account.clone(),
            weight: account.weight,
            concurrency: account.concurrency,
            priority: 0,
            cost: CALL_COST,
            deadline: Some(Instant::now() + call.deadline),
            key: call.target_query().key,
        };
        let permit = tokio::select! {
            biased;
            () = drain.short_of(call.timeout) => Err(Failure::shutting_down()),
            permit = self.gate.admit(&call.service, &request) => permit,
        };
        let cut = cut(&call);
        let ended = async {
            match permit {
                Err(refusal) if !self.may_have_run(&call).await => Err(refusal),
                // An earlier attempt may have run, so a refusal could be wrong: the claim decides.
                _permit => self.actions.run(call).await,
            }
        };
        tokio::select! {
            biased;
            result = ended => result,
            () = drain.expiring() => Err(cut),
        }
    }

    /// The task that removes old claims, shared among the entry instances that are not leaving.
    pub(super) fn sweeper(&self) -> Sweeper {
        let fleet = Arc::clone(&self.fleet);
        let live = move || {
            let roster = fleet.roster();
            let remaining = roster.entries.values().filter(|e| !e.leaving);
            remaining.map(|e| e.name.clone()).collect()
        };
        let retention = Retention::default();
        self.actions.sweeper(retention, Arc::new(live))
    }

    /// Whether an earlier attempt of a non-repeatable call may have run.
    async fn may_have_run(&self, call: &Call) -> bool {
        let key = match (call.repeat, &call.key) {
            (Repeat::Never, Some(key)) => key,
            _ => return false,
        };
        let name = claim_name(&call.service, &call.account, key);
        !matches!(self.platform.get(action::CLAIM_KIND, &name).await, Ok(None))
    }
}

/// The answer to a call that is still open at the end of a shutdown.
fn cut(call: &Call) -> Failure {
    match call.repeat {
        Repeat::Never => Failure::shut_down(
            "the same key at another instance returns the outcome once it is known",
        ),
        Repeat::Safe => Failure::interrupted("the call may be repeated at another instance"),
    }
}

/// Builds the function that selects a target of the current version of a plain service.
pub(super) fn chooser(
    identity: &Identity,
    config: &Arc<config::Store>,
    router: &Arc<Router>,
    recorder: &Arc<EvidenceRecorder>,
    moves: &Arc<MoveRegistry>,
) -> ChooseTarget {
    let identity = identity.clone();
    let config = Arc::clone(config);
    let router = Arc::clone(router);
    let recorder = Arc::clone(recorder);
    let moves = Arc::clone(moves);
    Arc::new(move |target_query: TargetQuery<'_>, excluded| {
        let view = config.view();
        let (service, key) = (target_query.service, target_query.key);
        let version = moves
            .version_for(service, key)
            .or_else(|| view.version_for(service, key).cloned())?;
        let route = view
            .services
            .get(service)?
            .value
            .route(target_query.method, target_query.path);
        let route = plain_route(target_query.method, route.map(|r| r.path.as_str()));
        let excluded = keys(&router, excluded);
        let query = Query {
            excluded_domains: &[],
            work: None,
            service,
            version: &version,
            domain: &identity.domain,
            region: &identity.region,
            prefix: None,
            excluded: &excluded,
            bytes: CALL_BYTES,
        };
        let begun = Instant::now();
        let lease = router.choose(&query, begun)?;
        let (router, recorder) = (Arc::clone(&router), Arc::clone(&recorder));
        let addr = lease.addr;
        let service = SmolStr::from(service);
        let report = Box::new(move |report| {
            let sent = SentRequest {
                service: &service,
                version: &version,
                route: &route,
                key: lease.key,
                digest: key.0,
            };
            recorder.reported(sent, report, begun.elapsed());
            report_result(&router, lease.key, report, begun);
            drop(lease);
        });
        Some(ChosenTarget { addr, report })
    })
}

fn keys(router: &Router, addrs: &[SocketAddr]) -> Vec<TargetKey> {
    addrs.iter().filter_map(|a| router.key_at(*a)).collect()
}

fn report_result(router: &Router, key: TargetKey, report: TargetResult, begun: Instant) {
    match report {
        TargetResult::Answered(_) => router.mark_alive(key, begun),
        TargetResult::Unreachable => router.mark_dead(key, Instant::now()),
        TargetResult::Lost => router.mark_suspect(key, Instant::now()),
        TargetResult::Unused => {}
    }
}
