//! Endpoints that turn calls away and ask for rest.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    Admission, CallPermits, EndpointTable, LimitCause, PartStores, PlacementRequest, place,
};
use wisteriahitch_types::{Code, DurationUs, TimeUs};

use crate::fixture::{CallSetting, at_ms, engine, id, ms, prompt, service};

const ENGINES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn table_of(names: &[&str]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for name in names {
        table.apply_registration(engine(name), at_ms(0));
    }
    table
}

fn admission(table: &EndpointTable, name: &str, now: TimeUs) -> Admission {
    table.admission(table.get(&id(name)).unwrap(), now)
}

/// Guards against a rest that a later turning away cuts short, that ends with a number that makes no sense, or that never
/// ends.
#[test]
fn the_latest_end_holds() {
    struct Case {
        name: &'static str,
        /// When a call is turned away, and for how long.
        asked: Vec<(u64, DurationUs)>,
        /// When the endpoint gets calls again; none where it always does.
        until_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "once",
            asked: vec![(0, DurationUs::from_ms(3_000))],
            until_ms: Some(3_000),
        },
        Case {
            name: "a fraction of a second",
            asked: vec![(0, DurationUs::from_ms(250))],
            until_ms: Some(250),
        },
        Case {
            name: "none",
            asked: vec![(0, DurationUs::ZERO)],
            until_ms: None,
        },
        Case {
            name: "a shorter one later",
            asked: vec![
                (0, DurationUs::from_ms(3_000)),
                (100, DurationUs::from_ms(1_000)),
            ],
            until_ms: Some(3_000),
        },
        Case {
            name: "a longer one later",
            asked: vec![
                (0, DurationUs::from_ms(1_000)),
                (100, DurationUs::from_ms(3_000)),
            ],
            until_ms: Some(3_100),
        },
        Case {
            name: "none later",
            asked: vec![(0, DurationUs::from_ms(1_000)), (100, DurationUs::ZERO)],
            until_ms: Some(1_000),
        },
        Case {
            name: "for longer than anybody waits",
            asked: vec![(0, DurationUs::MAX)],
            until_ms: Some(3_600_000),
        },
    ];
    for case in cases {
        let mut table = table_of(&["a"]);
        for (at, rest) in &case.asked {
            table.record_rest(&id("a"), *rest, at_ms(*at));
        }
        let last = case.asked.last().map_or(0, |(at, _)| *at);
        let expected = match case.until_ms {
            Some(until) => Admission::Limited(LimitCause::Resting, at_ms(until)),
            None => Admission::Open,
        };
        assert_eq!(
            admission(&table, "a", at_ms(last)),
            expected,
            "{}",
            case.name
        );
        let until = at_ms(case.until_ms.unwrap_or(last));
        assert_eq!(
            admission(&table, "a", until),
            Admission::Open,
            "{}",
            case.name
        );
    }
}

/// Guards against a call that was placed before the endpoint asked for rest and is sent into it.
#[test]
fn what_was_placed_before_is_not_sent() {
    let mut table = table_of(&["a"]);
    let none = CallPermits::default();
    assert!(table.try_admit(&id("a"), none, at_ms(0)));
    table.record_rest(&id("a"), ms(3_000), at_ms(0));
    assert!(!table.try_admit(&id("a"), none, at_ms(2_999)));
    assert!(table.try_admit(&id("a"), none, at_ms(3_000)));
}

/// Guards against callers that are turned away by resting endpoints, or refused, while others have room; and where all
/// rest, against callers that wait, or come back before one of them takes calls again.
#[test]
fn a_service_that_rests_in_part_is_served_by_the_rest() {
    struct Case {
        resting: usize,
        /// Least and most time until a refused caller comes back.
        refused: Option<(DurationUs, DurationUs)>,
    }
    let cases = [
        Case {
            resting: 0,
            refused: None,
        },
        Case {
            resting: 3,
            refused: None,
        },
        Case {
            resting: 5,
            refused: None,
        },
        Case {
            // The first of them takes calls again after 3 s, and the returns are spread.
            resting: 6,
            refused: Some((ms(3_000), ms(3_800))),
        },
    ];
    for case in cases {
        let mut table = table_of(&ENGINES);
        let resting = &ENGINES[..case.resting];
        for (number, name) in resting.iter().enumerate() {
            let rest = ms(3_000 + 100 * number as u64);
            table.record_rest(&id(name), rest, at_ms(0));
        }
        let (setting, prompt) = (CallSetting::in_zone("a"), prompt(100, 100));
        let request = PlacementRequest {
            daemons: 6,
            ..setting.request(&prompt)
        };
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        for _ in 0..200 {
            let stores = PartStores::default();
            match place(&table, &stores, &request, at_ms(0), &mut rng) {
                Ok(placement) => {
                    let name = placement.endpoint.id.to_string();
                    assert!(
                        resting.iter().all(|name| placement.endpoint != id(name)),
                        "{name}"
                    );
                    assert!(case.refused.is_none());
                }
                Err(refusal) => {
                    assert_eq!(refusal.code, Code::EndpointsLimited);
                    let (least, most) = case.refused.expect("others have room");
                    let wait = refusal.retry_after_us.unwrap();
                    assert!((least..=most).contains(&wait), "{wait}");
                }
            }
        }
    }
}

/// Guards against callers that are told to come back at once, since their calls were turned away one after the other, while
/// nobody takes calls for seconds.
#[test]
fn it_is_known_when_a_service_takes_calls_again() {
    let mut table = table_of(&["a", "b"]);
    let at = |table: &EndpointTable, now| table.next_admission_at(&service(), at_ms(now));
    assert_eq!(at(&table, 0), Some(at_ms(0)));
    table.record_rest(&id("a"), ms(3_000), at_ms(0));
    assert_eq!(at(&table, 0), Some(at_ms(0)));
    table.record_rest(&id("b"), ms(2_000), at_ms(0));
    assert_eq!(at(&table, 0), Some(at_ms(2_000)));
    assert_eq!(at(&table, 2_500), Some(at_ms(2_500)));
    assert_eq!(at(&EndpointTable::default(), 0), None);
}
