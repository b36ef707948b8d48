//! Requests at targets that are no longer listed.

use std::time::{Duration, Instant};

use endivefork::fleet::Target;
use endivefork::ident::TargetKey;
use endivefork::routing::{Costs, Policy, Query, Router};
use tokio::time::timeout;

const KEY: TargetKey = TargetKey(0);

fn target(version: &str) -> Target {
    Target {
        key: KEY,
        name: "engine".into(),
        incarnation: 0,
        addr: ([127, 0, 0, 1], 9000).into(),
        domain: "a".into(),
        region: "a".into(),
        service: "drafting".into(),
        version: version.into(),
        leaving: false,
    }
}

/// Whether a request at a target that is found dead is woken, when the list changes to `listed`
/// before.
async fn is_woken(listed: Vec<Target>) -> bool {
    let router = Router::new(Policy::Cost, Costs::default());
    router.sync(vec![target("v1")]);
    let query = Query {
        excluded_domains: &[],
        work: None,
        service: "drafting",
        version: "v1",
        domain: "a",
        region: "a",
        prefix: None,
        excluded: &[],
        bytes: 0,
    };
    let lease = router.choose(&query, Instant::now()).unwrap();
    router.sync(listed);

    let lost = timeout(Duration::from_secs(1), lease.lost());
    let (woken, ()) = tokio::join!(lost, async {
        router.mark_dead(KEY, Instant::now());
    });
    woken.is_ok()
}

#[tokio::test]
async fn request_at_a_listed_target_is_woken_by_its_death() {
    assert!(is_woken(vec![target("v1")]).await);
}

#[tokio::test]
async fn request_at_a_removed_target_is_woken_by_its_death() {
    assert!(is_woken(Vec::new()).await);
}

#[tokio::test]
async fn request_at_a_changed_target_is_woken_by_its_death() {
    assert!(is_woken(vec![target("v2")]).await);
}

#[tokio::test]
async fn request_at_an_earlier_address_is_not_woken_by_a_death_at_the_present_one() {
    let moved = Target {
        addr: ([127, 0, 0, 1], 9001).into(),
        ..target("v1")
    };

    assert!(!is_woken(vec![moved]).await);
}
