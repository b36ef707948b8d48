//! Admission of new requests during a graceful shutdown.

use std::time::Duration;

use super::rules::Kind;

/// How long new streams are accepted after the shutdown began: until the load balancer has noticed.
/// A stream that still runs at the end is resumed at another instance from the copy of its run.
const STREAM_GRACE: Duration = Duration::from_millis(2500);

/// Whether to accept a request with `budget` until its deadline, at `since` after the shutdown
/// began, with `left` until the process ends. A request that could be cut off is refused before it
/// runs.
pub(crate) fn accepts(kind: Kind, budget: Duration, since: Duration, left: Duration) -> bool {
    match kind {
        Kind::Stream { .. } => since < STREAM_GRACE,
        Kind::Idempotent | Kind::Once => budget <= left,
    }
}
