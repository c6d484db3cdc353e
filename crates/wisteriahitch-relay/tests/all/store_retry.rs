//! Asking a store again that is away.

use wisteriahitch_relay::store_retry_backoff;
use wisteriahitch_types::DurationUs;

use crate::fixture::ms;

/// Symptom: calls of the store are the dearest price of a day with an outage, and when the store is back it
/// answers late. Sequence: the store is away; all daemons of a large fleet ask again every 0.8 s. Cause:
/// those that hear of the store from others asked as often as those that follow it.
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
            what: "one that follows the store, at first",
            failures: 0,
            receives_updates: false,
            daemons: 200,
            pause: ms(100),
        },
        Case {
            what: "one that follows the store, after a while",
            failures: 9,
            receives_updates: false,
            daemons: 200,
            pause: ms(800),
        },
        Case {
            what: "one that hears of it, in a small fleet",
            failures: 1,
            receives_updates: true,
            daemons: 2,
            pause: ms(200),
        },
        Case {
            what: "one that hears of it, in a large fleet",
            failures: 0,
            receives_updates: true,
            daemons: 60,
            pause: ms(3_000),
        },
        Case {
            what: "one that hears of it, in a very large fleet",
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
