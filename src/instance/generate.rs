//! Joins generations with routing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Instance;
use super::witness::Witness;
use crate::admission::Budget;
use crate::config::Account;
use crate::failure::Failure;
use crate::fleet::Fleet;
use crate::generation::{Choice, Hooks, Lease, Loss, Observation, Reader, Start, Target};
use crate::ident::TargetKey;
use crate::routing::{Query, Router};
use crate::settings::Identity;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a prompt that decide where its cached prefix is looked for.
const PREFIX_BYTES: usize = 256;

/// When a caller should come back after no target could be found.
const NO_TARGET_WAIT: Duration = Duration::from_secs(1);

/// Bytes on the wire for each token of an answer.
const TOKEN_BYTES: u64 = 24;

impl Instance {
    /// Opens a generation for reading after token `last`.
    ///
    /// # Errors
    /// When it is refused or its key belongs to another request.
    pub(crate) async fn generate(
        &self,
        start: Start,
        last: Option<u64>,
        _account: &Account,
    ) -> Result<Reader, Failure> {
        self.generations.open(start, last).await
    }
}

/// The closures through which generations reach the fleet.
pub(super) fn hooks(
    identity: &Identity,
    fleet: &Arc<Fleet>,
    router: &Arc<Router>,
    budget: &Arc<Budget>,
    witness: &Arc<Witness>,
) -> Hooks {
    let chooser = Chooser {
        identity: identity.clone(),
        fleet: Arc::clone(fleet),
        router: Arc::clone(router),
        witness: Arc::clone(witness),
    };
    let witness = Arc::clone(witness);
    let (fleet, router, budget) = (Arc::clone(fleet), Arc::clone(router), Arc::clone(budget));
    Hooks {
        choose: Box::new(move |choice| chooser.choose(choice)),
        observe: Box::new(move |start, target, seen| {
            if let Some(key) = fleet.key(&target.name) {
                witness.observed(start, key, seen);
                observe(&router, key, seen);
            }
        }),
        retry: Box::new(move |start| {
            budget.try_take(&start.account, &start.service, Instant::now())
        }),
    }
}

struct Chooser {
    identity: Identity,
    fleet: Arc<Fleet>,
    router: Arc<Router>,
    witness: Arc<Witness>,
}

impl Chooser {
    fn choose(&self, choice: &Choice<'_>) -> Result<Lease, Failure> {
        let start = choice.start;
        let excluded: Vec<_> = choice
            .excluded
            .iter()
            .filter_map(|name| self.fleet.key(name))
            .collect();
        let head = start.prompt.len().min(PREFIX_BYTES);
        let query = Query {
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
            self.witness.unserved(start);
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

fn no_target(start: &Start) -> Failure {
    let text = format!("no target of {} takes work now", start.service);
    Failure::not_run(503, "no_target", text).retry_after(NO_TARGET_WAIT)
}

fn observe(router: &Router, key: TargetKey, seen: Observation) {
    let now = Instant::now();
    match seen {
        Observation::Lost(Loss::Crashed | Loss::Unsent) => router.mark_dead(key, now),
        Observation::Lost(_) => router.mark_suspect(key, now),
        Observation::FirstToken(took) => router.mark_alive(key, now - took),
        _ => {}
    }
}
