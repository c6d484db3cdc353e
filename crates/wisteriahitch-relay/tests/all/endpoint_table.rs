//! States of endpoints, weights, and reports of peers.

use std::collections::HashMap;

use wisteriahitch_relay::{AbsenceCause, EndpointChange, EndpointState, EndpointTable, Load};
use wisteriahitch_types::{Incarnation, TimeUs, WeightNumber};

use crate::fixture::{at_ms, draining, engine, id, model, ms};

/// Guards against two seconds of refused calls after an outage of the store, because lapsed
/// registrations count as the end of endpoints. The store returns and lists none; then the
/// endpoints register again.
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
fn an_endpoint_that_doesn_t_register_again_is_removed() {
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

/// Guards against new requests to a leaving endpoint. It registers as draining, and an older
/// registration that arrives late replaces the newer state.
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
    // It has announced its leaving, so it is removed at once.
    let change = table.apply_unregistration(&id("a").id, AbsenceCause::Left, at_ms(1));
    assert_eq!(change, Some(EndpointChange::Removed(id("a"))));
}

/// Guards against requests for weights that the endpoint no longer has. An answer names new
/// weights, and a late registration with the old ones replaces them.
#[test]
fn weight_versions_never_decrease() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    table.record_weights(&id("a"), &model(), WeightNumber::new(3));
    table.apply_registration(engine("a"), TimeUs::ZERO);
    let row = table.get(&id("a")).unwrap();
    assert_eq!(row.weights(&model()), Some(WeightNumber::new(3)));
}

#[test]
fn loads_of_peers_are_replaced_and_expire() {
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
fn a_peer_load_counts_for_an_endpoint_that_registers_later() {
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

/// Guards against engines that stay idle for half a second after they got new weights, while the
/// others refuse calls. A daemon reserves an engine, releases it and no longer names it, but its
/// reservation stays until it runs out.
#[test]
fn an_engine_that_is_no_longer_reserved_is_free_at_once() {
    struct Case {
        what: &'static str,
        /// Peer, whether it names the engine, and time in ms.
        messages: &'static [(u64, bool, u64)],
        free_at_ms: u64,
    }
    let cases = [
        Case {
            what: "named once, and no further message",
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
