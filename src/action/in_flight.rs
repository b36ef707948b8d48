//! Deduplicates concurrent calls: calls with the same key at one instance share one attempt.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::verdict::into_result;
use super::{Cause, Outcome, Verdict};
use crate::failure::Failure;

/// The result that all callers of an attempt receive.
pub(crate) type CallResult = Result<Outcome, Failure>;

/// The attempts that run at this instance, by claim name.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    running: Arc<Mutex<HashMap<SmolStr, Running>>>,
}

#[derive(Debug)]
struct Running {
    digest: SmolStr,
    result: watch::Receiver<Option<CallResult>>,
}

/// How a call relates to the running attempts.
#[derive(Debug)]
pub(crate) enum Join {
    /// No attempt runs under its key: this call has to run one.
    Lead(Leader),
    /// An attempt for the same request is running.
    Follow(watch::Receiver<Option<CallResult>>),
    /// An attempt for a different request is running under its key.
    Reused,
}

/// The caller that runs the attempt. Dropping it ends the wait of its followers.
#[derive(Debug)]
pub(crate) struct Leader {
    in_flight: InFlight,
    name: SmolStr,
    result: watch::Sender<Option<CallResult>>,
}

impl InFlight {
    pub(crate) fn join(&self, name: &SmolStr, digest: &SmolStr) -> Join {
        let mut running = self.running.lock();
        match running.entry(name.clone()) {
            Entry::Occupied(entry) if entry.get().digest != *digest => Join::Reused,
            Entry::Occupied(entry) => Join::Follow(entry.get().result.clone()),
            Entry::Vacant(entry) => {
                let (result, receiver) = watch::channel(None);
                entry.insert(Running {
                    digest: digest.clone(),
                    result: receiver,
                });
                Join::Lead(Leader {
                    in_flight: self.clone(),
                    name: name.clone(),
                    result,
                })
            }
        }
    }
}

impl Leader {
    /// Sends the result to the followers.
    pub(crate) fn publish(self, result: &CallResult) {
        self.result.send_replace(Some(result.clone()));
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.in_flight.running.lock().remove(&self.name);
    }
}

/// Waits for the result of the running attempt, at most for `deadline`.
pub(crate) async fn follow(
    mut result: watch::Receiver<Option<CallResult>>,
    deadline: Duration,
) -> CallResult {
    let wait = tokio::time::timeout(deadline, result.wait_for(Option::is_some));
    match wait.await {
        Ok(Ok(result)) => result.clone().expect("wait_for returned a value"),
        _ => into_result(Verdict::Unknown(Cause::Busy)),
    }
}
