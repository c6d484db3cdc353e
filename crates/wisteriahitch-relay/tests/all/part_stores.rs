//! What is saved at stores, fetched from them and freed there.

use std::collections::BTreeMap;
use std::time::Duration;

use wisteriahitch_relay::{
    AllowedZones, KeptPart, PartChanges, PartEvent, PartListing, PartNamer, PartStore, PartStores,
};
use wisteriahitch_types::{TimeUs, TokenCount, WeightNumber};

use crate::fixture::{address, at_ms, model, traits};

const SCOPE: &str = "w1";

fn store(port: u16, room_tokens: u64) -> PartStore {
    PartStore {
        address: address(port),
        zone: "a".parse().unwrap(),
        capacity_tokens: TokenCount::new(room_tokens),
        link_mbps: 400_000.0,
        first_byte_delay: Duration::from_millis(6),
        is_managed: true,
    }
}

fn part(id: u64, tokens: u64) -> KeptPart {
    KeptPart {
        scope: SCOPE.to_owned(),
        id,
        model: model(),
        tokens: TokenCount::new(tokens),
    }
}

fn key(id: u64) -> wisteriahitch_relay::PartKey {
    PartNamer::new(&model(), SCOPE).key(id)
}

fn listed(parts: &[KeptPart]) -> PartStores {
    let mut stores = PartStores::default();
    stores.configured([store(1, 100_000)].into_iter());
    let listing = PartListing {
        epoch: 5,
        next: 10,
        parts: parts.to_vec(),
        partial_tokens: 0,
    };
    stores.listed(address(1), listing, at_ms(0));
    stores
}

fn changes(epoch: u64, events: Vec<PartEvent>) -> PartChanges {
    PartChanges {
        epoch,
        events,
        clock_ms: Some(70_000),
        ..PartChanges::default()
    }
}

fn can_fetch(stores: &PartStores, id: u64, now: TimeUs) -> bool {
    let zone = "a".parse().unwrap();
    stores
        .fetch(key(id), 1_000, &traits(), &zone, now)
        .is_some()
}

/// Symptom: an engine takes memory that isn't whole. Sequence: a part is being saved, or the store
/// came back empty and somebody writes the part again, while a request fetches it. Cause: a part
/// counted as there because it had been asked for, or had been there before.
#[test]
fn a_part_is_fetched_only_on_the_store_s_own_fresh_word() {
    struct Case {
        what: &'static str,
        change: fn(&mut PartStores),
        now_ms: u64,
        expected: bool,
    }
    let cases = [
        Case {
            what: "listed",
            change: |_| {},
            now_ms: 100,
            expected: true,
        },
        Case {
            what: "listed, too long ago",
            change: |_| {},
            now_ms: 2_100,
            expected: false,
        },
        Case {
            what: "confirmed since",
            change: |stores| {
                assert!(stores.changed(address(1), changes(5, vec![]), at_ms(1_000)));
            },
            now_ms: 2_100,
            expected: true,
        },
        Case {
            what: "freed",
            change: |stores| {
                let event = PartEvent {
                    is_kept: false,
                    part: part(1, 0),
                };
                stores.changed(address(1), changes(5, vec![event]), at_ms(10));
            },
            now_ms: 100,
            expected: false,
        },
        Case {
            what: "another life of the store",
            change: |stores| {
                assert!(!stores.changed(address(1), changes(6, vec![]), at_ms(10)));
            },
            now_ms: 100,
            expected: false,
        },
        Case {
            what: "changes are missing",
            change: |stores| {
                let gap = PartChanges {
                    has_gap: true,
                    ..changes(5, vec![])
                };
                assert!(!stores.changed(address(1), gap, at_ms(10)));
            },
            now_ms: 100,
            expected: false,
        },
        Case {
            what: "the store is silent",
            change: |stores| stores.lost(address(1)),
            now_ms: 100,
            expected: false,
        },
    ];
    for case in cases {
        let mut stores = listed(&[part(1, 1_000)]);
        (case.change)(&mut stores);
        assert_eq!(
            can_fetch(&stores, 1, at_ms(case.now_ms)),
            case.expected,
            "{}",
            case.what
        );
    }
}

#[test]
fn a_save_is_asked_for_once_and_fetched_when_it_is_whole() {
    let mut stores = listed(&[]);
    assert_eq!(
        stores.save(key(1), 1_000, &AllowedZones::default(), at_ms(10)),
        Some(address(1))
    );
    assert_eq!(
        stores.save(key(1), 1_000, &AllowedZones::default(), at_ms(20)),
        None,
        "it is on its way"
    );
    assert!(!can_fetch(&stores, 1, at_ms(30)));
    let event = PartEvent {
        is_kept: true,
        part: part(1, 1_000),
    };
    stores.changed(address(1), changes(5, vec![event]), at_ms(40));
    assert!(can_fetch(&stores, 1, at_ms(50)));
    assert_eq!(
        stores.save(key(1), 1_000, &AllowedZones::default(), at_ms(60)),
        None
    );
}

#[test]
fn a_save_that_was_lost_is_asked_for_again() {
    let mut stores = listed(&[]);
    stores.save(key(1), 1_000, &AllowedZones::default(), at_ms(10));
    stores.changed(address(1), changes(5, vec![]), at_ms(3_000));
    assert_eq!(
        stores.save(key(1), 1_000, &AllowedZones::default(), at_ms(3_100)),
        Some(address(1))
    );
}

#[test]
fn only_what_has_room_and_is_worth_it_is_saved() {
    let mut stores = listed(&[part(1, 90_000)]);
    assert_eq!(
        stores.save(key(2), 9_000, &AllowedZones::default(), at_ms(10)),
        None,
        "no room"
    );
    assert_eq!(
        stores.save(key(3), 5_000, &AllowedZones::default(), at_ms(10)),
        Some(address(1))
    );
    assert_eq!(
        stores.save(key(4), 5_000, &AllowedZones::default(), at_ms(10)),
        None,
        "the last room is on its way to be used"
    );
    assert_eq!(
        stores.save(key(5), 31, &AllowedZones::default(), at_ms(10)),
        None,
        "too small"
    );
}

/// Symptom: after a few changes of weights nothing is kept any more. Cause: parts of replaced
/// weights fill the stores, which free nothing on their own.
#[test]
fn parts_are_freed_once_no_engine_has_their_weights() {
    struct Case {
        what: &'static str,
        lowest: u64,
        since_ms: u64,
        may_be_fetched: bool,
        freed: bool,
    }
    let cases = [
        Case {
            what: "an engine still has them",
            lowest: 1,
            since_ms: 0,
            may_be_fetched: false,
            freed: false,
        },
        Case {
            what: "a fetch may still be under way",
            lowest: 2,
            since_ms: 9_000,
            may_be_fetched: false,
            freed: false,
        },
        Case {
            what: "an engine that nobody knows of may come back with them",
            lowest: 2,
            since_ms: 5_000,
            may_be_fetched: true,
            freed: false,
        },
        Case {
            what: "nobody can use them",
            lowest: 2,
            since_ms: 5_000,
            may_be_fetched: false,
            freed: true,
        },
    ];
    for case in cases {
        let mut stores = listed(&[part(1, 1_000)]);
        let lowest = BTreeMap::from([(model(), WeightNumber::new(case.lowest))]);
        stores.saw_lowest_weights(&lowest, at_ms(case.since_ms));
        stores.changed(address(1), changes(5, vec![]), at_ms(9_900));
        let weights = |scope: &str| scope.strip_prefix('w')?.parse().ok();
        let orders = stores.to_free(weights, |_, _| case.may_be_fetched, at_ms(10_000));
        assert_eq!(!orders.is_empty(), case.freed, "{}", case.what);
        for order in orders {
            assert_eq!(order.epoch, 5);
            stores.freed(&order);
            assert!(!can_fetch(&stores, 1, at_ms(10_000)));
        }
    }
}

/// Symptom: a process that was suspended in the middle lets an engine fetch what was freed
/// meanwhile. A fetch carries the time by which it must have ended, on the stores' clock.
#[test]
fn a_fetch_has_an_end_on_the_stores_clock() {
    let mut stores = listed(&[]);
    assert_eq!(stores.fetch_until_ms(at_ms(0)), None);
    stores.changed(address(1), changes(5, vec![]), at_ms(1_000));
    assert_eq!(stores.fetch_until_ms(at_ms(1_300)), Some(72_300));
}
