//! Brings targets to their desired state by orders, while this instance holds the service's lease.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use indexmap::IndexMap;
use slog::{info, warn};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::Instance;
use crate::config::{Fencing, Kind, Revised, Service};
use crate::fleet::{
    Lease, LeaseObject, LoadBudget, Loaded, ORDER_LIMIT, Order, Step, Target, missing,
};
use crate::http::{Client, Via, request};
use crate::ident::{digest, rendezvous};
use crate::platform::{Error, Expect, Object};

const KIND: &str = "lease";

/// Time between checks of leases.
const TICK: Duration = Duration::from_millis(500);

/// Ticks between reads of the targets' states.
const CORRECTION_TICKS: u64 = 4;

/// Number of instances that contend for a service's lease.
const CANDIDATES: usize = 2;

/// Limit of concurrent state reads.
const STATE_READS_MAX: usize = 8;

/// Timeout of a state read.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// This instance's view of a service's lease, and its own last write of it.
#[derive(Debug, Default)]
struct LeaseState {
    lease: Lease,
    nonce: SmolStr,
    sent: Option<Instant>,
}

impl Instance {
    pub(super) async fn command_targets(self: Arc<Self>) {
        let mut leases: IndexMap<SmolStr, LeaseState> = IndexMap::new();
        let mut budget = LoadBudget::new(Instant::now());
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0_u64;
        loop {
            ticks.tick().await;
            count += 1;
            let view = self.config.view();
            leases.retain(|service, _| view.services.contains_key(service));
            for (name, service) in &view.services {
                if service.value.kind != Kind::Generation || !self.is_candidate(name) {
                    leases.swap_remove(name);
                    continue;
                }
                let state = leases.entry(name.clone()).or_default();
                self.maintain_lease(name, state).await;
                if count.is_multiple_of(CORRECTION_TICKS) {
                    self.correct(name, service, state, &mut budget).await;
                }
            }
        }
    }

    fn is_candidate(&self, service: &str) -> bool {
        let alive = self.peers.alive();
        let me = self.settings.instance.name.as_str();
        let names = alive.iter().map(|m| m.name.as_str()).chain([me]);
        let order = rendezvous(digest(&["lease", service]), names);
        order.iter().take(CANDIDATES).any(|name| *name == me)
    }

    async fn maintain_lease(&self, service: &str, state: &mut LeaseState) {
        match state.lease.step(Instant::now()) {
            Step::Wait => {}
            Step::Read => self.read_lease(service, state).await,
            Step::Write(rev) => self.write_lease(service, state, rev).await,
        }
    }

    async fn write_lease(&self, service: &str, state: &mut LeaseState, rev: u64) {
        state.nonce = format_smolstr!("{:032x}", rand::random::<u128>());
        let sent = Instant::now();
        state.sent = Some(sent);
        let value = LeaseObject {
            holder: self.settings.instance.name.clone(),
            nonce: state.nonce.clone(),
        };
        let expect = match rev {
            0 => Expect::Absent,
            rev => Expect::Rev(rev),
        };
        match self.platform.put(KIND, service, &value, expect).await {
            Ok(rev) => state.lease.written(rev, sent, Instant::now()),
            Err(Error::Conflict(present)) => observe(state, present.as_deref()),
            Err(Error::Unknown(_)) => self.read_lease(service, state).await,
            Err(_) => {}
        }
    }

    async fn read_lease(&self, service: &str, state: &mut LeaseState) {
        if let Ok(present) = self.platform.get(KIND, service).await {
            observe(state, present.as_ref());
        }
    }

    /// Compares the service's targets with their desired state and sends the missing orders.
    async fn correct(
        &self,
        name: &str,
        service: &Revised<Service>,
        state: &mut LeaseState,
        budget: &mut LoadBudget,
    ) {
        let checked = service.value.fencing == Fencing::Checked;
        if state.lease.fence(Instant::now(), checked).is_none() {
            return;
        }
        let roster = self.fleet.roster();
        let targets = roster.targets.iter();
        let targets = targets.filter(|t| t.service == name && !t.leaving);
        let targets: Vec<_> = targets.cloned().collect();
        for (target, loaded) in self.states(targets).await {
            for order in missing(&service.value, &target.version, &loaded) {
                let now = Instant::now();
                let Some(fence) = state.lease.fence(now, checked) else {
                    return;
                };
                if order.loads() && !budget.try_take(now) {
                    return;
                }
                if !self.order(&target, fence, &order).await {
                    return state.lease.refused();
                }
                self.maintain_lease(name, state).await;
            }
        }
    }

    /// Reads the states of the targets; those that do not answer are left out.
    async fn states(&self, targets: Vec<Target>) -> Vec<(Target, Loaded)> {
        let slots = Arc::new(Semaphore::new(STATE_READS_MAX));
        let mut reads = JoinSet::new();
        for target in targets {
            let (client, slots) = (self.client.clone(), Arc::clone(&slots));
            reads.spawn(async move {
                let _slot = slots.acquire_owned().await.ok()?;
                let loaded = loaded(&client, &target).await?;
                Some((target, loaded))
            });
        }
        reads.join_all().await.into_iter().flatten().collect()
    }

    /// Sends an order. Returns `false` if the target has seen a higher fencing number.
    async fn order(&self, target: &Target, fence: u64, order: &Order) -> bool {
        let url = format!("http://{}/v1/orders", target.addr);
        let body = serde_json::json!({ "fence": fence, "order": order }).to_string();
        let request = request(Method::POST, &url, body);
        let answer = self.client.send(Via::Fresh, request, ORDER_LIMIT).await;
        let target = target.name.as_str();
        match answer {
            Ok(answer) if answer.status == StatusCode::CONFLICT => {
                warn!(self.log, "orders: rejected for a stale fencing number"; "target" => target,
                    "fence" => fence);
                false
            }
            Ok(_) => {
                info!(self.log, "orders: sent"; "target" => target, "fence" => fence,
                    "op" => ?order.op, "name" => order.name.as_str());
                true
            }
            Err(e) => {
                warn!(self.log, "orders: no answer"; "target" => target, "error" => %e);
                true
            }
        }
    }
}

async fn loaded(client: &Client, target: &Target) -> Option<Loaded> {
    let url = format!("http://{}/v1/state", target.addr);
    let request = request(Method::GET, &url, "");
    let answer = client.send(Via::Pool, request, STATE_TIMEOUT).await.ok()?;
    answer.json().ok()
}

fn observe(state: &mut LeaseState, present: Option<&Object>) {
    let now = Instant::now();
    let Some(object) = present else {
        return state.lease.observe(0, None, now);
    };
    let value = object.decode::<LeaseObject>().ok();
    let mine = value.filter(|v| v.nonce == state.nonce).and(state.sent);
    state.lease.observe(object.rev, mine, now);
}
