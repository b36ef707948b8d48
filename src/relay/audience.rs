//! To whom an instance's words go. The load this answers: in a fleet of hundreds, words from each
//! to all others cost more than the requests that they are about. There an instance tells its own
//! failure domain itself, and one instance of each other domain, which passes on what it has
//! collected.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::peer::{Member, SMALL_FLEET, on_duty};

/// How long words of other domains are collected before they are passed on: half of the time
/// between two looks at what could be told.
pub(crate) const COLLECT: Duration = Duration::from_millis(100);

/// Instances of another domain that are tried until one takes a word.
const SPEAKERS: usize = 3;

/// For how long an instance that has not taken a word is asked last: its heartbeats show within
/// that time whether it is gone.
const AVOID: Duration = Duration::from_secs(4);

/// Those told of one instance's words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Audience {
    /// Told by the instance itself.
    pub(crate) direct: Vec<SmolStr>,
    /// Of each other failure domain, those that pass words on there, best first.
    pub(crate) speakers: Vec<Vec<SmolStr>>,
}

impl Audience {
    /// The audience of an instance of `domain` among those that answer.
    pub(crate) fn of(domain: &str, alive: &[Member], failed: &Failed, now: Instant) -> Self {
        let name = |m: &Member| m.name.clone();
        if alive.len() < SMALL_FLEET {
            return Self {
                direct: alive.iter().map(name).collect(),
                speakers: Vec::new(),
            };
        }
        let mut far: IndexMap<&str, Vec<&str>> = IndexMap::new();
        for m in alive.iter().filter(|m| m.domain != domain) {
            far.entry(&m.domain).or_default().push(&m.name);
        }
        let speakers = far.into_iter().map(|(domain, names)| {
            let count = names.len();
            let mut order = on_duty("words", domain, names.into_iter(), count);
            order.sort_by_key(|name| failed.lately(name, now));
            order.truncate(SPEAKERS);
            order.into_iter().map(SmolStr::from).collect()
        });
        let near = alive.iter().filter(|m| m.domain == domain);
        Self {
            direct: near.map(name).collect(),
            speakers: speakers.collect(),
        }
    }

    /// Messages that one word makes.
    pub(crate) fn messages(&self) -> usize {
        self.direct.len() + self.speakers.len()
    }
}

/// Instances that have not taken a word, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failed(IndexMap<SmolStr, Instant>);

impl Failed {
    pub(crate) fn note(&mut self, name: &SmolStr, now: Instant) {
        self.0
            .retain(|_, at| now.saturating_duration_since(*at) < AVOID);
        self.0.insert(name.clone(), now);
    }

    fn lately(&self, name: &str, now: Instant) -> bool {
        let at = self.0.get(name);
        at.is_some_and(|at| now.saturating_duration_since(*at) < AVOID)
    }
}
