//! The life of endpoints.

use std::collections::HashMap;

use wisteriahitch_relay::{AbsenceCause, EndpointChange, EndpointState, EndpointTable, Load};
use wisteriahitch_types::{Incarnation, TimeUs, WeightNumber};

use crate::fixture::{at_ms, draining, engine, id, model, ms};

/// Symptom: for two seconds after an outage of the store, every call is refused for want of an
/// endpoint. Sequence: registrations lapse while the store is away; the store returns and lists
/// none; endpoints register again. Cause: a lapsed registration was taken for an endpoint's end.
#[test]
fn registrations_that_lapse_in_an_outage_are_waited_for() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    let changes = table.apply_listing(vec![], AbsenceCause::MayHaveLapsed, at_ms(1_000));
    assert_eq!(changes, [EndpointChange::Lapsed(id("a"))]);
    assert!(table.tick(at_ms(3_000)).is_empty());
    table.apply_registration(engine("a"), TimeUs::ZERO);
    assert_eq!(table.get(&id("a")).unwrap().state, EndpointState::Ready);
    assert!(table.tick(at_ms(9_000)).is_empty());
}

#[test]
fn one_that_doesn_t_come_back_is_gone() {
    struct Case {
        absence: AbsenceCause,
        gone_by_ms: u64,
        there_at_ms: u64,
    }
    let cases = [
        Case {
            absence: AbsenceCause::MayHaveLapsed,
            there_at_ms: 3_200,
            gone_by_ms: 3_400,
        },
        // Shorter than the two seconds within which a leaving endpoint may still get requests.
        Case {
            absence: AbsenceCause::Left,
            there_at_ms: 1_900,
            gone_by_ms: 2_100,
        },
    ];
    for case in cases {
        let mut table = EndpointTable::default().with_drain_fallback(ms(1_000));
        table.apply_registration(engine("a"), TimeUs::ZERO);
        table.apply_unregistration(&id("a").id, case.absence, at_ms(1_000));
        assert!(
            table.tick(at_ms(case.there_at_ms)).is_empty(),
            "{:?}",
            case.absence
        );
        let changes = table.tick(at_ms(case.gone_by_ms));
        assert_eq!(
            changes,
            [EndpointChange::Removed(id("a"))],
            "{:?}",
            case.absence
        );
    }
}

/// Symptom: a leaving endpoint gets new requests again. Sequence: it registers as draining, and an
/// older registration of it arrives late. Cause: the later arrival was taken for the newer state.
#[test]
fn a_draining_endpoint_stays_draining() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    assert_eq!(
        table.apply_registration(draining("a"), TimeUs::ZERO),
        [EndpointChange::Draining(id("a"))]
    );
    table.apply_registration(engine("a"), TimeUs::ZERO);
    assert_eq!(table.get(&id("a")).unwrap().state, EndpointState::Draining);
    // Its end is at once: it has said so before.
    let change = table.apply_unregistration(&id("a").id, AbsenceCause::Left, at_ms(1));
    assert_eq!(change, Some(EndpointChange::Removed(id("a"))));
}

/// Symptom: a request runs on weights that the endpoint no longer has. Sequence: an answer names
/// new weights; a late registration names the old ones. Cause: the later arrival won.
#[test]
fn weights_never_go_back() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    table.record_weights(&id("a"), &model(), WeightNumber::new(3));
    table.apply_registration(engine("a"), TimeUs::ZERO);
    let row = table.get(&id("a")).unwrap();
    assert_eq!(row.weights(&model()), Some(WeightNumber::new(3)));
}

#[test]
fn loads_of_peers_replace_each_other_and_grow_old() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    let hash = table.get(&id("a")).unwrap().short_name;
    let peer = Incarnation::new(7);
    let load = |running| Load {
        running,
        unread_tokens: 10,
        memory_tokens: 20,
    };
    table.apply_peer_load(peer, HashMap::from([(hash, load(3))]), at_ms(0));
    table.apply_peer_load(
        Incarnation::new(8),
        HashMap::from([(hash, load(1))]),
        at_ms(0),
    );
    table.apply_peer_load(peer, HashMap::from([(hash, load(5))]), at_ms(900));
    let running = |table: &EndpointTable| table.get(&id("a")).unwrap().load().running;
    assert_eq!(running(&table), 6);
    table.tick(at_ms(1_500));
    assert_eq!(
        running(&table),
        5,
        "the one that fell silent no longer counts"
    );
    table.tick(at_ms(2_500));
    assert_eq!(running(&table), 0);
}

#[test]
fn what_peers_told_before_counts_for_an_endpoint_that_is_seen_later() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    let hash = table.get(&id("a")).unwrap().short_name;
    let mut late = EndpointTable::default();
    let load = Load {
        running: 2,
        ..Load::default()
    };
    late.apply_peer_load(Incarnation::new(7), HashMap::from([(hash, load)]), at_ms(0));
    late.apply_registration(engine("a"), TimeUs::ZERO);
    assert_eq!(late.get(&id("a")).unwrap().load().running, 2);
}

/// Symptom: engines stood idle for half a second after they had got new weights, while the others
/// refused calls. Sequence: a daemon takes an engine out, brings it back and no longer names it.
/// Cause: what it had named counted until its time was over.
#[test]
fn an_engine_that_is_no_longer_taken_out_is_free_at_once() {
    struct Case {
        what: &'static str,
        /// Messages: who, whether it names the engine, when in milliseconds.
        messages: &'static [(u64, bool, u64)],
        free_at_ms: u64,
    }
    let cases = [
        Case {
            what: "named once, and nothing more heard",
            messages: &[(1, true, 100)],
            free_at_ms: 700,
        },
        Case {
            what: "named, and then no longer",
            messages: &[(1, true, 100), (1, true, 200), (1, false, 300)],
            free_at_ms: 300,
        },
        Case {
            what: "still named by another daemon",
            messages: &[(1, true, 100), (2, true, 200), (1, false, 300)],
            free_at_ms: 800,
        },
    ];
    for case in cases {
        let mut table = EndpointTable::default();
        table.apply_registration(engine("a"), TimeUs::ZERO);
        let hash = table.get(&id("a")).unwrap().short_name;
        for (peer, is_named, now_ms) in case.messages {
            let (peer, now) = (Incarnation::new(*peer), at_ms(*now_ms));
            table.apply_peer_load(peer, HashMap::new(), now);
            let reserved = is_named.then_some(hash).into_iter().collect();
            table.apply_peer_reservations(peer, reserved, now + ms(600), now);
        }
        let until = table.get(&id("a")).unwrap().reserved_until_us;
        assert_eq!(until, at_ms(case.free_at_ms), "{}", case.what);
    }
}
