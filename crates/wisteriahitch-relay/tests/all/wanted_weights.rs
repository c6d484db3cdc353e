//! Since when weights are no longer wanted.

use wisteriahitch_relay::WantedVersions;
use wisteriahitch_types::WeightNumber;

use crate::fixture::at_ms;

#[test]
fn a_version_is_replaced_by_the_first_newer_one() {
    let version = WeightNumber::new;
    let mut wanted = WantedVersions::default();
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
