//! Limits of targets at single instances, and in simulated fleets.

mod fleet;

use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::ident::TargetKey;
use crate::peer::encode;
use crate::relay::limits::{Issuer, Limits, Permits, Rate};
use crate::routing::ProbeTarget;
use fleet::{Fleet, Outage, OutageKind, Plan};

const KEY: TargetKey = TargetKey(0);

/// HTTP/2 frames around a message or an answer, with their headers.
const FRAME_BYTES: usize = 60;

fn target() -> ProbeTarget {
    ProbeTarget {
        key: KEY,
        name: "t-0".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "d0".into(),
        service: "app".into(),
    }
}

fn rate(requests: f64) -> Option<Rate> {
    Rate::per_second(requests)
}

fn after(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

#[test]
fn limited_target_gets_no_request_without_a_permit() {
    let now = Instant::now();
    let mut limits = Limits::default();
    let before = limits.take(KEY, now);
    limits.observe(&target(), rate(4.0), now);

    let without = limits.take(KEY, now);
    let asks = limits.due_asks(&[target()], 2, now);
    let two = Permits {
        count: 2,
        wait: Duration::ZERO,
    };
    limits.grant(KEY, two, now, after(now, 0.1));
    let with: Vec<_> = (0..3).map(|_| limits.take(KEY, after(now, 0.2))).collect();

    assert!(before && !without);
    assert_eq!(asks.len(), 1);
    assert_eq!(with, [true, true, false]);
}

#[test]
fn limit_is_told_to_an_instance_that_answered_no_report_since() {
    let answered = Instant::now();
    let mut limits = Limits::default();
    limits.observe(&target(), rate(4.0), after(answered, 1.0));
    let now = after(answered, 9.0);

    let told = limits.news_since(Some(answered), now);

    assert_eq!(told.len(), 1);
    assert!(limits.news(now).is_empty(), "it is no longer news");
    assert!(limits.news_since(Some(now), now).is_empty());
}

#[test]
fn permits_expire_and_do_not_outlast_a_lower_limit() {
    let now = Instant::now();
    let mut limits = Limits::default();
    let one = Permits {
        count: 1,
        wait: Duration::ZERO,
    };
    limits.observe(&target(), rate(4.0), now);
    limits.grant(KEY, one, now, now);
    let expired = limits.take(KEY, after(now, 1.1));
    limits.grant(KEY, one, after(now, 2.0), after(now, 2.0));
    limits.observe(&target(), rate(2.0), after(now, 2.1));

    let lowered = limits.take(KEY, after(now, 2.2));
    limits.grant(KEY, one, after(now, 2.0), after(now, 2.3));
    let late = limits.take(KEY, after(now, 2.3));

    assert!(!expired && !lowered && !late);
}

#[test]
fn limit_is_lifted_once_answers_state_none_for_a_while() {
    let now = Instant::now();
    let mut limits = Limits::default();
    limits.observe(&target(), rate(4.0), now);

    limits.observe(&target(), None, after(now, 1.0));
    limits.observe(&target(), rate(4.0), after(now, 1.2));
    let stated_again = limits.settle(|_| true, after(now, 2.0));
    limits.observe(&target(), None, after(now, 2.1));
    let early = limits.settle(|_| true, after(now, 2.3));
    let lifted = limits.settle(|_| true, after(now, 2.7));

    assert_eq!((stated_again.len(), early.len(), lifted.len()), (0, 0, 1));
    assert_eq!(limits.rate(KEY), None);
}

#[test]
fn newest_statement_decides_whoever_heard_it() {
    let now = Instant::now();
    let (mut one, mut two) = (Limits::default(), Limits::default());
    one.observe(&target(), rate(4.0), now);
    let old = one.statement(KEY, after(now, 1.0)).unwrap();
    two.observe(&target(), rate(2.0), after(now, 0.5));
    let new = two.statement(KEY, after(now, 1.0)).unwrap();

    two.learn(&target(), &old, after(now, 1.0));
    one.learn(&target(), &new, after(now, 1.0));

    assert_eq!((one.rate(KEY), two.rate(KEY)), (rate(2.0), rate(2.0)));
}

#[test]
fn expected_wait_grows_with_the_requests_ahead() {
    let now = Instant::now();
    let mut limits = Limits::default();
    limits.observe(&target(), rate(2.0), now);
    let none = Permits {
        count: 0,
        wait: Duration::from_secs(1),
    };
    limits.grant(KEY, none, now, now);

    let waits: Vec<_> = (0..3)
        .map(|ahead| limits.expected_wait(&[target()], &[], ahead, now).as_secs())
        .collect();

    assert_eq!(waits, [1, 2, 3]);
}

#[test]
fn instances_that_find_no_permit_get_different_appointments() {
    let now = Instant::now();
    let mut issuer = Issuer::default();
    let limit = rate(4.0).unwrap();

    let waits: Vec<_> = (0..5)
        .map(|_| issuer.issue(KEY, limit, 1, 1.0, now).wait)
        .collect();

    let gaps = waits.windows(2).map(|pair| pair[1] - pair[0]);
    // Nine tenths of four a second are issued.
    let gap = Duration::from_secs_f64(1.0 / 3.6);
    assert!(
        gaps.clone()
            .all(|g| g.abs_diff(gap) < Duration::from_millis(1)),
        "{waits:?}"
    );
}

/// Guards against instances that do not know each other and each issue the whole limit.
#[test]
fn issuers_that_have_not_met_issue_no_more_than_the_limit_together() {
    let start = Instant::now();
    let limit = rate(8.0).unwrap();
    for count in [1_u32, 2, 3, 6] {
        let mut issuers: Vec<_> = (0..count).map(|_| Issuer::default()).collect();
        let share = 1.0 / f64::from(count);
        let mut issued = 0;

        for tick in 0..400 {
            let now = after(start, f64::from(tick) * 0.05);
            for issuer in &mut issuers {
                issued += issuer.issue(KEY, limit, 4, share, now).count;
            }
        }

        assert!(
            (100..=160).contains(&issued),
            "{issued} permits of {count} in 20 s"
        );
    }
}

#[test]
fn issuer_without_a_share_issues_nothing_and_is_asked_again_later() {
    let permits = Issuer::default().issue(KEY, rate(8.0).unwrap(), 1, 0.0, Instant::now());

    assert_eq!(permits.count, 0);
    assert!(permits.wait > Duration::ZERO);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// The rule of the users, counted at the target: any fleet, limit, load and loss of messages, a
    /// limit that changes, and instances that fail meanwhile.
    #[test]
    fn target_gets_no_more_than_its_limit_from_a_fleet_of_any_size(
        seed in any::<u64>(),
        members in prop_oneof![1_usize..9, 9_usize..320],
        limit in prop_oneof![0.1_f64..3.0, 3.0_f64..60.0],
        load in 5.0_f64..400.0,
        lost in 0.0_f64..0.2,
        waits in any::<bool>(),
        lowered in prop_oneof![Just(1.0), 0.05_f64..0.9],
        outages in prop::collection::vec((0_usize..3, 2.0_f64..20.0, 0.2_f64..8.0, 0_usize..12), 0..5),
    ) {
        let kinds = [OutageKind::Kill, OutageKind::Freeze, OutageKind::Cut];
        let outages = outages.into_iter().map(|(kind, from, length, instance)| Outage {
            instance: instance % members,
            kind: kinds[kind],
            from,
            until: from + length,
        });
        let plan = Plan {
            seed,
            members,
            load,
            lost,
            limits: vec![(1.0, Some(limit)), (12.0, Some(limit * lowered)), (20.0, None)],
            waits,
            outages: outages.collect(),
            length: 24.0,
        };

        let fleet = Fleet::play(&plan);

        prop_assert_eq!(fleet.excess(), None);
    }
}

fn calm(members: usize, limit: f64, load: f64) -> Plan {
    Plan {
        seed: 1,
        members,
        load,
        lost: 0.0,
        limits: vec![(1.0, Some(limit))],
        waits: true,
        outages: Vec::new(),
        length: 40.0,
    }
}

#[test]
fn half_of_a_limit_is_used_while_there_is_load_for_it() {
    for (members, limit) in [
        (1, 4.0),
        (7, 4.0),
        (7, 0.5),
        (82, 4.0),
        (295, 4.0),
        (295, 40.0),
    ] {
        let fleet = Fleet::play(&calm(members, limit, 450.0));

        let used = fleet.arrived_between(10.0, 40.0) as f64 / 30.0 / limit;
        assert!(
            used > 0.5,
            "{members} instances use {used} of {limit} a second"
        );
    }
}

/// Five kilobytes a second is what an instance may spend on control; half of it is left for the
/// rest.
#[test]
fn asks_for_permits_fit_the_control_budget_at_295_instances() {
    let fleet = Fleet::play(&calm(295, 4.0, 450.0));

    let asks = fleet.asks_between(10.0, 40.0) as f64 / 30.0;
    let statement = {
        let mut limits = Limits::default();
        limits.observe(&target(), rate(4.0), Instant::now());
        limits.statement(KEY, after(Instant::now(), 60.0))
    };
    let permits = Permits {
        count: 1,
        wait: Duration::from_secs(30),
    };
    let bytes = encode(&(&statement, 1_u32)).len() + encode(&(permits, &statement)).len();
    let spent = asks * (bytes + 2 * FRAME_BYTES) as f64;
    assert!(
        spent < 2_500.0,
        "{asks} asks a second at the issuer, {spent} bytes"
    );
}
