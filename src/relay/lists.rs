//! Lists of the platform's objects. A store that answers slowly just after the loss of all instances
//! must be read all the same, and one that was silent as soon as it answers.

use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use slog::info;
use tokio::time::{Instant, sleep_until};

use super::relay::Relay;
use crate::platform::{Error, List};

/// Timeout for a response to a list. A store that answers slowly just after the loss of all instances
/// is within it.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which the same list is asked for over another connection: what was sent to a silent
/// store stays without an answer when it answers again.
const HEDGE_INTERVAL: Duration = Duration::from_millis(500);

/// The same for an instance that already serves callers.
const READY_HEDGE_INTERVAL: Duration = Duration::from_secs(1);

impl Relay {
    /// Lists the objects of a kind. A response may take [`LIST_TIMEOUT`], the list is asked for again
    /// at intervals, and the first answer counts.
    pub(crate) async fn list_kind(&self, kind: &str) -> Result<List, Error> {
        let interval = match self.ready_at() {
            Some(_) => READY_HEDGE_INTERVAL,
            None => HEDGE_INTERVAL,
        };
        let client = self.platform.with_timeout(LIST_TIMEOUT);
        let client = client.with_new_connections();
        let start = Instant::now();
        let (mut lists, mut next) = (FuturesUnordered::new(), start);
        loop {
            tokio::select! {
                biased;
                Some(list) = lists.next() => match list {
                    Ok(list) => {
                        if start.elapsed() > READY_HEDGE_INTERVAL {
                            let at = start + READY_HEDGE_INTERVAL;
                            self.catalog.lock().record_outage(at.into_std());
                        }
                        return Ok(list);
                    }
                    Err(e) if lists.is_empty() || start.elapsed() >= LIST_TIMEOUT => return Err(e),
                    Err(e) => info!(self.decisions.log, "platform: one of several lists failed";
                        "for" => kind, "error" => %e),
                },
                () = sleep_until(next) => {
                    lists.push(client.list(kind, ""));
                    next += interval;
                }
            }
        }
    }
}
