//! How old an instance's knowledge of the platform is.
//!
//! Knowledge of a topic is as of the latest moment for which a response of the platform shows that
//! all changes acknowledged before it are known. Instances pass its age on with what they know, so
//! that one which learns from others can tell whether these still know the platform's state.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::platform_watch::Topic;

/// Time between the ends of two watches of a topic by one of two readers, as a share of the time
/// within which changes take effect. Each watch is billed.
const WATCH_SHARE: f64 = 0.8;

/// Shortest wait of a watch that is to end between two of another reader, as a share of the period.
const WATCH_MIN_SHARE: f64 = 0.25;

/// Age from which knowledge is read anew, as a share of the same time. Above half a period of the
/// watches with the time in which others learn of them; the rest is for the read.
const STALE_SHARE: f64 = 0.65;

/// An instance without others in its failure domain notices by itself alone that the connection of a
/// watch is silent, and must know what it missed once time limits hold again. From this time before
/// that on it may do both: the longest delay of a watch's end, that of its response, and a read.
const ALONE_MARGIN: Duration = Duration::from_millis(500);

/// Shortest wait of such an instance's watch; one that would end sooner lasts for another period.
const ALONE_WAIT_MIN: Duration = Duration::from_millis(100);

/// Time after the end of such a watch at which a missing response means a silent connection. The read
/// that follows has the usual time.
const ALONE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time over which instances with stale knowledge read one after the other, as a share of the same
/// time, so that the first to succeed spares the rest.
const SPREAD_SHARE: f64 = 0.1;

/// Limits on the age of knowledge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgeLimits {
    /// Time between the ends of two watches of a topic by one of two readers.
    pub(crate) period: Duration,
    /// Time between the ends of two watches of a topic by an instance without others in its failure
    /// domain. Those of the two topics end by turns, half of it apart, and one that is overdue ends
    /// the other.
    alone: Duration,
    /// Time in which others learn of a read.
    pub(crate) spread: Duration,
    stale: Duration,
}

impl AgeLimits {
    /// The limits for changes that take effect within `timeout`, which holds for an instance that has
    /// been undisturbed for `recovery`.
    pub(crate) fn new(timeout: Duration, recovery: Duration) -> Self {
        let alone = timeout.max(recovery).saturating_sub(ALONE_MARGIN);
        Self {
            period: timeout.mul_f64(WATCH_SHARE),
            alone: alone.max(ALONE_WAIT_MIN),
            stale: timeout.mul_f64(STALE_SHARE),
            spread: timeout.mul_f64(SPREAD_SHARE),
        }
    }

    /// Age from which knowledge is read anew by an instance whose turn is `turn`, from 0 to 1.
    pub(crate) fn stale(&self, turn: f64) -> Duration {
        self.stale + self.spread.mul_f64(turn)
    }

    /// The same for an instance without others in its failure domain: older than a watch that ends in
    /// time leaves it.
    pub(crate) fn stale_alone(&self) -> Duration {
        self.alone + ALONE_RESPONSE_TIMEOUT
    }

    /// Time after the end of such an instance's watch at which a missing response means a silent
    /// connection.
    pub(crate) fn response_timeout_alone(&self) -> Duration {
        ALONE_RESPONSE_TIMEOUT
    }

    /// Wait of a watch by such an instance that begins when its process has run for `uptime`.
    pub(crate) fn wait_alone(&self, topic: Topic, uptime: Duration) -> Duration {
        let period = self.alone.as_nanos();
        let offset = match topic {
            Topic::Rules => 0,
            Topic::Targets => period / 2,
        };
        let left = Duration::from_nanos((period - (uptime.as_nanos() + offset) % period) as u64);
        match left < ALONE_WAIT_MIN {
            true => left + self.alone,
            false => left,
        }
    }

    /// Whether knowledge is older than two readers that take turns leave it.
    pub(crate) fn is_overdue(&self, age: Duration) -> bool {
        age > self.period / 2
    }

    /// Whether it pays to ask an instance whose knowledge has the age `theirs`. That of one that
    /// learned from this instance is a little older.
    pub(crate) fn is_fresher(&self, theirs: Duration, own: Duration) -> bool {
        self.is_overdue(own) && theirs.saturating_add(self.period / 4) < own
    }

    /// Wait of a watch that begins now, so that the watches of two readers end by turns, half a
    /// period apart. `others` is the time since another reader's last watch ended. Only one of two
    /// readers adapts to the other, and one without another takes both turns.
    pub(crate) fn watch_wait(&self, others: Option<Duration>, adapts: bool) -> Duration {
        let (period, half) = (self.period, self.period / 2);
        let Some(since) = others.filter(|since| *since < period + half) else {
            return half;
        };
        if !adapts {
            return period;
        }
        // The next end that is half a period after one of the other reader.
        let left = (period + half - since).as_secs_f64() % period.as_secs_f64();
        let left = Duration::from_secs_f64(left);
        match left < period.mul_f64(WATCH_MIN_SHARE) {
            true => left + period,
            false => left,
        }
    }
}

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

    /// Age of the knowledge of a topic by own reads alone.
    pub(crate) fn read_age(&self, topic: Topic, now: Instant) -> Option<Duration> {
        self.topic(topic).age(now).read
    }

    /// Time since another reader of this failure domain last read a topic.
    pub(crate) fn others_age(&self, topic: Topic, now: Instant) -> Option<Duration> {
        let others = self.topic(topic).others;
        others.map(|at| now.saturating_duration_since(at))
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
