//! Retries of calls to an unavailable store.

use wisteriahitch_relay::store_retry_backoff;
use wisteriahitch_types::DurationUs;

use crate::fixture::ms;

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
