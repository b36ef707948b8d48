//! Joins calls of plain services with routing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::action::{Choose, Pick, Report};
use crate::config;
use crate::ident::TargetKey;
use crate::routing::{Query, Router};
use crate::settings::Identity;

/// Bytes that a plain call is thought to move.
const CALL_BYTES: u64 = 4096;

/// Chooses targets of plain services of the version in force.
pub(super) fn chooser(
    identity: &Identity,
    config: &Arc<config::Store>,
    router: &Arc<Router>,
) -> Choose {
    let identity = identity.clone();
    let config = Arc::clone(config);
    let router = Arc::clone(router);
    Arc::new(move |service, excluded| {
        let view = config.view();
        let version = &view.services.get(service)?.value.version;
        let excluded = keys(&router, excluded);
        let query = Query {
            service,
            version,
            domain: &identity.domain,
            region: &identity.region,
            prefix: None,
            excluded: &excluded,
            bytes: CALL_BYTES,
        };
        let asked = Instant::now();
        let lease = router.choose(&query, asked)?;
        let router = Arc::clone(&router);
        let addr = lease.addr;
        let report = Box::new(move |report| {
            tell(&router, lease.key, report, asked);
            drop(lease);
        });
        Some(Pick { addr, report })
    })
}

fn keys(router: &Router, addrs: &[SocketAddr]) -> Vec<TargetKey> {
    addrs.iter().filter_map(|a| router.key_at(*a)).collect()
}

fn tell(router: &Router, key: TargetKey, report: Report, asked: Instant) {
    match report {
        Report::Answered(_) => router.mark_alive(key, asked),
        Report::Unreachable => router.mark_dead(key, Instant::now()),
        Report::Lost => router.mark_suspect(key, Instant::now()),
        Report::Unused => {}
    }
}
