//! Tests of token streams: passed tokens, dropped tokens, and the decision after a break.

use proptest::prelude::*;
use wisteriahitch_core::stream::{
    BreakDecision, DropReason, HeadVerdict, StreamBreak, StreamCheck, StreamHead, StreamToken,
    TokenVerdict,
};
use wisteriahitch_types::{AttemptNumber, Code, EndpointId, WeightVersion};

use crate::generated::seeded_config;

fn version(name: &str) -> WeightVersion {
    name.parse().unwrap()
}

fn endpoint() -> EndpointId {
    "runner-1".parse().unwrap()
}

fn check() -> StreamCheck {
    StreamCheck::new("r-1".parse().unwrap(), endpoint(), version("v1"))
}

fn head(request: &str, attempt: u64, weight_version: &str) -> StreamHead {
    StreamHead {
        request: request.parse().unwrap(),
        attempt: AttemptNumber::new(attempt),
        weight_version: version(weight_version),
    }
}

fn token(request: &str, attempt: u64, position: u64) -> StreamToken {
    StreamToken {
        request: request.parse().unwrap(),
        attempt: AttemptNumber::new(attempt),
        position,
        is_last: position == 3,
    }
}

fn broken(endpoint_version: Option<&str>) -> StreamBreak {
    StreamBreak {
        code: Code::EndpointLost,
        endpoint_version: endpoint_version.map(version),
        may_restart: true,
        may_retry: true,
    }
}

/// Returns a check whose first attempt has passed on `passed` tokens.
fn streaming(passed: u64) -> StreamCheck {
    let mut check = check();
    assert_eq!(check.on_head(&head("r-1", 1, "v1")), HeadVerdict::Pass);
    for position in 0..passed {
        assert_eq!(
            check.on_token(&token("r-1", 1, position)),
            TokenVerdict::Pass
        );
    }
    check
}

#[test]
fn each_token_passes_once_and_in_order() {
    struct Case {
        name: &'static str,
        token: StreamToken,
        expected: TokenVerdict,
    }
    let cases = [
        Case {
            name: "next",
            token: token("r-1", 1, 2),
            expected: TokenVerdict::Pass,
        },
        Case {
            name: "of another request",
            token: token("r-2", 1, 2),
            expected: TokenVerdict::Drop(DropReason::OtherRequest),
        },
        Case {
            name: "of another attempt",
            token: token("r-1", 2, 2),
            expected: TokenVerdict::Drop(DropReason::OtherAttempt),
        },
        Case {
            name: "duplicate",
            token: token("r-1", 1, 1),
            expected: TokenVerdict::Drop(DropReason::Duplicate),
        },
        Case {
            name: "with a gap",
            token: token("r-1", 1, 3),
            expected: TokenVerdict::Missing,
        },
    ];
    for case in cases {
        let mut check = streaming(2);
        assert_eq!(check.on_token(&case.token), case.expected, "{}", case.name);
        if let TokenVerdict::Drop(reason) = case.expected {
            assert_eq!(check.drop_counts().get(reason), 1, "{}", case.name);
            assert_eq!(
                check.on_token(&token("r-1", 1, 2)),
                TokenVerdict::Pass,
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn a_gap_is_requested_again() {
    // Guards against a caller being told that its answer is incomplete although the engine has all
    // of it. A token of another request arrives in place of the next one and is dropped, so the
    // following token leaves a gap. A gap must end only the attempt, not the answer.
    let mut check = streaming(2);
    assert_eq!(check.on_token(&token("r-1", 1, 3)), TokenVerdict::Missing);
    let after = TokenVerdict::Drop(DropReason::AfterEnd);
    assert_eq!(check.on_token(&token("r-1", 1, 2)), after);
    let decision = check.on_break(&broken(Some("v1")));
    assert!(
        matches!(decision, Some(BreakDecision::Resume { position: 2, .. })),
        "{decision:?}"
    );
    assert_eq!(check.on_head(&head("r-1", 2, "v1")), HeadVerdict::Pass);
    assert_eq!(check.on_token(&token("r-1", 2, 2)), TokenVerdict::Pass);
}

#[test]
fn the_head_is_checked_before_any_token() {
    struct Case {
        name: &'static str,
        head: StreamHead,
        expected: HeadVerdict,
    }
    let cases = [
        Case {
            name: "expected",
            head: head("r-1", 1, "v1"),
            expected: HeadVerdict::Pass,
        },
        Case {
            name: "of another request",
            head: head("r-2", 1, "v1"),
            expected: HeadVerdict::Drop(DropReason::OtherRequest),
        },
        Case {
            name: "of another attempt",
            head: head("r-1", 2, "v1"),
            expected: HeadVerdict::Drop(DropReason::OtherAttempt),
        },
        Case {
            name: "other weight version",
            head: head("r-1", 1, "v2"),
            expected: HeadVerdict::WrongVersion,
        },
    ];
    for case in cases {
        let mut check = check();
        assert_eq!(check.on_head(&case.head), case.expected, "{}", case.name);
        let passes = check.on_token(&token("r-1", 1, 0)) == TokenVerdict::Pass;
        assert_eq!(passes, case.expected == HeadVerdict::Pass, "{}", case.name);
    }
}

#[test]
fn a_break_resumes_restarts_or_ends_the_answer() {
    struct Case {
        name: &'static str,
        passed: u64,
        broken: StreamBreak,
        expected: BreakDecision,
    }
    let attempt = AttemptNumber::new(2);
    let resume = |position| BreakDecision::Resume {
        attempt,
        endpoint: endpoint(),
        position,
        weight_version: version("v1"),
    };
    let restart = BreakDecision::RestartInvisible { attempt };
    let no_restart = StreamBreak {
        may_restart: false,
        ..broken(None)
    };
    let no_budget = StreamBreak {
        may_retry: false,
        ..broken(Some("v1"))
    };
    let incomplete = BreakDecision::Incomplete;
    let cases = [
        Case {
            name: "same endpoint and weights",
            passed: 2,
            broken: broken(Some("v1")),
            expected: resume(2),
        },
        Case {
            name: "no token passed on",
            passed: 0,
            broken: broken(Some("v1")),
            expected: resume(0),
        },
        Case {
            name: "endpoint unavailable",
            passed: 0,
            broken: broken(None),
            expected: restart.clone(),
        },
        Case {
            name: "new weights",
            passed: 0,
            broken: broken(Some("v2")),
            expected: restart,
        },
        Case {
            name: "endpoint unavailable after a token",
            passed: 1,
            broken: broken(None),
            expected: incomplete(Code::StreamIncomplete),
        },
        Case {
            name: "new weights after a token",
            passed: 1,
            broken: broken(Some("v2")),
            expected: incomplete(Code::StreamIncomplete),
        },
        Case {
            name: "may not be repeated",
            passed: 0,
            broken: no_restart,
            expected: incomplete(Code::EndpointLost),
        },
        Case {
            name: "no retry budget",
            passed: 1,
            broken: no_budget,
            expected: incomplete(Code::StreamIncomplete),
        },
    ];
    for case in cases {
        let mut check = streaming(case.passed);
        let decision = check.on_break(&case.broken);
        assert_eq!(decision, Some(case.expected), "{}", case.name);
    }
}

/// Guards against a caller receiving a token twice. The first attempt breaks after token 1, the
/// second begins, and then the connection of the first delivers buffered tokens. Both attempts
/// carry the same request id; only the attempt number distinguishes them.
#[test]
fn late_tokens_of_an_earlier_attempt_are_dropped() {
    let mut check = streaming(2);
    assert!(check.on_break(&broken(Some("v1"))).is_some());
    let late = TokenVerdict::Drop(DropReason::OtherAttempt);
    assert_eq!(check.on_token(&token("r-1", 1, 2)), late);
    let early = TokenVerdict::Drop(DropReason::BeforeHead);
    assert_eq!(check.on_token(&token("r-1", 2, 2)), early);
    assert_eq!(check.on_head(&head("r-1", 2, "v1")), HeadVerdict::Pass);
    assert_eq!(check.on_token(&token("r-1", 1, 2)), late);
    assert_eq!(check.on_token(&token("r-1", 2, 2)), TokenVerdict::Pass);
    assert_eq!(check.on_token(&token("r-1", 2, 3)), TokenVerdict::PassLast);
    assert!(check.is_complete());
    assert_eq!(check.on_break(&broken(None)), None);
    assert_eq!(check.drop_counts().get(DropReason::OtherAttempt), 2);
}

#[test]
fn a_restart_is_checked_against_its_own_endpoint_and_weights() {
    let mut check = check();
    assert_eq!(
        check.on_head(&head("r-1", 1, "v2")),
        HeadVerdict::WrongVersion
    );
    let decision = check.on_break(&broken(Some("v2")));
    assert!(matches!(
        decision,
        Some(BreakDecision::RestartInvisible { .. })
    ));
    check.set_target("runner-2".parse().unwrap(), version("v2"));
    assert_eq!(check.on_head(&head("r-1", 2, "v2")), HeadVerdict::Pass);
    assert_eq!(check.on_token(&token("r-1", 2, 0)), TokenVerdict::Pass);
    check.set_target("runner-3".parse().unwrap(), version("v3"));
    assert!(
        check.on_break(&broken(Some("v3")))
            == Some(BreakDecision::Incomplete(Code::StreamIncomplete))
    );
}

#[test]
fn a_resuming_caller_gets_only_the_remaining_tokens() {
    let mut check = check().with_start_position(2);
    assert_eq!(check.on_head(&head("r-1", 1, "v1")), HeadVerdict::Pass);
    let duplicate = TokenVerdict::Drop(DropReason::Duplicate);
    assert_eq!(check.on_token(&token("r-1", 1, 1)), duplicate);
    let decision = check.on_break(&broken(None));
    assert_eq!(
        decision,
        Some(BreakDecision::Incomplete(Code::StreamIncomplete))
    );
}

proptest! {
    #![proptest_config(seeded_config(ProptestConfig::default().cases, 4_711))]

    /// Whatever arrives in whatever order, the caller receives a prefix of the answer, each token
    /// once.
    #[test]
    fn passed_tokens_are_a_prefix_of_the_answer(
        parts in prop::collection::vec((0..4_u8, 1..4_u64, 0..5_u64, 0..8_u8), 0..60),
    ) {
        let mut check = streaming(0);
        let mut passed = Vec::new();
        for (request, attempt, position, kind) in parts {
            let request = if request == 0 { "r-2" } else { "r-1" };
            match kind {
                0 => drop(check.on_break(&broken(Some("v1")))),
                1 => drop(check.on_head(&head(request, attempt, "v1"))),
                _ => {
                    let current = check.attempt().get();
                    let verdict = check.on_token(&token(request, attempt, position));
                    if matches!(verdict, TokenVerdict::Pass | TokenVerdict::PassLast) {
                        prop_assert_eq!((request, attempt), ("r-1", current));
                        passed.push(position);
                    }
                }
            }
        }
        let expected: Vec<u64> = (0..passed.len() as u64).collect();
        prop_assert_eq!(&passed, &expected);
        prop_assert_eq!(check.is_complete(), passed.len() == 4);
    }
}
