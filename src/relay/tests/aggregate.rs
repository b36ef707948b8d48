//! Load aggregation: an instance learns the load of all others from one message, and the cost of a
//! slow or failed aggregator is bounded.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::relay::aggregate::{Aggregate, LoadReplica, LoadSummary, Origin, Version};
use crate::relay::exchange::{RecentFailures, Reporter};
use crate::relay::retries::Usage;
use crate::routing::{DEPARTURE_NEWS_TIME, Departure, InflightCount, PeerReport, Work};

const RUN: Work = Work {
    prompt: 8_000,
    memory: 8_650,
    runs: 1,
};

fn count(target: &str, runs: u32) -> InflightCount {
    InflightCount {
        target: target.into(),
        count: runs,
        work: Work {
            prompt: RUN.prompt * runs,
            memory: RUN.memory * runs,
            runs,
        },
    }
}

fn summary(counts: &[(&str, u32)]) -> LoadSummary {
    LoadSummary {
        report: PeerReport {
            counts: counts.iter().map(|(name, n)| count(name, *n)).collect(),
            ..PeerReport::default()
        },
        usage: vec![Usage {
            service: "llm".into(),
            requests: 3,
            retries: 1,
        }],
        members: 1,
        settled: 1,
    }
}

fn member(name: &str) -> Origin {
    Origin::Member(name.into())
}

fn runs(report: &PeerReport) -> IndexMap<SmolStr, u32> {
    let counts = report.counts.iter();
    counts.map(|c| (c.target.clone(), c.work.runs)).collect()
}

fn known(pairs: &[(&str, u32)]) -> IndexMap<SmolStr, u32> {
    pairs.iter().map(|(name, n)| ((*name).into(), *n)).collect()
}

#[test]
fn delta_excludes_the_load_of_its_receiver() {
    let now = Instant::now();
    let mut aggregate = Aggregate::new(1);
    aggregate.update(member("a"), summary(&[("e1", 1), ("e2", 2)]), now);
    aggregate.update(member("b"), summary(&[("e1", 3)]), now);
    let remote = Origin::Aggregator("z".into());
    aggregate.update(remote, summary(&[("e1", 4), ("e3", 1)]), now);

    let report = LoadReplica::default().apply(aggregate.delta("a", Version::default()));

    assert_eq!(runs(&report), known(&[("e1", 7), ("e3", 1)]));
}

#[test]
fn later_deltas_contain_only_changes() {
    let now = Instant::now();
    let mut aggregate = Aggregate::new(1);
    let many: Vec<_> = (0..300).map(|n| format!("e{n}")).collect();
    let loads: Vec<_> = many.iter().map(|name| (name.as_str(), 1)).collect();
    aggregate.update(member("b"), summary(&loads), now);
    aggregate.update(member("c"), summary(&[("e1", 1)]), now);
    let mut replica = LoadReplica::default();
    replica.apply(aggregate.delta("a", replica.version()));

    aggregate.update(member("c"), summary(&[("e2", 1)]), now);
    let delta = aggregate.delta("a", replica.version());
    let bytes = crate::peer::encode(&delta).len();
    let report = replica.apply(delta);

    assert!(bytes < 100, "{bytes} bytes");
    assert_eq!(report.counts.len(), 300);
    assert_eq!(runs(&report)["e1"], 1);
    assert_eq!(runs(&report)["e2"], 2);
}

#[test]
fn load_of_an_instance_that_stops_reporting_expires() {
    let now = Instant::now();
    let mut aggregate = Aggregate::new(1);
    aggregate.update(member("b"), summary(&[("e1", 1)]), now);
    let mut replica = LoadReplica::default();
    replica.apply(aggregate.delta("a", replica.version()));

    aggregate.expire(now + Duration::from_secs(2));
    let still = replica.apply(aggregate.delta("a", replica.version()));
    aggregate.expire(now + Duration::from_secs(3));
    let gone = replica.apply(aggregate.delta("a", replica.version()));

    assert_eq!(runs(&still), known(&[("e1", 1)]));
    assert_eq!(runs(&gone), known(&[]));
}

/// An instance that was paused for long, or changes to another aggregator, holds loads that have
/// since ended.
#[test]
fn stale_loads_are_replaced_by_the_full_state() {
    let now = Instant::now();
    let mut aggregate = Aggregate::new(1);
    aggregate.update(member("b"), summary(&[("e1", 1)]), now);
    let mut replica = LoadReplica::default();
    replica.apply(aggregate.delta("a", replica.version()));

    aggregate.expire(now + Duration::from_secs(3));
    aggregate.expire(now + Duration::from_secs(20));
    let later = now + Duration::from_secs(20);
    aggregate.update(member("c"), summary(&[("e2", 1)]), later);
    let returned = replica.apply(aggregate.delta("a", replica.version()));
    let mut other = Aggregate::new(2);
    other.update(member("d"), summary(&[("e3", 1)]), later);
    let moved = replica.apply(other.delta("a", replica.version()));

    assert_eq!(runs(&returned), known(&[("e2", 1)]));
    assert_eq!(runs(&moved), known(&[("e3", 1)]));
}

#[test]
fn summary_covers_only_the_reporting_instances() {
    let now = Instant::now();
    let mut aggregate = Aggregate::new(1);
    for name in ["a", "b"] {
        aggregate.update(member(name), summary(&[("e1", 1)]), now);
    }
    let remote = Origin::Aggregator("z".into());
    aggregate.update(remote, summary(&[("e1", 4)]), now);

    let summary = aggregate.summary();

    assert_eq!(runs(&summary.report), known(&[("e1", 2)]));
    assert_eq!(summary.members, 2);
    assert_eq!(
        (summary.usage[0].requests, summary.usage[0].retries),
        (6, 2)
    );
    assert_eq!(aggregate.delta("a", Version::default()).members, 3);
}

/// Reports per second of simulated time, and the maximum number in flight, for 49 instances whose
/// aggregator candidates spend `work` on each report. An instance reports 250 ms after its last
/// report was answered or timed out; candidates also process reports that have timed out.
fn reports_in_flight(work: Duration) -> (f64, usize) {
    const INSTANCES: usize = 49;
    let step = Duration::from_millis(10);
    let (limit, period) = (Duration::from_millis(800), Duration::from_millis(250));
    let begin = Instant::now();
    let names: Vec<SmolStr> = (0..3).map(|n| format!("c{n}").into()).collect();
    let mut queues: Vec<VecDeque<(usize, u32)>> = vec![VecDeque::new(); 3];
    let mut budgets = [Duration::ZERO; 3];
    let mut senders: Vec<_> = (0..INSTANCES)
        .map(|n| {
            let failed = RecentFailures::default();
            let first = begin + period * n as u32 / INSTANCES as u32;
            (
                Reporter::default(),
                failed,
                first,
                None::<(Instant, usize)>,
                0_u32,
            )
        })
        .collect();
    let (mut sent, mut max_pending) = (0, 0);
    let length = Duration::from_secs(60);
    let mut now = begin;
    while now < begin + length {
        now += step;
        for (at, queue) in queues.iter_mut().enumerate() {
            budgets[at] = (budgets[at] + step).min(work.max(step));
            while budgets[at] >= work {
                let Some((who, number)) = queue.pop_front() else {
                    break;
                };
                budgets[at] -= work;
                let (reporter, _, next, pending, current) = &mut senders[who];
                if pending.is_some() && *current == number {
                    reporter.record_success(now);
                    *pending = None;
                    *next = now + period;
                }
            }
        }
        for (who, (reporter, failed, next, pending, number)) in senders.iter_mut().enumerate() {
            if let Some((since, to)) = *pending
                && now - since >= limit
            {
                *pending = None;
                *next = now + period;
                if reporter.record_failure() {
                    failed.record(&names[to], now);
                }
            }
            if pending.is_none() && now >= *next {
                let to = (0..3)
                    .min_by_key(|to| failed.is_recent(&names[*to], now))
                    .unwrap();
                reporter.retarget(&names[to]);
                *pending = Some((now, to));
                *number += 1;
                queues[to].push_back((who, *number));
                sent += 1;
            }
        }
        let in_flight = senders.iter().filter(|s| s.3.is_some()).count();
        max_pending = max_pending.max(in_flight);
    }
    (f64::from(sent) / length.as_secs_f64(), max_pending)
}

/// Guards against a retry storm: senders that moved to the next aggregator while the last one was
/// still processing their reports overloaded all of them. With 295 instances, 12,286 reports failed
/// within four seconds.
#[test]
fn slow_aggregators_receive_fewer_reports() {
    let (fast, _) = reports_in_flight(Duration::from_millis(1));

    for work in [30, 100, 1_000] {
        let (slow, max_pending) = reports_in_flight(Duration::from_millis(work));

        assert!(
            slow < fast,
            "{work} ms: {slow} reports per second, {fast} from a fast aggregator"
        );
        assert!(max_pending <= 49, "{work} ms: {max_pending} in flight");
    }
}

/// Every target of the fleet is replaced within a minute, and each instance hears it from each.
#[test]
fn departures_fit_the_control_budget_at_295_instances() {
    const TARGETS: f64 = 331.0;
    const ROLL_SECONDS: f64 = 60.0;
    /// Reports of an instance to its aggregator.
    const REPORTS_PER_SECOND: f64 = 5.0;
    let departure = Departure {
        target: "i-7f3a91c2d4".into(),
        incarnation: 1_764_900_000_000,
    };

    let bytes = crate::peer::encode(&departure).len() as f64;
    let reports = DEPARTURE_NEWS_TIME.as_secs_f64() * REPORTS_PER_SECOND;
    // Once in the report and once in its reply.
    let spent = TARGETS / ROLL_SECONDS * reports * 2.0 * bytes;

    assert!(spent < 2_500.0, "{spent} bytes a second");
}
