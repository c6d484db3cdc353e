//! Which route serves a path.

use wisteriahitch_relay::{CallKind, Route, RouteTable};

use crate::fixture::route;

#[test]
fn the_longest_prefix_of_the_host_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        expected: Option<&'static str>,
    }
    let named = |name: &str, host: &str, prefix: &str| Route {
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        ..route(name, 0, 100)
    };
    let table = RouteTable::new([
        named("short", "one.example", "/a/"),
        named("long", "one.example", "/a/b/"),
        named("other", "two.example", "/a/b/c/"),
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

#[test]
fn calls_are_divided_by_weight() {
    let divided = Route {
        targets: vec![("old".parse().unwrap(), 90), ("new".parse().unwrap(), 10)],
        ..route("split", 0, 100)
    };
    let new = (0..1_000).filter(|random| divided.pick_service(*random).unwrap().as_str() == "new");
    assert_eq!(new.count(), 100);
}

#[test]
fn the_kind_says_what_may_be_repeated() {
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
