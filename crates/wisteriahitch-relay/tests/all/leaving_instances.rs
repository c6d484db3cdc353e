//! Endpoints that have announced their leaving in an answer: what ends that state, and what
//! doesn't.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    AbsenceCause, CallPermits, Endpoint, EndpointState, EndpointTable, PartStores, Registration,
    place,
};
use wisteriahitch_types::{Code, EndpointInstance, EndpointStart, TimeUs};
use wisteriahitch_wire::object_store::Revision;

use crate::fixture::{CallSetting, at_ms, draining, engine, id, lapsed_until, prompt};

/// An event that a daemon observes of the endpoint.
enum Event {
    /// An answer announces that the endpoint leaves.
    Announced,
    /// A registration as ready is read: start and revision.
    Ready(u64, u64),
    /// A registration as draining is read: revision.
    Draining(u64),
    /// A registration that can't be read: revision.
    Unreadable(u64),
    /// The registration is missing.
    Missing(AbsenceCause),
    /// Time passes until this time in ms.
    Until(u64),
}

fn registration(start_ms: u64, revision: u64) -> Endpoint {
    Endpoint {
        instance: instance(start_ms),
        revision: Revision::from_u64(revision),
        ..engine("a")
    }
}

fn instance(start_ms: u64) -> EndpointInstance {
    EndpointInstance {
        start: Some(EndpointStart::from_unix_ms(start_ms)),
        ..id("a")
    }
}

/// Returns the short name of the endpoint's first instance.
fn first_instance() -> u32 {
    let mut table = EndpointTable::default();
    table.apply_registration(registration(1, 1), at_ms(0));
    table.get(&instance(1)).unwrap().short_name
}

fn apply(table: &mut EndpointTable, event: &Event, now: &mut TimeUs) {
    match *event {
        Event::Announced => drop(table.record_leaving(first_instance(), *now)),
        Event::Ready(start, revision) => {
            table.apply_registration(registration(start, revision), *now);
        }
        Event::Draining(revision) => {
            let endpoint = Endpoint {
                is_draining: true,
                ..registration(1, revision)
            };
            table.apply_registration(endpoint, *now);
        }
        Event::Unreadable(revision) => {
            let entry = Registration::Unreadable(id("a").id, Revision::from_u64(revision));
            table.apply_registration(entry, *now);
        }
        Event::Missing(absence) => drop(table.apply_unregistration(&id("a").id, absence, *now)),
        Event::Until(ms) => {
            *now = at_ms(ms);
            table.tick(*now);
        }
    }
}

/// Guards against an endpoint that is used again after it has announced its leaving, and against
/// one that is ignored after a restart.
#[test]
fn leaving_ends_with_the_instance_that_announced_it() {
    use Event::*;
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        /// State at the end; `None` if the endpoint isn't in the table.
        state: Option<EndpointState>,
    }
    let cases = [
        Case {
            name: "its entry still says that it is ready",
            events: vec![Ready(1, 1), Announced, Ready(1, 1), Ready(1, 9)],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "its entry lapses in an outage and comes back",
            events: vec![
                Ready(1, 1),
                Announced,
                Missing(lapsed_until(2_300)),
                Until(3_000),
                Ready(1, 9),
            ],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "its entry can't be read for a while",
            events: vec![Ready(1, 1), Announced, Unreadable(2), Ready(1, 9)],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "it announces it before its entry is read",
            events: vec![Announced, Ready(1, 1)],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "its entry is draining too, and is removed",
            events: vec![
                Ready(1, 1),
                Announced,
                Draining(2),
                Missing(AbsenceCause::Left),
            ],
            state: None,
        },
        Case {
            name: "it starts again",
            events: vec![Ready(1, 1), Announced, Ready(2, 2)],
            state: Some(EndpointState::Ready),
        },
        Case {
            name: "a late announcement of the previous instance",
            events: vec![Ready(1, 1), Ready(2, 2), Announced],
            state: Some(EndpointState::Ready),
        },
        Case {
            name: "long after it was removed",
            events: vec![
                Ready(1, 1),
                Announced,
                Missing(AbsenceCause::Left),
                Until(700_000),
                Ready(1, 9),
            ],
            state: Some(EndpointState::Ready),
        },
    ];
    for case in cases {
        let mut table = EndpointTable::default();
        let mut now = at_ms(0);
        for event in case.events {
            apply(&mut table, &event, &mut now);
        }
        let state = table.by_id(&id("a").id).map(|row| row.state);
        assert_eq!(state, case.state, "{}", case.name);
    }
}

/// Guards against calls that were placed before the announcement and are sent after it, and against
/// a leaving endpoint that is used because its service has no other one.
#[test]
fn no_call_is_placed_at_or_sent_to_a_leaving_endpoint() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), at_ms(0));
    let short_name = table.get(&id("a")).unwrap().short_name;
    let none = CallPermits::default();
    assert!(table.try_admit(&id("a"), none, at_ms(0)));
    table.record_leaving(short_name, at_ms(1));
    assert!(!table.try_admit(&id("a"), none, at_ms(1)));
    let (setting, prompt) = (CallSetting::in_zone("a"), prompt(100, 100));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let request = setting.request(&prompt);
    let placed = place(&table, &PartStores::default(), &request, at_ms(1), &mut rng);
    assert_eq!(placed.unwrap_err().code, Code::NoEndpoint);
}

/// Guards against calls that wait for a connection while their endpoint leaves, and are sent after it
/// is gone from the table. A leaving endpoint got none, and one that had been removed got all of them.
#[test]
fn no_call_is_sent_to_an_endpoint_that_was_removed_after_its_placement() {
    use Event::*;
    struct Case {
        name: &'static str,
        events: Vec<Event>,
    }
    let cases = [
        Case {
            name: "it announced its leaving in its registration",
            events: vec![Draining(2), Missing(AbsenceCause::Left)],
        },
        Case {
            name: "it announced its leaving in an answer",
            events: vec![Announced, Missing(AbsenceCause::Left)],
        },
        Case {
            name: "it left without announcing it",
            events: vec![Missing(AbsenceCause::Left), Until(1)],
        },
        Case {
            name: "its registration lapsed and didn't come back",
            events: vec![Missing(lapsed_until(4_000)), Until(4_000)],
        },
        Case {
            name: "it became unreadable",
            events: vec![Unreadable(2), Missing(AbsenceCause::Left)],
        },
        Case {
            name: "it started again",
            events: vec![Ready(2, 2)],
        },
    ];
    let mut violations = Vec::new();
    for case in cases {
        let (mut table, mut now) = (EndpointTable::default(), at_ms(0));
        apply(&mut table, &Ready(1, 1), &mut now);
        let (placed_at, none) = (instance(1), CallPermits::default());
        assert!(table.try_admit(&placed_at, none, now), "{}", case.name);
        for event in case.events {
            apply(&mut table, &event, &mut now);
        }
        assert!(table.get(&placed_at).is_none(), "{}", case.name);
        if table.try_admit(&placed_at, none, now) {
            violations.push(case.name);
        }
        if table.try_admit_resumed(&placed_at, none, now) {
            violations.push(case.name);
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against daemons that keep a removed instance forever because they gossip it to each
/// other.
#[test]
fn gossip_about_a_removed_instance_ends() {
    let (mut first, mut second) = (EndpointTable::default(), EndpointTable::default());
    first.record_leaving(7, at_ms(0));
    for now_ms in (0..1_300_000).step_by(10_000) {
        let now = at_ms(now_ms);
        first.tick(now);
        second.tick(now);
        for short_name in first.leaving_updates(now) {
            second.record_leaving(short_name, now);
        }
        for short_name in second.leaving_updates(now) {
            first.record_leaving(short_name, now);
        }
    }
    assert!(first.leaving_updates(at_ms(1_300_000)).is_empty());
    assert!(
        first.record_leaving(7, at_ms(1_300_000)).0,
        "the instance was removed"
    );
}

/// Guards against a table that grows with every instance that has ever left.
#[test]
fn the_number_of_leaving_instances_is_bounded() {
    let mut table = EndpointTable::default();
    for short_name in 0..10_000 {
        table.record_leaving(short_name, at_ms(u64::from(short_name)));
    }
    let updates = table.leaving_updates(at_ms(10_000));
    assert_eq!(updates.len(), 3_600);
    assert!(!updates.contains(&0) && updates.contains(&9_999));
}

/// Guards against a leaving that is known only from the registration and gossiped as announced in
/// an answer.
#[test]
fn a_leaving_known_from_the_registration_is_not_gossiped() {
    let mut table = EndpointTable::default();
    table.apply_registration(draining("a"), at_ms(0));
    assert!(table.leaving_updates(at_ms(0)).is_empty());
    assert_eq!(table.leaving_count(), 0);
}
