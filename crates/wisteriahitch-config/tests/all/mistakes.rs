//! Reports on invalid configurations.

use expect_test::expect;
use wisteriahitch_config::{Configuration, Sections};
use wisteriahitch_types::Code;

use crate::support::{Edit, codes_and_lines, edit, example};

const MANY: &str = r#"availability_zones = ["colombo-a", "colombo-b"]
region = "lk-west"

[limits]
rollout_parallel = 0
answer_kept = 60
ticket_lifetime_ms = "60s"

[[models]]
name = "hist-7b"
weight_version = "v 1"
adapters = ["history", "history"]
bytes_per_token = 1.5
max_prompt_tokens = 1000

[[stores]]
id = "hub-cache"
address = "hub.example:7101"
availability_zone = "colombo-x"
link_rate_bytes_per_s = -1

[[services]]
name = "till"
kind = "plane"

[[services]]
name = "assistant"
kind = "engine"
models = ["hist-7b", "hist-8b"]
stores = ["hub-cash"]
endpoints = [
    { id = "runner-1", address = "127.0.0.1:9001", availability_zone = "colombo-a", checks_fence = true },
    { id = "runner-1", address = "127.0.0.1:9001", availability_zone = "colombo-a", checks_fence = 1 },
]

[[workspaces]]
id = "kandy-01"
key_hashes = ["00000000000000000000000000000001"]
store_bytes = 1_000

[[workspaces]]
id = "galle-02"
key_hashes = ["00000000000000000000000000000001", "secret"]
weight = 0

[[rules]]
name = "everything"
then.route = { service = "assistent", deadline = 500, priority = 10 }

[[rules]]
name = "long"
when = { workspaces = ["kandy-1"], methods = ["get"], path_prefixes = ["stock"], min_prompt_tokens = 9, max_prompt_tokens = 8 }
then = { route = { service = "assistant" }, refuse = { reason = "" } }

[[rules]]
name = "all"
when = {}
then.refuse = { reason = "no" }

[[rules]]
name = "last"
when = { workspaces = [] }

[[rules]]
name = "last"
when.stream = true
then.refuse = { reason = "two\nlines", retry_after_ms = 1, retry_after_s = 1 }
"#;

#[test]
fn every_mistake_is_reported_at_once() {
    let report = Configuration::check(MANY).unwrap_err();
    expect![[r#"
        site.toml:2:1: W4002 region: no key is named `region`
        site.toml:5:20: W4003 limits.rollout_parallel: must be from 1 to 64, found 0
        site.toml:6:1: W4002 limits.answer_kept: no key is named `answer_kept`; did you mean `answer_kept_s`?
        site.toml:7:22: W4003 limits.ticket_lifetime_ms: expected a whole number, found a string
        site.toml:11:18: W4003 models[0].weight_version: the name holds the character ' '; allowed are letters, digits and . _ - :
        site.toml:12:24: W4005 models[0].adapters[1]: the same value stands in the list twice
        site.toml:13:19: W4003 models[0].bytes_per_token: expected a whole number, found a fraction
        site.toml:14:21: W4013 models[0].max_prompt_tokens: the longest prompt is shorter than one piece, so nothing is ever cached
        site.toml:16:1: W4013 stores[0]: the store has room neither in memory nor on disk
        site.toml:18:11: W4003 stores[0].address: "hub.example:7101" is not an IP number with a port, such as "127.0.0.1:8080"
        site.toml:19:21: W4004 stores[0].availability_zone: no availability zone is named "colombo-x"; did you mean "colombo-a"?
        site.toml:20:25: W4003 stores[0].link_rate_bytes_per_s: must be from 1 to 9007199254740992, found -1
        site.toml:22:1: W4008 services[0]: `endpoints` is missing
        site.toml:24:8: W4003 services[0].kind: "plane" is neither "engine" nor "plain"
        site.toml:29:22: W4004 services[1].models[1]: no model is named "hist-8b"; did you mean "hist-7b"?
        site.toml:30:11: W4004 services[1].stores[0]: no store is named "hub-cash"; did you mean "hub-cache"?
        site.toml:33:12: W4005 services[1].endpoints[1].id: the endpoint runner-1 is given before, at services[1].endpoints[0].id in line 32
        site.toml:33:34: W4005 services[1].endpoints[1].address: the address 127.0.0.1:9001 is given before, at services[1].endpoints[0].address in line 32
        site.toml:33:100: W4003 services[1].endpoints[1].checks_fence: expected true or false, found a whole number
        site.toml:41:1: W4008 workspaces[1]: `store_bytes` is missing
        site.toml:43:15: W4005 workspaces[1].key_hashes[0]: the key hash 00000000000000000000000000000001 is given before, at workspaces[0].key_hashes[0] in line 38
        site.toml:43:51: W4003 workspaces[1].key_hashes[1]: a key has 32 hexadecimal digits
        site.toml:44:10: W4003 workspaces[1].weight: must be from 1 to 10000, found 0
        site.toml:48:26: W4004 rules[0].then.route.service: no service is named "assistent"; did you mean "assistant"?
        site.toml:48:39: W4002 rules[0].then.route.deadline: no key is named `deadline`; did you mean `deadline_s`?
        site.toml:48:66: W4003 rules[0].then.route.priority: must be from 0 to 9, found 10
        site.toml:52:24: W4004 rules[1].when.workspaces[0]: no workspace is named "kandy-1"; did you mean "kandy-01"?
        site.toml:52:47: W4003 rules[1].when.methods[0]: "get" is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS
        site.toml:52:72: W4003 rules[1].when.path_prefixes[0]: "stock" does not start with /
        site.toml:52:102: W4013 rules[1].when.min_prompt_tokens: `min_prompt_tokens` is 9 tokens and `max_prompt_tokens` is 8 tokens
        site.toml:53:8: W4013 rules[1].then: `route` and `refuse` are both given
        site.toml:60:1: W4008 rules[3]: `then` is missing
        site.toml:62:23: W4003 rules[3].when.workspaces: the list is empty; leave the key out to match everything
        site.toml:65:8: W4005 rules[4].name: the rule last is given before, at rules[3].name in line 61
        site.toml:67:26: W4003 rules[4].then.refuse.reason: must be one line of 1 to 300 characters
        site.toml:67:76: W4013 rules[4].then.refuse.retry_after_s: `retry_after_ms` and `retry_after_s` are both given"#]].assert_eq(&report.in_file("site.toml").to_string());
}

#[test]
fn a_text_that_is_not_toml_is_reported_by_line() {
    let text =
        "availability_zones = [\"a\"\n\n[limits\nrollout_parallel = 2\n\n[[rules]]\nname = \n";
    let report = Configuration::check(text).unwrap_err();
    expect![[r#"
        site.toml:3:1: W4001: missing comma between array elements, expected `,`
        site.toml:4:1: W4001: missing comma between array elements, expected `,`
        site.toml:6:1: W4001: missing comma between array elements, expected `,`
        site.toml:7:1: W4001: missing comma between array elements, expected `,`"#]]
    .assert_eq(&report.in_file("site.toml").to_string());
}

#[test]
fn a_report_serializes_for_other_programs() {
    let report = Configuration::check("rulez = []").unwrap_err();
    let json = serde_json::to_string_pretty(&report).unwrap();
    expect![[r#"
        {
          "problems": [
            {
              "code": "W4002",
              "line": 1,
              "column": 1,
              "path": "rulez",
              "message": "no key is named `rulez`; did you mean `rules`?"
            },
            {
              "code": "W4007",
              "line": 1,
              "column": 1,
              "path": "",
              "message": "there is no rule; the last one is to be a default without `when`"
            }
          ],
          "is_cut": false
        }"#]]
    .assert_eq(&json);
}

#[test]
fn a_mistake_in_a_section_in_force_names_the_section() {
    let before = Sections::split(&example("chainline.toml")).unwrap();
    let submission = r#"
[[workspaces]]
id = "galle-fort"
key_hashes = ["be16f3f41cddf07a36e8295882866f0d"]
store_bytes = 1
"#;
    let report = before.accept(submission).unwrap_err();
    expect!["galle.toml:4:15: W4005 workspaces[0].key_hashes[0]: the key hash be16f3f41cddf07a36e8295882866f0d is given before, at workspaces[0].key_hashes[0] of workspace/kandy-central (in force)"].assert_eq(&report.in_file("galle.toml").to_string());
}

#[rustfmt::skip]
const EDITS: &[Edit] = &[
    edit("[limits]", "[limits", Code::ConfigSyntax, "[limits"),
    edit("retry_share =", "retry_shares =", Code::ConfigUnknownKey, "retry_shares"),
    edit("retry_share = 0.1", "retry_share = 1.5", Code::ConfigBadValue, "retry_share"),
    edit("retry_share = 0.1", "retry_share = nan", Code::ConfigBadValue, "retry_share"),
    edit("entries_ttl_s = 10", "entries_ttl_s = 0", Code::ConfigBadValue, "entries_ttl_s"),
    edit("entries_ttl_s = 10", "entries_ttl_us = 10", Code::ConfigUnknownKey, "entries_ttl_us"),
    edit("entries_ttl_s = 10", "entries_ttl_s = 10\nentries_ttl_ms = 10_000", Code::ConfigContradiction, "entries_ttl_s"),
    edit("answer_kept_s = 86_400", "answer_kept_s = 10", Code::ConfigContradiction, "[limits]"),
    edit("max_prompt_tokens = 128_000", "max_prompt_tokens = 1_999", Code::ConfigContradiction, "max_prompt_tokens"),
    edit("weight_version = \"2026-05\"\n", "", Code::ConfigMissingKey, "[[models]]"),
    edit("address = \"127.0.0.1:7202\"", "address = \"127.0.0.1:7201\"", Code::ConfigDuplicateName, "\"127.0.0.1:7201\"\navailability_zone = \"colombo-b\""),
    edit("address = \"127.0.0.1:7101\"", "address = \"0.0.0.0:7101\"", Code::ConfigBadValue, "\"0.0.0.0:7101\""),
    edit("id = \"till-2\"", "id = \"assistant-2\"", Code::ConfigDuplicateName, "\"assistant-2\"\naddress = \"127.0.0.1:7302\""),
    edit("stores = [\"hub-cache\"]", "stores = [\"hub\"]", Code::ConfigUnknownName, "[\"hub\"]"),
    edit("models = [\"hist-7b\"]", "models = []", Code::ConfigMissingKey, "models = []"),
    edit("path_prefix = \"/stock\"", "path_prefix = \"/stock/../x\"", Code::ConfigBadValue, "\"/stock/../x\""),
    edit("path_prefix = \"/stock\"", "path_prefix = \"/bookings\"", Code::ConfigDuplicateName, "    { method = \"GET\", path_prefix = \"/bookings\" },\n]"),
    edit("service = \"till\", priority = 6", "service = \"till\", save = \"always\"", Code::ConfigContradiction, "save = \"always\""),
    edit("when = { adapters = [\"parts\"] }", "when = { adapters = [\"parts\"], methods = [\"GET\"] }", Code::ConfigContradiction, "methods = [\"GET\"] }"),
    edit("when = { adapters = [\"parts\"] }", "when = { adapters = [\"parts\"], models = [\"hist-7b\"], min_prompt_tokens = 128_001 }", Code::ConfigContradiction, "min_prompt_tokens"),
    edit("when = { adapters = [\"parts\"] }", "when = { adapters = [\"history\"] }", Code::ConfigUnreachableRule, "[[rules]]\nname = \"counter-parts\""),
    edit("name = \"default\"", "name = \"default\"\nwhen.stream = false", Code::ConfigNoDefault, "when.stream"),
    edit("then.refuse", "then.reject", Code::ConfigUnknownKey, "then.reject"),
];

#[test]
fn each_mistake_is_reported_alone_with_its_code_and_line() {
    let valid = example("chainline.toml");
    for edit in EDITS {
        let (text, line) = edit.apply(&valid);
        let report = Configuration::check(&text).unwrap_err();
        let found = codes_and_lines(&report);
        assert!(
            found.contains(&(edit.code, line)),
            "{edit}: line {line}: {report}"
        );
        let codes = found.iter().filter(|(code, _)| *code == edit.code);
        assert_eq!(codes.count(), 1, "{edit}: {report}");
    }
}

/// The check of a hostile text that repeats one name thousands of times takes minutes if the line
/// of each repetition is counted from the start of the text.
#[test]
fn a_text_with_thousands_of_mistakes_gives_a_bounded_report() {
    let text = "[[rules]]\nname = \"r\"\nthen.refuse.reason = \"no\"\n".repeat(20_000);
    let report = Configuration::check(&text).unwrap_err();
    assert!(report.is_truncated());
    assert_eq!(report.problems().len(), 200);
    let rendered = report.in_file("site.toml").to_string();
    assert!(rendered.ends_with("only the first 200 problems found are listed"));
}

#[test]
fn a_text_above_the_size_limit_is_refused_without_parsing() {
    let text = "#".repeat((8 << 20) + 1);
    let report = Configuration::check(&text).unwrap_err();
    assert_eq!(codes_and_lines(&report), [(Code::ConfigTooLarge, 1)]);
}
