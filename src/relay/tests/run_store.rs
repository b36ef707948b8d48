use serde_json::{Value, json};

use super::super::run_location::{RunId, RunKey, RunLocation};
use super::super::run_store::Stored;

fn run(digest: &str) -> Value {
    json!({ "digest": digest, "note": { "digest": 0, "engine": "e", "copied": null } })
}

#[test]
fn stored_run_that_cannot_be_read_costs_that_run_alone() {
    for odd in [
        json!(null),
        json!(7),
        json!([]),
        json!({ "digest": "ab" }),
        json!({ "digest": 5, "note": {} }),
        run("not hexadecimal"),
        run(&"f".repeat(33)),
    ] {
        let stored = json!({ "runs": [run("a"), odd, run("b")] });

        let stored: Stored = serde_json::from_value(stored).unwrap();

        let digests: Vec<_> = stored.locations().flatten().map(|l| l.digest).collect();
        assert_eq!(digests, [0xa, 0xb], "{odd}");
    }
}

#[test]
fn stored_runs_are_read_as_they_were_written() {
    let key = RunKey {
        digest: u128::MAX,
        id: RunId::random(),
        follows: None,
    };
    let location = RunLocation {
        engine: Some("e".into()),
        ..RunLocation::without_copy(key)
    };

    let text = serde_json::to_string(&Stored::of(vec![location], &[])).unwrap();
    let stored: Stored = serde_json::from_str(&text).unwrap();

    let read = stored.locations().next().unwrap().unwrap();
    assert_eq!(
        (read.digest, read.id, read.engine.as_deref()),
        (u128::MAX, key.id, Some("e"))
    );
}
