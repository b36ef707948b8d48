//! Services, their versions, and accounts.

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

use super::answer::Refusal;
use super::auth::Operator;
use super::{Fault, Parts, Shared, change, check};
use crate::config::{Account, Revised, Service, Version, View};
use crate::http::{BodyError, read_body};
use crate::platform::VALUE_LIMIT;

pub(crate) const SERVICE: &str = "service";
const ACCOUNT: &str = "account";

/// The revision that a change is based on; 0 when the object must not exist yet.
#[derive(Debug, Deserialize)]
pub(crate) struct Base {
    base: Option<u64>,
}

/// One object.
#[derive(Debug, Serialize)]
pub(crate) struct Item<T> {
    pub(crate) name: SmolStr,
    pub(crate) rev: u64,
    pub(crate) value: Arc<T>,
}

/// Objects, with the revision that is in force.
#[derive(Debug, Serialize)]
pub(crate) struct Items<T> {
    pub(crate) rev: u64,
    pub(crate) items: Vec<Item<T>>,
}

/// A change that was taken.
#[derive(Debug, Serialize)]
pub(crate) struct Changed {
    pub(crate) name: SmolStr,
    pub(crate) rev: u64,
}

pub(crate) type Outcome<T> = Result<Json<T>, Refusal>;

/// Time that an operator may take to send a body.
const RECEIVE: Duration = Duration::from_secs(10);

pub(crate) async fn services(State(parts): Shared) -> Json<Items<Service>> {
    let view = parts.store.view();
    let mut all = items(view.rev, &view.services);
    for item in &mut all.items {
        fold(item, &view);
    }
    Json(all)
}

/// Shows the version that the last move left in force, so that an edit of what was read keeps it.
fn fold(item: &mut Item<Service>, view: &View) {
    match check::version_in_force(&item.name, view) {
        Some(version) if version != item.value.version => {
            Arc::make_mut(&mut item.value).version = version;
        }
        _ => {}
    }
}

pub(crate) async fn service(
    State(parts): Shared,
    Path(name): Path<SmolStr>,
) -> Outcome<Item<Service>> {
    let view = parts.store.view();
    let mut found = find(&view.services, SERVICE, &name)?;
    fold(&mut found, &view);
    Ok(found)
}

pub(crate) async fn put_service(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let value: Service = decode(body).await?;
    no_faults(faults(&name, &value, &parts.store.view()))?;
    parts.put(&operator, SERVICE, name, &value, base).await
}

pub(crate) async fn delete_service(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
) -> Outcome<Changed> {
    let base = base.rev()?;
    no_faults(check::deletion(&name, &parts.store.view()))?;
    parts.delete(&operator, SERVICE, name, base).await
}

/// Adds or changes a version; `base` is the service's revision.
pub(crate) async fn put_version(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path((name, version)): Path<(SmolStr, SmolStr)>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let value: Version = decode(body).await?;
    let mut service = parts.based_on(&name, base)?;
    service.versions.insert(version, value);
    no_faults(faults(&name, &service, &parts.store.view()))?;
    parts.put(&operator, SERVICE, name, &service, base).await
}

pub(crate) async fn delete_version(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path((name, version)): Path<(SmolStr, SmolStr)>,
    Query(base): Query<Base>,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let mut service = parts.based_on(&name, base)?;
    if service.versions.shift_remove(&version).is_none() {
        return Err(Refusal::not_found("version", &version));
    }
    no_faults(faults(&name, &service, &parts.store.view()))?;
    parts.put(&operator, SERVICE, name, &service, base).await
}

pub(crate) async fn accounts(State(parts): Shared) -> Json<Items<Account>> {
    let view = parts.store.view();
    Json(items(view.rev, &view.accounts))
}

pub(crate) async fn account(
    State(parts): Shared,
    Path(name): Path<SmolStr>,
) -> Outcome<Item<Account>> {
    find(&parts.store.view().accounts, ACCOUNT, &name)
}

pub(crate) async fn put_account(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
    body: Body,
) -> Outcome<Changed> {
    let base = base.rev()?;
    let mut value: Account = decode(body).await?;
    value.key_sha256 = value.key_sha256.to_ascii_lowercase().into();
    no_faults(check::account(&name, &value, &parts.store.view()))?;
    parts.put(&operator, ACCOUNT, name, &value, base).await
}

pub(crate) async fn delete_account(
    State(parts): Shared,
    Extension(operator): Extension<Operator>,
    Path(name): Path<SmolStr>,
    Query(base): Query<Base>,
) -> Outcome<Changed> {
    parts.delete(&operator, ACCOUNT, name, base.rev()?).await
}

impl Base {
    pub(crate) fn rev(&self) -> Result<u64, Refusal> {
        self.base.ok_or_else(|| {
            Refusal::new(
                StatusCode::BAD_REQUEST,
                "no_base",
                "name the revision that the change is based on as `?base=N`, 0 for a new object",
            )
        })
    }
}

impl Parts {
    /// The service in force, if it has revision `base`, with the outcome of its last move.
    fn based_on(&self, name: &str, base: u64) -> Result<Service, Refusal> {
        let view = self.store.view();
        match view.services.get(name) {
            None => Err(Refusal::not_found(SERVICE, name)),
            Some(found) if found.rev != base => Err(Refusal::conflict(
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
        self.tell(operator, "changed", kind, &name, rev);
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
        self.tell(operator, "deleted", kind, &name, rev);
        Ok(Json(Changed { name, rev }))
    }

    fn tell(&self, operator: &Operator, verb: &str, kind: &str, name: &str, rev: u64) {
        let who = operator.0.as_str();
        info!(self.log, "admin: {verb} {kind} {name}"; "operator" => who, "rev" => rev);
        self.events.add(kind, name, rev, format!("{verb} by {who}"));
    }
}

pub(crate) async fn decode<T: DeserializeOwned>(body: Body) -> Result<T, Refusal> {
    let read = read_body(body, VALUE_LIMIT);
    let bytes = match tokio::time::timeout(RECEIVE, read).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            let status = match error {
                BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::Broken => StatusCode::BAD_REQUEST,
            };
            return Err(Refusal::new(status, "bad_body", error.to_string()));
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            return Err(Refusal::new(
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
        Refusal::findings(vec![fault])
    })
}

fn faults(name: &str, service: &Service, view: &View) -> Vec<Fault> {
    let mut faults = check::service(name, service);
    faults.extend(check::moved(name, service, view));
    faults
}

pub(crate) fn no_faults(faults: Vec<Fault>) -> Result<(), Refusal> {
    match faults.is_empty() {
        true => Ok(()),
        false => Err(Refusal::findings(faults)),
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
    what: &str,
    name: &str,
) -> Outcome<Item<T>> {
    match all.get(name) {
        Some(found) => Ok(Json(item(name, found))),
        None => Err(Refusal::not_found(what, name)),
    }
}
