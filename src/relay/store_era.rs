//! What an instance does when the platform's store returns from a copy, and its era increases.

use slog::warn;

use super::catalog::{Catalog, EraChange};
use super::relay::Relay;

impl Relay {
    /// Prepares the catalog for targets that `source` read in `era` at revision `as_of`. Returns
    /// whether they are to be applied: those of an earlier era are not.
    pub(crate) fn enter_era(
        &self,
        catalog: &mut Catalog,
        era: Option<u64>,
        as_of: u64,
        source: &str,
    ) -> bool {
        match catalog.enter_era(era) {
            EraChange::Same => true,
            EraChange::Earlier => false,
            EraChange::Restored {
                era_before,
                as_of: before,
            } => {
                warn!(self.decisions.log, "platform: store was restored from a copy";
                    "from" => source, "era_before" => era_before, "era" => era,
                    "rev_before" => before, "rev" => as_of);
                metrics::counter!("endivefork_store_restores_total").increment(1);
                true
            }
        }
    }
}
