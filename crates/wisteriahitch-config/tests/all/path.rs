//! Matching of paths against prefixes, and refusal of ambiguous paths.

use wisteriahitch_config::{CallPattern, Configuration, RequestFacts, is_plain_path};

/// A stock pull runs twice if a call that must not be repeated matches the repeatable prefix
/// `/stock` and is retried: because the prefix ends inside a segment, or because the service
/// normalizes the path to another one.
#[test]
fn repeatable_calls_match_whole_segments_of_plain_paths() {
    struct Case {
        prefix: &'static str,
        path: &'static str,
        is_match: bool,
    }
    let case = |prefix, path, is_match| Case {
        prefix,
        path,
        is_match,
    };
    let cases = [
        case("/stock", "/stock", true),
        case("/stock", "/stock/", true),
        case("/stock", "/stock/7", true),
        case("/stock", "/stockpull", false),
        case("/stock", "/Stock", false),
        case("/stock", "/stock/../pulls", false),
        case("/stock", "/stock/./7", false),
        case("/stock", "/stock//7", false),
        case("/stock", "/stock/%2e%2e/pulls", false),
        case("/stock", "/stock/..%2fpulls", false),
        case("/stock", "/stock\\..\\pulls", false),
        case("/stock", "/stock/..;/pulls", false),
        case("/stock/", "/stock", false),
        case("/stock/", "/stock/7", true),
        case("/", "/anything", true),
        case("/", "/", true),
        case("/", "//", false),
    ];
    for Case {
        prefix,
        path,
        is_match,
    } in cases
    {
        let pattern = CallPattern {
            method: "GET".to_owned(),
            path_prefix: prefix.to_owned(),
        };
        assert_eq!(pattern.is_match("GET", path), is_match, "{prefix} {path}");
        assert!(!pattern.is_match("POST", path), "{prefix} {path}");
    }
}

const REPEATED_LOOKUPS: &str = r#"
[[services]]
name = "till"
kind = "plain"
endpoints = [{ id = "till-1", address = "127.0.0.1:9000", availability_zone = "a", checks_fence = false }]

[[rules]]
name = "no-admin"
when.path_prefixes = ["/admin"]
then.refuse.reason = "Not for callers."

[[rules]]
name = "lookups"
when.path_prefixes = ["/stock"]
then.route = { service = "till", may_repeat = true }

[[rules]]
name = "default"
then.route.service = "till"
"#;

/// A stock pull runs twice, or a call that a rule refuses is served, if rules and service see
/// different paths: the service normalizes the path to another one, while the rule for the path as
/// sent allows repeating it, or the refusal doesn't match it.
#[test]
fn a_path_that_services_may_normalize_is_refused_before_any_rule() {
    struct Case {
        path: &'static str,
        rule: &'static str,
    }
    let case = |path, rule| Case { path, rule };
    let cases = [
        case("/stock/7", "lookups"),
        case("/stock/%E5%86%B0", "lookups"),
        case("/stock/dry%20ice", "lookups"),
        case("/stock/../pulls", "path-not-plain"),
        case("/stock/%2e%2E/pulls", "path-not-plain"),
        case("/stock/%2Fpulls", "path-not-plain"),
        case("/stock//pulls", "path-not-plain"),
        case("/admin", "no-admin"),
        case("//admin", "path-not-plain"),
        case("/./admin", "path-not-plain"),
        case("/%61dmin", "path-not-plain"),
        case("/x/..;/admin", "path-not-plain"),
        case("/x\\..\\admin", "path-not-plain"),
        case("/%c0%ae%c0%ae/admin", "path-not-plain"),
        case("/%", "path-not-plain"),
        case("/%4", "path-not-plain"),
        case("/%+1", "path-not-plain"),
        case("/orders", "default"),
    ];
    let configuration = Configuration::check(REPEATED_LOOKUPS).unwrap();
    for Case { path, rule } in cases {
        let facts = RequestFacts {
            method: "POST".to_owned(),
            path: path.to_owned(),
            ..RequestFacts::default()
        };
        assert_eq!(configuration.decide(&facts).name.as_str(), rule, "{path}");
        let last = configuration.explain(&facts).pop().unwrap();
        assert_eq!(last.rule.as_str(), rule, "{path}");
        assert!(last.is_decisive(), "{path}");
    }
}

#[test]
fn a_path_that_services_may_normalize_is_not_plain() {
    for path in [
        "", "stock", "/a b", "/a\n", "/é", "/a?b=%41", "/..", "/a/..",
    ] {
        assert!(!is_plain_path(path), "{path:?}");
    }
    for path in [
        "/",
        "/a",
        "/a/",
        "/a/%e5%86%b0",
        "/a/b.c",
        "/a/...",
        "/v1/completions",
    ] {
        assert!(is_plain_path(path), "{path:?}");
    }
}
