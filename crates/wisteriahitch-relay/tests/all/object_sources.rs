//! From whom a daemon fetches newer objects.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use wisteriahitch_relay::{ObjectSources, StoreAnswer};
use wisteriahitch_wire::object_store::Revision;

use crate::fixture::{at_ms, ms};

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn peer(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, last)
}

#[test]
fn the_newest_objects_are_fetched_from_a_peer_that_is_heard_and_answers() {
    struct Case {
        name: &'static str,
        /// Peer, revision, time of its last message, and time of a failed fetch from it.
        offers: &'static [(u8, u64, u64, Option<u64>)],
        expected: Option<u8>,
    }
    let cases = [
        Case {
            name: "nobody has newer objects",
            offers: &[],
            expected: None,
        },
        Case {
            name: "the newest",
            offers: &[(1, 7, 9_900, None), (2, 9, 9_900, None)],
            expected: Some(2),
        },
        Case {
            name: "the peer with the newest ones is silent",
            offers: &[(2, 9, 8_900, None), (1, 7, 9_900, None)],
            expected: Some(1),
        },
        Case {
            name: "a fetch from the peer with the newest ones has failed",
            offers: &[(1, 7, 9_900, None), (2, 9, 9_900, Some(9_500))],
            expected: Some(1),
        },
        Case {
            name: "the only peer has failed long ago",
            offers: &[(2, 9, 9_900, Some(8_900))],
            expected: Some(2),
        },
        Case {
            name: "the only peer has just failed",
            offers: &[(2, 9, 9_900, Some(9_500))],
            expected: None,
        },
    ];
    for case in cases {
        let mut sources = ObjectSources::default();
        for (last, revision, heard_ms, failed_ms) in case.offers {
            sources.record(
                peer(*last),
                Revision::from_u64(*revision),
                100,
                at_ms(*heard_ms),
            );
            if let Some(failed_ms) = failed_ms {
                sources.record_failure(peer(*last), at_ms(*failed_ms));
            }
        }
        let best = sources.best(ME, at_ms(10_000));
        assert_eq!(best, case.expected.map(peer), "{}", case.name);
    }
}

/// Guards against a daemon that is refused by the store and asks none of its peers for a second,
/// although one of them is there again: each had been suspended while it was asked.
#[test]
fn a_peer_that_failed_is_asked_again_once_it_is_heard() {
    struct Case {
        name: &'static str,
        /// Time of the last message of peer 1, which has failed at 9 s.
        heard_ms: u64,
        /// When peer 2 has failed, whose last message has just arrived.
        other_failed_ms: Option<u64>,
        now_ms: u64,
        expected: Option<u8>,
    }
    let cases = [
        Case {
            name: "heard since",
            heard_ms: 9_600,
            other_failed_ms: Some(9_700),
            now_ms: 9_700,
            expected: Some(1),
        },
        Case {
            name: "not heard since",
            heard_ms: 8_900,
            other_failed_ms: Some(9_700),
            now_ms: 9_700,
            expected: None,
        },
        Case {
            name: "a moment ago",
            heard_ms: 9_100,
            other_failed_ms: Some(9_150),
            now_ms: 9_199,
            expected: None,
        },
        Case {
            name: "another peer hasn't failed",
            heard_ms: 9_600,
            other_failed_ms: None,
            now_ms: 9_700,
            expected: Some(2),
        },
    ];
    for case in cases {
        let mut sources = ObjectSources::default();
        let revision = Revision::from_u64(9);
        sources.record(peer(1), revision, 100, at_ms(case.heard_ms));
        sources.record_failure(peer(1), at_ms(9_000));
        sources.record(peer(2), revision, 100, at_ms(case.now_ms));
        if let Some(failed_ms) = case.other_failed_ms {
            sources.record_failure(peer(2), at_ms(failed_ms));
        }
        let best = sources.best_to_begin(ME, at_ms(case.now_ms));
        assert_eq!(best, case.expected.map(peer), "{}", case.name);
        // The fetch in progress asks each peer once.
        let next = sources.best(ME, at_ms(case.now_ms));
        assert_eq!(
            next,
            case.expected.map(peer).filter(|ip| *ip == peer(2)),
            "{}",
            case.name
        );
    }
}

/// Guards against a daemon that counts as behind for good, and answers 503 for unknown routes, after
/// the reported objects have arrived, or after the peer that reported them has failed.
#[test]
fn a_daemon_is_behind_only_as_long_as_it_is_told_of_newer_objects() {
    let mut sources = ObjectSources::default();
    assert!(sources.record(peer(1), Revision::from_u64(7), 100, at_ms(1_000)));
    assert!(!sources.record(peer(2), Revision::from_u64(9), 100, at_ms(1_200)));
    assert_eq!(sources.newer_since(at_ms(1_300)), Some(at_ms(1_000)));
    sources.discard_up_to(Revision::from_u64(7));
    assert_eq!(sources.newer_since(at_ms(1_300)), Some(at_ms(1_200)));
    assert_eq!(sources.newer_since(at_ms(2_200)), None);
    assert!(sources.record(peer(2), Revision::from_u64(9), 100, at_ms(5_000)));
    sources.discard_up_to(Revision::from_u64(9));
    assert_eq!(sources.newer_since(at_ms(5_000)), None);
}

/// Guards against a fleet that asks one and the same daemon: wide links take more, narrow ones little.
#[test]
fn daemons_divide_among_the_peers_by_their_links() {
    let mut sources = ObjectSources::default();
    for last in 1..=4 {
        sources.record(peer(last), Revision::from_u64(7), 200, at_ms(0));
    }
    sources.record(peer(5), Revision::from_u64(7), 1, at_ms(0));
    let mut counts = [0; 6];
    for last in 0..200 {
        let me = Ipv4Addr::new(10, 0, 2, last);
        let best = sources.best(me, at_ms(0)).unwrap();
        counts[usize::from(best.octets()[3])] += 1;
    }
    let wide: BTreeSet<_> = counts[1..5].iter().copied().collect();
    assert!(wide.first() >= Some(&25) && counts[5] <= 5, "{counts:?}");
}

#[test]
fn a_peer_replaces_the_store_if_the_rest_of_its_answer_takes_long() {
    struct Case {
        name: &'static str,
        received_bytes: u64,
        missing_bytes: Option<u64>,
        elapsed_ms: u64,
        expected: bool,
    }
    let cases = [
        Case {
            name: "a megabyte over 1,250 KB/s, half of it has arrived",
            received_bytes: 500_000,
            missing_bytes: Some(500_000),
            elapsed_ms: 400,
            expected: true,
        },
        Case {
            name: "a megabyte over 1,250 KB/s, almost all of it has arrived",
            received_bytes: 900_000,
            missing_bytes: Some(100_000),
            elapsed_ms: 720,
            expected: false,
        },
        Case {
            name: "the rest of a small answer",
            received_bytes: 1_000,
            missing_bytes: Some(500),
            elapsed_ms: 1,
            expected: false,
        },
        Case {
            name: "the answer has just begun",
            received_bytes: 0,
            missing_bytes: Some(1_000_000),
            elapsed_ms: 1,
            expected: false,
        },
        Case {
            name: "nothing has followed the head",
            received_bytes: 0,
            missing_bytes: Some(1_000_000),
            elapsed_ms: 400,
            expected: true,
        },
        Case {
            name: "the size is unknown",
            received_bytes: 100_000,
            missing_bytes: None,
            elapsed_ms: 400,
            expected: true,
        },
    ];
    for case in cases {
        let answer = StoreAnswer {
            received_bytes: case.received_bytes,
            missing_bytes: case.missing_bytes,
            elapsed_us: ms(case.elapsed_ms),
        };
        assert_eq!(answer.is_slow(), case.expected, "{}", case.name);
    }
}
