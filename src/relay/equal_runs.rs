//! What instances know together of the runs with one content, and which of them may be resumed.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::dialect::CopyRef;
use super::run_location::{RunId, RunLocation};

/// A run that may be resumed from its copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FoundRun {
    pub(crate) id: RunId,
    pub(crate) engine: SmolStr,
    pub(crate) copied: CopyRef,
}

/// What an instance knows of the runs with one content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct EqualRuns {
    pub(crate) runs: Vec<RunLocation>,
    /// Whether there are more runs than these.
    pub(crate) is_crowded: bool,
    /// Whether no run is unknown.
    pub(crate) is_whole: bool,
}

impl EqualRuns {
    /// Adds what another instance knows.
    pub(crate) fn merge(&mut self, other: Self) {
        self.is_crowded |= other.is_crowded;
        self.is_whole |= other.is_whole;
        let is_newer = |known: &RunLocation, run: &RunLocation| known.follows == Some(run.id);
        for run in other.runs {
            let is_known = |k: &RunLocation| k.id == run.id || is_newer(k, &run);
            if !self.runs.iter().any(is_known) {
                self.runs.retain(|k| run.follows != Some(k.id));
                self.runs.push(run);
            }
        }
    }

    /// The run with this content if it is the only one and has a copy.
    pub(crate) fn only(self) -> Option<FoundRun> {
        let is_complete = self.is_whole && !self.is_crowded;
        let mut runs = self.runs.into_iter().filter(|_| is_complete);
        let (run, None) = (runs.next()?, runs.next()) else {
            return None;
        };
        Some(FoundRun {
            id: run.id,
            engine: run.engine?,
            copied: run.copied?,
        })
    }
}
