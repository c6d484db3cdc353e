//! Text output for the daemons' answers.

use expect_test::{Expect, expect};
use http::StatusCode;
use serde_json::{Value, json};
use wisteriahitch_cli::render;

struct Case {
    name: &'static str,
    render: fn(&Value) -> String,
    answer: Value,
    lines: Expect,
}

fn check(cases: &[Case]) {
    for case in cases {
        println!("{}", case.name);
        case.lines.assert_eq(&(case.render)(&case.answer));
    }
}

#[test]
fn status_renders_as_lines() {
    let endpoint = |name: &str, versions: Value| json!({"endpoint": name, "service": "assistant", "state": "ready", "running": 3, "versions": versions});
    check(&[
        Case {
            name: "a rollout under way",
            render: render::status,
            answer: json!({
                "daemon": "entry-1", "state": "serving", "config_version": 7,
                "daemons": [
                    {"daemon": "entry-2", "state": "draining", "config_version": 6, "availability_zone": "colombo-b"},
                    {"daemon": "entry-1", "state": "alive", "config_version": 7, "availability_zone": "colombo-a"},
                ],
                "endpoints": [
                    endpoint("assistant-2", json!(["hist-7b@v1", "tags-1b@v4"])),
                    endpoint("assistant-1", json!([])),
                ],
                "stores": [{"store": "hub-cache", "state": "unseen", "incarnation": null}],
                "rollout": {"done": 1, "pending": 2, "progress": [{
                    "model": "hist-7b", "from": "v1", "to": "v2", "phase": "running", "total": 3,
                    "done": 1, "loading": ["assistant-1"], "failures": 0,
                    "blocked": [["assistant-2", "too_many_loading"], ["assistant-3", "another_reason"]],
                }]},
            }),
            lines: expect![[r#"
                daemon entry-1 is serving, configuration 7
                daemons:
                  entry-1: alive, configuration 7, colombo-a
                  entry-2: draining, configuration 6, colombo-b
                endpoints:
                  assistant-1: ready, service assistant, running 3, models -
                  assistant-2: ready, service assistant, running 3, models hist-7b@v1 tags-1b@v4
                stores:
                  hub-cache: unseen, incarnation -
                rollout: 1 of the wanted models ready, 2 not yet
                  hist-7b to v2 from v1: running, 1 of 3 endpoints, 0 failures, loading assistant-1
                    assistant-2 waits: as many load at the site as may
                    assistant-3 waits: another_reason
            "#]],
        },
        Case {
            name: "a daemon without a configuration",
            render: render::status,
            answer: json!({
                "daemon": "entry-1", "state": "serving", "config_version": null, "daemons": [],
                "endpoints": [], "stores": [],
                "rollout": {"done": 0, "pending": 0, "progress": []},
            }),
            lines: expect![[r#"
                daemon entry-1 is serving, configuration -
                daemons:
                endpoints:
                stores:
                rollout: 0 of the wanted models ready, 0 not yet
            "#]],
        },
    ]);
}

#[test]
fn explanation_renders_as_lines() {
    check(&[
        Case {
            name: "a prompt with blocks in a tier",
            render: render::explain,
            answer: json!({
                "rule": "prompts",
                "tried": [
                    {"rule": "tags", "outcome": "1 tags: fails on models"},
                    {"rule": "prompts", "outcome": "2 prompts: decides"},
                ],
                "action": {"route": {
                    "service": "assistant", "adapter": "kandy", "priority": 5,
                    "first_token_weight": 0.9, "deadline_us": 30_000_000, "may_repeat": null,
                    "save": "always",
                }},
                "endpoint": "assistant-1",
                "plan": {"resident_tokens": 2_000, "import": [{"tokens": 2_000}, {"tokens": 2_000}], "recompute_tokens": 500},
                "weighed": [{
                    "endpoint": "assistant-1", "cost": 27_250.5, "first_token_us": 68_100,
                    "queue_us": 0, "transfer_us": 5_600, "prefill_us": 62_500,
                }],
            }),
            lines: expect![[r#"
                rule prompts decides
                  1 tags: fails on models
                  2 prompts: decides
                routes to service assistant, adapter kandy, priority 5, first token weight 0.9, save always, deadline 30.0 s
                endpoint assistant-1: 2000 tokens resident, 4000 imported, 500 computed
                  assistant-1: first token 68.1 ms (queue 0.0 ms, transfer 5.6 ms, prefill 62.5 ms), cost 27.3 ms
            "#]],
        },
        Case {
            name: "no endpoint",
            render: render::explain,
            answer: json!({
                "rule": "till", "tried": [{"rule": "till", "outcome": "1 till: decides"}],
                "action": {"route": {
                    "service": "till", "adapter": null, "priority": 4, "first_token_weight": 1.0,
                    "deadline_us": 5_000_000, "may_repeat": false, "save": "learned",
                }},
                "refusal": "W2005",
            }),
            lines: expect![[r#"
                rule till decides
                  1 till: decides
                routes to service till, priority 4, first token weight 1.0, save learned, may not be repeated, deadline 5.0 s
                no endpoint takes it: W2005
            "#]],
        },
        Case {
            name: "a refusal by rule",
            render: render::explain,
            answer: json!({
                "rule": "default", "tried": [{"rule": "default", "outcome": "1 default: decides"}],
                "action": {"refuse": {"reason": "Not here.", "retry_after_us": 60_000_000}},
            }),
            lines: expect![[r#"
                rule default decides
                  1 default: decides
                refuses: Not here. (come back in 60.0 s)
            "#]],
        },
    ]);
}

#[test]
fn block_locations_render_as_lines() {
    check(&[
        Case {
            name: "blocks in several places",
            render: render::locate,
            answer: json!({"blocks": [
                {"key": "df82", "tokens": 2_000, "endpoints": ["assistant-1", "assistant-2"], "stores": [["hub-cache", "memory"]]},
                {"key": "6476", "tokens": 2_000, "endpoints": [], "stores": []},
            ]}),
            lines: expect![[r#"
                df82 2000 tokens: endpoints assistant-1 assistant-2, stores hub-cache (memory)
                6476 2000 tokens: endpoints -, stores -
            "#]],
        },
        Case {
            name: "a short prompt",
            render: render::locate,
            answer: json!({"blocks": []}),
            lines: expect![[r#"
                the prompt is shorter than one block
            "#]],
        },
    ]);
}

#[test]
fn accepted_versions_render_as_lines() {
    check(&[
        Case {
            name: "an acceptance",
            render: render::accepted,
            answer: json!({"version": 8, "submission": "tuesday", "held_by_peers": 2, "held_in_availability_zones": 2}),
            lines: expect![[r#"
                accepted as version 8 (submission tuesday), held by 2 peers in 2 other availability zones
            "#]],
        },
        Case {
            name: "the history",
            render: |value| render::history(value, 1_000_061_000),
            answer: json!({"in_force": 7, "history": [
                {"version": 8, "submission": "tuesday", "accepted_at_unix_ms": 1_000_060_000},
                {"version": 7, "submission": "monday", "accepted_at_unix_ms": 1_000_000_000},
            ]}),
            lines: expect![[r#"
                version 8: submission tuesday, accepted 1 s ago
                version 7: submission monday, accepted 61 s ago, in force
            "#]],
        },
    ]);
}

/// Guards against problems that are printed without the file, the key path or the section, as
/// `4:13: W4003 a key has …`, when only four of a problem's six fields are rendered. If a submitted
/// section breaks one that is in force, the operator then looks at that line of the submitted file
/// and finds nothing wrong there.
#[test]
fn failures_render_as_lines_with_file_and_path() {
    let fails = |status: u16, answer: Value| {
        render::failure(
            StatusCode::from_u16(status).unwrap(),
            &answer,
            Some("site.toml"),
        )
    };
    let problems = json!({"problems": [
        {"code": "W4003", "line": 4, "column": 13, "path": "workspaces[0].key_hashes[0]", "message": "a key has 32 hexadecimal digits"},
        {"code": "W4004", "section": "site", "line": 9, "column": 1, "path": "", "message": "no workspace is named \"x\""},
    ]});
    expect![[r#"
        site.toml:4:13: W4003 workspaces[0].key_hashes[0]: a key has 32 hexadecimal digits
        site (in force):9:1: W4004: no workspace is named "x"
    "#]]
    .assert_eq(&fails(422, problems));
    let conflict = json!({"error": {"code": "W4009", "message": "Another submission won.", "winning_version": 12}});
    expect![[r#"
        refused with status 409: W4009 Another submission won. Version 12 is in force.
    "#]]
    .assert_eq(&fails(409, conflict));
    let away = json!({"error": {"code": "W5001", "message": "The platform can't be reached.", "winning_version": null, "retry_after_ms": 500}});
    expect![[r#"
        refused with status 503: W5001 The platform can't be reached. Come back in 500 ms.
    "#]]
    .assert_eq(&fails(503, away));
}

/// Guards against a `wisteriahitch config submit --help` that prints 90 lines about every command.
/// xflags has a single help text for all of them.
#[test]
fn help_covers_only_the_requested_command() {
    let whole = "wisteriahitch\n  All.\n\nwisteriahitch config\n  Both.\n\nwisteriahitch config check\n  One.\n\n\nwisteriahitch configure\n  Other.\n";
    let check = "wisteriahitch config check\n  One.\n";
    let cases: [(&[&str], &str); 5] = [
        (&["--help"], whole),
        (&["unknown", "--help"], whole),
        (&["config", "check", "site.toml", "--help"], check),
        (
            &["--daemon", "10.0.0.5:7003", "config", "check", "-h"],
            check,
        ),
        (
            &["config", "--help"],
            "wisteriahitch config\n  Both.\n\nwisteriahitch config check\n  One.\n",
        ),
    ];
    for (words, expected) in cases {
        assert_eq!(
            render::help_for_command(whole, words),
            expected,
            "{words:?}"
        );
    }
}

/// Guards against an instruction to submit again with an id that the operator has never seen. It
/// happened when the daemon generated the id of a submission without `--submission` and its answer
/// was lost or contained only the code.
#[test]
fn the_hint_after_an_unknown_outcome_names_the_submission() {
    let id = "s-1f-2a".parse().unwrap();
    expect!["to settle submission s-1f-2a, submit the same file with --submission s-1f-2a"]
        .assert_eq(&render::resubmit_hint(&id));
}
