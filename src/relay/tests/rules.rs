use std::time::Duration;

use indexmap::IndexMap;

use crate::relay::priority::{Priority, effective};
use crate::relay::rules::{Account, Engine, Kind, Limits, Route, Rules, Service, TrafficShare};

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, f64)]) -> Route {
    let share = |(service, weight): &(&str, f64)| TrafficShare {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(200),
        max_attempts: 2,
        shares: shares.iter().map(share).collect(),
        public: false,
        priority: Priority::default(),
    }
}

fn rules(routes: Vec<Route>, engines: &[&str]) -> Rules {
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 1,
        idle_timeout: Duration::ZERO,
    };
    let engine = Service {
        health_path: "/health".into(),
        engine: Some(Engine {
            kv_tokens: 1,
            backups: true,
            copies: true,
        }),
    };
    let mut services = IndexMap::from([("app".into(), Service::default())]);
    services.extend(engines.iter().map(|name| ((*name).into(), engine.clone())));
    Rules::new(1, routes, services, limits, None)
}

fn level(level: u8) -> Priority {
    Priority::new(level).unwrap()
}

fn account(priority: Option<u8>) -> Account {
    Account {
        name: "a".into(),
        priority: priority.map(level),
    }
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("all", "h", "/a/", &[("app", 1.0)]),
        route("part", "h", "/a/b/", &[("app", 1.0)]),
        route("other", "g", "/a/b/c/", &[("app", 1.0)]),
    ];
    let rules = rules(routes, &[]);
    let found = |host, path| rules.route(host, path).map(|r| r.name.as_str());

    assert_eq!(found("h", "/a/b/c/x"), Some("part"));
    assert_eq!(found("h", "/a/x"), Some("all"));
    assert_eq!(found("g", "/a/b/c/x"), Some("other"));
    assert_eq!(found("h", "/a"), None);
    assert_eq!(found("x", "/a/b/"), None);
}

#[test]
fn traffic_is_split_by_weight() {
    let route = route(
        "r",
        "h",
        "/",
        &[("one", 90.0), ("two", 10.0), ("none", 0.0)],
    );

    let share = |name: &str| {
        let points = (0..1000).map(|i| f64::from(i) / 1000.0);
        points
            .filter(|p| route.service(*p).unwrap() == name)
            .count()
    };

    assert_eq!((share("one"), share("two"), share("none")), (900, 100, 0));
}

#[test]
fn service_is_the_only_one_with_engines() {
    assert!(rules(Vec::new(), &["llm"]).is_sole_engine("llm"));
    assert!(!rules(Vec::new(), &["llm", "chat"]).is_sole_engine("llm"));
    assert!(!rules(Vec::new(), &["llm"]).is_sole_engine("app"));
}

#[test]
fn priority_of_the_account_overrides_that_of_the_route() {
    let route = Route {
        priority: level(2),
        ..route("r", "h", "/", &[])
    };

    assert_eq!(effective(&route, None), level(2));
    assert_eq!(effective(&route, Some(&account(None))), level(2));
    assert_eq!(effective(&route, Some(&account(Some(0)))), level(0));
    assert_eq!(effective(&route, Some(&account(Some(9)))), level(9));
}

/// An engine that is told a priority where there is only one would treat the requests of instances
/// with older rules differently.
#[test]
fn service_is_ranked_only_by_different_priorities_of_requests_to_its_engines() {
    type Accounts<'a> = Option<&'a [Option<u8>]>;
    // Service, priority and whether keys are optional, by route.
    type Routes<'a> = &'a [(&'a str, u8, bool)];
    let cases: [(Routes<'_>, Accounts<'_>, bool); 12] = [
        (&[], None, false),
        (&[("llm", 1, false)], None, false),
        (&[("llm", 1, false), ("llm", 1, false)], None, false),
        (&[("llm", 1, false), ("llm", 2, false)], None, true),
        (&[("llm", 1, false), ("app", 2, false)], None, false),
        (&[("llm", 1, false), ("chat", 2, false)], None, false),
        (&[("llm", 1, false), ("llm", 2, false)], Some(&[]), false),
        (
            &[("llm", 1, false), ("llm", 2, false)],
            Some(&[Some(3)]),
            false,
        ),
        (
            &[("llm", 1, false), ("llm", 2, false)],
            Some(&[Some(3), None]),
            true,
        ),
        (&[("llm", 1, false)], Some(&[Some(3), None]), true),
        (&[("llm", 1, false)], Some(&[Some(1), None]), false),
        (&[("llm", 1, true)], Some(&[Some(3)]), true),
    ];
    for (routes, priorities, expected) in cases {
        let built = routes.iter().map(|(service, priority, public)| Route {
            priority: level(*priority),
            public: *public,
            ..route("r", "h", "/", &[(*service, 1.0)])
        });
        let accounts = priorities.map(|all| {
            let keyed = all.iter().enumerate();
            let keyed = keyed.map(|(n, p)| (n.to_string().into(), account(*p)));
            keyed.collect()
        });
        let base = rules(Vec::new(), &["llm", "chat"]);

        let rules = Rules::new(1, built.collect(), base.services, base.limits, accounts);

        assert_eq!(
            rules.is_ranked("llm"),
            expected,
            "{routes:?} {priorities:?}"
        );
        assert!(!rules.is_ranked("app"), "{routes:?} {priorities:?}");
    }
}
