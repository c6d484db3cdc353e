//! Tests of graceful shutdown: no caller is cut off.

use wisteriahitch_core::fleet::{Drain, DrainPhase, OpenWork};
use wisteriahitch_types::{DurationUs, TimeUs};

const TTL_US: DurationUs = DurationUs::from_ms(10_000);

struct Case {
    name: &'static str,
    after_ms: u64,
    requests: u64,
    tickets: u64,
    phase: DrainPhase,
}

const CASES: &[Case] = &[
    Case {
        name: "callers may still have entry lists that name the daemon",
        after_ms: 9_999,
        requests: 0,
        tickets: 0,
        phase: DrainPhase::Draining,
    },
    Case {
        name: "a request is in progress",
        after_ms: 60_000,
        requests: 1,
        tickets: 0,
        phase: DrainPhase::Draining,
    },
    Case {
        name: "a ticket may still be used",
        after_ms: 60_000,
        requests: 0,
        tickets: 1,
        phase: DrainPhase::Draining,
    },
    Case {
        name: "no open work is left",
        after_ms: 10_000,
        requests: 0,
        tickets: 0,
        phase: DrainPhase::Drained,
    },
];

/// Failure: callers get connection errors at each restart. A daemon is stopped while callers still
/// hold its address, requests or tickets, and exits as soon as it is idle.
#[test]
fn a_daemon_stays_until_nobody_needs_it() {
    for case in CASES {
        let mut drain = Drain::new();
        let start = TimeUs::new(5_000_000);
        drain.start(start, TTL_US);
        let now = start + DurationUs::from_ms(case.after_ms);
        let work = OpenWork {
            requests: case.requests,
            tickets: case.tickets,
        };
        assert_eq!(drain.tick(now, work), case.phase, "{}", case.name);
    }
}

#[test]
fn a_second_start_changes_nothing_and_a_hard_stop_ends() {
    let mut drain = Drain::default();
    let work = OpenWork {
        requests: 1,
        tickets: 0,
    };
    assert_eq!(drain.tick(TimeUs::ZERO, work), DrainPhase::Serving);
    drain.start(TimeUs::ZERO, TTL_US);
    drain.start(TimeUs::new(9_000_000), TTL_US);
    assert_eq!(drain.listed_until_us(), TimeUs::ZERO + TTL_US);
    drain.hard_stop(TimeUs::new(9_000_000));
    assert_eq!(drain.phase(), DrainPhase::Drained);
}
