//! Status of the instance, its peers and its targets.

use axum::Json;
use axum::extract::State;
use serde::Serialize;
use smol_str::SmolStr;

use super::Shared;
use crate::platform::Counts;

/// Another instance, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InstanceStatus {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// `live`, `leaving`, `dead`, `silent`, `wrong key`, `other version` or `unknown`.
    pub state: SmolStr,
    /// Configuration revision in force there; `None` if it has not been reported.
    pub rev: Option<u64>,
    /// Milliseconds since the last heartbeat; `None` if unknown.
    pub age_ms: Option<u64>,
}

/// A target, as this instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetStatus {
    /// Name.
    pub name: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Version.
    pub version: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// `live` or `leaving`.
    pub state: SmolStr,
    /// Number of this instance's requests running on it; `None` if unknown.
    pub running: Option<u64>,
}

/// An instance's view of all instances and targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Fleet {
    /// Entry instances, this one included.
    pub instances: Vec<InstanceStatus>,
    /// Targets.
    pub targets: Vec<TargetStatus>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Status {
    instance: SmolStr,
    domain: SmolStr,
    region: SmolStr,
    ready: bool,
    rev: u64,
    services: usize,
    accounts: usize,
    platform: Counts,
    #[serde(flatten)]
    fleet: Fleet,
}

pub(crate) async fn show(State(context): Shared) -> Json<Status> {
    let view = context.store.view();
    Json(Status {
        instance: context.instance.name.clone(),
        domain: context.instance.domain.clone(),
        region: context.instance.region.clone(),
        ready: (context.ready)(),
        rev: view.rev,
        services: view.services.len(),
        accounts: view.accounts.len(),
        platform: context.platform.calls().counts(),
        fleet: (context.fleet)(),
    })
}
