//! First lists of the platform's objects. A store that answers slowly just after the loss of all
//! instances must be read all the same, and a connection that is silent must not delay it.

use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use super::relay::Relay;
use crate::platform::{Error, List};

/// Timeout for a response to a first list: half as much again as a store takes that answers slowly.
const FIRST_TIMEOUT: Duration = Duration::from_secs(3);

impl Relay {
    /// Lists the objects of a kind. Until this instance is ready, a response may take
    /// [`FIRST_TIMEOUT`]; the list is asked for once more over another connection after the usual
    /// timeout, and the first of the two that succeeds counts.
    pub(crate) async fn list_at_start(&self, kind: &str) -> Result<List, Error> {
        if self.ready_at().is_some() {
            return self.platform.list(kind, "").await;
        }
        let patient = self.platform.with_timeout(FIRST_TIMEOUT);
        let first = patient.list(kind, "");
        tokio::pin!(first);
        if let Ok(list) = timeout(self.platform.timeout(), first.as_mut()).await {
            return list;
        }
        let second = patient.list(kind, "");
        tokio::pin!(second);
        let (list, is_first) = tokio::select! {
            list = first.as_mut() => (list, true),
            list = second.as_mut() => (list, false),
        };
        let Err(e) = list else {
            return list;
        };
        info!(self.decisions.log, "platform: one of two lists failed";
            "for" => kind, "error" => %e);
        match is_first {
            true => second.await,
            false => first.await,
        }
    }
}
