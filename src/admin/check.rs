//! Validation of configuration changes. The checks are pure and report all faults at once.

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use super::moves::{MAX_FINISH, Start};
use crate::config::{Account, Kind, Repeat, Route, Service, View};
use crate::rollout::Phase;
use crate::settings::value;

/// Largest response timeout that a service may set, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Largest weight that an account may have.
const MAX_WEIGHT: u32 = 10_000;

const NAME: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

/// One validation fault of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Path of the field, such as `routes.0.path`; empty for the whole object.
    pub at: SmolStr,
    /// What is wrong.
    pub message: SmolStr,
    /// Accepted values.
    pub allowed: SmolStr,
}

impl Fault {
    pub(crate) fn new(
        at: impl Into<SmolStr>,
        message: impl Into<SmolStr>,
        allowed: impl Into<SmolStr>,
    ) -> Self {
        Self {
            at: at.into(),
            message: message.into(),
            allowed: allowed.into(),
        }
    }
}

/// Checks a service on its own, without the rest of the configuration.
pub(crate) fn service(name: &str, service: &Service) -> Vec<Fault> {
    let mut faults = Vec::new();
    if value::name(name).is_none() {
        faults.push(Fault::new("", format!("bad service name `{name}`"), NAME));
    }
    if !service.versions.contains_key(&service.version) {
        let message = format!("version `{}` is not among the versions", service.version);
        let known: Vec<_> = service.versions.keys().map(SmolStr::as_str).collect();
        faults.push(Fault::new("version", message, known.join(", ")));
    }
    if !(1..=MAX_TIMEOUT_MS).contains(&service.timeout_ms) {
        let message = format!("bad timeout of {} ms", service.timeout_ms);
        faults.push(Fault::new("timeout_ms", message, "1 to 3600000"));
    }
    versions(service, &mut faults);
    match service.kind {
        Kind::Plain => routes(&service.routes, &mut faults),
        Kind::Generation if service.routes.is_empty() => {}
        Kind::Generation => faults.push(Fault::new(
            "routes",
            "a generation service has no routes",
            "no routes, or kind plain",
        )),
    }
    faults
}

fn versions(service: &Service, faults: &mut Vec<Fault>) {
    for (name, version) in &service.versions {
        if value::name(name).is_none() {
            let message = format!("bad version name `{name}`");
            faults.push(Fault::new(format!("versions.{name}"), message, NAME));
        }
        let at = format_smolstr!("versions.{name}.model");
        match (service.kind, version.model.as_str()) {
            (Kind::Generation, "") => {
                let message = format!("version `{name}` names no model");
                faults.push(Fault::new(at, message, "the model that its engines load"));
            }
            (Kind::Plain, model) if !model.is_empty() => {
                let message = format!("version `{name}` of a plain service names a model");
                faults.push(Fault::new(at, message, "no model"));
            }
            _ => {}
        }
    }
}

fn routes(routes: &[Route], faults: &mut Vec<Fault>) {
    for (i, route) in routes.iter().enumerate() {
        let at = |field: &str| format!("routes.{i}.{field}");
        let method = route.method.as_str();
        if method != "*" && (method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase())) {
            let message = format!("bad method `{method}`");
            faults.push(Fault::new(
                at("method"),
                message,
                "`*` or upper case, such as POST",
            ));
        }
        if !route.path.starts_with('/') {
            let message = format!("path `{}` does not begin with `/`", route.path);
            faults.push(Fault::new(
                at("path"),
                message,
                "a path prefix such as /deposits",
            ));
        }
        match route.status.as_deref() {
            Some(status) if !status.starts_with('/') => {
                let message = format!("status path `{status}` does not begin with `/`");
                faults.push(Fault::new(
                    at("status"),
                    message,
                    "a path such as /deposits/status",
                ));
            }
            Some(_) if route.repeat == Repeat::Safe => {
                let message = "a status path on a route that may be repeated";
                faults.push(Fault::new(
                    at("status"),
                    message,
                    "repeat never, or no status",
                ));
            }
            _ => {}
        }
        if let Some(earlier) = routes[..i]
            .iter()
            .position(|earlier| covers(earlier, route))
        {
            let message = format!("never reached: route {earlier} matches all its calls");
            faults.push(Fault::new(at("path"), message, "the narrower route first"));
        }
    }
}

fn covers(earlier: &Route, later: &Route) -> bool {
    let method = earlier.method == "*" || earlier.method == later.method;
    method && later.path.starts_with(earlier.path.as_str())
}

/// Checks an account against the accounts in force.
pub(crate) fn account(name: &str, account: &Account, view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    if value::name(name).is_none() {
        faults.push(Fault::new("", format!("bad account name `{name}`"), NAME));
    }
    match value::sha256(&account.key_sha256) {
        None => faults.push(Fault::new(
            "key_sha256",
            "not a digest",
            "64 hex digits: the SHA-256 of the key",
        )),
        Some(digest) => match view.keys.get(&digest) {
            Some(other) if other != name => {
                let message = format!("account `{other}` has the same key");
                faults.push(Fault::new(
                    "key_sha256",
                    message,
                    "one key for each account",
                ));
            }
            _ => {}
        },
    }
    if !(1..=MAX_WEIGHT).contains(&account.weight) {
        let message = format!("bad weight {}", account.weight);
        faults.push(Fault::new("weight", message, "1 to 10000"));
    }
    if account.concurrency == 0 {
        let message = "no request would ever be admitted";
        faults.push(Fault::new("concurrency", message, "1 or more"));
    }
    faults
}

/// The version that serves all requests of a service while no move is running.
pub(crate) fn version_in_force(service: &str, view: &View) -> Option<SmolStr> {
    let found = view.services.get(service)?;
    match view.moves.get(service) {
        Some(last) if last.rev < found.rev => Some(found.value.version.clone()),
        Some(last) if last.value.phase == Phase::Done => Some(last.value.to.clone()),
        Some(last) => Some(last.value.from.clone()),
        None => Some(found.value.version.clone()),
    }
}

/// Checks a changed service against its last move, so that an edit does not shift traffic
/// unintentionally.
pub(crate) fn against_move(name: &str, service: &Service, view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    let Some(last) = view.moves.get(name) else {
        return faults;
    };
    let running = !last.value.phase.is_final();
    let in_force = version_in_force(name, view).unwrap_or_default();
    if running && service.version != in_force {
        let message = format!(
            "the version cannot change while move {} runs",
            last.value.id
        );
        faults.push(Fault::new("version", message, in_force.as_str()));
    }
    let ended_after = |found: u64| !running && last.rev > found;
    let found = view.services.get(name).map_or(0, |found| found.rev);
    if ended_after(found) && service.version != in_force {
        let message = format!(
            "move {} has left the traffic on `{in_force}`",
            last.value.id
        );
        faults.push(Fault::new("version", message, in_force.as_str()));
    }
    for version in [&last.value.from, &last.value.to] {
        if running && !service.versions.contains_key(version) {
            let message = format!("version `{version}` is part of a running move");
            faults.push(Fault::new(
                format!("versions.{version}"),
                message,
                "kept until it ends",
            ));
        }
    }
    faults
}

/// Checks that a service may be deleted.
pub(crate) fn deletion(name: &str, view: &View) -> Vec<Fault> {
    match view.moves.get(name) {
        Some(last) if !last.value.phase.is_final() => {
            let message = format!("move {} runs", last.value.id);
            vec![Fault::new("", message, "withdraw the move first")]
        }
        _ => Vec::new(),
    }
}

/// Checks a move that an operator requests.
pub(crate) fn start(service: &str, requested: &Start, view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    match view.services.get(service) {
        None => faults.push(Fault::new(
            "",
            format!("no service is named `{service}`"),
            "",
        )),
        Some(found) if !found.value.versions.contains_key(&requested.to) => {
            let known: Vec<_> = found.value.versions.keys().map(SmolStr::as_str).collect();
            let message = format!("no version is named `{}`", requested.to);
            faults.push(Fault::new("to", message, known.join(", ")));
        }
        Some(_) if version_in_force(service, view).as_ref() == Some(&requested.to) => {
            let message = format!("`{}` carries the traffic already", requested.to);
            faults.push(Fault::new("to", message, "another version"));
        }
        Some(_) => {}
    }
    if !(requested.max_share > 0.0 && requested.max_share <= 1.0) {
        let message = format!("bad share {}", requested.max_share);
        faults.push(Fault::new("max_share", message, "above 0 and at most 1"));
    }
    if requested.finish_in_ms == 0 || requested.finish_in_ms > MAX_FINISH.as_millis() as u64 {
        let message = format!("bad time of {} ms", requested.finish_in_ms);
        faults.push(Fault::new(
            "finish_in_ms",
            message,
            "1 to 2592000000, that is 30 days",
        ));
    }
    faults
}
