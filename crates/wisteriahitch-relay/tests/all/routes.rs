//! Tests of how routes are looked up, how they split calls, and what they allow to be repeated.

use wisteriahitch_relay::{CallKind, Route, RouteTable};

use crate::fixture::route;

/// Guards against calls that are sent to the services of another host or of a shorter prefix.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        expected: Option<&'static str>,
    }
    let with_prefix = |name: &str, host: &str, prefix: &str| Route {
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        ..route(name, 0, 100)
    };
    let table = RouteTable::new([
        with_prefix("short", "one.example", "/a/"),
        with_prefix("long", "one.example", "/a/b/"),
        with_prefix("other", "two.example", "/a/b/c/"),
    ]);
    let cases = [
        Case {
            host: "one.example",
            path: "/a/x",
            expected: Some("short"),
        },
        Case {
            host: "one.example",
            path: "/a/b/x",
            expected: Some("long"),
        },
        Case {
            host: "one.example",
            path: "/a/b/c/d",
            expected: Some("long"),
        },
        Case {
            host: "one.example:8080",
            path: "/a/",
            expected: Some("short"),
        },
        Case {
            host: "one.example",
            path: "/a",
            expected: None,
        },
        Case {
            host: "one.example",
            path: "/ab/",
            expected: None,
        },
        Case {
            host: "two.example",
            path: "/a/b/c/d",
            expected: Some("other"),
        },
        Case {
            host: "three.example",
            path: "/a/",
            expected: None,
        },
    ];
    for case in cases {
        let found = table
            .find(case.host, case.path)
            .map(|route| route.name.to_string());
        assert_eq!(
            found.as_deref(),
            case.expected,
            "{} {}",
            case.host,
            case.path
        );
    }
}

/// Guards against a traffic split that differs from the weights of its targets.
#[test]
fn calls_are_split_by_weight() {
    let split = Route {
        targets: vec![("old".parse().unwrap(), 90), ("new".parse().unwrap(), 10)],
        ..route("split", 0, 100)
    };
    let new_calls =
        (0..1_000).filter(|random| split.pick_service(*random).unwrap().as_str() == "new");
    assert_eq!(new_calls.count(), 100);
}

/// Guards against repeating a call that may run at most once.
#[test]
fn only_idempotent_calls_and_resumable_streams_may_be_repeated() {
    struct Case {
        kind: CallKind,
        is_resumable: bool,
        expected: bool,
    }
    let cases = [
        Case {
            kind: CallKind::Idempotent,
            is_resumable: false,
            expected: true,
        },
        Case {
            kind: CallKind::Once,
            is_resumable: true,
            expected: false,
        },
        Case {
            kind: CallKind::Stream,
            is_resumable: false,
            expected: false,
        },
        Case {
            kind: CallKind::Stream,
            is_resumable: true,
            expected: true,
        },
    ];
    for case in cases {
        let route = Route {
            kind: case.kind,
            is_resumable: case.is_resumable,
            ..route("r", 0, 100)
        };
        assert_eq!(route.may_repeat(), case.expected, "{:?}", case.kind);
    }
}
