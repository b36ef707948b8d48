//! Invariants of the configuration store: revisions never decrease, deleted objects stay deleted,
//! and instances converge.

use std::collections::HashMap;

use endivefork::config::{Entry, KINDS, Store};
use proptest::prelude::*;
use serde_json::{Value, json};

const NAMES: [&str; 3] = ["a", "b", "c"];

fn service(version: &str) -> Value {
    json!({"kind": "plain", "version": version, "versions": {version: {}}})
}

fn entry(name: &str, rev: u64, value: Option<&Value>) -> Entry {
    Entry {
        kind: "service".into(),
        name: name.into(),
        rev,
        value: value.map(|v| v.to_string().into()),
    }
}

/// The platform's history: each revision sets or deletes one object.
fn history(ops: &[(usize, bool)]) -> Vec<Entry> {
    let change = |(i, (name, set)): (usize, &(usize, bool))| {
        let rev = i as u64 + 1;
        let value = service(&format!("v{rev}"));
        entry(NAMES[*name], rev, set.then_some(&value))
    };
    ops.iter().enumerate().map(change).collect()
}

/// The platform's listing as of revision `at`.
fn listing(history: &[Entry], at: u64) -> Vec<Entry> {
    let mut last = HashMap::new();
    for change in history.iter().filter(|c| c.rev <= at) {
        last.insert(change.name.clone(), change.clone());
    }
    last.into_values().filter(|c| c.value.is_some()).collect()
}

fn revs(store: &Store) -> HashMap<String, u64> {
    let view = store.view();
    let revs = view.services.iter();
    revs.map(|(n, s)| (n.to_string(), s.rev)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Change(usize),
    List(usize),
    Peer,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..40_usize).prop_map(Step::Change),
        (0..40_usize).prop_map(Step::List),
        Just(Step::Peer),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// In whatever order changes, stale listings and peers' answers arrive, no revision decreases,
    /// no deleted object returns, and all instances converge to the platform's state.
    #[test]
    fn revisions_never_fall(
        ops in prop::collection::vec((0..3_usize, any::<bool>()), 1..20),
        steps in prop::collection::vec((0..2_usize, step()), 1..60),
    ) {
        let history = history(&ops);
        let stores = [Store::new(), Store::new()];
        for (at, step) in steps {
            let before = revs(&stores[at]);
            let held: HashMap<_, _> = held(&stores[at]);
            match step {
                Step::Change(i) => {
                    stores[at].apply_all(&history[i % history.len()..][..1]);
                }
                Step::List(i) => {
                    let rev = (i % history.len()) as u64 + 1;
                    stores[at].apply_listing("service", rev, &listing(&history, rev));
                }
                Step::Peer => {
                    let entries = stores[1 - at].newer_than(&stores[at].held());
                    stores[at].apply_all(&entries);
                }
            }
            for (name, rev) in revs(&stores[at]) {
                prop_assert!(before.get(&name).is_none_or(|old| *old <= rev));
            }
            for (name, rev) in &self::held(&stores[at]) {
                prop_assert!(held.get(name).is_none_or(|old| old <= rev));
            }
        }
        let last = history.len() as u64;
        for store in &stores {
            store.apply_listing("service", last, &listing(&history, last));
            let want: HashMap<_, _> = listing(&history, last)
                .into_iter()
                .map(|e| (e.name.to_string(), e.rev))
                .collect();
            prop_assert_eq!(revs(store), want);
        }
        prop_assert_eq!(stores[0].summary().digest, stores[1].summary().digest);
    }
}

fn held(store: &Store) -> HashMap<String, u64> {
    let held = store.held().into_iter();
    held.map(|h| (h.name.to_string(), h.rev)).collect()
}

#[test]
fn stale_peers_and_listings_do_not_restore_a_deleted_service() {
    let (store, stale) = (Store::new(), Store::new());
    for s in [&store, &stale] {
        s.apply("service", "a", 5, Some(&service("v1")));
    }

    store.apply("service", "a", 7, None);
    store.apply_all(&stale.newer_than(&store.held()));
    store.apply_listing("service", 6, &[entry("a", 5, Some(&service("v1")))]);
    stale.apply_all(&store.newer_than(&stale.held()));

    assert!(store.view().services.is_empty());
    assert!(
        stale.view().services.is_empty(),
        "the tombstone must reach the stale store"
    );
    assert_eq!(store.summary().digest, stale.summary().digest);
}

#[test]
fn old_revisions_stay_refused_after_their_tombstones_are_dropped() {
    let store = Store::new();
    for i in 0..3000 {
        store.apply("account", &format!("n{i}"), i + 1, None);
    }

    store.apply_listing("account", 4000, &[]);

    let account = json!({"key_sha256": "00"});
    assert!(store.held().len() <= 1024, "{}", store.held().len());
    assert!(!store.apply("account", "n1", 3000, Some(&account)));
    assert!(store.apply("account", "n1", 4001, Some(&account)));
}

#[test]
fn an_undecodable_object_leaves_the_previous_one_in_force() {
    let store = Store::new();
    store.apply("service", "a", 1, Some(&service("v1")));

    let applied = store.apply("service", "a", 2, Some(&json!({"kind": "later"})));

    assert!(applied);
    assert_eq!(store.unreadable(), 1);
    assert_eq!(store.view().services["a"].rev, 1);
    assert_eq!(store.held()[0].rev, 2);
}

#[test]
fn unknown_object_kinds_are_refused() {
    let store = Store::new();

    let applied = store.apply("claim", "a", 1, Some(&json!({})));

    assert!(!applied);
    assert!(!KINDS.contains(&"claim"));
}
