//! First lists of the platform's objects. A store that answers slowly just after the loss of all
//! instances must be read all the same, and one that was silent as soon as it answers.

use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use slog::info;
use tokio::time::{Instant, sleep_until};

use super::relay::Relay;
use crate::platform::{Error, List};

/// Timeout for a response to a first list. A store that answers slowly just after the loss of all
/// instances is within it.
const FIRST_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which the same list is asked for over another connection: what was sent to a silent
/// store stays without an answer when it answers again.
const HEDGE_INTERVAL: Duration = Duration::from_millis(500);

impl Relay {
    /// Lists the objects of a kind. Until this instance is ready, a response may take
    /// [`FIRST_TIMEOUT`], the list is asked for again each [`HEDGE_INTERVAL`], and the first answer
    /// counts.
    pub(crate) async fn list_at_start(&self, kind: &str) -> Result<List, Error> {
        if self.ready_at().is_some() {
            return self.platform.list(kind, "").await;
        }
        let patient = self.platform.with_timeout(FIRST_TIMEOUT);
        let start = Instant::now();
        let (mut lists, mut next) = (FuturesUnordered::new(), start);
        loop {
            tokio::select! {
                biased;
                Some(list) = lists.next() => match list {
                    Ok(list) => return Ok(list),
                    Err(e) if lists.is_empty() || start.elapsed() >= FIRST_TIMEOUT => return Err(e),
                    Err(e) => info!(self.decisions.log, "platform: one of several lists failed";
                        "for" => kind, "error" => %e),
                },
                () = sleep_until(next) => {
                    lists.push(patient.list(kind, ""));
                    next += HEDGE_INTERVAL;
                }
            }
        }
    }
}
