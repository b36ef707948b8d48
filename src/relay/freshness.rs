//! How old an instance's knowledge of the platform is.
//!
//! Knowledge of a topic is as of the latest moment for which a response of the platform shows that
//! all changes acknowledged before it are known. Instances pass its age on with what they know, so
//! that one which learns from others can tell whether these still know the platform's state.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::platform_watch::Topic;

/// Age of an instance's knowledge of one topic, as sent to other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Age {
    /// Age of the knowledge; `None` if there is none.
    pub(crate) known: Option<Duration>,
    /// The same by this instance's own reads alone.
    pub(crate) read: Option<Duration>,
}

/// Ages of an instance's knowledge of all topics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ages {
    pub(crate) rules: Age,
    pub(crate) targets: Age,
}

/// Moments as of which one topic is known.
#[derive(Clone, Copy, Debug, Default)]
struct KnownAt {
    /// By own reads and other instances.
    known: Option<Instant>,
    /// By own reads.
    read: Option<Instant>,
    /// By the reads of other readers of this failure domain.
    others: Option<Instant>,
}

impl KnownAt {
    fn age(&self, now: Instant) -> Age {
        let since = |at: Instant| now.saturating_duration_since(at);
        Age {
            known: self.known.map(since),
            read: self.read.map(since),
        }
    }
}

/// Moments as of which all topics are known.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    rules: KnownAt,
    targets: KnownAt,
}

impl Freshness {
    /// Records a read of the platform that shows its state as of `at`.
    pub(crate) fn record_read(&mut self, topic: Topic, at: Instant) {
        let known = self.topic_mut(topic);
        known.read = known.read.max(Some(at));
        known.known = known.known.max(Some(at));
    }

    /// Learns from the response of an instance to a message sent at `asked`. What it knows must be
    /// known here. Its age then was no less than the response tells, so `asked` is a lower bound.
    pub(crate) fn learn(&mut self, topic: Topic, age: Age, asked: Instant) {
        let at = age.known.and_then(|age| asked.checked_sub(age));
        let known = self.topic_mut(topic);
        known.known = known.known.max(at);
    }

    /// Records when another instance of this failure domain last read the platform, by a message
    /// that may have been on its way for long.
    pub(crate) fn record_reader(&mut self, ages: Ages, now: Instant) {
        for (topic, age) in [(Topic::Rules, ages.rules), (Topic::Targets, ages.targets)] {
            let at = age.read.and_then(|age| now.checked_sub(age));
            let known = self.topic_mut(topic);
            known.others = known.others.max(at);
        }
    }

    /// Age of the knowledge of a topic; `None` if there is none.
    pub(crate) fn age(&self, topic: Topic, now: Instant) -> Option<Duration> {
        self.topic(topic).age(now).known
    }

    pub(crate) fn ages(&self, now: Instant) -> Ages {
        Ages {
            rules: self.rules.age(now),
            targets: self.targets.age(now),
        }
    }

    fn topic(&self, topic: Topic) -> &KnownAt {
        match topic {
            Topic::Rules => &self.rules,
            Topic::Targets => &self.targets,
        }
    }

    fn topic_mut(&mut self, topic: Topic) -> &mut KnownAt {
        match topic {
            Topic::Rules => &mut self.rules,
            Topic::Targets => &mut self.targets,
        }
    }
}
