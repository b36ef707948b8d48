//! An entry of a list that can't be read costs that entry alone.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use endivefork::platform::{ApiFormat, Client, Error};
use proptest::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A platform that answers each call with the same body.
async fn platform(body: Vec<u8>) -> Client {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let router = Router::new().fallback(move || std::future::ready(body.clone()));
    tokio::spawn(async move { axum::serve(listener, router).await });
    Client::new(addr, TIMEOUT)
}

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

/// Texts that a reader of JSON can't decode as a value of any type.
fn unreadable_values() -> Vec<Vec<u8>> {
    let digits = "9".repeat(400);
    let mut texts = vec![
        nested(200),
        nested(100_000),
        "{\"a\":".repeat(100_000) + "1" + &"}".repeat(100_000),
        "1e999".into(),
        "-1e999".into(),
        digits,
        "\"\\ud800\"".into(),
        "\"\\x\"".into(),
        "NaN".into(),
        "[}".into(),
    ];
    texts.push("{1:2}".into());
    let mut bytes: Vec<_> = texts.into_iter().map(String::into_bytes).collect();
    bytes.push(b"\"\xff\xfe\"".to_vec());
    bytes
}

/// Entries that can't be read, the name `odd` in those that have one.
fn odd_entries() -> Vec<Vec<u8>> {
    let in_value = |value: Vec<u8>| {
        let head = br#"{"kind":"k","name":"odd","rev":5,"value":"#;
        [head.as_slice(), &value, b"}"].concat()
    };
    let in_rev = |rev: &str| format!(r#"{{"rev":{rev},"name":"odd","kind":"k","value":1}}"#);
    let revs = ["99999999999999999999999", "-1", "1.5", "\"5\"", "null"];
    let others = [r#"{"kind":"k","name":"odd","name":"odd","rev":5,"value":1}"#];
    let plain = [
        "null",
        "7",
        "[]",
        "{}",
        "\"text\"",
        r#"{"kind":"k","rev":5}"#,
    ];
    unreadable_values()
        .into_iter()
        .map(in_value)
        .chain(revs.map(|rev| in_rev(rev).into_bytes()))
        .chain(others.map(|e| e.as_bytes().to_vec()))
        .chain(plain.map(|e| e.as_bytes().to_vec()))
        .collect()
}

fn good(name: &str, rev: u64) -> Vec<u8> {
    format!(r#"{{"kind":"k","name":"{name}","rev":{rev},"value":{{"a":[1,"]"]}}}}"#).into_bytes()
}

fn body(field: &str, entries: &[Vec<u8>]) -> Vec<u8> {
    let head = format!(r#"{{"rev":9,"{field}":["#).into_bytes();
    [head, entries.join(&b", "[..]), b"]}".to_vec()].concat()
}

fn shown(entry: &[u8]) -> String {
    String::from_utf8_lossy(&entry[..entry.len().min(80)]).into_owned()
}

#[tokio::test]
async fn list_has_the_entries_beside_one_that_cannot_be_read() {
    for odd in odd_entries() {
        let client = platform(body("items", &[good("a", 1), odd.clone(), good("z", 2)])).await;

        let list = client.list("k", "").await;

        let list = list.unwrap_or_else(|e| panic!("{}: {e}", shown(&odd)));
        let sound = list.items.iter().filter(|o| !o.value.is_null());
        let names: Vec<_> = sound.map(|o| o.name.as_str()).collect();
        assert_eq!((list.rev, names), (9, vec!["a", "z"]), "{}", shown(&odd));
    }
}

#[tokio::test]
async fn watch_goes_on_from_its_revision_after_an_event_that_cannot_be_read() {
    for odd in odd_entries() {
        let client = platform(body("events", &[odd.clone(), good("z", 2)])).await;

        let changes = client.watch("k", 1, Duration::ZERO).await;

        let changes = changes.unwrap_or_else(|e| panic!("{}: {e}", shown(&odd)));
        let last = changes.events.last().unwrap();
        assert_eq!((changes.rev, last.name.as_str()), (9, "z"));
        // The name can be read, so the reader learns that the object has no usable value now.
        let odd_event = changes.events.iter().find(|e| e.name == "odd");
        assert!(odd_event.is_none_or(|e| e.value.as_ref().is_some_and(|v| v.is_null())));
    }
}

#[tokio::test]
async fn instance_list_has_the_entries_beside_one_that_cannot_be_read() {
    let entry = |name: &str, addr: &str, role: &str| {
        let text = format!(
            r#"{{"name":"{name}","role":"{role}","addr":"{addr}","domain":"d","region":"r"}}"#
        );
        text.into_bytes()
    };
    let mut odd = odd_entries();
    odd.push(entry("odd", "127.0.0.1:70000", "engine"));
    odd.push(entry("odd", "127.0.0.1:1", "unheard-of"));
    for odd in odd {
        let good = entry("a", "127.0.0.1:1", "engine");
        let client = platform(body("items", &[odd.clone(), good])).await;

        let list = client.instances().await;

        let list = list.unwrap_or_else(|e| panic!("{}: {e}", shown(&odd)));
        assert_eq!(list.items.len(), 1, "{}", shown(&odd));
    }
}

/// Memory stays bounded: the body of a call is not read without end.
#[tokio::test]
async fn body_above_the_limit_is_an_error_of_the_call() {
    let huge = format!(r#"{{"value":"{}"}}"#, "a".repeat(9 << 20));
    let client = platform(body("items", &[huge.into_bytes()])).await;

    let list = client.list("k", "").await;

    assert!(matches!(list, Err(Error::Unknown(_))));
}

#[tokio::test]
async fn body_that_is_cut_off_is_an_error_of_the_call() {
    let whole = body("items", &[good("a", 1), good("b", 2)]);
    for end in [10, whole.len() / 2, whole.len() - 2, whole.len() - 1] {
        let client = platform(whole[..end].to_vec()).await;

        let list = client.list("k", "").await;

        assert!(list.is_err(), "cut at {end}");
    }
}

/// Guards against an entry that counts as removed because the text ended before it.
#[test]
fn text_that_ends_inside_never_lacks_an_entry_unnoticed() {
    let entries = [good("a", 3), good("b", 4)];
    let list = body("items", &entries);
    let changes = body("events", &entries);
    let format = ApiFormat::NATIVE;
    for at in 0..list.len() {
        let read = (format.read_list)("k", &list[..at], 500);
        let is_whole = read.is_ok_and(|(list, _)| !list.is_cut);
        assert!(!is_whole, "{}", shown(&list[..at]));
    }
    for at in 0..changes.len() {
        let read = (format.read_changes)("k", &changes[..at]);
        let is_whole = read.is_ok_and(|changes| !changes.is_cut);
        assert!(!is_whole, "{}", shown(&changes[..at]));
    }
    for at in 0..entries[0].len() {
        let object = &entries[0][..at];
        assert!((format.read_object)("k", object).is_err());
        assert!((format.read_revision)(object).is_err());
    }
}

fn balanced_junk() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        "[-+.0-9eE]{1,30}",
        "[a-zA-Z]{1,8}",
        r#""([a-z\[\]{},:]|\\"|\\\\){0,20}""#,
    ];
    leaf.prop_recursive(6, 64, 6, |inner| {
        let items = prop::collection::vec(inner, 0..6);
        prop_oneof![
            items.clone().prop_map(|i| format!("[{}]", i.join(","))),
            items.prop_map(|i| format!("{{{}}}", i.join(":"))),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn junk_among_entries_costs_no_other_entry(
        junk in prop::collection::vec(balanced_junk(), 0..8),
        at in prop::collection::vec(any::<prop::sample::Index>(), 3),
    ) {
        let mut entries: Vec<_> = junk.into_iter().map(String::into_bytes).collect();
        for (n, index) in at.iter().enumerate() {
            let place = index.index(entries.len() + 1);
            entries.insert(place, good(&format!("good-{n}"), 3));
        }

        let read = (ApiFormat::NATIVE.read_list)("k", &body("items", &entries), 500);

        let (list, _) = read.unwrap();
        let sound = list.items.iter().filter(|o| o.name.starts_with("good-") && !o.value.is_null());
        prop_assert_eq!(sound.count(), 3);
    }

    #[test]
    fn any_bytes_end_in_a_result(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = (ApiFormat::NATIVE.read_list)("k", &bytes, 500);
        let _ = (ApiFormat::NATIVE.read_changes)("k", &bytes);
    }
}
