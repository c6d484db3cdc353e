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

/// Guards against a rest that a later refusal shortens, against a nonsensical one, and against one
/// that never ends.
#[test]
fn the_latest_end_of_rest_applies() {
    struct Case {
        name: &'static str,
        /// When a call is turned away in ms, and the rest that is asked for.
        asked: Vec<(u64, DurationUs)>,
        /// When the endpoint gets calls again in ms; `None` if it always does.
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
            name: "longer than the maximum rest",
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

/// Guards against a call that is sent during the rest because it was placed before.
#[test]
fn a_call_placed_before_the_rest_is_not_sent() {
    let mut table = table_of(&["a"]);
    let none = CallPermits::default();
    assert!(table.try_admit(&id("a"), none, at_ms(0)));
    table.record_rest(&id("a"), ms(3_000), at_ms(0));
    assert!(!table.try_admit(&id("a"), none, at_ms(2_999)));
    assert!(table.try_admit(&id("a"), none, at_ms(3_000)));
}

/// Guards against callers that are refused, or sent to resting endpoints, while others are free;
/// and, if all endpoints rest, against callers that wait or retry before one of them accepts calls
/// again.
#[test]
fn calls_go_to_endpoints_that_are_not_resting() {
    struct Case {
        resting: usize,
        /// Minimum and maximum time until a refused caller retries; `None` if no call is refused.
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
            // The first of them accepts calls again after 3 s; the rest of the range is jitter.
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
                    let (min, max) = case.refused.expect("other endpoints are free");
                    let wait = refusal.retry_after_us.unwrap();
                    assert!((min..=max).contains(&wait), "{wait}");
                }
            }
        }
    }
}

/// Guards against callers that are told to retry at once, after all endpoints have turned their
/// calls away one after the other, while none accepts calls for seconds.
#[test]
fn the_next_admission_is_the_earliest_end_of_rest() {
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
