//! Endpoints that several daemons can't reach.

use std::collections::HashSet;

use wisteriahitch_relay::EndpointTable;
use wisteriahitch_types::{Incarnation, TimeUs};

use crate::fixture::{at_ms, engine, id};

/// Symptom: for seconds after engines fall silent, calls wait for connections that don't open, at every daemon
/// of the fleet anew. Cause: each daemon found out about each engine by its own calls.
#[test]
fn what_two_daemons_cannot_reach_is_suspected_by_all() {
    struct Case {
        what: &'static str,
        own: bool,
        /// Peers that say so, and whether they have weighed what several said.
        peers: &'static [(u64, bool)],
        is_suspected: bool,
    }
    let cases = [
        Case {
            what: "nobody",
            own: false,
            peers: &[],
            is_suspected: false,
        },
        Case {
            what: "this daemon alone, which its own ejection is for",
            own: true,
            peers: &[],
            is_suspected: false,
        },
        Case {
            what: "one other",
            own: false,
            peers: &[(7, false)],
            is_suspected: false,
        },
        Case {
            what: "this one and another",
            own: true,
            peers: &[(7, false)],
            is_suspected: true,
        },
        Case {
            what: "two others",
            own: false,
            peers: &[(7, false), (8, false)],
            is_suspected: true,
        },
        Case {
            what: "a hub that has heard it from several",
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
        // Without further evidence calls try it again.
        assert!(!suspected("a", at_ms(2_000)), "{}", case.what);
    }
}
