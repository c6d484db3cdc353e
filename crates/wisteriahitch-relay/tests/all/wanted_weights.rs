//! Since when weights are no longer wanted.

use wisteriahitch_types::WeightNumber;

use crate::fixture::{at_ms, wanted_versions};

#[test]
fn a_version_is_replaced_by_the_first_newer_one() {
    let version = WeightNumber::new;
    let mut wanted = wanted_versions();
    assert!(wanted.record_version(version(1), at_ms(0)));
    assert!(wanted.record_version(version(2), at_ms(10)));
    assert!(wanted.record_version(version(5), at_ms(20)));
    assert!(
        !wanted.record_version(version(4), at_ms(30)),
        "an older one changes nothing"
    );
    assert_eq!(wanted.newest(), Some(version(5)));
    let expected = [
        (1, Some(10)),
        (2, Some(20)),
        (3, Some(20)),
        (5, None),
        (6, None),
    ];
    for (number, at) in expected {
        assert_eq!(
            wanted.replaced_at(version(number)),
            at.map(at_ms),
            "{number}"
        );
    }
}

/// An engine must not fetch a part that is being freed: newer weights are named, calls still go to
/// engines with the old ones and fetch parts, and those parts are freed. The fault was that parts
/// were freed while a call that was sent to old weights could still be fetching them.
#[test]
fn parts_outlive_calls_that_may_fetch_them() {
    struct Case {
        now_ms: u64,
        may_dispatch: bool,
        may_fetch_parts: bool,
    }
    let cases = [
        Case {
            now_ms: 5_900,
            may_dispatch: true,
            may_fetch_parts: true,
        },
        Case {
            now_ms: 6_100,
            may_dispatch: false,
            may_fetch_parts: true,
        },
        Case {
            now_ms: 8_100,
            may_dispatch: false,
            may_fetch_parts: false,
        },
    ];
    let (old, new) = (WeightNumber::new(1), WeightNumber::new(2));
    let mut wanted = wanted_versions();
    wanted.record_version(new, at_ms(0));
    for case in cases {
        let now = at_ms(case.now_ms);
        assert_eq!(
            wanted.may_dispatch(old, now),
            case.may_dispatch,
            "{}",
            case.now_ms
        );
        assert_eq!(
            wanted.may_fetch_parts(old, now),
            case.may_fetch_parts,
            "{}",
            case.now_ms
        );
        assert!(wanted.may_dispatch(new, now) && wanted.may_fetch_parts(new, now));
    }
}
