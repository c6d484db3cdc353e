//! Settings that are read, ignored or refused.

use expect_test::{Expect, expect};
use wisteriahitch_relay::RelaySettings;

const GOOD: &str = r#"
id = "entry-1"
ip = "10.0.0.1"
zone = "a"
[listen]
callers = "10.0.0.1:8000"
ready = "10.0.0.1:8001"
entries = "10.0.0.1:8002"
peer_port = 7700
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
