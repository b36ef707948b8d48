//! Finds targets that fail their requests although they take connections and pass health checks.
//!
//! Answers the load of a target that fails all or most of what it gets: requests that may run only
//! once are lost with each attempt, so a few failures must be enough, and a connection that opens
//! must not count as a sign of recovery.

use std::time::{Duration, Instant};

/// Time in which the weight of an outcome halves.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of recent failures from which a target may be ejected: three in quick succession. Single
/// requests fail at sound targets too.
const FAILURES_MIN: f64 = 2.5;

/// Share of failures among the recent outcomes from which a target is ejected.
const FAILED_SHARE: f64 = 0.6;

/// Length of a first ejection; each further one without a success in between doubles it.
const EJECTION_MIN: Duration = Duration::from_secs(2);

/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(16);

/// How a target stands by the outcomes of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It gets requests.
    Included,
    /// It gets requests only when no other target does.
    Ejected,
    /// Its ejection is over, and a request is to show whether it has recovered.
    Trial,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    length: Duration,
}

/// Recent outcomes of one target's requests, as this instance saw them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    failed: f64,
    answered: f64,
    at: Option<Instant>,
    ejection: Option<Ejection>,
}

impl Outcomes {
    /// Records an answer. It ends an ejection.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.decay(now);
        self.answered += 1.0;
        if self.ejection.take().is_some() {
            self.failed = 0.0;
        }
    }

    /// Records a failure. Returns whether the target is ejected by it; `may_eject` is `false` if too
    /// many targets of its service are already.
    pub(crate) fn record_failure(&mut self, may_eject: bool, now: Instant) -> bool {
        self.decay(now);
        self.failed += 1.0;
        let length = match self.ejection {
            // Requests that were sent before it.
            Some(current) if now < current.until => return false,
            Some(last) => (last.length * 2).min(EJECTION_MAX),
            None if !may_eject || !self.fails_mostly() => return false,
            None => EJECTION_MIN,
        };
        let until = now + length;
        self.ejection = Some(Ejection { until, length });
        true
    }

    pub(crate) fn standing(&self, now: Instant) -> Standing {
        match self.ejection {
            None => Standing::Included,
            Some(current) if now < current.until => Standing::Ejected,
            Some(_) => Standing::Trial,
        }
    }

    fn fails_mostly(&self) -> bool {
        let total = self.failed + self.answered;
        self.failed >= FAILURES_MIN && self.failed >= FAILED_SHARE * total
    }

    fn decay(&mut self, now: Instant) {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.failed *= factor;
        self.answered *= factor;
        self.at = Some(now);
    }
}

#[cfg(test)]
mod tests {
    use rand::rngs::StdRng;
    use rand::{RngExt as _, SeedableRng as _};

    use super::*;

    fn at(start: Instant, seconds: f64) -> Instant {
        start + Duration::from_secs_f64(seconds)
    }

    /// Plays requests at a rate against a target that fails a share of them until `end`; returns the
    /// number of requests that it got while it was faulty, and how often it was ejected.
    fn play(rate: f64, share: f64, end: f64, seed: u64) -> (u32, u32) {
        let (start, mut rng) = (Instant::now(), StdRng::seed_from_u64(seed));
        let (mut outcomes, mut sent, mut ejections) = (Outcomes::default(), 0, 0);
        for n in 0..(rate * end) as u32 {
            let now = at(start, f64::from(n) / rate);
            if outcomes.standing(now) == Standing::Ejected {
                continue;
            }
            sent += 1;
            match rng.random::<f64>() < share {
                true => ejections += u32::from(outcomes.record_failure(true, now)),
                false => outcomes.record_answer(now),
            }
        }
        (sent, ejections)
    }

    #[test]
    fn target_that_fails_everything_gets_few_requests() {
        for rate in [2.0, 10.0, 100.0] {
            let (sent, _) = play(rate, 1.0, 20.0, 1);

            // Three until the ejection, then one after 2, 6 and 14 s.
            assert!(sent <= 6, "{sent} at {rate} a second");
        }
    }

    #[test]
    fn target_with_usual_failures_is_never_ejected() {
        for seed in 0..40 {
            for share in [0.01, 0.05, 0.1] {
                let (_, ejections) = play(20.0, share, 60.0, seed);

                assert_eq!(ejections, 0, "{share}, seed {seed}");
            }
        }
    }

    #[test]
    fn answer_ends_an_ejection_and_the_failures_before_it() {
        let (start, mut outcomes) = (Instant::now(), Outcomes::default());
        for n in 0..3 {
            outcomes.record_failure(true, at(start, 0.1 * f64::from(n)));
        }
        let ejected = outcomes.standing(at(start, 1.0));

        let trial = outcomes.standing(at(start, 2.5));
        outcomes.record_answer(at(start, 2.5));
        let again = outcomes.record_failure(true, at(start, 2.6));

        assert_eq!([ejected, trial], [Standing::Ejected, Standing::Trial]);
        assert!(!again);
        assert_eq!(outcomes.standing(at(start, 2.7)), Standing::Included);
    }

    #[test]
    fn target_is_kept_while_too_many_others_are_ejected() {
        let (start, mut outcomes) = (Instant::now(), Outcomes::default());

        let ejected =
            (0..20).any(|n| outcomes.record_failure(false, at(start, f64::from(n) / 10.0)));

        assert!(!ejected);
        assert_eq!(outcomes.standing(at(start, 2.0)), Standing::Included);
    }
}
