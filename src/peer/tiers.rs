//! Membership of a large fleet: who is asked by whom, so that what an instance sends does not grow
//! with the fleet.

use indexmap::IndexSet;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::duty::{CANDIDATES, ranked};
use super::member::{Gossip, Known, Member, Members, Reach};

/// Candidates of a failure domain that are tried until enough of them answer.
const TRIED_MAX: usize = 8;

/// Periods without a sign of life after which an instance that is not asked itself counts as
/// silent.
const EXPIRED: u32 = 4;

impl Members {
    /// Instances that `me` sends a heartbeat to in a large fleet: the first candidates of its
    /// failure domain, and those of other domains if it is one itself. Candidates that do not
    /// answer are asked as well, and as many after them.
    #[must_use]
    pub fn due_tiered<'a>(&'a self, me: &'a Member) -> Vec<&'a Member> {
        let near = self.first(&me.domain, Some(me));
        let ready = near.iter().filter(|m| self.answers(m, me));
        let candidate = ready.take(CANDIDATES).any(|m| m.name == me.name);
        let mut due = near;
        if candidate {
            let far = self.domains().into_iter().filter(|d| *d != &me.domain);
            due.extend(far.flat_map(|domain| self.first(domain, None)));
        }
        due.retain(|m| m.name != me.name);
        due
    }

    /// The first candidates of a domain, until enough of them answer.
    fn first<'a>(&'a self, domain: &str, me: Option<&'a Member>) -> Vec<&'a Member> {
        let staying = self.known.values().filter(|k| !k.leaving);
        let mut order = ranked(domain, staying.map(|k| &k.member).chain(me));
        let mut answering = 0;
        let mut tried = 0;
        order.retain(|m| {
            let wanted = answering < CANDIDATES && tried < TRIED_MAX;
            tried += 1;
            let answers =
                me.is_some_and(|me| me.name == m.name) || self.reach(&m.name) == Reach::Alive;
            answering += usize::from(answers);
            wanted
        });
        order
    }

    fn answers(&self, member: &Member, me: &Member) -> bool {
        member.name == me.name || self.reach(&member.name) == Reach::Alive
    }

    fn domains(&self) -> IndexSet<&SmolStr> {
        self.known.values().map(|k| &k.member.domain).collect()
    }

    /// Instances of each failure domain that may take on its duties, best first; those that are
    /// not known to be gone.
    #[must_use]
    pub fn candidates(&self, domain: &str) -> Vec<&Member> {
        let open = self.known.values();
        let open = open.filter(|k| !k.leaving && matches!(k.reach, Reach::Alive | Reach::Unknown));
        let mut order = ranked(domain, open.map(|k| &k.member));
        order.truncate(CANDIDATES);
        order
    }

    /// Takes instances that are not asked themselves and were not heard for a while as silent.
    pub fn expire(&mut self, now: Instant) {
        let silence = self.period * EXPIRED;
        for known in self.known.values_mut() {
            if known.reach == Reach::Alive && now - known.heard >= silence {
                known.reach = Reach::Silent;
            }
        }
    }

    /// The first candidates of each failure domain, for one that has to know who they are.
    #[must_use]
    pub fn introduce_candidates(&self) -> Vec<Gossip> {
        let domains = self.domains().into_iter();
        let first = domains.flat_map(|domain| self.candidates(domain));
        let known = first.filter_map(|m| self.known.get(&m.name));
        let alive = known.filter(|k| k.reach == Reach::Alive);
        alive.map(Known::gossip).collect()
    }
}
