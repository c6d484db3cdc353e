//! Endpoints that several daemons cannot reach.

use std::collections::HashSet;

use wisteriahitch_relay::EndpointTable;
use wisteriahitch_types::{Incarnation, TimeUs};

use crate::fixture::{at_ms, engine, id};

/// For seconds after engines became unreachable, calls waited for connections that did not open, at
/// every daemon of the fleet. The fault was that each daemon detected each engine by its own calls
/// only.
#[test]
fn endpoints_unreachable_by_two_daemons_are_suspected() {
    struct Case {
        what: &'static str,
        own: bool,
        /// Peers that report it, and whether their report already combines those of several
        /// daemons.
        peers: &'static [(u64, bool)],
        is_suspected: bool,
    }
    let cases = [
        Case {
            what: "no daemon reports it",
            own: false,
            peers: &[],
            is_suspected: false,
        },
        Case {
            what: "this daemon alone, which handles it by ejection",
            own: true,
            peers: &[],
            is_suspected: false,
        },
        Case {
            what: "one other daemon",
            own: false,
            peers: &[(7, false)],
            is_suspected: false,
        },
        Case {
            what: "this daemon and another one",
            own: true,
            peers: &[(7, false)],
            is_suspected: true,
        },
        Case {
            what: "two other daemons",
            own: false,
            peers: &[(7, false), (8, false)],
            is_suspected: true,
        },
        Case {
            what: "a hub that combines reports of several daemons",
            own: false,
            peers: &[(7, true)],
            is_suspected: true,
        },
    ];
    for case in cases {
        let mut table = EndpointTable::default();
        table.apply_registration(engine("a"), TimeUs::ZERO);
        table.apply_registration(engine("b"), TimeUs::ZERO);
        let short_name = table.get(&id("a")).unwrap().short_name;
        if case.own {
            table.record_connect_failure(&id("a"), at_ms(0));
        }
        for (peer, is_verdict) in case.peers {
            let peer = Incarnation::new(*peer);
            table.apply_peer_load(peer, [].into(), at_ms(0));
            table.apply_peer_connect_failures(
                peer,
                HashSet::from([short_name]),
                *is_verdict,
                at_ms(0),
            );
        }
        let suspected = |name, at| table.get(&id(name)).unwrap().suspected_until_us > at;
        assert_eq!(
            suspected("a", at_ms(100)),
            case.is_suspected,
            "{}",
            case.what
        );
        assert!(!suspected("b", at_ms(100)), "{}", case.what);
        // Without further reports calls try the endpoint again.
        assert!(!suspected("a", at_ms(2_000)), "{}", case.what);
    }
}
