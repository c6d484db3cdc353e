//! Rules whose parts are valid on their own but contradict each other.

use wisteriahitch_config::Configuration;
use wisteriahitch_types::Code;

use crate::support::example;

/// A second model, which no service serves.
const SECOND_MODEL: &str = r#"
[[models]]
name = "tag-1b"
weight_version = "1"
adapters = ["tag"]
bytes_per_token = 1
max_prompt_tokens = 4_000

[[stores]]
id = "hub-cache""#;

struct Case {
    /// Condition and action that replace those of the rule `counter-parts`.
    rule: &'static str,
    code: Code,
    message: &'static str,
}

const fn case(rule: &'static str, code: Code, message: &'static str) -> Case {
    Case {
        rule,
        code,
        message,
    }
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    case("when = { models = [\"hist-7b\"], adapters = [\"tag\"] }\nthen.route.service = \"assistant\"", Code::ConfigContradiction, "none of the models has the adapter tag"),
    case("when = { models = [\"tag-1b\"] }\nthen.route.service = \"assistant\"", Code::ConfigContradiction, "the service assistant does not hold the model tag-1b"),
    case("when.stream = true\nthen.route = { service = \"assistant\", adapter = \"tag\" }", Code::ConfigContradiction, "no model of the service assistant has the adapter tag"),
    case("when.stream = true\nthen.route = { service = \"assistant\", adapter = \"tags\" }", Code::ConfigUnknownName, "no adapter is named \"tags\"; did you mean \"tag\"?"),
    case("when.adapters = [\"part\"]\nthen.route.service = \"assistant\"", Code::ConfigUnknownName, "no adapter is named \"part\"; did you mean \"parts\"?"),
    case("when.adapters = [\"parts\"]\nthen.route.service = \"till\"", Code::ConfigContradiction, "the rule asks for parts of a completion, but the service till is a plain one"),
    case("when = { stream = true, path_prefixes = [\"/stock\"] }\nthen.refuse.reason = \"no\"", Code::ConfigContradiction, "leaves out POST /v1/completions"),
    case("when = { availability_zones = [\"colombo-c\"] }\nthen.refuse.reason = \"no\"", Code::ConfigUnknownName, "no availability zone is named \"colombo-c\""),
];

#[test]
fn a_rule_with_contradictory_parts_is_refused() {
    let valid = example("chainline.toml").replace("[[stores]]\nid = \"hub-cache\"", SECOND_MODEL);
    assert!(Configuration::check(&valid).is_ok());
    let (head, tail) = valid.split_once("name = \"counter-parts\"\n").unwrap();
    let (_, rest) = tail.split_once("\n\n").unwrap();
    for Case {
        rule,
        code,
        message,
    } in CASES
    {
        let text = format!("{head}name = \"counter-parts\"\n{rule}\n\n{rest}");
        let report = Configuration::check(&text).unwrap_err();
        let mut problems = report.problems().iter();
        let is_found = problems.any(|p| p.code == *code && p.message.contains(message));
        assert!(is_found, "{rule}: {report}");
    }
}

#[test]
fn a_key_that_does_not_apply_to_the_kind_of_service_is_refused() {
    let cases = [
        (
            "kind = \"plain\"",
            "kind = \"plain\"\nmodels = [\"hist-7b\"]",
        ),
        ("kind = \"engine\"", "kind = \"engine\"\nrepeatable = []"),
    ];
    let valid = example("chainline.toml");
    for (replace, by) in cases {
        let report = Configuration::check(&valid.replacen(replace, by, 1)).unwrap_err();
        let codes: Vec<Code> = report.problems().iter().map(|p| p.code).collect();
        assert_eq!(codes, [Code::ConfigContradiction], "{by}: {report}");
    }
}
