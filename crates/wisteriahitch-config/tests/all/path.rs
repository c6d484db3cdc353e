//! Which paths match which prefixes.

use wisteriahitch_config::{CallPattern, is_plain_path};

/// Symptom: a stock pull runs twice. Events: `GET /stock` is declared repeatable, a caller posts
/// to a path that only looks as if it were below it, and the call is retried. Cause: a prefix
/// matched within a segment, or a path that the service folds into another one.
#[test]
fn repeatable_calls_end_at_a_segment_and_are_plain() {
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

#[test]
fn a_path_that_services_may_fold_is_not_plain() {
    for path in [
        "", "stock", "/a b", "/a\n", "/é", "/a?b=%41", "/..", "/a/..",
    ] {
        assert!(!is_plain_path(path), "{path:?}");
    }
    for path in ["/", "/a", "/a/", "/a/b.c", "/a/...", "/v1/completions"] {
        assert!(is_plain_path(path), "{path:?}");
    }
}
