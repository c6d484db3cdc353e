//! What is known of services whose endpoints state that they are brittle.

use std::collections::{HashMap, HashSet};

use wisteriahitch_relay::{EndpointTable, MessageSections};
use wisteriahitch_types::{DurationUs, EndpointInstance};

use crate::fixture::{at_ms, engine, id, ms, service};

const LIMIT: u32 = 5;

/// Returns the table of a daemon that knows the endpoints `a` and `b` of one service.
fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.set_services(HashSet::from([service()]), HashMap::new());
    for name in ["a", "b"] {
        table.apply_registration(engine(name), at_ms(0));
    }
    table
}

fn limit(table: &EndpointTable) -> Option<u32> {
    table.brittle_services().max_refusals_per_s(&service())
}

fn is_brittle(table: &EndpointTable, endpoint: &EndpointInstance) -> bool {
    table.is_brittle(table.get(endpoint).unwrap())
}

/// Sends what one daemon knows to another one. Returns whether that changed anything there.
fn gossip(from: &EndpointTable, to: &mut EndpointTable, held_up: DurationUs, now_ms: u64) -> bool {
    let Some(section) = from.brittle_services().section(at_ms(now_ms)) else {
        return false;
    };
    let mut sections = MessageSections::default();
    sections.push(&section).unwrap();
    let section = sections.get().unwrap().unwrap();
    !to.apply_brittle_services(&section, held_up, at_ms(now_ms + held_up.as_ms()))
        .is_empty()
}

/// Guards against daemons that each have to find out by refused calls: for each endpoint, for its next
/// process, and again after some silence.
#[test]
fn a_statement_counts_for_the_service_its_next_processes_and_over_silence() {
    let mut table = table();
    assert_eq!(limit(&table), None);
    let changed = table.record_brittleness(&id("a"), Some(LIMIT), at_ms(1_000));
    assert_eq!(changed, Some(service()));
    assert_eq!(
        table.record_brittleness(&id("b"), Some(LIMIT), at_ms(1_100)),
        None
    );
    assert!(is_brittle(&table, &id("b")));
    table.apply_registration(engine("c"), at_ms(2_000));
    assert!(is_brittle(&table, &id("c")));
    assert_eq!(limit(&table), Some(LIMIT));
}

/// Guards against a service that is taken for sound because of an answer that overtook a statement, and
/// against one that is held small for good.
#[test]
fn an_answer_without_the_statement_ends_it_unless_a_statement_is_recent() {
    struct Case {
        name: &'static str,
        /// Times of answers in milliseconds, and whether they state it.
        answers: &'static [(u64, bool)],
        is_brittle: bool,
    }
    let cases = [
        Case {
            name: "sound throughout",
            answers: &[(0, false), (500, false)],
            is_brittle: false,
        },
        Case {
            name: "answers of before arrive late",
            answers: &[(0, false), (1_000, true), (1_900, false)],
            is_brittle: true,
        },
        Case {
            name: "silence",
            answers: &[(0, true)],
            is_brittle: true,
        },
        Case {
            name: "it is over",
            answers: &[(0, true), (5_000, true), (6_000, false)],
            is_brittle: false,
        },
        Case {
            name: "it begins again",
            answers: &[(0, true), (6_000, false), (6_100, true)],
            is_brittle: true,
        },
        Case {
            name: "some endpoints state it and others don't",
            answers: &[(0, true), (900, false), (950, true), (1_900, false)],
            is_brittle: true,
        },
    ];
    for case in cases {
        let mut table = table();
        for (at, states) in case.answers {
            let stated = states.then_some(LIMIT);
            table.record_brittleness(&id("a"), stated, at_ms(*at));
        }
        assert_eq!(limit(&table).is_some(), case.is_brittle, "{}", case.name);
    }
}

/// Guards against daemons that don't receive a statement of another daemon, or never its end.
#[test]
fn peers_learn_of_the_beginning_and_of_the_end() {
    let (mut one, mut other) = (table(), table());
    one.record_brittleness(&id("a"), Some(LIMIT), at_ms(1_000));
    assert!(gossip(&one, &mut other, ms(0), 1_100));
    assert_eq!(limit(&other), Some(LIMIT));
    other.record_brittleness(&id("b"), None, at_ms(30_000));
    assert!(gossip(&other, &mut one, ms(0), 30_100));
    assert_eq!(limit(&one), None);
    let later = one.brittle_services().section(at_ms(60_000));
    assert_eq!(later, None, "the end is gossiped for good");
}

/// Guards against messages that keep a statement young by travelling in circles, and against the old
/// message of a daemon that was suspended.
#[test]
fn messages_dont_make_old_answers_new() {
    let (mut one, mut other) = (table(), table());
    one.record_brittleness(&id("a"), Some(LIMIT), at_ms(0));
    for now_ms in (0..60_000).step_by(100) {
        gossip(&one, &mut other, ms(3), now_ms);
        gossip(&other, &mut one, ms(3), now_ms + 50);
    }
    let section = other.brittle_services().section(at_ms(60_000)).unwrap();
    assert!(section.services[0].stated_age_ms > 59_000, "{section:?}");

    let mut suspended = table();
    suspended.record_brittleness(&id("a"), Some(LIMIT), at_ms(0));
    suspended.record_brittleness(&id("a"), None, at_ms(2_000));
    let mut third = table();
    third.record_brittleness(&id("a"), Some(LIMIT), at_ms(3_000));
    // Sent at 2.1 s and held up for 6 s.
    gossip(&suspended, &mut third, ms(6_000), 2_100);
    assert_eq!(limit(&third), Some(LIMIT));
}
