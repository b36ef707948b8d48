//! Series of what targets say about the requests that they take, in any order, with restarts and
//! outages of the platform among them. The decision alone, in simulated time.

use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Costs, Departure, PeerReport, Policy, Query, Router};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const TARGETS: usize = 4;

const SEEDS: u64 = 400;

const STEPS: usize = 300;

/// Least interval between two requests to a target that returns.
const RETURN_INTERVAL: Duration = Duration::from_millis(50);

/// What the test knows of one target.
#[derive(Clone, Debug, Default)]
struct Known {
    key: u32,
    incarnation: u64,
    is_listed: bool,
    is_leaving: bool,
    /// Whether a peer said so of this incarnation.
    is_peer_leaving: bool,
    quiet_until: Option<Instant>,
    is_taken: bool,
    last_sent: Option<Instant>,
}

impl Known {
    /// Whether a request may be sent to the target.
    fn is_open(&self, now: Instant) -> bool {
        let is_quiet = self.quiet_until.is_some_and(|until| until > now);
        !self.is_leaving && !is_quiet && self.is_listed
    }

    /// Whether its requests are spread out at `now`.
    fn is_paced(&self, now: Instant) -> bool {
        let until = self.quiet_until.map(|until| until + Duration::from_secs(1));
        until.is_some_and(|until| !self.is_taken || now < until)
    }
}

struct Play {
    rng: StdRng,
    router: Router,
    now: Instant,
    next_key: u32,
    targets: Vec<Known>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut play = Self {
            rng: StdRng::seed_from_u64(seed),
            router: Router::seeded(Policy::Cost, Costs::default(), seed),
            now: Instant::now(),
            next_key: 0,
            targets: vec![Known::default(); TARGETS],
        };
        (0..TARGETS).for_each(|n| play.restart(n));
        play
    }

    fn restart(&mut self, n: usize) {
        self.targets[n] = Known {
            key: self.next_key,
            incarnation: self.targets[n].incarnation + 1,
            is_listed: true,
            ..Known::default()
        };
        self.next_key += 1;
        self.sync();
    }

    fn sync(&self) {
        let listed = self.targets.iter().enumerate().filter(|(_, t)| t.is_listed);
        let targets = listed.map(|(n, t)| Target {
            key: TargetKey(t.key),
            name: format!("t-{n}").into(),
            incarnation: t.incarnation,
            addr: ([127, 0, 0, 1], 9000).into(),
            domain: ["a", "b"][n % 2].into(),
            region: "r".into(),
            service: "app".into(),
            version: "".into(),
            leaving: false,
        });
        self.router.sync(targets.collect());
    }

    fn step(&mut self) {
        let n = self.rng.random_range(0..TARGETS);
        let key = TargetKey(self.targets[n].key);
        match self.rng.random_range(0..20) {
            0 => {
                self.router.mark_leaving(key, self.now);
                self.targets[n].is_leaving = true;
            }
            1 => self.restart(n),
            2 | 3 => {
                self.targets[n].is_listed ^= true;
                self.sync();
            }
            4..7 => {
                let time = Duration::from_millis(self.rng.random_range(0..3000));
                self.router.mark_quiet(key, time, self.now);
                let target = &mut self.targets[n];
                target.quiet_until = target.quiet_until.max(Some(self.now + time));
                target.is_taken = false;
            }
            7 => self.hear_from_peer(n),
            // A late answer of the incarnation before.
            8 if key.0 > 0 => {
                let earlier = self.rng.random_range(0..key.0);
                if self.targets.iter().all(|t| t.key != earlier) {
                    self.router.mark_leaving(TargetKey(earlier), self.now);
                    let time = Duration::from_secs(60);
                    self.router.mark_quiet(TargetKey(earlier), time, self.now);
                }
            }
            9 => self.now += Duration::from_millis(self.rng.random_range(0..2500)),
            _ => self.now += Duration::from_millis(self.rng.random_range(0..40)),
        }
    }

    /// A peer reports that an incarnation of a target is leaving, this one or one before.
    fn hear_from_peer(&mut self, n: usize) {
        let target = &mut self.targets[n];
        let incarnation = target.incarnation - u64::from(self.rng.random_range(0..2) == 0);
        if incarnation == target.incarnation && target.is_listed {
            target.is_peer_leaving = true;
        }
        let report = PeerReport {
            leaving: vec![Departure {
                target: format!("t-{n}").into(),
                incarnation,
            }],
            ..PeerReport::default()
        };
        self.router.apply_peer_report("peer", &report, self.now);
    }

    fn choose(&mut self) -> Option<usize> {
        let query = Query {
            service: "app",
            version: "",
            domain: "a",
            region: "r",
            prefix: None,
            excluded: &[],
            bytes: 0,
            excluded_domains: &[],
            work: None,
        };
        let lease = self.router.choose(&query, self.now)?;
        let n = self.targets.iter().position(|t| t.key == lease.key.0);
        Some(n.expect("a target of the present incarnation"))
    }

    /// Sends a request, if a target takes it, and checks that it was allowed.
    fn send(&mut self, seed: u64) {
        let now = self.now;
        let Some(n) = self.choose() else {
            let spread = |t: &Known| {
                let sent = t.last_sent.is_some_and(|at| now < at + RETURN_INTERVAL);
                t.is_paced(now) && sent
            };
            let by_peer = |t: &Known| t.is_peer_leaving;
            let open = |t: &&Known| t.is_open(now) && !spread(t) && !by_peer(t);
            let open: Vec<_> = self.targets.iter().filter(open).collect();
            assert!(open.is_empty(), "seed {seed}: {open:?} got no request");
            return;
        };
        let target = &mut self.targets[n];
        let is_open = target.is_open(now) && !target.is_peer_leaving;
        assert!(is_open, "seed {seed}: a request for {target:?}");
        if let Some(sent) = target.last_sent.filter(|_| target.is_paced(now)) {
            let is_spread = target.quiet_until.is_some_and(|until| sent < until);
            assert!(
                is_spread || now >= sent + RETURN_INTERVAL,
                "seed {seed}: {target:?} gets requests at once"
            );
        }
        target.last_sent = Some(now);
        if self.rng.random_range(0..3) > 0 {
            self.router.mark_taken(TargetKey(target.key), now);
            target.is_taken |= target.quiet_until.is_some_and(|until| now >= until);
        }
    }
}

#[test]
fn target_gets_no_request_that_it_said_it_does_not_take() {
    for seed in 0..SEEDS {
        let mut play = Play::new(seed);
        for _ in 0..STEPS {
            play.step();
            (0..2).for_each(|_| play.send(seed));
        }
    }
}

#[test]
fn time_that_a_target_wants_no_requests_for_is_bounded() {
    let play = Play::new(1);
    let key = TargetKey(play.targets[0].key);

    play.router.mark_quiet(key, Duration::MAX, play.now);

    assert!(
        !play
            .router
            .is_available(key, play.now + Duration::from_secs(299))
    );
    assert!(
        play.router
            .is_available(key, play.now + Duration::from_secs(301))
    );
}

#[test]
fn answer_to_a_request_sent_before_the_end_of_the_quiet_does_not_end_it() {
    let play = Play::new(2);
    let key = TargetKey(play.targets[0].key);
    let until = play.now + Duration::from_secs(2);

    play.router
        .mark_quiet(key, Duration::from_secs(2), play.now);
    play.router
        .mark_taken(key, play.now + Duration::from_secs(1));
    assert!(
        !play
            .router
            .is_available(key, play.now + Duration::from_secs(1))
    );
    assert!(
        play.router
            .is_returning(key, until + Duration::from_secs(2))
    );
    play.router.mark_taken(key, until);

    assert!(
        !play
            .router
            .is_returning(key, until + Duration::from_secs(2))
    );
}
