//! Queries to aggregators in a large fleet: the runs with some content, and a loan of retry budget.

use std::future::ready;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use slog::info;
use smol_str::SmolStr;

use super::equal_runs::EqualRuns;
use super::relay::Relay;
use super::retries::Loan;
use crate::peer::{Member, Tag};

/// Timeout of a query for runs: twice the network delay between regions.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a loan of a retry: a fraction of the pause that a stream may have.
const LOAN_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of aggregators asked for one retry.
pub(crate) const DONORS_MAX: usize = 3;

impl Relay {
    /// Registers the handlers of these queries.
    pub(crate) fn handle_queries(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Usage, move |_, loan: Loan| ready(me.lend_retry(&loan)));
        let me = Arc::clone(self);
        self.peers.on(Tag::Run, move |_, digest: u128| {
            ready(me.known_runs(digest))
        });
    }

    /// Borrows a retry from an aggregator: first that of this failure domain, then others, those of
    /// this region first.
    pub(crate) async fn borrow_retry(&self, service: &SmolStr, spare: bool) -> bool {
        if !self.peers.is_tiered() {
            return false;
        }
        let service = service.clone();
        let loan = Loan { service, spare };
        for donor in self.donors() {
            let is_lent = match donor.name == self.settings.instance.name {
                true => self.lend_retry(&loan),
                false => self.request_loan(&donor.name, &loan).await,
            };
            if is_lent {
                self.retries
                    .lock()
                    .record_retry(&loan.service, Instant::now());
                return true;
            }
        }
        false
    }

    async fn request_loan(&self, donor: &str, loan: &Loan) -> bool {
        let call = self.peers.call(donor, Tag::Usage, loan, LOAN_TIMEOUT);
        call.await.unwrap_or_else(|e| {
            info!(self.decisions.log, "retry: could not ask an aggregator";
                "aggregator" => donor, "error" => %e);
            false
        })
    }

    fn donors(&self) -> Vec<Member> {
        let me = &self.settings.instance;
        let mut remote = self.remote_aggregators();
        remote.sort_by_key(|m| m.region != me.region);
        let local = self.aggregators().into_iter().take(1);
        local.chain(remote).take(DONORS_MAX).collect()
    }

    fn lend_retry(&self, loan: &Loan) -> bool {
        let reporters = self.aggregate.lock().members();
        self.retries.lock().lend(loan, reporters, Instant::now())
    }

    /// What this instance knows of the runs with this content.
    fn known_runs(&self, digest: u128) -> EqualRuns {
        let is_alone = self.is_alone();
        self.runs.lock().equals(digest, is_alone, Instant::now())
    }

    /// The known runs with this content. In a large fleet each aggregator is asked, as a run is
    /// known first to that of its own failure domain.
    pub(crate) async fn equal_runs(&self, digest: u128) -> EqualRuns {
        let mut equals = self.known_runs(digest);
        if !self.peers.is_tiered() {
            return equals;
        }
        // Only to an aggregator are the runs of other instances reported.
        equals.is_whole &= self.is_aggregator();
        let me = &self.settings.instance;
        let local = self.aggregators().into_iter().take(1);
        let others = local.chain(self.remote_aggregators());
        let others = others.filter(|m| m.name != me.name);
        let answers = others.map(|m| async move {
            let asked = self
                .peers
                .call::<_, EqualRuns>(&m.name, Tag::Run, &digest, FIND_TIMEOUT);
            asked
                .await
                .inspect_err(|e| {
                    info!(self.decisions.log, "run: could not ask an aggregator";
                        "aggregator" => m.name.as_str(), "error" => %e);
                })
                .ok()
        });
        for answer in join_all(answers).await.into_iter().flatten() {
            equals.merge(answer);
        }
        equals
    }
}
