//! What a change of the configuration may be: pure checks that find all faults together.

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::config::{Account, Kind, Repeat, Route, Service, View};
use crate::settings::value;

/// Longest answer time that a service may declare, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Largest weight of an account.
const MAX_WEIGHT: u32 = 10_000;

const NAME: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

/// One fault of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Path of the field, such as `routes.0.path`; empty for the object as a whole.
    pub at: SmolStr,
    /// What is wrong.
    pub message: SmolStr,
    /// What would be accepted.
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

/// Checks a service by itself.
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
