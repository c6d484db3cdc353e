//! The retry budget and the decision to retry.

use wisteriahitch_core::route::{FailedAttempt, RetryBudget, RetryDecision, retry_decision};
use wisteriahitch_types::Code;

const BASE: FailedAttempt = FailedAttempt {
    reached_caller: false,
    was_not_run: true,
    may_repeat: true,
    is_keyed: false,
    attempts: 1,
    max_attempts: 3,
    has_time: true,
    code: Code::EndpointLost,
};

#[test]
fn decides_by_what_is_known() {
    struct Case {
        name: &'static str,
        failed: FailedAttempt,
        retries: bool,
    }
    let case = |name, retries, change: fn(&mut FailedAttempt)| {
        let mut failed = BASE;
        change(&mut failed);
        Case {
            name,
            failed,
            retries,
        }
    };
    let cases = [
        case("not run and repeatable", true, |_| {}),
        case("not run, not repeatable", true, |it| it.may_repeat = false),
        case("perhaps run, repeatable", true, |it| it.was_not_run = false),
        case("perhaps run, not repeatable", false, |it| {
            it.was_not_run = false;
            it.may_repeat = false;
        }),
        case("the caller has seen a part", false, |it| {
            it.reached_caller = true
        }),
        case("a keyed request", false, |it| it.is_keyed = true),
        case("the last attempt", false, |it| it.attempts = 3),
        case("no time left", false, |it| it.has_time = false),
    ];
    for case in cases {
        let expected = match case.retries {
            true => RetryDecision::Retry,
            false => RetryDecision::GiveUp(Code::EndpointLost),
        };
        assert_eq!(retry_decision(&case.failed), expected, "{}", case.name);
    }
}

/// Symptom: a fault of all endpoints multiplies the load by the number of attempts.
/// Sequence: every attempt fails and every failure asks for a retry.
/// Cause: without a budget each request would be sent as often as attempts are allowed.
#[test]
fn retries_stay_a_share_of_the_requests() {
    struct Case {
        share: f64,
        requests: u32,
        most: u32,
        least: u32,
    }
    let cases = [
        Case {
            share: 0.1,
            requests: 1_000,
            most: 103,
            least: 99,
        },
        Case {
            share: 0.0,
            requests: 1_000,
            most: 0,
            least: 0,
        },
        Case {
            share: 7.0,
            requests: 100,
            most: 100,
            least: 100,
        },
    ];
    for case in cases {
        let mut budget = RetryBudget::new(case.share);
        let mut granted = 0;
        for _ in 0..case.requests {
            budget.request();
            granted += u32::from(budget.try_take());
        }
        assert!(
            (case.least..=case.most).contains(&granted),
            "{} {granted}",
            case.share
        );
    }
}

#[test]
fn a_quiet_hour_pays_for_no_burst() {
    let mut budget = RetryBudget::new(0.1);
    for _ in 0..100_000 {
        budget.request();
    }
    let granted = (0..1_000).filter(|_| budget.try_take()).count();
    assert_eq!(granted, 20);
}
