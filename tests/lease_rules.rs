//! Safety of leases under pauses and lost answers, the load budget, and the choice of orders, in
//! virtual time.

use std::time::{Duration, Instant};

use endivefork::config::Service;
use endivefork::fleet::{Lease, LoadBudget, Loaded, ORDER_LIMIT, Op, Step, TERM, missing};
use proptest::prelude::*;
use serde_json::json;

/// The lease object on the platform.
#[derive(Clone, Copy, Debug, Default)]
struct Object {
    rev: u64,
    holder: usize,
}

/// Simulated instances that contend for one lease.
struct World {
    base: Instant,
    leases: Vec<Lease>,
    sent: Vec<Option<Instant>>,
    paused_until: Vec<u64>,
    object: Object,
}

impl World {
    fn new(count: usize) -> Self {
        Self {
            base: Instant::now(),
            leases: vec![Lease::new(); count],
            sent: vec![None; count],
            paused_until: vec![0; count],
            object: Object::default(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    /// Runs one step of instance `i`. If `lost`, the answer to a write is lost.
    fn step(&mut self, i: usize, ms: u64, lost: bool) {
        let now = self.at(ms);
        match self.leases[i].step(now) {
            Step::Wait => {}
            Step::Read => self.read(i, now),
            Step::Write(rev) => {
                self.sent[i] = Some(now);
                let taken = rev == self.object.rev;
                if taken {
                    self.object = Object {
                        rev: rev + 1,
                        holder: i,
                    };
                }
                match taken {
                    true if !lost => self.leases[i].written(rev + 1, now, now),
                    _ => self.read(i, now),
                }
            }
        }
    }

    fn read(&mut self, i: usize, now: Instant) {
        let own_write = (self.object.rev > 0 && self.object.holder == i)
            .then_some(self.sent[i])
            .flatten();
        self.leases[i].observe(self.object.rev, own_write, now);
    }

    fn fences(&self, ms: u64, checked: bool) -> Vec<u64> {
        let fence = |lease: &Lease| lease.fence(self.at(ms), checked);
        self.leases.iter().filter_map(fence).collect()
    }
}

proptest! {
    /// With any pauses and lost answers, no two instances may send orders at the same time, and an
    /// instance's orders have ended before another sends to targets that ignore fencing numbers.
    #[test]
    fn at_most_one_instance_may_send_orders(
        faults in prop::collection::vec((0..3_usize, any::<bool>(), 0..30_000_u64), 1..40),
    ) {
        let mut world = World::new(3);
        let mut last: Option<(usize, u64)> = None;
        let mut faults = faults.into_iter();
        for ms in (0..120_000).step_by(250) {
            let fault = if ms % 3000 == 0 { faults.next() } else { None };
            if let Some((i, _, pause)) = fault {
                world.paused_until[i] = ms + pause;
            }
            let lost = fault.is_some_and(|(_, lost, _)| lost);
            for i in 0..3 {
                if world.paused_until[i] <= ms {
                    world.step(i, ms, lost);
                }
            }
            prop_assert!(world.fences(ms, true).len() <= 1, "two holders at {ms} ms");
            for i in 0..3 {
                if world.leases[i].fence(world.at(ms), false).is_none() {
                    continue;
                }
                if let Some((other, sent)) = last && other != i {
                    let gap = Duration::from_millis(ms - sent);
                    prop_assert!(gap >= ORDER_LIMIT, "{other} sent {gap:?} before {i}");
                }
                last = Some((i, ms));
            }
        }
    }
}

#[test]
fn a_holder_paused_past_its_term_may_not_send() {
    let mut world = World::new(2);
    world.step(0, 0, false);
    world.step(0, 0, false);
    assert_eq!(world.fences(100, true).len(), 1);

    let after = TERM.as_millis() as u64 + 100;
    world.step(1, 0, false);
    world.step(1, after, false);

    assert!(world.leases[0].fence(world.at(after), true).is_none());
    assert!(world.leases[1].fence(world.at(after), true).is_some());
    assert!(world.leases[1].fence(world.at(after), false).is_none());
}

#[test]
fn a_write_whose_answer_is_lost_still_acquires_the_lease() {
    let mut world = World::new(1);
    world.step(0, 0, false);

    world.step(0, 10, true);

    assert_eq!(world.fences(20, true), [world.object.rev]);
}

#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let base = Instant::now();
    let mut budget = LoadBudget::new(base);

    let taken = (0..100_u32).filter(|i| budget.try_take(base + Duration::from_millis(100) * *i));

    let taken = taken.count();
    assert!((20..=24).contains(&taken), "{taken} loads in 10 s");
}

#[test]
fn only_missing_state_is_ordered() {
    let service: Service = serde_json::from_value(json!({
        "kind": "generation",
        "version": "v1",
        "versions": {"v1": {"model": "m1", "adapters": ["a1", "a2"], "role": "prefill"}},
    }))
    .unwrap();
    let loaded = Loaded {
        models: vec!["m1".into()],
        adapters: vec!["a2".into()],
        ..Loaded::default()
    };

    let orders = missing(&service, "v1", &loaded);

    let ops: Vec<_> = orders.iter().map(|o| (o.op, o.name.as_str())).collect();
    let want = [
        (Op::LoadAdapter, "a1"),
        (Op::LoadVersion, "v1"),
        (Op::Role, "prefill"),
    ];
    assert_eq!(ops, want);
    assert!(missing(&service, "unknown", &loaded).is_empty());
}
