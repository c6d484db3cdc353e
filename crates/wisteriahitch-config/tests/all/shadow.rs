//! Detection of rules that can never match.

use std::fmt::Write;

use proptest::collection::vec;
use proptest::prelude::*;
use wisteriahitch_config::{Condition, Configuration, RequestFacts};
use wisteriahitch_types::Code;

use crate::decide::{condition, facts};
use crate::support::property_test_config;

const NAMES: &str = r#"
availability_zones = ["a", "b"]

[[models]]
name = "m1"
weight_version = "1"
bytes_per_token = 1
max_prompt_tokens = 10_000

[[models]]
name = "m2"
weight_version = "1"
bytes_per_token = 1
max_prompt_tokens = 10_000
"#;

fn text(conditions: &[Condition]) -> String {
    let mut text = NAMES.to_owned();
    for number in 1..=4 {
        let _ = write!(
            text,
            "[[workspaces]]\nid = \"w{number}\"\n\
             key_hashes = [\"0000000000000000000000000000000{number}\"]\nstore_bytes = 1\n"
        );
    }
    for (position, when) in conditions.iter().enumerate() {
        let _ = write!(text, "[[rules]]\nname = \"rule-{position}\"\n");
        text.push_str("then.refuse.reason = \"no\"\n");
        text.push_str(&when_text(when));
    }
    text.push_str("[[rules]]\nname = \"default\"\nthen.refuse.reason = \"no\"\n");
    text
}

fn when_text(when: &Condition) -> String {
    let mut text = String::new();
    let mut list = |key: &str, names: Vec<String>| {
        if !names.is_empty() {
            let _ = writeln!(text, "when.{key} = {names:?}");
        }
    };
    let owned = |names: &[String]| names.to_vec();
    list(
        "workspaces",
        when.workspaces.iter().map(ToString::to_string).collect(),
    );
    list("methods", owned(&when.methods));
    list("path_prefixes", owned(&when.path_prefixes));
    list(
        "models",
        when.models.iter().map(ToString::to_string).collect(),
    );
    let zones = &when.availability_zones;
    list(
        "availability_zones",
        zones.iter().map(ToString::to_string).collect(),
    );
    if let Some(low) = when.min_prompt_tokens {
        let _ = writeln!(text, "when.min_prompt_tokens = {}", low.get());
    }
    if let Some(high) = when.max_prompt_tokens {
        let _ = writeln!(text, "when.max_prompt_tokens = {}", high.get());
    }
    if let Some(stream) = when.stream {
        let _ = writeln!(text, "when.stream = {stream}");
    }
    for (name, value) in &when.labels {
        let _ = writeln!(text, "when.labels.{name} = {value:?}");
    }
    text
}

/// Returns the positions of the rules that the check reports as unreachable.
fn unreachable(conditions: &[Condition]) -> Vec<usize> {
    let Err(report) = Configuration::check(&text(conditions)) else {
        return Vec::new();
    };
    let problems = report.problems().iter();
    let found = problems.filter(|problem| problem.code == Code::ConfigUnreachableRule);
    found
        .map(|problem| {
            let digits = problem
                .path
                .trim_start_matches("rules[")
                .trim_end_matches(']');
            digits.parse().unwrap()
        })
        .collect()
}

fn first_match(conditions: &[Condition], facts: &RequestFacts) -> Option<usize> {
    conditions.iter().position(|when| when.is_match(facts))
}

proptest! {
    #![proptest_config(property_test_config(400))]

    /// A valid configuration is refused if a rule that matches some request is reported as
    /// unreachable.
    #[test]
    fn a_rule_that_matches_a_request_is_never_reported_as_unreachable(
        conditions in vec(condition(), 1..10),
        requests in vec(facts(), 30),
    ) {
        let unreachable = unreachable(&conditions);
        for facts in &requests {
            if let Some(position) = first_match(&conditions, facts) {
                prop_assert!(!unreachable.contains(&position), "rule {position}: {facts:?}");
            }
        }
    }
}

/// The conditions of two rules in this order, and whether the first covers the second.
struct Case {
    earlier: &'static str,
    later: &'static str,
    is_covered: bool,
}

const fn case(earlier: &'static str, later: &'static str, is_covered: bool) -> Case {
    Case {
        earlier,
        later,
        is_covered,
    }
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    case("{}", "{ methods = [\"GET\"] }", true),
    case("{ methods = [\"GET\"] }", "{ methods = [\"GET\"] }", true),
    case("{ methods = [\"GET\", \"PUT\"] }", "{ methods = [\"PUT\"] }", true),
    case("{ methods = [\"GET\"] }", "{ methods = [\"GET\", \"PUT\"] }", false),
    case("{ path_prefixes = [\"/a\"] }", "{ path_prefixes = [\"/a/b\"] }", true),
    case("{ path_prefixes = [\"/a\"] }", "{ path_prefixes = [\"/ab\"] }", false),
    case("{ path_prefixes = [\"/a/\"] }", "{ path_prefixes = [\"/a\"] }", false),
    case("{ workspaces = [\"w2\", \"w1\"] }", "{ workspaces = [\"w1\"] }", true),
    case("{ workspaces = [\"w1\"] }", "{ workspaces = [\"w1\", \"w2\"] }", false),
    case("{ workspaces = [\"w1\"] }", "{ methods = [\"GET\"] }", false),
    case("{ min_prompt_tokens = 3 }", "{ min_prompt_tokens = 4 }", true),
    case("{ min_prompt_tokens = 4 }", "{ min_prompt_tokens = 3 }", false),
    case("{ max_prompt_tokens = 4 }", "{ max_prompt_tokens = 3 }", true),
    case("{ max_prompt_tokens = 3 }", "{ max_prompt_tokens = 4 }", false),
    case("{ stream = true }", "{ stream = true, methods = [\"POST\"] }", true),
    case("{ stream = true }", "{ stream = false }", false),
    case("{ labels.x = \"1\" }", "{ labels.x = \"1\", labels.y = \"1\" }", true),
    case("{ labels.x = \"1\" }", "{ labels.x = \"2\" }", false),
    case("{ availability_zones = [\"a\"] }", "{ availability_zones = [\"b\"] }", false),
];

#[test]
fn a_rule_covered_by_an_earlier_one_is_reported_as_unreachable() {
    for Case {
        earlier,
        later,
        is_covered,
    } in CASES
    {
        let rules = format!(
            "[[rules]]\nname = \"r0\"\nwhen = {earlier}\nthen.refuse.reason = \"no\"\n\
             [[rules]]\nname = \"r1\"\nwhen = {later}\nthen.refuse.reason = \"no\"\n"
        );
        let text = text(&[]).replacen("[[rules]]", &format!("{rules}[[rules]]"), 1);
        let codes: Vec<_> = match Configuration::check(&text) {
            Ok(_) => Vec::new(),
            Err(report) => report
                .problems()
                .iter()
                .map(|p| (p.code, p.path.clone()))
                .collect(),
        };
        let found = codes.contains(&(Code::ConfigUnreachableRule, "rules[1]".to_owned()));
        assert_eq!(found, *is_covered, "{earlier} before {later}: {codes:?}");
    }
}
