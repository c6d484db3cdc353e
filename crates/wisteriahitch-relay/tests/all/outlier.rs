//! Ejection of endpoints that fail.

use wisteriahitch_relay::{OutlierDetector, OutlierOptions};

use crate::fixture::at_ms;

/// Guards against a faulty endpoint that fails every second request for as long as its own health
/// reports are good, because only these are considered.
#[test]
fn an_endpoint_is_ejected_by_the_outcomes_of_requests() {
    struct Case {
        what: &'static str,
        outcomes: &'static [bool],
        ejected: bool,
    }
    let cases = [
        Case {
            what: "one failure",
            outcomes: &[false],
            ejected: false,
        },
        Case {
            what: "two in a row",
            outcomes: &[false, false],
            ejected: true,
        },
        Case {
            what: "a failure now and then",
            outcomes: &[false, true, true, true, false, true],
            ejected: false,
        },
        Case {
            what: "nearly every second one",
            outcomes: &[false, true, false, false],
            ejected: true,
        },
    ];
    let options = OutlierOptions::default();
    for case in cases {
        let mut outlier = OutlierDetector::default();
        for good in case.outcomes {
            match good {
                true => outlier.record_success(&options),
                false => outlier.record_failure(&options, at_ms(0)),
            };
        }
        assert_eq!(outlier.is_ejected(at_ms(1)), case.ejected, "{}", case.what);
    }
}

#[test]
fn one_request_at_a_time_probes_and_readmits() {
    let options = OutlierOptions::default();
    let mut outlier = OutlierDetector::default();
    outlier.eject(&options, at_ms(0));
    assert!(outlier.is_ejected(at_ms(999)));
    assert!(
        !outlier.is_ejected(at_ms(1_001)),
        "the next request may try it"
    );
    outlier.record_sent(at_ms(1_001));
    assert!(
        outlier.is_ejected(at_ms(1_002)),
        "and no other one meanwhile"
    );
    assert!(outlier.record_success(&options));
    assert!(!outlier.is_ejected(at_ms(1_003)));
}

#[test]
fn a_failed_probe_ejects_for_longer_up_to_a_bound() {
    let options = OutlierOptions::default();
    let mut outlier = OutlierDetector::default();
    let mut now = 0;
    for span_ms in [1_000, 2_000, 4_000, 4_000] {
        outlier.eject(&options, at_ms(now));
        assert!(outlier.is_ejected(at_ms(now + span_ms - 1)), "{span_ms}");
        assert!(!outlier.is_ejected(at_ms(now + span_ms)), "{span_ms}");
        now += span_ms;
    }
}
