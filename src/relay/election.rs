//! Election of the instances that read the platform, and of the one that stores runs there. With
//! hundreds of instances that each read for themselves, the platform would serve the same reads
//! again and again.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::relay::Relay;
use crate::ident::fraction;
use crate::peer::{CANDIDATES, Reach, elected, ranked};

/// Readers of the platform in each failure domain. With two, the failure of one, or of its
/// connection to the platform, leaves another.
const READERS_MAX: usize = 2;

/// Time without a reader after which the next candidate of a failure domain reads the platform, in
/// a large fleet.
const CANDIDATE_DELAY: Duration = Duration::from_millis(500);

/// Time without a reader after which other instances read the platform, when no candidate can.
const FALLBACK_DELAY: Duration = Duration::from_secs(3);

/// Time over which these instances start reading one after the other, so that the first to succeed
/// spares the rest.
const FALLBACK_SPREAD: Duration = Duration::from_secs(4);

/// Whether this instance reads the platform, by topic.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadState {
    pub(crate) rules: bool,
    pub(crate) targets: bool,
}

impl ReadState {
    /// Whether all topics are read, so that other instances can rely on this one.
    pub(crate) fn reads_all(self) -> bool {
        self.rules && self.targets
    }
}

impl Relay {
    /// Other reachable instances of this failure domain.
    pub(crate) fn local_peers(&self) -> Vec<SmolStr> {
        let alive = self.peers.alive().into_iter();
        let local = alive.filter(|m| m.domain == self.settings.instance.domain);
        local.map(|m| m.name).collect()
    }

    /// Whether this instance should read the platform: it is elected, or no elected instance can.
    pub(crate) fn is_reader(&self) -> bool {
        if self.peers.is_tiered() {
            return self.is_tiered_reader();
        }
        let local = self.local_peers();
        let readers = self.peer_readers.lock();
        let reads = |name: &&str| readers.get(*name).is_some_and(|reads| *reads);
        let elected = self.elect("platform", &local, READERS_MAX);
        elected.contains(&self.own_name()) || !elected.iter().any(reads)
    }

    /// Whether all higher-ranked candidates of this failure domain are known to be alive.
    pub(crate) fn has_reached_candidates(&self) -> bool {
        let me = self.peers.me();
        let known = self.peers.candidates(&me.domain);
        let ranking = ranked(&me.domain, known.iter().chain([me]));
        let higher = ranking.into_iter().take_while(|m| m.name != me.name);
        let mut reaches = higher.map(|m| self.peers.reach(&m.name));
        reaches.all(|reach| reach == Reach::Alive)
    }

    /// [`Self::is_reader`] in a large fleet: the first candidates, or another instance once its
    /// failure domain had no reader for long enough.
    fn is_tiered_reader(&self) -> bool {
        let candidates = self.aggregators();
        let wait = match candidates.iter().position(|m| m.name == self.own_name()) {
            Some(n) if n < READERS_MAX => return true,
            Some(n) if n < CANDIDATES => CANDIDATE_DELAY,
            _ => FALLBACK_DELAY + FALLBACK_SPREAD.mul_f64(fraction(self.own_name())),
        };
        let unread = *self.no_reader_since.lock();
        unread.is_some_and(|since| since.elapsed() >= wait)
    }

    /// Whether an instance of this failure domain other than `sender` is known to read the
    /// platform.
    pub(crate) fn has_other_reader(&self, sender: &str) -> bool {
        let is_own = self.reader_role.lock().reads_all() && sender != self.own_name();
        let readers = self.peer_readers.lock();
        let local = self.local_peers();
        let mut others = local.iter().filter(|name| *name != sender);
        is_own || others.any(|name| readers.get(name) == Some(&true))
    }

    /// Records an aggregator's report on whether another instance of this failure domain reads the
    /// platform.
    pub(crate) fn record_reader(&self, has_reader: bool) {
        let mut unread = self.no_reader_since.lock();
        *unread = match has_reader {
            true => None,
            false => unread.or_else(|| Some(Instant::now())),
        };
    }

    /// Whether this instance stores the runs of its failure domain.
    pub(crate) fn is_run_writer(&self) -> bool {
        match self.peers.is_tiered() {
            true => self.is_aggregator(),
            false => self
                .elect("runs", &self.local_peers(), 1)
                .contains(&self.own_name()),
        }
    }

    /// Instances of this failure domain to which this one forwards what it reads.
    pub(crate) fn followers(&self) -> Vec<SmolStr> {
        let local = self.local_peers();
        if self.peers.is_tiered() {
            return local;
        }
        let elected = self.elect("platform", &local, READERS_MAX);
        let is_follower = |name: &&SmolStr| !elected.contains(&name.as_str());
        local.iter().filter(is_follower).cloned().collect()
    }

    fn own_name(&self) -> &str {
        &self.settings.instance.name
    }

    fn elect<'a>(&'a self, role: &str, local: &'a [SmolStr], count: usize) -> Vec<&'a str> {
        let names = local.iter().map(SmolStr::as_str).chain([self.own_name()]);
        elected(role, &self.settings.instance.domain, names, count)
    }
}
