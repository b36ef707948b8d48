//! Reports that instances send each other about targets.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::load::Work;

/// In-flight requests of one instance at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InflightCount {
    /// Name of the target.
    pub target: SmolStr,
    /// Requests in flight.
    pub count: u32,
    /// Work of those requests that are generations.
    pub work: Work,
}

/// A target that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the target.
    pub target: SmolStr,
    /// Its incarnation: another one under the same name may stay.
    pub incarnation: u64,
}

/// One instance's report about targets. It replaces the earlier report of the same instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Targets at which the instance has requests in flight.
    pub counts: Vec<InflightCount>,
    /// Targets that the instance itself found dead.
    pub dead: Vec<SmolStr>,
    /// Targets that told the instance that they are leaving.
    pub leaving: Vec<Departure>,
}

impl PeerReport {
    /// Whether it differs from `other` in something that affects placement. Counts of requests
    /// other than generations are left out: those requests end before the report arrives.
    #[must_use]
    pub fn placement_differs(&self, other: &Self) -> bool {
        let runs = |report: &Self| -> Vec<InflightCount> {
            let counts = report.counts.iter();
            counts
                .filter(|c| c.work != Work::default())
                .cloned()
                .collect()
        };
        (&self.dead, &self.leaving) != (&other.dead, &other.leaving) || runs(self) != runs(other)
    }
}
