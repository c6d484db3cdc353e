//! Retries of calls to an unavailable store.

use std::net::Ipv4Addr;

use wisteriahitch_relay::{MemberPhase, MemberUpdate, PeerTable, store_retry_backoff};
use wisteriahitch_types::DurationUs;

use crate::fixture::{at_ms, ms};
use crate::members::message;

/// Guards against a daemon that keeps the long backoff of a large fleet although it no longer receives
/// updates from any hub. The two hundred members that its hub reported still count for seconds.
#[test]
fn a_daemon_that_hears_no_hub_retries_soon() {
    let mut table = PeerTable::default();
    let mut report = message(1, 11, 1, MemberPhase::Ready);
    report.zones = vec!["a".to_owned()];
    report.members = (1..=200).map(member).collect();
    report.membership.rotation_ms = 3_400;
    table.receive(&report, at_ms(0));
    let backoff = |now_ms| {
        let now = at_ms(now_ms);
        let receives_updates = table.upstream_hubs(false, now).count() > 0;
        store_retry_backoff(0, receives_updates, table.count(now) + 1)
    };
    assert_eq!(backoff(100), ms(10_000));
    assert_eq!(table.count(at_ms(2_000)), 200);
    assert_eq!(backoff(2_000), ms(100));
}

fn member(last: u8) -> MemberUpdate {
    MemberUpdate {
        ip: Ipv4Addr::new(10, 0, 1, last),
        zone: 0,
        phase: MemberPhase::Ready,
        capacity: 100,
        link_mbps: 10,
    }
}

/// Hubs learn of changes from the daemons that watch the store, not from each other.
#[test]
fn a_hub_is_informed_by_daemons_that_watch_the_store() {
    let mut table = PeerTable::default();
    let mut relaying = message(1, 11, 1, MemberPhase::Ready);
    relaying.follows_stores = false;
    table.receive(&relaying, at_ms(0));
    assert_eq!(table.upstream_hubs(false, at_ms(100)).count(), 1);
    assert_eq!(table.upstream_hubs(true, at_ms(100)).count(), 0);
    table.receive(&message(2, 12, 1, MemberPhase::Ready), at_ms(0));
    assert_eq!(table.upstream_hubs(true, at_ms(100)).count(), 1);
}

/// Store calls dominated the cost of a day with an outage, and the store was slow when it came
/// back, since all daemons of a large fleet retried every 0.8 s. The fault was that daemons which
/// receive updates from others retried as often as those that follow the store.
#[test]
fn a_large_fleet_retries_an_unavailable_store_at_a_bounded_rate() {
    struct Case {
        what: &'static str,
        failures: usize,
        receives_updates: bool,
        daemons: usize,
        pause: DurationUs,
    }
    let cases = [
        Case {
            what: "a daemon that follows the store, first failure",
            failures: 0,
            receives_updates: false,
            daemons: 200,
            pause: ms(100),
        },
        Case {
            what: "a daemon that follows the store, many failures",
            failures: 9,
            receives_updates: false,
            daemons: 200,
            pause: ms(800),
        },
        Case {
            what: "a daemon that receives updates, small fleet",
            failures: 1,
            receives_updates: true,
            daemons: 2,
            pause: ms(200),
        },
        Case {
            what: "a daemon that receives updates, large fleet",
            failures: 0,
            receives_updates: true,
            daemons: 60,
            pause: ms(3_000),
        },
        Case {
            what: "a daemon that receives updates, very large fleet",
            failures: 0,
            receives_updates: true,
            daemons: 1_000,
            pause: ms(10_000),
        },
    ];
    for case in cases {
        let pause = store_retry_backoff(case.failures, case.receives_updates, case.daemons);
        assert_eq!(pause, case.pause, "{}", case.what);
    }
}
