//! Joins calls of plain services with routing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use super::Instance;
use super::witness::{Asked, Witness, plain_route};
use crate::action::{
    self, Call, ChooseTarget, ChosenTarget, Outcome, Retention, Sweeper, TargetQuery, TargetResult,
    claim_name,
};
use crate::admission::AdmissionRequest;
use crate::config::{self, Account, Repeat};
use crate::failure::Failure;
use crate::ident::TargetKey;
use crate::rollout::MoveRegistry;
use crate::routing::{Query, Router};
use crate::settings::Identity;
use smol_str::SmolStr;

/// Bytes that a plain call is thought to move.
const CALL_BYTES: u64 = 4096;

/// Cost of a plain call, in the unit of admission.
const CALL_COST: u64 = 1;

impl Instance {
    /// Makes a call of a plain service once it is admitted.
    ///
    /// # Errors
    /// When it is refused or there is no answer of the service.
    pub(crate) async fn act(&self, call: Call, account: &Account) -> Result<Outcome, Failure> {
        let ask = AdmissionRequest {
            account: call.account.clone(),
            weight: account.weight,
            concurrency: account.concurrency,
            priority: 0,
            cost: CALL_COST,
            deadline: Some(Instant::now() + call.deadline),
            key: call.target_query().key,
        };
        let permit = self.gate.admit(&call.service, &ask).await;
        match permit {
            Err(refusal) if !self.may_have_run(&call).await => Err(refusal),
            // An earlier try may have run, so a refusal would mislead: the claim decides.
            _permit => self.actions.run(call).await,
        }
    }

    /// The sweeper of old claims among the entry instances that stay.
    pub(super) fn sweeper(&self) -> Sweeper {
        let fleet = Arc::clone(&self.fleet);
        let live = move || {
            let roster = fleet.roster();
            let staying = roster.entries.values().filter(|e| !e.leaving);
            staying.map(|e| e.name.clone()).collect()
        };
        let retention = Retention::default();
        self.actions.sweeper(retention, Arc::new(live))
    }

    /// Whether an earlier try of a non-repeatable call may have run.
    async fn may_have_run(&self, call: &Call) -> bool {
        let key = match (call.repeat, &call.key) {
            (Repeat::Never, Some(key)) => key,
            _ => return false,
        };
        let name = claim_name(&call.service, &call.account, key);
        !matches!(self.platform.get(action::CLAIM_KIND, &name).await, Ok(None))
    }
}

/// Chooses targets of plain services of the version in force.
pub(super) fn chooser(
    identity: &Identity,
    config: &Arc<config::Store>,
    router: &Arc<Router>,
    witness: &Arc<Witness>,
    moves: &Arc<MoveRegistry>,
) -> ChooseTarget {
    let identity = identity.clone();
    let config = Arc::clone(config);
    let router = Arc::clone(router);
    let witness = Arc::clone(witness);
    let moves = Arc::clone(moves);
    Arc::new(move |seek: TargetQuery<'_>, excluded| {
        let view = config.view();
        let (service, key) = (seek.service, seek.key);
        let version = moves
            .version_for(service, key)
            .or_else(|| view.version_for(service, key).cloned())?;
        let route = view
            .services
            .get(service)?
            .value
            .route(seek.method, seek.path);
        let route = plain_route(seek.method, route.map(|r| r.path.as_str()));
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
        let asked = Instant::now();
        let lease = router.choose(&query, asked)?;
        let (router, witness) = (Arc::clone(&router), Arc::clone(&witness));
        let addr = lease.addr;
        let service = SmolStr::from(service);
        let report = Box::new(move |report| {
            let asked_for = Asked {
                service: &service,
                version: &version,
                route: &route,
                key: lease.key,
                digest: key.0,
            };
            witness.reported(asked_for, report, asked.elapsed());
            tell(&router, lease.key, report, asked);
            drop(lease);
        });
        Some(ChosenTarget { addr, report })
    })
}

fn keys(router: &Router, addrs: &[SocketAddr]) -> Vec<TargetKey> {
    addrs.iter().filter_map(|a| router.key_at(*a)).collect()
}

fn tell(router: &Router, key: TargetKey, report: TargetResult, asked: Instant) {
    match report {
        TargetResult::Answered(_) => router.mark_alive(key, asked),
        TargetResult::Unreachable => router.mark_dead(key, Instant::now()),
        TargetResult::Lost => router.mark_suspect(key, Instant::now()),
        TargetResult::Unused => {}
    }
}
