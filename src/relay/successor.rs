//! Secures the next run of a stream while its silent target may still go on.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::caller_request::CallerRequest;
use super::connections::Connection;
use super::copies::CopyTask;
use super::relay::{Relay, TargetCriteria};
use super::shutdown::SHUTTING_DOWN;
use super::silence::{KEPT_FOR_LOSSES, Silence};
use crate::ident::TargetKey;
use crate::routing::{Lease, Work};

/// What the next run of a stream needs: the target's permit, a connection to it and a retry.
#[derive(Debug)]
pub(crate) struct Successor {
    pub(crate) key: TargetKey,
    pub(crate) place: Place,
    pub(crate) connection: Connection,
}

/// Where the next run starts.
#[derive(Debug)]
pub(crate) enum Place {
    /// From the run's copy, at the target that holds it.
    Copy,
    /// From the prompt.
    Prompt(Lease),
}

/// Looks for the successor of a run.
pub(crate) struct Mover<'a> {
    pub(crate) relay: &'a Arc<Relay>,
    pub(crate) request: &'a CallerRequest,
    /// Attempts that the request has left after the present one.
    pub(crate) attempts_left: u32,
    /// Copy of the present run.
    pub(crate) copy: Option<&'a CopyTask>,
    pub(crate) excluded: &'a [TargetKey],
    pub(crate) work: Work,
    /// Set to the successor before the present run is ended for its silence.
    pub(crate) found: &'a Mutex<Option<Successor>>,
}

impl Mover<'_> {
    /// Secures a successor of the run at `lease`, which has been silent for `time`.
    ///
    /// # Errors
    /// Why the run has to stay.
    pub(crate) async fn secure(&self, lease: &Lease, time: Duration) -> Result<(), &'static str> {
        let silence = Silence {
            time,
            is_repeatable: self.request.route.kind.is_repeatable(),
            attempts_left: self.attempts_left,
        };
        let share = silence.may_move()?;
        // From a copy, what is left of the stream goes on; anything else begins again.
        if self.copy.is_none() && !self.relay.has_time_for(self.request) {
            return Err(SHUTTING_DOWN);
        }
        let service = &self.request.service;
        if !self.relay.may_have_spare_retry(service, share) {
            return Err(KEPT_FOR_LOSSES);
        }
        let (place, key, addr) = match self.copy.and_then(|c| c.holder(self.relay)) {
            Some((key, addr)) if self.relay.permit(key).await => (Place::Copy, key, addr),
            // Another prefill takes longer than a short silence.
            _ if self.copy.is_some() && !silence.is_long() => {
                return Err("no target takes its copy");
            }
            _ => {
                let lease = self.choose(lease).ok_or("no other target takes it")?;
                let (key, addr) = (lease.key, lease.addr);
                (Place::Prompt(lease), key, addr)
            }
        };
        let connection = self.relay.pool.acquire(key, addr, None).await;
        let connection = connection.map_err(|_| "the next target could not be reached")?;
        if !self.relay.take_spare_retry(service, share).await {
            return Err(KEPT_FOR_LOSSES);
        }
        *self.found.lock() = Some(Successor {
            key,
            place,
            connection,
        });
        Ok(())
    }

    /// Chooses another target, preferably in another failure domain.
    fn choose(&self, lease: &Lease) -> Option<Lease> {
        let mut excluded = self.excluded.to_vec();
        excluded.push(lease.key);
        let domain: [SmolStr; 1] = [lease.domain()];
        let preferred = TargetCriteria {
            service: &self.request.service,
            work: Some(self.work),
            avoid_domains: &domain,
            excluded: &excluded,
        };
        let any_domain = TargetCriteria {
            avoid_domains: &[],
            ..preferred
        };
        let now = Instant::now().into_std();
        let choices = [preferred, any_domain].into_iter();
        let mut leases = choices.filter_map(|wanted| self.relay.choose_now(wanted));
        leases.find(|l| self.relay.router.is_healthy(l.key, now))
    }
}
