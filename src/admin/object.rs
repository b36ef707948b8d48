//! Handlers for services, their versions, and accounts.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::{Extension, Json};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::info;
use smol_str::SmolStr;

use super::answer::ApiError;
use super::auth::Operator;
use super::{Context, Fault, Shared, change, check};
use crate::config::{Account, Revised, Service, Version, View};
use crate::http::{BodyError, read_body};
use crate::platform::VALUE_LIMIT;

pub(crate) const SERVICE: &str = "service";
const ACCOUNT: &str = "account";

/// Query parameter with the revision that a change is based on; 0 if the object must not exist.
#[derive(Debug, Deserialize)]
pub(crate) struct Base {
    base: Option<u64>,
}

/// An object with its name and revision.
#[derive(Debug, Serialize)]
pub(crate) struct Item<T> {
    pub(crate) name: SmolStr,
    pub(crate) rev: u64,
    pub(crate) value: Arc<T>,
}

/// A list of objects with the revision in force.
#[derive(Debug, Serialize)]
pub(crate) struct Items<T> {
    pub(crate) rev: u64,
    pub(crate) items: Vec<Item<T>>,
}

/// An accepted change.
#[derive(Debug, Serialize)]
pub(crate) struct Changed {
    pub(crate) name: SmolStr,
    pub(crate) rev: u64,
}

pub(crate) type Outcome<T> = Result<Json<T>, ApiError>;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) async fn services(State(context): Shared) -> Json<Items<Service>> {
    let view = context.store.view();
    let mut all = items(view.rev, &view.services);
    for item in &mut all.items {
        apply_last_move(item, &view);
    }
    Json(all)
}

/// Replaces the stored version by the one that the last move left in force, so that an edit based on
/// this answer keeps it.
fn apply_last_move(item: &mut Item<Service>, view: &View) {
    match check::version_in_force(&item.name, view) {
        Some(version) if version != item.value.version => {
            Arc::make_mut(&mut item.value).version = version;
        }
        _ => {}
    }
}

pub(crate) async fn service(
    State(context): Shared,
    Path(name): Path<SmolStr>,
) -> Outcome<Item<Service>> {
    let view = context.store.view();
    let mut found = find(&view.services, SERVICE, &name)?;
    apply_last_move(&mut found, &view);
    Ok(found)
}

pub(crate) async fn put_service(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let value: Service = decode(body).await?;
    no_faults(faults(&name, &value, &context.store.view()))?;
    context.put(&operator, SERVICE, name, &value, base).await
}

pub(crate) async fn delete_service(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
) -> Outcome<Changed> {
    let base = base.rev()?;
    no_faults(check::deletion(&name, &context.store.view()))?;
    context.delete(&operator, SERVICE, name, base).await
}

/// Adds or changes a version; `base` is the service's revision.
pub(crate) async fn put_version(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path((name, version)): Path<(SmolStr, SmolStr)>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let value: Version = decode(body).await?;
    let mut service = context.based_on(&name, base)?;
    service.versions.insert(version, value);
    no_faults(faults(&name, &service, &context.store.view()))?;
    context.put(&operator, SERVICE, name, &service, base).await
}

pub(crate) async fn delete_version(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path((name, version)): Path<(SmolStr, SmolStr)>,
    Query(base): Query<Base>,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let mut service = context.based_on(&name, base)?;
    if service.versions.shift_remove(&version).is_none() {
        return Err(ApiError::not_found("version", &version));
    }
    no_faults(faults(&name, &service, &context.store.view()))?;
    context.put(&operator, SERVICE, name, &service, base).await
}

pub(crate) async fn accounts(State(context): Shared) -> Json<Items<Account>> {
    let view = context.store.view();
    Json(items(view.rev, &view.accounts))
}

pub(crate) async fn account(
    State(context): Shared,
    Path(name): Path<SmolStr>,
) -> Outcome<Item<Account>> {
    find(&context.store.view().accounts, ACCOUNT, &name)
}

pub(crate) async fn put_account(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let mut value: Account = decode(body).await?;
    value.key_sha256 = value.key_sha256.to_ascii_lowercase().into();
    no_faults(check::account(&name, &value, &context.store.view()))?;
    context.put(&operator, ACCOUNT, name, &value, base).await
}

pub(crate) async fn delete_account(
    State(context): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
) -> Outcome<Changed> {
    context.delete(&operator, ACCOUNT, name, base.rev()?).await
}

impl Base {
    pub(crate) fn rev(&self) -> Result<u64, ApiError> {
        self.base.ok_or_else(|| {
            ApiError::new(
                StatusCode::BAD_REQUEST,
                "no_base",
                "name the revision that the change is based on as `?base=N`, 0 for a new object",
            )
        })
    }
}

impl Context {
    /// The service in force with the version that its last move left in force, if the service has
    /// revision `base`.
    fn based_on(&self, name: &str, base: u64) -> Result<Service, ApiError> {
        let view = self.store.view();
        match view.services.get(name) {
            None => Err(ApiError::not_found(SERVICE, name)),
            Some(found) if found.rev != base => Err(ApiError::conflict(
                json!({ "rev": base }),
                json!(item(name, found)),
            )),
            Some(found) => Ok(Service {
                version: check::version_in_force(name, &view).unwrap_or_default(),
                ..Service::clone(&found.value)
            }),
        }
    }

    pub(crate) async fn put<T: Serialize>(
        &self,
        operator: &Operator,
        kind: &str,
        name: SmolStr,
        value: &T,
        base: u64,
    ) -> Outcome<Changed> {
        let rev = change::put(&self.platform, kind, &name, value, base).await?;
        self.store.apply(kind, &name, rev, Some(&json!(value)));
        self.record_change(operator, "changed", kind, &name, rev);
        Ok(Json(Changed { name, rev }))
    }

    async fn delete(
        &self,
        operator: &Operator,
        kind: &str,
        name: SmolStr,
        base: u64,
    ) -> Outcome<Changed> {
        let rev = change::delete(&self.platform, kind, &name, base).await?;
        self.store.apply(kind, &name, rev, None);
        self.record_change(operator, "deleted", kind, &name, rev);
        Ok(Json(Changed { name, rev }))
    }

    fn record_change(&self, operator: &Operator, verb: &str, kind: &str, name: &str, rev: u64) {
        let who = operator.0.as_str();
        info!(self.log, "admin: {verb} {kind} {name}"; "operator" => who, "rev" => rev);
        self.events.add(kind, name, rev, format!("{verb} by {who}"));
    }
}

pub(crate) async fn decode<T: DeserializeOwned>(body: Body) -> Result<T, ApiError> {
    let read = read_body(body, VALUE_LIMIT);
    let bytes = match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            let status = match error {
                BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::Broken => StatusCode::BAD_REQUEST,
            };
            return Err(ApiError::new(status, "bad_body", error.to_string()));
        }
        Err(_) => {
            let message = "the request body was not received in time";
            return Err(ApiError::new(
                StatusCode::REQUEST_TIMEOUT,
                "slow_request",
                message,
            ));
        }
    };
    serde_json::from_slice(&bytes).map_err(|error| {
        let fault = Fault::new(
            "",
            error.to_string(),
            "a JSON object as in docs/interfaces.md",
        );
        ApiError::findings(vec![fault])
    })
}

fn faults(name: &str, service: &Service, view: &View) -> Vec<Fault> {
    let mut faults = check::service(name, service);
    faults.extend(check::against_move(name, service, view));
    faults
}

pub(crate) fn no_faults(faults: Vec<Fault>) -> Result<(), ApiError> {
    match faults.is_empty() {
        true => Ok(()),
        false => Err(ApiError::findings(faults)),
    }
}

pub(crate) fn items<T>(rev: u64, all: &IndexMap<SmolStr, Revised<T>>) -> Items<T> {
    let mut items: Vec<_> = all.iter().map(|(name, found)| item(name, found)).collect();
    items.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    Items { rev, items }
}

fn item<T>(name: &str, found: &Revised<T>) -> Item<T> {
    Item {
        name: name.into(),
        rev: found.rev,
        value: Arc::clone(&found.value),
    }
}

pub(crate) fn find<T>(
    all: &IndexMap<SmolStr, Revised<T>>,
    kind: &str,
    name: &str,
) -> Outcome<Item<T>> {
    match all.get(name) {
        Some(found) => Ok(Json(item(name, found))),
        None => Err(ApiError::not_found(kind, name)),
    }
}
