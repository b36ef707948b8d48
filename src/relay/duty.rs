//! Which instances read the platform, and which writes the runs there. The load this answers: with
//! hundreds of instances, each reading for itself, the platform is asked for the same again and
//! again.

use smol_str::SmolStr;

use super::relay::Relay;
use crate::peer::{SMALL_FLEET, on_duty};

/// Instances of a failure domain that read the platform for the others, in a small fleet: when one
/// is cut off from the platform, or dies, the other still does.
const READERS: usize = 2;

/// The same in a large fleet, where the words of the other domains, which come within 200 ms, show
/// that they know more.
const READERS_LARGE: usize = 1;

/// Whether this instance reads the platform, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reading {
    pub(crate) rules: bool,
    pub(crate) targets: bool,
}

impl Reading {
    /// Whether others may rely on it.
    pub(crate) fn is_whole(self) -> bool {
        self.rules && self.targets
    }
}

impl Relay {
    /// Other instances of this failure domain that answer.
    pub(crate) fn near(&self) -> Vec<SmolStr> {
        let alive = self.peers.alive().into_iter();
        let near = alive.filter(|m| m.domain == self.settings.instance.domain);
        near.map(|m| m.name).collect()
    }

    /// Whether this instance is to read the platform: it is on duty, or none that is can do so.
    pub(crate) fn is_reader(&self) -> bool {
        let near = self.near();
        let readers = self.readers.lock();
        let reads = |name: &&str| readers.get(*name).is_some_and(|reads| *reads);
        let duty = self.on_duty("platform", &near, self.readers_wanted());
        duty.contains(&self.me()) || !duty.iter().any(reads)
    }

    /// Whether this instance stores the runs of its failure domain.
    pub(crate) fn is_writer(&self) -> bool {
        self.on_duty("runs", &self.near(), 1).contains(&self.me())
    }

    /// Near instances that are told what this one reads.
    pub(crate) fn listeners(&self) -> Vec<SmolStr> {
        let near = self.near();
        let duty = self.on_duty("platform", &near, self.readers_wanted());
        let listens = |name: &&SmolStr| !duty.contains(&name.as_str());
        near.iter().filter(listens).cloned().collect()
    }

    fn readers_wanted(&self) -> usize {
        match self.peers.others() < SMALL_FLEET {
            true => READERS,
            false => READERS_LARGE,
        }
    }

    fn me(&self) -> &str {
        &self.settings.instance.name
    }

    fn on_duty<'a>(&'a self, duty: &str, near: &'a [SmolStr], most: usize) -> Vec<&'a str> {
        let names = near.iter().map(SmolStr::as_str).chain([self.me()]);
        on_duty(duty, &self.settings.instance.domain, names, most)
    }
}
