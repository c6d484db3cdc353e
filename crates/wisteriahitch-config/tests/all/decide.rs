//! Compares the indexed decision with a linear scan of the rules.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use wisteriahitch_config::{
    Action, Condition, ConditionPart, Configuration, Refusal, RequestFacts, Rule,
};
use wisteriahitch_types::{DurationUs, TokenCount};

use crate::support::property_test_config;

const WORKSPACES: [&str; 4] = ["w1", "w2", "w3", "w4"];
const MODELS: [&str; 2] = ["m1", "m2"];
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];
const PATHS: [&str; 5] = ["/", "/stock", "/stock/pulls", "/stockx", "/bookings"];
const ZONES: [&str; 2] = ["a", "b"];
const LABELS: [&str; 2] = ["urgent", "late"];
const MAX_TOKENS: u64 = 5;

pub(crate) fn names<T>(names: &'static [&'static str]) -> impl Strategy<Value = Vec<T>>
where
    T: std::str::FromStr + std::fmt::Debug,
    T::Err: std::fmt::Debug,
{
    // Half of the conditions leave this part unset, so that some rules match.
    let chosen = subsequence(names, 0..=names.len());
    let parse = |names: Vec<&str>| names.iter().map(|name| name.parse().unwrap()).collect();
    option::of(chosen).prop_map(move |names| names.map(parse).unwrap_or_default())
}

fn labels() -> impl Strategy<Value = BTreeMap<String, String>> {
    let label = (select(&LABELS[..]), select(&["yes", "no"][..]));
    vec(label, 0..2).prop_map(|labels| {
        let owned = |(name, value): (&str, &str)| (name.to_owned(), value.to_owned());
        labels.into_iter().map(owned).collect()
    })
}

fn tokens() -> impl Strategy<Value = Option<TokenCount>> {
    option::weighted(0.3, (0..MAX_TOKENS).prop_map(TokenCount::new))
}

pub(crate) fn condition() -> impl Strategy<Value = Condition> {
    let lists = (
        names(&WORKSPACES),
        names(&METHODS),
        names(&PATHS),
        names(&MODELS),
        names(&ZONES),
    );
    let rest = (
        tokens(),
        tokens(),
        option::weighted(0.2, any::<bool>()),
        labels(),
    );
    (lists, rest).prop_map(|(lists, rest)| {
        let (workspaces, methods, path_prefixes, models, availability_zones) = lists;
        let (min_prompt_tokens, max_prompt_tokens, stream, labels) = rest;
        Condition {
            workspaces,
            methods,
            path_prefixes,
            models,
            adapters: Vec::new(),
            min_prompt_tokens,
            max_prompt_tokens,
            stream,
            labels,
            availability_zones,
        }
    })
}

pub(crate) fn facts() -> impl Strategy<Value = RequestFacts> {
    let name = |names: &'static [&'static str]| option::weighted(0.8, select(names));
    (
        name(&WORKSPACES),
        select(&METHODS[..]),
        select(&PATHS[..]),
        name(&MODELS),
        tokens(),
        any::<bool>(),
        labels(),
        name(&ZONES),
    )
        .prop_map(
            |(workspace, method, path, model, prompt_tokens, stream, labels, zone)| RequestFacts {
                workspace: workspace.map(|name| name.parse().unwrap()),
                method: method.to_owned(),
                path: path.to_owned(),
                model: model.map(|name| name.parse().unwrap()),
                adapter: None,
                prompt_tokens,
                stream,
                labels,
                availability_zone: zone.map(|name| name.parse().unwrap()),
            },
        )
}

fn rule(position: usize, when: Condition) -> Rule {
    Rule {
        name: format!("rule-{position}").parse().unwrap(),
        when,
        then: Action::Refuse(Refusal {
            reason: "no".to_owned(),
            retry_after_us: DurationUs::ZERO,
        }),
    }
}

fn configuration(conditions: Vec<Condition>) -> Configuration {
    let conditions = conditions.into_iter().chain([Condition::default()]);
    let rules = conditions.enumerate().map(|(i, when)| rule(i, when));
    Configuration {
        rules: rules.collect(),
        ..Configuration::default()
    }
}

proptest! {
    #![proptest_config(property_test_config(400))]

    #[test]
    fn indexed_decision_equals_a_linear_scan(
        conditions in vec(condition(), 0..12),
        requests in vec(facts(), 1..20),
    ) {
        let configuration = configuration(conditions);
        for facts in &requests {
            let scan = configuration.rules.iter().find(|rule| rule.when.is_match(facts));
            prop_assert_eq!(Some(configuration.decide(facts)), scan);
        }
    }

    #[test]
    fn only_the_last_trace_of_an_explanation_decides(
        conditions in vec(condition(), 0..12),
        facts in facts(),
    ) {
        let configuration = configuration(conditions);
        let decided = configuration.decide(&facts);
        let traces = configuration.explain(&facts);
        let (last, earlier) = traces.split_last().unwrap();
        prop_assert_eq!(&last.rule, &decided.name);
        prop_assert!(last.is_decisive());
        prop_assert!(earlier.iter().all(|trace| !trace.is_decisive()));
    }
}

#[test]
fn an_explanation_lists_the_mismatched_parts() {
    let condition = Condition {
        workspaces: vec!["w1".parse().unwrap()],
        methods: vec!["GET".to_owned()],
        min_prompt_tokens: Some(TokenCount::new(3)),
        labels: [("urgent".to_owned(), "yes".to_owned())].into(),
        ..Condition::default()
    };
    let configuration = configuration(vec![condition]);
    let facts = RequestFacts {
        workspace: Some("w2".parse().unwrap()),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        ..RequestFacts::default()
    };
    let traces = configuration.explain(&facts);
    let label = ConditionPart::Label("urgent".to_owned());
    let failed = [
        ConditionPart::Workspaces,
        ConditionPart::MinPromptTokens,
        label,
    ];
    assert_eq!(traces[0].failed, failed);
    expect_test::expect![[r#"
        1 rule-0: fails on workspaces, min_prompt_tokens, labels.urgent
        2 rule-1: decides"#]]
    .assert_eq(&format!("{}\n{}", traces[0], traces[1]));
}

/// A rule added to a clone has no effect if the clone keeps the indexes of the original, which were
/// built by the original's first decision.
#[test]
fn a_modified_clone_does_not_use_the_indexes_of_the_original() {
    let original = configuration(vec![]);
    let facts = RequestFacts::default();
    assert_eq!(original.decide(&facts).name.as_str(), "rule-0");
    let mut changed = original.clone();
    let put_only = Condition {
        methods: vec!["PUT".to_owned()],
        ..Condition::default()
    };
    changed.rules.insert(0, rule(7, put_only));
    assert_eq!(changed.decide(&facts).name.as_str(), "rule-0");
}

#[test]
fn a_configuration_without_rules_refuses() {
    let rule = Configuration::default()
        .decide(&RequestFacts::default())
        .clone();
    assert!(matches!(rule.then, Action::Refuse(_)));
}
