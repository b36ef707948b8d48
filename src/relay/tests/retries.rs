use std::time::{Duration, Instant};

use proptest::prelude::*;
use smol_str::SmolStr;

use crate::relay::queries::LENDERS;
use crate::relay::retries::{Allowance, Retries, Usage};

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

proptest! {
    /// Any window of ten seconds, over all instances together.
    #[test]
    fn no_window_has_more_retries_than_are_allowed(
        members in 1_usize..9,
        steps in prop::collection::vec((0_u64..400, 0_u32..4, 0_u32..40), 1..120),
    ) {
        let base = Instant::now();
        let service = SmolStr::new("llm");
        let mut all: Vec<_> = (0..members).map(|_| Retries::new(ALLOWANCE, base)).collect();
        let mut now = base;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());

        for (pause, asked, wanted) in steps {
            now += Duration::from_millis(pause);
            for instance in &mut all {
                for _ in 0..asked {
                    instance.request(&service, now);
                    requests.push(now);
                }
                for _ in 0..wanted {
                    if instance.take(&service, members, now) {
                        retries.push(now);
                    }
                }
            }
        }

        let count = |times: &[Instant], end: Instant| {
            let within = |at: &&Instant| **at <= end && end - **at < ALLOWANCE.window;
            times.iter().filter(within).count() as f64
        };
        for end in &retries {
            // Requests count in that window, the one before it, or the one half a window before.
            let earlier = [Duration::ZERO, ALLOWANCE.window / 2, ALLOWANCE.window];
            let seen = earlier.iter().filter_map(|back| end.checked_sub(*back));
            let seen = seen.map(|end| count(&requests, end)).fold(0.0, f64::max);
            let made = count(&retries, *end);
            prop_assert!(made <= ALLOWANCE.ratio * seen + ALLOWANCE.slack, "{made} for {seen}");
        }
    }
}

#[test]
fn an_instance_that_sees_no_other_spends_no_more_than_the_slack() {
    let now = Instant::now();
    let mut retries = Retries::new(ALLOWANCE, now);
    let service = SmolStr::new("llm");

    let taken = (0..1000).filter(|_| retries.take(&service, 1, now)).count();

    assert!(taken as f64 <= ALLOWANCE.slack);
}

/// Age of the fleet's sums where they are used: a report, a summary and another report.
const LAG: Duration = Duration::from_millis(750);

/// Time between two steps of a play.
const STEP: Duration = Duration::from_millis(250);

/// A fleet whose instances know its sums late, in simulated time.
struct Fleet {
    service: SmolStr,
    all: Vec<Retries>,
    /// Instances that know no sums.
    apart: usize,
    sums: Vec<(Instant, Usage)>,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
    wanted: usize,
}

impl Fleet {
    const DOMAINS: usize = 6;

    fn new(members: usize, apart: usize, base: Instant) -> Self {
        let salted = |n| Retries::new(ALLOWANCE, base).salted(n as u64);
        Self {
            service: "llm".into(),
            all: (0..members).map(salted).collect(),
            apart,
            sums: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            wanted: 0,
        }
    }

    /// Passes on the sums that are `LAG` old.
    fn step(&mut self, now: Instant) {
        let reporting = self.all.len() - self.apart;
        let usage = self.all[self.apart..].iter().flat_map(|r| r.usage(now));
        let sum = usage.fold((0, 0), |(a, b), u| (a + u.requests, b + u.retries));
        let sum = Usage {
            service: self.service.clone(),
            requests: sum.0,
            retries: sum.1,
        };
        self.sums.push((now, sum));
        let known = self.sums.iter().rev().find(|(at, _)| now - *at >= LAG);
        let known = known.map(|(_, sum)| sum.clone());
        let members = self.all.len();
        for one in &mut self.all[self.apart..] {
            one.share(
                known.clone().into_iter().collect(),
                reporting as u32,
                members,
                now,
            );
        }
    }

    fn request(&mut self, who: usize, now: Instant) {
        self.all[who].request(&self.service, now);
        self.requests.push(now);
    }

    /// One instance wants a retry; the first of each domain lends, its own one first.
    fn want(&mut self, who: usize, now: Instant) {
        self.wanted += 1;
        let members = self.all.len();
        let own = self.all[who].take(&self.service, members, now);
        let reporting = members - self.apart;
        let domains = Self::DOMAINS.min(reporting);
        let asked = (0..LENDERS).map(|n| (who + n) % domains);
        let mut asked = asked.filter(|_| !own && who >= self.apart);
        let lent = asked.any(|domain| {
            let near = (reporting - domain).div_ceil(domains);
            self.all[self.apart + domain].lend(&self.service, near, now)
        });
        if lent {
            self.all[who].took(&self.service, now);
        }
        if own || lent {
            self.retries.push(now);
        }
    }

    fn keeps_the_bound(&self) -> Result<(), String> {
        let count = |times: &[Instant], end: Instant| {
            let within = |at: &&Instant| **at <= end && end - **at < ALLOWANCE.window;
            times.iter().filter(within).count() as f64
        };
        let mut ends = self.retries.clone();
        ends.dedup();
        for end in ends {
            let earlier = [Duration::ZERO, ALLOWANCE.window / 2, ALLOWANCE.window];
            let seen = earlier.iter().filter_map(|back| end.checked_sub(*back));
            let seen = seen
                .map(|end| count(&self.requests, end))
                .fold(0.0, f64::max);
            let made = count(&self.retries, end);
            if made > ALLOWANCE.ratio * seen + ALLOWANCE.slack {
                return Err(format!("{made} retries for {seen} requests"));
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// The load: requests of a rate that does not follow the fleet's size, and bursts in which some
    /// or all instances want many retries at once, also while a part of them knows no sums.
    #[test]
    fn a_fleet_of_any_size_keeps_the_sum_of_its_retries(
        members in 1_usize..1_000,
        apart in 0_usize..4,
        rate in 0_usize..60,
        bursts in prop::collection::vec((8_usize..160, 1_usize..1_000, 1_usize..8), 1..6),
    ) {
        let base = Instant::now();
        let mut fleet = Fleet::new(members, (members - 1) * apart / 6, base);
        for step in 0..160_u32 {
            let now = base + STEP * (step + 1);
            fleet.step(now);
            for n in 0..rate {
                fleet.request((n * 7 + step as usize * 13) % members, now);
            }
            for (at, who, many) in &bursts {
                if (*at..at + 8).contains(&(step as usize)) {
                    for n in 0..(*who).min(members) {
                        (0..*many).for_each(|_| fleet.want(n, now));
                    }
                }
            }
        }

        let kept = fleet.keeps_the_bound();
        prop_assert!(kept.is_ok(), "{}", kept.unwrap_err());
    }
}

/// Share of the retries granted that a fleet of `members` needs when nine tenths of one failure
/// domain's 80 streams lose their engine at once, every 6.7 seconds; `sums` tells whether the
/// instances know the fleet's sums.
fn granted(members: usize, sums: bool) -> f64 {
    let base = Instant::now();
    let mut fleet = Fleet::new(members, 0, base);
    for step in 0..160_u32 {
        let now = base + STEP * (step + 1);
        if sums {
            fleet.step(now);
        }
        // 83 streams begin in a second.
        for n in 0..21 {
            fleet.request((n * 7 + step as usize * 13) % members, now);
        }
        if step % 27 == 26 {
            let near = members.div_ceil(Fleet::DOMAINS);
            for n in 0..72 {
                let who = (n * n) % near * Fleet::DOMAINS;
                fleet.want(who % members, now);
            }
        }
    }
    assert_eq!(fleet.keeps_the_bound(), Ok(()));
    fleet.retries.len() as f64 / fleet.wanted as f64
}

/// 42 requests of a day with 295 instances ended for want of a retry, most of them after crashes of
/// a domain's engines, while the fleet's sum allowed hundreds.
#[test]
fn the_loss_of_a_domains_engines_leaves_no_stream_without_its_retry() {
    for members in [82, 295, 1_000] {
        let (divided, shared) = (granted(members, false), granted(members, true));

        assert!(
            divided < 0.9,
            "{members} instances: {divided} with equal parts"
        );
        assert!(shared == 1.0, "{members} instances: {shared} by need");
    }
}
