//! Repeats of a key that meet at one instance share one try.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::verdict::answer;
use super::{Cause, Outcome, Verdict};
use crate::failure::Failure;

/// What a try's callers are told.
pub(crate) type Told = Result<Outcome, Failure>;

/// The tries that run at this instance, by the names of their claims.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flights {
    running: Arc<Mutex<HashMap<SmolStr, Flight>>>,
}

#[derive(Debug)]
struct Flight {
    digest: SmolStr,
    told: watch::Receiver<Option<Told>>,
}

/// How a call relates to the tries that run.
#[derive(Debug)]
pub(crate) enum Join {
    /// It is the first: it has to run.
    Lead(Lead),
    /// The same call runs already.
    Follow(watch::Receiver<Option<Told>>),
    /// Another call runs under its key.
    Reused,
}

/// A running try. Dropping it ends the wait of those that follow it.
#[derive(Debug)]
pub(crate) struct Lead {
    flights: Flights,
    name: SmolStr,
    told: watch::Sender<Option<Told>>,
}

impl Flights {
    pub(crate) fn join(&self, name: &SmolStr, digest: &SmolStr) -> Join {
        let mut running = self.running.lock();
        match running.entry(name.clone()) {
            Entry::Occupied(flight) if flight.get().digest != *digest => Join::Reused,
            Entry::Occupied(flight) => Join::Follow(flight.get().told.clone()),
            Entry::Vacant(place) => {
                let (told, follow) = watch::channel(None);
                place.insert(Flight {
                    digest: digest.clone(),
                    told: follow,
                });
                Join::Lead(Lead {
                    flights: self.clone(),
                    name: name.clone(),
                    told,
                })
            }
        }
    }
}

impl Lead {
    /// Tells those that follow.
    pub(crate) fn tell(self, told: &Told) {
        self.told.send_replace(Some(told.clone()));
    }
}

impl Drop for Lead {
    fn drop(&mut self) {
        self.flights.running.lock().remove(&self.name);
    }
}

/// Waits for the try that runs, but no longer than `deadline`.
pub(crate) async fn follow(mut told: watch::Receiver<Option<Told>>, deadline: Duration) -> Told {
    let wait = tokio::time::timeout(deadline, told.wait_for(Option::is_some));
    match wait.await {
        Ok(Ok(told)) => told.clone().expect("waited for"),
        _ => answer(Verdict::Unknown(Cause::Busy)),
    }
}
