//! Election of the instances that read the platform, and of the one that stores runs there. With
//! hundreds of instances that each read for themselves, the platform would serve the same reads
//! again and again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::platform_watch::{Sources, Topic};
use super::relay::Relay;
use crate::ident::fraction;
use crate::peer::{Reach, elected, ranked};

/// Readers of the platform in each failure domain. With two, the failure of one, or of its
/// connection to the platform, leaves another.
const READERS_MAX: usize = 2;

/// Time after the start for which an instance of a large fleet that knows nothing yet leaves reading
/// the platform to the elected readers.
const START_DELAY: Duration = Duration::from_secs(4);

/// Time over which such instances start reading one after the other.
const START_SPREAD: Duration = Duration::from_secs(4);

/// Why an instance reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Duty {
    /// It is elected, with this rank among the readers of its failure domain.
    Elected(usize),
    /// What it knows is stale: the elected readers don't know more, or don't reach it.
    Stale,
}

/// A flag for each topic.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TopicFlags {
    rules: bool,
    targets: bool,
}

impl TopicFlags {
    /// Whether the flags of all topics are set.
    pub(crate) fn all(self) -> bool {
        self.rules && self.targets
    }

    /// Sets the flag of a topic and returns it as it was.
    pub(crate) fn replace(&mut self, topic: Topic, flag: bool) -> bool {
        let current = match topic {
            Topic::Rules => &mut self.rules,
            Topic::Targets => &mut self.targets,
        };
        std::mem::replace(current, flag)
    }
}

impl Relay {
    /// Other reachable instances of this failure domain.
    pub(crate) fn local_peers(&self) -> Vec<SmolStr> {
        let alive = self.peers.alive().into_iter();
        let local = alive.filter(|m| m.domain == self.settings.instance.domain);
        local.map(|m| m.name).collect()
    }

    /// Whether this instance should read the platform.
    pub(crate) fn is_reader(&self) -> bool {
        self.duty(Topic::Targets).is_some()
    }

    /// Why this instance should read a topic of the platform, if it should.
    pub(crate) fn duty(&self, topic: Topic) -> Option<Duty> {
        match self.reader_rank() {
            Some(rank) => Some(Duty::Elected(rank)),
            None => self.is_stale(topic).then_some(Duty::Stale),
        }
    }

    /// Whether this instance is an elected reader of its failure domain.
    pub(crate) fn is_elected_reader(&self) -> bool {
        self.reader_rank().is_some()
    }

    /// Rank of this instance among the elected readers of its failure domain.
    fn reader_rank(&self) -> Option<usize> {
        let readers = self.elected_readers();
        readers.iter().position(|name| name == self.own_name())
    }

    /// The elected readers of this failure domain.
    fn elected_readers(&self) -> Vec<SmolStr> {
        if self.peers.is_tiered() {
            let candidates = self.aggregators().into_iter();
            return candidates.take(READERS_MAX).map(|m| m.name).collect();
        }
        let local = self.local_peers();
        let elected = self.elect("platform", &local, READERS_MAX);
        elected.into_iter().map(SmolStr::from).collect()
    }

    /// Whether the knowledge of a topic is so old that this instance reads the platform whoever else
    /// does: the presence of readers doesn't show that they know its state.
    pub(crate) fn is_stale(&self, topic: Topic) -> bool {
        let age = self.freshness.lock().age(topic, Instant::now());
        match age {
            Some(age) => age > self.stale_age(),
            None if !self.peers.is_tiered() => true,
            None => self.age() > START_DELAY + START_SPREAD.mul_f64(fraction(self.own_name())),
        }
    }

    /// Age from which this instance reads anew what it knows.
    pub(crate) fn stale_age(&self) -> Duration {
        match self.peers.is_tiered() {
            _ if self.is_alone_in_domain() => self.age_limits.stale_alone(),
            true if self.is_candidate() => self.age_limits.stale(0.0),
            _ => self.age_limits.stale(fraction(self.own_name())),
        }
    }

    /// Whether no other instance of this failure domain is reachable.
    pub(crate) fn is_alone_in_domain(&self) -> bool {
        self.local_peers().is_empty()
    }

    /// In a small fleet, asks an elected reader what it knows once own knowledge is older than the
    /// readers' should be. Elsewhere the answers to reports tell it.
    pub(crate) fn ask_readers(self: &Arc<Self>, sources: Sources) {
        let now = Instant::now();
        let is_overdue = |topic| {
            let age = self.freshness.lock().age(topic, now);
            age.is_some_and(|age| self.age_limits.is_overdue(age))
        };
        if self.peers.is_tiered() || !(is_overdue(Topic::Rules) || is_overdue(Topic::Targets)) {
            return;
        }
        let readers = self.elected_readers().into_iter();
        let others = readers.filter(|name| name != self.own_name()).collect();
        self.ask_knowledge(sources, others, now);
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
