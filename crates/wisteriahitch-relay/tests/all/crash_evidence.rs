//! What broken connections say of an endpoint, and what names a request.

use std::io::ErrorKind;

use wisteriahitch_relay::{BreakMeaning, ConnectFailure, CrashEvidence, RequestFingerprint};
use wisteriahitch_types::WorkspaceId;

use crate::fixture::{at_ms, ms};

fn request(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, "/x/", body.as_bytes())
}

/// It is looked at once.
const NOW: BreakMeaning = BreakMeaning::Look(ms(0));

/// It is looked at when that may be again, one millisecond after the last time.
const LATER: BreakMeaning = BreakMeaning::Look(ms(499));

/// What happens at one life of an endpoint, and what follows.
enum Step {
    Broke(&'static str, BreakMeaning),
    /// Proof of its end, and the calls that were on board if it is new.
    Proven(Option<&'static [&'static str]>),
}

/// Symptom: a request is blamed for a reset, or a crash is counted twice. Cause: a break alone is no crash, and each
/// daemon learns of one crash in several ways.
#[test]
fn only_calls_that_broke_right_before_the_proof_were_on_board() {
    use BreakMeaning::{Crashed, Unknown};
    struct Case {
        what: &'static str,
        steps: Vec<(u64, Step)>,
    }
    let cases = [
        Case {
            what: "two calls break, one look proves the crash",
            steps: vec![
                (0, Step::Broke("a", NOW)),
                (1, Step::Broke("b", LATER)),
                (2, Step::Proven(Some(&["a", "b"]))),
            ],
        },
        Case {
            what: "a call whose break is noticed after the proof",
            steps: vec![
                (0, Step::Broke("a", NOW)),
                (2, Step::Proven(Some(&["a"]))),
                (3, Step::Broke("b", Crashed)),
            ],
        },
        Case {
            what: "the same crash is proven again",
            steps: vec![
                (0, Step::Broke("a", NOW)),
                (2, Step::Proven(Some(&["a"]))),
                (1_500, Step::Proven(None)),
            ],
        },
        Case {
            what: "resets that nothing proves to be a crash, looked at twice a second at most",
            steps: vec![
                (0, Step::Broke("a", NOW)),
                (400, Step::Broke("b", BreakMeaning::Look(ms(100)))),
                (450, Step::Broke("c", Unknown)),
                (600, Step::Broke("d", BreakMeaning::Look(ms(400)))),
                (2_000, Step::Broke("e", NOW)),
            ],
        },
        Case {
            what: "a reset long before the crash",
            steps: vec![
                (0, Step::Broke("a", NOW)),
                (6_000, Step::Broke("b", NOW)),
                (6_001, Step::Proven(Some(&["b"]))),
            ],
        },
        Case {
            what: "a crash long after the only break",
            steps: vec![(0, Step::Broke("a", NOW)), (6_000, Step::Proven(Some(&[])))],
        },
    ];
    for case in cases {
        let mut evidence = CrashEvidence::default();
        for (at, step) in case.steps {
            let now = at_ms(at);
            match step {
                Step::Broke(body, meaning) => {
                    let is = evidence.broke(1, request(body), now);
                    assert_eq!(is, meaning, "{} at {at}", case.what);
                }
                Step::Proven(on_board) => {
                    let on_board = on_board.map(|bodies| bodies.iter().map(|b| request(b)));
                    let on_board = on_board.map(Iterator::collect::<Vec<_>>);
                    assert_eq!(evidence.crashed(1, now), on_board, "{} at {at}", case.what);
                }
            }
        }
    }
}

/// Symptom: calls are held to be on board of a planned end. Sequence: they break at a process that lives; it says that it
/// leaves, ends and starts again, which proves the end. Cause: what a look had cleared up was kept until then.
#[test]
fn what_broke_before_a_process_was_seen_alive_was_not_on_board() {
    let mut evidence = CrashEvidence::default();
    evidence.broke(1, request("a"), at_ms(0));
    evidence.found_alive(1, at_ms(1));
    let later = evidence.broke(1, request("b"), at_ms(2));
    assert_eq!(later, BreakMeaning::Look(ms(498)));
    let on_board = evidence.crashed(1, at_ms(500));
    assert_eq!(on_board, Some(vec![request("b")]));
}

#[test]
fn lives_are_told_apart_and_bounded() {
    let mut evidence = CrashEvidence::default();
    for life in 0..2_000 {
        evidence.broke(life, request("a"), at_ms(u64::from(life)));
    }
    assert_eq!(evidence.crashed(0, at_ms(2_000)), Some(vec![]), "forgotten");
    let newest = evidence.crashed(1_999, at_ms(2_000));
    assert_eq!(newest, Some(vec![request("a")]));
}

#[test]
fn a_fingerprint_names_workspace_path_and_body_alone() {
    let one: WorkspaceId = "w1".parse().unwrap();
    let other: WorkspaceId = "w2".parse().unwrap();
    let is = RequestFingerprint::of(Some(&one), "/x/a", b"body");
    assert_eq!(is, RequestFingerprint::of(Some(&one), "/x/a", b"body"));
    let others = [
        RequestFingerprint::of(Some(&other), "/x/a", b"body"),
        RequestFingerprint::of(None, "/x/a", b"body"),
        RequestFingerprint::of(Some(&one), "/x/b", b"body"),
        RequestFingerprint::of(Some(&one), "/x/ab", b"ody"),
        RequestFingerprint::of(Some(&one), "/x/a", b""),
    ];
    for other in others {
        assert_ne!(is, other);
    }
    assert_eq!(is.to_string().parse(), Ok(is));
}

/// Guards against a process that is just ending and is given up as one of which nobody can tell: its listener closes
/// between the system's acceptance of a connection and the caller's look at it.
#[test]
fn a_process_that_is_ending_is_looked_at_again() {
    struct Case {
        error: ErrorKind,
        means: ConnectFailure,
    }
    let cases = [
        Case {
            error: ErrorKind::ConnectionRefused,
            means: ConnectFailure::Gone,
        },
        Case {
            error: ErrorKind::ConnectionReset,
            means: ConnectFailure::Ending,
        },
        Case {
            error: ErrorKind::HostUnreachable,
            means: ConnectFailure::Unknown,
        },
        Case {
            error: ErrorKind::TimedOut,
            means: ConnectFailure::Unknown,
        },
    ];
    for case in cases {
        assert_eq!(ConnectFailure::of(case.error), case.means);
    }
}
