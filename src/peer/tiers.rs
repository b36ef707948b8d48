//! Membership of a large fleet: selects the instances that each one sends heartbeats to, so that
//! its traffic does not grow with the fleet.

use indexmap::IndexSet;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::election::{CANDIDATES, ranked};
use super::member::{Gossip, Member, MemberState, Members, Reach};

/// Most candidates of a failure domain that are contacted to find enough that answer.
const PROBED_MAX: usize = 8;

/// Heartbeat periods without a message after which an instance that gets no heartbeats from this
/// one counts as silent.
const EXPIRY_PERIODS: u32 = 4;

impl Members {
    /// Instances that `me` sends heartbeats to in a large fleet: the first candidates of its
    /// failure domain and, if it is a candidate itself, those of the other domains. Candidates
    /// that do not answer are included, and replaced by the next in order.
    #[must_use]
    pub fn due_tiered<'a>(&'a self, me: &'a Member) -> Vec<&'a Member> {
        let near = self.probe_set(&me.domain, Some(me));
        let ready = near.iter().filter(|m| self.answers(m, me));
        let candidate = ready.take(CANDIDATES).any(|m| m.name == me.name);
        let mut due = near;
        if candidate {
            let far = self.domains().into_iter().filter(|d| *d != &me.domain);
            due.extend(far.flat_map(|domain| self.probe_set(domain, None)));
        }
        due.retain(|m| m.name != me.name);
        due
    }

    /// The first members of a domain by rank, up to the one that completes the set of answering
    /// candidates.
    fn probe_set<'a>(&'a self, domain: &str, me: Option<&'a Member>) -> Vec<&'a Member> {
        let staying = self.known.values().filter(|k| !k.leaving);
        let mut order = ranked(domain, staying.map(|k| &k.member).chain(me));
        let mut answering = 0;
        let mut tried = 0;
        order.retain(|m| {
            let wanted = answering < CANDIDATES && tried < PROBED_MAX;
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

    /// The aggregator candidates of a failure domain in order of preference, without those known
    /// to have failed or to be leaving.
    #[must_use]
    pub fn candidates(&self, domain: &str) -> Vec<&Member> {
        let open = self.known.values();
        let open = open.filter(|k| !k.leaving && matches!(k.reach, Reach::Alive | Reach::Unknown));
        let mut order = ranked(domain, open.map(|k| &k.member));
        order.truncate(CANDIDATES);
        order
    }

    /// Marks instances as silent from which no message has arrived for [`EXPIRY_PERIODS`].
    pub fn expire(&mut self, now: Instant) {
        let silence = self.period * EXPIRY_PERIODS;
        for known in self.known.values_mut() {
            if known.reach == Reach::Alive && now - known.last_heard >= silence {
                known.reach = Reach::Silent;
            }
        }
    }

    /// The live candidates of each failure domain, as gossip for an instance that may not know them.
    #[must_use]
    pub fn gossip_candidates(&self) -> Vec<Gossip> {
        let domains = self.domains().into_iter();
        let first = domains.flat_map(|domain| self.candidates(domain));
        let known = first.filter_map(|m| self.known.get(&m.name));
        let alive = known.filter(|k| k.reach == Reach::Alive);
        alive.map(MemberState::gossip).collect()
    }
}
