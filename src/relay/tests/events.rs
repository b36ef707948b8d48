use proptest::prelude::*;

use crate::relay::events::Splitter;

fn text(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect()
}

proptest! {
    #[test]
    fn events_come_out_whole_however_the_bytes_are_cut(cuts in prop::collection::vec(1_usize..9, 1..80)) {
        let whole = text(1..=9);
        let mut splitter = Splitter::default();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        let mut rest = whole.as_bytes();
        let mut cuts = cuts.into_iter().cycle();

        while !rest.is_empty() {
            let (part, after) = rest.split_at(cuts.next().unwrap().min(rest.len()));
            rest = after;
            prop_assert!(splitter.push(part));
            while let Some(event) = splitter.next() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }

        let expected: Vec<_> = (1..=9).map(Some).collect();
        prop_assert_eq!(ids, expected);
        prop_assert_eq!(bytes, whole.as_bytes());
        prop_assert!(splitter.rest().is_empty());
    }
}

#[test]
fn half_an_event_stays_inside() {
    let mut splitter = Splitter::default();

    splitter.push(b"id: 1\ndata: x\n");

    assert_eq!(splitter.next(), None);
    assert_eq!(&splitter.rest()[..], b"id: 1\ndata: x\n");
}

#[test]
fn an_event_without_an_id_is_passed_on() {
    let mut splitter = Splitter::default();

    splitter.push(b": comment\n\n");

    assert_eq!(splitter.next().map(|e| e.id), Some(None));
}
