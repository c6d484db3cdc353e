//! What a daemon can connect to, and who connects for it.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use wisteriahitch_relay::{
    ConnectionPath, EndpointLinks, EntryPoint, Forwarders, LinkChange, RefusalReason,
};

use crate::fixture::{at_ms, service};

/// Outcome of a direct connection to an endpoint: when it was known, the endpoint, and whether the
/// connection opened.
type Outcome = (u64, u32, bool);

/// Guards against daemons that go on connecting to endpoints they can't reach, one after the other,
/// and against daemons that take a crashed endpoint for the fault of their own link.
#[test]
fn a_daemon_is_partitioned_once_connections_to_several_endpoints_fail() {
    struct Case {
        what: &'static str,
        service_size: usize,
        outcomes: &'static [Outcome],
        is_partitioned: bool,
    }
    let cases = [
        Case {
            what: "one endpoint fails again and again",
            service_size: 9,
            outcomes: &[(0, 1, false), (400, 1, false), (800, 1, false)],
            is_partitioned: false,
        },
        Case {
            what: "two endpoints fail",
            service_size: 9,
            outcomes: &[(0, 1, false), (400, 2, false)],
            is_partitioned: true,
        },
        Case {
            what: "two endpoints fail, and a third connection opens in between",
            service_size: 9,
            outcomes: &[(0, 1, false), (100, 3, true), (400, 2, false)],
            is_partitioned: false,
        },
        Case {
            what: "two endpoints fail, the first one long ago",
            service_size: 9,
            outcomes: &[(0, 1, false), (5_000, 2, false)],
            is_partitioned: false,
        },
        Case {
            what: "the only endpoint fails",
            service_size: 1,
            outcomes: &[(0, 1, false)],
            is_partitioned: true,
        },
        Case {
            what: "a connection opens again",
            service_size: 9,
            outcomes: &[(0, 1, false), (400, 2, false), (900, 3, true)],
            is_partitioned: false,
        },
    ];
    for case in cases {
        let mut links = EndpointLinks::default();
        let mut changes = Vec::new();
        for (ms, endpoint, is_open) in case.outcomes {
            changes.extend(match is_open {
                true => links.record_open(&service(), *endpoint, at_ms(*ms)),
                false => links.record_failure(&service(), *endpoint, case.service_size, at_ms(*ms)),
            });
        }
        let is_partitioned = links.is_partitioned(&service());
        assert_eq!(is_partitioned, case.is_partitioned, "{}", case.what);
        let last = changes.last();
        let expected = is_partitioned.then_some(&LinkChange::Partitioned);
        let has_ended = last == Some(&LinkChange::Restored);
        assert!(last == expected || has_ended, "{}: {changes:?}", case.what);
        let path = links.path(&service(), 7, at_ms(5_000));
        let forwarded = path == ConnectionPath::Forwarded;
        assert_eq!(forwarded, case.is_partitioned, "{}", case.what);
    }
}

/// Guards against a partition that is never found to have ended, and against many attempts at
/// direct connections at a time, each of which may hang.
#[test]
fn direct_connections_are_tried_one_at_a_time_in_a_partition() {
    let mut links = EndpointLinks::default();
    links.record_failure(&service(), 1, 9, at_ms(0));
    links.record_failure(&service(), 2, 9, at_ms(0));
    assert_eq!(
        links.partitioned_services().collect::<Vec<_>>(),
        [&service()]
    );
    let probes = (0..3_000).filter(|ms| links.take_service_probe(&service(), at_ms(*ms)));
    let probes: Vec<u64> = probes.collect();
    assert_eq!(probes, [0, 500, 1_000, 1_500, 2_000, 2_500]);
}

/// Guards against calls that may run only once and are sent on connections that have fallen silent,
/// and against new connections where the open ones go on working.
#[test]
fn open_connections_are_used_in_a_partition_only_if_one_has_carried_an_answer() {
    let mut links = EndpointLinks::default();
    links.record_answer(&service(), at_ms(0));
    links.record_failure(&service(), 1, 9, at_ms(100));
    assert!(links.may_use_open_connections(&service()));
    links.record_failure(&service(), 2, 9, at_ms(200));
    assert!(!links.may_use_open_connections(&service()));
    links.record_answer(&service(), at_ms(300));
    assert!(links.may_use_open_connections(&service()));
    links.record_open(&service(), 1, at_ms(900));
    assert!(links.may_use_open_connections(&service()));
}

/// Guards against an endpoint that is left out although only the link to it is cut, and against one
/// that is reached through another daemon forever.
#[test]
fn an_endpoint_is_reached_through_another_daemon_until_it_can_be_reached_directly() {
    let mut links = EndpointLinks::default();
    links.record_failure(&service(), 1, 9, at_ms(0));
    links.record_forwarded(&service(), 1, at_ms(10));
    assert_eq!(
        links.path(&service(), 1, at_ms(20)),
        ConnectionPath::Forwarded
    );
    assert_eq!(links.path(&service(), 2, at_ms(20)), ConnectionPath::Direct);
    assert!(!links.take_endpoint_probe(1, at_ms(20)));
    assert!(links.take_endpoint_probe(1, at_ms(600)));
    links.record_open(&service(), 1, at_ms(610));
    assert_eq!(
        links.path(&service(), 1, at_ms(620)),
        ConnectionPath::Direct
    );
}

/// Guards against calls that are refused although their endpoints run, where a daemon takes a few
/// endpoints that are down for a partition, and no other daemon opens connections for it.
#[test]
fn endpoints_that_have_not_failed_can_still_be_tried_in_a_partition() {
    let mut links = EndpointLinks::default();
    links.record_failure(&service(), 1, 9, at_ms(0));
    links.record_failure(&service(), 2, 9, at_ms(100));
    assert!(links.is_partitioned(&service()));
    assert!(links.has_failed_lately(&service(), 1, at_ms(200)));
    assert!(!links.has_failed_lately(&service(), 3, at_ms(200)));
    assert!(!links.has_failed_lately(&service(), 1, at_ms(3_100)));
    links.record_open(&service(), 3, at_ms(300));
    assert!(!links.has_failed_lately(&service(), 2, at_ms(400)));
}

fn member(zone: &str, index: u8) -> EntryPoint {
    EntryPoint {
        ip: Ipv4Addr::new(10, zone.as_bytes()[0], 0, index),
        zone: zone.to_owned(),
        capacity: 250,
        link_mbps: 1_000,
    }
}

/// Guards against a daemon that asks each daemon of its own zone before one of another, while the
/// whole zone is partitioned.
#[test]
fn a_forwarder_is_found_with_few_requests_if_a_whole_zone_is_partitioned() {
    struct Case {
        what: &'static str,
        zones: &'static [&'static str],
        daemons_per_zone: u8,
        /// Zones that are partitioned; the first one is the daemon's own.
        partitioned: &'static [&'static str],
        max_requests: usize,
    }
    let cases = [
        Case {
            what: "no other daemon is partitioned",
            zones: &["a", "b", "c"],
            daemons_per_zone: 2,
            partitioned: &[],
            max_requests: 1,
        },
        Case {
            what: "one of three zones",
            zones: &["a", "b", "c"],
            daemons_per_zone: 2,
            partitioned: &["a"],
            max_requests: 2,
        },
        Case {
            what: "one of five large zones",
            zones: &["a", "b", "c", "d", "e"],
            daemons_per_zone: 197,
            partitioned: &["a"],
            max_requests: 2,
        },
        Case {
            what: "all zones but one",
            zones: &["a", "b", "c", "d", "e"],
            daemons_per_zone: 20,
            partitioned: &["a", "b", "c", "d"],
            max_requests: 6,
        },
    ];
    for case in cases {
        let zones = case.zones.iter();
        let members = zones.flat_map(|zone| (0..case.daemons_per_zone).map(|i| member(zone, i)));
        let members: Vec<EntryPoint> = members.collect();
        let mut used = BTreeSet::new();
        for me in members.iter().filter(|member| member.zone == "a").take(20) {
            let mut forwarders = Forwarders::default();
            let mut requests = 0;
            let opened = loop {
                let candidates = forwarders.candidates(me.ip, "a", &members, at_ms(0));
                assert!(!candidates.is_empty(), "{}", case.what);
                let is_able = |ip: &&Ipv4Addr| {
                    let zone = members.iter().find(|member| member.ip == **ip).unwrap();
                    !case.partitioned.contains(&zone.zone.as_str())
                };
                match candidates.iter().position(|ip| is_able(&ip)) {
                    Some(index) => {
                        requests += index + 1;
                        break candidates[index];
                    }
                    None => {
                        requests += candidates.len();
                        for ip in candidates {
                            forwarders.record_refused(ip, RefusalReason::Unable, at_ms(0));
                        }
                    }
                }
            };
            assert!(requests <= case.max_requests, "{}: {requests}", case.what);
            forwarders.record_opened(opened);
            let next = forwarders.candidates(me.ip, "a", &members, at_ms(10));
            assert_eq!(next[0], opened, "{}", case.what);
            used.insert(opened);
        }
        // Daemons that are partitioned together choose different ones.
        let is_spread = case.daemons_per_zone < 20 || used.len() >= 10;
        assert!(is_spread, "{}: {used:?}", case.what);
    }
}

/// Guards against a storm of requests to daemons that can't open connections either.
#[test]
fn daemons_that_refused_are_not_asked_again_at_once() {
    let members: Vec<EntryPoint> = (0..5).map(|index| member("a", index)).collect();
    let me = members[0].ip;
    let mut forwarders = Forwarders::default();
    let mut requests = 0;
    for ms in 0..1_000 {
        let candidates = forwarders.candidates(me, "a", &members, at_ms(ms));
        for ip in candidates {
            requests += 1;
            forwarders.record_refused(ip, RefusalReason::Unable, at_ms(ms));
        }
    }
    assert_eq!(requests, 4);
}
