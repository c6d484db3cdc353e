//! Parsing and checking of a daemon's settings.

use expect_test::expect;
use wisteriahitch_config::{LogLevel, Settings};
use wisteriahitch_types::{Code, DurationUs};

use crate::support::{Edit, codes_and_lines, edit, example};

const MANY: &str = r#"id = "entry 1"
zone = "colombo-a"

[listen]
callers = "0.0.0.0:7001"
peers = "localhost:7002"
operators = "127.0.0.1:0"

[platform]
addresses = []
reads_per_s = 0
timeout = "2s"

[peers]
seeds = ["127.0.0.1:7002", "127.0.0.1:7002"]
probe_interval_ms = 1

[limits]
header_bytes = 10
streams = true
header_timeout_s = 60
body_timeout_s = 5

[operators]
key_hashes = ["demo-operator-key"]

[log]
level = "loud"
file = ""

[run]
cores = 0
policy = "fastest"
threads = 4
"#;

#[test]
fn every_mistake_is_reported_at_once() {
    let report = Settings::check(MANY).unwrap_err();
    expect![[r#"
        settings.toml:1:1: W4008: `availability_zone` is missing
        settings.toml:1:6: W4003 id: the name holds the character ' '; allowed are letters, digits and . _ - :
        settings.toml:2:1: W4002 zone: no key is named `zone`
        settings.toml:5:11: W4003 listen.callers: 0.0.0.0:7001 is not an address that others can connect to
        settings.toml:6:9: W4003 listen.peers: "localhost:7002" is not an IP number with a port, such as "127.0.0.1:8080"
        settings.toml:7:13: W4003 listen.operators: 127.0.0.1:0 is not an address that others can connect to
        settings.toml:10:13: W4008 platform.addresses: the list is empty
        settings.toml:11:15: W4003 platform.reads_per_s: must be from 1 to 2000, found 0
        settings.toml:12:1: W4002 platform.timeout: no key is named `timeout`; did you mean `timeout_s`?
        settings.toml:15:28: W4005 peers.seeds[1]: the same value stands in the list twice
        settings.toml:16:21: W4003 peers.probe_interval_ms: must be from 50 to 60000, found 1
        settings.toml:18:1: W4013 limits: a request's head may take longer than the whole request
        settings.toml:19:16: W4003 limits.header_bytes: must be from 1024 to 1048576, found 10
        settings.toml:20:11: W4003 limits.streams: expected a whole number, found a boolean
        settings.toml:25:15: W4003 operators.key_hashes[0]: a key has 32 hexadecimal digits
        settings.toml:28:9: W4003 log.level: "loud" is not one of error, warn, info, debug, trace
        settings.toml:29:8: W4003 log.file: the path is empty
        settings.toml:32:9: W4003 run.cores: must be from 1 to 1024, found 0
        settings.toml:33:10: W4003 run.policy: "fastest" is not one of cost, round-robin, least-loaded, affinity
        settings.toml:34:1: W4002 run.threads: no key is named `threads`"#]].assert_eq(&report.in_file("settings.toml").to_string());
}

#[test]
fn an_empty_file_reports_every_key_without_a_default() {
    let report = Settings::check("").unwrap_err();
    expect![[r#"
        settings.toml:1:1: W4008: `id` is missing
        settings.toml:1:1: W4008: `availability_zone` is missing
        settings.toml:1:1: W4008: `listen` is missing
        settings.toml:1:1: W4008: `platform` is missing
        settings.toml:1:1: W4008: `operators` is missing"#]]
    .assert_eq(&report.in_file("settings.toml").to_string());
}

#[test]
fn durations_may_be_given_in_either_unit() {
    let text = example("settings.toml");
    let other = text.replace("timeout_ms = 2_000", "timeout_s = 2");
    let settings = Settings::check(&other).unwrap();
    assert_eq!(settings, Settings::check(&text).unwrap());
    assert_eq!(settings.platform.timeout_us, DurationUs::from_ms(2_000));
}

#[test]
fn log_levels_are_ordered_from_least_to_most_verbose() {
    let text = example("settings.toml").replace("\"info\"", "\"trace\"");
    let settings = Settings::check(&text).unwrap();
    assert_eq!(settings.log.level, LogLevel::Trace);
    assert!(LogLevel::Error < LogLevel::Trace);
}

#[rustfmt::skip]
const EDITS: &[Edit] = &[
    edit("id = \"entry-1\"\n", "", Code::ConfigMissingKey, "#"),
    edit("peers = \"127.0.0.1:7002\"\n", "", Code::ConfigMissingKey, "[listen]"),
    edit("peers = \"127.0.0.1:7002\"", "peers = \"127.0.0.1:7001\"", Code::ConfigDuplicateName, "peers = \"127.0.0.1:7001\""),
    edit("addresses = [\"127.0.0.1:7000\"]", "addresses = [\"127.0.0.1:7003\"]", Code::ConfigDuplicateName, "addresses = "),
    edit("seeds = [\"127.0.0.1:7002\"", "seeds = [\"127.0.0.1:7001\"", Code::ConfigContradiction, "seeds = "),
    edit("key_hashes = [\"c3", "key_hashes = [\"+3", Code::ConfigBadValue, "key_hashes = "),
    edit("body_timeout_s = 30", "body_timeout_s = 4", Code::ConfigContradiction, "[limits]"),
    edit("answer_bytes = 524_288", "answer_bytes = 900_000", Code::ConfigBadValue, "answer_bytes"),
    edit("cores = 2", "core = 2", Code::ConfigUnknownKey, "core = 2"),
    edit("[run]", "[runs]", Code::ConfigUnknownKey, "[runs]"),
    edit("[run]", "[log]", Code::ConfigSyntax, "[log]\ncores"),
];

#[test]
fn each_mistake_is_reported_alone_with_its_code_and_line() {
    let valid = example("settings.toml");
    for edit in EDITS {
        let (text, line) = edit.apply(&valid);
        let report = Settings::check(&text).unwrap_err();
        assert_eq!(
            codes_and_lines(&report),
            [(edit.code, line)],
            "{edit}: {report}"
        );
    }
}
