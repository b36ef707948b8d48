//! Tells other instances of begun runs, and learns from their answers which runs have the same
//! content.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use slog::info;
use smol_str::SmolStr;

use super::relay::Relay;
use super::run_location::RunLocation;
use crate::peer::Tag;

/// Timeout for telling another aggregator of begun runs: the time for which a first event waits.
const BEGUN_TIMEOUT: Duration = Duration::from_millis(400);

/// What other instances know of runs that they were told of.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Told {
    /// Whether all of them know the runs.
    pub(crate) all: bool,
    /// Other runs with the same content.
    pub(crate) equals: Vec<RunLocation>,
}

impl Relay {
    /// Records the runs of another failure domain. Returns which others have the same content; `None`
    /// if this instance is no aggregator by its own view, so that it is not told of all.
    pub(super) fn learn_begun(&self, runs: Vec<RunLocation>) -> Option<Vec<RunLocation>> {
        let now = Instant::now();
        let mut known = self.runs.lock();
        for run in &runs {
            known.insert(run.clone(), false, now);
        }
        let equals = known.equal_to(&runs, now);
        drop(known);
        self.is_aggregator().then_some(equals)
    }

    /// Tells the aggregators of all other failure domains of begun runs, and learns which other runs
    /// have the same content. So of two such runs at least one is known to be equal before its caller
    /// gets an event.
    pub(super) async fn tell_aggregators(&self, runs: &[RunLocation]) -> Told {
        let others = match runs.is_empty() {
            true => Vec::new(),
            false => self.remote_aggregators(),
        };
        let answers = others.iter().map(|m| self.tell_aggregator(&m.name, runs));
        let answers = join_all(answers).await;
        let told = others.iter().zip(&answers).filter(|(_, a)| a.is_some());
        let told: Vec<_> = told.map(|(m, _)| m.domain.clone()).collect();
        let are_told = told.len() == others.len() && self.covers_registered(&told);
        let now = Instant::now();
        let is_alone = self.is_alone();
        let mut known = self.runs.lock();
        for equal in answers.into_iter().flatten().flatten() {
            known.recall(equal, now);
        }
        Told {
            all: are_told && known.is_whole(is_alone) && self.knows_fleet(),
            equals: known.equal_to(runs, now),
        }
    }

    /// Tells an aggregator of begun runs. Returns which others it knows with the same content; `None`
    /// if it may not know them.
    async fn tell_aggregator(
        &self,
        name: &SmolStr,
        runs: &[RunLocation],
    ) -> Option<Vec<RunLocation>> {
        let told = self
            .peers
            .call::<_, Option<Vec<RunLocation>>>(name, Tag::Begun, &runs, BEGUN_TIMEOUT)
            .await;
        let told = told.inspect_err(|e| {
            info!(self.decisions.log, "run: could not tell another aggregator";
                "aggregator" => name.as_str(), "error" => %e);
            self.failed_peers.lock().record(name, Instant::now());
        });
        told.ok().flatten()
    }

    /// Records what the others know of runs of this instance.
    pub(crate) fn record_told(&self, runs: &[RunLocation], told: Told) {
        let now = Instant::now();
        let mut known = self.runs.lock();
        for equal in told.equals {
            known.recall(equal, now);
        }
        known.set_telling(runs, told.all);
    }
}
