//! Moves of traffic: start, withdraw, read.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::{Extension, Json};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use super::answer::Refusal;
use super::auth::Operator;
use super::event::unix_ms;
use super::object::{Base, Changed, Item, Items, Outcome, decode, find, items, no_faults};
use super::{Shared, check};
use crate::rollout::{Move, Phase};

const MOVE: &str = "move";

/// A move that an operator asks for.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// New version.
    pub to: SmolStr,
    /// Milliseconds from now by which it must be done.
    pub finish_in_ms: u64,
    /// Largest share of requests before it is done, above 0 and at most 1.
    pub max_share: f64,
}

/// Why an operator withdraws a move.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdraw {
    /// One sentence.
    #[serde(default)]
    pub reason: SmolStr,
}

pub(crate) async fn list(State(parts): Shared) -> Json<Items<Move>> {
    let view = parts.store.view();
    Json(items(view.rev, &view.moves))
}

pub(crate) async fn show(
    State(parts): Shared,
    Path(service): Path<SmolStr>,
) -> Outcome<Item<Move>> {
    find(&parts.store.view().moves, MOVE, &service)
}

/// Starts a move; `base` is the revision of the service's last move, 0 when it had none.
pub(crate) async fn start(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path(service): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let asked: Start = decode(body).await?;
    let view = parts.store.view();
    match view.moves.get(&service) {
        Some(last) if !last.value.phase.is_final() => {
            let present = json!({ "name": service, "rev": last.rev, "value": last.value });
            return Err(Refusal::conflict(json!(asked), present));
        }
        _ => {}
    }
    no_faults(check::start(&service, &asked, &view))?;
    let from = check::version_in_force(&service, &view).unwrap_or_default();
    let now = unix_ms();
    let id = nonce();
    let finish = now.saturating_add(asked.finish_in_ms);
    let value = Move::new(
        &id,
        &service,
        &from,
        &asked.to,
        now,
        finish,
        asked.max_share,
    );
    parts.put(&operator, MOVE, service, &value, base).await
}

/// Takes a running move back; `base` is its revision.
pub(crate) async fn withdraw(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path(service): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let asked: Withdraw = decode(body).await?;
    let view = parts.store.view();
    let Some(last) = view.moves.get(&service) else {
        return Err(Refusal::not_found(MOVE, &service));
    };
    let value = withdrawn(&last.value, &operator.0, &asked.reason);
    if last.rev != base || last.value.phase.is_final() {
        let present = json!({ "name": service, "rev": last.rev, "value": last.value });
        return Err(Refusal::conflict(json!(value), present));
    }
    parts.put(&operator, MOVE, service, &value, base).await
}

fn withdrawn(last: &Move, operator: &str, reason: &str) -> Move {
    let reason = match reason {
        "" => format_smolstr!("withdrawn by {operator}"),
        reason => format_smolstr!("withdrawn by {operator}: {reason}"),
    };
    Move {
        phase: Phase::Withdrawn,
        changed: unix_ms(),
        reason,
        nonce: nonce(),
        ..last.clone()
    }
}

fn nonce() -> SmolStr {
    format_smolstr!("{:032x}", rand::random::<u128>())
}

/// Longest time that a move may be given.
pub(crate) const MAX_FINISH: Duration = Duration::from_secs(30 * 24 * 3600);
