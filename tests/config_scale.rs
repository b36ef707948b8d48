//! The configuration store with as many accounts as the largest planned deployment.

use std::time::{Duration, Instant};

use endivefork::config::{Entry, Store};
use serde_json::json;

/// Accounts of the largest planned deployment.
const ACCOUNTS: usize = 23_000;

/// A new instance must have all accounts well before the balancer considers it failed.
const MAX_LISTING_TIME: Duration = Duration::from_secs(4);

fn account(i: usize, rev: u64, key: usize) -> Entry {
    let value = json!({ "key_sha256": format!("{key:064x}") });
    Entry {
        kind: "account".into(),
        name: format!("account-{i}").into(),
        rev,
        value: Some(value.to_string().into()),
    }
}

fn tombstone(i: usize, rev: u64) -> Entry {
    Entry {
        value: None,
        ..account(i, rev, 0)
    }
}

fn key_owner(store: &Store, key: usize) -> Option<String> {
    let view = store.view();
    view.keys
        .get(format!("{key:064x}").as_str())
        .map(ToString::to_string)
}

#[test]
fn all_accounts_are_listed_in_time() {
    let store = Store::new();
    let entries: Vec<_> = (0..ACCOUNTS).map(|i| account(i, i as u64 + 1, i)).collect();
    let begun = Instant::now();

    store.apply_listing("account", ACCOUNTS as u64, &entries);

    let took = begun.elapsed();
    assert_eq!(store.view().keys.len(), ACCOUNTS);
    assert!(took < MAX_LISTING_TIME, "{took:?}");
}

#[test]
fn keys_follow_their_accounts() {
    let store = Store::new();
    store.apply_all(&[account(1, 1, 10), account(2, 2, 20)]);

    store.apply_all(&[account(1, 3, 11)]);
    assert_eq!(key_owner(&store, 10), None);
    assert_eq!(key_owner(&store, 11).as_deref(), Some("account-1"));

    store.apply_all(&[account(2, 4, 11), tombstone(2, 5)]);
    assert_eq!(key_owner(&store, 11).as_deref(), Some("account-1"));
    assert_eq!(key_owner(&store, 20), None);

    store.apply_all(&[tombstone(1, 6)]);
    assert_eq!(key_owner(&store, 11), None);
}
