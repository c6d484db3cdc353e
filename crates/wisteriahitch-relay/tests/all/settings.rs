//! Settings that are read, ignored or refused.

use expect_test::{Expect, expect};
use std::time::Duration;

use wisteriahitch_relay::{BoundSettings, Bounds, RelaySettings};
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::object_store::ObjectRole;

use crate::fixture::ms;

const GOOD: &str = r#"
id = "entry-1"
ip = "10.0.0.1"
zone = "a"
[listen]
callers = "10.0.0.1:8000"
ready = "10.0.0.1:8001"
entries = "10.0.0.1:8002"
peer_port = 7700
[bounds]
old_weights_ms = 8000
all_weights_ms = 11000
endpoint_drain_ms = 2000
configuration_ms = 2000
contact_ms = 3000
store_history_s = 20
[store]
address = "10.0.0.9:8007"
"#;

#[test]
fn what_isn_t_said_has_a_default() {
    let settings = RelaySettings::parse(GOOD, |key| panic!("{key}")).unwrap();
    assert_eq!(settings.rollout.lease_ms, 3_000);
    assert_eq!(settings.entry_ttl().as_millis(), 1_200);
    assert!(settings.seeds.is_empty());
}

#[test]
fn unknown_keys_are_told_and_ignored() {
    let mut ignored = Vec::new();
    let text = format!("{GOOD}colour = 1\n[weather]\nrain = true\n");
    RelaySettings::parse(&text, |key| ignored.push(key)).unwrap();
    assert_eq!(ignored, ["store.colour", "weather"]);
}

#[test]
fn a_faulty_known_key_is_refused_with_its_name() {
    struct Case {
        line: &'static str,
        expected: Expect,
    }
    let cases = [
        Case {
            line: "[retry]\nratio = 1.5",
            expected: expect!["the setting retry.ratio is 1.5; allowed is 0 to 1"],
        },
        Case {
            line: "[drain]\ngrace_s = 0",
            expected: expect!["the setting drain.grace_s is 0; allowed is more than 0"],
        },
        Case {
            line: "[entries]\nttl_s = -1",
            expected: expect!["the setting entries.ttl_s is -1; allowed is more than 0"],
        },
    ];
    for case in cases {
        let text = format!("{GOOD}{}\n", case.line);
        let error = RelaySettings::parse(&text, |_| {}).unwrap_err();
        case.expected.assert_eq(&error.to_string());
    }
    let text = GOOD.replace("peer_port = 7700", "peer_port = 70000");
    let error = RelaySettings::parse(&text, |_| {}).unwrap_err().to_string();
    assert!(error.contains("peer_port"), "{error}");
}

/// Symptom: a daemon guessed a bound that its deployment doesn't have. Sequence: the platform's file
/// lacks one, or holds seconds where milliseconds are due. Cause: the value had a default.
#[test]
fn a_bound_that_is_absent_or_absurd_stops_the_start() {
    struct Case {
        from: &'static str,
        to: &'static str,
        expected: Expect,
    }
    let cases = [
        Case {
            from: "contact_ms = 3000\n",
            to: "",
            expected: expect!["the setting bounds.contact_ms is absent; allowed is 100 to 3600000"],
        },
        Case {
            from: "old_weights_ms = 8000",
            to: "old_weights_ms = 8",
            expected: expect!["the setting bounds.old_weights_ms is 8; allowed is 100 to 3600000"],
        },
        Case {
            from: "endpoint_drain_ms = 2000",
            to: "endpoint_drain_ms = -1",
            expected: expect![
                "the setting bounds.endpoint_drain_ms is -1; allowed is 100 to 3600000"
            ],
        },
    ];
    for case in cases {
        let text = GOOD.replace(case.from, case.to);
        let error = RelaySettings::parse(&text, |_| {}).unwrap_err();
        case.expected.assert_eq(&error.to_string());
    }
}

/// Each limit follows its bound, down to bounds that leave little to use.
#[test]
fn limits_follow_the_bounds_of_the_deployment() {
    /// Bounds times this.
    struct Case {
        factor: f64,
        old_weights_until: DurationUs,
        all_weights_within: DurationUs,
        first_age: DurationUs,
        drain_fallback: DurationUs,
        catch_up_delay: DurationUs,
        watch_wait: Duration,
        /// For the configuration: confirmed again at, final up to.
        staleness: (DurationUs, DurationUs),
    }
    let cases = [
        Case {
            factor: 0.25,
            old_weights_until: ms(1_000),
            all_weights_within: ms(2_750),
            first_age: ms(250),
            drain_fallback: ms(250),
            catch_up_delay: DurationUs::new(62_500),
            watch_wait: Duration::from_millis(1_500),
            staleness: (ms(300), ms(450)),
        },
        Case {
            factor: 0.5,
            old_weights_until: ms(2_000),
            all_weights_within: ms(5_500),
            first_age: ms(500),
            drain_fallback: ms(500),
            catch_up_delay: ms(125),
            watch_wait: Duration::from_millis(3_000),
            staleness: (ms(500), ms(900)),
        },
        Case {
            factor: 1.0,
            old_weights_until: ms(6_000),
            all_weights_within: ms(11_000),
            first_age: ms(3_000),
            drain_fallback: ms(1_000),
            catch_up_delay: ms(250),
            watch_wait: Duration::from_millis(6_000),
            staleness: (ms(1_000), ms(1_800)),
        },
        Case {
            factor: 2.0,
            old_weights_until: ms(14_000),
            all_weights_within: ms(22_000),
            first_age: ms(8_000),
            drain_fallback: ms(2_000),
            catch_up_delay: ms(500),
            watch_wait: Duration::from_millis(6_000),
            staleness: (ms(2_000), ms(3_600)),
        },
    ];
    for case in cases {
        let bounds = bounds(case.factor);
        let factor = case.factor;
        assert_eq!(
            bounds.old_weights_send_deadline(),
            case.old_weights_until,
            "{factor}"
        );
        assert_eq!(
            bounds.rollout_deadline(),
            case.all_weights_within,
            "{factor}"
        );
        assert_eq!(bounds.assumed_initial_age(), case.first_age, "{factor}");
        assert_eq!(bounds.drain_fallback(), case.drain_fallback, "{factor}");
        assert_eq!(bounds.catch_up_delay(), case.catch_up_delay, "{factor}");
        assert_eq!(bounds.watch_wait(), case.watch_wait, "{factor}");
        let limits = bounds.staleness_limits(ObjectRole::Configuration);
        let staleness = (limits.confirm_us, limits.final_us);
        assert_eq!(staleness, case.staleness, "{factor}");
    }
}

fn bounds(factor: f64) -> Bounds {
    let settings = BoundSettings {
        old_weights_ms: Some(8_000.0 * factor),
        all_weights_ms: Some(11_000.0 * factor),
        endpoint_drain_ms: Some(2_000.0 * factor),
        configuration_ms: Some(2_000.0 * factor),
        contact_ms: Some(3_000.0 * factor),
        store_history_s: Some(20.0 * factor),
        evacuation_ms: None,
    };
    settings.checked().unwrap()
}
