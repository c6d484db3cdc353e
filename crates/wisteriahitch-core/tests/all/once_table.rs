//! Tests of the table of keys: one dispatch per key, correct refusals, stored answers.

use std::sync::Arc;

use wisteriahitch_core::once::{
    ClaimHolder, ClaimNonce, ClaimOutcome, ClaimState, Decision, Delivery, ExistingClaim,
    Fingerprint, IdempotencyKey, IdempotencyTable, StoredAnswer, TableLimits, TicketIssuer,
    TicketSecret, WaiterId, undecided_code,
};
use wisteriahitch_types::{ByteCount, Code, DurationUs, Incarnation, Meaning, TimeUs, WorkspaceId};

const START: TimeUs = TimeUs::new(1_000);
const LIFETIME: DurationUs = DurationUs::from_ms(60_000);
const OWN: Incarnation = Incarnation::new(5);

fn kandy() -> WorkspaceId {
    "kandy".parse().unwrap()
}

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new(&kandy(), "POST", "/bookings", body.as_bytes())
}

fn waiter(number: u64) -> WaiterId {
    WaiterId::new(number)
}

fn answer(len: usize) -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer {
        status: 201,
        content_type: None,
        body: vec![b'x'; len],
    })
}

fn ticket_key() -> IdempotencyKey {
    let mut issuer = TicketIssuer::new(OWN, TicketSecret::new([9; 32]));
    let tickets = issuer.issue(&kandy(), 1, START, LIFETIME);
    issuer.verify(&tickets[0], &kandy()).unwrap()
}

fn claimed_key(text: &str) -> IdempotencyKey {
    IdempotencyKey::try_claimed(&kandy(), text).unwrap()
}

fn table() -> IdempotencyTable {
    IdempotencyTable::new(OWN, TableLimits::default())
}

fn submit(table: &mut IdempotencyTable, key: &IdempotencyKey, number: u64) -> Decision {
    table.submit(key, fingerprint("bay 3"), waiter(number), START)
}

fn existing_claim(incarnation: u64, body: &str, outcome: ClaimOutcome) -> ExistingClaim {
    ExistingClaim {
        holder: ClaimHolder {
            owner: "entry-2".parse().unwrap(),
            incarnation: Incarnation::new(incarnation),
            address: "127.0.0.1:7000".parse().unwrap(),
        },
        fingerprint: fingerprint(body),
        outcome,
    }
}

/// A call on the table for one key.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit,
    ClaimWritten,
    Undecided,
    Dispatch,
    Finish,
    Lose(Code),
    Refuse(Code),
    EndpointRefuses,
}

fn apply(table: &mut IdempotencyTable, key: &IdempotencyKey, step: Step) {
    match step {
        Step::Submit => drop(submit(table, key, 1)),
        Step::ClaimWritten => drop(table.claim_written(key)),
        Step::Undecided => drop(table.claim_undecided(key, START)),
        Step::Dispatch => drop(table.try_dispatch(key)),
        Step::Finish => drop(table.record_answer(key, answer(1), START)),
        Step::Lose(code) => drop(table.record_lost(key, code, START)),
        Step::Refuse(code) => drop(table.record_refusal(key, code, START)),
        Step::EndpointRefuses => drop(table.record_endpoint_refusal(key, START)),
    }
}

/// A repeat that arrives after `steps` were applied to the key.
struct Case {
    name: &'static str,
    steps: &'static [Step],
    repeat: Decision,
    may_dispatch: bool,
}

fn check_repeat(case: &Case, key: &IdempotencyKey) {
    let mut table = table();
    case.steps
        .iter()
        .for_each(|step| apply(&mut table, key, *step));
    assert_eq!(submit(&mut table, key, 2), case.repeat, "{}", case.name);
    assert_eq!(table.try_dispatch(key), case.may_dispatch, "{}", case.name);
    assert!(!table.try_dispatch(key), "{}: second dispatch", case.name);
}

#[test]
fn a_repeated_ticket_gets_the_recorded_outcome() {
    use Step::*;
    let cases = [
        Case {
            name: "ticket not dispatched yet",
            steps: &[Submit],
            repeat: Decision::Wait,
            may_dispatch: true,
        },
        Case {
            name: "ticket dispatched",
            steps: &[Submit, Dispatch],
            repeat: Decision::Wait,
            may_dispatch: false,
        },
        Case {
            name: "ticket finished",
            steps: &[Submit, Dispatch, Finish],
            repeat: Decision::Answer(answer(1)),
            may_dispatch: false,
        },
        Case {
            name: "ticket released before dispatch",
            steps: &[Submit, Lose(Code::CallerGone)],
            repeat: Decision::Run,
            may_dispatch: true,
        },
        Case {
            name: "refused by the daemon",
            steps: &[Submit, Refuse(Code::QueueFull)],
            repeat: Decision::Refuse(Code::KeyRefused),
            may_dispatch: false,
        },
        Case {
            name: "refused by the endpoint",
            steps: &[Submit, Dispatch, EndpointRefuses],
            repeat: Decision::Refuse(Code::KeyRefused),
            may_dispatch: false,
        },
    ];
    cases
        .iter()
        .for_each(|case| check_repeat(case, &ticket_key()));
}

#[test]
fn a_repeat_after_dispatch_never_gets_not_run_from_the_daemon() {
    use Step::*;
    let cases = [
        Case {
            name: "refused by the daemon after dispatch",
            steps: &[Submit, Dispatch, Refuse(Code::QueueFull)],
            repeat: Decision::Refuse(Code::Internal),
            may_dispatch: false,
        },
        Case {
            name: "endpoint refusal reported by the daemon",
            steps: &[Submit, Dispatch, Refuse(Code::EndpointRefused)],
            repeat: Decision::Refuse(Code::Internal),
            may_dispatch: false,
        },
        Case {
            name: "lost",
            steps: &[Submit, Dispatch, Lose(Code::EndpointLost)],
            repeat: Decision::Refuse(Code::EndpointLost),
            may_dispatch: false,
        },
        Case {
            name: "lost, then a late answer",
            steps: &[Submit, Dispatch, Lose(Code::EndpointTimeout), Finish],
            repeat: Decision::Refuse(Code::EndpointTimeout),
            may_dispatch: false,
        },
        Case {
            name: "lost with a not-run code",
            steps: &[Submit, Dispatch, Lose(Code::NoEndpoint)],
            repeat: Decision::Refuse(Code::Internal),
            may_dispatch: false,
        },
    ];
    cases
        .iter()
        .for_each(|case| check_repeat(case, &ticket_key()));
}

#[test]
fn a_repeated_claimed_key_gets_the_recorded_outcome() {
    use Step::*;
    let cases = [
        Case {
            name: "claim being decided",
            steps: &[Submit],
            repeat: Decision::Wait,
            may_dispatch: false,
        },
        Case {
            name: "claim written",
            steps: &[Submit, ClaimWritten],
            repeat: Decision::Wait,
            may_dispatch: true,
        },
        Case {
            name: "claim written after it was reported undecided",
            steps: &[Submit, Undecided, ClaimWritten, Dispatch],
            repeat: Decision::Claim(ClaimNonce::new(1)),
            may_dispatch: false,
        },
        Case {
            name: "claim released before dispatch",
            steps: &[Submit, ClaimWritten, Lose(Code::CallerGone)],
            repeat: Decision::Claim(ClaimNonce::new(1)),
            may_dispatch: false,
        },
        Case {
            name: "undecided, then submitted again",
            steps: &[Submit, Undecided, Submit, ClaimWritten],
            repeat: Decision::Wait,
            may_dispatch: true,
        },
    ];
    cases
        .iter()
        .for_each(|case| check_repeat(case, &claimed_key("k")));
}

/// Guards against reporting `not run` for a request that runs. The daemon refuses a copy while its
/// claim is still undecided, and another copy wins the claim at another daemon. Only the holder of
/// the claim knows that the request will not run.
#[test]
fn not_run_is_not_returned_before_the_claim_is_decided() {
    let mut table = table();
    let key = claimed_key("k");
    submit(&mut table, &key, 1);
    let delivery = table.record_refusal(&key, Code::QueueFull, START);
    let expected = Delivery {
        waiters: vec![waiter(1)],
        decision: Decision::Refuse(Code::ClaimUndecided),
    };
    assert_eq!(delivery, expected);
    for code in Code::ALL {
        assert_ne!(undecided_code(*code).meaning(), Meaning::NotRun, "{code}");
    }
}

/// Guards against reporting `key reused, not run` for a request that runs. Two requests with the
/// same key reach two daemons: here the claim of the first is undecided, there the second wins. A
/// key belongs to a request only once the claim is decided.
#[test]
fn key_reuse_is_refused_only_after_the_claim_is_decided() {
    struct Case {
        name: &'static str,
        is_ticket: bool,
        is_decided: bool,
        expected: Code,
    }
    let cases = [
        Case {
            name: "ticket",
            is_ticket: true,
            is_decided: true,
            expected: Code::KeyReused,
        },
        Case {
            name: "claimed",
            is_ticket: false,
            is_decided: true,
            expected: Code::KeyReused,
        },
        Case {
            name: "being decided",
            is_ticket: false,
            is_decided: false,
            expected: Code::ClaimUndecided,
        },
    ];
    for case in cases {
        let key = if case.is_ticket {
            ticket_key()
        } else {
            claimed_key("k")
        };
        let mut table = table();
        submit(&mut table, &key, 1);
        if case.is_decided {
            table.claim_written(&key);
        }
        let other = table.submit(&key, fingerprint("bay 4"), waiter(2), START);
        assert_eq!(other, Decision::Refuse(case.expected), "{}", case.name);
    }
}

#[test]
fn a_lost_claim_returns_the_outcome_of_the_existing_one() {
    struct Case {
        name: &'static str,
        claim: ExistingClaim,
        expected: Decision,
    }
    let pending = existing_claim(6, "bay 3", ClaimOutcome::Pending);
    let cases = [
        Case {
            name: "pending at another daemon",
            expected: Decision::Forward(pending.holder.clone()),
            claim: pending,
        },
        Case {
            name: "own evicted one",
            claim: existing_claim(5, "bay 3", ClaimOutcome::Pending),
            expected: Decision::Refuse(Code::AnswerGone),
        },
        Case {
            name: "finished with answer",
            claim: existing_claim(6, "bay 3", ClaimOutcome::Finished(Some(answer(2)))),
            expected: Decision::Answer(answer(2)),
        },
        Case {
            name: "refused",
            claim: existing_claim(6, "bay 3", ClaimOutcome::Refused),
            expected: Decision::Refuse(Code::KeyRefused),
        },
        Case {
            name: "another request",
            claim: existing_claim(6, "bay 4", ClaimOutcome::Pending),
            expected: Decision::Refuse(Code::KeyReused),
        },
    ];
    for case in cases {
        let mut table = table();
        let key = claimed_key("k");
        submit(&mut table, &key, 1);
        let delivery = table.claim_lost(&key, &case.claim).unwrap();
        assert_eq!(delivery.decision, case.expected, "{}", case.name);
        assert_eq!(delivery.waiters, [waiter(1)], "{}", case.name);
        assert!(!table.try_dispatch(&key), "{}", case.name);
        let again = submit(&mut table, &key, 2);
        assert!(matches!(again, Decision::Claim(_)), "{}", case.name);
    }
}

/// Guards against running a booking twice. The ticket is used, its outcome is evicted because of
/// its age or the memory limit, and a late copy arrives. A key that was removed looks like an
/// unused one.
#[test]
fn a_used_ticket_is_never_accepted_as_unused() {
    struct Case {
        name: &'static str,
        limits: TableLimits,
        later: TimeUs,
        expected: Code,
    }
    let base = TableLimits::default();
    let cases = [
        Case {
            name: "evicted by age",
            limits: TableLimits {
                outcome_ttl_us: DurationUs::from_ms(1),
                ..base
            },
            later: START + DurationUs::from_ms(2),
            expected: Code::AnswerGone,
        },
        Case {
            name: "evicted by memory",
            limits: TableLimits {
                max_settled_bytes: ByteCount::ZERO,
                ..base
            },
            later: START,
            expected: Code::AnswerGone,
        },
        Case {
            name: "evicted and expired",
            limits: TableLimits {
                outcome_ttl_us: DurationUs::from_ms(1),
                ..base
            },
            later: START + LIFETIME,
            expected: Code::TicketExpired,
        },
    ];
    for case in cases {
        let mut table = IdempotencyTable::new(OWN, case.limits);
        let key = ticket_key();
        submit(&mut table, &key, 1);
        assert!(table.try_dispatch(&key));
        table.record_answer(&key, answer(9), START);
        table.tick(case.later);
        let late = table.submit(&key, fingerprint("bay 3"), waiter(2), case.later);
        assert_eq!(late, Decision::Refuse(case.expected), "{}", case.name);
        assert_eq!(case.expected.meaning(), Meaning::OutcomeUnknown);
        assert!(!table.try_dispatch(&key), "{}", case.name);
    }
}

#[test]
fn an_expired_unused_ticket_is_refused() {
    let expiry = START + LIFETIME;
    let late = table().submit(&ticket_key(), fingerprint("bay 3"), waiter(1), expiry);
    assert_eq!(late, Decision::Refuse(Code::TicketExpired));
}

#[test]
fn a_stored_answer_outlives_its_ticket() {
    let mut table = table();
    let key = ticket_key();
    submit(&mut table, &key, 1);
    assert!(table.try_dispatch(&key));
    table.record_answer(&key, answer(9), START);
    let later = START + LIFETIME + LIFETIME;
    table.tick(later);
    let repeat = table.submit(&key, fingerprint("bay 3"), waiter(2), later);
    assert_eq!(repeat, Decision::Answer(answer(9)));
}

/// Guards against a caller waiting for ever. A ticket is released, its outcome is evicted by
/// others' answers, a repeat runs, and the ticket expires during the run. Removing the tombstone of
/// the first copy must not remove the running key.
#[test]
fn a_running_key_survives_the_expiry_of_its_tombstone() {
    let limits = TableLimits {
        max_settled_bytes: ByteCount::ZERO,
        ..TableLimits::default()
    };
    let mut table = IdempotencyTable::new(OWN, limits);
    let key = ticket_key();
    submit(&mut table, &key, 1);
    table.record_lost(&key, Code::CallerGone, START);
    assert_eq!(submit(&mut table, &key, 2), Decision::Run);
    assert!(table.try_dispatch(&key));
    table.tick(START + LIFETIME);
    let delivery = table.record_answer(&key, answer(9), START + LIFETIME);
    assert_eq!(delivery.waiters, [waiter(2)]);
}

/// Guards against repeats of small customers getting `answer gone` because another workspace has
/// large answers, which happened when the oldest answer of any workspace was evicted.
#[test]
fn large_answers_evict_only_answers_of_their_workspace() {
    let limits = TableLimits {
        max_settled_bytes: ByteCount::new(10_000),
        ..TableLimits::default()
    };
    let mut table = IdempotencyTable::new(OWN, limits);
    let mut finish = |workspace: &str, text: &str, len: usize| {
        let workspace = workspace.parse().unwrap();
        let key = IdempotencyKey::try_claimed(&workspace, text).unwrap();
        submit(&mut table, &key, 1);
        table.claim_written(&key);
        assert!(table.try_dispatch(&key));
        table.record_answer(&key, answer(len), START);
        key
    };
    let small = finish("galle", "k", 10);
    let large: Vec<_> = ["a", "b", "c"]
        .map(|text| finish("kandy", text, 4_000))
        .into();
    assert_eq!(submit(&mut table, &small, 2), Decision::Answer(answer(10)));
    assert_eq!(
        submit(&mut table, &large[2], 2),
        Decision::Answer(answer(4_000))
    );
    assert!(matches!(
        submit(&mut table, &large[0], 2),
        Decision::Claim(_)
    ));
}

/// Guards against a draining daemon that never exits. A caller leaves while its claim is being
/// written and does not return; the claimed key must not count as unsettled while it waits for a
/// next copy.
#[test]
fn a_claim_without_waiters_runs_for_the_next_copy() {
    let mut table = table();
    let key = claimed_key("k");
    submit(&mut table, &key, 1);
    table.remove_waiter(&key, waiter(1));
    assert_eq!(table.claim_written(&key), None);
    assert_eq!(table.unsettled_count(), 0);
    assert!(!table.try_dispatch(&key));
    assert!(matches!(submit(&mut table, &key, 2), Decision::Claim(_)));
    let delivery = table.claim_written(&key).unwrap();
    assert_eq!(delivery.waiters, [waiter(2)]);
}

/// Guards against a repeat at another daemon getting `not run` for a request that ran. The holder
/// refuses after the dispatch and the table records a lost outcome, but `refused` is written to the
/// claim. The outcome must come from the table, not from the operation that was requested.
#[test]
fn outcome_to_write_returns_only_certain_outcomes() {
    use Step::*;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        expected: Option<ClaimState>,
    }
    let finished = ClaimState::Finished {
        status: 201,
        content_type: None,
        body: Some("x".to_owned()),
    };
    let refused = Some(ClaimState::Refused);
    let cases = [
        Case {
            name: "dispatched",
            steps: &[Submit, ClaimWritten, Dispatch],
            expected: None,
        },
        Case {
            name: "undecided",
            steps: &[Submit, Undecided],
            expected: None,
        },
        Case {
            name: "refused too late",
            steps: &[Submit, ClaimWritten, Dispatch, Refuse(Code::QueueFull)],
            expected: None,
        },
        Case {
            name: "refused in time",
            steps: &[Submit, ClaimWritten, Refuse(Code::QueueFull)],
            expected: refused.clone(),
        },
        Case {
            name: "refused by the endpoint",
            steps: &[Submit, ClaimWritten, Dispatch, EndpointRefuses],
            expected: refused,
        },
        Case {
            name: "finished",
            steps: &[Submit, ClaimWritten, Dispatch, Finish],
            expected: Some(finished),
        },
    ];
    for case in cases {
        let mut table = table();
        let key = claimed_key("k");
        case.steps
            .iter()
            .for_each(|step| apply(&mut table, &key, *step));
        let written = table.outcome_to_write(&key, ByteCount::new(100));
        let expected = case.expected.map(|state| (ClaimNonce::new(1), state));
        assert_eq!(written, expected, "{}", case.name);
    }
}

#[test]
fn waiters_of_one_key_are_bounded() {
    let limits = TableLimits {
        max_waiters: 2,
        ..TableLimits::default()
    };
    let mut table = IdempotencyTable::new(OWN, limits);
    let key = ticket_key();
    let decisions = [1, 2, 3].map(|number| submit(&mut table, &key, number));
    let full = Decision::Refuse(Code::ClaimUndecided);
    assert_eq!(decisions, [Decision::Run, Decision::Wait, full]);
}

#[test]
fn the_snapshot_counts_keys_by_state_and_shows_no_answer() {
    let mut table = table();
    let (done, open) = (ticket_key(), claimed_key("k"));
    submit(&mut table, &done, 1);
    assert!(table.try_dispatch(&done));
    table.record_answer(&done, answer(3), START);
    submit(&mut table, &open, 2);
    assert_eq!(table.unsettled_count(), 1);
    let shown = serde_json::to_string(&table.snapshot()).unwrap();
    assert!(
        shown.contains(r#""keys_by_state":{"Deciding":1,"Finished":1}"#),
        "{shown}"
    );
    assert!(!shown.contains("xxx"), "{shown}");
}
