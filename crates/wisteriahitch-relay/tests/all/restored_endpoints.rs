//! Endpoints whose registrations a restored copy of the store brings back.

use wisteriahitch_relay::{AbsenceCause, Endpoint, EndpointState, EndpointTable};
use wisteriahitch_types::{DurationUs, EndpointInstance, EndpointStart};
use wisteriahitch_wire::object_store::{Revision, StoreEpoch};

use crate::fixture::{at_ms, engine, id, lapsed_until};

/// Time within which the entry of an endpoint that is gone lapses.
const LAPSE_MS: u64 = 4_800;

use AbsenceCause::Left;
use Event::{Missing, Read, Returned, Until};

enum Event {
    /// A registration is read: epoch, number, start, whether it is draining.
    Read(u64, u64, u64, bool),
    /// The store is known to be in this epoch.
    Returned(u64),
    /// The registration is missing.
    Missing(AbsenceCause),
    /// Time passes until this time in ms.
    Until(u64),
}

fn endpoint(epoch: u64, number: u64, start_ms: u64, is_draining: bool) -> Endpoint {
    Endpoint {
        instance: EndpointInstance {
            start: Some(EndpointStart::from_unix_ms(start_ms)),
            ..id("a")
        },
        revision: Revision::new(StoreEpoch::new(epoch).unwrap(), number).unwrap(),
        is_draining,
        ..engine("a")
    }
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    /// State and start at the end; `None` if the endpoint isn't in the table.
    end: Option<(EndpointState, u64)>,
}

/// The endpoint's registration before the store's return.
const KNOWN: Event = Read(1, 50, 2, false);

fn cases_of_endpoints_that_left() -> Vec<Case> {
    let after_leaving = |events: Vec<Event>| {
        let left = [KNOWN, Missing(Left), Until(3_000)];
        left.into_iter().chain(events).collect()
    };
    vec![
        Case {
            name: "it has left",
            events: after_leaving(vec![Read(2, 50, 2, false), Until(7_700)]),
            end: None,
        },
        Case {
            name: "it seemed to have left, and its entry doesn't lapse",
            events: after_leaving(vec![Read(2, 50, 2, false), Until(7_800)]),
            end: Some((EndpointState::Ready, 2)),
        },
        Case {
            name: "it has left, and its entry lapses",
            events: after_leaving(vec![Read(2, 50, 2, false), Missing(Left), Until(9_000)]),
            end: None,
        },
        Case {
            name: "it is there, and its entry changes",
            events: after_leaving(vec![Read(2, 40, 2, false), Read(2, 45, 2, false)]),
            end: Some((EndpointState::Ready, 2)),
        },
        Case {
            name: "it is registered again later than the copy",
            events: after_leaving(vec![Read(2, 51, 2, false)]),
            end: Some((EndpointState::Ready, 2)),
        },
    ]
}

fn cases_of_known_endpoints() -> Vec<Case> {
    vec![
        Case {
            name: "its entry has just disappeared",
            events: vec![KNOWN, Missing(Left), Read(2, 50, 2, false)],
            end: Some((EndpointState::Lapsed(at_ms(1_000)), 2)),
        },
        Case {
            name: "it announced its leaving and has left",
            events: vec![Read(1, 50, 2, true), Missing(Left), Read(2, 40, 2, false)],
            end: None,
        },
        Case {
            name: "it announced its leaving",
            events: vec![Read(1, 50, 2, true), Read(2, 40, 2, false)],
            end: Some((EndpointState::Draining, 2)),
        },
        Case {
            name: "it announces its leaving with a number that was given before",
            events: vec![KNOWN, Read(2, 45, 2, true)],
            end: Some((EndpointState::Draining, 2)),
        },
        Case {
            name: "it lapsed in an outage",
            events: vec![KNOWN, Missing(lapsed_until(4_000)), Read(2, 50, 2, false)],
            end: Some((EndpointState::Ready, 2)),
        },
        Case {
            name: "the copy has the instance before it",
            events: vec![KNOWN, Read(2, 40, 1, false)],
            end: Some((EndpointState::Ready, 2)),
        },
        Case {
            name: "it restarts with a number that was given before",
            events: vec![KNOWN, Read(2, 45, 3, false)],
            end: Some((EndpointState::Ready, 3)),
        },
    ]
}

fn cases_of_further_returns() -> Vec<Case> {
    vec![
        Case {
            name: "it has left, and the store returns twice",
            events: vec![
                KNOWN,
                Missing(Left),
                Until(3_000),
                Read(2, 50, 2, false),
                Until(4_000),
                Read(3, 50, 2, false),
                Until(5_000),
            ],
            end: None,
        },
        Case {
            name: "it has left after a restart that the copy lacks",
            events: vec![
                KNOWN,
                Read(1, 55, 3, false),
                Missing(Left),
                Until(3_000),
                Read(2, 50, 2, false),
                Until(4_000),
            ],
            end: None,
        },
        Case {
            name: "the copy lacked it, so its entry was written since",
            events: vec![
                KNOWN,
                Returned(2),
                Missing(lapsed_until(2_300)),
                Until(2_400),
                Read(2, 45, 2, false),
                Until(3_000),
            ],
            end: Some((EndpointState::Ready, 2)),
        },
    ]
}

/// Guards against calls to endpoints that have left, and against endpoints that stay without calls,
/// after the store returned with an older copy of their registrations.
#[test]
fn a_copy_revives_only_endpoints_that_are_there() {
    let mut cases = cases_of_endpoints_that_left();
    cases.extend(cases_of_known_endpoints());
    assert_ends(cases);
}

/// Guards against calls to endpoints that have left when the store returns twice or the copy has an
/// earlier instance, and against live endpoints that are held back.
#[test]
fn a_copy_revives_no_earlier_instance_or_second_copy() {
    assert_ends(cases_of_further_returns());
}

fn assert_ends(cases: Vec<Case>) {
    let mut failed = Vec::new();
    for case in cases {
        let mut table = EndpointTable::default()
            .with_drain_fallback(DurationUs::from_ms(1_000))
            .with_registration_lapse(DurationUs::from_ms(LAPSE_MS));
        let mut now = at_ms(0);
        for event in case.events {
            match event {
                Returned(epoch) => table.set_store_epoch(StoreEpoch::new(epoch).unwrap()),
                Read(epoch, number, start_ms, is_draining) => {
                    table.set_store_epoch(StoreEpoch::new(epoch).unwrap());
                    table.apply_registration(endpoint(epoch, number, start_ms, is_draining), now);
                }
                Missing(absence) => drop(table.apply_unregistration(&id("a").id, absence, now)),
                Until(ms) => {
                    now = at_ms(ms);
                    table.tick(now);
                    table.admit_held_back(now, now);
                }
            }
        }
        let row = table.by_id(&id("a").id);
        let end = row.map(|row| (row.state, row.instance().start.unwrap()));
        let expected = case
            .end
            .map(|(state, start_ms)| (state, EndpointStart::from_unix_ms(start_ms)));
        if end != expected {
            failed.push(format!("{}: {end:?}, expected {expected:?}", case.name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
