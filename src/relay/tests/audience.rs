//! Who is told of an instance's words: all of them in a small fleet, each domain through one of its
//! instances in a large one.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use smol_str::SmolStr;

use crate::peer::Member;
use crate::relay::audience::{Audience, Failed};

fn member(domain: usize, n: usize) -> Member {
    Member {
        name: format!("d{domain}-{n}").into(),
        addr: ([127, 0, domain as u8, n as u8], 1).into(),
        domain: format!("d{domain}").into(),
        region: "r".into(),
    }
}

fn fleet(domains: usize, each: usize) -> Vec<Member> {
    let of = |domain| (0..each).map(move |n| member(domain, n));
    (0..domains).flat_map(of).collect()
}

fn audience(me: &Member, fleet: &[Member]) -> Audience {
    let others: Vec<_> = fleet.iter().filter(|m| *m != me).cloned().collect();
    Audience::of(&me.domain, &others, &Failed::default(), Instant::now())
}

#[test]
fn a_small_fleet_is_told_directly() {
    let fleet = fleet(3, 2);

    let told = audience(&fleet[0], &fleet);

    assert_eq!(told.direct.len(), 5);
    assert!(told.speakers.is_empty());
}

#[test]
fn a_word_reaches_everyone_in_a_large_fleet() {
    let fleet = fleet(6, 14);
    for me in &fleet {
        let told = audience(me, &fleet);

        let mut reached: IndexSet<SmolStr> = told.direct.into_iter().collect();
        for speakers in told.speakers {
            let speaker = fleet.iter().find(|m| m.name == speakers[0]);
            let speaker = speaker.expect("a speaker of the fleet");
            let near = fleet.iter().filter(|m| m.domain == speaker.domain);
            reached.extend(near.map(|m| m.name.clone()));
        }
        assert_eq!(reached.len(), fleet.len() - 1);
        assert!(!reached.contains(&me.name));
    }
}

#[test]
fn the_words_of_a_domain_go_through_one_speaker() {
    let fleet = fleet(6, 14);

    let speakers: IndexSet<_> = fleet
        .iter()
        .filter(|m| m.domain == "d1")
        .flat_map(|me| audience(me, &fleet).speakers)
        .map(|speakers| speakers[0].clone())
        .collect();

    assert_eq!(speakers.len(), 5);
}

/// 320 instances of 29 domains: with each telling all others, one word was 319 messages.
#[test]
fn what_a_word_costs_grows_by_domains_and_not_by_instances() {
    let fleet = fleet(29, 11);

    let most = fleet.iter().map(|me| audience(me, &fleet).messages()).max();

    assert_eq!(most, Some(10 + 28));
}

#[test]
fn a_speaker_that_takes_no_word_is_asked_last_for_a_while() {
    let fleet = fleet(6, 14);
    let now = Instant::now();
    let first = audience(&fleet[0], &fleet).speakers[0].clone();
    let mut failed = Failed::default();
    failed.note(&first[0], now);

    let of = |at| Audience::of("d0", &fleet[1..], &failed, at).speakers[0].clone();
    let (soon, later) = (of(now), of(now + Duration::from_secs(5)));

    assert_eq!(soon[..2], first[1..]);
    assert_eq!(later, first);
}
