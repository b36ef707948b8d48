//! Gives orders to targets while this instance holds a service's lease.

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

/// Time between two looks at leases.
const TICK: Duration = Duration::from_millis(500);

/// Ticks between two readings of the targets' states.
const CORRECTION: u64 = 4;

/// Instances that try to hold a service's lease.
const CANDIDATES: usize = 2;

/// Targets that are read or ordered at once.
const TARGETS_AT_ONCE: usize = 8;

/// Longest wait for a target's state.
const STATE_LIMIT: Duration = Duration::from_secs(1);

/// One service's lease at this instance, and the last write of it.
#[derive(Debug, Default)]
struct Post {
    lease: Lease,
    nonce: SmolStr,
    sent: Option<Instant>,
}

impl Instance {
    pub(super) async fn command_targets(self: Arc<Self>) {
        let mut posts: IndexMap<SmolStr, Post> = IndexMap::new();
        let mut budget = LoadBudget::new(Instant::now());
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0_u64;
        loop {
            ticks.tick().await;
            count += 1;
            let view = self.config.view();
            posts.retain(|service, _| view.services.contains_key(service));
            for (name, service) in &view.services {
                if service.value.kind != Kind::Generation || !self.is_candidate(name) {
                    posts.swap_remove(name);
                    continue;
                }
                let post = posts.entry(name.clone()).or_default();
                self.keep_lease(name, post).await;
                if count.is_multiple_of(CORRECTION) {
                    self.correct(name, service, post, &mut budget).await;
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

    async fn keep_lease(&self, service: &str, post: &mut Post) {
        match post.lease.step(Instant::now()) {
            Step::Wait => {}
            Step::Read => self.read_lease(service, post).await,
            Step::Write(rev) => self.write_lease(service, post, rev).await,
        }
    }

    async fn write_lease(&self, service: &str, post: &mut Post, rev: u64) {
        post.nonce = format_smolstr!("{:032x}", rand::random::<u128>());
        let sent = Instant::now();
        post.sent = Some(sent);
        let value = LeaseObject {
            holder: self.settings.instance.name.clone(),
            nonce: post.nonce.clone(),
        };
        let expect = match rev {
            0 => Expect::Absent,
            rev => Expect::Rev(rev),
        };
        match self.platform.put(KIND, service, &value, expect).await {
            Ok(rev) => post.lease.written(rev, sent, Instant::now()),
            Err(Error::Conflict(present)) => observe(post, present.as_deref()),
            Err(Error::Unknown(_)) => self.read_lease(service, post).await,
            Err(_) => {}
        }
    }

    async fn read_lease(&self, service: &str, post: &mut Post) {
        if let Ok(present) = self.platform.get(KIND, service).await {
            observe(post, present.as_ref());
        }
    }

    /// Compares the targets of a service with what they should have loaded and orders the rest.
    async fn correct(
        &self,
        name: &str,
        service: &Revised<Service>,
        post: &mut Post,
        budget: &mut LoadBudget,
    ) {
        let checked = service.value.fencing == Fencing::Checked;
        if post.lease.fence(Instant::now(), checked).is_none() {
            return;
        }
        let roster = self.fleet.roster();
        let targets = roster.targets.iter();
        let targets = targets.filter(|t| t.service == name && !t.leaving);
        let targets: Vec<_> = targets.cloned().collect();
        for (target, loaded) in self.states(targets).await {
            for order in missing(&service.value, &target.version, &loaded) {
                let now = Instant::now();
                let Some(fence) = post.lease.fence(now, checked) else {
                    return;
                };
                if order.loads() && !budget.try_take(now) {
                    return;
                }
                if !self.order(&target, fence, &order).await {
                    return post.lease.refused();
                }
                self.keep_lease(name, post).await;
            }
        }
    }

    /// The states of those targets that answer.
    async fn states(&self, targets: Vec<Target>) -> Vec<(Target, Loaded)> {
        let slots = Arc::new(Semaphore::new(TARGETS_AT_ONCE));
        let mut reads = JoinSet::new();
        for target in targets {
            let (client, slots) = (self.client.clone(), Arc::clone(&slots));
            reads.spawn(async move {
                let _slot = slots.acquire_owned().await.ok()?;
                let state = loaded(&client, &target).await?;
                Some((target, state))
            });
        }
        reads.join_all().await.into_iter().flatten().collect()
    }

    /// Sends an order; `false` when the target has seen a higher fencing number.
    async fn order(&self, target: &Target, fence: u64, order: &Order) -> bool {
        let url = format!("http://{}/v1/orders", target.addr);
        let body = serde_json::json!({ "fence": fence, "order": order }).to_string();
        let ask = request(Method::POST, &url, body);
        let answer = self.client.send(Via::Fresh, ask, ORDER_LIMIT).await;
        let target = target.name.as_str();
        match answer {
            Ok(answer) if answer.status == StatusCode::CONFLICT => {
                warn!(self.log, "orders: refused for its fencing number"; "target" => target,
                    "fence" => fence);
                false
            }
            Ok(_) => {
                info!(self.log, "orders: given"; "target" => target, "fence" => fence,
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
    let ask = request(Method::GET, &url, "");
    let answer = client.send(Via::Pool, ask, STATE_LIMIT).await.ok()?;
    answer.json().ok()
}

fn observe(post: &mut Post, present: Option<&Object>) {
    let now = Instant::now();
    let Some(object) = present else {
        return post.lease.observe(0, None, now);
    };
    let value = object.decode::<LeaseObject>().ok();
    let mine = value.filter(|v| v.nonce == post.nonce).and(post.sent);
    post.lease.observe(object.rev, mine, now);
}
