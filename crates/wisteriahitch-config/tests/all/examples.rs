//! The example configurations of both sites, the example settings and their documentation.

use wisteriahitch_config::{
    Action, Configuration, RequestFacts, Route, SavePolicy, Sections, Settings, key_hash,
};
use wisteriahitch_types::TokenCount;

use crate::support::example;

const RULES_PAGE: &str = include_str!("../../../../docs/RULES.md");
const SETTINGS_PAGE: &str = include_str!("../../../../docs/SETTINGS.md");

struct Site {
    file: &'static str,
    zones: usize,
    /// Name, number of endpoints, and store of each service.
    services: [(&'static str, usize, &'static str); 2],
}

const SITES: [Site; 2] = [
    Site {
        file: "chainline.toml",
        zones: 3,
        services: [("assistant", 9, "hub-cache"), ("till", 3, "rim-cache")],
    },
    Site {
        file: "lanyu.toml",
        zones: 4,
        services: [
            ("assistant", 9, "prompt-cache-a"),
            ("ordering", 4, "prompt-cache-b"),
        ],
    },
];

#[test]
fn example_sites_have_their_current_sizes() {
    for site in SITES {
        let configuration = Configuration::check(&example(site.file)).unwrap();
        assert_eq!(configuration.availability_zones.len(), site.zones);
        assert_eq!(configuration.workspaces.len(), 10);
        assert_eq!(configuration.services.len(), site.services.len());
        for (name, endpoints, store) in site.services {
            let service = &configuration.services[&name.parse().unwrap()];
            assert_eq!(service.endpoints.len(), endpoints, "{name}");
            assert_eq!(service.stores, [store.parse().unwrap()], "{name}");
        }
        let stores = configuration.stores.values().map(|store| store.address);
        let endpoints = configuration.endpoints().map(|(_, e)| e.address);
        for address in endpoints.chain(stores) {
            assert!(address.ip().is_loopback(), "{address}");
        }
    }
}

#[test]
fn the_demo_configuration_is_valid() {
    let configuration = Configuration::check(&example("demo.toml")).unwrap();
    let kandy = key_hash("demo-key-kandy-central");
    assert!(configuration.workspace_by_key(&kandy).is_some());
}

#[test]
fn each_workspace_of_the_sites_is_found_by_its_key() {
    for site in SITES {
        let configuration = Configuration::check(&example(site.file)).unwrap();
        for id in configuration.workspaces.keys() {
            let hash = key_hash(&format!("demo-key-{id}"));
            let found = configuration.workspace_by_key(&hash).unwrap();
            assert_eq!(found.id, *id);
        }
        let unknown_key = key_hash("demo-key-nobody");
        assert!(configuration.workspace_by_key(&unknown_key).is_none());
    }
}

#[test]
fn each_endpoint_of_the_sites_is_found_by_its_name() {
    for site in SITES {
        let configuration = Configuration::check(&example(site.file)).unwrap();
        for (service, endpoint) in configuration.endpoints() {
            assert_eq!(configuration.endpoint(&endpoint.id), Some(endpoint));
            let found = configuration.service_by_endpoint(&endpoint.id);
            assert_eq!(found, Some(service));
        }
        let model = configuration.models.keys().next().unwrap();
        assert_eq!(configuration.services_with_model(model).count(), 1);
    }
}

#[test]
fn sections_of_the_sites_assemble_to_the_whole_configuration() {
    for site in SITES {
        let text = example(site.file);
        let sections = Sections::split(&text).unwrap();
        assert_eq!(sections.len(), 11);
        let whole = Configuration::check(&text).unwrap();
        assert_eq!(sections.assemble().unwrap(), whole);
    }
}

fn call(method: &str, path: &str) -> RequestFacts {
    RequestFacts {
        method: method.to_owned(),
        path: path.to_owned(),
        ..RequestFacts::default()
    }
}

fn prompt(adapter: Option<&str>, tokens: u64) -> RequestFacts {
    RequestFacts {
        adapter: adapter.map(|adapter| adapter.parse().unwrap()),
        prompt_tokens: Some(TokenCount::new(tokens)),
        ..call("POST", "/v1/completions")
    }
}

#[test]
fn rules_of_the_sites_select_the_expected_rule_for_each_workload() {
    struct Case {
        file: &'static str,
        facts: RequestFacts,
        rule: &'static str,
    }
    let case = |file, facts, rule| Case { file, facts, rule };
    let chainline = |facts, rule| case("chainline.toml", facts, rule);
    let lanyu = |facts, rule| case("lanyu.toml", facts, rule);
    let cases = [
        chainline(prompt(Some("history"), 30_000), "mechanic-history"),
        chainline(prompt(Some("parts"), 500), "counter-parts"),
        chainline(prompt(Some("jobcard"), 200), "job-card-sorter"),
        chainline(prompt(None, 200), "other-prompts"),
        chainline(call("GET", "/stock/tyre-29"), "till-lookups"),
        chainline(call("POST", "/bookings"), "till-orders"),
        chainline(call("POST", "/stock/pulls"), "till-orders"),
        chainline(call("POST", "/stock"), "default"),
        chainline(call("DELETE", "/bookings/7"), "default"),
        lanyu(prompt(Some("contract"), 40_000), "long-contracts"),
        lanyu(prompt(Some("contract"), 7_999), "short-contracts"),
        lanyu(prompt(Some("quote"), 900), "quotes"),
        lanyu(prompt(Some("order-tag"), 90), "order-tags"),
        lanyu(prompt(None, 90), "other-prompts"),
        lanyu(call("GET", "/orders/7"), "order-lookups"),
        lanyu(call("POST", "/orders"), "orders-and-dispatches"),
        lanyu(call("POST", "/dispatches"), "orders-and-dispatches"),
        lanyu(call("GET", "/dispatchesx"), "default"),
    ];
    for Case { file, facts, rule } in cases {
        let configuration = Configuration::check(&example(file)).unwrap();
        let decided = configuration.decide(&facts);
        assert_eq!(decided.name.as_str(), rule, "{file} {facts:?}");
    }
}

/// A booking, stock pull or dispatch is executed twice if the configuration declares it repeatable
/// and an entry VM retries it.
#[test]
fn orders_of_the_sites_may_not_be_repeated() {
    let orders = [
        ("chainline.toml", "/bookings"),
        ("chainline.toml", "/stock/pulls"),
        ("lanyu.toml", "/orders"),
        ("lanyu.toml", "/dispatches"),
    ];
    for (file, path) in orders {
        let configuration = Configuration::check(&example(file)).unwrap();
        let route = route(&configuration, &call("POST", path));
        assert_eq!(route.may_repeat, Some(false), "{path}");
        let service = &configuration.services[&route.service];
        let mut repeatable = service.repeatable.iter();
        assert!(!repeatable.any(|pattern| pattern.is_match("POST", path)));
    }
}

#[test]
fn chainline_favors_the_first_token_and_lanyu_less_recomputed_work() {
    let chainline = Configuration::check(&example("chainline.toml")).unwrap();
    let lanyu = Configuration::check(&example("lanyu.toml")).unwrap();
    let history = route(&chainline, &prompt(Some("history"), 30_000));
    let contract = route(&lanyu, &prompt(Some("contract"), 30_000));
    assert!(history.first_token_weight.get() > 0.5);
    assert!(contract.first_token_weight.get() < 0.5);
    assert_eq!(contract.save, SavePolicy::Always);
}

#[test]
fn the_configuration_in_the_rules_page_is_valid() {
    let (_, rest) = RULES_PAGE.split_once("```toml\n").unwrap();
    let (text, _) = rest.split_once("```").unwrap();
    let configuration = Configuration::check(text).unwrap();
    assert_eq!(configuration.rules.len(), 2);
}

#[test]
fn the_explanation_in_the_rules_page_matches_the_output() {
    let configuration = Configuration::check(&example("chainline.toml")).unwrap();
    let traces = configuration.explain(&call("GET", "/stock/tyre-29"));
    let lines: Vec<String> = traces.iter().map(ToString::to_string).collect();
    assert!(RULES_PAGE.contains(&lines.join("\n")), "{lines:#?}");
}

/// An operator doesn't find a key in the pages, or finds a removed one, if the pages and the parser
/// differ.
#[test]
fn the_pages_document_every_key_of_the_examples() {
    let sites = example("chainline.toml") + &example("lanyu.toml");
    let pages = [
        (sites, RULES_PAGE),
        (example("settings.toml"), SETTINGS_PAGE),
    ];
    for (text, page) in pages {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let keys = lines.filter_map(|line| Some(line.split_once(" = ")?.0.trim()));
        for key in keys {
            // The pages list a duration only once, under the first of its two keys.
            let name = key.trim_end_matches("_s").trim_end_matches("_ms");
            let name = name.split('.').next_back().unwrap();
            assert!(page.contains(&format!("`{name}")), "{key}");
        }
    }
}

fn route(configuration: &Configuration, facts: &RequestFacts) -> Route {
    match &configuration.decide(facts).then {
        Action::Route(route) => route.clone(),
        Action::Refuse(refusal) => panic!("{facts:?} is refused: {refusal:?}"),
    }
}

#[test]
fn the_example_settings_are_valid_and_equal_the_defaults() {
    let settings = Settings::check(&example("settings.toml")).unwrap();
    let minimal = Settings::check(
        r#"
        id = "entry-1"
        availability_zone = "colombo-a"
        listen = { callers = "127.0.0.1:7001", peers = "127.0.0.1:7002", operators = "127.0.0.1:7003" }
        platform.addresses = ["127.0.0.1:7000"]
        operators.key_hashes = ["00000000000000000000000000000001"]
        "#,
    )
    .unwrap();
    assert_eq!(settings.limits, minimal.limits);
    assert_eq!(settings.platform, minimal.platform);
    assert_eq!(settings.log, minimal.log);
    assert_eq!(settings.run, minimal.run);
    let probes = minimal.peers.probe_interval_us;
    assert_eq!(settings.peers.probe_interval_us, probes);
    let operator = key_hash("demo-operator-key");
    assert_eq!(settings.operators.key_hashes, [operator]);
}
