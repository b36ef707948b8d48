//! Handlers for moves of traffic between versions: list, show, start and withdraw.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::{Extension, Json};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use super::answer::ApiError;
use super::auth::Operator;
use super::event::unix_ms;
use super::object::{Base, Changed, Item, Items, Outcome, decode, find, items, no_faults};
use super::{Shared, check};
use crate::rollout::{Move, Phase};

const MOVE: &str = "move";

/// A move that an operator requests.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// New version.
    pub to: SmolStr,
    /// Time in milliseconds until the move must be done.
    pub finish_in_ms: u64,
    /// Largest share of requests on the new version before the move is done, above 0 and at most 1.
    pub max_share: f64,
}

/// An operator's request to withdraw a move.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdraw {
    /// Reason, in one sentence.
    #[serde(default)]
    pub reason: SmolStr,
}

pub(crate) async fn list(State(context): Shared) -> Json<Items<Move>> {
    let view = context.store.view();
    Json(items(view.rev, &view.moves))
}

pub(crate) async fn show(
    State(context): Shared,
    Path(service): Path<SmolStr>,
) -> Outcome<Item<Move>> {
    find(&context.store.view().moves, MOVE, &service)
}

/// Starts a move; `base` is the revision of the service's last move, or 0 if there was none.
pub(crate) async fn start(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path(service): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let requested: Start = decode(body).await?;
    let view = context.store.view();
    match view.moves.get(&service) {
        Some(last) if !last.value.phase.is_final() => {
            let present = json!({ "name": service, "rev": last.rev, "value": last.value });
            return Err(ApiError::conflict(json!(requested), present));
        }
        _ => {}
    }
    no_faults(check::start(&service, &requested, &view))?;
    let from = check::version_in_force(&service, &view).unwrap_or_default();
    let now = unix_ms();
    let id = nonce();
    let finish = now.saturating_add(requested.finish_in_ms);
    let value = Move::new(
        &id,
        &service,
        &from,
        &requested.to,
        now,
        finish,
        requested.max_share,
    );
    context.put(&operator, MOVE, service, &value, base).await
}

/// Withdraws a running move; `base` is its revision.
pub(crate) async fn withdraw(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path(service): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let requested: Withdraw = decode(body).await?;
    let view = context.store.view();
    let Some(last) = view.moves.get(&service) else {
        return Err(ApiError::not_found(MOVE, &service));
    };
    let value = withdrawn(&last.value, &operator.0, &requested.reason);
    if last.rev != base || last.value.phase.is_final() {
        let present = json!({ "name": service, "rev": last.rev, "value": last.value });
        return Err(ApiError::conflict(json!(value), present));
    }
    context.put(&operator, MOVE, service, &value, base).await
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

/// Largest time that a move may take.
pub(crate) const MAX_FINISH: Duration = Duration::from_secs(30 * 24 * 3600);
