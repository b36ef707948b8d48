//! Which requests an instance that is shutting down still takes.

use std::time::Duration;

use super::rules::Kind;

/// How long streams are taken after the shutdown began: until the balancer has noticed. One that
/// is still running at the end goes on at another instance from the copy of its run.
const STREAMS_TAKEN: Duration = Duration::from_millis(2500);

/// Time before the end of the process at which a stream that has not begun gets its final answer:
/// for the way of that to the caller.
pub(crate) const LAST_WORD: Duration = Duration::from_millis(150);

/// Whether a request with `budget` until its last possible answer is taken, `since` after the
/// shutdown began, with `left` until the process ends. One that could be cut is refused instead,
/// while it has not run.
pub(crate) fn takes(kind: Kind, budget: Duration, since: Duration, left: Duration) -> bool {
    match kind {
        Kind::Stream { .. } => since < STREAMS_TAKEN,
        Kind::Idempotent | Kind::Once => budget <= left,
    }
}
