//! What an instance knows of itself, its peers and its targets.

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
    /// `live`, `leaving` or `silent`.
    pub state: SmolStr,
    /// Configuration revision in force there; none when it has not said.
    pub rev: Option<u64>,
    /// Milliseconds since it was last heard of.
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
    /// `live`, `leaving` or `lost`.
    pub state: SmolStr,
    /// Requests of this instance that it runs; none when that is not known.
    pub running: Option<u64>,
}

/// What an instance knows of others.
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

pub(crate) async fn show(State(parts): Shared) -> Json<Status> {
    let view = parts.store.view();
    Json(Status {
        instance: parts.instance.name.clone(),
        domain: parts.instance.domain.clone(),
        region: parts.instance.region.clone(),
        ready: (parts.ready)(),
        rev: view.rev,
        services: view.services.len(),
        accounts: view.accounts.len(),
        platform: parts.platform.calls().counts(),
        fleet: (parts.fleet)(),
    })
}
