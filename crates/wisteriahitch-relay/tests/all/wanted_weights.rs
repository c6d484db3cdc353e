//! Since when weights are no longer wanted.

use wisteriahitch_types::WeightNumber;

use crate::fixture::{at_ms, wanted_versions};

#[test]
fn a_version_is_replaced_by_the_first_newer_one() {
    let version = WeightNumber::new;
    let mut wanted = wanted_versions();
    assert!(wanted.named(version(1), at_ms(0)));
    assert!(wanted.named(version(2), at_ms(10)));
    assert!(wanted.named(version(5), at_ms(20)));
    assert!(
        !wanted.named(version(4), at_ms(30)),
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

/// Symptom: an engine reads a part that is being freed. Sequence: newer weights are named; calls go on
/// to engines with the old ones and fetch parts; somebody frees those parts. Cause: parts were freed
/// while a call that was sent to old weights could still be fetching them.
#[test]
fn parts_outlive_the_calls_that_may_fetch_them() {
    struct Case {
        now_ms: u64,
        may_begin: bool,
        may_be_fetched: bool,
    }
    let cases = [
        Case {
            now_ms: 5_900,
            may_begin: true,
            may_be_fetched: true,
        },
        Case {
            now_ms: 6_100,
            may_begin: false,
            may_be_fetched: true,
        },
        Case {
            now_ms: 8_100,
            may_begin: false,
            may_be_fetched: false,
        },
    ];
    let (old, new) = (WeightNumber::new(1), WeightNumber::new(2));
    let mut wanted = wanted_versions();
    wanted.named(new, at_ms(0));
    for case in cases {
        let now = at_ms(case.now_ms);
        assert_eq!(
            wanted.may_begin(old, now),
            case.may_begin,
            "{}",
            case.now_ms
        );
        assert_eq!(
            wanted.may_be_fetched(old, now),
            case.may_be_fetched,
            "{}",
            case.now_ms
        );
        assert!(wanted.may_begin(new, now) && wanted.may_be_fetched(new, now));
    }
}
